package recovery

import "time"

// Pace bounds how many stored jobs are offered at once, so that a start with a million of them
// floods neither cold regions nor the policy's queue, where foreground jobs would wait behind
// them. It is not safe for concurrent use.
//
// It is an additive increase and multiplicative decrease of a window (Chiu and Jain 1989, as in
// TCP): the window grows by one for each window of results, and halves when the policy refuses an
// offer or a foreground job has waited for room. On top stand a bound on offers that
// wait unsent in the policy's queue, and a rate.
type Pace struct {
	Limit PaceLimits

	window  float64
	slow    bool // slow start is over
	out     int
	waiting int // of out: not sent yet
	calmAt  time.Duration
	credit  float64
	at      time.Duration
	cuts    int
}

// PaceLimits are the bounds of a Pace.
type PaceLimits struct {
	Window  int           // most offers out at once
	Waiting int           // of these, not sent yet
	Rate    float64       // offers a second
	Wait    time.Duration // a foreground job that waited longer for room shows that offers take too much
}

const (
	leastWindow = 1
	// calm is the least time between two cuts: what is out when the window is cut still shows
	// the old one's effect.
	calm = 500 * time.Millisecond
	// burst is how much of a second's rate may be saved up.
	burst = 0.1
)

// NewPace returns a pace that begins with one offer.
func NewPace(l PaceLimits) *Pace { return &Pace{Limit: l, window: leastWindow} }

// May tells whether one more job may be offered now, and if not for the rate alone, how long
// until it may.
func (p *Pace) May(now time.Duration) (ok bool, wait time.Duration) {
	p.refill(now)
	if p.out >= int(p.window) || p.waiting >= p.Limit.Waiting {
		return false, 0
	}
	if p.Limit.Rate > 0 && p.credit < 1 {
		return false, time.Duration((1 - p.credit) / p.Limit.Rate * float64(time.Second))
	}
	return true, 0
}

func (p *Pace) refill(now time.Duration) {
	if now > p.at {
		p.credit = min(max(1, p.Limit.Rate*burst), p.credit+p.Limit.Rate*(now-p.at).Seconds())
		p.at = now
	}
}

// Offered notes an offer.
func (p *Pace) Offered(now time.Duration) {
	p.refill(now)
	p.credit--
	p.out++
	p.waiting++
}

// Sent notes that an offer has left the policy's queue for a region.
func (p *Pace) Sent() { p.waiting = max(0, p.waiting-1) }

// Ended notes an offer's end, and whether it had been sent.
func (p *Pace) Ended(now time.Duration, sent bool, e End) {
	p.out = max(0, p.out-1)
	if !sent {
		p.Sent()
	}
	switch {
	case e == WasRefused:
		p.cut(now)
	case e == Served && p.slow:
		p.window += 1 / p.window
	case e == Served:
		p.window++
	}
	p.window = min(p.window, float64(max(leastWindow, p.Limit.Window)))
}

// Foreground notes how long a foreground job waited for its first send. What it does to the
// window does not hang on whether offers were the cause: where foreground jobs wait there is no
// room to give away.
func (p *Pace) Foreground(now, waited time.Duration) {
	if p.Limit.Wait > 0 && waited > p.Limit.Wait {
		p.cut(now)
	}
}

func (p *Pace) cut(now time.Duration) {
	p.slow = true
	if now < p.calmAt {
		return
	}
	p.calmAt = now + calm
	p.cuts++
	p.window = max(leastWindow, p.window/2)
}

// Out is how many offers have not ended.
func (p *Pace) Out() int { return p.out }

// Window is how many offers may be out, and Cuts how often that was halved.
func (p *Pace) Window() (window, cuts int) { return int(p.window), p.cuts }
