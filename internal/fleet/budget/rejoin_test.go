package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// A member whose lease has expired rejoins while the floor is still granted to its old incarnation. If the
// new incarnation got the floor as well, more than the total would be granted.
func TestRejoinDoesNotClaimFloorTwice(t *testing.T) {
	timing := ledger.Timing{Lease: time.Second, GracePeriod: 10 * time.Second}
	state := ledger.New(ledger.Settings{Fleet: "f", Generation: 1, MaxMembers: 4})
	apply := func(c ledger.Command) (ledger.Answer, error) { return state.Apply(c) }
	_, err := apply(ledger.Command{Fleet: "f", SetBudgets: &ledger.SetBudgets{Version: 1, Budgets: []ledger.Budget{{Name: "b", Kind: ledger.KindRate, Total: 10 * Unit, Burst: 8 * Unit,
		Rules: map[string]ledger.AllocationRule{"a": {Floor: 2 * Unit}}}}}})
	require.NoError(t, err)
	a, b := NewHolder("f", "a", 1, timing), NewHolder("f", "b", 2, timing)
	renew := func(h *Holder, now time.Duration) {
		h.RateLimiter("b").Take(now, Unit)
		answer, err := apply(h.NextCommand(now))
		h.HandleAnswer(now, answer, err)
	}
	for range 3 {
		renew(a, 0)
	}
	require.EqualValues(t, 10*Unit, a.RateLimiter("b").MaxUse(0))
	_, err = apply(ledger.Command{Fleet: "f", Expire: &ledger.Expire{Incarnation: a.Incarnation(), Seq: 2}})
	require.NoError(t, err)
	now := 2 * time.Second
	require.EqualValues(t, 2*Unit, a.RateLimiter("b").MaxUse(now), "its floor remains after the lease")
	for range 4 { // b is granted all that is free, then a rejoins
		renew(b, now)
	}
	for range 4 {
		renew(a, now)
		total, holders := state.Holders("b")
		sum := int64(0)
		for _, h := range holders {
			sum += h.Granted
		}
		require.LessOrEqual(t, sum, total)
	}
}
