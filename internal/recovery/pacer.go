package recovery

import "time"

// Pacer limits how many stored jobs are offered at once. Without it, a start with a million stored
// jobs would overload cold workers and fill the policy's queue ahead of foreground jobs. It is not
// safe for concurrent use.
//
// The limit is a window with additive increase and multiplicative decrease (Chiu and Jain 1989, as
// in TCP). It grows by one for each result at first (slow start), and after the first cut by one for
// each window of results. It halves when the policy refuses an offer or a foreground job has waited
// too long for capacity. Two more limits bound the offers that wait unsent in the policy's queue and
// the rate of offers.
type Pacer struct {
	Limits PacerLimits

	window        float64
	slowStartOver bool          // the window was cut, and now grows by one for each window of results
	outstanding   int           // offers that have not ended
	unsent        int           // of these, not sent yet
	nextCutAt     time.Duration // earliest time of the next cut
	tokens        float64       // tokens of the rate limit
	refilledAt    time.Duration // when the tokens were last refilled
	cuts          int           // how often the window was halved
}

// PacerLimits are the limits of a Pacer.
type PacerLimits struct {
	MaxWindow int     // offers that have not ended
	MaxUnsent int     // offers that are not sent yet
	Rate      float64 // offers per second, 0 for no limit
	// MaxForegroundWait is the longest time that a foreground job may wait for capacity before the
	// window is cut; 0 disables this rule.
	MaxForegroundWait time.Duration
}

const (
	minWindow = 1
	// minCutInterval is the minimum time between two cuts: offers that are outstanding at a cut
	// still show the effect of the old window.
	minCutInterval = 500 * time.Millisecond
	// burstSeconds is the size of the token bucket in seconds of the rate.
	burstSeconds = 0.1
)

// NewPacer returns a Pacer with a window of one offer.
func NewPacer(limits PacerLimits) *Pacer { return &Pacer{Limits: limits, window: minWindow} }

// CanOffer reports whether one more job may be offered now. If only the rate forbids it, wait is
// the time until it may.
func (p *Pacer) CanOffer(now time.Duration) (ok bool, wait time.Duration) {
	p.refill(now)
	if p.outstanding >= int(p.window) || p.unsent >= p.Limits.MaxUnsent {
		return false, 0
	}
	if p.Limits.Rate > 0 && p.tokens < 1 {
		return false, time.Duration((1 - p.tokens) / p.Limits.Rate * float64(time.Second))
	}
	return true, 0
}

// refill adds the tokens earned since the last call.
func (p *Pacer) refill(now time.Duration) {
	if now > p.refilledAt {
		p.tokens = min(max(1, p.Limits.Rate*burstSeconds), p.tokens+p.Limits.Rate*(now-p.refilledAt).Seconds())
		p.refilledAt = now
	}
}

// Offered records an offer.
func (p *Pacer) Offered(now time.Duration) {
	p.refill(now)
	p.tokens--
	p.outstanding++
	p.unsent++
}

// Sent records that an offer has left the policy's queue for a worker.
func (p *Pacer) Sent() { p.unsent = max(0, p.unsent-1) }

// Ended records the outcome of an offer, and whether it had been sent.
func (p *Pacer) Ended(now time.Duration, sent bool, outcome Outcome) {
	p.outstanding = max(0, p.outstanding-1)
	if !sent {
		p.Sent()
	}
	switch {
	case outcome == OutcomeRefused:
		p.cut(now)
	case outcome == OutcomeServed && p.slowStartOver:
		p.window += 1 / p.window
	case outcome == OutcomeServed:
		p.window++
	}
	p.window = min(p.window, float64(max(minWindow, p.Limits.MaxWindow)))
}

// ForegroundWaited records how long a foreground job waited for its first send. A long wait cuts
// the window whether or not offers caused it: while foreground jobs wait there is no spare capacity
// for offers.
func (p *Pacer) ForegroundWaited(now, waited time.Duration) {
	if p.Limits.MaxForegroundWait > 0 && waited > p.Limits.MaxForegroundWait {
		p.cut(now)
	}
}

// cut halves the window, unless it was cut less than minCutInterval ago.
func (p *Pacer) cut(now time.Duration) {
	p.slowStartOver = true
	if now < p.nextCutAt {
		return
	}
	p.nextCutAt = now + minCutInterval
	p.cuts++
	p.window = max(minWindow, p.window/2)
}

// Outstanding returns how many offers have not ended.
func (p *Pacer) Outstanding() int { return p.outstanding }

// Window returns the current window, and how often it was halved.
func (p *Pacer) Window() (window, cuts int) { return int(p.window), p.cuts }
