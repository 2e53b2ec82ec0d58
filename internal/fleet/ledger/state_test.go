package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestState returns a state with one budget and a member for each name, with their incarnations.
func newTestState(t testing.TB, names ...string) (*State, []uint64) {
	s := New(Settings{Fleet: "souss", Generation: 3, MaxMembers: 8})
	_, err := s.Apply(Command{Fleet: "souss", SetBudgets: &SetBudgets{Version: 1, Budgets: []Budget{
		{Name: "repeats", Kind: KindRate, Total: 100 * unit, Burst: 20 * unit, Rules: map[string]AllocationRule{"n9": {Floor: 10 * unit}}}}}})
	require.NoError(t, err)
	var incarnations []uint64
	for i, n := range names {
		a, err := s.Apply(Command{Fleet: "souss", Join: &Join{Name: n, Nonce: uint64(i)}})
		require.NoError(t, err)
		incarnations = append(incarnations, a.Incarnation)
	}
	return s, incarnations
}

// renew sends a member's renewal and returns its share of the budget.
func renew(s *State, incarnation, seq uint64, maxUse, demand int64) (Share, error) {
	a, err := s.Apply(Command{Fleet: "souss", Renew: &Renew{Incarnation: incarnation, Seq: seq, Usage: map[string]Usage{"repeats": {MaxUse: maxUse, Demand: demand}}}})
	return a.Shares["repeats"], err
}

func TestShareGrowsOnlyAfterOthersShrink(t *testing.T) {
	s, incarnations := newTestState(t, "n1", "n2")
	first, err := renew(s, incarnations[0], 1, 0, 200*unit)
	require.NoError(t, err)
	require.EqualValues(t, 90*unit, first.Amount, "the only demand gets all but the floor reserved for n9")
	second, err := renew(s, incarnations[1], 1, 0, 200*unit)
	require.NoError(t, err)
	require.Zero(t, second.Amount, "the first member may be using all of it")
	first, err = renew(s, incarnations[0], 2, first.Amount, 200*unit)
	require.NoError(t, err)
	require.EqualValues(t, 45*unit, first.Amount)
	second, err = renew(s, incarnations[1], 2, 0, 200*unit)
	require.NoError(t, err)
	require.Zero(t, second.Amount, "the first member's share was reduced, and it has not yet reported that it uses less")
	_, err = renew(s, incarnations[0], 3, first.Amount, 200*unit)
	require.NoError(t, err)
	second, err = renew(s, incarnations[1], 3, 0, 200*unit)
	require.NoError(t, err)
	require.EqualValues(t, 45*unit, second.Amount)
}

func TestApplyRejectsInvalidCommands(t *testing.T) {
	s, incarnations := newTestState(t, "n1")
	a, err := s.Apply(Command{Fleet: "souss", Join: &Join{Name: "n1", Nonce: 0}})
	require.NoError(t, err)
	require.Equal(t, incarnations[0], a.Incarnation, "a repeated join adds one member")
	_, err = renew(s, incarnations[0], 2, 0, 0)
	require.NoError(t, err)
	for _, seq := range []uint64{1, 2} {
		_, err = renew(s, incarnations[0], seq, 0, 0)
		require.ErrorIs(t, err, ErrStale)
	}
	_, err = renew(s, 99, 1, 0, 0)
	require.ErrorIs(t, err, ErrExpired)
	_, err = s.Apply(Command{Fleet: "other", Join: &Join{Name: "n1"}})
	require.ErrorIs(t, err, ErrWrongFleet)
	require.ErrorContains(t, err, `"other", this is "souss"`)
	for _, version := range []uint64{1, 3} {
		_, err = s.Apply(Command{Fleet: "souss", SetBudgets: &SetBudgets{Version: version}})
		require.ErrorIs(t, err, ErrVersionMismatch)
	}
	_, err = s.Apply(Command{Fleet: "souss", SetBudgets: &SetBudgets{Version: 2, Budgets: []Budget{{Name: "repeats", Kind: KindRate, Total: 1, Burst: 7 * unit}}}})
	require.ErrorContains(t, err, "at least a unit for each of 8 members")
	require.EqualValues(t, 1, s.BudgetVersion(), "a rejected command changes nothing")
	for i := range 7 {
		_, err = s.Apply(Command{Fleet: "souss", Join: &Join{Name: "x", Nonce: uint64(i)}})
		require.NoError(t, err)
	}
	_, err = s.Apply(Command{Fleet: "souss", Join: &Join{Name: "y"}})
	require.ErrorIs(t, err, ErrTooManyMembers)
}

// A total that is reduced below what is granted grants nothing more until enough has been returned.
func TestReducedTotalGrantsNothingUntilReturned(t *testing.T) {
	s, incarnations := newTestState(t, "n1", "n2")
	first, err := renew(s, incarnations[0], 1, 0, 200*unit)
	require.NoError(t, err)
	_, err = s.Apply(Command{Fleet: "souss", SetBudgets: &SetBudgets{Version: 2, Budgets: []Budget{{Name: "repeats", Kind: KindRate, Total: 40 * unit, Burst: 20 * unit}}}})
	require.NoError(t, err)
	second, err := renew(s, incarnations[1], 1, 0, 200*unit)
	require.NoError(t, err)
	require.Zero(t, second.Amount)
	first, err = renew(s, incarnations[0], 2, first.Amount, 200*unit)
	require.NoError(t, err)
	require.EqualValues(t, 20*unit, first.Amount)
}

func TestSnapshot(t *testing.T) {
	s, incarnations := newTestState(t, "n1", "n2")
	_, err := renew(s, incarnations[0], 1, 0, 50*unit)
	require.NoError(t, err)
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := New(Settings{Fleet: "souss", Generation: 2, MaxMembers: 8})
	require.NoError(t, restored.Restore(data))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.JSONEq(t, string(data), string(again))
	require.ErrorIs(t, New(Settings{Fleet: "other"}).Restore(data), ErrWrongFleet)
	require.ErrorContains(t, New(Settings{Fleet: "souss", Generation: 4}).Restore(data), "generation 3, this is 4")
	require.ErrorContains(t, restored.Restore([]byte(`{"format":9,"fleet":"souss"}`)), "format 9")
}

func FuzzRestore(f *testing.F) {
	s, incarnations := newTestState(f, "n1", "n2")
	_, _ = renew(s, incarnations[0], 1, 0, 50*unit)
	data, _ := s.Snapshot()
	f.Add(data)
	f.Add([]byte(`{"format":1,"fleet":"souss","generation":3,"members":{"1":null},"last":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(Settings{Fleet: "souss", Generation: 3, MaxMembers: 8})
		if s.Restore(data) == nil {
			for i := range s.members { // the restored state is usable
				_, _ = renew(s, i, 1<<60, 5, 5)
			}
			_, _ = s.Snapshot()
		}
	})
}

// A new leader does not know when the last renewals arrived, and measures each lease from the start of its
// term.
func TestLeaseMonitor(t *testing.T) {
	s, incarnations := newTestState(t, "n1")
	monitor := LeaseMonitor{Timing: Timing{Lease: time.Second, GracePeriod: 2 * time.Second, MaxDrift: 0.01}}
	start := time.Hour
	require.Empty(t, monitor.DueCommands(start, s))
	require.Empty(t, monitor.DueCommands(start+1009*time.Millisecond, s), "the lease is lengthened by the drift")
	monitor.Reset()
	require.Empty(t, monitor.DueCommands(start+1500*time.Millisecond, s))
	require.Empty(t, monitor.DueCommands(start+2500*time.Millisecond, s))
	due := monitor.DueCommands(start+2511*time.Millisecond, s)
	require.Len(t, due, 1)
	_, err := renew(s, incarnations[0], 1, 0, 0)
	require.NoError(t, err)
	_, err = s.Apply(due[0])
	require.ErrorIs(t, err, ErrExpired, "it has renewed since")
	require.Empty(t, monitor.DueCommands(start+3*time.Second, s))
	due = monitor.DueCommands(start+5*time.Second, s)
	require.Len(t, due, 1)
	_, err = s.Apply(due[0])
	require.NoError(t, err)
	_, err = renew(s, incarnations[0], 2, 0, 0)
	require.ErrorIs(t, err, ErrExpired)
	require.Empty(t, monitor.DueCommands(start+5*time.Second, s))
	due = monitor.DueCommands(start+8*time.Second, s)
	require.Len(t, due, 1)
	require.NotNil(t, due[0].Release)
}
