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
	b := New()
	_, err := b.Detach(t0, "s-1")
	require.ErrorIs(t, err, ErrUnknownWorker)
	_, err = b.Attach("s-1")
	require.ErrorIs(t, err, ErrUnknownWorker)

	b.RecordListed(t0, "s-1", "s-2")
	changes := b.Subscribe()
	g1, err := b.Detach(t0, "s-1")
	require.NoError(t, err)
	require.Len(t, changes, 1, "a change is signalled")
	<-changes
	g2, err := b.Detach(t0.Add(time.Second), "s-1")
	require.NoError(t, err)
	require.Equal(t, g1, g2, "a repeated detach is no change")
	require.Empty(t, changes)
	require.True(t, b.IsDetached("s-1"))
	require.False(t, b.IsDetached("s-2"))

	g3, err := b.Attach("s-1")
	require.NoError(t, err)
	require.Greater(t, g3, g2)
	require.False(t, b.IsDetached("s-1"))
	g4, err := b.Attach("s-1")
	require.NoError(t, err)
	require.Equal(t, g3, g4, "attaching a worker that is not out changes nothing")
}

func TestBounds(t *testing.T) {
	b := New()
	for i := range MaxListed + 10 {
		b.RecordListed(t0.Add(time.Duration(i)), string(rune(0x1000+i)))
	}
	require.LessOrEqual(t, len(b.listed), MaxListed, "what is listed is bounded")
	b.RecordListed(t0.Add(time.Hour), "last")
	for i := range MaxDetached {
		name := "w" + string(rune(0x1000+i))
		b.RecordListed(t0.Add(time.Hour), name)
		_, err := b.Detach(t0, name)
		require.NoError(t, err)
	}
	_, err := b.Detach(t0, "last")
	require.ErrorIs(t, err, ErrTooManyDetached)
	require.Len(t, b.State().Detached, MaxDetached)
	long := string(make([]byte, MaxNameBytes+1))
	b.RecordListed(t0, long)
	_, err = b.Detach(t0, long)
	require.ErrorIs(t, err, ErrUnknownWorker, "no worker has such a name")
}

// A successor adopts only what is newer, and names in it count as listed: the ban can be lifted
// there before the table lists the worker.
func TestAdopt(t *testing.T) {
	b := New()
	require.True(t, b.Adopt(t0, State{Generation: 5, Detached: []string{"s-1"}}))
	require.True(t, b.IsDetached("s-1"))
	require.False(t, b.Adopt(t0, State{Generation: 5}), "the same generation again")
	require.False(t, b.Adopt(t0, State{Generation: 4}))
	require.True(t, b.IsDetached("s-1"))
	g, err := b.Attach("s-1")
	require.NoError(t, err)
	require.Equal(t, uint64(6), g)
}

// What Encode writes Decode reads back whole; the book's state survives the trip.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9-]{1,40}`)
		s := State{Generation: rapid.Uint64().Draw(t, "gen"), Detached: rapid.SliceOfNDistinct(name, 0, 50, rapid.ID).Draw(t, "out")}
		got, err := Decode(Encode(s))
		require.NoError(t, err)
		if len(s.Detached) == 0 {
			s.Detached = nil
		}
		require.Equal(t, s, got)
	})
}

// A torn or damaged file is never taken for a state: every cut and every flipped bit is seen.
func TestDecodeTornAndDamaged(t *testing.T) {
	whole := Encode(State{Generation: 3, Detached: []string{"s-5be2a07c", "s-0badcafe"}})
	for n := range len(whole) {
		_, err := Decode(whole[:n])
		require.Error(t, err, "cut at %d", n)
	}
	for i := range len(whole) * 8 {
		b := append([]byte(nil), whole...)
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
		s, err := Decode(b)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(s.Detached), MaxDetached)
		again, err := Decode(Encode(s))
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}
