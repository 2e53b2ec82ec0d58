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

// Process is one dispatcher of the rig: its name, addresses and files, and its running program, if any.
type Process struct {
	rig                  *Rig
	Name                 string
	Listen, Ops          string
	dir                  string
	configFile           string
	fleetFile            string
	isVoter              bool
	raftAddr, ledgerAddr string                // listen addresses of a voter
	Links                map[string]VoterLinks // by the name of the voter

	mu  sync.Mutex
	cmd *exec.Cmd // the program started last; nil before the first start and after Signal has ended it
	// exited is closed when cmd has exited.
	exited  chan struct{}
	running map[*exec.Cmd]bool // all running programs: two after StartSecond
}

// VoterLinks are the links from one process to one voter.
type VoterLinks struct{ Raft, Ledger *Link }

const configText = `{"name":%q,"listen":%q,"ops":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":192,"sockets":1024},
"settings":{"classes":[{"name":"job","repeat":"retryable","target_s":1,"deadline_s":2,"value":1}],
"accounts":[{"name":"t","quota_rps":%g}],"zones":["z"],"zone":"z","kinds":["k"],"fleet_size":%d,"position":%d,"discovery":"ask","tick_s":0.005,
"limits":{"max_attempts":3,"cancel":true,"second_copies":true,"dial_timeout_s":0.5,"conn_idle_s":%g,"max_retry_after_s":1},
"rules":{"ask_within_s":10,"cold_from":1},"domain":{"tells_start":true}}}`

// WriteFleetFile rewrites the fleet file of the process, which reads it at its next start or SIGHUP.
func (p *Process) WriteFleetFile(version int, rate float64, bootstrap bool) error {
	opts, b := &p.rig.opts, &strings.Builder{}
	fmt.Fprintf(b, "fleet = \"rig\"\ngeneration = %d\nmembers = %d\nlease = %q\nlinger = %q\ndrift = 0.01\nversion = %d\n", p.rig.generation, opts.MaxMembers, opts.Lease, RequestDeadline, version)
	if p.isVoter {
		fmt.Fprintf(b, "[voter]\ndir = %q\nbegin = %v\npace = %q\n", p.dataDir(), bootstrap, max(200*time.Millisecond, opts.Lease/3))
	}
	for _, voter := range p.rig.processes[:opts.Voters] {
		raftAddr, ledgerAddr := voter.raftAddr, voter.ledgerAddr
		if links, ok := p.Links[voter.Name]; ok {
			raftAddr, ledgerAddr = links.Raft.Addr(), links.Ledger.Addr()
		}
		fmt.Fprintf(b, "[voters.%s]\nraft = %q\nledger = %q\n", voter.Name, raftAddr, ledgerAddr)
	}
	fmt.Fprintf(b, "[budget.jobs]\ntenant = \"t\"\nwhole = %g\nburst = %g\n", rate, opts.Burst)
	if opts.Floor > 0 {
		for _, member := range p.rig.processes {
			fmt.Fprintf(b, "[budget.jobs.part.%s]\nfloor = %g\n", member.Name, opts.Floor)
		}
	}
	if repeats := opts.RepeatBudget; repeats != nil {
		fmt.Fprintf(b, "[budget.repeats]\ncounts = \"repeats\"\nwhole = %g\nburst = %g\nshare = %g\nsaved = %g\n", repeats.Rate, repeats.Burst, repeats.Share, repeats.MaxSaved)
	}
	if opts.ConnectionBudget > 0 {
		fmt.Fprintf(b, "[budget.sockets]\ncounts = \"connections\"\nwhole = %d\n", opts.ConnectionBudget)
		for _, member := range p.rig.processes[:min(int(opts.Floor), 1)*len(p.rig.processes)] {
			fmt.Fprintf(b, "[budget.sockets.part.%s]\nfloor = 1\n", member.Name)
		}
	}
	return os.WriteFile(p.fleetFile, []byte(b.String()), 0o600)
}

// Start starts the program, which must not be running.
func (p *Process) Start() error { return p.start(p.Ops) }

func (p *Process) start(ops string) error {
	cmd, err := p.startCommand(ops)
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.Ops = cmd, exited, ops
	p.running[cmd] = true
	p.mu.Unlock()
	p.rig.History.add(Event{Kind: "start", Name: p.Name})
	p.rig.background.Go(func() {
		err := cmd.Wait()
		p.mu.Lock()
		delete(p.running, cmd)
		p.mu.Unlock()
		p.rig.History.add(Event{Kind: "exit", Name: p.Name, Note: fmt.Sprint(err)})
		close(exited)
	})
	return nil
}

// Command returns a command that runs the program with the given arguments, the settings of the process and its fleet
// file.
func (p *Process) Command(args ...string) *exec.Cmd {
	opts := &p.rig.opts
	if !opts.NoFleet {
		args = append(args, "--fleet", p.fleetFile)
	}
	cmd := exec.Command(opts.Program[0], args...) // #nosec: the rig's own program
	cmd.Env = append(os.Environ(), opts.Env...)
	cmd.Env = append(cmd.Env, "LB_CONFIG="+p.configFile, "TMPDIR="+filepath.Join(p.dir, "tmp"))
	return cmd
}

func (p *Process) startCommand(ops string) (*exec.Cmd, error) {
	opts := &p.rig.opts
	cmd := p.Command(slices.Clone(opts.Program[1:])...)
	cmd.Env = append(cmd.Env, "LB_OPS="+ops)
	if !opts.DiscardLogs {
		log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer func() { _ = log.Close() }()
		cmd.Stderr = log
	}
	return cmd, cmd.Start()
}

// Cmd returns the running program, or nil if there is none.
func (p *Process) Cmd() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

// Signal sends a signal to the running program. After SIGKILL and SIGTERM it waits for the program to exit.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return errors.New("rig: process is not running")
	}
	p.rig.History.add(Event{Kind: s.String(), Name: p.Name})
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

// Upgrade starts a second program with the same name and files, waits until it accepts clients, and ends the first.
func (p *Process) Upgrade(ctx context.Context) error {
	stopFirst, err := p.StartSecond(ctx)
	if err != nil {
		return err
	}
	return stopFirst()
}

// StartSecond starts a second program with the same name and files and waits until it accepts clients. Both run until
// stopFirst is called, which ends the first and waits for its exit.
func (p *Process) StartSecond(ctx context.Context) (stopFirst func() error, err error) {
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	first, firstExited := p.cmd, p.exited
	p.mu.Unlock()
	if first == nil {
		return nil, errors.New("rig: process is not running")
	}
	p.rig.History.add(Event{Kind: "started twice", Name: p.Name})
	if err := p.start(addrs[0]); err != nil {
		return nil, err
	}
	stopFirst = func() error {
		p.rig.History.add(Event{Kind: "the first of two ends", Name: p.Name})
		if err := first.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-firstExited
		return nil
	}
	return stopFirst, p.WaitReady(ctx)
}

// WaitReady waits until the process accepts clients.
func (p *Process) WaitReady(ctx context.Context) error {
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

// ImpairLinks sets the impairments of the links from the process to every voter. The links of other processes to the
// same voters do not change; ImpairVoter changes all links of one voter.
func (p *Process) ImpairLinks(toVoter, fromVoter Impairment) {
	p.rig.History.add(Event{Kind: "links", Name: p.Name, Note: fmt.Sprintf("forth %+v, back %+v", toVoter, fromVoter)})
	for _, links := range p.Links {
		links.Raft.Impair(toVoter, fromVoter)
		links.Ledger.Impair(toVoter, fromVoter)
	}
}

// ImpairVoter sets the impairments of all links to and from a voter.
func (p *Process) ImpairVoter(in, out Impairment) {
	p.ImpairLinks(out, in)
	for _, other := range p.rig.processes {
		if links, ok := other.Links[p.Name]; ok {
			links.Raft.Impair(in, out)
			links.Ledger.Impair(in, out)
		}
	}
}
