package budget

import "time"

// KeyedSemaphore limits the slots in use per key, such as connections per worker. The grant applies to
// each key separately, so that for each key all holders together stay within the budget's total. The
// usage that a holder reports to the ledger is that of its most used key.
type KeyedSemaphore struct {
	grant Grant
	inUse map[string]int64
	peak  int64 // highest amount in use or requested at any key since the last SampleDemand
}

// SetGrant replaces the grant. Slots in use above it stay in use until they are released, and no more are
// admitted.
func (s *KeyedSemaphore) SetGrant(_ time.Duration, g Grant) { s.grant = g }

// TryAcquire acquires one slot of key and reports whether the grant allowed it.
func (s *KeyedSemaphore) TryAcquire(now time.Duration, key string) bool {
	s.peak = max(s.peak, s.inUse[key]+Unit)
	if s.inUse[key]+Unit > s.grant.amountAt(now) {
		return false
	}
	if s.inUse == nil {
		s.inUse = map[string]int64{}
	}
	s.inUse[key] += Unit
	return true
}

// Release returns one slot of key. A release without a matching acquire is a bug of the caller and is
// ignored.
func (s *KeyedSemaphore) Release(key string) {
	if s.inUse[key] -= Unit; s.inUse[key] <= 0 {
		delete(s.inUse, key)
	}
}

// Excess returns by how much the amount in use at key exceeds what is allowed now. The caller should
// release as much of it as it can.
func (s *KeyedSemaphore) Excess(now time.Duration, key string) int64 {
	return max(0, s.inUse[key]-s.grant.amountAt(now))
}

// MaxInUse returns the highest amount in use at any key.
func (s *KeyedSemaphore) MaxInUse() (highest int64) {
	for _, n := range s.inUse {
		highest = max(highest, n)
	}
	return highest
}

// MaxUse returns the most that may be in use at any key from now on without another grant.
func (s *KeyedSemaphore) MaxUse(now time.Duration) int64 {
	return max(s.MaxInUse(), s.grant.amountAt(now))
}

// SampleDemand returns the highest amount in use or requested at any key since the last call.
func (s *KeyedSemaphore) SampleDemand(time.Duration) int64 {
	demand := max(s.peak, s.MaxInUse())
	s.peak = 0
	return demand
}
