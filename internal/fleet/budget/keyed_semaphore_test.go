package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The grant limits each key separately. Demand and usage are those of the most used key, for as long as its
// slots are in use.
func TestKeyedSemaphore(t *testing.T) {
	sem := (&Holder{semaphores: map[string]semaphore{}}).KeyedSemaphore("b")
	require.False(t, sem.TryAcquire(0, "x"), "before the first grant")
	sem.SetGrant(0, Grant{Share: 2 * Unit, Floor: Unit, LeaseEnd: 10 * time.Second, FloorEnd: 20 * time.Second})
	require.True(t, sem.TryAcquire(0, "x"))
	require.True(t, sem.TryAcquire(0, "x"))
	require.False(t, sem.TryAcquire(0, "x"))
	require.True(t, sem.TryAcquire(0, "y"))
	require.EqualValues(t, 3*Unit, sem.SampleDemand(0), "one more was requested at x")
	require.EqualValues(t, 2*Unit, sem.SampleDemand(0))
	require.Zero(t, sem.Excess(0, "x"))
	require.EqualValues(t, Unit, sem.Excess(11*time.Second, "x"), "the lease has ended: only the floor remains")
	require.False(t, sem.TryAcquire(11*time.Second, "y"))
	require.EqualValues(t, 2*Unit, sem.MaxUse(30*time.Second), "slots in use stay in use")
	sem.Release("x")
	sem.Release("x")
	sem.Release("x")
	require.EqualValues(t, Unit, sem.MaxUse(30*time.Second))
	require.True(t, sem.TryAcquire(11*time.Second, "x"))
	require.False(t, sem.TryAcquire(20*time.Second, "z"))
}
