package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// A member whose lease has lapsed joins anew while its old incarnation's floor is still kept for it: it
// must not claim that floor a second time, or more is granted than there is.
func TestAFloorIsNotClaimedTwice(t *testing.T) {
	terms := ledger.Terms{Lease: time.Second, Linger: 10 * time.Second}
	s := ledger.New(ledger.Settings{Fleet: "f", Generation: 1, MostMembers: 4})
	do := func(c ledger.Command) (ledger.Answer, error) { return s.Apply(c) }
	_, err := do(ledger.Command{Fleet: "f", Set: &ledger.Set{Version: 1, Budgets: []ledger.Budget{{Name: "b", Kind: ledger.Rate, Whole: 10 * Milli, Burst: 8 * Milli,
		Parts: map[string]ledger.Part{"a": {Floor: 2 * Milli}}}}}})
	require.NoError(t, err)
	a, b := NewHolder("f", "a", 1, terms), NewHolder("f", "b", 2, terms)
	step := func(h *Holder, now time.Duration) {
		h.Rate("b").Take(now, Milli)
		x, err := do(h.Next(now))
		h.Answered(now, x, err)
	}
	for range 3 {
		step(a, 0)
	}
	require.EqualValues(t, 10*Milli, a.Rate("b").Holding(0))
	_, err = do(ledger.Command{Fleet: "f", Lapse: &ledger.Lapse{Incarnation: a.Incarnation(), Seq: 2}})
	require.NoError(t, err)
	now := 2 * time.Second
	require.EqualValues(t, 2*Milli, a.Rate("b").Holding(now), "its floor, after the lease")
	for range 4 { // the other takes all that is free, then the first comes back
		step(b, now)
	}
	for range 4 {
		step(a, now)
		whole, holders := s.Holders("b")
		sum := int64(0)
		for _, h := range holders {
			sum += h.Granted
		}
		require.LessOrEqual(t, sum, whole)
	}
}
