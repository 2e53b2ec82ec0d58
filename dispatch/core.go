package dispatch

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/limitedlog"
	"tinroute.example/tinroute/internal/override"
)

const (
	// doTimeout limits how long Do waits for the core.
	doTimeout = time.Second
	// eventQueueSize is the capacity of the event queue; further senders block.
	eventQueueSize = 256
	// The balancer must answer a request before the client's timeout. If it does not, the core
	// fails the request this long after the timeout, which is within the tolerance of the rules.
	answerGrace = 10 * time.Millisecond
	// A cancellation that the worker does not settle occupies the worker's slot for this many
	// connect timeouts. After that the core reports the attempt to the balancer as cancelled.
	cancelConnectTimeouts = 2
	// drainRetryAfter is the retry delay for a client whose request would outlast this process: another
	// dispatcher accepts it at once.
	drainRetryAfter = 50 * time.Millisecond
	// overloadRetryAfter is the retry delay for a client whose request exceeds the limit of open requests.
	overloadRetryAfter = time.Second
)

// Core is a dispatcher: it owns a balancer and the requests, attempts and workers that the balancer
// decides about.
type Core struct {
	settings       balance.Settings
	log            *slog.Logger
	limitedLog     *limitedlog.Logger // for messages that clients can cause in any number
	clock          Clock
	virtualClock   func() time.Duration // Options.Clock; nil if Run owns the core
	handling       bool                 // with a virtual clock: an event is being handled
	driver         Driver
	discovery      Discovery
	hook           Hook
	observers      []Observer
	phaseObservers []PhaseObserver // those observers that implement PhaseObserver

	events            chan func()
	stopped           chan struct{}
	openCount         atomic.Int64 // requests without a final answer
	counts            counts
	overrides         *override.Set   // workers detached by an operator; nil if that is not supported
	overridesChanged  <-chan struct{} // receives a signal after each change of overrides
	appliedGeneration atomic.Uint64   // the generation of overrides that was last reported to the balancer

	// The remaining fields belong to the core's goroutine.
	balancer         Policy
	now              time.Duration
	requestsByJob    map[balance.JobID]*Request
	requestsByID     map[string]*Request // requests whose ID workers and callbacks may still refer to
	nextJob          balance.JobID
	members          map[balance.WorkerID]Worker
	deferred         []func()
	timers           timers
	attemptsInFlight int
	processEnd       time.Duration                      // when the process will end; 0 if unknown
	detached         map[string]bool                    // names of the detached workers, as last reported to the balancer
	reattachedAt     map[balance.WorkerID]time.Duration // when a worker was reattached: it is cold from then on
}

// Options configures a Core. Only Settings is required.
type Options struct {
	Settings  balance.Settings
	Log       *slog.Logger
	Hook      Hook
	Observers []Observer
	// Clock, if set, is a virtual clock for a core that is used without Run: its methods do their
	// work before they return, on the single goroutine that calls them, and Advance fires the timers
	// that are due. The clock must never go back.
	Clock func() time.Duration
	// Overrides is the set of workers detached by an operator. Several cores may share it. From the event
	// after a change the core sends nothing new to a detached worker; OverrideGeneration reports
	// which changes it has applied.
	Overrides *override.Set
	// Budget is this dispatcher's allocation of the fleet's budgets; nil if there are none. It is not
	// passed to a Policy.
	Budget balance.FleetBudget
	// Policy creates the policy; nil means balance.New. Experiments use it to compare other policies
	// with package balance. The daemon leaves it nil.
	Policy func(balance.Settings, balance.Host) (Policy, error)
}

// Policy makes the decisions of a core. It is a balance.Balancer in production and may be another
// policy in experiments. The core calls it on the core's goroutine, and it acts only through the
// balance.Host.
type Policy interface {
	UpdateMembers(now time.Duration, kind balance.UpdateKind, members []balance.Member)
	SubmitJob(now time.Duration, job balance.Job)
	TimerFired(now time.Duration, token uint64)
	ClientGone(now time.Duration, id balance.JobID)
	AttemptEvent(now time.Duration, id balance.JobID, attempt int, kind balance.EventKind, progress float64)
	AttemptDone(now time.Duration, result balance.AttemptResult)
	ProbeDone(now time.Duration, worker balance.WorkerID, status balance.Status, elapsed time.Duration, report balance.LoadReport)
	View(now time.Duration) balance.View
}

// New returns a Core, which is idle until Connect and Run are called.
func New(options Options) (*Core, error) {
	c := &Core{virtualClock: options.Clock, settings: options.Settings, log: options.Log, hook: options.Hook,
		observers: options.Observers, clock: NewClock(), events: make(chan func(), eventQueueSize), stopped: make(chan struct{}),
		requestsByJob: map[balance.JobID]*Request{}, requestsByID: map[string]*Request{}, members: map[balance.WorkerID]Worker{},
		overrides: options.Overrides, detached: map[string]bool{}, reattachedAt: map[balance.WorkerID]time.Duration{}}
	c.counts.classes = make([]classCounts, len(options.Settings.Classes))
	if c.overrides != nil {
		c.overridesChanged = c.overrides.Subscribe()
	}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	c.limitedLog = limitedlog.New(c.log, nil)
	for _, observer := range options.Observers {
		if p, ok := observer.(PhaseObserver); ok {
			c.phaseObservers = append(c.phaseObservers, p)
		}
	}
	var err error
	if options.Policy != nil {
		c.balancer, err = options.Policy(options.Settings, host{c})
		return c, err
	}
	b, err := balance.New(options.Settings, host{c})
	if err == nil && options.Budget != nil {
		b.SetBudget(options.Budget)
	}
	c.balancer = b
	return c, err
}

// Connect sets the driver and the discovery, which need the core for their own setup.
func (c *Core) Connect(driver Driver, discovery Discovery) {
	c.driver, c.discovery = driver, discovery
}

// Settings returns the settings that the core was created with.
func (c *Core) Settings() *balance.Settings { return &c.settings }

// OpenRequests returns the number of requests without a final answer.
func (c *Core) OpenRequests() int { return int(c.openCount.Load()) }

// Run handles events and timers until the context is done.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			c.handle(f)
		case <-timer.C:
			c.handle(func() {})
		case <-c.overridesChanged: // a separate channel, since a full event queue must not delay a detach
			c.handle(func() {})
		}
		if len(c.timers) > 0 {
			timer.Reset(max(0, c.timers[0].due-c.clock.Now()))
		}
	}
}

// Advance fires the timers that are due by Options.Clock, and returns when the next one is due. It
// returns ok false if no timer is set.
func (c *Core) Advance() (next time.Duration, ok bool) {
	c.handle(func() {})
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].due, true
}

// handle handles one event, then the calls that the event has deferred and the timers that are due.
// Calls are deferred if the balancer must not receive them within its own call of the host, such as
// the outcome of an attempt that is not sent.
func (c *Core) handle(f func()) {
	c.now = c.clock.Now()
	if c.virtualClock != nil {
		c.now, c.handling = c.virtualClock(), true
		defer func() { c.handling = false }()
	}
	if c.overrides != nil && c.overrides.Generation() != c.appliedGeneration.Load() {
		c.applyOverrides()
	}
	f()
	for {
		for len(c.deferred) > 0 {
			next := c.deferred[0]
			c.deferred = c.deferred[1:]
			next()
		}
		if len(c.timers) == 0 || c.timers[0].due > c.now {
			return
		}
		due := heap.Pop(&c.timers).(*timer)
		due.f()
	}
}

// post queues f for the core's goroutine. It blocks while the queue is full and drops f once the core
// has stopped. With a virtual clock, f runs before post returns, or after the current event if post is
// called from within one.
func (c *Core) post(f func()) {
	if c.virtualClock != nil {
		if c.handling {
			c.deferred = append(c.deferred, f)
		} else {
			c.handle(f)
		}
		return
	}
	select {
	case c.events <- f:
	case <-c.stopped:
	}
}

func (c *Core) notifyObservers(notify func(Observer)) {
	for _, o := range c.observers {
		notify(o)
	}
}
