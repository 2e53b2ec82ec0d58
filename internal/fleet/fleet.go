// Package fleet is a dispatcher's part in a fleet of its like: the voter, where this process is one, and
// the member, whose shares balance is handed. Absent where no file names a fleet.
package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"time"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet/budget"
	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/member"
	"tinroute.example/tinroute/internal/fleet/quorum"
	"tinroute.example/tinroute/internal/fleet/rpc"
	"tinroute.example/tinroute/internal/link"
)

// again is the wait between two tries to begin as a voter: during an upgrade the old process holds the
// log and the addresses until it ends.
const again = time.Second

// Options are a part's.
type Options struct {
	File   *config.Fleet
	Name   string
	Log    *slog.Logger
	Listen func(network, addr string) (net.Listener, error)
}

// Part is a running part.
type Part struct {
	o      Options
	member *member.Member
	rates  map[int]int // by tenant, its place among the member's rates
	work   map[int]bool
	again  int // the budget of repeats' place among the member's rates, -1 where there is none
	stop   chan struct{}
	ended  sync.WaitGroup

	mu    sync.Mutex    // guards what follows
	voter *quorum.Voter // nil where it does not vote now
	file  *config.Fleet
	ratio budget.Ratio // of repeats to first tries
}

// Start joins the fleet, and votes where the file says so. Neither waits for the other processes.
func Start(o Options) (*Part, error) {
	p := &Part{o: o, file: o.File, rates: map[int]int{}, work: map[int]bool{}, again: -1, stop: make(chan struct{})}
	m := member.Options{Name: o.Name, Fleet: o.File.Ledger.Fleet, Terms: o.File.Terms, Voters: map[string]string{}, Clock: Clock, Log: o.Log}
	for name, v := range o.File.Voters {
		m.Voters[name] = v.LedgerAddr
	}
	for tenant, b := range o.File.Tenants {
		p.rates[tenant], p.work[tenant] = len(m.Rates), b.CountsWork
		m.Rates = append(m.Rates, b.Budget)
	}
	if r := o.File.Repeats; r != nil {
		p.again, p.ratio = len(m.Rates), budget.Ratio{Part: r.ShareMilli, Most: r.MaxSavedMilli}
		m.Rates = append(m.Rates, r.Budget)
	}
	m.Each = o.File.ConnectionBudget
	var err error
	if p.member, err = member.Start(m); err != nil {
		return nil, err
	}
	if o.File.VoterDir != "" {
		p.ended.Go(p.vote)
	}
	return p, nil
}

// Reload takes the budgets of a file read again. They are proposed where this process leads, as the
// version that the file names; all else holds until a restart.
func (p *Part) Reload(f *config.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.file = f
}

// Admit asks the tenant's budget for one job of so much work, in seconds. It implements balance.Shares.
func (p *Part) Admit(tenant int, work float64) (budgeted, ok bool, wait time.Duration) {
	i, budgeted := p.rates[tenant]
	if !budgeted {
		return false, true, 0
	}
	n := int64(budget.Milli)
	if p.work[tenant] {
		n = max(1, int64(work*budget.Milli))
	}
	ok, wait, never := p.member.Take(i, n)
	if !ok && never { // nothing is in sight before the next grant
		wait = p.o.File.Terms.Lease
	}
	return true, ok, wait
}

// CountFirstSend counts a first try. It implements balance.Shares.
func (p *Part) CountFirstSend() {
	if p.again >= 0 {
		p.mu.Lock()
		p.ratio.Earn()
		p.mu.Unlock()
	}
}

// AllowRepeat asks for one repeat or second copy: what first tries here have earned goes before the fleet's
// budget, which others may need. It implements balance.Shares.
func (p *Part) AllowRepeat() bool {
	if p.again < 0 {
		return true
	}
	p.mu.Lock()
	ok := p.ratio.Take()
	p.mu.Unlock()
	if !ok {
		ok, _, _ = p.member.Take(p.again, budget.Milli)
	}
	return ok
}

// Connections bounds those at each worker, nil where no budget does.
func (p *Part) Connections() link.ConnLimit {
	if p.o.File.ConnectionBudget == "" {
		return nil
	}
	return p.member
}

// vote is a voter for as long as the part runs.
func (p *Part) vote() {
	told := ""
	for {
		v, s, err := p.begin()
		if err == nil {
			p.votes(v)
			err = p.lead(v)
			p.votes(nil)
			s.Close()
			if err := v.Close(); err != nil {
				p.o.Log.Warn("voter not closed", "err", err)
			}
			if err == nil {
				return
			}
		}
		if err.Error() != told { // once for each cause
			told = err.Error()
			p.o.Log.Error("cannot vote", "err", err)
		}
		if errors.Is(err, quorum.ErrDamaged) || errors.Is(err, quorum.ErrGeneration) { // a person has to look at the folder
			return
		}
		select {
		case <-p.stop:
			return
		case <-time.After(again):
		}
	}
}

func (p *Part) votes(v *quorum.Voter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voter = v
}

func (p *Part) begin() (*quorum.Voter, *rpc.Server, error) {
	f, addrs := p.o.File, map[string]string{}
	for name, v := range f.Voters {
		addrs[name] = v.RaftAddr
	}
	l, err := p.o.Listen("tcp", f.Voters[p.o.Name].LedgerAddr)
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	v, err := quorum.Start(quorum.Options{Name: p.o.Name, Voters: addrs, Dir: f.VoterDir, Begin: f.Bootstrap, Fleet: f.Ledger, Terms: f.Terms,
		Pace: f.HeartbeatInterval, Clock: Clock, Log: p.o.Log})
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return v, rpc.Serve(l, v, f.Ledger.MostMembers), nil
}

// lead proposes the file's budgets while this voter leads, until the part ends or the voter has failed.
func (p *Part) lead(v *quorum.Voter) error {
	tick := time.NewTicker(p.o.File.Terms.Lease / 4)
	defer tick.Stop()
	told, began := "", time.Duration(0)
	for {
		select {
		case <-p.stop:
			return nil
		case <-v.Failed():
			return v.Why()
		case <-tick.C:
		}
		if v.Leader() != p.o.Name {
			began = 0
			continue
		}
		if began == 0 { // a majority is of this ledger, so none is of the one before
			began = Clock()
		}
		p.mu.Lock()
		set := ledger.Set{Version: p.file.BudgetVersion, Budgets: p.file.Budgets}
		p.mu.Unlock()
		var have ledger.Overview
		v.Look(func(s *ledger.State) { have = s.Overview() })
		// What the ledger before this one granted may be in use: by members' leases, and after these by floors
		// and jobs, for as long as their files say.
		if f := p.o.File; have.Version == 0 && f.Ledger.Generation > 1 {
			if left := f.Terms.Past() - (Clock() - began); left > 0 {
				if told != "waits" {
					told = "waits"
					p.o.Log.Info("a later generation: nothing is granted before the one before has surely ended", "for", left.Round(time.Millisecond))
				}
				continue
			}
		}
		if set.Version <= have.Version {
			if set.Version == have.Version && !same(set.Budgets, have.Budgets) && told != "differs" {
				told = "differs"
				p.o.Log.Warn("the file's budgets differ from those in force under the same version", "version", set.Version)
			}
			continue
		}
		switch _, err := v.Apply(ledger.Command{Fleet: p.o.File.Ledger.Fleet, Set: &set}); {
		case err == nil:
			told = ""
			p.o.Log.Info("budgets in force", "version", set.Version)
		case !errors.Is(err, quorum.ErrNotLeader) && !errors.Is(err, quorum.ErrUnsure) && told != err.Error():
			told = err.Error()
			p.o.Log.Error("budgets not taken up", "version", set.Version, "in force", have.Version, "err", err)
		}
	}
}

// same tells whether a file's budgets, in the order of their names, are those in force.
func same(file []ledger.Budget, have []ledger.BudgetOverview) bool {
	if len(file) != len(have) {
		return false
	}
	for i := range file {
		if !reflect.DeepEqual(file[i], have[i].Budget) {
			return false
		}
	}
	return true
}

// Close leaves the fleet; the voter ends last, since the leave may be written by it.
func (p *Part) Close() error {
	err := p.member.Close()
	close(p.stop)
	p.ended.Wait()
	return err
}
