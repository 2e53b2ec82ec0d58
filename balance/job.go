package balance

import (
	"slices"
	"time"
)

// job is the state of an open job.
type job struct {
	Job
	class                *class
	arrivedAt            time.Duration // estimated time of the client's first request, from what is left of its deadline
	expiresAt            time.Duration // when the client gives up
	attempts             []*attempt
	inFlight             int // number of attempts in flight
	queued               bool
	worth                float64 // worth of an answer in time
	finished             bool
	streaming            bool          // the client is receiving a streamed answer
	waitForEvidenceUntil time.Duration // not sent without evidence of a free slot before this time
	invalid              bool          // a worker rejected it as invalid
	repeatAdmitted       bool          // the budget has admitted the next attempt
	prior                *attempt      // Job.PriorAttempt, or nil
}

// attemptsExhausted reports whether the job has used its attempts, of which limit are allowed. An attempt
// without a connection does not count, since nothing was sent: when discovery was down and most listed
// workers had gone, jobs were refused after three such attempts although live workers were left. The total
// of all attempts is limited to three times as many.
func (j *job) attemptsExhausted(limit int) bool {
	connected := 0
	for _, a := range j.attempts {
		if !a.unreachable {
			connected++
		}
	}
	return connected >= limit || len(j.attempts) >= 3*limit
}

// firstThatRan returns the first attempt that may have run, or nil.
func (j *job) firstThatRan() *attempt {
	if j.prior != nil {
		return j.prior
	}
	for _, a := range j.attempts {
		if a.mayHaveRun {
			return a
		}
	}
	return nil
}

// ranAt reports whether an attempt that has ended may have run at the worker. The worker may still have state
// or work of it, so another worker is preferred.
func (j *job) ranAt(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.worker == w && a.mayHaveRun })
}

// newestInFlight returns the latest attempt in flight, or nil. This need not be the latest attempt, which may
// have failed while earlier ones are still in flight.
func (j *job) newestInFlight() *attempt {
	for i := len(j.attempts) - 1; i >= 0; i-- {
		if !j.attempts[i].done {
			return j.attempts[i]
		}
	}
	return nil
}

// hasStarted reports whether an attempt in flight has started.
func (j *job) hasStarted() bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return !a.done && a.started })
}

// repeatableAnywhere reports whether a repeat of the job is harmless at any worker.
func (j *job) repeatableAnywhere() bool {
	return j.class.Idempotency == Idempotent ||
		j.class.Idempotency == Deduplicated && j.class.DedupScope == ScopeFleet
}

// restricted reports whether the job may go to only a part of the fleet.
func (j *job) restricted() bool {
	return j.class.WorkerKind >= 0 ||
		j.class.Idempotency == Deduplicated && j.class.DedupScope != ScopeFleet && j.firstThatRan() != nil
}

// attempt is an attempt of a job at a worker.
type attempt struct {
	job               *job
	number            int
	worker            *worker
	sentAt, startedAt time.Duration
	eventAt           time.Duration // time of the last event
	progress          float64       // completed fraction
	started           bool
	startOverdue      bool // did not start within Balancer.startTimeout
	evidence          int  // kind of evidence of a free slot that it was sent on
	cancelled         bool
	done              bool
	mayHaveRun        bool // may have had an effect
	sampled           bool // its run is in the estimates
	keyKnown          bool // the worker knew the job's key when it was sent
	overcommit        bool // sent without known room at the worker
	unreachable       bool // no connection was established, so nothing was sent
}

// class is the state of a class of jobs.
type class struct {
	Class
	samples                   float64 // number of runs in the distribution of the work
	meanWork                  float64 // in seconds at slowness 1
	logWorkMean, logWorkVar   float64 // mean and variance of its logarithm
	endedWeight, onTimeWeight float64 // weight of the jobs that ended, and of those served in time
}

// tokenBucket fills at this dispatcher's part of a tenant's quota.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}
