package tailsampling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

func TestDecisionReasons(t *testing.T) {
	s := New(Limits{MaxBytes: 1000, TracesPerSecond: 1, SlowThreshold: time.Second})
	for want, trace := range map[Reason]TraceSummary{Failed: {Failed: true, Late: true}, Refused: {Refused: true}, Late: {Late: true}, Repeated: {Repeated: true},
		Slow: {Duration: time.Second}, WithinRate: {Duration: time.Millisecond}} {
		keep, reason := s.Decide(0, trace)
		require.True(t, keep, want)
		require.Equal(t, want, reason)
	}
	keep, reason := s.Decide(0, TraceSummary{})
	require.False(t, keep)
	require.Equal(t, OverRate, reason)
	keep, _ = s.Decide(time.Second, TraceSummary{})
	require.True(t, keep, "the token bucket is refilled after a second")
	require.True(t, s.Reserve(800))
	_, reason = s.Decide(2*time.Second, TraceSummary{})
	require.Equal(t, MemoryPressure, reason)
	keep, _ = s.Decide(2*time.Second, TraceSummary{Failed: true})
	require.True(t, keep, "a failed request is kept under memory pressure")
	require.False(t, s.Reserve(300))
	s.Release(800)
	require.True(t, s.Reserve(300))
	require.EqualValues(t, 1, s.Counts()[OutOfMemory])
}

// For random sequences of traces, reserved memory stays within the limit, ordinary traces stay within the
// rate limit, and all failed or repeated ones are kept.
func TestMemoryAndRateBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxBytes: rapid.Int64Range(100, 10_000).Draw(t, "bytes"), TracesPerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate"))}
		s := New(limits)
		var reserved []int64
		now, withinRate, decided := time.Duration(0), 0, int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond
			size := rapid.Int64Range(1, 500).Draw(t, "size")
			if s.Reserve(size) {
				reserved = append(reserved, size)
			}
			require.LessOrEqual(t, s.UsedBytes(), limits.MaxBytes)
			trace := TraceSummary{Failed: rapid.Bool().Draw(t, "failed"), Repeated: rapid.Bool().Draw(t, "repeated")}
			keep, reason := s.Decide(now, trace)
			decided++
			if trace.Failed || trace.Repeated {
				require.True(t, keep)
			}
			if reason == WithinRate {
				withinRate++
			}
			if len(reserved) > 0 && rapid.Bool().Draw(t, "release") {
				s.Release(reserved[0])
				reserved = reserved[1:]
			}
		}
		require.LessOrEqual(t, float64(withinRate), limits.TracesPerSecond*now.Seconds()+max(1, limits.TracesPerSecond)+1)
		sum := int64(0)
		for reason, count := range s.Counts() {
			if reason != OutOfMemory {
				sum += count
			}
		}
		require.Equal(t, decided, sum, "each decision is counted under exactly one reason")
	})
}
