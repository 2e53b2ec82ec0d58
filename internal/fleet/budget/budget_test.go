package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRate(t *testing.T) {
	var r Rate
	ok, _, never := r.Take(time.Second, Milli)
	require.False(t, ok)
	require.True(t, never, "before a grant nothing is in sight")

	r.Set(time.Second, Grant{Share: 10 * Milli, Burst: 3 * Milli, Floor: 2 * Milli, Ends: 3 * time.Second, Until: 5 * time.Second})
	ok, wait, _ := r.Take(time.Second, Milli)
	require.False(t, ok, "a new process starts with nothing saved up")
	require.Equal(t, 100*time.Millisecond, wait)
	ok, _, _ = r.Take(time.Second+wait, Milli)
	require.True(t, ok, "the wait that it told is true")

	n := 0
	for ; n < 10; n++ { // after a pause the burst and no more
		if ok, _, _ = r.Take(2900*time.Millisecond, Milli); !ok {
			break
		}
	}
	require.Equal(t, 3, n)

	// 100 ms of the lease bring one unit; past it the floor counts, and its burst is one unit.
	ok, _, _ = r.Take(3500*time.Millisecond, Milli)
	require.True(t, ok)
	ok, wait, _ = r.Take(3500*time.Millisecond, Milli)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	ok, _, never = r.Take(5*time.Second, Milli)
	require.False(t, ok, "what was saved up ends with the right to it")
	require.True(t, never)
	require.Zero(t, r.Holding(5*time.Second))
}

// A process stopped for hours must not come back with a count that has overflowed.
func TestRateAfterALongPause(t *testing.T) {
	var r Rate
	r.Set(0, Grant{Share: 1 << 42, Burst: 5 * Milli, Ends: 1 << 62, Until: 1 << 62})
	ok, _, _ := r.Take(time.Duration(1<<61), 5*Milli)
	require.True(t, ok)
	ok, _, _ = r.Take(time.Duration(1<<61), Milli)
	require.False(t, ok)
}

func TestHeld(t *testing.T) {
	var h Held
	require.False(t, h.Take(0))
	h.Set(0, Grant{Share: 2 * Milli, Ends: time.Second})
	require.True(t, h.Take(0))
	require.True(t, h.Take(0))
	require.False(t, h.Take(0))
	require.EqualValues(t, 3*Milli, h.Demand(0), "what was turned away is demand")
	h.Set(0, Grant{Share: Milli, Ends: time.Second})
	require.EqualValues(t, 2*Milli, h.Holding(0), "what is held stays held")
	h.Give()
	require.False(t, h.Take(0))
	h.Give()
	require.True(t, h.Take(0))
	h.Give()
	h.Give() // once too often
	require.False(t, h.Take(time.Second), "the lease is over")
	require.Zero(t, h.Holding(time.Second))
}

func BenchmarkTake(b *testing.B) {
	var r Rate
	r.Set(0, Grant{Share: 1 << 40, Burst: 1 << 40, Ends: 1 << 62, Until: 1 << 62})
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		r.Take(now, Milli)
	}
}

func TestTakeAllocatesNothing(t *testing.T) {
	var r Rate
	r.Set(0, Grant{Share: 1000 * Milli, Burst: 10 * Milli, Ends: 1 << 62, Until: 1 << 62})
	now := time.Duration(0)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now += 300 * time.Microsecond
		r.Take(now, Milli)
	}))
}
