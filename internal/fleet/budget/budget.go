// Package budget enforces one dispatcher's shares of the fleet's budgets. Admission is decided locally,
// without a remote call per job. The package does no I/O and takes the time as an argument; that clock
// must not step, and must keep counting while the machine is suspended.
//
// A share is valid until its lease ends. The lease starts before the renewal is sent and is shortened by
// the maximum clock drift, so that it ends here before the ledger considers it expired. Every admission
// checks the lease. After the lease a holder may use its floor for the grace period, then nothing.
//
// Amounts are in thousandths: of a unit per second for rates, and of a slot (one item in use) for
// concurrency.
package budget

import (
	"math"
	"time"
)

// Unit is one whole unit in the thousandths that amounts are counted in: one job, one slot, or one
// second of work.
const Unit = 1000

// Grant is a holder's granted share of one budget. Times are by the holder's clock.
type Grant struct {
	Share    int64         // usable until LeaseEnd
	Floor    int64         // usable from LeaseEnd until FloorEnd
	Burst    int64         // for rates: the most tokens that may accumulate
	LeaseEnd time.Duration // end of the lease
	FloorEnd time.Duration // end of the grace period after the lease
}

// amountAt returns the amount that may be used at time now.
func (g *Grant) amountAt(now time.Duration) int64 {
	switch {
	case now < g.LeaseEnd:
		return g.Share
	case now < g.FloorEnd:
		return min(g.Floor, g.Share)
	}
	return 0
}

// burstAt returns how many tokens may accumulate at time now.
func (g *Grant) burstAt(now time.Duration) int64 {
	if now < g.LeaseEnd {
		return g.Burst
	}
	if now < g.FloorEnd && g.Share > 0 {
		return min(g.Burst, max(Unit, g.Burst*min(g.Floor, g.Share)/g.Share))
	}
	return 0
}

// RateLimiter is a token bucket over a granted rate, in jobs or seconds of work per second. It starts
// empty: a previous process of the same name may already have spent the tokens.
type RateLimiter struct {
	grant     Grant
	driftPPM  int64 // how much a clock may run fast, in millionths; accrual is reduced by it
	saved     int64 // available tokens, in units of 1/savedScale of a thousandth
	accruedAt time.Duration
	requested int64 // thousandths requested since the last SampleDemand
	requests  int64 // number of requests since the last SampleDemand
	sampledAt time.Duration
	demand    float64 // estimated demand, in thousandths per second

	used, denied int64 // thousandths since the start
}

// Counts returns how much was admitted and denied since the start, in thousandths.
func (r *RateLimiter) Counts() (used, denied int64) { return r.used, r.denied }

// savedScale is the precision of saved tokens relative to thousandths, so that accrual over short
// intervals is not rounded down to zero.
const savedScale = 1000

// SetGrant replaces the grant. Tokens above the new burst are dropped immediately.
func (r *RateLimiter) SetGrant(now time.Duration, g Grant) {
	r.accrue(now)
	r.grant = g
	r.saved = min(r.saved, g.burstAt(now)*savedScale)
}

// accrue adds tokens up to now. Each interval between lease boundaries uses the rate and burst that
// applied in it.
func (r *RateLimiter) accrue(now time.Duration) {
	for r.accruedAt < now {
		end := now
		for _, boundary := range [...]time.Duration{r.grant.LeaseEnd, r.grant.FloorEnd} {
			if r.accruedAt < boundary && boundary < end {
				end = boundary
			}
		}
		limit := r.grant.burstAt(r.accruedAt) * savedScale
		if rate := r.grant.amountAt(r.accruedAt); rate > 0 && r.saved < limit {
			// rate * time could overflow after a long pause; the bucket is full long before that.
			us := int64((end - r.accruedAt) / time.Microsecond)
			if us/1000 > 2*(limit/rate)+1 {
				r.saved = limit
			} else {
				gain := rate * us / (1_000_000 / savedScale)
				if gain < 1<<40 {
					gain -= (gain*r.driftPPM + 999_999) / 1_000_000
				} else { // the product could overflow
					gain -= gain / 1_000_000 * r.driftPPM
				}
				r.saved += gain
			}
		}
		r.accruedAt = end
		r.saved = min(r.saved, r.grant.burstAt(end)*savedScale)
	}
}

// Take consumes amount thousandths if they are available. Otherwise it returns how long until they would be
// under the current grant; unavailable is true if the current grant can never admit them.
func (r *RateLimiter) Take(now time.Duration, amount int64) (ok bool, wait time.Duration, unavailable bool) {
	// Accrue in whole microseconds; otherwise frequent calls would each lose a fraction of one.
	r.accrue(now - now%time.Microsecond)
	r.requested += amount
	r.requests++
	r.denied += amount
	if missing := amount*savedScale - r.saved; missing > 0 {
		rate := r.grant.amountAt(now)
		if rate <= 0 || amount > r.grant.burstAt(now) {
			return false, 0, true
		}
		return false, time.Duration(missing) * (time.Second / savedScale) / time.Duration(rate), false
	}
	if r.grant.amountAt(now) <= 0 {
		return false, 0, true
	}
	r.saved -= amount * savedScale
	r.denied -= amount
	r.used += amount
	return true, 0, false
}

// MaxBurst returns the most tokens that may accumulate from now on without another grant.
func (r *RateLimiter) MaxBurst(now time.Duration) int64 { return r.grant.burstAt(now) }

// MaxUse returns the highest rate that may be used from now on without another grant.
func (r *RateLimiter) MaxUse(now time.Duration) int64 { return r.grant.amountAt(now) }

// SampleDemand updates and returns the estimated demand, admitted or not, in thousandths per second.
// The count between two calls is noisy, and shares that follow the noise are idle at one dispatcher and
// missing at another. So the estimate is a smoothed average that moves a quarter of the way to the new
// sample, except that it becomes the sample at once if DemandChanged reports a significant change.
func (r *RateLimiter) SampleDemand(now time.Duration) int64 {
	if elapsed := (now - r.sampledAt).Seconds(); elapsed > 0 {
		requested := float64(r.requested)
		if r.DemandChanged(now) {
			r.demand = requested / elapsed
		} else {
			r.demand += (requested/elapsed - r.demand) / 4
		}
		r.requested, r.requests, r.sampledAt = 0, 0, now
	}
	return int64(r.demand)
}

// DemandChanged reports whether the requests since the last SampleDemand differ from its estimate by more
// than chance explains.
func (r *RateLimiter) DemandChanged(now time.Duration) bool {
	requested, expected, meanRequest := float64(r.requested), r.demand*(now-r.sampledAt).Seconds(), float64(Unit)
	if r.requests > 0 {
		meanRequest = requested / float64(r.requests)
	}
	return math.Abs(requested-expected) > demandSigmas*math.Sqrt(max(expected, meanRequest)*meanRequest)
}

// demandSigmas is the deviation from the expected Poisson count, in standard deviations, above which the
// demand counts as changed.
const demandSigmas = 3

// RatioLimiter limits one kind of event to a fraction of another, such as repeats to a fraction of first
// sends. It needs no ledger: if every dispatcher keeps to the ratio, so does the fleet.
type RatioLimiter struct {
	ShareMilli    int64 // thousandths of a token that one Earn adds
	MaxSavedMilli int64 // the most that may accumulate, in thousandths
	saved         int64
}

// Earn adds ShareMilli to the saved tokens, up to MaxSavedMilli.
func (r *RatioLimiter) Earn() { r.saved = min(r.saved+r.ShareMilli, r.MaxSavedMilli) }

// Take consumes one full token and reports whether there was one.
func (r *RatioLimiter) Take() bool {
	if r.saved < Unit {
		return false
	}
	r.saved -= Unit
	return true
}

// Semaphore limits how many slots are in use at once. Amounts are whole slots, in thousandths.
type Semaphore struct {
	grant Grant
	inUse int64
	peak  int64 // highest amount in use or requested since the last SampleDemand
}

// SetGrant replaces the grant. Slots in use above it stay in use until they are released, and no more are
// admitted.
func (s *Semaphore) SetGrant(_ time.Duration, g Grant) { s.grant = g }

// TryAcquire acquires one slot and reports whether the grant allowed it.
func (s *Semaphore) TryAcquire(now time.Duration) bool {
	s.peak = max(s.peak, s.inUse+Unit)
	if s.inUse+Unit > s.grant.amountAt(now) {
		return false
	}
	s.inUse += Unit
	return true
}

// Release returns one slot. A release without a matching acquire is a bug of the caller and is ignored.
func (s *Semaphore) Release() { s.inUse = max(0, s.inUse-Unit) }

// InUse returns the amount in use.
func (s *Semaphore) InUse() int64 { return s.inUse }

// MaxUse returns the most that may be in use from now on without another grant. Slots in use count even
// after the lease has ended.
func (s *Semaphore) MaxUse(now time.Duration) int64 { return max(s.inUse, s.grant.amountAt(now)) }

// SampleDemand returns the highest amount in use or requested since the last call.
func (s *Semaphore) SampleDemand(time.Duration) int64 {
	demand := s.peak
	s.peak = s.inUse
	return demand
}
