// Package daemon puts a dispatcher together from its configuration and runs it until it is
// told to end.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/hook"
	"tinroute.example/tinroute/internal/link"
	"tinroute.example/tinroute/internal/platform"
	"tinroute.example/tinroute/internal/telemetry"
)

const (
	// Some descriptors are kept for discovery, the listeners, standard streams and
	// connections that are being closed.
	reserve     = 48
	mostSockets = 1024
	// terminalShare of the others is for terminals and call-backs, the rest for regions.
	terminalShare = 0.6
	// memoryShare of the limit is where the collector begins to work hard.
	memoryShare = 0.75
	// The platform kills a process that it has told to end no earlier than the longest
	// deadline, taken as longestWait where it is longer, plus killPast after that, and it does
	// not ask for what came after killPast and is unanswered then. Answers are out beforeKill
	// ahead of it, and clients are sent away early enough for what they ask last to be served.
	longestWait = 3 * time.Second
	killPast    = 700 * time.Millisecond
	beforeKill  = 200 * time.Millisecond
	lastAsked   = 700 * time.Millisecond
	// lastWords is how long cancels of losers may take to leave at the end.
	lastWords = 50 * time.Millisecond
)

// Daemon is a dispatcher that has not been started.
type Daemon struct {
	Config  *config.Config
	Gearman *config.Gearman // nil where the second front is off
	Log     *slog.Logger
	Hangup  <-chan os.Signal                                                  // each asks for a reload; none where nil
	Reread  func() (*config.Config, *config.Gearman, error)                   // reads the files again, for a reload
	Getenv  func(string) string                                               // for the OTEL_ variables; none where nil
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error) // a net.Dialer's where nil
	Listen  func(network, addr string) (net.Listener, error)                  // net.Listen where nil
}

// front is one protocol's side, with a core of its own for its own fleet.
type front interface {
	Serve(net.Listener) error
	Drain(context.Context, link.Grace)
}

// Run serves until the context ends, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	if d.Dial == nil {
		d.Dial = new(net.Dialer).DialContext
	}
	if d.Listen == nil {
		d.Listen = net.Listen
	}
	runtime.GOMAXPROCS(max(1, int(d.Config.Limits.Cores)))
	debug.SetMemoryLimit(int64(memoryShare * float64(d.Config.Limits.MemoryMB<<20)))
	sockets := min(d.Config.Limits.Sockets, mostSockets) - reserve
	if d.Gearman != nil {
		sockets /= 2
	}
	terminals := int(terminalShare * float64(sockets))

	// The parts outlive ctx: they are needed until the last answer.
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2)
	var fronts []front
	open := func(addr string, f front) error {
		l, err := d.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		context.AfterFunc(inner, func() { _ = l.Close() })
		fronts = append(fronts, f)
		go func() {
			if err := f.Serve(l); err != nil {
				failed <- err
			}
		}()
		return nil
	}

	if d.Getenv == nil {
		d.Getenv = func(string) string { return "" }
	}
	spans, err := telemetry.New(inner, d.Getenv, d.Config.Name, d.Log)
	if err != nil {
		return err
	}
	if spans != nil {
		defer func() {
			if err := spans.Close(); err != nil {
				d.Log.Warn("telemetry", "err", err)
			}
		}()
	}
	core, err := d.core(inner, "http", d.Config.Hooks, spans, d.Log)
	if err != nil {
		return err
	}
	regions := platform.NewRegions(core, d.Log, d.Dial, sockets-terminals)
	table, err := d.start(inner, core, regions, d.Config.Discovery, d.Config.Known)
	if err != nil {
		return err
	}
	if err := open(d.Config.Listen, platform.NewServer(core, regions, d.Log, d.Config.Names, terminals)); err != nil {
		return err
	}
	d.Log.Info("serving", "name", d.Config.Name, "listen", d.Config.Listen, "discovery", d.Config.Discovery,
		"terminals", terminals, "connections", sockets-terminals)

	var second *platform.Table
	if d.Gearman != nil {
		log := d.Log.With("front", "gearman")
		core, err := d.core(inner, "gearman", d.Gearman.Hooks, spans, log)
		if err != nil {
			return err
		}
		if second, err = d.start(inner, core, gearman.NewRegions(core, log, d.Dial, sockets-terminals), d.Gearman.Discovery, nil); err != nil {
			return err
		}
		if err := open(d.Gearman.Listen, gearman.NewServer(core, log, d.Gearman, d.Config.Name, terminals)); err != nil {
			return err
		}
		log.Info("serving", "name", d.Config.Name, "listen", d.Gearman.Listen, "discovery", d.Gearman.Discovery,
			"terminals", terminals, "connections", sockets-terminals)
	}

	go d.reload(inner, table, second)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	within := d.untilKilled() - beforeKill
	var drained sync.WaitGroup
	for _, f := range fronts {
		drained.Go(func() {
			f.Drain(inner, link.Grace{Free: killPast - beforeKill, Stay: within - lastAsked, Within: within})
		})
	}
	drained.Wait()
	time.Sleep(lastWords)
	return nil
}

// untilKilled is how long the process has at least from the word to end.
func (d *Daemon) untilKilled() time.Duration {
	deadline := time.Duration(0)
	for _, c := range d.Config.Settings.Classes {
		deadline = max(deadline, c.Deadline)
	}
	return min(deadline, longestWait) + killPast
}

// core makes a front's core, with the scripts and the telemetry that watch it.
func (d *Daemon) core(ctx context.Context, front string, files []string, spans *telemetry.Telemetry,
	log *slog.Logger) (*dispatch.Core, error) {
	o := dispatch.Options{Settings: *d.Config.Settings, Log: log}
	hooks, err := hook.Load(files, d.Config.Settings, d.Config.Names, log)
	if err != nil {
		return nil, err
	}
	if hooks != nil {
		go hooks.Run(ctx)
		o.Hook, o.Observers = hooks, append(o.Observers, hooks)
	}
	if spans != nil {
		observer, err := spans.Observe(front, d.Config.Settings)
		if err != nil {
			return nil, err
		}
		o.Observers = append(o.Observers, observer)
	}
	return dispatch.New(o)
}

// start brings a core and its drivers to life, beginning with the service table as known.
func (d *Daemon) start(ctx context.Context, core *dispatch.Core, regions interface {
	dispatch.Regions
	Run(context.Context)
}, discovery string, known []byte) (*platform.Table, error) {
	table := platform.NewTable(core, d.Log, d.Config.Names, d.Dial, discovery)
	core.Connect(regions, table)
	go core.Run(ctx)
	go regions.Run(ctx)
	if err := table.Start(known); err != nil {
		return nil, err
	}
	go table.Run(ctx)
	return table, nil
}

// reload reads the files again whenever it is told to, until the last answer: also while
// the daemon drains, since what it has taken may need a region that only the new discovery
// knows. It takes up where discovery is; all else holds until a restart. A file that is
// faulty changes nothing.
func (d *Daemon) reload(ctx context.Context, table, second *platform.Table) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Hangup:
		}
		c, g, err := d.Reread()
		if err != nil {
			d.Log.Error("not reloaded", "err", err)
			continue
		}
		d.Log.Info("reloaded", "discovery", c.Discovery)
		table.Move(c.Discovery)
		if second != nil && g != nil {
			second.Move(g.Discovery)
		}
	}
}
