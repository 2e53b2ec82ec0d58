// Package rig runs a fleet of processes of the program on loopback, with simulated nodes, discovery and clients, injects
// faults between them, and records one history that checkers read. The checks rest on the history alone and do not
// depend on the speed of the machine.
//
// Every process reaches every voter through two links of its own, whose addresses are in its fleet file, so that each
// pair of processes and each direction can fail independently.
package rig

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/rpc"
)

// Options configure a rig.
type Options struct {
	Dir     string   // for the files of the processes
	Program []string // the serve command, without its flags
	Env     []string // added to the environment of each process

	Voters     int
	Members    int // dispatchers, including the voters
	MaxMembers int // upper limit for the number of members, live and lapsed ones together
	Nodes      int

	Lease       time.Duration
	BudgetRate  float64 // of the only tenant's budget, in jobs per second
	Burst       float64
	Floor       float64       // of the share of each dispatcher
	JobDuration time.Duration // how long a node works on a job
	DiscardLogs bool          // do not keep the logs of the processes
	NoFleet     bool          // run the processes without a fleet file

	RepeatBudget *RepeatLimit // the repeat budget; nil for none

	ConnectionBudget int           // the connection budget of each node; 0 for none
	AcceptDelay      time.Duration // how long a node waits before it accepts a job
}

// Rig is a fleet of processes with the nodes, discovery and links around it.
type Rig struct {
	opts        Options
	History     *History
	processes   []*Process
	servers     []*http.Server // of the nodes and discovery
	cancel      context.CancelFunc
	ctx         context.Context
	background  sync.WaitGroup
	ledgerAddrs []string // of the voters themselves, not of links
	generation  int

	jobsFailing atomic.Bool
	jobsEnded   atomic.Int64 // at all nodes
}

// SetJobsFailing sets whether every second job fails at its node after it has run.
func (r *Rig) SetJobsFailing(on bool) {
	r.History.add(Event{Kind: "jobs fail", Note: fmt.Sprint(on)})
	r.jobsFailing.Store(on)
}

// RequestDeadline is the deadline of the only class, and also the linger time of the fleet.
const RequestDeadline = 2 * time.Second

// New creates the fleet with its links and files and starts the nodes and discovery. It starts no process.
func New(opts Options) (*Rig, error) {
	r := &Rig{opts: opts, History: newHistory(), generation: 1}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	addrs, err := freeAddrs(2*opts.Members + 2*opts.Voters)
	if err != nil {
		return nil, err
	}
	nextAddr := func() (addr string) { addr, addrs = addrs[0], addrs[1:]; return addr }
	for i := range opts.Members {
		p := &Process{rig: r, Name: fmt.Sprint("d", i), Listen: nextAddr(), Ops: nextAddr(), isVoter: i < opts.Voters, Links: map[string]VoterLinks{}, running: map[*exec.Cmd]bool{}}
		if p.isVoter {
			p.raftAddr, p.ledgerAddr = nextAddr(), nextAddr()
			r.ledgerAddrs = append(r.ledgerAddrs, p.ledgerAddr)
		}
		p.dir = filepath.Join(opts.Dir, p.Name)
		p.configFile, p.fleetFile = filepath.Join(p.dir, "config.json"), filepath.Join(p.dir, "fleet.toml")
		r.processes = append(r.processes, p)
	}
	for i, p := range r.processes {
		if err := os.MkdirAll(filepath.Join(p.dir, "tmp"), 0o700); err != nil {
			return nil, err
		}
		discoveryAddr, err := r.startEnvironment(p)
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf(configText, p.Name, p.Listen, p.Ops, discoveryAddr, i+1, opts.BudgetRate, opts.Members, i, r.idleTimeout().Seconds())
		if err := os.WriteFile(p.configFile, []byte(text), 0o600); err != nil {
			return nil, err
		}
		for _, voter := range r.processes[:opts.Voters] {
			if voter == p {
				continue
			}
			raftLink, err := NewLink(voter.raftAddr)
			if err != nil {
				return nil, err
			}
			ledgerLink, err := NewLink(voter.ledgerAddr)
			if err != nil {
				return nil, err
			}
			p.Links[voter.Name] = VoterLinks{raftLink, ledgerLink}
		}
		if err := p.WriteFleetFile(1, opts.BudgetRate, true); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// idleTimeout returns how long nodes keep an idle connection open. With a connection budget it must not exceed the
// linger time of the fleet.
func (r *Rig) idleTimeout() time.Duration {
	if r.opts.ConnectionBudget > 0 {
		return RequestDeadline
	}
	return 15 * time.Second
}

// SetGeneration sets the ledger generation for fleet files that are written from now on.
func (r *Rig) SetGeneration(generation int) { r.generation = generation }

// Processes returns the dispatchers of the fleet, voters first.
func (r *Rig) Processes() []*Process { return r.processes }

// ReadOverview reads the ledger overview of a voter, bypassing the links, and records the granted amounts.
func (r *Rig) ReadOverview(ctx context.Context, voter int) (ledger.Overview, error) {
	client, err := rpc.Dial(r.ledgerAddrs[voter], time.Second)
	if err != nil {
		return ledger.Overview{}, err
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	overview, err := client.Overview(ctx)
	if err == nil {
		for _, b := range overview.Budgets {
			r.History.add(Event{Kind: "granted", Name: r.processes[voter].Name, Amount: b.Granted, Total: b.Total})
		}
	}
	return overview, err
}

// WaitOverview polls the voters until the overview of the leader meets the condition.
func (r *Rig) WaitOverview(ctx context.Context, condition func(ledger.Overview) bool) (ledger.Overview, error) {
	var last ledger.Overview
	err := poll(ctx, func() error {
		for i := range r.ledgerAddrs {
			if overview, err := r.ReadOverview(ctx, i); err == nil && overview.Leader == r.processes[i].Name {
				if last = overview; condition(overview) {
					return nil
				}
			}
		}
		return fmt.Errorf("rig: condition not met; last ledger overview of the leader: %+v", last)
	})
	return last, err
}

// WaitArrivals waits until the given number of requests have reached nodes.
func (r *Rig) WaitArrivals(ctx context.Context, count int) error {
	return poll(ctx, func() error {
		if arrived, _ := CheckRate(r.History.Events(), RateLimit{Since: 1 << 62}); arrived < count {
			return fmt.Errorf("rig: %d requests have reached nodes, %d wanted", arrived, count)
		}
		return nil
	})
}

// Close kills the processes and closes the nodes, discovery and links.
func (r *Rig) Close() {
	for _, p := range r.processes {
		p.mu.Lock()
		for cmd := range p.running {
			_ = cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	r.cancel()
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, p := range r.processes {
		for _, links := range p.Links {
			links.Raft.Close()
			links.Ledger.Close()
		}
	}
	r.background.Wait()
}

// TailLogs returns the last lines of the log of each process.
func (r *Rig) TailLogs(maxLines int) string {
	var b strings.Builder
	for _, p := range r.processes {
		data, err := os.ReadFile(filepath.Join(p.dir, "log"))
		if err != nil {
			continue
		}
		lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
		fmt.Fprintf(&b, "%s:\n%s\n", p.Name, bytes.Join(lines[max(0, len(lines)-maxLines):], []byte("\n")))
	}
	return b.String()
}

// poll calls f every 20 ms until it succeeds or ctx ends, and then returns the last error of f.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(20 * time.Millisecond):
		}
	}
}
