// Package recovery decides how to continue with stored jobs: whether, when and under which
// restrictions a job is offered to the policy, that is submitted to it, or whether the job becomes a
// dead letter. It does no I/O, and callers pass in the current time. The policy still chooses the
// workers, repeats attempts within an offer, and decides what to refuse.
package recovery

import (
	"math/rand/v2"
	"time"

	"tinroute.example/tinroute/balance"
)

// Limits bound the retries of one job.
type Limits struct {
	MaxOffers int // offers that may end without a result, above 0
	// MaxSends is how often a job may be sent over all offers, above 0. It stops a job that crashes
	// its dispatcher each time, so that its offers never end.
	MaxSends    int
	BaseBackoff time.Duration // upper bound of the first backoff; doubles with each retry
	MaxBackoff  time.Duration // upper bound of every backoff
	// Expiry is the time from the acceptance of a job, or from its scheduled time, until it
	// expires; 0 for none.
	Expiry time.Duration
}

// Send is an attempt that may have run.
type Send struct {
	Zone, Cell int
	At         time.Duration // when it was sent
}

// Job is what is known about a stored job.
type Job struct {
	Idempotency balance.Idempotency
	DedupScope  balance.DedupScope
	DedupWindow time.Duration
	EligibleAt  time.Duration // when it could first start; its expiry counts from here
	Offers      int           // offers that ended without a result
	Sends       int           // sends over all offers
	FirstSend   *Send         // the earliest send that may have run, or nil
	// HistoryUnknown means that it is unknown what was sent or when: the record is damaged, or the
	// clock was set back while the process was down.
	HistoryUnknown bool
}

// Action is what to do with a job.
type Action uint8

// The actions. A job may be offered and may wait any number of times. It ends exactly once, as
// done or as a dead letter.
const (
	ActionOffer      Action = iota // submit it to the policy now
	ActionWait                     // decide again at Decision.At
	ActionDeadLetter               // make it a dead letter
	ActionDone                     // remove it
)

// The reasons for making a job a dead letter.
const (
	ReasonUnknown      = "unknown"  // it may have run, and a repeat could double its effect
	ReasonFailed       = "failed"   // every offer failed
	ReasonRefused      = "refused"  // every offer was refused
	ReasonExpired      = "expired"  // no result within the expiry
	ReasonInvalid      = "unfit"    // a worker rejected the request as invalid
	ReasonTooManySends = "attempts" // too many sends
	ReasonNoFunction   = "function" // its function is no longer served
)

// Decision is an action and its details.
type Decision struct {
	Action       Action
	At           time.Duration         // for ActionWait
	Reason       string                // for ActionDeadLetter
	PriorAttempt *balance.PriorAttempt // for ActionOffer: the earlier send that restricts the policy, or nil
}

// Outcome is the outcome of an offer.
type Outcome uint8

// The outcomes. The policy refuses only requests that were never sent or may safely be repeated.
const (
	OutcomeServed Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeInvalid
)

// windowMargin is subtracted from the deduplication window, so that a repeat arrives within it in
// spite of small clock differences and network delays.
const windowMargin = 250 * time.Millisecond

// Planner makes the decisions. It is not safe for concurrent use.
type Planner struct {
	Limits
	rng *rand.Rand
}

// NewPlanner returns a planner. Its jitter is determined by the seed.
func NewPlanner(limits Limits, seed uint64) *Planner {
	return &Planner{Limits: limits, rng: rand.New(rand.NewPCG(seed, 0x7265636f76657279))}
}

// BeforeOffer decides whether a job that is due may be offered.
func (p *Planner) BeforeOffer(now time.Duration, j *Job) Decision {
	switch {
	case j.Sends >= p.MaxSends:
		return p.deadLetter(j, ReasonTooManySends)
	case p.Expiry > 0 && now >= j.EligibleAt+p.Expiry:
		return p.deadLetter(j, ReasonExpired)
	}
	return p.planOffer(now, j)
}

// deadLetter returns the decision to make a job a dead letter. If the job may have run and its class
// is not idempotent, the reason is always ReasonUnknown: an operator who releases the job must know
// that.
func (p *Planner) deadLetter(j *Job, reason string) Decision {
	if mayRepeat := j.Idempotency == balance.Idempotent; !mayRepeat && (j.FirstSend != nil || j.HistoryUnknown) {
		reason = ReasonUnknown
	}
	return Decision{Action: ActionDeadLetter, Reason: reason}
}

// planOffer decides by a job's class whether it may be offered. After a first send that may have run, a
// deduplicated job may only go to the workers that know its key, and only within the deduplication
// window. The policy gets that send with the offer and enforces both rules during the offer.
func (p *Planner) planOffer(now time.Duration, j *Job) Decision {
	if j.Idempotency == balance.Idempotent || j.FirstSend == nil && !j.HistoryUnknown {
		return Decision{Action: ActionOffer}
	}
	if j.HistoryUnknown || j.Idempotency == balance.NonIdempotent {
		return Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}
	}
	age := now - j.FirstSend.At
	if age < 0 || age >= j.DedupWindow-windowMargin { // a negative age means that the clock was set back
		return Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}
	}
	return Decision{Action: ActionOffer,
		PriorAttempt: &balance.PriorAttempt{Zone: j.FirstSend.Zone, Cell: j.FirstSend.Cell, Age: age}}
}

// AfterOffer decides what to do after an offer has ended; j.Offers already includes it. retryAfter
// is the minimum wait that the policy asks for.
func (p *Planner) AfterOffer(now time.Duration, j *Job, outcome Outcome, retryAfter time.Duration) Decision {
	reason := ReasonFailed
	switch outcome {
	case OutcomeServed:
		return Decision{Action: ActionDone}
	case OutcomeInvalid: // every worker would reject it; an earlier send may still have run
		return p.deadLetter(j, ReasonInvalid)
	case OutcomeRefused:
		reason = ReasonRefused
	}
	if j.Offers >= p.MaxOffers {
		return p.deadLetter(j, reason)
	}
	d := p.BeforeOffer(now, j)
	if d.Action != ActionOffer {
		return d
	}
	at := now + max(retryAfter, p.backoff(j.Offers))
	if d.PriorAttempt != nil { // past the deduplication window it would become a dead letter as unknown
		if windowEnd := j.FirstSend.At + j.DedupWindow - windowMargin; at >= windowEnd {
			at = now + min(retryAfter, (windowEnd-now)/2)
		}
	}
	if p.Expiry > 0 {
		at = min(at, j.EligibleAt+p.Expiry)
	}
	return Decision{Action: ActionWait, At: at}
}

// backoff returns an exponential backoff with full jitter: a uniformly random wait from zero up to
// the bound, so that jobs which were refused together are not retried together ("Exponential
// Backoff And Jitter", AWS Architecture Blog, 2015).
func (p *Planner) backoff(offers int) time.Duration {
	bound := p.BaseBackoff
	for i := 1; i < offers && bound < p.MaxBackoff; i++ {
		bound *= 2
	}
	bound = min(bound, p.MaxBackoff)
	return time.Duration(p.rng.Int64N(int64(bound) + 1))
}
