package tailsampling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

func TestReasons(t *testing.T) {
	s := New(Limits{Bytes: 1000, Rate: 1, Slow: time.Second})
	for want, tr := range map[Reason]Trace{Failed: {Failed: true, Late: true}, Refused: {Refused: true}, Late: {Late: true}, Repeated: {Repeated: true},
		Slow: {Took: time.Second}, Share: {Took: time.Millisecond}} {
		keep, why := s.Decide(0, tr)
		require.True(t, keep, want)
		require.Equal(t, want, why)
	}
	keep, why := s.Decide(0, Trace{})
	require.False(t, keep)
	require.Equal(t, Over, why)
	keep, _ = s.Decide(time.Second, Trace{})
	require.True(t, keep, "its share is back after a second")
	require.True(t, s.Reserve(800))
	_, why = s.Decide(2*time.Second, Trace{})
	require.Equal(t, Pressure, why)
	keep, _ = s.Decide(2*time.Second, Trace{Failed: true})
	require.True(t, keep, "what tells of trouble finds room")
	require.False(t, s.Reserve(300))
	s.Release(800)
	require.True(t, s.Reserve(300))
	require.EqualValues(t, 1, s.Counts()[Budget])
}

// Whatever comes, memory stays within the bound, ordinary traces within the rate, and every trace
// that is not ordinary is kept.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Bytes: rapid.Int64Range(100, 10_000).Draw(t, "bytes"), Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate"))}
		s := New(l)
		var held []int64
		now, shares, decided := time.Duration(0), 0, int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond
			n := rapid.Int64Range(1, 500).Draw(t, "size")
			if s.Reserve(n) {
				held = append(held, n)
			}
			require.LessOrEqual(t, s.Used(), l.Bytes)
			tr := Trace{Failed: rapid.Bool().Draw(t, "failed"), Repeated: rapid.Bool().Draw(t, "repeated")}
			keep, why := s.Decide(now, tr)
			decided++
			if tr.Failed || tr.Repeated {
				require.True(t, keep)
			}
			if why == Share {
				shares++
			}
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				s.Release(held[0])
				held = held[1:]
			}
		}
		require.LessOrEqual(t, float64(shares), l.Rate*now.Seconds()+max(1, l.Rate)+1)
		sum := int64(0)
		for why, n := range s.Counts() {
			if why != Budget {
				sum += n
			}
		}
		require.Equal(t, decided, sum, "every decision has one reason")
	})
}
