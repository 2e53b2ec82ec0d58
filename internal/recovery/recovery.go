// Package recovery decides what becomes of stored jobs: whether one may be offered to the
// policy (again), when, and bound to what, or whether it ends among the dead letters. It does
// no I/O and knows no clock but the one it is handed. The policy still chooses the region,
// repeats within an offer and what is refused.
package recovery

import (
	"math/rand/v2"
	"time"

	"tinroute.example/tinroute/balance"
)

// Limits of what is tried for one job.
type Limits struct {
	Offers int           // that may end without a result, above 0
	Sends  int           // over all offers, above 0: a job that brings its dispatcher down each time never ends an offer
	Base   time.Duration // the bound of the first back-off; it doubles with each
	Most   time.Duration // the bound that no back-off passes
	Expiry time.Duration // from its acceptance, or its instant; 0 for none
}

// Send is a routed task that may have run.
type Send struct {
	Zone, Cell int
	At         time.Duration
}

// Job is what is known of a stored job.
type Job struct {
	Effect balance.Idempotency
	Group  balance.DedupScope
	Span   time.Duration
	Since  time.Duration // it might first start
	Offers int           // that ended without a result
	Sends  int
	First  *Send // the earliest send that may have run, nil where none may
	// Unclear tells that what was sent, or how long ago, cannot be known: the record is
	// damaged, or the clock was set back while the process was down.
	Unclear bool
}

// Action is what to do with a job.
type Action uint8

// The actions. Each job is offered and waits any number of times, and then ends once: it is
// done or buried.
const (
	Offer Action = iota // to the policy, now
	Wait                // until Decision.At
	Bury                // among the dead letters
	Done
)

// The reasons for which a job is buried.
const (
	Unknown = "unknown"  // it may have run, and a repeat could double its effect
	Failed  = "failed"   // every offer failed
	Refused = "refused"  // every offer was refused
	Expired = "expired"  // no result within the expiry
	Unfit   = "unfit"    // a region turned the request itself away
	Sends   = "attempts" // too many sends
	Orphan  = "function" // its function is not served any more
)

// Decision is what to do, and why.
type Decision struct {
	Do      Action
	At      time.Duration         // Wait
	Reason  string                // Bury
	Earlier *balance.PriorAttempt // Offer: what binds the policy, nil for nothing
}

// End is how an offer ended.
type End uint8

// The ends. The policy refuses what was never sent, or what may be repeated.
const (
	Served End = iota
	WasRefused
	HasFailed
	WasUnfit
)

// margin keeps a repeat inside the span where clocks and networks are a little late.
const margin = 250 * time.Millisecond

// Planner decides by its limits. It is not safe for concurrent use.
type Planner struct {
	Limits
	rng *rand.Rand
}

// New returns a planner; its jitter follows from the seed alone.
func New(l Limits, seed uint64) *Planner {
	return &Planner{Limits: l, rng: rand.New(rand.NewPCG(seed, 0x7265636f76657279))}
}

// Before decides on a job that is due.
func (p *Planner) Before(now time.Duration, j *Job) Decision {
	switch {
	case j.Sends >= p.Sends:
		return p.bury(j, Sends)
	case p.Expiry > 0 && now >= j.Since+p.Expiry:
		return p.bury(j, Expired)
	}
	return p.repeat(now, j)
}

// bury ends a job. That it may have run weighs more than any other reason: whoever releases it
// must know.
func (p *Planner) bury(j *Job, reason string) Decision {
	if mayRepeat := j.Effect == balance.Idempotent; !mayRepeat && (j.First != nil || j.Unclear) {
		reason = Unknown
	}
	return Decision{Do: Bury, Reason: reason}
}

// repeat offers a job as far as its class allows. After a first send that may have run, a keyed
// job goes only to the group that knows its key, and only within the span; the policy is told
// of that send and holds to both while the offer lasts.
func (p *Planner) repeat(now time.Duration, j *Job) Decision {
	if j.Effect == balance.Idempotent || j.First == nil && !j.Unclear {
		return Decision{Do: Offer}
	}
	if j.Unclear || j.Effect == balance.NonIdempotent {
		return Decision{Do: Bury, Reason: Unknown}
	}
	ago := now - j.First.At
	if ago < 0 || ago >= j.Span-margin { // before its own send: the clock was set back
		return Decision{Do: Bury, Reason: Unknown}
	}
	return Decision{Do: Offer, Earlier: &balance.PriorAttempt{Zone: j.First.Zone, Cell: j.First.Cell, Age: ago}}
}

// After decides on a job whose offer has ended; j.Offers counts it already. retryAfter is the
// policy's own advice.
func (p *Planner) After(now time.Duration, j *Job, e End, retryAfter time.Duration) Decision {
	reason := Failed
	switch e {
	case Served:
		return Decision{Do: Done}
	case WasUnfit: // any region would turn it away, but for the effect it may have had before
		return p.bury(j, Unfit)
	case WasRefused:
		reason = Refused
	}
	if j.Offers >= p.Offers {
		return p.bury(j, reason)
	}
	d := p.Before(now, j)
	if d.Do != Offer {
		return d
	}
	at := now + max(retryAfter, p.backoff(j.Offers))
	if d.Earlier != nil { // a wait that outlasts the span would end it unknown
		if last := j.First.At + j.Span - margin; at >= last {
			at = now + min(retryAfter, (last-now)/2)
		}
	}
	if p.Expiry > 0 {
		at = min(at, j.Since+p.Expiry)
	}
	return Decision{Do: Wait, At: at}
}

// backoff is exponential with full jitter: any wait from nothing up to the bound, so that jobs
// refused together do not come back together ("Exponential Backoff And Jitter", AWS
// Architecture Blog, 2015).
func (p *Planner) backoff(offers int) time.Duration {
	bound := p.Base
	for i := 1; i < offers && bound < p.Most; i++ {
		bound *= 2
	}
	bound = min(bound, p.Most)
	return time.Duration(p.rng.Int64N(int64(bound) + 1))
}
