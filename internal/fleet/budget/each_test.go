package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each place is bounded by the grant alike; what is told is the place that holds most, for as long as it does.
func TestEach(t *testing.T) {
	e := (&Holder{helds: map[string]pieces{}}).Each("b")
	require.False(t, e.Take(0, "x"), "before a grant")
	e.Set(0, Grant{Share: 2 * Milli, Floor: Milli, Ends: 10 * time.Second, Until: 20 * time.Second})
	require.True(t, e.Take(0, "x"))
	require.True(t, e.Take(0, "x"))
	require.False(t, e.Take(0, "x"))
	require.True(t, e.Take(0, "y"))
	require.EqualValues(t, 3*Milli, e.Demand(0), "one more was wanted at x")
	require.EqualValues(t, 2*Milli, e.Demand(0))
	require.Zero(t, e.Over(0, "x"))
	require.EqualValues(t, Milli, e.Over(11*time.Second, "x"), "the lease is over: the floor is left")
	require.False(t, e.Take(11*time.Second, "y"))
	require.EqualValues(t, 2*Milli, e.Holding(30*time.Second), "what is held goes on being held")
	e.Give("x")
	e.Give("x")
	e.Give("x")
	require.EqualValues(t, Milli, e.Holding(30*time.Second))
	require.True(t, e.Take(11*time.Second, "x"))
	require.False(t, e.Take(20*time.Second, "z"))
}
