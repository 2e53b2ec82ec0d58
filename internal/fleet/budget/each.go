package budget

import "time"

// Each is a budget of what is held at once at each of many places, as connections at each worker: the grant
// bounds every place alike, so that no place sees more from all holders than the whole. What a holder tells
// the ledger is the place where it holds most.
type Each struct {
	grant Grant
	held  map[string]int64
	peak  int64 // at any place, of held and turned away, since the last demand was read
}

// Set takes a grant. What is held beyond it stays until it is given back; none is added.
func (e *Each) Set(_ time.Duration, g Grant) { e.grant = g }

// Take admits one piece at a place.
func (e *Each) Take(now time.Duration, place string) bool {
	e.peak = max(e.peak, e.held[place]+Milli)
	if e.held[place]+Milli > e.grant.at(now) {
		return false
	}
	if e.held == nil {
		e.held = map[string]int64{}
	}
	e.held[place] += Milli
	return true
}

// Give gives one piece back. What was never taken is an error of the caller's, and counts for nothing.
func (e *Each) Give(place string) {
	if e.held[place] -= Milli; e.held[place] <= 0 {
		delete(e.held, place)
	}
}

// Over is by how much more is held at a place than may be: what of it can be given back should be.
func (e *Each) Over(now time.Duration, place string) int64 {
	return max(0, e.held[place]-e.grant.at(now))
}

// Most is the most that is held at any place.
func (e *Each) Most() (most int64) {
	for _, n := range e.held {
		most = max(most, n)
	}
	return most
}

// Holding is the most that may be held at any place from now on without another grant.
func (e *Each) Holding(now time.Duration) int64 { return max(e.Most(), e.grant.at(now)) }

// Demand is the most that was held or wanted at any place since the last call.
func (e *Each) Demand(time.Duration) int64 {
	d := max(e.peak, e.Most())
	e.peak = 0
	return d
}
