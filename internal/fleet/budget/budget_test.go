package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRateLimiter(t *testing.T) {
	var r RateLimiter
	ok, _, unavailable := r.Take(time.Second, Unit)
	require.False(t, ok)
	require.True(t, unavailable, "nothing can be admitted before the first grant")

	r.SetGrant(time.Second, Grant{Share: 10 * Unit, Burst: 3 * Unit, Floor: 2 * Unit, LeaseEnd: 3 * time.Second, FloorEnd: 5 * time.Second})
	ok, wait, _ := r.Take(time.Second, Unit)
	require.False(t, ok, "a new process starts with an empty bucket")
	require.Equal(t, 100*time.Millisecond, wait)
	ok, _, _ = r.Take(time.Second+wait, Unit)
	require.True(t, ok, "the returned wait is sufficient")

	admitted := 0
	for ; admitted < 10; admitted++ { // a pause accrues the burst and no more
		if ok, _, _ = r.Take(2900*time.Millisecond, Unit); !ok {
			break
		}
	}
	require.Equal(t, 3, admitted)

	// The last 100 ms of the lease accrue one unit. After the lease the floor's rate applies, with a burst
	// of one unit.
	ok, _, _ = r.Take(3500*time.Millisecond, Unit)
	require.True(t, ok)
	ok, wait, _ = r.Take(3500*time.Millisecond, Unit)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	ok, _, unavailable = r.Take(5*time.Second, Unit)
	require.False(t, ok, "saved tokens expire with the floor")
	require.True(t, unavailable)
	require.Zero(t, r.MaxUse(5*time.Second))
}

// A process that was suspended for hours must not overflow its token count when it resumes.
func TestRateLimiterAfterLongPause(t *testing.T) {
	var r RateLimiter
	r.SetGrant(0, Grant{Share: 1 << 42, Burst: 5 * Unit, LeaseEnd: 1 << 62, FloorEnd: 1 << 62})
	ok, _, _ := r.Take(time.Duration(1<<61), 5*Unit)
	require.True(t, ok)
	ok, _, _ = r.Take(time.Duration(1<<61), Unit)
	require.False(t, ok)
}

func TestSemaphore(t *testing.T) {
	var sem Semaphore
	require.False(t, sem.TryAcquire(0))
	sem.SetGrant(0, Grant{Share: 2 * Unit, LeaseEnd: time.Second})
	require.True(t, sem.TryAcquire(0))
	require.True(t, sem.TryAcquire(0))
	require.False(t, sem.TryAcquire(0))
	require.EqualValues(t, 3*Unit, sem.SampleDemand(0), "denied requests count as demand")
	sem.SetGrant(0, Grant{Share: Unit, LeaseEnd: time.Second})
	require.EqualValues(t, 2*Unit, sem.MaxUse(0), "slots in use stay in use")
	sem.Release()
	require.False(t, sem.TryAcquire(0))
	sem.Release()
	require.True(t, sem.TryAcquire(0))
	sem.Release()
	sem.Release() // one release too many
	require.False(t, sem.TryAcquire(time.Second), "the lease has ended")
	require.Zero(t, sem.MaxUse(time.Second))
}

func BenchmarkTake(b *testing.B) {
	var r RateLimiter
	r.SetGrant(0, Grant{Share: 1 << 40, Burst: 1 << 40, LeaseEnd: 1 << 62, FloorEnd: 1 << 62})
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		r.Take(now, Unit)
	}
}

func TestTakeAllocatesNothing(t *testing.T) {
	var r RateLimiter
	r.SetGrant(0, Grant{Share: 1000 * Unit, Burst: 10 * Unit, LeaseEnd: 1 << 62, FloorEnd: 1 << 62})
	now := time.Duration(0)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now += 300 * time.Microsecond
		r.Take(now, Unit)
	}))
}
