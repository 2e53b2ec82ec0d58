package main

import (
	"context"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/lab/load"
	"tinroute.example/tinroute/internal/lab/rig"
)

// newFleet starts a fleet of this program with a budget of 40 jobs a second, and waits until all of it is
// granted.
func newFleet(t *testing.T, ctx context.Context, o rig.Options) *rig.Rig {
	o.Dir, o.Program, o.Env = t.TempDir(), os.Args[:1], []string{"TINROUTE_TEST_MAIN=1"}
	o.Nodes, o.Whole, o.Burst, o.Work = 3, 40, 12, 10*time.Millisecond
	o.Room = o.Members + 3 // what is lapsed counts too
	r, err := rig.New(o)
	require.NoError(t, err)
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			t.Log(r.Logs(12))
		}
	})
	begin(t, ctx, r.Processes()...)
	return r
}

// begin starts processes together and waits until they take clients.
func begin(t *testing.T, ctx context.Context, processes ...*rig.Process) {
	for _, p := range processes {
		require.NoError(t, p.Start())
	}
	for _, p := range processes {
		require.NoError(t, p.Ready(ctx))
	}
}

// judge reads the history as the nodes and voters saw it, once enough has come for it to mean anything.
func judge(t *testing.T, ctx context.Context, r *rig.Rig, whole float64) {
	require.NoError(t, r.Reached(ctx, 60))
	events := r.History.Events()
	n, err := rig.Over(events, rig.Limit{Rate: whole, Burst: max(12, whole/4)})
	require.NoError(t, err)
	require.NoError(t, rig.Answers(events))
	require.NoError(t, rig.Granted(events))
	require.NoError(t, rig.Crashes(events))
	t.Logf("%d requests reached nodes", n)
}

// The thinnest whole: one voter, one member, one budget. The member is cut off with half of the budget,
// which is the voter's once the lease is over and not before, and goes on being asked for much; it comes
// back, is killed, and is started again.
func TestFleetOfTwo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r := newFleet(t, ctx, rig.Options{Voters: 1, Members: 2, Lease: time.Second})
	d := r.Processes()
	defer r.Load(d[0], 15*time.Millisecond)()
	end := r.Load(d[1], 15*time.Millisecond)
	_, err := r.Until(ctx, rig.Divided("d0", "d1"))
	require.NoError(t, err)
	d[1].Cut(rig.Way{Silent: true}, rig.Way{Silent: true})
	_, err = r.Until(ctx, rig.Divided("d0"))
	require.NoError(t, err)
	time.Sleep(2 * time.Second) // both are asked for more than the whole; one may admit
	d[1].Cut(rig.Way{}, rig.Way{})
	_, err = r.Until(ctx, rig.Divided("d0", "d1"))
	require.NoError(t, err)
	require.NoError(t, d[1].Signal(syscall.SIGKILL))
	end()
	_, err = r.Until(ctx, rig.Divided("d0"))
	require.NoError(t, err)
	require.NoError(t, d[1].Start())
	require.NoError(t, d[1].Ready(ctx))
	defer r.Load(d[1], 15*time.Millisecond)()
	_, err = r.Until(ctx, rig.Divided("d0", "d1"))
	require.NoError(t, err)
	judge(t, ctx, r, 40)

	// The whole is halved by an operator's word while all of it is out: first those who have it give up.
	out, err := d[0].Command("fleet", "budgets", "set", "jobs", "whole=20", "part.d1.weight=3").CombinedOutput()
	require.NoError(t, err, "%s", out)
	_, err = r.Until(ctx, func(o ledger.Overview) bool {
		return o.Version == 2 && o.Budgets[0].Whole == 20_000 && o.Budgets[0].Granted <= 20_000
	})
	require.NoError(t, err)
	from := r.History.Now()
	had, _ := rig.Over(r.History.Events(), rig.Limit{From: from})
	require.NoError(t, r.Reached(ctx, had+40))
	_, err = rig.Over(r.History.Events(), rig.Limit{Rate: 20, Burst: 12, From: from})
	require.NoError(t, err)
}

// What goes wrong in a fleet of five, three of them voters, each under more load than the whole, with one
// of its like beside it. Every part ends with the whole granted again to all that live.
func TestFleetFailures(t *testing.T) {
	lease, silent := time.Second, rig.Way{Silent: true}
	leads := func(t *testing.T, ctx context.Context, r *rig.Rig) (leader, other *rig.Process) {
		o, err := r.Until(ctx, func(ledger.Overview) bool { return true })
		require.NoError(t, err)
		for _, p := range r.Processes()[:3] {
			if p.Name == o.Leader {
				leader = p
			} else {
				other = p
			}
		}
		return leader, other
	}
	// pass lets so many leases go by: the time that the fault needs to act, on which no verdict hangs.
	pass := func(leases float64) { time.Sleep(time.Duration(leases * float64(lease))) }
	for name, play := range map[string]func(t *testing.T, ctx context.Context, r *rig.Rig){
		"the leader is killed and comes back": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, _ := leads(t, ctx, r)
			require.NoError(t, leader.Signal(syscall.SIGKILL))
			pass(2)
			require.NoError(t, leader.Settings(1, 40, false), "it goes on from its folder")
			begin(t, ctx, leader)
		},
		"a member and the leader are stopped for three leases": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, _ := leads(t, ctx, r)
			for _, p := range []*rig.Process{r.Processes()[4], leader} {
				require.NoError(t, p.Signal(syscall.SIGSTOP))
				pass(3)
				require.NoError(t, p.Signal(syscall.SIGCONT))
			}
		},
		"the leader is cut off, then mute, then deaf": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			for _, way := range [][2]rig.Way{{silent, silent}, {{}, silent}, {silent, {}}} {
				leader, _ := leads(t, ctx, r)
				leader.Isolate(way[0], way[1])
				r.Processes()[3].Cut(way[1], way[0])
				pass(3)
				leader.Isolate(rig.Way{}, rig.Way{})
				r.Processes()[3].Cut(rig.Way{}, rig.Way{})
			}
		},
		"voters and a member are upgraded": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, other := leads(t, ctx, r)
			for _, p := range []*rig.Process{leader, other, r.Processes()[3]} {
				require.NoError(t, p.Upgrade(ctx))
			}
		},
		"most voters are away for long": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			for _, p := range r.Processes()[:2] {
				require.NoError(t, p.Signal(syscall.SIGKILL))
			}
			pass(4)
			begin(t, ctx, r.Processes()[:2]...)
		},
		"disks are full": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, other := leads(t, ctx, r)
			full := []*rig.Process{leader, other, r.Processes()[4]} // two of three voters: nothing can be written
			for _, p := range full {
				require.NoError(t, p.Full(true))
			}
			pass(3)
			for _, p := range full {
				require.NoError(t, p.Full(false))
			}
		},
		"a voter's folder is damaged": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, _ := leads(t, ctx, r)
			require.NoError(t, leader.Signal(syscall.SIGKILL))
			require.NoError(t, leader.Damage())
			begin(t, ctx, leader)
			pass(1)
			_, err := r.Look(ctx, slices.Index(r.Processes(), leader))
			require.Error(t, err, "it serves, and does not vote")
		},
		"a voter's folder is an old copy, then empty": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			_, other := leads(t, ctx, r)
			require.NoError(t, other.Keep())
			require.NoError(t, other.Settings(1, 40, false))
			pass(2)
			require.NoError(t, other.Signal(syscall.SIGKILL))
			require.NoError(t, other.PutBack())
			begin(t, ctx, other)
			_, err := r.Until(ctx, rig.Divided("d0", "d1", "d2", "d3", "d4"))
			require.NoError(t, err)
			require.NoError(t, other.Signal(syscall.SIGKILL))
			require.NoError(t, other.Wipe())
			begin(t, ctx, other)
			pass(1)
			_, err = r.Look(ctx, slices.Index(r.Processes(), other))
			require.Error(t, err, "it serves, and does not vote")
		},
		"processes are started twice under one name": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, other := leads(t, ctx, r)
			for _, p := range []*rig.Process{leader, other, r.Processes()[4]} {
				end, err := p.Twice(ctx)
				require.NoError(t, err)
				pass(2)
				require.NoError(t, end())
			}
		},
		"answers come late and by the byte": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			for _, p := range r.Processes() {
				p.Cut(rig.Way{Delay: lease / 20, Jitter: lease / 10}, rig.Way{Delay: lease / 2000, Trickle: 7})
			}
			pass(3)
			for _, p := range r.Processes() {
				p.Cut(rig.Way{}, rig.Way{})
			}
			// What slow links left half done must not keep a voter from ending.
			leader, _ := leads(t, ctx, r)
			require.NoError(t, leader.Signal(syscall.SIGTERM))
			begin(t, ctx, leader)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
			defer cancel()
			r := newFleet(t, ctx, rig.Options{Voters: 3, Members: 5, Lease: lease, Floor: 1})
			for _, p := range r.Processes() {
				defer r.Load(p, 20*time.Millisecond)()
			}
			names := []string{"d0", "d1", "d2", "d3", "d4"}
			_, err := r.Until(ctx, rig.Divided(names...))
			require.NoError(t, err)
			play(t, ctx, r)
			_, err = r.Until(ctx, rig.Divided(names...))
			require.NoError(t, err)
			judge(t, ctx, r, 40)
		})
	}
}

// Seven more start within an instant: nobody gets what another still has.
func TestFleetIsJoinedAtOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r, err := rig.New(rig.Options{Dir: t.TempDir(), Program: os.Args[:1], Env: []string{"TINROUTE_TEST_MAIN=1"}, Voters: 1, Members: 8, Room: 12,
		Nodes: 3, Lease: time.Second, Whole: 40, Burst: 12, Work: 10 * time.Millisecond})
	require.NoError(t, err)
	defer r.Close()
	begin(t, ctx, r.Processes()[0])
	defer r.Load(r.Processes()[0], 15*time.Millisecond)()
	_, err = r.Until(ctx, rig.Divided("d0"))
	require.NoError(t, err)
	begin(t, ctx, r.Processes()[1:]...)
	names := []string{"d0"}
	for _, p := range r.Processes()[1:] {
		defer r.Load(p, 30*time.Millisecond)()
		names = append(names, p.Name)
	}
	_, err = r.Until(ctx, rig.Divided(names...))
	require.NoError(t, err)
	judge(t, ctx, r, 40)
}

// Every other job fails at its node after it ran: repeats and copies stay within the fleet's budget of them, as the
// nodes count it, while the leader is killed and a member with a share is cut off and goes on.
func TestFleetRepeats(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	limit := rig.RepeatLimit{Rate: 5, Burst: 7, Share: 0.1, Saved: 1}
	r := newFleet(t, ctx, rig.Options{Voters: 3, Members: 4, Lease: time.Second, Repeats: &limit})
	d := r.Processes()
	for _, p := range d {
		defer r.Load(p, 25*time.Millisecond)()
	}
	_, err := r.Until(ctx, rig.Divided("d0", "d1", "d2", "d3"))
	require.NoError(t, err)
	r.Fail(true)
	d[3].Cut(rig.Way{Silent: true}, rig.Way{Silent: true})
	o, err := r.Until(ctx, rig.Divided("d0", "d1", "d2"))
	require.NoError(t, err)
	leader := d[slices.IndexFunc(d, func(p *rig.Process) bool { return p.Name == o.Leader })]
	require.NoError(t, leader.Signal(syscall.SIGKILL))
	d[3].Cut(rig.Way{}, rig.Way{})
	require.NoError(t, leader.Settings(1, 40, false))
	begin(t, ctx, leader)
	_, err = r.Until(ctx, rig.Divided("d0", "d1", "d2", "d3"))
	require.NoError(t, err)
	require.NoError(t, r.Reached(ctx, 300))
	judge(t, ctx, r, 40)
	repeats, err := rig.Repeats(r.History.Events(), limit, 5) // the killed one counts twice
	require.NoError(t, err)
	require.Greater(t, repeats, 10, "the budget is there to be used")
	t.Logf("%d repeats", repeats)
}

// All voters lose their folders while two members hold nearly the whole for a lease that outlives the restart.
// The ledger is begun anew under a higher generation: what the lost one granted ends before anything is granted
// again, as the nodes count it, and a folder of the old generation is not believed.
func TestFleetLosesItsLedger(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r := newFleet(t, ctx, rig.Options{Voters: 3, Members: 5, Lease: 4 * time.Second})
	d := r.Processes()
	for _, p := range d[3:] {
		defer r.Load(p, 10*time.Millisecond)()
	}
	_, err := r.Until(ctx, func(o ledger.Overview) bool {
		had := int64(0)
		for _, b := range o.Budgets {
			for _, h := range b.Holders {
				if h.Name == "d3" || h.Name == "d4" {
					had += h.Granted
				}
			}
		}
		return had > 35_000
	})
	require.NoError(t, err)
	require.NoError(t, r.Reached(ctx, 60))
	require.NoError(t, d[2].Keep())
	for _, p := range d[3:] { // they cannot hear of the loss
		p.Cut(rig.Way{Silent: true}, rig.Way{Silent: true})
	}
	for _, p := range d[:3] {
		require.NoError(t, p.Signal(syscall.SIGKILL))
		require.NoError(t, p.Wipe())
	}
	require.NoError(t, d[2].PutBack())
	r.Generation(2)
	for _, p := range d[:3] {
		require.NoError(t, p.Settings(1, 40, true))
		defer r.Load(p, 10*time.Millisecond)()
	}
	begin(t, ctx, d[:3]...)
	_, err = r.Until(ctx, rig.Divided("d0", "d1", "d2"))
	require.NoError(t, err)
	for _, p := range d[3:] {
		p.Cut(rig.Way{}, rig.Way{})
	}
	_, err = r.Until(ctx, rig.Divided("d0", "d1", "d2", "d3", "d4"))
	require.NoError(t, err)
	had, _ := rig.Over(r.History.Events(), rig.Limit{From: r.History.Now()})
	require.NoError(t, r.Reached(ctx, had+60))
	judge(t, ctx, r, 40)
	_, err = r.Look(ctx, 2)
	require.Error(t, err, "its folder is of the generation before: it does not vote")
}

// Answers with budgets on and off, in turn, from a member of a fleet of two: every job is served in both. With
// TINROUTE_PAIRS it measures so many rounds.
func TestBudgetsCost(t *testing.T) {
	rounds, lasts, rate := 1, time.Second, 50.0
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_PAIRS")); err == nil {
		rounds, lasts, rate = n, 10*time.Second, 400
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rounds+1)*time.Minute)
	defer cancel()
	for round := range rounds {
		for i := range 2 {
			off := (i+round)%2 == 0
			r, err := rig.New(rig.Options{Dir: t.TempDir(), Program: os.Args[:1], Env: []string{"TINROUTE_TEST_MAIN=1"}, Voters: 1, Members: 2, Room: 4,
				Nodes: 3, Lease: 2 * time.Second, Whole: 2000, Burst: 1000, Work: 10 * time.Millisecond, Off: off})
			require.NoError(t, err)
			begin(t, ctx, r.Processes()...)
			if !off {
				_, err = r.Until(ctx, rig.Divided("d0", "d1"))
				require.NoError(t, err)
			}
			d := r.Processes()[1]
			used := cpu(d.Running())
			res, err := load.Run(ctx, load.Options{Target: d.Listen, Owner: "t", Rate: rate, For: lasts, Seed: uint64(round),
				Classes: []load.Class{{Name: "job", Share: 1, Deadline: rig.Deadline}}}, nil)
			require.NoError(t, err)
			require.Equal(t, res.Sent, res.Classes[0].Served, "%+v", res.Classes[0].Statuses)
			all, own := memory(d.Running())
			t.Logf("round %d budgets off %-5v p50 %d us, p99 %d us, processor time %v a request, %d MB, %d own", round, off, res.All.ValueAtQuantile(50),
				res.All.ValueAtQuantile(99), ((cpu(d.Running()) - used) / time.Duration(res.Sent)).Round(time.Microsecond), all, own)
			r.Close()
		}
	}
}

// No node has more connections from all dispatchers together than the fleet's budget gives it, while a member is
// cut off, another is stopped, and the leader is killed; each goes on with what it has.
func TestFleetConnections(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r, err := rig.New(rig.Options{Dir: t.TempDir(), Program: os.Args[:1], Env: []string{"TINROUTE_TEST_MAIN=1"}, Voters: 3, Members: 4, Room: 8,
		Nodes: 3, Lease: time.Second, Whole: 400, Burst: 100, Work: 10 * time.Millisecond, Accept: 300 * time.Millisecond, Connections: 4})
	require.NoError(t, err)
	defer r.Close()
	d := r.Processes()
	begin(t, ctx, d...)
	for _, p := range d {
		defer r.Load(p, 15*time.Millisecond)()
	}
	names := []string{"d0", "d1", "d2", "d3"}
	o, err := r.Until(ctx, rig.Divided(names...))
	require.NoError(t, err)
	leader := d[slices.IndexFunc(d, func(p *rig.Process) bool { return p.Name == o.Leader })]
	other := d[(slices.Index(d, leader)+1)%3]
	d[3].Cut(rig.Way{Silent: true}, rig.Way{Silent: true})
	time.Sleep(2 * time.Second)
	d[3].Cut(rig.Way{}, rig.Way{})
	require.NoError(t, other.Signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	require.NoError(t, other.Signal(syscall.SIGCONT))
	require.NoError(t, leader.Signal(syscall.SIGKILL))
	require.NoError(t, leader.Settings(1, 400, false))
	begin(t, ctx, leader)
	_, err = r.Until(ctx, rig.Divided(names...))
	require.NoError(t, err)
	judge(t, ctx, r, 400)
	most, err := rig.Connections(r.History.Events(), 4)
	require.NoError(t, err)
	require.Greater(t, most, 1, "the budget is there to be used")
	t.Logf("%d connections at a node at most", most)
}
