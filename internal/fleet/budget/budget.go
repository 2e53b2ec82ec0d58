// Package budget is a holder's side of a fleet's budgets: what one dispatcher may admit of the share
// that it was granted, decided where it stands, with no call on the way of a job. It does no I/O and
// knows only the clock it is handed, which must neither step nor stand still in a suspend.
//
// A share is good until its lease ends, counted from before it was asked for and shortened by the
// drift allowed between clocks, so that it has ended here before it has for the ledger. Each use
// looks at the lease. After it a holder has its floor for a stated time, then nothing. Amounts are
// in thousandths: of a unit a second for rates, of a piece for what is held.
package budget

import (
	"math"
	"time"
)

// Milli is a unit of a budget's amounts: one job, one piece, one second of work.
const Milli = 1000

// Grant is what a holder was told of one budget.
type Grant struct {
	Share int64         // may be used until Ends
	Floor int64         // may be used after it, until Until
	Burst int64         // of Share, for rates: the most saved up
	Ends  time.Duration // by the holder's clock
	Until time.Duration
}

// at is the amount in force at an instant.
func (g *Grant) at(now time.Duration) int64 {
	switch {
	case now < g.Ends:
		return g.Share
	case now < g.Until:
		return min(g.Floor, g.Share)
	}
	return 0
}

// burst is how much may be saved up at an instant.
func (g *Grant) burst(now time.Duration) int64 {
	if now < g.Ends {
		return g.Burst
	}
	if now < g.Until && g.Share > 0 {
		return min(g.Burst, max(Milli, g.Burst*min(g.Floor, g.Share)/g.Share))
	}
	return 0
}

// Rate is a budget by time: units a second with a burst, or seconds of work a second. It starts with
// nothing saved up, since what it could have saved may have been spent by its predecessor.
type Rate struct {
	grant  Grant
	slow   int64 // millionths by which a clock may run fast: so much less is saved up
	saved  int64 // thousandths of Milli
	at     time.Duration
	asked  int64 // Milli asked for since the last demand was read
	times  int64 // in how many calls
	since  time.Duration
	demand float64

	used, denied int64 // Milli since the start
}

// Counts are how much was admitted and how much denied since the start, in Milli.
func (r *Rate) Counts() (used, denied int64) { return r.used, r.denied }

// fine is how much finer than Milli savings are kept, so that short waits are not rounded away.
const fine = 1000

// Set takes a grant. What was saved up beyond its burst is gone at once.
func (r *Rate) Set(now time.Duration, g Grant) {
	r.accrue(now)
	r.grant = g
	r.saved = min(r.saved, g.burst(now)*fine)
}

// accrue saves up to now, each stretch by what was in force in it.
func (r *Rate) accrue(now time.Duration) {
	for r.at < now {
		to := now
		for _, edge := range [...]time.Duration{r.grant.Ends, r.grant.Until} {
			if r.at < edge && edge < to {
				to = edge
			}
		}
		most := r.grant.burst(r.at) * fine
		if rate := r.grant.at(r.at); rate > 0 && r.saved < most {
			// rate x time could overflow after a long pause; the burst is full long before.
			us := int64((to - r.at) / time.Microsecond)
			if us/1000 > 2*(most/rate)+1 {
				r.saved = most
			} else {
				gain := rate * us / (1_000_000 / fine)
				if gain < 1<<40 {
					gain -= (gain*r.slow + 999_999) / 1_000_000
				} else { // the product could overflow
					gain -= gain / 1_000_000 * r.slow
				}
				r.saved += gain
			}
		}
		r.at = to
		r.saved = min(r.saved, r.grant.burst(to)*fine)
	}
}

// Take admits n thousandths, or tells how long until they could be, by what is in force now; never
// is true where that is not in sight.
func (r *Rate) Take(now time.Duration, n int64) (ok bool, wait time.Duration, never bool) {
	// Step by whole microseconds, or many short steps would each lose a part of one.
	r.accrue(now - now%time.Microsecond)
	r.asked += n
	r.times++
	r.denied += n
	if need := n*fine - r.saved; need > 0 {
		rate := r.grant.at(now)
		if rate <= 0 || n > r.grant.burst(now) {
			return false, 0, true
		}
		return false, time.Duration(need) * (time.Second / fine) / time.Duration(rate), false
	}
	if r.grant.at(now) <= 0 {
		return false, 0, true
	}
	r.saved -= n * fine
	r.denied -= n
	r.used += n
	return true, 0, false
}

// Burst is the most that may be saved up from now on without another grant.
func (r *Rate) Burst(now time.Duration) int64 { return r.grant.burst(now) }

// Holding is the most that may be used from now on without another grant.
func (r *Rate) Holding(now time.Duration) int64 { return r.grant.at(now) }

// Demand is what was asked for, admitted or not, in Milli a second. Between two calls a few arrive by chance
// or none, and shares that follow chance are idle where they are and missing where they were: so the estimate
// moves by a quarter of the way, but goes all the way at once where chance alone would hardly explain what came.
func (r *Rate) Demand(now time.Duration) int64 {
	if d := (now - r.since).Seconds(); d > 0 {
		came := float64(r.asked)
		if r.Moved(now) {
			r.demand = came / d
		} else {
			r.demand += (came/d - r.demand) / 4
		}
		r.asked, r.times, r.since = 0, 0, now
	}
	return int64(r.demand)
}

// Moved tells whether the demand is surely another one than the last call of Demand told.
func (r *Rate) Moved(now time.Duration) bool {
	came, expected, unit := float64(r.asked), r.demand*(now-r.since).Seconds(), float64(Milli)
	if r.times > 0 {
		unit = came / float64(r.times)
	}
	return math.Abs(came-expected) > surely*math.Sqrt(max(expected, unit)*unit)
}

// surely is how many standard deviations of a Poisson count no chance is taken for.
const surely = 3

// Ratio is a budget by count: each unit earned allows a part of another kind's, as repeats by first tries.
// It needs no ledger: what every dispatcher keeps within its part, all together do.
type Ratio struct {
	Part  int64 // thousandths that one unit earns
	Most  int64 // the most saved up, in Milli
	saved int64
}

// Earn counts one unit.
func (r *Ratio) Earn() { r.saved = min(r.saved+r.Part, r.Most) }

// Take admits one.
func (r *Ratio) Take() bool {
	if r.saved < Milli {
		return false
	}
	r.saved -= Milli
	return true
}

// Held is a budget of what is held at once, in whole pieces.
type Held struct {
	grant Grant
	held  int64
	peak  int64 // of held and turned away, since the last demand was read
}

// Set takes a grant. Pieces held beyond it stay until they are given back; none is added.
func (h *Held) Set(_ time.Duration, g Grant) { h.grant = g }

// Take admits one piece.
func (h *Held) Take(now time.Duration) bool {
	h.peak = max(h.peak, h.held+Milli)
	if h.held+Milli > h.grant.at(now) {
		return false
	}
	h.held += Milli
	return true
}

// Give gives one piece back. What was never taken is an error of the caller's, and counts for nothing.
func (h *Held) Give() { h.held = max(0, h.held-Milli) }

// Held is how much is held now.
func (h *Held) Held() int64 { return h.held }

// Holding is the most that may be used from now on without another grant: what is held goes on being
// used whatever became of the lease.
func (h *Held) Holding(now time.Duration) int64 { return max(h.held, h.grant.at(now)) }

// Demand is the most that was held or wanted since the last call.
func (h *Held) Demand(time.Duration) int64 {
	d := h.peak
	h.peak = h.held
	return d
}
