// Package daemon assembles a dispatcher from its configuration and runs it until it is stopped.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet"
	"tinroute.example/tinroute/internal/hook"
	"tinroute.example/tinroute/internal/link"
	"tinroute.example/tinroute/internal/override"
	"tinroute.example/tinroute/internal/platform"
	"tinroute.example/tinroute/internal/telemetry"
)

const (
	// reservedSockets is the number of descriptors kept for discovery, the listeners, the standard
	// streams and connections that are being closed.
	reservedSockets = 48
	maxSockets      = 1024
	// clientSocketShare is the share of the other descriptors that is for clients and the workers'
	// callbacks; the rest is for connections to workers.
	clientSocketShare = 0.6
	// gcMemoryShare is the share of the memory limit from which the garbage collector runs more often.
	gcMemoryShare = 0.75
	// inputMemoryShare is the share of the memory limit for large messages that are incomplete.
	inputMemoryShare = 1.0 / 6
	// After asking a process to stop, the platform waits at least for the longest deadline (capped
	// at maxKillWait) plus killGrace before it kills the process. A request that arrives more than
	// killGrace after the order to stop may remain unanswered at the kill. All answers are sent
	// at least killMargin before the kill, and clients are disconnected lastRequestTime before
	// that, so that their last requests can still be served.
	maxKillWait     = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	killMargin      = 200 * time.Millisecond
	lastRequestTime = 700 * time.Millisecond
	// cancelFlushTime is the time allowed at the end for sending cancels of redundant attempts.
	cancelFlushTime = 50 * time.Millisecond
)

// Daemon configures a dispatcher process, which Run starts.
type Daemon struct {
	Config        *config.Config
	Gearman       *config.Gearman // nil disables the Gearman server
	Log           *slog.Logger
	ReloadSignals <-chan os.Signal                                                  // each signal triggers a reload; nil for none
	ReadFiles     func() (Files, error)                                             // reads the files again for a reload
	Now           func() time.Time                                                  // wall clock; time.Now if nil
	Telemetry     *config.Telemetry                                                 // nil disables telemetry
	Fleet         *config.Fleet                                                     // nil for a dispatcher without a fleet
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error) // a net.Dialer's if nil
	Listen        func(network, addr string) (net.Listener, error)                  // link.Listen if nil
	HandoverDir   string                                                            // directory shared with a successor; os.TempDir() if empty

	overrides *override.Set // detached workers; nil without an admin server
	cores     []*dispatch.Core
	fleet     *fleet.Node
}

// Files are the settings files that a reload reads again.
type Files struct {
	Config  *config.Config
	Gearman *config.Gearman
	Fleet   *config.Fleet
}

// clientServer is a server for the clients of one protocol, with its own core and connections to workers.
type clientServer interface {
	Serve(net.Listener) error
	Drain(context.Context, link.DrainSchedule)
}

// Run serves until ctx is canceled, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	if d.Dial == nil {
		d.Dial = new(net.Dialer).DialContext
	}
	if d.Listen == nil {
		d.Listen = link.Listen
	}
	runtime.GOMAXPROCS(max(1, int(d.Config.Limits.Cores)))
	debug.SetMemoryLimit(int64(gcMemoryShare * float64(d.Config.Limits.MemoryMB<<20)))
	ctx, shutdown := context.WithCancel(ctx)
	defer shutdown()
	inst := &instance{Daemon: d, shutdown: shutdown, serveErrs: make(chan error, 2)}
	inst.runCtx, inst.cancelRun = context.WithCancel(context.Background())
	defer inst.cancelRun()
	defer inst.closeComponents()
	if err := inst.startComponents(); err != nil {
		return err
	}
	go d.reloadOnSignal(inst.runCtx, inst.httpDiscovery, inst.gearmanDiscovery)
	select {
	case err := <-inst.serveErrs:
		return err
	case <-ctx.Done():
	}
	drainTime := d.timeUntilKill() - killMargin
	answersBefore := d.answerCounts()
	var drained sync.WaitGroup
	for _, server := range inst.servers {
		drained.Go(func() {
			server.Drain(inst.runCtx, link.DrainSchedule{FullDeadlineFor: killGrace - killMargin, KeepClientsFor: drainTime - lastRequestTime, AnswerWithin: drainTime})
		})
	}
	drained.Wait()
	d.Log.Info("answered while draining", "classes", d.formatAnswersSince(answersBefore))
	if inst.exporter != nil {
		inst.exporter.FlushMetrics() // while the cores still run and can be read
	}
	time.Sleep(cancelFlushTime)
	return nil
}

// answerCounts returns the number of final answers of all cores, by class.
func (d *Daemon) answerCounts() []dispatch.ClassCounts {
	totals := make([]dispatch.ClassCounts, len(d.Config.Settings.Classes))
	for _, core := range d.cores {
		for i, counts := range core.Counts() {
			totals[i].Served += counts.Served
			totals[i].Refused += counts.Refused
			totals[i].Failed += counts.Failed
		}
	}
	return totals
}

// formatAnswersSince formats, for each class, how many requests were served, refused and failed since the
// given counts.
func (d *Daemon) formatAnswersSince(before []dispatch.ClassCounts) string {
	var b strings.Builder
	for i, counts := range d.answerCounts() {
		fmt.Fprintf(&b, "%s:%d/%d/%d ", d.Config.Settings.Classes[i].Name,
			counts.Served-before[i].Served, counts.Refused-before[i].Refused, counts.Failed-before[i].Failed)
	}
	return strings.TrimSpace(b.String())
}

// timeUntilKill returns the minimum time between the order to stop and the kill.
func (d *Daemon) timeUntilKill() time.Duration {
	deadline := time.Duration(0)
	for _, c := range d.Config.Settings.Classes {
		deadline = max(deadline, c.Deadline)
	}
	return min(deadline, maxKillWait) + killGrace
}

// newCore creates the core of a client server, with its scripts and telemetry attached.
func (d *Daemon) newCore(ctx context.Context, name string, hookFiles []string, exporter *telemetry.Telemetry,
	log *slog.Logger, observers ...dispatch.Observer) (*dispatch.Core, error) {
	options := dispatch.Options{Settings: *d.Config.Settings, Log: log, Observers: observers, Overrides: d.overrides}
	hooks, err := hook.Load(hookFiles, d.Config.Settings, d.Config.Names, log)
	if err != nil {
		return nil, err
	}
	if d.fleet != nil {
		options.Budget = d.fleet
	}
	if hooks != nil {
		go hooks.Run(ctx)
		options.Hook, options.Observers = hooks, append(options.Observers, hooks)
	}
	if exporter != nil {
		options.Observers = append(options.Observers, exporter.NewObserver(name, d.Config.Settings))
	}
	core, err := dispatch.New(options)
	if err == nil && exporter != nil {
		err = exporter.RegisterCoreGauges(name, core)
	}
	if err == nil {
		d.cores = append(d.cores, core)
	}
	return core, err
}

// startCore runs a core, the connections to its workers and its discovery client, which begins with
// knownWorkers if that is not nil.
func (d *Daemon) startCore(ctx context.Context, core *dispatch.Core, workers interface {
	dispatch.Driver
	Run(context.Context)
}, discoveryAddr string, knownWorkers []byte) (*platform.DiscoveryClient, error) {
	discoveryClient := platform.NewDiscoveryClient(core, d.Log, d.Config.Names, d.Dial, discoveryAddr)
	core.Connect(workers, discoveryClient)
	go core.Run(ctx)
	go workers.Run(ctx)
	if err := discoveryClient.LoadCached(knownWorkers); err != nil {
		return nil, err
	}
	go discoveryClient.Run(ctx)
	return discoveryClient, nil
}

// reloadOnSignal reads the files again at each reload signal, until ctx is canceled after the last answer.
// It also does so while the daemon drains, since an open request may need a worker that only the new
// discovery server lists. Only the discovery addresses and the fleet file are applied; all other
// settings require a restart. Files with an error change nothing.
func (d *Daemon) reloadOnSignal(ctx context.Context, httpDiscovery, gearmanDiscovery *platform.DiscoveryClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.ReloadSignals:
		}
		files, err := d.ReadFiles()
		if err != nil {
			d.Log.Error("cannot reload the settings; keeping the current ones", "err", err)
			continue
		}
		d.Log.Info("settings reloaded", "discovery", files.Config.Discovery)
		httpDiscovery.SetAddr(files.Config.Discovery)
		if gearmanDiscovery != nil && files.Gearman != nil {
			gearmanDiscovery.SetAddr(files.Gearman.Discovery)
		}
		if d.fleet != nil && files.Fleet != nil {
			d.fleet.ReloadBudgets(files.Fleet)
		}
	}
}
