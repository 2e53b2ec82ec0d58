// Package share divides a whole among claims: a floor for each first, then max-min fair by weight up
// to what each asks for, then what is left by weight up to each ceiling. It does no I/O, has no clock
// and counts in integers: the voters of a ledger must come to the same division on every machine.
package share

import "math/bits"

// Most bounds wholes, floors, ceilings and demands, and MostWeight weights, so that no product of
// the two overflows.
const (
	Most       = int64(1) << 42
	MostWeight = int64(1) << 20
)

// Claim is what one holder claims of a whole. All figures are in the whole's unit.
type Claim struct {
	Weight  int64 // above 0
	Demand  int64 // what it would use now
	Floor   int64 // is its in any case
	Ceiling int64 // the most it may have, 0 for no bound
}

// Divide returns what each claim gets, at most the whole together. Floors that come to more than the
// whole are cut in proportion. With the same claims in the same order it gives the same division.
func Divide(whole int64, claims []Claim) []int64 {
	got := make([]int64, len(claims))
	left := max(0, min(whole, Most))
	floors := int64(0)
	for _, c := range claims {
		floors += c.floor()
	}
	for i, c := range claims {
		if got[i] = c.floor(); floors > left { // scaled by weights of their own, which keeps the product in bounds
			got[i] = Scale(left, c.floor(), floors)
		}
	}
	for _, g := range got {
		left -= g
	}
	if left <= 0 {
		return got
	}
	// To what each asks for: all rise together by weight, from their floors on, until the whole is out.
	least := make([]int64, len(claims))
	most := make([]int64, len(claims))
	for i, c := range claims {
		least[i], most[i] = got[i], max(got[i], min(c.Demand, c.top()))
	}
	got = rise(left+sum(got), claims, least, most)
	// What is over goes on top, by weight, up to each ceiling.
	clear(least)
	for i, c := range claims {
		most[i] = max(0, c.top()-got[i])
	}
	for i, more := range rise(max(0, min(whole, Most))-sum(got), claims, least, most) {
		got[i] += more
	}
	return got
}

func sum(x []int64) (s int64) {
	for _, v := range x {
		s += v
	}
	return s
}

// rise gives each claim its weight's part of the highest common level, but no less than least and no
// more than most, with no more than the whole given away.
func rise(whole int64, claims []Claim, least, most []int64) []int64 {
	got := make([]int64, len(claims))
	at := func(level uint64) []int64 {
		for i, c := range claims {
			hi, lo := bits.Mul64(level, uint64(c.weight()))
			part := most[i]
			if hi < 1<<(levelBits-1) {
				part = min(part, int64(hi<<(64-levelBits)|lo>>levelBits))
			}
			got[i] = max(least[i], part)
		}
		return got
	}
	low, high := uint64(0), uint64(Most)<<levelBits
	if sum(at(high)) <= whole {
		return got
	}
	for high-low > 1 {
		if mid := low + (high-low)/2; sum(at(mid)) <= whole {
			low = mid
		} else {
			high = mid
		}
	}
	return at(low)
}

// levelBits are the binary places of a level.
const levelBits = 20

func (c Claim) top() int64 {
	if c.Ceiling > 0 {
		return min(c.Ceiling, Most)
	}
	return Most
}

func (c Claim) floor() int64 { return max(0, min(c.Floor, c.top())) }

func (c Claim) weight() int64 { return max(1, min(c.Weight, MostWeight)) }

// Scale is a*b/c, rounded down, for a up to Most and 0 <= b <= c. Where c is over MostWeight b/c is
// taken to 20 bits, and never for more than it is.
func Scale(a, b, c int64) int64 {
	if c <= 0 {
		return 0
	}
	for c > MostWeight {
		b, c = b/2, (c+1)/2
	}
	return a * b / c
}
