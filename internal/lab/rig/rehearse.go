package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// Rehearsal describes one run of a fleet of real processes under faults that are drawn from a seed.
type Rehearsal struct {
	Options
	Seed            uint64
	FaultPeriod     time.Duration // during which faults are started
	RecoveryTimeout time.Duration // limit on the time from the end of the last fault until the budget is fully granted again
}

// Outcome is the result of a rehearsal. Violations is empty if every rule held.
type Outcome struct {
	Seed           uint64         `json:"seed"`
	Violations     string         `json:"broken,omitempty"`
	Faults         map[string]int `json:"faults"` // number of faults by kind
	Sent           int            `json:"sent"`
	Arrived        int            `json:"reached"`   // requests that reached nodes
	Utilization    float64        `json:"used"`      // requests that reached nodes, as a share of what the budget allowed in that time
	RecoveryLeases float64        `json:"recovered"` // time from the end of the last fault until the budget was fully granted again, in leases
	Overviews      int            `json:"looks"`     // number of ledger overviews read from voters

	Repeats     int `json:"repeats,omitempty"`     // attempts that reached nodes after the first of their request
	Connections int `json:"connections,omitempty"` // the largest number at one node
}

// rehearsalRun is the state of a running rehearsal.
type rehearsalRun struct {
	*Rig
	Rehearsal
	rng     *rand.Rand
	faulted map[*Process]bool // processes with an active fault
	wiped   map[*Process]bool // voters whose data directory was deleted
	version int               // of the budgets in the fleet files
	result  Outcome

	mu       sync.Mutex
	stopLoad map[*Process]func()
	err      error
}

// Rehearse starts a fleet, sends it 1.3 times the load that the budget allows, injects faults during FaultPeriod, waits
// for the recovery, and checks the history. It returns an error only for failures of the rig itself; broken rules are
// in the outcome.
//
//revive:disable-next-line:function-length one scenario in sequence
func Rehearse(ctx context.Context, plan Rehearsal) (Outcome, *History, error) {
	fleet, err := New(plan.Options)
	if err != nil {
		return Outcome{}, nil, err
	}
	defer fleet.Close()
	run := &rehearsalRun{Rig: fleet, Rehearsal: plan, rng: rand.New(rand.NewPCG(plan.Seed, 26)), faulted: map[*Process]bool{}, wiped: map[*Process]bool{}, // #nosec
		version: 1, stopLoad: map[*Process]func(){}, result: Outcome{Seed: plan.Seed, Faults: map[string]int{}}}
	var names []string
	for _, process := range fleet.processes {
		names = append(names, process.Name)
		if err := process.Start(); err != nil {
			return run.result, fleet.History, err
		}
	}
	for _, process := range fleet.processes {
		if err := process.WaitReady(ctx); err != nil {
			return run.result, fleet.History, fmt.Errorf("%s: %w", process.Name, err)
		}
		if err := process.WriteFleetFile(1, plan.BudgetRate, false); err != nil {
			return run.result, fleet.History, err
		}
	}
	if _, err := fleet.WaitOverview(ctx, SharedAmong(names...)); err != nil {
		return run.result, fleet.History, err
	}
	fleet.SetJobsFailing(plan.RepeatBudget != nil)
	for _, process := range fleet.processes {
		run.setLoad(process, 1.3*plan.BudgetRate/float64(len(fleet.processes)))
	}
	began := time.Now()
	var faults sync.WaitGroup
	for time.Since(began) < plan.FaultPeriod {
		run.startFault(ctx, &faults)
		time.Sleep(time.Duration(run.rng.Int64N(int64(plan.Lease))))
		for i := range fleet.ledgerAddrs { // record the granted amounts throughout
			if _, err := fleet.ReadOverview(ctx, i); err == nil {
				run.result.Overviews++
			}
		}
	}
	faults.Wait()
	faultsEnded := time.Now()
	if run.err != nil {
		return run.result, fleet.History, run.err
	}
	recoveryCtx, cancel := context.WithTimeout(ctx, plan.RecoveryTimeout)
	defer cancel()
	if _, err := fleet.WaitOverview(recoveryCtx, SharedAmong(names...)); err != nil {
		run.result.Violations = fmt.Sprintf("budget not fully granted again within %v: %v", plan.RecoveryTimeout, err)
	}
	run.result.RecoveryLeases = time.Since(faultsEnded).Seconds() / plan.Lease.Seconds()
	elapsed := time.Since(began)
	run.mu.Lock()
	for _, stop := range run.stopLoad {
		stop()
	}
	run.mu.Unlock()
	events := fleet.History.Events()
	arrived, rateErr := CheckRate(events, RateLimit{Rate: plan.BudgetRate, Burst: plan.Burst})
	starts := 0
	for _, e := range events {
		if e.Kind == "start" {
			starts++
		}
	}
	var repeatErr, connectionErr error
	if plan.RepeatBudget != nil {
		run.result.Repeats, repeatErr = CheckRepeats(events, *plan.RepeatBudget, starts)
	}
	if plan.ConnectionBudget > 0 {
		run.result.Connections, connectionErr = CheckConnections(events, plan.ConnectionBudget)
	}
	if err := errors.Join(rateErr, repeatErr, connectionErr, CheckAnswers(events), CheckGrants(events), CheckExits(events)); err != nil {
		run.result.Violations += err.Error()
	}
	for _, e := range events {
		if e.Kind == "sent" {
			run.result.Sent++
		}
	}
	run.result.Arrived, run.result.Utilization = arrived, float64(arrived)/elapsed.Seconds()/plan.BudgetRate
	return run.result, fleet.History, nil
}

// setLoad changes the load on a dispatcher to the given rate in requests per second.
func (run *rehearsalRun) setLoad(process *Process, rate float64) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if stop := run.stopLoad[process]; stop != nil {
		go stop()
	}
	run.stopLoad[process] = run.StartLoad(process, time.Duration(float64(time.Second)/rate))
}

// startFault starts one random fault, which ends after a random time.
//
//revive:disable-next-line:function-length one scenario in sequence
func (run *rehearsalRun) startFault(ctx context.Context, faults *sync.WaitGroup) {
	target := run.processes[run.rng.IntN(len(run.processes))]
	duration := time.Duration(run.rng.Int64N(int64(3 * run.Lease)))
	silent, none := Impairment{Silent: true}, Impairment{}
	impairments := [][2]Impairment{{silent, silent}, {silent, none}, {none, silent},
		{{Delay: run.Lease / 20, Jitter: run.Lease / 4}, {Jitter: run.Lease / 4}}, {none, {Delay: run.Lease / 1000, Trickle: 9}}}
	impairment := impairments[run.rng.IntN(len(impairments))]
	kind := run.rng.IntN(11)
	if kind == 0 { // demand moves to one dispatcher
		for _, other := range run.processes {
			rate := 0.3 * run.BudgetRate / float64(len(run.processes))
			if other == target {
				rate = 1.2 * run.BudgetRate
			}
			run.setLoad(other, rate)
		}
		run.result.Faults["demand moves"]++
		return
	}
	if kind == 1 { // the budget changes, but never exceeds the rate that CheckRate verifies
		run.version++
		rate := run.BudgetRate * (0.4 + 0.6*run.rng.Float64())
		for _, voter := range run.processes[:run.Voters] {
			if err := voter.WriteFleetFile(run.version, rate, false); err != nil {
				run.recordError(err)
			}
			_ = voter.Signal(syscall.SIGHUP) // a voter that is down reads the file at its start
		}
		run.result.Faults["whole set anew"]++
		return
	}
	run.mu.Lock()
	faulted := run.faulted[target]
	unavailable := len(run.wiped)
	for voter := range run.faulted {
		if voter.isVoter && !run.wiped[voter] {
			unavailable++
		}
	}
	// Most voters may be unavailable for a while, but only a minority may lose their data directories.
	wipe := kind == 3 && target.isVoter && len(run.wiped) < (run.Voters-1)/2 && run.rng.IntN(3) == 0
	if faulted || target.isVoter && unavailable >= run.Voters-1 {
		run.mu.Unlock()
		return
	}
	run.faulted[target] = true
	if wipe {
		run.wiped[target] = true
	}
	run.mu.Unlock()
	name, begin, end := "", func() error { return nil }, func() error { return nil }
	switch kind {
	case 2, 3:
		name, begin, end = "killed", func() error {
			err := target.Signal(syscall.SIGKILL)
			if err == nil && wipe {
				err = target.Wipe()
			}
			return err
		}, func() error { return errors.Join(target.Start(), target.WaitReady(ctx)) }
		if wipe {
			name = "killed, its folder lost"
		}
	case 4:
		name, begin, end = "ended by SIGTERM", func() error { return target.Signal(syscall.SIGTERM) }, func() error { return errors.Join(target.Start(), target.WaitReady(ctx)) }
	case 5:
		name, begin, end = "stopped", func() error { return target.Signal(syscall.SIGSTOP) }, func() error { return target.Signal(syscall.SIGCONT) }
	case 6:
		name, begin = "upgraded", func() error { return target.Upgrade(ctx) }
	case 7:
		name, begin, end = "links to voters", func() error { target.ImpairLinks(impairment[0], impairment[1]); return nil }, func() error { target.ImpairLinks(none, none); return nil }
	case 9:
		name, begin = "started twice", func() error {
			end, err := target.StartSecond(ctx)
			if err != nil {
				return err
			}
			time.Sleep(duration)
			return end()
		}
	case 10:
		name, begin, end = "disk full", func() error { return target.SetDiskFull(true) }, func() error { return target.SetDiskFull(false) }
	case 8:
		if target.isVoter {
			name, begin, end = "voter's links to all", func() error { target.ImpairVoter(impairment[0], impairment[1]); return nil }, func() error { target.ImpairVoter(none, none); return nil }
		} else {
			name, begin, end = "links refused", func() error { target.refuseLinks(true); return nil }, func() error { target.refuseLinks(false); return nil }
		}
	}
	run.result.Faults[name]++
	faults.Go(func() {
		if err := begin(); err != nil {
			run.recordError(fmt.Errorf("%s: %s: %w", target.Name, name, err))
		}
		time.Sleep(duration)
		if err := end(); err != nil {
			run.recordError(fmt.Errorf("%s: %s: %w", target.Name, name, err))
		}
		run.mu.Lock()
		delete(run.faulted, target)
		run.mu.Unlock()
	})
}

func (run *rehearsalRun) recordError(err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.err = errors.Join(run.err, err)
}

func (p *Process) refuseLinks(on bool) {
	p.rig.History.add(Event{Kind: "links refused", Name: p.Name, Note: fmt.Sprint(on)})
	for _, links := range p.Links {
		links.Raft.SetRefusing(on)
		links.Ledger.SetRefusing(on)
	}
}

// SharedAmong returns a condition for WaitOverview: live holders with the given names hold at least 95% of the first
// budget together, and each of them holds some.
func SharedAmong(names ...string) func(ledger.Overview) bool {
	return func(overview ledger.Overview) bool {
		if len(overview.Budgets) == 0 {
			return false
		}
		b := overview.Budgets[0]
		granted := map[string]int64{}
		for _, h := range b.Holders {
			if !h.Expired {
				granted[h.Name] += h.Granted
			}
		}
		sum := int64(0)
		for _, name := range names {
			if granted[name] == 0 {
				return false
			}
			sum += granted[name]
		}
		return sum >= b.Total*95/100
	}
}
