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
	MaxOffers   int           // that may end without a result, above 0
	MaxSends    int           // over all offers, above 0: a job that brings its dispatcher down each time never ends an offer
	BaseBackoff time.Duration // the bound of the first back-off; it doubles with each
	MaxBackoff  time.Duration // the bound that no back-off passes
	Expiry      time.Duration // from its acceptance, or its instant; 0 for none
}

// Send is a routed task that may have run.
type Send struct {
	Zone, Cell int
	At         time.Duration
}

// Job is what is known of a stored job.
type Job struct {
	Effect      balance.Idempotency
	Group       balance.DedupScope
	DedupWindow time.Duration
	EligibleAt  time.Duration // it might first start
	Offers      int           // that ended without a result
	Sends       int
	FirstSend   *Send // the earliest send that may have run, nil where none may
	// Unclear tells that what was sent, or how long ago, cannot be known: the record is
	// damaged, or the clock was set back while the process was down.
	HistoryUnknown bool
}

// Action is what to do with a job.
type Action uint8

// The actions. Each job is offered and waits any number of times, and then ends once: it is
// done or buried.
const (
	ActionOffer      Action = iota // to the policy, now
	ActionWait                     // until Decision.At
	ActionDeadLetter               // among the dead letters
	ActionDone
)

// The reasons for which a job is buried.
const (
	ReasonUnknown      = "unknown"  // it may have run, and a repeat could double its effect
	ReasonFailed       = "failed"   // every offer failed
	ReasonRefused      = "refused"  // every offer was refused
	ReasonExpired      = "expired"  // no result within the expiry
	ReasonUnfit        = "unfit"    // a region turned the request itself away
	ReasonTooManySends = "attempts" // too many sends
	ReasonNoFunction   = "function" // its function is not served any more
)

// Decision is what to do, and why.
type Decision struct {
	Action  Action
	At      time.Duration         // Wait
	Reason  string                // Bury
	Earlier *balance.PriorAttempt // Offer: what binds the policy, nil for nothing
}

// Outcome is how an offer ended.
type Outcome uint8

// The ends. The policy refuses what was never sent, or what may be repeated.
const (
	OutcomeServed Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeUnfit
)

// margin keeps a repeat inside the span where clocks and networks are a little late.
const margin = 250 * time.Millisecond

// Planner decides by its limits. It is not safe for concurrent use.
type Planner struct {
	Limits
	rng *rand.Rand
}

// NewPlanner returns a planner; its jitter follows from the seed alone.
func NewPlanner(l Limits, seed uint64) *Planner {
	return &Planner{Limits: l, rng: rand.New(rand.NewPCG(seed, 0x7265636f76657279))}
}

// BeforeOffer decides on a job that is due.
func (p *Planner) BeforeOffer(now time.Duration, j *Job) Decision {
	switch {
	case j.Sends >= p.MaxSends:
		return p.bury(j, ReasonTooManySends)
	case p.Expiry > 0 && now >= j.EligibleAt+p.Expiry:
		return p.bury(j, ReasonExpired)
	}
	return p.repeat(now, j)
}

// bury ends a job. That it may have run weighs more than any other reason: whoever releases it
// must know.
func (p *Planner) bury(j *Job, reason string) Decision {
	if mayRepeat := j.Effect == balance.Idempotent; !mayRepeat && (j.FirstSend != nil || j.HistoryUnknown) {
		reason = ReasonUnknown
	}
	return Decision{Action: ActionDeadLetter, Reason: reason}
}

// repeat offers a job as far as its class allows. After a first send that may have run, a keyed
// job goes only to the group that knows its key, and only within the span; the policy is told
// of that send and holds to both while the offer lasts.
func (p *Planner) repeat(now time.Duration, j *Job) Decision {
	if j.Effect == balance.Idempotent || j.FirstSend == nil && !j.HistoryUnknown {
		return Decision{Action: ActionOffer}
	}
	if j.HistoryUnknown || j.Effect == balance.NonIdempotent {
		return Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}
	}
	ago := now - j.FirstSend.At
	if ago < 0 || ago >= j.DedupWindow-margin { // before its own send: the clock was set back
		return Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}
	}
	return Decision{Action: ActionOffer, Earlier: &balance.PriorAttempt{Zone: j.FirstSend.Zone, Cell: j.FirstSend.Cell, Age: ago}}
}

// AfterOffer decides on a job whose offer has ended; j.Offers counts it already. retryAfter is the
// policy's own advice.
func (p *Planner) AfterOffer(now time.Duration, j *Job, e Outcome, retryAfter time.Duration) Decision {
	reason := ReasonFailed
	switch e {
	case OutcomeServed:
		return Decision{Action: ActionDone}
	case OutcomeUnfit: // any region would turn it away, but for the effect it may have had before
		return p.bury(j, ReasonUnfit)
	case OutcomeRefused:
		reason = ReasonRefused
	}
	if j.Offers >= p.MaxOffers {
		return p.bury(j, reason)
	}
	d := p.BeforeOffer(now, j)
	if d.Action != ActionOffer {
		return d
	}
	at := now + max(retryAfter, p.backoff(j.Offers))
	if d.Earlier != nil { // a wait that outlasts the span would end it unknown
		if last := j.FirstSend.At + j.DedupWindow - margin; at >= last {
			at = now + min(retryAfter, (last-now)/2)
		}
	}
	if p.Expiry > 0 {
		at = min(at, j.EligibleAt+p.Expiry)
	}
	return Decision{Action: ActionWait, At: at}
}

// backoff is exponential with full jitter: any wait from nothing up to the bound, so that jobs
// refused together do not come back together ("Exponential Backoff And Jitter", AWS
// Architecture Blog, 2015).
func (p *Planner) backoff(offers int) time.Duration {
	bound := p.BaseBackoff
	for i := 1; i < offers && bound < p.MaxBackoff; i++ {
		bound *= 2
	}
	bound = min(bound, p.MaxBackoff)
	return time.Duration(p.rng.Int64N(int64(bound) + 1))
}
