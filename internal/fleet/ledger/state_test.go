package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fleet(t testing.TB, names ...string) (*State, []uint64) {
	s := New(Settings{Fleet: "souss", Generation: 3, MostMembers: 8})
	_, err := s.Apply(Command{Fleet: "souss", Set: &Set{Version: 1, Budgets: []Budget{
		{Name: "repeats", Kind: Rate, Whole: 100 * milli, Burst: 20 * milli, Parts: map[string]Part{"n9": {Floor: 10 * milli}}}}}})
	require.NoError(t, err)
	var incs []uint64
	for i, n := range names {
		a, err := s.Apply(Command{Fleet: "souss", Join: &Join{Name: n, Nonce: uint64(i)}})
		require.NoError(t, err)
		incs = append(incs, a.Incarnation)
	}
	return s, incs
}

func ask(s *State, inc, seq uint64, holding, demand int64) (Share, error) {
	a, err := s.Apply(Command{Fleet: "souss", Ask: &Ask{Incarnation: inc, Seq: seq, Uses: map[string]Use{"repeats": {Holding: holding, Demand: demand}}}})
	return a.Shares["repeats"], err
}

func TestShrinkBeforeGrow(t *testing.T) {
	s, inc := fleet(t, "n1", "n2")
	one, err := ask(s, inc[0], 1, 0, 200*milli)
	require.NoError(t, err)
	require.EqualValues(t, 90*milli, one.Amount, "alone in asking, all but the floor held back for n9")
	two, err := ask(s, inc[1], 1, 0, 200*milli)
	require.NoError(t, err)
	require.Zero(t, two.Amount, "the first may be using all of it")
	one, err = ask(s, inc[0], 2, one.Amount, 200*milli)
	require.NoError(t, err)
	require.EqualValues(t, 45*milli, one.Amount)
	two, err = ask(s, inc[1], 2, 0, 200*milli)
	require.NoError(t, err)
	require.Zero(t, two.Amount, "it was told to shrink, and has not said that it has")
	_, err = ask(s, inc[0], 3, one.Amount, 200*milli)
	require.NoError(t, err)
	two, err = ask(s, inc[1], 3, 0, 200*milli)
	require.NoError(t, err)
	require.EqualValues(t, 45*milli, two.Amount)
}

func TestTwiceLateForeignAndOld(t *testing.T) {
	s, inc := fleet(t, "n1")
	a, err := s.Apply(Command{Fleet: "souss", Join: &Join{Name: "n1", Nonce: 0}})
	require.NoError(t, err)
	require.Equal(t, inc[0], a.Incarnation, "a join sent twice makes one member")
	_, err = ask(s, inc[0], 2, 0, 0)
	require.NoError(t, err)
	for _, seq := range []uint64{1, 2} {
		_, err = ask(s, inc[0], seq, 0, 0)
		require.ErrorIs(t, err, ErrOld)
	}
	_, err = ask(s, 99, 1, 0, 0)
	require.ErrorIs(t, err, ErrLapsed)
	_, err = s.Apply(Command{Fleet: "other", Join: &Join{Name: "n1"}})
	require.ErrorIs(t, err, ErrForeign)
	require.ErrorContains(t, err, `"other", this is "souss"`)
	for _, version := range []uint64{1, 3} {
		_, err = s.Apply(Command{Fleet: "souss", Set: &Set{Version: version}})
		require.ErrorIs(t, err, ErrVersion)
	}
	_, err = s.Apply(Command{Fleet: "souss", Set: &Set{Version: 2, Budgets: []Budget{{Name: "repeats", Kind: Rate, Whole: 1, Burst: 7 * milli}}}})
	require.ErrorContains(t, err, "at least a unit for each of 8 members")
	require.EqualValues(t, 1, s.Version(), "what was refused changed nothing")
	for i := range 7 {
		_, err = s.Apply(Command{Fleet: "souss", Join: &Join{Name: "x", Nonce: uint64(i)}})
		require.NoError(t, err)
	}
	_, err = s.Apply(Command{Fleet: "souss", Join: &Join{Name: "y"}})
	require.ErrorIs(t, err, ErrFull)
}

// A whole made smaller than what is out grants nothing more until enough has been given back.
func TestAWholeMadeSmaller(t *testing.T) {
	s, inc := fleet(t, "n1", "n2")
	one, err := ask(s, inc[0], 1, 0, 200*milli)
	require.NoError(t, err)
	_, err = s.Apply(Command{Fleet: "souss", Set: &Set{Version: 2, Budgets: []Budget{{Name: "repeats", Kind: Rate, Whole: 40 * milli, Burst: 20 * milli}}}})
	require.NoError(t, err)
	two, err := ask(s, inc[1], 1, 0, 200*milli)
	require.NoError(t, err)
	require.Zero(t, two.Amount)
	one, err = ask(s, inc[0], 2, one.Amount, 200*milli)
	require.NoError(t, err)
	require.EqualValues(t, 20*milli, one.Amount)
}

func TestSnapshot(t *testing.T) {
	s, inc := fleet(t, "n1", "n2")
	_, err := ask(s, inc[0], 1, 0, 50*milli)
	require.NoError(t, err)
	data, err := s.Snapshot()
	require.NoError(t, err)
	r := New(Settings{Fleet: "souss", Generation: 2, MostMembers: 8})
	require.NoError(t, r.Restore(data))
	again, err := r.Snapshot()
	require.NoError(t, err)
	require.JSONEq(t, string(data), string(again))
	require.ErrorIs(t, New(Settings{Fleet: "other"}).Restore(data), ErrForeign)
	require.ErrorContains(t, New(Settings{Fleet: "souss", Generation: 4}).Restore(data), "generation 3, this is 4")
	require.ErrorContains(t, r.Restore([]byte(`{"format":9,"fleet":"souss"}`)), "format 9")
}

func FuzzRestore(f *testing.F) {
	s, inc := fleet(f, "n1", "n2")
	_, _ = ask(s, inc[0], 1, 0, 50*milli)
	data, _ := s.Snapshot()
	f.Add(data)
	f.Add([]byte(`{"format":1,"fleet":"souss","generation":3,"members":{"1":null},"last":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(Settings{Fleet: "souss", Generation: 3, MostMembers: 8})
		if s.Restore(data) == nil {
			for i := range s.members { // what was read can be worked with
				_, _ = ask(s, i, 1<<60, 5, 5)
			}
			_, _ = s.Snapshot()
		}
	})
}

// A new leader knows no time of any ask, and counts each lease from when it began.
func TestKeeper(t *testing.T) {
	s, inc := fleet(t, "n1")
	k := Keeper{Terms: Terms{Lease: time.Second, Linger: 2 * time.Second, Drift: 0.01}}
	at := time.Hour
	require.Empty(t, k.Due(at, s))
	require.Empty(t, k.Due(at+1009*time.Millisecond, s), "the lease is lengthened by the drift")
	k.Lead()
	require.Empty(t, k.Due(at+1500*time.Millisecond, s))
	require.Empty(t, k.Due(at+2500*time.Millisecond, s))
	due := k.Due(at+2511*time.Millisecond, s)
	require.Len(t, due, 1)
	_, err := ask(s, inc[0], 1, 0, 0)
	require.NoError(t, err)
	_, err = s.Apply(due[0])
	require.ErrorIs(t, err, ErrLapsed, "it has been heard of since")
	require.Empty(t, k.Due(at+3*time.Second, s))
	due = k.Due(at+5*time.Second, s)
	require.Len(t, due, 1)
	_, err = s.Apply(due[0])
	require.NoError(t, err)
	_, err = ask(s, inc[0], 2, 0, 0)
	require.ErrorIs(t, err, ErrLapsed)
	require.Empty(t, k.Due(at+5*time.Second, s))
	due = k.Due(at+8*time.Second, s)
	require.Len(t, due, 1)
	require.NotNil(t, due[0].Release)
}
