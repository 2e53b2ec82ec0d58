// Package share divides a total among claims: first each claim's floor, then weighted max-min fair up to
// each claim's demand, then the rest by weight up to each ceiling. It does no I/O, has no clock and uses
// integer arithmetic, because the voters of a ledger must compute the same division on every machine.
package share

import "math/bits"

// MaxAmount is the limit for totals, floors, ceilings and demands, and MaxWeight the limit for weights, so
// that no product of the two overflows.
const (
	MaxAmount = int64(1) << 42
	MaxWeight = int64(1) << 20
)

// Claim is one holder's claim on a total. Amounts are in the total's unit.
type Claim struct {
	Weight  int64 // above 0
	Demand  int64 // what it would use now
	Floor   int64 // guaranteed, whatever the demand
	Ceiling int64 // the most it may have, 0 for no limit
}

// Divide returns the amount for each claim; their sum is at most total. Floors whose sum exceeds the total
// are reduced in proportion. The result depends only on the total and the claims in their order.
func Divide(total int64, claims []Claim) []int64 {
	amounts := make([]int64, len(claims))
	remaining := max(0, min(total, MaxAmount))
	floors := int64(0)
	for _, c := range claims {
		floors += c.floor()
	}
	for i, c := range claims {
		if amounts[i] = c.floor(); floors > remaining { // reduce in proportion; MulDiv does not overflow
			amounts[i] = MulDiv(remaining, c.floor(), floors)
		}
	}
	for _, a := range amounts {
		remaining -= a
	}
	if remaining <= 0 {
		return amounts
	}
	// Up to each demand: raise all claims together by weight, starting from the floors, until the total is
	// used up.
	lower := make([]int64, len(claims))
	upper := make([]int64, len(claims))
	for i, c := range claims {
		lower[i], upper[i] = amounts[i], max(amounts[i], min(c.Demand, c.ceiling()))
	}
	amounts = waterFill(remaining+sum(amounts), claims, lower, upper)
	// Divide the rest on top of that, by weight, up to each ceiling.
	clear(lower)
	for i, c := range claims {
		upper[i] = max(0, c.ceiling()-amounts[i])
	}
	for i, extra := range waterFill(max(0, min(total, MaxAmount))-sum(amounts), claims, lower, upper) {
		amounts[i] += extra
	}
	return amounts
}

func sum(x []int64) (s int64) {
	for _, v := range x {
		s += v
	}
	return s
}

// waterFill finds the highest common level at which the amounts, level * weight limited to lower and upper,
// add up to no more than total, and returns these amounts.
func waterFill(total int64, claims []Claim, lower, upper []int64) []int64 {
	amounts := make([]int64, len(claims))
	amountsAt := func(level uint64) []int64 {
		for i, c := range claims {
			hi, lo := bits.Mul64(level, uint64(c.weight()))
			amount := upper[i]
			if hi < 1<<(levelFractionBits-1) {
				amount = min(amount, int64(hi<<(64-levelFractionBits)|lo>>levelFractionBits))
			}
			amounts[i] = max(lower[i], amount)
		}
		return amounts
	}
	low, high := uint64(0), uint64(MaxAmount)<<levelFractionBits
	if sum(amountsAt(high)) <= total {
		return amounts
	}
	for high-low > 1 {
		if mid := low + (high-low)/2; sum(amountsAt(mid)) <= total {
			low = mid
		} else {
			high = mid
		}
	}
	return amountsAt(low)
}

// levelFractionBits is the number of fraction bits of a level, which is a fixed-point number.
const levelFractionBits = 20

// ceiling returns Ceiling limited to MaxAmount, or MaxAmount if there is none.
func (c Claim) ceiling() int64 {
	if c.Ceiling > 0 {
		return min(c.Ceiling, MaxAmount)
	}
	return MaxAmount
}

func (c Claim) floor() int64 { return max(0, min(c.Floor, c.ceiling())) }

func (c Claim) weight() int64 { return max(1, min(c.Weight, MaxWeight)) }

// MulDiv returns a*b/c, rounded down, for a up to MaxAmount and 0 <= b <= c. If c is above MaxWeight, b/c is
// approximated from below to 20 bits, so that the product does not overflow.
func MulDiv(a, b, c int64) int64 {
	if c <= 0 {
		return 0
	}
	for c > MaxWeight {
		b, c = b/2, (c+1)/2
	}
	return a * b / c
}
