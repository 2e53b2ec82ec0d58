// Package tailsampling decides which traces are kept. The decision falls at a trace's end, when it is
// known whether the request failed or was slow, and within a budget of memory. It does no I/O and
// knows no clock but the one it is handed; it is not safe for concurrent use.
package tailsampling

import "time"

// Limits of what is kept.
type Limits struct {
	Bytes int64         // of records and batches at once
	Rate  float64       // ordinary traces kept a second
	Slow  time.Duration // a request that took this long is kept always; 0 for none
}

// Trace is what a decision hangs on.
type Trace struct {
	Bytes    int64
	Failed   bool // failed, or its client left
	Refused  bool
	Late     bool // after the class's aim
	Repeated bool // more than one task was sent
	Took     time.Duration
}

// Reason is why a trace is kept or dropped.
type Reason string

// The reasons. Budget and Pressure count what the memory's bound has cost: at Budget nothing more
// fits, under Pressure only ordinary traces are dropped.
const (
	Failed   Reason = "failed"
	Refused  Reason = "refused"
	Late     Reason = "late"
	Repeated Reason = "repeated"
	Slow     Reason = "slow"
	Share    Reason = "share"    // an ordinary one within the rate
	Over     Reason = "rate"     // an ordinary one beyond it
	Pressure Reason = "pressure" // an ordinary one while memory is short
	Budget   Reason = "budget"   // any, while there is no memory
)

// pressure is the share of the budget from which on ordinary traces are dropped, so that those
// that tell of trouble find room.
const pressure = 0.75

// Sampler decides by its limits.
type Sampler struct {
	Limits
	used   int64
	credit float64
	at     time.Duration
	counts map[Reason]int64
}

// New returns a sampler that may keep one second's share at once.
func New(l Limits) *Sampler {
	return &Sampler{Limits: l, credit: l.Rate, counts: map[Reason]int64{}}
}

// Reserve takes memory for something that is not to be dropped for a reason of its own, and tells
// whether there was any.
func (s *Sampler) Reserve(n int64) bool {
	if s.used+n > s.Bytes {
		s.counts[Budget]++
		return false
	}
	s.used += n
	return true
}

// Release gives memory back.
func (s *Sampler) Release(n int64) { s.used = max(0, s.used-n) }

// Used is how much memory is taken.
func (s *Sampler) Used() int64 { return s.used }

// Decide tells whether a trace that has ended is kept, and why. The memory of one that is dropped
// is the caller's to release.
func (s *Sampler) Decide(now time.Duration, t Trace) (keep bool, why Reason) {
	defer func() { s.counts[why]++ }()
	if now > s.at {
		s.credit = min(max(1, s.Rate), s.credit+s.Rate*(now-s.at).Seconds())
		s.at = now
	}
	switch {
	case t.Failed:
		return true, Failed
	case t.Refused:
		return true, Refused
	case t.Late:
		return true, Late
	case t.Repeated:
		return true, Repeated
	case s.Slow > 0 && t.Took >= s.Slow:
		return true, Slow
	case float64(s.used) > pressure*float64(s.Bytes):
		return false, Pressure
	case s.credit < 1:
		return false, Over
	}
	s.credit--
	return true, Share
}

// Count notes something that was dropped elsewhere.
func (s *Sampler) Count(why Reason, n int64) { s.counts[why] += n }

// Counts returns how often each reason was given.
func (s *Sampler) Counts() map[Reason]int64 {
	m := make(map[Reason]int64, len(s.counts))
	for k, v := range s.counts {
		m[k] = v
	}
	return m
}
