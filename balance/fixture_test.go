package balance

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that records the actions and numbers the attempts of each job.
type recorder struct {
	actions    []string
	sends      []sentAttempt
	cancels    []attemptKey
	backoffs   map[JobID]time.Duration
	answers    map[JobID]string
	attempts   map[JobID]int
	timer      time.Duration // of the latest SetTimer call
	token      uint64
	messages   [][]byte
	probes     []WorkerID
	watchCalls int
	logs       []string
}

type sentAttempt struct {
	job     JobID
	to      WorkerID
	attempt int
}

type attemptKey struct {
	job     JobID
	attempt int
}

func newRecorder() *recorder {
	return &recorder{answers: map[JobID]string{}, backoffs: map[JobID]time.Duration{}, attempts: map[JobID]int{}}
}

func (r *recorder) record(format string, args ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, args...))
}

func (r *recorder) Send(j JobID, w WorkerID, timeout time.Duration) {
	r.sends = append(r.sends, sentAttempt{j, w, r.attempts[j]})
	r.attempts[j]++
	r.record("send %d %d %v", j, w, timeout)
}

func (r *recorder) Cancel(j JobID, n int) {
	r.cancels = append(r.cancels, attemptKey{j, n})
	r.record("cancel %d %d", j, n)
}

func (r *recorder) Refuse(j JobID, d time.Duration) {
	r.answers[j] += "refused"
	r.backoffs[j] = d
	r.record("refuse %d %v", j, d)
}

func (r *recorder) Fail(j JobID) {
	r.answers[j] += "failed"
	r.record("fail %d", j)
}

func (r *recorder) SetTimer(d time.Duration, t uint64) {
	r.timer, r.token = d, t
	r.record("timer %v %d", d, t)
}
func (r *recorder) Watch() { r.watchCalls++; r.record("watch") }
func (r *recorder) Fetch() { r.record("fetch") }
func (r *recorder) SendToPeer(to int, b []byte) {
	r.messages = append(r.messages, append([]byte(nil), b...))
	r.record("peer message %x", b)
}
func (r *recorder) Probe(w WorkerID)       { r.probes = append(r.probes, w); r.record("probe %d", w) }
func (r *recorder) Log(text string)        { r.logs = append(r.logs, text); r.record("log %s", text) }
func (r *recorder) lastSend() sentAttempt  { return r.sends[len(r.sends)-1] }
func (r *recorder) attemptsOf(j JobID) int { return r.attempts[j] }

// settings returns valid settings with the classes that the constants below name.
func settings() Settings {
	class := func(idempotency Idempotency, scope DedupScope) Class {
		return Class{Target: 300 * ms, Stretch: 2, Deadline: 8 * time.Second, Worth: 1, Idempotency: idempotency, DedupScope: scope,
			DedupWindow: 5 * time.Second, WorkerKind: -1}
	}
	return Settings{Seed: 1, FleetSize: 1, WorkerKinds: 2, MaxAttempts: 4, AllowCancel: true, AllowCopies: true,
		ConnectTimeout: 250 * ms, Tick: 4 * ms, ReportsStart: true, ColdCapacity: 0.3,
		WarmUp: 10 * time.Second, OverloadFactor: 3, OverloadWindow: 2 * time.Second, PullInterval: 10 * time.Second,
		Classes: []Class{class(Idempotent, ScopeFleet), class(Deduplicated, ScopeCell), class(NonIdempotent, ScopeFleet),
			class(Deduplicated, ScopeFleet), class(Deduplicated, ScopeZone)}}
}

// The classes of settings.
const (
	idempotent = iota
	dedupCell
	nonIdempotent
	dedupFleet
	dedupZone
)

// fixture returns a Balancer with n workers of one slot each, two per cell and four per zone.
func fixture(t *testing.T, s Settings, n int) (*Balancer, *recorder) {
	t.Helper()
	r := newRecorder()
	b, err := New(s, r)
	if err != nil {
		t.Fatal(err)
	}
	var list []Member
	for i := range n {
		list = append(list, Member{ID: WorkerID(i + 1), Weight: 1, Cell: i / 2, Zone: i / 4})
	}
	b.UpdateMembers(time.Second, UpdateFull, list)
	return b, r
}

// submit submits a job of a class.
func submit(b *Balancer, at time.Duration, id JobID, class int) {
	b.SubmitJob(at, Job{ID: id, Class: class, Tenant: -1, ClientTimeout: 8 * time.Second, Slots: 1})
}

// reportStart reports the start of an attempt.
func reportStart(b *Balancer, at time.Duration, s sentAttempt) {
	b.AttemptEvent(at, s.job, s.attempt, EventStarted, 0)
}

// reportResult reports the result of an attempt.
func reportResult(b *Balancer, at time.Duration, s sentAttempt, status Status) {
	b.AttemptDone(at, AttemptResult{Job: s.job, Attempt: s.attempt, Worker: s.to, Status: status, JobDone: status == StatusOK,
		Report: NoLoadReport()})
}

// advance advances the time from one instant to another in steps of 5 ms and fires the latest timer at each.
func advance(b *Balancer, r *recorder, from, to time.Duration) {
	for at := from; at <= to; at += 5 * ms {
		b.TimerFired(at, r.token)
	}
}
