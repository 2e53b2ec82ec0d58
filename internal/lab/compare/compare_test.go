package compare_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/lab/compare"
	"tinroute.example/tinroute/internal/lab/emulate"
)

// Every comparison policy keeps the rules that it claims, of those the emulator's checker watches,
// through failures that overlap: a drain, silent nodes that come back cold, nodes that swallow jobs, errors, and
// discovery out.
func TestPoliciesKeepTheRulesThroughFailures(t *testing.T) {
	for _, name := range compare.Names {
		for seed := range uint64(3) {
			s := emulate.Shop(10, 3, 0.7)
			s.Seed, s.Length, s.Policy = seed+1, 20*time.Second, name
			s.Failures = []emulate.Failure{
				{Kind: emulate.Drain, At: 3 * time.Second, For: 8 * time.Second, Share: 0.2},
				{Kind: emulate.Vanish, At: 5 * time.Second, For: 6 * time.Second, Share: 0.1},
				{Kind: emulate.Hang, At: 8 * time.Second, For: 5 * time.Second, Share: 0.1},
				{Kind: emulate.Fail, At: 2 * time.Second, For: 10 * time.Second, Share: 0.1, Size: 0.5},
				{Kind: emulate.Outage, At: 9 * time.Second, For: 4 * time.Second},
			}
			w, err := emulate.New(s)
			require.NoError(t, err)
			res := w.Play(time.Minute)
			var broken []string
			for _, b := range res.Broken {
				if !strings.Contains(b, "pushed over") { // they know no cold budget: see the package
					broken = append(broken, b)
				}
			}
			require.Empty(t, broken, "%s, seed %d", name, seed+1)
			require.False(t, res.Jammed, "%s, seed %d: jobs still open at the bound", name, seed+1)
			require.Positive(t, res.InTime, "%s, seed %d", name, seed+1)
		}
	}
}

// A name that is no policy, or the bound without the truth, is an error that says so.
func TestUnknownPolicy(t *testing.T) {
	s := balance.Settings{FleetSize: 1, MaxAttempts: 3, Classes: []balance.Class{{Name: "c", Deadline: time.Second}}}
	_, err := compare.New("fastest", s, nil, nil)
	require.ErrorContains(t, err, "shortest-queue")
	_, err = compare.New(compare.ShortestQueue, s, nil, nil)
	require.ErrorContains(t, err, "true state")
}

// host keeps what a policy does.
type host struct {
	sends            []balance.WorkerID
	refused, failed  int
	wake             time.Duration
	token            uint64
	cancels, watches int
}

func (h *host) Send(_ balance.JobID, to balance.WorkerID, _ time.Duration) {
	h.sends = append(h.sends, to)
}
func (h *host) Cancel(balance.JobID, int)           { h.cancels++ }
func (h *host) Refuse(balance.JobID, time.Duration) { h.refused++ }
func (h *host) Fail(balance.JobID)                  { h.failed++ }
func (h *host) SetTimer(d time.Duration, t uint64)  { h.wake, h.token = d, t }
func (h *host) Watch()                              { h.watches++ }
func (h *host) Fetch()                              {}
func (h *host) SendToPeer(int, []byte)              {}
func (h *host) Probe(balance.WorkerID)              {}
func (h *host) Log(string)                          {}

func settings(effect balance.Idempotency) balance.Settings {
	return balance.Settings{FleetSize: 1, MaxAttempts: 3, AllowCancel: true, Tick: time.Millisecond, MaxRetryAfter: time.Second,
		Classes: []balance.Class{{Name: "c", Deadline: time.Second, Idempotency: effect, WorkerKind: -1}}}
}

func members(n int) []balance.Member {
	var list []balance.Member
	for i := range n {
		list = append(list, balance.Member{ID: balance.WorkerID(i + 1), Weight: 1})
	}
	return list
}

// Nothing goes to a worker that drains; an attempt that may have run is not repeated for a class
// that forbids it, and its job fails; a job is answered before its client's patience ends.
func TestTheRulesOneByOne(t *testing.T) {
	for _, name := range []string{compare.Random, compare.RoundRobin, compare.LeastOutstanding, compare.TwoChoices} {
		h := &host{}
		p, err := compare.New(name, settings(balance.Deduplicated), h, nil)
		require.NoError(t, err)
		list := members(3)
		list[1].State, list[2].State = balance.Draining, balance.Gone
		p.UpdateMembers(0, balance.UpdateFull, list)
		for i := range 20 {
			p.SubmitJob(time.Duration(i)*time.Millisecond, balance.Job{ID: balance.JobID(i + 1), Class: 0, ClientTimeout: time.Second})
		}
		for _, w := range h.sends {
			require.Equal(t, balance.WorkerID(1), w, "%s sent to a worker that is not serving", name)
		}
		p.AttemptDone(30*time.Millisecond, balance.AttemptResult{Job: 1, Attempt: 0, Worker: 1, Status: balance.StatusError})
		require.Len(t, h.sends, 20, "%s repeated a keyed job that may have run", name)
		require.Equal(t, 1, h.failed, name)
		p.TimerFired(time.Second+20*time.Millisecond, h.token) // the others' patience is over
		require.Equal(t, 19, h.refused+h.failed-1, "%s: every job answered before patience ends", name)
	}
}

// A try that never connected is no attempt: a safe job goes on to the next worker, up to the
// attempts allowed that arrived.
func TestUnreachedTriesGoOn(t *testing.T) {
	h := &host{}
	p, err := compare.New(compare.RoundRobin, settings(balance.Idempotent), h, nil)
	require.NoError(t, err)
	p.UpdateMembers(0, balance.UpdateFull, members(5))
	p.SubmitJob(0, balance.Job{ID: 1, Class: 0, ClientTimeout: time.Second})
	for i := range 4 {
		p.AttemptDone(time.Millisecond, balance.AttemptResult{Job: 1, Attempt: i, Worker: h.sends[i], Status: balance.StatusUnreachable})
	}
	require.Len(t, h.sends, 5)
	require.Zero(t, h.refused+h.failed)
}
