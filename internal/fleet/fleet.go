// Package fleet runs one dispatcher's node of a fleet: the member, whose shares package balance uses for
// admission, and the voter if this process is one. It is not used if no fleet file is configured.
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

// voterRetryDelay is the wait between attempts to start the voter: during an upgrade the old process holds
// the log and the addresses until it exits.
const voterRetryDelay = time.Second

// Options configure a node.
type Options struct {
	Config *config.Fleet
	Name   string
	Log    *slog.Logger
	Listen func(network, addr string) (net.Listener, error)
}

// Node is a dispatcher's running node of its fleet.
type Node struct {
	opts        Options
	member      *member.Member
	rateIndex   map[int]int  // by tenant, the index of its budget in the member's rate budgets
	countsWork  map[int]bool // by tenant, whether its budget counts seconds of work instead of jobs
	repeatIndex int          // the index of the repeat budget in the member's rate budgets, -1 for none
	stop        chan struct{}
	wg          sync.WaitGroup

	mu          sync.Mutex          // guards the fields below
	voter       *quorum.Voter       // nil while no voter is running
	config      *config.Fleet       // as last reloaded
	repeatRatio budget.RatioLimiter // repeats earned by first sends
}

// Start joins the fleet, and starts the voter if the configuration has one. It does not wait for the other
// processes.
func Start(opts Options) (*Node, error) {
	n := &Node{opts: opts, config: opts.Config, rateIndex: map[int]int{}, countsWork: map[int]bool{}, repeatIndex: -1, stop: make(chan struct{})}
	memberOpts := member.Options{Name: opts.Name, Fleet: opts.Config.Ledger.Fleet, Timing: opts.Config.Timing, Voters: map[string]string{}, Clock: Clock, Log: opts.Log}
	for name, v := range opts.Config.Voters {
		memberOpts.Voters[name] = v.LedgerAddr
	}
	for tenant, b := range opts.Config.Tenants {
		n.rateIndex[tenant], n.countsWork[tenant] = len(memberOpts.RateBudgets), b.CountsWork
		memberOpts.RateBudgets = append(memberOpts.RateBudgets, b.Budget)
	}
	if r := opts.Config.Repeats; r != nil {
		n.repeatIndex, n.repeatRatio = len(memberOpts.RateBudgets), budget.RatioLimiter{ShareMilli: r.ShareMilli, MaxSavedMilli: r.MaxSavedMilli}
		memberOpts.RateBudgets = append(memberOpts.RateBudgets, r.Budget)
	}
	memberOpts.ConnectionBudget = opts.Config.ConnectionBudget
	var err error
	if n.member, err = member.Start(memberOpts); err != nil {
		return nil, err
	}
	if opts.Config.VoterDir != "" {
		n.wg.Go(n.runVoter)
	}
	return n, nil
}

// ReloadBudgets replaces the budgets to propose by those of a reloaded fleet file. While this process is the
// leader, it proposes them under the version in the file. All other settings apply only after a restart.
func (n *Node) ReloadBudgets(cfg *config.Fleet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config = cfg
}

// Admit charges one job to the tenant's budget; work is its work in seconds. It implements balance.FleetBudget.
func (n *Node) Admit(tenant int, work float64) (budgeted, ok bool, wait time.Duration) {
	i, budgeted := n.rateIndex[tenant]
	if !budgeted {
		return false, true, 0
	}
	amount := int64(budget.Unit)
	if n.countsWork[tenant] {
		amount = max(1, int64(work*budget.Unit))
	}
	ok, wait, unavailable := n.member.Take(i, amount)
	if !ok && unavailable { // nothing can be admitted before the next grant
		wait = n.opts.Config.Timing.Lease
	}
	return true, ok, wait
}

// CountFirstSend counts the first send of a request. It implements balance.FleetBudget.
func (n *Node) CountFirstSend() {
	if n.repeatIndex >= 0 {
		n.mu.Lock()
		n.repeatRatio.Earn()
		n.mu.Unlock()
	}
}

// AllowRepeat reports whether one repeat or second copy may be sent. It uses the repeats earned by first sends
// here before the fleet's budget, which other dispatchers may need. It implements balance.FleetBudget.
func (n *Node) AllowRepeat() bool {
	if n.repeatIndex < 0 {
		return true
	}
	n.mu.Lock()
	ok := n.repeatRatio.Take()
	n.mu.Unlock()
	if !ok {
		ok, _, _ = n.member.Take(n.repeatIndex, budget.Unit)
	}
	return ok
}

// ConnLimit returns the limit on connections per worker, nil if there is no such budget.
func (n *Node) ConnLimit() link.ConnLimit {
	if n.opts.Config.ConnectionBudget == "" {
		return nil
	}
	return n.member
}

// runVoter runs the voter until the node is closed. It restarts a voter that has failed, unless the cause needs
// an operator.
func (n *Node) runVoter() {
	lastLogged := ""
	for {
		voter, server, err := n.startVoter()
		if err == nil {
			n.setVoter(voter)
			err = n.proposeBudgets(voter)
			n.setVoter(nil)
			server.Close()
			if err := voter.Close(); err != nil {
				n.opts.Log.Warn("closing the voter failed", "err", err)
			}
			if err == nil {
				return
			}
		}
		if err.Error() != lastLogged { // log repeated causes only once
			lastLogged = err.Error()
			n.opts.Log.Error("voter cannot run; retrying unless its directory is damaged or of another generation", "err", err)
		}
		if errors.Is(err, quorum.ErrCorrupt) || errors.Is(err, quorum.ErrWrongGeneration) { // needs an operator
			return
		}
		select {
		case <-n.stop:
			return
		case <-time.After(voterRetryDelay):
		}
	}
}

// setVoter sets the running voter, nil for none.
func (n *Node) setVoter(v *quorum.Voter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.voter = v
}

// startVoter starts the voter and the RPC server of its ledger.
func (n *Node) startVoter() (*quorum.Voter, *rpc.Server, error) {
	cfg, addrs := n.opts.Config, map[string]string{}
	for name, voter := range cfg.Voters {
		addrs[name] = voter.RaftAddr
	}
	listener, err := n.opts.Listen("tcp", cfg.Voters[n.opts.Name].LedgerAddr)
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	voter, err := quorum.Start(quorum.Options{Name: n.opts.Name, Voters: addrs, Dir: cfg.VoterDir, Bootstrap: cfg.Bootstrap, Settings: cfg.Ledger, Timing: cfg.Timing,
		HeartbeatInterval: cfg.HeartbeatInterval, Clock: Clock, Log: n.opts.Log})
	if err != nil {
		_ = listener.Close()
		return nil, nil, err
	}
	return voter, rpc.Serve(listener, voter, cfg.Ledger.MaxMembers), nil
}

// proposeBudgets proposes the file's budgets while this voter is the leader. It returns nil when the node is
// closed, or the cause when the voter has failed.
func (n *Node) proposeBudgets(voter *quorum.Voter) error {
	ticker := time.NewTicker(n.opts.Config.Timing.Lease / 4)
	defer ticker.Stop()
	lastLogged, leadingSince := "", time.Duration(0)
	for {
		select {
		case <-n.stop:
			return nil
		case <-voter.Failed():
			return voter.Err()
		case <-ticker.C:
		}
		if voter.Leader() != n.opts.Name {
			leadingSince = 0
			continue
		}
		if leadingSince == 0 { // a majority runs this ledger, so none runs the previous one
			leadingSince = Clock()
		}
		n.mu.Lock()
		proposed := ledger.SetBudgets{Version: n.config.BudgetVersion, Budgets: n.config.Budgets}
		n.mu.Unlock()
		var current ledger.Overview
		voter.View(func(s *ledger.State) { current = s.Overview() })
		// Grants of the previous generation may still be in use: under members' leases, and then as floors and
		// running jobs for the grace period.
		if cfg := n.opts.Config; current.Version == 0 && cfg.Ledger.Generation > 1 {
			if remaining := cfg.Timing.MaxGrantLifetime() - (Clock() - leadingSince); remaining > 0 {
				if lastLogged != "waits" {
					lastLogged = "waits"
					n.opts.Log.Info("new ledger generation: no budgets until all grants of the previous one have expired", "for", remaining.Round(time.Millisecond))
				}
				continue
			}
		}
		if proposed.Version <= current.Version {
			if proposed.Version == current.Version && !sameBudgets(proposed.Budgets, current.Budgets) && lastLogged != "differs" {
				lastLogged = "differs"
				n.opts.Log.Warn("fleet file's budgets differ from the current ones of the same version; keeping the current ones", "version", proposed.Version)
			}
			continue
		}
		switch _, err := voter.Apply(ledger.Command{Fleet: n.opts.Config.Ledger.Fleet, SetBudgets: &proposed}); {
		case err == nil:
			lastLogged = ""
			n.opts.Log.Info("budgets applied", "version", proposed.Version)
		case !errors.Is(err, quorum.ErrNotLeader) && !errors.Is(err, quorum.ErrOutcomeUnknown) && lastLogged != err.Error():
			lastLogged = err.Error()
			n.opts.Log.Error("fleet file's budgets not applied; retrying", "version", proposed.Version, "in force", current.Version, "err", err)
		}
	}
}

// sameBudgets reports whether the proposed budgets, sorted by name, equal the current ones.
func sameBudgets(proposed []ledger.Budget, current []ledger.BudgetOverview) bool {
	if len(proposed) != len(current) {
		return false
	}
	for i := range proposed {
		if !reflect.DeepEqual(proposed[i], current[i].Budget) {
			return false
		}
	}
	return true
}

// Close leaves the fleet and stops the voter. The voter is stopped last, because it may have to write the leave.
func (n *Node) Close() error {
	err := n.member.Close()
	close(n.stop)
	n.wg.Wait()
	return err
}
