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

// newFleet starts a fleet of dispatchers with a budget of 40 jobs per second, and waits until they
// accept clients.
func newFleet(t *testing.T, ctx context.Context, o rig.Options) *rig.Rig {
	o.Dir, o.Program, o.Env = t.TempDir(), os.Args[:1], []string{"TINROUTE_TEST_MAIN=1"}
	o.Nodes, o.BudgetRate, o.Burst, o.JobDuration = 3, 40, 12, 10*time.Millisecond
	o.MaxMembers = o.Members + 3 // includes members whose leases have lapsed
	r, err := rig.New(o)
	require.NoError(t, err)
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			t.Log(r.TailLogs(12))
		}
	})
	startAll(t, ctx, r.Processes()...)
	return r
}

// startAll starts the processes concurrently and waits until they accept clients.
func startAll(t *testing.T, ctx context.Context, processes ...*rig.Process) {
	for _, p := range processes {
		require.NoError(t, p.Start())
	}
	for _, p := range processes {
		require.NoError(t, p.WaitReady(ctx))
	}
}

// checkHistory checks the events that the nodes and voters recorded, once 60 more requests have reached the
// nodes: fewer would say little about the rate.
func checkHistory(t *testing.T, ctx context.Context, r *rig.Rig, budget float64) {
	require.NoError(t, r.WaitArrivals(ctx, 60))
	events := r.History.Events()
	requests, err := rig.CheckRate(events, rig.RateLimit{Rate: budget, Burst: max(12, budget/4)})
	require.NoError(t, err)
	require.NoError(t, rig.CheckAnswers(events))
	require.NoError(t, rig.CheckGrants(events))
	require.NoError(t, rig.CheckExits(events))
	t.Logf("%d requests reached nodes", requests)
}

// TestFleetOfTwo runs the smallest fleet: one voter, one other member, one budget. The member loses its
// connection while it holds half of the budget and stays under load. The voter may get that half only
// after the lease expires. Then the member reconnects, is killed, and is restarted.
func TestFleetOfTwo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r := newFleet(t, ctx, rig.Options{Voters: 1, Members: 2, Lease: time.Second})
	members := r.Processes()
	defer r.StartLoad(members[0], 15*time.Millisecond)()
	stopLoad := r.StartLoad(members[1], 15*time.Millisecond)
	_, err := r.WaitOverview(ctx, rig.SharedAmong("d0", "d1"))
	require.NoError(t, err)
	members[1].ImpairLinks(rig.Impairment{Silent: true}, rig.Impairment{Silent: true})
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0"))
	require.NoError(t, err)
	time.Sleep(2 * time.Second) // each gets more requests than the total budget; only one may admit them
	members[1].ImpairLinks(rig.Impairment{}, rig.Impairment{})
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0", "d1"))
	require.NoError(t, err)
	require.NoError(t, members[1].Signal(syscall.SIGKILL))
	stopLoad()
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0"))
	require.NoError(t, err)
	require.NoError(t, members[1].Start())
	require.NoError(t, members[1].WaitReady(ctx))
	defer r.StartLoad(members[1], 15*time.Millisecond)()
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0", "d1"))
	require.NoError(t, err)
	checkHistory(t, ctx, r, 40)

	// An operator halves the budget while all of it is granted: its holders must return their excess first.
	output, err := members[0].Command("fleet", "budgets", "set", "jobs", "whole=20", "part.d1.weight=3").CombinedOutput()
	require.NoError(t, err, "%s", output)
	_, err = r.WaitOverview(ctx, func(o ledger.Overview) bool {
		return o.Version == 2 && o.Budgets[0].Total == 20_000 && o.Budgets[0].Granted <= 20_000
	})
	require.NoError(t, err)
	from := r.History.Elapsed()
	arrived, _ := rig.CheckRate(r.History.Events(), rig.RateLimit{Since: from})
	require.NoError(t, r.WaitArrivals(ctx, arrived+40))
	_, err = rig.CheckRate(r.History.Events(), rig.RateLimit{Rate: 20, Burst: 12, Since: from})
	require.NoError(t, err)
}

// TestFleetFailures injects failures into fleets of five members, three of them voters, where each
// member alone gets more load than the total budget. The cases run in parallel. Each ends when the
// total budget is granted to all live members again.
func TestFleetFailures(t *testing.T) {
	lease, silent := time.Second, rig.Impairment{Silent: true}
	leaderAndFollower := func(t *testing.T, ctx context.Context, r *rig.Rig) (leader, follower *rig.Process) {
		o, err := r.WaitOverview(ctx, func(ledger.Overview) bool { return true })
		require.NoError(t, err)
		for _, p := range r.Processes()[:3] {
			if p.Name == o.Leader {
				leader = p
			} else {
				follower = p
			}
		}
		return leader, follower
	}
	// waitLeases waits for a number of lease durations, for the fault to take effect. No check depends on it.
	waitLeases := func(leases float64) { time.Sleep(time.Duration(leases * float64(lease))) }
	for name, injectFailure := range map[string]func(t *testing.T, ctx context.Context, r *rig.Rig){
		"the leader is killed and comes back": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, _ := leaderAndFollower(t, ctx, r)
			require.NoError(t, leader.Signal(syscall.SIGKILL))
			waitLeases(2)
			require.NoError(t, leader.WriteFleetFile(1, 40, false), "it continues with the state in its directory")
			startAll(t, ctx, leader)
		},
		"a member and the leader are stopped for three leases": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, _ := leaderAndFollower(t, ctx, r)
			for _, p := range []*rig.Process{r.Processes()[4], leader} {
				require.NoError(t, p.Signal(syscall.SIGSTOP))
				waitLeases(3)
				require.NoError(t, p.Signal(syscall.SIGCONT))
			}
		},
		"the leader loses both directions, then its output, then its input": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			for _, impairments := range [][2]rig.Impairment{{silent, silent}, {{}, silent}, {silent, {}}} {
				leader, _ := leaderAndFollower(t, ctx, r)
				leader.ImpairVoter(impairments[0], impairments[1])
				r.Processes()[3].ImpairLinks(impairments[1], impairments[0])
				waitLeases(3)
				leader.ImpairVoter(rig.Impairment{}, rig.Impairment{})
				r.Processes()[3].ImpairLinks(rig.Impairment{}, rig.Impairment{})
			}
		},
		"voters and a member are upgraded": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, follower := leaderAndFollower(t, ctx, r)
			for _, p := range []*rig.Process{leader, follower, r.Processes()[3]} {
				require.NoError(t, p.Upgrade(ctx))
			}
		},
		"most voters are down for several leases": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			for _, p := range r.Processes()[:2] {
				require.NoError(t, p.Signal(syscall.SIGKILL))
			}
			waitLeases(4)
			startAll(t, ctx, r.Processes()[:2]...)
		},
		"disks are full": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, follower := leaderAndFollower(t, ctx, r)
			affected := []*rig.Process{leader, follower, r.Processes()[4]} // two of three voters: no ledger write can be committed
			for _, p := range affected {
				require.NoError(t, p.SetDiskFull(true))
			}
			waitLeases(3)
			for _, p := range affected {
				require.NoError(t, p.SetDiskFull(false))
			}
		},
		"a voter's directory is damaged": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, _ := leaderAndFollower(t, ctx, r)
			require.NoError(t, leader.Signal(syscall.SIGKILL))
			require.NoError(t, leader.CorruptLog())
			startAll(t, ctx, leader)
			waitLeases(1)
			_, err := r.ReadOverview(ctx, slices.Index(r.Processes(), leader))
			require.Error(t, err, "it serves but does not vote")
		},
		"a voter's directory is restored from an old copy, then emptied": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			_, follower := leaderAndFollower(t, ctx, r)
			require.NoError(t, follower.SaveCopy())
			require.NoError(t, follower.WriteFleetFile(1, 40, false))
			waitLeases(2)
			require.NoError(t, follower.Signal(syscall.SIGKILL))
			require.NoError(t, follower.RestoreCopy())
			startAll(t, ctx, follower)
			_, err := r.WaitOverview(ctx, rig.SharedAmong("d0", "d1", "d2", "d3", "d4"))
			require.NoError(t, err)
			require.NoError(t, follower.Signal(syscall.SIGKILL))
			require.NoError(t, follower.Wipe())
			startAll(t, ctx, follower)
			waitLeases(1)
			_, err = r.ReadOverview(ctx, slices.Index(r.Processes(), follower))
			require.Error(t, err, "it serves but does not vote")
		},
		"processes are started twice under one name": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			leader, follower := leaderAndFollower(t, ctx, r)
			for _, p := range []*rig.Process{leader, follower, r.Processes()[4]} {
				stopFirst, err := p.StartSecond(ctx)
				require.NoError(t, err)
				waitLeases(2)
				require.NoError(t, stopFirst())
			}
		},
		"links are slow and deliver few bytes at a time": func(t *testing.T, ctx context.Context, r *rig.Rig) {
			for _, p := range r.Processes() {
				p.ImpairLinks(rig.Impairment{Delay: lease / 20, Jitter: lease / 10}, rig.Impairment{Delay: lease / 2000, Trickle: 7})
			}
			waitLeases(3)
			for _, p := range r.Processes() {
				p.ImpairLinks(rig.Impairment{}, rig.Impairment{})
			}
			// Calls that are unfinished because of the slow links must not keep a voter from exiting.
			leader, _ := leaderAndFollower(t, ctx, r)
			require.NoError(t, leader.Signal(syscall.SIGTERM))
			startAll(t, ctx, leader)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
			defer cancel()
			r := newFleet(t, ctx, rig.Options{Voters: 3, Members: 5, Lease: lease, Floor: 1})
			for _, p := range r.Processes() {
				defer r.StartLoad(p, 20*time.Millisecond)()
			}
			names := []string{"d0", "d1", "d2", "d3", "d4"}
			_, err := r.WaitOverview(ctx, rig.SharedAmong(names...))
			require.NoError(t, err)
			injectFailure(t, ctx, r)
			_, err = r.WaitOverview(ctx, rig.SharedAmong(names...))
			require.NoError(t, err)
			checkHistory(t, ctx, r, 40)
		})
	}
}

// Seven members join a running one at the same time: none is granted budget that another still holds.
func TestFleetSimultaneousJoins(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r, err := rig.New(rig.Options{Dir: t.TempDir(), Program: os.Args[:1], Env: []string{"TINROUTE_TEST_MAIN=1"}, Voters: 1, Members: 8, MaxMembers: 12,
		Nodes: 3, Lease: time.Second, BudgetRate: 40, Burst: 12, JobDuration: 10 * time.Millisecond})
	require.NoError(t, err)
	defer r.Close()
	startAll(t, ctx, r.Processes()[0])
	defer r.StartLoad(r.Processes()[0], 15*time.Millisecond)()
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0"))
	require.NoError(t, err)
	startAll(t, ctx, r.Processes()[1:]...)
	names := []string{"d0"}
	for _, p := range r.Processes()[1:] {
		defer r.StartLoad(p, 30*time.Millisecond)()
		names = append(names, p.Name)
	}
	_, err = r.WaitOverview(ctx, rig.SharedAmong(names...))
	require.NoError(t, err)
	checkHistory(t, ctx, r, 40)
}

// Every other job fails at its node after it ran. The nodes' counts of repeats and copies must stay within
// the fleet's repeat budget while the leader is killed and a member that holds a share is disconnected
// and continues.
func TestFleetRepeats(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	limit := rig.RepeatLimit{Rate: 5, Burst: 7, Share: 0.1, MaxSaved: 1}
	r := newFleet(t, ctx, rig.Options{Voters: 3, Members: 4, Lease: time.Second, RepeatBudget: &limit})
	members := r.Processes()
	for _, p := range members {
		defer r.StartLoad(p, 25*time.Millisecond)()
	}
	_, err := r.WaitOverview(ctx, rig.SharedAmong("d0", "d1", "d2", "d3"))
	require.NoError(t, err)
	r.SetJobsFailing(true)
	members[3].ImpairLinks(rig.Impairment{Silent: true}, rig.Impairment{Silent: true})
	overview, err := r.WaitOverview(ctx, rig.SharedAmong("d0", "d1", "d2"))
	require.NoError(t, err)
	leader := members[slices.IndexFunc(members, func(p *rig.Process) bool { return p.Name == overview.Leader })]
	require.NoError(t, leader.Signal(syscall.SIGKILL))
	members[3].ImpairLinks(rig.Impairment{}, rig.Impairment{})
	require.NoError(t, leader.WriteFleetFile(1, 40, false))
	startAll(t, ctx, leader)
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0", "d1", "d2", "d3"))
	require.NoError(t, err)
	require.NoError(t, r.WaitArrivals(ctx, 300))
	checkHistory(t, ctx, r, 40)
	repeats, err := rig.CheckRepeats(r.History.Events(), limit, 5) // the killed member counts twice
	require.NoError(t, err)
	require.Greater(t, repeats, 10, "the budget must be used")
	t.Logf("%d repeats", repeats)
}

// All voters lose their directories while two members hold nearly the total budget, with a lease that outlasts
// the restart. The ledger is recreated with a higher generation. By the nodes' counts, the grants of the lost
// ledger must end before anything is granted again, and a directory of the old generation must be rejected.
func TestFleetLedgerLoss(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r := newFleet(t, ctx, rig.Options{Voters: 3, Members: 5, Lease: 4 * time.Second})
	members := r.Processes()
	for _, p := range members[3:] {
		defer r.StartLoad(p, 10*time.Millisecond)()
	}
	_, err := r.WaitOverview(ctx, func(o ledger.Overview) bool {
		granted := int64(0)
		for _, b := range o.Budgets {
			for _, h := range b.Holders {
				if h.Name == "d3" || h.Name == "d4" {
					granted += h.Granted
				}
			}
		}
		return granted > 35_000
	})
	require.NoError(t, err)
	require.NoError(t, r.WaitArrivals(ctx, 60))
	require.NoError(t, members[2].SaveCopy())
	for _, p := range members[3:] { // they must not learn of the loss
		p.ImpairLinks(rig.Impairment{Silent: true}, rig.Impairment{Silent: true})
	}
	for _, p := range members[:3] {
		require.NoError(t, p.Signal(syscall.SIGKILL))
		require.NoError(t, p.Wipe())
	}
	require.NoError(t, members[2].RestoreCopy())
	r.SetGeneration(2)
	for _, p := range members[:3] {
		require.NoError(t, p.WriteFleetFile(1, 40, true))
		defer r.StartLoad(p, 10*time.Millisecond)()
	}
	startAll(t, ctx, members[:3]...)
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0", "d1", "d2"))
	require.NoError(t, err)
	for _, p := range members[3:] {
		p.ImpairLinks(rig.Impairment{}, rig.Impairment{})
	}
	_, err = r.WaitOverview(ctx, rig.SharedAmong("d0", "d1", "d2", "d3", "d4"))
	require.NoError(t, err)
	arrived, _ := rig.CheckRate(r.History.Events(), rig.RateLimit{Since: r.History.Elapsed()})
	require.NoError(t, r.WaitArrivals(ctx, arrived+60))
	checkHistory(t, ctx, r, 40)
	_, err = r.ReadOverview(ctx, 2)
	require.Error(t, err, "its directory is of the previous generation: it does not vote")
}

// TestBudgetsCost alternates runs with and without budgets in a fleet of two. Every job must be served in each
// run. TINROUTE_PAIRS sets the number of rounds for a measurement.
func TestBudgetsCost(t *testing.T) {
	rounds, duration, rate := 1, time.Second, 50.0
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_PAIRS")); err == nil {
		rounds, duration, rate = n, 10*time.Second, 400
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rounds+1)*time.Minute)
	defer cancel()
	for round := range rounds {
		for i := range 2 {
			withoutBudgets := (i+round)%2 == 0
			r, err := rig.New(rig.Options{Dir: t.TempDir(), Program: os.Args[:1], Env: []string{"TINROUTE_TEST_MAIN=1"}, Voters: 1, Members: 2, MaxMembers: 4,
				Nodes: 3, Lease: 2 * time.Second, BudgetRate: 2000, Burst: 1000, JobDuration: 10 * time.Millisecond, NoFleet: withoutBudgets})
			require.NoError(t, err)
			startAll(t, ctx, r.Processes()...)
			if !withoutBudgets {
				_, err = r.WaitOverview(ctx, rig.SharedAmong("d0", "d1"))
				require.NoError(t, err)
			}
			member := r.Processes()[1]
			cpuBefore := cpuTime(member.Cmd())
			result, err := load.Run(ctx, load.Options{Target: member.Listen, Owner: "t", Rate: rate, Duration: duration, Seed: uint64(round),
				Classes: []load.Class{{Name: "job", Share: 1, Deadline: rig.RequestDeadline}}}, nil)
			require.NoError(t, err)
			require.Equal(t, result.Sent, result.Classes[0].Served, "%+v", result.Classes[0].Statuses)
			peak, anonymous := memoryMB(member.Cmd())
			t.Logf("round %d budgets off %-5v p50 %d us, p99 %d us, CPU time %v per request, %d MB peak, %d MB anonymous", round, withoutBudgets, result.All.ValueAtQuantile(50),
				result.All.ValueAtQuantile(99), ((cpuTime(member.Cmd()) - cpuBefore) / time.Duration(result.Sent)).Round(time.Microsecond), peak, anonymous)
			r.Close()
		}
	}
}

// The dispatchers together must not have more open connections to a node than the fleet's budget allows, while one
// member is disconnected, another is stopped, and the leader is killed. Each continues with its own share.
func TestFleetConnections(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r, err := rig.New(rig.Options{Dir: t.TempDir(), Program: os.Args[:1], Env: []string{"TINROUTE_TEST_MAIN=1"}, Voters: 3, Members: 4, MaxMembers: 8,
		Nodes: 3, Lease: time.Second, BudgetRate: 400, Burst: 100, JobDuration: 10 * time.Millisecond, AcceptDelay: 300 * time.Millisecond, ConnectionBudget: 4})
	require.NoError(t, err)
	defer r.Close()
	members := r.Processes()
	startAll(t, ctx, members...)
	for _, p := range members {
		defer r.StartLoad(p, 15*time.Millisecond)()
	}
	names := []string{"d0", "d1", "d2", "d3"}
	overview, err := r.WaitOverview(ctx, rig.SharedAmong(names...))
	require.NoError(t, err)
	leader := members[slices.IndexFunc(members, func(p *rig.Process) bool { return p.Name == overview.Leader })]
	follower := members[(slices.Index(members, leader)+1)%3]
	members[3].ImpairLinks(rig.Impairment{Silent: true}, rig.Impairment{Silent: true})
	time.Sleep(2 * time.Second)
	members[3].ImpairLinks(rig.Impairment{}, rig.Impairment{})
	require.NoError(t, follower.Signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	require.NoError(t, follower.Signal(syscall.SIGCONT))
	require.NoError(t, leader.Signal(syscall.SIGKILL))
	require.NoError(t, leader.WriteFleetFile(1, 400, false))
	startAll(t, ctx, leader)
	_, err = r.WaitOverview(ctx, rig.SharedAmong(names...))
	require.NoError(t, err)
	checkHistory(t, ctx, r, 400)
	maxOpen, err := rig.CheckConnections(r.History.Events(), 4)
	require.NoError(t, err)
	require.Greater(t, maxOpen, 1, "the budget must be used")
	t.Logf("%d connections at a node at most", maxOpen)
}
