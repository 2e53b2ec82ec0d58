package recovery

import "time"

// Pacer bounds how many stored jobs are offered at once, so that a start with a million of them
// floods neither cold regions nor the policy's queue, where foreground jobs would wait behind
// them. It is not safe for concurrent use.
//
// It is an additive increase and multiplicative decrease of a window (Chiu and Jain 1989, as in
// TCP): the window grows by one for each window of results, and halves when the policy refuses an
// offer or a foreground job has waited for room. On top stand a bound on offers that
// wait unsent in the policy's queue, and a rate.
type Pacer struct {
	Limits PacerLimits

	window  float64
	slow    bool // slow start is over
	out     int
	waiting int // of out: not sent yet
	calmAt  time.Duration
	credit  float64
	at      time.Duration
	cuts    int
}

// PacerLimits are the bounds of a Pace.
type PacerLimits struct {
	MaxWindow         int           // most offers out at once
	MaxUnsent         int           // of these, not sent yet
	Rate              float64       // offers a second
	MaxForegroundWait time.Duration // a foreground job that waited longer for room shows that offers take too much
}

const (
	leastWindow = 1
	// calm is the least time between two cuts: what is out when the window is cut still shows
	// the old one's effect.
	calm = 500 * time.Millisecond
	// burst is how much of a second's rate may be saved up.
	burst = 0.1
)

// NewPacer returns a pace that begins with one offer.
func NewPacer(l PacerLimits) *Pacer { return &Pacer{Limits: l, window: leastWindow} }

// CanOffer tells whether one more job may be offered now, and if not for the rate alone, how long
// until it may.
func (p *Pacer) CanOffer(now time.Duration) (ok bool, wait time.Duration) {
	p.refill(now)
	if p.out >= int(p.window) || p.waiting >= p.Limits.MaxUnsent {
		return false, 0
	}
	if p.Limits.Rate > 0 && p.credit < 1 {
		return false, time.Duration((1 - p.credit) / p.Limits.Rate * float64(time.Second))
	}
	return true, 0
}

func (p *Pacer) refill(now time.Duration) {
	if now > p.at {
		p.credit = min(max(1, p.Limits.Rate*burst), p.credit+p.Limits.Rate*(now-p.at).Seconds())
		p.at = now
	}
}

// Offered notes an offer.
func (p *Pacer) Offered(now time.Duration) {
	p.refill(now)
	p.credit--
	p.out++
	p.waiting++
}

// Sent notes that an offer has left the policy's queue for a region.
func (p *Pacer) Sent() { p.waiting = max(0, p.waiting-1) }

// Ended notes an offer's end, and whether it had been sent.
func (p *Pacer) Ended(now time.Duration, sent bool, e Outcome) {
	p.out = max(0, p.out-1)
	if !sent {
		p.Sent()
	}
	switch {
	case e == OutcomeRefused:
		p.cut(now)
	case e == OutcomeServed && p.slow:
		p.window += 1 / p.window
	case e == OutcomeServed:
		p.window++
	}
	p.window = min(p.window, float64(max(leastWindow, p.Limits.MaxWindow)))
}

// ForegroundWaited notes how long a foreground job waited for its first send. What it does to the
// window does not hang on whether offers were the cause: where foreground jobs wait there is no
// room to give away.
func (p *Pacer) ForegroundWaited(now, waited time.Duration) {
	if p.Limits.MaxForegroundWait > 0 && waited > p.Limits.MaxForegroundWait {
		p.cut(now)
	}
}

func (p *Pacer) cut(now time.Duration) {
	p.slow = true
	if now < p.calmAt {
		return
	}
	p.calmAt = now + calm
	p.cuts++
	p.window = max(leastWindow, p.window/2)
}

// Outstanding is how many offers have not ended.
func (p *Pacer) Outstanding() int { return p.out }

// Window is how many offers may be out, and Cuts how often that was halved.
func (p *Pacer) Window() (window, cuts int) { return int(p.window), p.cuts }
