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
	doWithin = time.Second
	mailbox  = 256 // events on their way to the core; further senders wait
	// An answer is due before the client gives up. The balancer sees to that; should it
	// not, the core fails the request this long after, inside the rules' slack.
	overdue = 10 * time.Millisecond
	// A cancel that a worker does not settle keeps its slot busy for this many connect
	// time-outs; then the balancer is told that the attempt is cancelled.
	cancelWaits = 2
	// elsewhere is when a client may come back whose job would outlast this process: another
	// dispatcher takes it at once.
	elsewhere = 50 * time.Millisecond
	// busyBack is when a client may come back that met too many open requests.
	busyBack = time.Second
)

// Core is one dispatcher: a balancer and what it decides about.
type Core struct {
	settings   balance.Settings
	log        *slog.Logger
	limitedLog *limitedlog.Logger // what clients cause, which must not flood the log
	clock      Clock
	virtual    func() time.Duration // the handed-in clock of a core that is not Run, else nil
	turning    bool                 // inside a turn of such a core
	workers    Driver
	table      Discovery
	hook       Hook
	watching   []Observer
	phases     []PhaseObserver // those of watching that are

	events chan func()
	closed chan struct{}
	open   atomic.Int64 // requests without a final answer
	counts counts
	hand   *override.Set   // workers out by hand; nil for none
	handed <-chan struct{} // a signal after each change of hand
	heard  atomic.Uint64   // the generation of hand that the balancer has been told

	// The rest is the goroutine's own.
	balancer Policy
	now      time.Duration
	jobs     map[balance.JobID]*Request
	ids      map[string]*Request // what workers and call-backs may still name
	nextJob  balance.JobID
	members  map[balance.WorkerID]Worker
	deferred []func()
	timers   timers
	active   int
	ends     time.Duration                      // when the process will end, 0 while that is not known
	out      map[string]bool                    // names out by hand, as the balancer was told
	back     map[balance.WorkerID]time.Duration // taken back by hand then: cold from then on
}

// Options are the parts that a Core works with. All but Settings may be left out.
type Options struct {
	Settings  balance.Settings
	Log       *slog.Logger
	Hook      Hook
	Observers []Observer
	// Clock makes a core that is not Run: its methods do their work before they return, on the one
	// goroutine that calls them, and Advance does what is due. The clock must never go back.
	Clock func() time.Duration
	// Hand holds the workers out by hand, which may be shared by several cores. The core sends
	// nothing new to them from the turn after the change, and tells it by OverridesApplied.
	Overrides *override.Set
	// Shares are what a fleet's budgets leave to this dispatcher; nil for none. A Policy is not handed them.
	Shares balance.FleetBudget
	// Policy makes what decides in place of balance, for experiments that set other policies
	// beside it; balance.New where nil. The fronts of the daemon leave it nil.
	Policy func(balance.Settings, balance.Host) (Policy, error)
}

// Policy decides for a core: balance.Balancer in service, a comparison policy in experiments. The
// core calls it on its own goroutine, and it acts through the Host alone.
type Policy interface {
	UpdateMembers(now time.Duration, how balance.UpdateKind, list []balance.Member)
	SubmitJob(now time.Duration, j balance.Job)
	TimerFired(now time.Duration, token uint64)
	ClientGone(now time.Duration, id balance.JobID)
	AttemptEvent(now time.Duration, id balance.JobID, attempt int, what balance.EventKind, share float64)
	AttemptDone(now time.Duration, r balance.AttemptResult)
	ProbeDone(now time.Duration, w balance.WorkerID, st balance.Status, took time.Duration, r balance.LoadReport)
	View(now time.Duration) balance.View
}

// New returns a core that does nothing until Connect and Run.
func New(o Options) (*Core, error) {
	c := &Core{virtual: o.Clock, settings: o.Settings, log: o.Log, hook: o.Hook, watching: o.Observers, clock: NewClock(),
		events: make(chan func(), mailbox), closed: make(chan struct{}),
		jobs: map[balance.JobID]*Request{}, ids: map[string]*Request{}, members: map[balance.WorkerID]Worker{},
		hand: o.Overrides, out: map[string]bool{}, back: map[balance.WorkerID]time.Duration{}}
	c.counts.classes = make([]classCounts, len(o.Settings.Classes))
	if c.hand != nil {
		c.handed = c.hand.Subscribe()
	}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	c.limitedLog = limitedlog.New(c.log, nil)
	for _, o := range o.Observers {
		if p, ok := o.(PhaseObserver); ok {
			c.phases = append(c.phases, p)
		}
	}
	var err error
	if o.Policy != nil {
		c.balancer, err = o.Policy(o.Settings, host{c})
		return c, err
	}
	b, err := balance.New(o.Settings, host{c})
	if err == nil && o.Shares != nil {
		b.SetBudget(o.Shares)
	}
	c.balancer = b
	return c, err
}

// Connect gives the core its drivers, which in turn know the core.
func (c *Core) Connect(r Driver, t Discovery) { c.workers, c.table = r, t }

// Settings are those that the core was made with.
func (c *Core) Settings() *balance.Settings { return &c.settings }

// Open is the number of requests that are owed an answer.
func (c *Core) Open() int { return int(c.open.Load()) }

// Run owns the core until the context ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.closed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			c.turn(f)
		case <-timer.C:
			c.turn(func() {})
		case <-c.handed: // beside the mailbox: a full one must not hold a ban up
			c.turn(func() {})
		}
		if len(c.timers) > 0 {
			timer.Reset(max(0, c.timers[0].at-c.clock.Now()))
		}
	}
}

// Advance does what is due by the handed-in clock, for a core that is not Run, and tells when
// something is due next; ok is false where nothing is.
func (c *Core) Advance() (next time.Duration, ok bool) {
	c.turn(func() {})
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// turn handles one event, then whatever its actions left to do: outcomes of sends that
// never left, which must not reach the balancer from inside its own action.
func (c *Core) turn(f func()) {
	c.now = c.clock.Now()
	if c.virtual != nil {
		c.now, c.turning = c.virtual(), true
		defer func() { c.turning = false }()
	}
	if c.hand != nil && c.hand.Generation() != c.heard.Load() {
		c.applyOverrides()
	}
	f()
	for {
		for len(c.deferred) > 0 {
			next := c.deferred[0]
			c.deferred = c.deferred[1:]
			next()
		}
		if len(c.timers) == 0 || c.timers[0].at > c.now {
			return
		}
		due := heap.Pop(&c.timers).(*timer)
		due.f()
	}
}

func (c *Core) post(f func()) {
	if c.virtual != nil {
		if c.turning { // from inside one of the core's own calls: after it
			c.deferred = append(c.deferred, f)
		} else {
			c.turn(f)
		}
		return
	}
	select {
	case c.events <- f:
	case <-c.closed:
	}
}

func (c *Core) observe(tell func(Observer)) {
	for _, o := range c.watching {
		tell(o)
	}
}
