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
	"strings"
	"sync"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/background"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet"
	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/hook"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/link"
	"tinroute.example/tinroute/internal/override"
	"tinroute.example/tinroute/internal/platform"
	"tinroute.example/tinroute/internal/telemetry"
)

const (
	// Some descriptors are kept for discovery, the listeners, standard streams and
	// connections that are being closed.
	reserve     = 48
	mostSockets = 1024
	// terminalShare of the others is for terminals and call-backs, the rest for workers.
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
	Config        *config.Config
	Gearman       *config.Gearman // nil where the second front is off
	Log           *slog.Logger
	ReloadSignals <-chan os.Signal                                                  // each asks for a reload; none where nil
	ReadFiles     func() (Files, error)                                             // reads the files again, for a reload
	Now           func() time.Time                                                  // the system's clock, time.Now where nil
	Telemetry     *config.Telemetry                                                 // nil where it is off
	Fleet         *config.Fleet                                                     // nil where it belongs to none
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error) // a net.Dialer's where nil
	Listen        func(network, addr string) (net.Listener, error)                  // link.Listen where nil
	HandoverDir   string                                                            // the folder shared with a successor, os.TempDir() where empty

	hand  *override.Set // workers out by hand, where there is an operators' door
	cores []*dispatch.Core
	fleet *fleet.Part
}

// Files are the settings files that a reload takes up.
type Files struct {
	Config  *config.Config
	Gearman *config.Gearman
	Fleet   *config.Fleet
}

// front is one protocol's side, with a core of its own for its own fleet.
type front interface {
	Serve(net.Listener) error
	Drain(context.Context, link.DrainSchedule)
}

// Run serves until the context ends, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	if d.Dial == nil {
		d.Dial = new(net.Dialer).DialContext
	}
	if d.Listen == nil {
		d.Listen = link.Listen
	}
	runtime.GOMAXPROCS(max(1, int(d.Config.Limits.Cores)))
	debug.SetMemoryLimit(int64(memoryShare * float64(d.Config.Limits.MemoryMB<<20)))
	ctx, end := context.WithCancel(ctx)
	defer end()
	r := &running{Daemon: d, end: end, failed: make(chan error, 2)}
	r.inner, r.stop = context.WithCancel(context.Background())
	defer r.stop()
	defer r.close()
	if err := r.begin(); err != nil {
		return err
	}
	go d.reload(r.inner, r.table, r.second)
	select {
	case err := <-r.failed:
		return err
	case <-ctx.Done():
	}
	within := d.untilKilled() - beforeKill
	before := d.answered()
	var drained sync.WaitGroup
	for _, f := range r.fronts {
		drained.Go(func() {
			f.Drain(r.inner, link.DrainSchedule{FullDeadlineFor: killPast - beforeKill, KeepClientsFor: within - lastAsked, AnswerWithin: within})
		})
	}
	drained.Wait()
	d.Log.Info("answered while draining", "classes", d.answeredSince(before))
	if r.spans != nil {
		r.spans.Flush() // while the cores can still be asked
	}
	time.Sleep(lastWords)
	return nil
}

// answered counts the final answers of every core, by class.
func (d *Daemon) answered() []dispatch.ClassCounts {
	all := make([]dispatch.ClassCounts, len(d.Config.Settings.Classes))
	for _, c := range d.cores {
		for i, k := range c.Counts() {
			all[i].Served += k.Served
			all[i].Refused += k.Refused
			all[i].Failed += k.Failed
		}
	}
	return all
}

// answeredSince tells, for each class, how many were served, refused and failed since the counts
// given.
func (d *Daemon) answeredSince(before []dispatch.ClassCounts) string {
	var b strings.Builder
	for i, k := range d.answered() {
		fmt.Fprintf(&b, "%s:%d/%d/%d ", d.Config.Settings.Classes[i].Name,
			k.Served-before[i].Served, k.Refused-before[i].Refused, k.Failed-before[i].Failed)
	}
	return strings.TrimSpace(b.String())
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
	log *slog.Logger, watching ...dispatch.Observer) (*dispatch.Core, error) {
	o := dispatch.Options{Settings: *d.Config.Settings, Log: log, Observers: watching, Overrides: d.hand}
	hooks, err := hook.Load(files, d.Config.Settings, d.Config.Names, log)
	if err != nil {
		return nil, err
	}
	if d.fleet != nil {
		o.Shares = d.fleet
	}
	if hooks != nil {
		go hooks.Run(ctx)
		o.Hook, o.Observers = hooks, append(o.Observers, hooks)
	}
	if spans != nil {
		o.Observers = append(o.Observers, spans.Observe(front, d.Config.Settings))
	}
	core, err := dispatch.New(o)
	if err == nil && spans != nil {
		err = spans.Watch(front, core)
	}
	if err == nil {
		d.cores = append(d.cores, core)
	}
	return core, err
}

// background opens the job store, if there is one, and gives the Gearman front what it needs to
// run stored jobs. Where the store cannot be opened the front serves on without. The functions
// that it returns begin with the stored jobs, and close the store once ctx has ended.
func (d *Daemon) background(ctx context.Context, o *gearman.Options, log *slog.Logger) (run, shut func()) {
	g := d.Gearman
	if g.Store == nil {
		return func() {}, func() {}
	}
	clock := dispatch.NewClock()
	store, err := jobstore.Open(jobstore.Options{Path: g.Store.Path, MaxJobs: g.Store.MaxJobs, MaxBytes: g.Store.MaxBytes,
		MaxFile: g.Store.MaxFileBytes, Now: clock.Now, Log: log})
	if err != nil {
		log.Error("job store not opened", "file", g.Store.Path, "err", err)
		o.StoreErr = err
		return func() {}, func() {}
	}
	c := store.Counts()
	log.Info("job store opened", "file", g.Store.Path, "jobs", c.Jobs-c.Dead, "dead", c.Dead, "damaged", c.Damaged, "bytes", c.File)
	if store.ClockBack() {
		log.Warn("clock set back", "file", g.Store.Path)
	}
	var keeper *background.Scheduler
	o.NewScheduler = func(f background.JobServer) *background.Scheduler {
		keeper = background.New(background.Options{Store: store, RetryLimits: g.Retry, PacerLimits: g.Pace, Seed: d.Config.Settings.Seed,
			Clock: clock, WallClock: d.Now, Log: log}, f)
		return keeper
	}
	return func() { go keeper.Run(ctx) }, func() {
		keeper.Wait()
		if err := store.Close(); err != nil {
			log.Error("job store not closed", "err", err)
		}
	}
}

// start brings a core and its drivers to life, beginning with discovery as known.
func (d *Daemon) start(ctx context.Context, core *dispatch.Core, workers interface {
	dispatch.Driver
	Run(context.Context)
}, discovery string, known []byte) (*platform.DiscoveryClient, error) {
	table := platform.NewDiscoveryClient(core, d.Log, d.Config.Names, d.Dial, discovery)
	core.Connect(workers, table)
	go core.Run(ctx)
	go workers.Run(ctx)
	if err := table.LoadCached(known); err != nil {
		return nil, err
	}
	go table.Run(ctx)
	return table, nil
}

// reload reads the files again whenever it is told to, until the last answer: also while
// the daemon drains, since what it has taken may need a worker that only the new discovery
// knows. It takes up where discovery is; all else holds until a restart. A file that is
// faulty changes nothing.
func (d *Daemon) reload(ctx context.Context, table, second *platform.DiscoveryClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.ReloadSignals:
		}
		f, err := d.ReadFiles()
		if err != nil {
			d.Log.Error("not reloaded", "err", err)
			continue
		}
		d.Log.Info("reloaded", "discovery", f.Config.Discovery)
		table.SetAddr(f.Config.Discovery)
		if second != nil && f.Gearman != nil {
			second.SetAddr(f.Gearman.Discovery)
		}
		if d.fleet != nil && f.Fleet != nil {
			d.fleet.Reload(f.Fleet)
		}
	}
}
