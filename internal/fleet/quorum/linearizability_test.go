package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// response is what a client received; unknown if the client cannot tell whether its command was written.
type response struct {
	text    string
	unknown bool
}

// newResponse returns the response of an answer and its error.
func newResponse(a ledger.Answer, err error) response {
	text, _ := json.Marshal(a)
	return response{text: fmt.Sprintf("%s %v", text, err)}
}

var fleetSettings = ledger.Settings{Fleet: "f", Generation: 1, MaxMembers: 8}

// sequentialLedger is the model of a single ledger without failures. Its state is a snapshot.
var sequentialLedger = porcupine.Model{
	Init: func() any {
		data, _ := ledger.New(fleetSettings).Snapshot()
		return string(data)
	},
	Step: func(state, input, output any) (bool, any) {
		s := ledger.New(fleetSettings)
		if err := s.Restore([]byte(state.(string))); err != nil {
			return false, state
		}
		got := newResponse(s.Apply(input.(ledger.Command)))
		if want := output.(response); !want.unknown && want != got {
			return false, state
		}
		data, err := s.Snapshot()
		return err == nil, string(data)
	},
}

// Several clients send commands to three voters concurrently while the leader is stopped and restarted twice.
// The responses must be those of a single ledger without failures, in some order consistent with real time.
func TestLedgerIsLinearizable(t *testing.T) {
	c := newCluster(t, 3)
	c.lease = time.Hour // no lease expires: that would be a command that is missing in the clients' history
	for name := range c.addrs {
		c.start(name, true)
	}
	var mu sync.Mutex // guards history, applied and c.running
	var history []porcupine.Operation
	applied := 0
	apply := func(client int, cmd ledger.Command) (a ledger.Answer, err error) {
		call := clock()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			require.True(t, time.Now().Before(end), "no voter leads")
			mu.Lock()
			var candidates []*Voter
			for _, voter := range c.running {
				candidates = append(candidates, voter)
			}
			mu.Unlock()
			for _, voter := range candidates {
				if a, err = voter.Apply(cmd); errors.Is(err, ErrNotLeader) {
					continue
				}
				op := porcupine.Operation{ClientId: client, Input: cmd, Call: int64(call), Output: newResponse(a, err), Return: int64(clock())}
				if errors.Is(err, ErrOutcomeUnknown) { // it may be written at any later time, or never
					op.Output, op.Return = response{unknown: true}, math.MaxInt64
				}
				mu.Lock()
				history = append(history, op)
				applied++
				mu.Unlock()
				return a, err
			}
		}
	}
	var clients sync.WaitGroup
	for i := range 3 {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		clients.Go(func() {
			var incarnation, seq, version uint64
			for n := range uint64(15) {
				cmd := ledger.Command{Fleet: "f"}
				switch k := rng.IntN(4); {
				case incarnation == 0:
					cmd.Join = &ledger.Join{Name: fmt.Sprint("c", i), Nonce: n + 1}
				case k == 0:
					cmd.SetBudgets = &ledger.SetBudgets{Version: version + 1, Budgets: []ledger.Budget{{Name: "b", Kind: ledger.KindConcurrency, Total: int64(1+rng.IntN(9)) * 1000}}}
				case k == 1:
					cmd.Leave = &ledger.Leave{Incarnation: incarnation}
				default:
					seq++
					cmd.Renew = &ledger.Renew{Incarnation: incarnation, Seq: seq, Usage: map[string]ledger.Usage{"b": {Demand: int64(rng.IntN(9)) * 1000}}}
				}
				a, err := apply(i, cmd)
				version = max(version, a.Version)
				switch {
				case cmd.Join != nil && err == nil:
					incarnation, seq = a.Incarnation, 0
				case cmd.Leave != nil || errors.Is(err, ledger.ErrExpired):
					incarnation = 0
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	for restarts, finished := 0, false; !finished; { // after every 12 commands the leader is restarted
		mu.Lock()
		due := restarts < 2 && applied >= 12*(restarts+1)
		mu.Unlock()
		if due {
			restarts++
			mu.Lock()
			var leader string
			for name, voter := range c.running {
				if voter.Leader() == name {
					leader = name
				}
			}
			voter := c.running[leader]
			delete(c.running, leader)
			mu.Unlock()
			if voter != nil {
				require.NoError(t, voter.Close())
				restarted, err := c.startVoter(leader, false)
				require.NoError(t, err)
				mu.Lock()
				c.running[leader] = restarted
				mu.Unlock()
			}
		}
		select {
		case <-done:
			finished = true
		case <-time.After(2 * time.Millisecond):
		}
	}
	unknown := 0
	for _, op := range history {
		if op.Output.(response).unknown {
			unknown++
		}
	}
	t.Logf("%d commands, %d of them with unknown outcome", len(history), unknown)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(sequentialLedger, history, time.Minute))
	for _, voter := range c.running {
		require.NoError(t, voter.Close())
	}
}

// The linearizability check must fail if two concurrent joins return the same incarnation.
func TestLinearizabilityCheckRejectsDuplicateIncarnation(t *testing.T) {
	join := func(client int, incarnation uint64) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: ledger.Command{Fleet: "f", Join: &ledger.Join{Name: fmt.Sprint(client), Nonce: 1}},
			Call: 1, Return: 9, Output: newResponse(ledger.Answer{Incarnation: incarnation, Generation: 1}, nil)}
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(sequentialLedger, []porcupine.Operation{join(0, 2), join(1, 1)}, time.Minute))
	require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(sequentialLedger, []porcupine.Operation{join(0, 1), join(1, 1)}, time.Minute))
}
