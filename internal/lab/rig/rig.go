// Package rig starts many processes of the program on loopback, with stand-in nodes, discovery and
// clients, puts faults between them, and writes one history that checkers read. Verdicts rest on facts of
// the history alone, never on how fast the machine was.
//
// Every process talks to every voter through links of its own, two for each, so that each pair and each
// direction can fail alone: its settings name the links' addresses.
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

// Options are a rig's.
type Options struct {
	Dir     string
	Program []string // the command that serves, before its flags
	Env     []string // added to each process's environment

	Voters  int
	Members int // dispatchers, the voters among them
	Room    int // most members, live and lapsed together
	Nodes   int

	Lease  time.Duration
	Whole  float64 // of the one tenant's budget, jobs a second
	Burst  float64
	Floor  float64       // of each dispatcher
	Work   time.Duration // how long a node takes for a job
	Silent bool          // the processes' logs are not kept
	Off    bool          // the processes are told of no fleet

	Repeats *RepeatLimit // the budget of repeats, nil for none

	Connections int           // the budget of connections at each node, 0 for none
	Accept      time.Duration // how long a node takes to accept a job
}

// Rig is a fleet of processes with all that is around them.
type Rig struct {
	o          Options
	History    *History
	disp       []*Process
	nodes      []*http.Server
	stop       context.CancelFunc
	ctx        context.Context
	work       sync.WaitGroup
	ledgers    []string // of the voters, without a link between
	generation int

	failing atomic.Bool
	ended   atomic.Int64 // jobs, at all nodes
}

// Fail has every other job fail at its node, after it ran there, until it is taken back.
func (r *Rig) Fail(on bool) {
	r.History.add(Event{What: "jobs fail", Note: fmt.Sprint(on)})
	r.failing.Store(on)
}

// Deadline is the class's, and so the fleet's linger.
const Deadline = 2 * time.Second

// New lays out the fleet: addresses, links, files, nodes and discovery. No process runs yet.
func New(o Options) (*Rig, error) {
	r := &Rig{o: o, History: newHistory(), generation: 1}
	r.ctx, r.stop = context.WithCancel(context.Background())
	ports, err := freePorts(2*o.Members + 2*o.Voters)
	if err != nil {
		return nil, err
	}
	take := func() (addr string) { addr, ports = ports[0], ports[1:]; return addr }
	for i := range o.Members {
		p := &Process{rig: r, Name: fmt.Sprint("d", i), Listen: take(), Ops: take(), votes: i < o.Voters, Links: map[string]Pair{}, runs: map[*exec.Cmd]bool{}}
		if p.votes {
			p.raft, p.book = take(), take()
			r.ledgers = append(r.ledgers, p.book)
		}
		p.dir = filepath.Join(o.Dir, p.Name)
		p.config, p.fleet = filepath.Join(p.dir, "config.json"), filepath.Join(p.dir, "fleet.toml")
		r.disp = append(r.disp, p)
	}
	for i, p := range r.disp {
		if err := os.MkdirAll(filepath.Join(p.dir, "tmp"), 0o700); err != nil {
			return nil, err
		}
		table, err := r.around(p)
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf(configText, p.Name, p.Listen, p.Ops, table, i+1, o.Whole, o.Members, i, r.idle().Seconds())
		if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
			return nil, err
		}
		for _, v := range r.disp[:o.Voters] {
			if v == p {
				continue
			}
			raft, err := NewLink(v.raft)
			if err != nil {
				return nil, err
			}
			book, err := NewLink(v.book)
			if err != nil {
				return nil, err
			}
			p.Links[v.Name] = Pair{raft, book}
		}
		if err := p.Settings(1, o.Whole, true); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// idle is how long nodes keep an idle connection: within the fleet's linger where connections have a budget.
func (r *Rig) idle() time.Duration {
	if r.o.Connections > 0 {
		return Deadline
	}
	return 15 * time.Second
}

// Generation is the ledger's that files written from now on name.
func (r *Rig) Generation(n int) { r.generation = n }

// Processes are the fleet's dispatchers, the voters first.
func (r *Rig) Processes() []*Process { return r.disp }

// Look asks a voter directly what it holds, and writes down what is granted.
func (r *Rig) Look(ctx context.Context, voter int) (ledger.Overview, error) {
	c, err := rpc.Dial(r.ledgers[voter], time.Second)
	if err != nil {
		return ledger.Overview{}, err
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	o, err := c.Overview(ctx)
	if err == nil {
		for _, b := range o.Budgets {
			r.History.add(Event{What: "granted", Who: r.disp[voter].Name, Amount: b.Granted, Whole: b.Total})
		}
	}
	return o, err
}

// Until looks at the voters until one that leads meets what is asked.
func (r *Rig) Until(ctx context.Context, met func(ledger.Overview) bool) (ledger.Overview, error) {
	var last ledger.Overview
	err := poll(ctx, func() error {
		for i := range r.ledgers {
			if o, err := r.Look(ctx, i); err == nil && o.Leader == r.disp[i].Name {
				if last = o; met(o) {
					return nil
				}
			}
		}
		return fmt.Errorf("rig: not met; last seen %+v", last)
	})
	return last, err
}

// Reached waits until so many requests have reached nodes.
func (r *Rig) Reached(ctx context.Context, n int) error {
	return poll(ctx, func() error {
		if got, _ := Over(r.History.Events(), Limit{From: 1 << 62}); got < n {
			return fmt.Errorf("rig: %d requests have reached nodes, %d wanted", got, n)
		}
		return nil
	})
}

// Close ends every process and all around them.
func (r *Rig) Close() {
	for _, p := range r.disp {
		p.mu.Lock()
		for cmd := range p.runs {
			_ = cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	r.stop()
	for _, s := range r.nodes {
		_ = s.Close()
	}
	for _, p := range r.disp {
		for _, k := range p.Links {
			k.Raft.Close()
			k.Ledger.Close()
		}
	}
	r.work.Wait()
}

// Logs are the last lines of every process's log, for one who looks for a cause.
func (r *Rig) Logs(most int) string {
	var b strings.Builder
	for _, p := range r.disp {
		data, err := os.ReadFile(filepath.Join(p.dir, "log"))
		if err != nil {
			continue
		}
		lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
		fmt.Fprintf(&b, "%s:\n%s\n", p.Name, bytes.Join(lines[max(0, len(lines)-most):], []byte("\n")))
	}
	return b.String()
}

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
