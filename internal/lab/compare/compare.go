// Package compare implements well-known load balancing policies to compare with tinroute's own in experiments: random
// choice, round robin, least outstanding requests, the power of two choices, and join-the-shortest-queue. The last one
// reads the true state of the workers, which no real dispatcher knows, and serves as an upper bound.
//
// The policies follow these rules of the emulator's checker: no job goes to a worker that is draining or gone, a job gets
// at most the allowed number of attempts, a job that may have run is repeated only if its class is idempotent, and every
// job is answered before its client gives up. Like their textbook versions, they do not limit the load of a cold node.
// If they overload one, the checker reports it as a violation, and this is part of the result of an experiment.
//
// The policies have no queue: they send each job to a worker immediately. They do no I/O and get the time from their caller. Only the
// emulator runs them, never a dispatcher.
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

// The names of the policies.
const (
	Random           = "random"
	RoundRobin       = "round-robin"
	LeastOutstanding = "least-outstanding"
	TwoChoices       = "two-choices"
	ShortestQueue    = "shortest-queue" // uses the true state of the workers
)

// Names lists the policies in the order of reports.
var Names = []string{Random, RoundRobin, LeastOutstanding, TwoChoices, ShortestQueue}

const (
	answerMargin   = time.Millisecond      // time before the client's timeout at which an unserved job is answered
	retryAfter     = 50 * time.Millisecond // retry delay in refusals
	pullRetryDelay = time.Second           // minimum delay after a failed pull of the member list; up to the same is added at random
	noTimer        = time.Duration(math.MaxInt64)
)

// JobCountFunc returns the true number of running and waiting jobs at a worker. Only ShortestQueue uses it.
type JobCountFunc func(balance.WorkerID) int

// Policy is a comparison policy of one dispatcher.
type Policy struct {
	name     string
	settings balance.Settings
	host     balance.Host
	jobCount JobCountFunc
	rng      *rand.Rand
	now      time.Duration

	workers    []*worker // in the order in which they became known, so that no choice depends on the map order
	byID       map[balance.WorkerID]*worker
	jobs       map[balance.JobID]*job
	nextIndex  int           // for RoundRobin
	nextPull   time.Duration // of the member list; 0 for none
	timerAt    time.Duration // noTimer for none
	timerToken uint64
}

type worker struct {
	balance.Member
	outstanding int // attempts of this dispatcher that have not ended
}

type job struct {
	balance.Job
	deadline    time.Duration
	attempts    []*attempt
	outstanding int
}

type attempt struct {
	worker           *worker
	done, mayHaveRun bool
	unreachable      bool // no connection was established, so that it does not count as an attempt
}

// New returns the named policy. The job count function is required only for ShortestQueue.
func New(name string, settings balance.Settings, host balance.Host, jobCount JobCountFunc) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("unknown policy %q: must be one of %v", name, Names)
	}
	if name == ShortestQueue && jobCount == nil {
		return nil, fmt.Errorf("policy %q: needs the true state of the workers", name)
	}
	if settings.MaxAttempts < 1 || len(settings.Classes) == 0 {
		return nil, fmt.Errorf("policy %q: settings need at least one class and one attempt", name)
	}
	return &Policy{name: name, settings: settings, host: host, jobCount: jobCount, rng: rand.New(rand.NewPCG(settings.Seed, uint64(settings.Position))),
		byID: map[balance.WorkerID]*worker{}, jobs: map[balance.JobID]*job{}, timerAt: noTimer}, nil
}

// UpdateMembers applies an update of the member list.
func (p *Policy) UpdateMembers(now time.Duration, kind balance.UpdateKind, list []balance.Member) {
	p.now = now
	if kind == balance.UpdateFailed { // keep the known list and pull again later
		p.nextPull = now + pullRetryDelay + time.Duration(p.rng.Int64N(int64(pullRetryDelay)))
		p.scheduleTimer()
		return
	}
	if kind != balance.UpdateDelta {
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
	if kind == balance.UpdateCached && p.settings.PullMembers {
		p.host.Watch()
	}
	p.nextPull = 0
	p.scheduleTimer()
}

// SubmitJob adds a job and sends it.
func (p *Policy) SubmitJob(now time.Duration, spec balance.Job) {
	p.now = now
	if spec.Class < 0 || spec.Class >= len(p.settings.Classes) || p.jobs[spec.ID] != nil {
		return
	}
	j := &job{Job: spec, deadline: now + spec.ClientTimeout}
	p.jobs[spec.ID] = j
	p.sendAttempt(j)
	p.scheduleTimer()
}

// TimerFired answers jobs whose client is about to time out, and pulls the member list if that is due.
func (p *Policy) TimerFired(now time.Duration, token uint64) {
	p.now = now
	if token != p.timerToken {
		return
	}
	p.timerAt = noTimer
	if p.nextPull > 0 && now >= p.nextPull {
		p.nextPull = 0
		p.host.Watch()
	}
	for _, j := range p.sortedJobs() {
		if now >= j.deadline-answerMargin {
			p.answerUnserved(j)
		}
	}
	p.scheduleTimer()
}

// ClientGone removes a job whose client has disconnected.
func (p *Policy) ClientGone(now time.Duration, id balance.JobID) {
	p.now = now
	if j := p.jobs[id]; j != nil {
		p.removeJob(j)
	}
	p.scheduleTimer()
}

// AttemptEvent does nothing: these policies do not use events of attempts.
func (p *Policy) AttemptEvent(time.Duration, balance.JobID, int, balance.EventKind, float64) {}

// ProbeDone does nothing: these policies send no probes.
func (p *Policy) ProbeDone(time.Duration, balance.WorkerID, balance.Status, time.Duration, balance.LoadReport) {
}

// AttemptDone handles the end of an attempt. A served job is removed. A failed one gets another attempt if its class and
// the number of attempts allow it, and a final answer if not.
func (p *Policy) AttemptDone(now time.Duration, result balance.AttemptResult) {
	p.now = now
	j := p.jobs[result.Job]
	if j == nil || result.Attempt < 0 || result.Attempt >= len(j.attempts) || j.attempts[result.Attempt].done {
		return
	}
	a := j.attempts[result.Attempt]
	a.done, a.mayHaveRun, a.unreachable = true, !result.Status.NeverRan(), result.Status == balance.StatusUnreachable
	j.outstanding--
	a.worker.outstanding--
	switch {
	case result.JobDone || result.Status == balance.StatusOK:
		p.removeJob(j)
	case j.outstanding == 0:
		p.sendAttempt(j)
	}
	p.scheduleTimer()
}

// View returns the current state for monitoring.
func (p *Policy) View(time.Duration) balance.View {
	v := balance.View{Running: len(p.jobs)}
	for _, w := range p.workers {
		if w.State != balance.Gone {
			v.Workers = append(v.Workers, balance.WorkerView{ID: w.ID, Slots: 1, Used: float64(w.outstanding),
				Slowness: 1, Serving: w.State == balance.Serving})
		}
	}
	return v
}

// sendAttempt sends the job to a worker, or answers it if no further attempt is possible.
func (p *Policy) sendAttempt(j *job) {
	if !p.mayRepeat(j) {
		p.answerUnserved(j)
		return
	}
	w := p.pickWorker(j)
	if w == nil {
		p.answerUnserved(j)
		return
	}
	j.attempts = append(j.attempts, &attempt{worker: w})
	j.outstanding++
	w.outstanding++
	p.host.Send(j.ID, w.ID, 0)
}

// mayRepeat reports whether the job may get another attempt: attempts and time are left, and no earlier attempt may have
// run unless the class is idempotent.
func (p *Policy) mayRepeat(j *job) bool {
	tried := 0
	for _, a := range j.attempts {
		if !a.unreachable {
			tried++
		}
		if a.mayHaveRun && p.settings.Classes[j.Class].Idempotency != balance.Idempotent {
			return false
		}
	}
	return tried < p.settings.MaxAttempts && len(j.attempts) < 3*p.settings.MaxAttempts && p.now < j.deadline-answerMargin
}

// pickWorker chooses among the serving workers that have had no attempt of the job, or among all serving workers if
// there are none.
func (p *Policy) pickWorker(j *job) *worker {
	var untried, all []*worker
	for _, w := range p.workers {
		if w.State != balance.Serving || j.Class < len(p.settings.Classes) && p.settings.Classes[j.Class].WorkerKind >= 0 &&
			p.settings.Classes[j.Class].WorkerKind != w.Kind {
			continue
		}
		all = append(all, w)
		if !slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.worker == w }) {
			untried = append(untried, w)
		}
	}
	if len(untried) > 0 {
		all = untried
	}
	if len(all) == 0 {
		return nil
	}
	switch p.name {
	case RoundRobin:
		p.nextIndex++
		return all[p.nextIndex%len(all)]
	case LeastOutstanding:
		return leastBy(all, func(w *worker) int { return w.outstanding }, p.rng)
	case TwoChoices:
		a, b := all[p.rng.IntN(len(all))], all[p.rng.IntN(len(all))]
		if b.outstanding < a.outstanding {
			return b
		}
		return a
	case ShortestQueue:
		return leastBy(all, func(w *worker) int { return p.jobCount(w.ID) }, p.rng)
	}
	return all[p.rng.IntN(len(all))]
}

// leastBy returns the worker with the smallest count. Ties are broken at random, since dispatchers with the same
// information must not all choose the first worker of the list.
func leastBy(workers []*worker, count func(*worker) int, rng *rand.Rand) *worker {
	var best *worker
	smallest, ties := math.MaxInt, 0
	for _, w := range workers {
		switch c := count(w); {
		case c < smallest:
			best, smallest, ties = w, c, 1
		case c == smallest:
			if ties++; rng.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

// answerUnserved answers a job that was not served: with a refusal if the client may safely send it again, else with a
// failure.
func (p *Policy) answerUnserved(j *job) {
	repeatable := p.settings.Classes[j.Class].Idempotency == balance.Idempotent
	if !repeatable {
		repeatable = true
		for _, a := range j.attempts {
			if a.mayHaveRun || !a.done {
				repeatable = false
			}
		}
	}
	if repeatable {
		p.host.Refuse(j.ID, min(retryAfter, p.settings.MaxRetryAfter))
	} else {
		p.host.Fail(j.ID)
	}
	p.removeJob(j)
}

// removeJob removes a job and cancels its open attempts, which no longer count as outstanding.
func (p *Policy) removeJob(j *job) {
	for index, a := range j.attempts {
		if !a.done {
			a.done = true
			a.worker.outstanding--
			if p.settings.AllowCancel {
				p.host.Cancel(j.ID, index)
			}
		}
	}
	delete(p.jobs, j.ID)
}

// sortedJobs returns the jobs ordered by ID, so that the actions are deterministic.
func (p *Policy) sortedJobs() []*job {
	jobs := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

// scheduleTimer sets the timer for the earliest deadline of a job or pull of the member list.
func (p *Policy) scheduleTimer() {
	at := noTimer
	for _, j := range p.jobs {
		at = min(at, j.deadline-answerMargin)
	}
	if p.nextPull > 0 {
		at = min(at, p.nextPull)
	}
	if at < p.timerAt && at < noTimer {
		p.timerAt = at
		p.timerToken++
		p.host.SetTimer(max(at-p.now, p.settings.Tick), p.timerToken)
	}
}
