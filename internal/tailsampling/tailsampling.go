// Package tailsampling decides which traces to export. It decides when a trace ends, because only then
// is it known whether the request failed or was slow. It also enforces a memory limit. The package does
// no I/O, reads no clock of its own and is not safe for concurrent use.
package tailsampling

import "time"

// Limits are the limits of a Sampler. An ordinary trace is one that did not fail and was not refused,
// late, repeated or slow.
type Limits struct {
	MaxBytes        int64         // memory for records; the configured value includes the senders' queues
	TracesPerSecond float64       // ordinary traces kept per second
	SlowThreshold   time.Duration // a request that took at least this long is slow; 0 for none
}

// TraceSummary holds the properties of a finished trace on which the decision depends.
type TraceSummary struct {
	Bytes    int64
	Failed   bool // the request failed, or its client disconnected
	Refused  bool
	Late     bool // the answer came after the class's target time
	Repeated bool // more than one attempt was sent
	Duration time.Duration
}

// Reason is why a trace was kept or dropped.
type Reason string

// The reasons. MemoryPressure and OutOfMemory count what was lost to the memory limit. Under memory
// pressure only ordinary traces are dropped. Once no memory is left, no trace is recorded for a new
// request.
const (
	Failed         Reason = "failed"
	Refused        Reason = "refused"
	Late           Reason = "late"
	Repeated       Reason = "repeated"
	Slow           Reason = "slow"
	WithinRate     Reason = "share"    // ordinary, kept within the rate limit
	OverRate       Reason = "rate"     // ordinary, dropped above the rate limit
	MemoryPressure Reason = "pressure" // ordinary, dropped because memory is short
	OutOfMemory    Reason = "budget"   // any request, not recorded because no memory is left
)

// memoryPressureShare is the share of the memory limit above which ordinary traces are dropped. The rest
// is for traces that indicate a problem.
const memoryPressureShare = 0.75

// Sampler decides which traces to keep. It limits the rate of ordinary traces by a token bucket.
type Sampler struct {
	Limits
	usedBytes  int64
	tokens     float64
	refilledAt time.Duration
	counts     map[Reason]int64
}

// New returns a Sampler. Its token bucket starts with the tokens of one second.
func New(limits Limits) *Sampler {
	return &Sampler{Limits: limits, tokens: limits.TracesPerSecond, counts: map[Reason]int64{}}
}

// Reserve reserves n bytes of memory. It returns false and counts OutOfMemory if they would exceed the
// limit.
func (s *Sampler) Reserve(n int64) bool {
	if s.usedBytes+n > s.MaxBytes {
		s.counts[OutOfMemory]++
		return false
	}
	s.usedBytes += n
	return true
}

// Release returns n reserved bytes. A negative n reserves bytes regardless of the limit.
func (s *Sampler) Release(n int64) { s.usedBytes = max(0, s.usedBytes-n) }

// UsedBytes returns the number of reserved bytes.
func (s *Sampler) UsedBytes() int64 { return s.usedBytes }

// Decide reports whether to keep a finished trace, and why. It does not release the trace's memory.
func (s *Sampler) Decide(now time.Duration, trace TraceSummary) (keep bool, reason Reason) {
	defer func() { s.counts[reason]++ }()
	if now > s.refilledAt {
		s.tokens = min(max(1, s.TracesPerSecond), s.tokens+s.TracesPerSecond*(now-s.refilledAt).Seconds())
		s.refilledAt = now
	}
	switch {
	case trace.Failed:
		return true, Failed
	case trace.Refused:
		return true, Refused
	case trace.Late:
		return true, Late
	case trace.Repeated:
		return true, Repeated
	case s.SlowThreshold > 0 && trace.Duration >= s.SlowThreshold:
		return true, Slow
	case float64(s.usedBytes) > memoryPressureShare*float64(s.MaxBytes):
		return false, MemoryPressure
	case s.tokens < 1:
		return false, OverRate
	}
	s.tokens--
	return true, WithinRate
}

// AddCount adds n to a reason's count, for traces that were dropped elsewhere.
func (s *Sampler) AddCount(reason Reason, n int64) { s.counts[reason] += n }

// Counts returns the number of traces by reason.
func (s *Sampler) Counts() map[Reason]int64 {
	counts := make(map[Reason]int64, len(s.counts))
	for reason, count := range s.counts {
		counts[reason] = count
	}
	return counts
}
