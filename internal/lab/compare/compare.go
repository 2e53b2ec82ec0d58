// Package compare holds the policies that users know, to set beside tinroute's own in
// experiments: random choice, round robin, least outstanding requests, the power of two choices,
// and join-the-shortest-queue with the true state as the bound that no real dispatcher reaches.
//
// They keep these of the rules that the emulator's checker watches: nothing to a worker that drains
// or is gone, at most the attempts allowed, no repeat of what may have run unless its class is safe
// to repeat, a final answer before the client gives up. They know no cold node's budget, as the
// textbook policies know none: where they push a fresh node over, the checker says so, and that is
// part of what an experiment shows. They queue nothing: a job goes to a
// worker at once. They do no I/O and know only the clock they are handed; only the emulator runs
// them, never a front.
package compare

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tinroute.example/tinroute/balance"
)

// The policies by name.
const (
	Random           = "random"
	RoundRobin       = "round-robin"
	LeastOutstanding = "least-outstanding"
	TwoChoices       = "two-choices"
	ShortestQueue    = "shortest-queue" // with the true state: the bound
)

// Names lists the policies, in the order in which reports show them.
var Names = []string{Random, RoundRobin, LeastOutstanding, TwoChoices, ShortestQueue}

const (
	margin    = time.Millisecond      // answers of our own leave this long before patience ends
	comeBack  = 50 * time.Millisecond // what a refusal advises
	askAgain  = time.Second           // after a failed inquiry of the list
	noTimerAt = time.Duration(math.MaxInt64)
)

// Truth tells how many jobs a worker holds, running and waiting, as the world knows it. Only
// ShortestQueue asks it.
type Truth func(balance.WorkerID) int

// Policy is one comparison policy for one dispatcher.
type Policy struct {
	kind  string
	s     balance.Settings
	host  balance.Host
	truth Truth
	rng   *rand.Rand
	now   time.Duration

	workers []*worker // in order of first mention, so that nothing hangs on map order
	byID    map[balance.WorkerID]*worker
	jobs    map[balance.JobID]*job
	next    int // round robin's place
	askAt   time.Duration
	armed   time.Duration
	token   uint64
}

type worker struct {
	balance.Member
	out int // own attempts not ended
}

type job struct {
	balance.Job
	end      time.Duration
	attempts []*attempt
	out      int
}

type attempt struct {
	w         *worker
	done, ran bool
	unreached bool // no connection came up: nothing of it arrived, and it is no attempt
}

// New returns the policy of the name, or an error that names the policies there are. Truth is
// needed for ShortestQueue alone.
func New(kind string, s balance.Settings, h balance.Host, truth Truth) (*Policy, error) {
	if !slices.Contains(Names, kind) {
		return nil, fmt.Errorf("policy %q: one of %v", kind, Names)
	}
	if kind == ShortestQueue && truth == nil {
		return nil, fmt.Errorf("policy %q: wants the true state", kind)
	}
	if s.MaxAttempts < 1 || len(s.Classes) == 0 {
		return nil, fmt.Errorf("policy %q: settings without classes or attempts", kind)
	}
	return &Policy{kind: kind, s: s, host: h, truth: truth, rng: rand.New(rand.NewPCG(s.Seed, uint64(s.Position))),
		byID: map[balance.WorkerID]*worker{}, jobs: map[balance.JobID]*job{}, armed: noTimerAt}, nil
}

// UpdateMembers takes the list's word on workers, as the balancer does.
func (p *Policy) UpdateMembers(now time.Duration, how balance.UpdateKind, list []balance.Member) {
	p.now = now
	if how == balance.UpdateFailed { // the old list stays; ask again in a while
		p.askAt = now + askAgain + time.Duration(p.rng.Int64N(int64(askAgain)))
		p.arm()
		return
	}
	if how != balance.UpdateDelta {
		for _, w := range p.workers {
			w.State = balance.Gone
		}
	}
	for _, m := range list {
		w := p.byID[m.ID]
		if w == nil {
			w = &worker{}
			p.byID[m.ID] = w
			p.workers = append(p.workers, w)
		}
		w.Member = m
	}
	if how == balance.UpdateCached && p.s.PullMembers {
		p.host.Watch()
	}
	p.askAt = 0
	p.arm()
}

// SubmitJob takes a new job and sends it.
func (p *Policy) SubmitJob(now time.Duration, r balance.Job) {
	p.now = now
	if r.Class < 0 || r.Class >= len(p.s.Classes) || p.jobs[r.ID] != nil {
		return
	}
	j := &job{Job: r, end: now + r.ClientTimeout}
	p.jobs[r.ID] = j
	p.send(j)
	p.arm()
}

// TimerFired answers what would otherwise outlast its client, and asks for the list where that is due.
func (p *Policy) TimerFired(now time.Duration, token uint64) {
	p.now = now
	if token != p.token {
		return
	}
	p.armed = noTimerAt
	if p.askAt > 0 && now >= p.askAt {
		p.askAt = 0
		p.host.Watch()
	}
	for _, j := range p.sorted() {
		if now >= j.end-margin {
			p.answer(j)
		}
	}
	p.arm()
}

// ClientGone takes word that a job's client has left.
func (p *Policy) ClientGone(now time.Duration, id balance.JobID) {
	p.now = now
	if j := p.jobs[id]; j != nil {
		p.finish(j)
	}
	p.arm()
}

// AttemptEvent takes a worker's word on a job; these policies do not look at it.
func (p *Policy) AttemptEvent(time.Duration, balance.JobID, int, balance.EventKind, float64) {}

// ProbeDone takes the answer to a probe; these policies send none.
func (p *Policy) ProbeDone(time.Duration, balance.WorkerID, balance.Status, time.Duration, balance.LoadReport) {
}

// AttemptDone takes the end of an attempt: a served job is over, a failed one is tried again where its
// class and the attempts left allow, else answered.
func (p *Policy) AttemptDone(now time.Duration, r balance.AttemptResult) {
	p.now = now
	j := p.jobs[r.Job]
	if j == nil || r.Attempt < 0 || r.Attempt >= len(j.attempts) || j.attempts[r.Attempt].done {
		return
	}
	a := j.attempts[r.Attempt]
	a.done, a.ran, a.unreached = true, !r.Status.NeverRan(), r.Status == balance.StatusUnreachable
	j.out--
	a.w.out--
	switch {
	case r.JobDone || r.Status == balance.StatusOK:
		p.finish(j)
	case j.out == 0:
		p.send(j)
	}
	p.arm()
}

// View tells what the policy holds, for those who watch it.
func (p *Policy) View(time.Duration) balance.View {
	v := balance.View{Running: len(p.jobs)}
	for _, w := range p.workers {
		if w.State != balance.Gone {
			v.Workers = append(v.Workers, balance.WorkerView{ID: w.ID, Slots: 1, Used: float64(w.out),
				Slowness: 1, Serving: w.State == balance.Serving})
		}
	}
	return v
}

// send tries the job at a worker the policy picks, or answers it where none may be tried.
func (p *Policy) send(j *job) {
	if !p.mayRepeat(j) {
		p.answer(j)
		return
	}
	w := p.pick(j)
	if w == nil {
		p.answer(j)
		return
	}
	j.attempts = append(j.attempts, &attempt{w: w})
	j.out++
	w.out++
	p.host.Send(j.ID, w.ID, 0)
}

// mayRepeat tells whether the job may be tried once more: attempts left, time left, and no effect
// that a repeat could double unless its class is safe to repeat.
func (p *Policy) mayRepeat(j *job) bool {
	tried := 0
	for _, a := range j.attempts {
		if !a.unreached {
			tried++
		}
		if a.ran && p.s.Classes[j.Class].Idempotency != balance.Idempotent {
			return false
		}
	}
	return tried < p.s.MaxAttempts && len(j.attempts) < 3*p.s.MaxAttempts && p.now < j.end-margin
}

// pick chooses among the serving workers that the job has not met yet, or, were it has met all,
// among all that serve.
func (p *Policy) pick(j *job) *worker {
	var fresh, all []*worker
	for _, w := range p.workers {
		if w.State != balance.Serving || j.Class < len(p.s.Classes) && p.s.Classes[j.Class].WorkerKind >= 0 &&
			p.s.Classes[j.Class].WorkerKind != w.Kind {
			continue
		}
		all = append(all, w)
		if !slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.w == w }) {
			fresh = append(fresh, w)
		}
	}
	if len(fresh) > 0 {
		all = fresh
	}
	if len(all) == 0 {
		return nil
	}
	switch p.kind {
	case RoundRobin:
		p.next++
		return all[p.next%len(all)]
	case LeastOutstanding:
		return least(all, func(w *worker) int { return w.out }, p.rng)
	case TwoChoices:
		a, b := all[p.rng.IntN(len(all))], all[p.rng.IntN(len(all))]
		if b.out < a.out {
			return b
		}
		return a
	case ShortestQueue:
		return least(all, func(w *worker) int { return p.truth(w.ID) }, p.rng)
	}
	return all[p.rng.IntN(len(all))]
}

// least returns the worker of the least count, ties by lot: dispatchers that see alike must not
// all choose the first of the list.
func least(ws []*worker, count func(*worker) int, rng *rand.Rand) *worker {
	var best *worker
	most, ties := math.MaxInt, 0
	for _, w := range ws {
		switch c := count(w); {
		case c < most:
			best, most, ties = w, c, 1
		case c == most:
			if ties++; rng.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

// answer gives a job that is not served its final answer: a refusal where a repeat is harmless,
// else a failure.
func (p *Policy) answer(j *job) {
	harmless := p.s.Classes[j.Class].Idempotency == balance.Idempotent
	if !harmless {
		harmless = true
		for _, a := range j.attempts {
			if a.ran || !a.done {
				harmless = false
			}
		}
	}
	if harmless {
		p.host.Refuse(j.ID, min(comeBack, p.s.MaxRetryAfter))
	} else {
		p.host.Fail(j.ID)
	}
	p.finish(j)
}

// finish forgets a job and cancels what of it is still out; what is cancelled counts at its
// worker no more.
func (p *Policy) finish(j *job) {
	for no, a := range j.attempts {
		if !a.done {
			a.done = true
			a.w.out--
			if p.s.AllowCancel {
				p.host.Cancel(j.ID, no)
			}
		}
	}
	delete(p.jobs, j.ID)
}

// sorted returns the jobs in the order of their ids, so that a play gives the same actions.
func (p *Policy) sorted() []*job {
	js := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return js
}

// arm sets one timer for the next instant at which time alone changes something.
func (p *Policy) arm() {
	at := noTimerAt
	for _, j := range p.jobs {
		at = min(at, j.end-margin)
	}
	if p.askAt > 0 {
		at = min(at, p.askAt)
	}
	if at < p.armed && at < noTimerAt {
		p.armed = at
		p.token++
		p.host.SetTimer(max(at-p.now, p.s.Tick), p.token)
	}
}
