package main

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/lab/rig"
)

// newFleet starts a fleet of this program with a budget of 40 jobs a second, and waits until all of it is
// granted.
func newFleet(t *testing.T, ctx context.Context, o rig.Options) *rig.Rig {
	o.Dir, o.Program, o.Env = t.TempDir(), os.Args[:1], []string{"TINROUTE_TEST_MAIN=1"}
	o.Nodes, o.Whole, o.Burst, o.Work = 3, 40, 12, 10*time.Millisecond
	if o.Room == 0 {
		o.Room = 12
	}
	r, err := rig.New(o)
	require.NoError(t, err)
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			t.Log(r.Logs(12))
		}
	})
	for _, p := range r.Processes() {
		require.NoError(t, p.Start())
	}
	for _, p := range r.Processes() {
		require.NoError(t, p.Ready(ctx))
	}
	return r
}

// judge reads the history as the nodes and voters saw it.
func judge(t *testing.T, r *rig.Rig, whole float64) {
	events := r.History.Events()
	n, err := rig.Over(events, rig.Limit{Rate: whole, Burst: 12})
	require.NoError(t, err)
	require.NoError(t, rig.Answers(events))
	require.NoError(t, rig.Granted(events))
	t.Logf("%d requests reached nodes", n)
	require.Greater(t, n, 20, "too few for the bound to mean anything")
}

// all tells whether live holders of the names have all of the budget that can be given out, and no other
// has any.
func all(names ...string) func(ledger.Overview) bool {
	return func(o ledger.Overview) bool {
		if len(o.Budgets) == 0 {
			return false
		}
		b := o.Budgets[0]
		has := map[string]int64{}
		for _, h := range b.Holders {
			if !h.Lapsed {
				has[h.Name] += h.Granted
			}
		}
		sum := int64(0)
		for _, n := range names {
			if has[n] == 0 {
				return false
			}
			sum += has[n]
		}
		return sum >= b.Whole*95/100
	}
}

// The thinnest whole: one voter, one member, one budget. The member is killed with half of the budget,
// which is the voter's once the lease is over and not before; started again, it has its part anew.
func TestFleetOfTwo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r := newFleet(t, ctx, rig.Options{Voters: 1, Members: 2, Lease: time.Second})
	d := r.Processes()
	defer r.Load(d[0], 15*time.Millisecond)()
	end := r.Load(d[1], 15*time.Millisecond)
	_, err := r.Until(ctx, all("d0", "d1"))
	require.NoError(t, err)
	require.NoError(t, d[1].Signal(syscall.SIGKILL))
	end()
	_, err = r.Until(ctx, all("d0"))
	require.NoError(t, err)
	require.NoError(t, d[1].Start())
	require.NoError(t, d[1].Ready(ctx))
	defer r.Load(d[1], 15*time.Millisecond)()
	_, err = r.Until(ctx, all("d0", "d1"))
	require.NoError(t, err)
	judge(t, r, 40)
}
