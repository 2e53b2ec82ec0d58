package quorum

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/budget"
	"tinroute.example/tinroute/internal/fleet/ledger"
)

var began = time.Now()

func clock() time.Duration { return time.Since(began) }

type voters struct {
	t     *testing.T
	addrs map[string]string
	dir   string
	lease time.Duration // 400 ms where 0
	up    map[string]*Voter
}

// newVoters are n of them with free addresses, none started.
func newVoters(t *testing.T, n int) *voters {
	v := &voters{t: t, addrs: map[string]string{}, dir: t.TempDir(), up: map[string]*Voter{}}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		v.addrs[fmt.Sprint("n", i)] = l.Addr().String()
		require.NoError(t, l.Close())
	}
	return v
}

func (v *voters) start(name string, begin bool) {
	x, err := v.try(name, begin)
	require.NoError(v.t, err)
	v.up[name] = x
}

func (v *voters) try(name string, begin bool) (*Voter, error) {
	lease := cmp.Or(v.lease, 400*time.Millisecond)
	return Start(Options{Begin: begin, Name: name, Voters: v.addrs, Dir: filepath.Join(v.dir, name), Fleet: ledger.Settings{Fleet: "f", Generation: 1, MostMembers: 8},
		Terms: ledger.Terms{Lease: lease, Linger: 400 * time.Millisecond, Drift: 0.01}, Pace: 150 * time.Millisecond, Clock: clock})
}

func (v *voters) stop(name string) {
	require.NoError(v.t, v.up[name].Close())
	delete(v.up, name)
}

// do puts a command to whoever leads, until one takes it.
func (v *voters) do(c ledger.Command) (a ledger.Answer, err error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, x := range v.up {
			if a, err = x.Apply(c); !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrUnsure) {
				return a, err
			}
		}
	}
	return a, err
}

func (v *voters) leader() (name string) {
	require.Eventually(v.t, func() bool {
		for _, x := range v.up {
			if name = x.Leader(); v.up[name] != nil {
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return name
}

// A leader dies with a budget given out: the others know what is granted, a lease that nobody renews
// lapses under the new one and its share moves, and the dead one comes back from its folder to the
// same state.
func TestALeaderDiesAndItsBudgetMoves(t *testing.T) {
	v := newVoters(t, 3)
	for name := range v.addrs {
		v.start(name, true)
	}
	_, err := v.do(ledger.Command{Fleet: "f", Set: &ledger.Set{Version: 1, Budgets: []ledger.Budget{{Name: "b", Kind: ledger.Held, Whole: 6000}}}})
	if !errors.Is(err, ledger.ErrVersion) { // written already, where the first word on it was unsure
		require.NoError(t, err)
	}
	terms := ledger.Terms{Lease: 400 * time.Millisecond, Linger: 400 * time.Millisecond, Drift: 0.01}
	one, two := budget.NewHolder("f", "one", 1, terms), budget.NewHolder("f", "two", 2, terms)
	step := func(h *budget.Holder) {
		x := h.Held("b")
		x.Take(clock()) // wants more than it has
		a, err := v.do(h.Next(clock()))
		h.Answered(clock(), a, err)
	}
	for range 3 {
		step(one)
	}
	require.Positive(t, one.Held("b").Held())

	dead := v.leader()
	v.stop(dead)
	// The first holder is gone with it; the second gets all once the first's lease and what it held are
	// surely over, and never before: no moment sees more granted than there is.
	require.Eventually(t, func() bool {
		step(two)
		for _, x := range v.up {
			x.Look(func(s *ledger.State) {
				whole, holders := s.Holders("b")
				sum := int64(0)
				for _, h := range holders {
					sum += h.Granted
				}
				require.LessOrEqual(t, sum, whole)
			})
		}
		return two.Held("b").Held() == 6000
	}, 20*time.Second, 20*time.Millisecond)

	folder := filepath.Join(v.dir, dead)
	require.NoError(t, os.Rename(folder, folder+".away"))
	_, err = v.try(dead, false)
	require.ErrorIs(t, err, ErrEmpty, "a voter that has lost its folder must not vote as if it had one")
	require.NoError(t, os.RemoveAll(folder))
	require.NoError(t, os.Rename(folder+".away", folder))
	v.start(dead, false)
	want := func(s *ledger.State) string {
		data, err := s.Snapshot()
		require.NoError(t, err)
		return string(data)
	}
	require.Eventually(t, func() bool {
		var states []string
		for _, x := range v.up {
			x.Look(func(s *ledger.State) { states = append(states, want(s)) })
		}
		return len(states) == 3 && states[0] == states[1] && states[1] == states[2]
	}, 20*time.Second, 5*time.Millisecond)
	for name := range v.addrs {
		v.stop(name)
	}
}
