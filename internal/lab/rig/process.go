package rig

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one dispatcher's place in the rig: a name, addresses and files, with or without a program
// that runs.
type Process struct {
	rig         *Rig
	Name        string
	Listen, Ops string
	dir         string
	config      string
	fleet       string
	votes       bool
	raft, book  string // where a voter listens
	Links       map[string]Pair

	mu  sync.Mutex
	cmd *exec.Cmd // the newest, nil where it was ended
	// exited is closed when the running program's end has been seen.
	exited chan struct{}
	runs   map[*exec.Cmd]bool // all that run: two where it was started twice
}

// Pair are the links from one process to one voter.
type Pair struct{ Raft, Ledger *Link }

const configText = `{"name":%q,"listen":%q,"ops":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":192,"sockets":1024},
"settings":{"classes":[{"name":"job","repeat":"retryable","target_s":1,"deadline_s":2,"value":1}],
"accounts":[{"name":"t","quota_rps":%g}],"zones":["z"],"zone":"z","kinds":["k"],"fleet_size":%d,"position":%d,"discovery":"ask","tick_s":0.005,
"limits":{"max_attempts":3,"cancel":true,"second_copies":true,"dial_timeout_s":0.5,"conn_idle_s":%g,"max_retry_after_s":1},
"rules":{"ask_within_s":10,"cold_from":1},"domain":{"tells_start":true}}}`

// Settings writes a process's fleet file anew, for its next start or SIGHUP.
func (p *Process) Settings(version int, whole float64, begin bool) error {
	o, b := &p.rig.o, &strings.Builder{}
	fmt.Fprintf(b, "fleet = \"rig\"\ngeneration = %d\nmembers = %d\nlease = %q\nlinger = %q\ndrift = 0.01\nversion = %d\n", p.rig.generation, o.Room, o.Lease, Deadline, version)
	if p.votes {
		fmt.Fprintf(b, "[voter]\ndir = %q\nbegin = %v\npace = %q\n", p.folder(), begin, max(200*time.Millisecond, o.Lease/3))
	}
	for _, v := range p.rig.disp[:o.Voters] {
		raft, book := v.raft, v.book
		if k, ok := p.Links[v.Name]; ok {
			raft, book = k.Raft.Addr(), k.Ledger.Addr()
		}
		fmt.Fprintf(b, "[voters.%s]\nraft = %q\nledger = %q\n", v.Name, raft, book)
	}
	fmt.Fprintf(b, "[budget.jobs]\ntenant = \"t\"\nwhole = %g\nburst = %g\n", whole, o.Burst)
	if o.Floor > 0 {
		for _, d := range p.rig.disp {
			fmt.Fprintf(b, "[budget.jobs.part.%s]\nfloor = %g\n", d.Name, o.Floor)
		}
	}
	if l := o.Repeats; l != nil {
		fmt.Fprintf(b, "[budget.repeats]\ncounts = \"repeats\"\nwhole = %g\nburst = %g\nshare = %g\nsaved = %g\n", l.Rate, l.Burst, l.Share, l.Saved)
	}
	if o.Connections > 0 {
		fmt.Fprintf(b, "[budget.sockets]\ncounts = \"connections\"\nwhole = %d\n", o.Connections)
		for _, d := range p.rig.disp[:min(int(o.Floor), 1)*len(p.rig.disp)] {
			fmt.Fprintf(b, "[budget.sockets.part.%s]\nfloor = 1\n", d.Name)
		}
	}
	return os.WriteFile(p.fleet, []byte(b.String()), 0o600)
}

// Start starts the program, which must not run yet.
func (p *Process) Start() error { return p.start(p.Ops) }

func (p *Process) start(ops string) error {
	cmd, err := p.launch(ops)
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.Ops = cmd, exited, ops
	p.runs[cmd] = true
	p.mu.Unlock()
	p.rig.History.add(Event{What: "start", Who: p.Name})
	p.rig.work.Go(func() {
		err := cmd.Wait()
		p.mu.Lock()
		delete(p.runs, cmd)
		p.mu.Unlock()
		p.rig.History.add(Event{What: "exit", Who: p.Name, Note: fmt.Sprint(err)})
		close(exited)
	})
	return nil
}

// Command is the program with other words, the process's settings and its fleet's file.
func (p *Process) Command(args ...string) *exec.Cmd {
	o := &p.rig.o
	if !o.Off {
		args = append(args, "--fleet", p.fleet)
	}
	cmd := exec.Command(o.Program[0], args...) // #nosec: the rig's own program
	cmd.Env = append(os.Environ(), o.Env...)
	cmd.Env = append(cmd.Env, "LB_CONFIG="+p.config, "TMPDIR="+filepath.Join(p.dir, "tmp"))
	return cmd
}

func (p *Process) launch(ops string) (*exec.Cmd, error) {
	o := &p.rig.o
	cmd := p.Command(slices.Clone(o.Program[1:])...)
	cmd.Env = append(cmd.Env, "LB_OPS="+ops)
	if !o.Silent {
		log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer func() { _ = log.Close() }()
		cmd.Stderr = log
	}
	return cmd, cmd.Start()
}

// Running is the running program, nil where there is none.
func (p *Process) Running() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

// Signal sends a signal to the running program: SIGKILL, SIGTERM, SIGSTOP, SIGCONT, SIGHUP. For SIGKILL
// and SIGTERM it waits for the end.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return errors.New("rig: not running")
	}
	p.rig.History.add(Event{What: s.String(), Who: p.Name})
	if err := cmd.Process.Signal(s); err != nil {
		return err
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		<-exited
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
	}
	return nil
}

// Upgrade starts a second process of the same name and files, waits until it takes clients, and tells the
// first to end.
func (p *Process) Upgrade(ctx context.Context) error {
	end, err := p.Twice(ctx)
	if err != nil {
		return err
	}
	return end()
}

// Twice starts a second process of the same name and files, and waits until it takes clients: both run
// until end is called, which tells the first to end and waits for it.
func (p *Process) Twice(ctx context.Context) (end func() error, err error) {
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	old, ended := p.cmd, p.exited
	p.mu.Unlock()
	if old == nil {
		return nil, errors.New("rig: not running")
	}
	p.rig.History.add(Event{What: "started twice", Who: p.Name})
	if err := p.start(ports[0]); err != nil {
		return nil, err
	}
	end = func() error {
		p.rig.History.add(Event{What: "the first of two ends", Who: p.Name})
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-ended
		return nil
	}
	return end, p.Ready(ctx)
}

// Ready waits until the process takes clients.
func (p *Process) Ready(ctx context.Context) error {
	return poll(ctx, func() error {
		resp, err := http.Get("http://" + p.Ops + "/_ready")
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.New(resp.Status)
		}
		return nil
	})
}

// Cut sets the ways between a process and every voter; both are the process's links, so that another
// process's view of the same voter is untouched. A voter is cut off with CutVoter.
func (p *Process) Cut(forth, back Way) {
	p.rig.History.add(Event{What: "links", Who: p.Name, Note: fmt.Sprintf("forth %+v, back %+v", forth, back)})
	for _, k := range p.Links {
		k.Raft.Set(forth, back)
		k.Ledger.Set(forth, back)
	}
}

// Isolate sets the ways between a voter and everybody: what it sends and what is sent to it.
func (p *Process) Isolate(in, out Way) {
	p.Cut(out, in)
	for _, d := range p.rig.disp {
		if k, ok := d.Links[p.Name]; ok {
			k.Raft.Set(in, out)
			k.Ledger.Set(in, out)
		}
	}
}
