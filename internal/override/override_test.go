package override

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

var t0 = time.Unix(1_796_000_000, 0)

func TestDetachAttach(t *testing.T) {
	set := New()
	_, err := set.Detach(t0, "s-1")
	require.ErrorIs(t, err, ErrUnknownWorker)
	_, err = set.Attach("s-1")
	require.ErrorIs(t, err, ErrUnknownWorker)

	set.RecordListed(t0, "s-1", "s-2")
	changes := set.Subscribe()
	firstGen, err := set.Detach(t0, "s-1")
	require.NoError(t, err)
	require.Len(t, changes, 1, "a change is signaled")
	<-changes
	repeatedGen, err := set.Detach(t0.Add(time.Second), "s-1")
	require.NoError(t, err)
	require.Equal(t, firstGen, repeatedGen, "detaching twice changes nothing")
	require.Empty(t, changes)
	require.True(t, set.IsDetached("s-1"))
	require.False(t, set.IsDetached("s-2"))

	attachedGen, err := set.Attach("s-1")
	require.NoError(t, err)
	require.Greater(t, attachedGen, repeatedGen)
	require.False(t, set.IsDetached("s-1"))
	reattachedGen, err := set.Attach("s-1")
	require.NoError(t, err)
	require.Equal(t, attachedGen, reattachedGen, "attaching a worker that is not detached changes nothing")
}

func TestLimits(t *testing.T) {
	set := New()
	for i := range MaxListed + 10 {
		set.RecordListed(t0.Add(time.Duration(i)), string(rune(0x1000+i)))
	}
	require.LessOrEqual(t, len(set.listed), MaxListed, "the number of remembered names is limited")
	set.RecordListed(t0.Add(time.Hour), "last")
	for i := range MaxDetached {
		name := "w" + string(rune(0x1000+i))
		set.RecordListed(t0.Add(time.Hour), name)
		_, err := set.Detach(t0, name)
		require.NoError(t, err)
	}
	_, err := set.Detach(t0, "last")
	require.ErrorIs(t, err, ErrTooManyDetached)
	require.Len(t, set.State().Detached, MaxDetached)
	long := string(make([]byte, MaxNameBytes+1))
	set.RecordListed(t0, long)
	_, err = set.Detach(t0, long)
	require.ErrorIs(t, err, ErrUnknownWorker, "the name is too long")
}

// A state is adopted only if it is newer. Its names count as listed, so that a successor process
// can attach a worker again before discovery lists it.
func TestAdoptNewerState(t *testing.T) {
	set := New()
	require.True(t, set.Adopt(t0, State{Generation: 5, Detached: []string{"s-1"}}))
	require.True(t, set.IsDetached("s-1"))
	require.False(t, set.Adopt(t0, State{Generation: 5}), "the same generation")
	require.False(t, set.Adopt(t0, State{Generation: 4}))
	require.True(t, set.IsDetached("s-1"))
	gen, err := set.Attach("s-1")
	require.NoError(t, err)
	require.Equal(t, uint64(6), gen)
}

// Decode returns exactly the state that was encoded.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9-]{1,40}`)
		state := State{Generation: rapid.Uint64().Draw(t, "gen"), Detached: rapid.SliceOfNDistinct(name, 0, 50, rapid.ID).Draw(t, "out")}
		got, err := Decode(Encode(state))
		require.NoError(t, err)
		if len(state.Detached) == 0 {
			state.Detached = nil
		}
		require.Equal(t, state, got)
	})
}

// A truncated or damaged file must not be accepted: Decode detects every truncation and every
// flipped bit.
func TestDecodeRejectsDamage(t *testing.T) {
	encoded := Encode(State{Generation: 3, Detached: []string{"s-5be2a07c", "s-0badcafe"}})
	for n := range len(encoded) {
		_, err := Decode(encoded[:n])
		require.Error(t, err, "cut at %d", n)
	}
	for i := range len(encoded) * 8 {
		b := append([]byte(nil), encoded...)
		b[i/8] ^= 1 << (i % 8)
		_, err := Decode(b)
		require.Error(t, err, "bit %d", i)
	}
	_, err := Decode([]byte(`{"version":1}`))
	require.Error(t, err, "foreign")
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(State{Generation: 1, Detached: []string{"s-1"}}))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		state, err := Decode(b)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(state.Detached), MaxDetached)
		again, err := Decode(Encode(state))
		require.NoError(t, err)
		require.Equal(t, state, again)
	})
}
