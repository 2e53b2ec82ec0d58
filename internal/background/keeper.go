// Package background runs the jobs that no client waits for: it keeps them in a job store,
// offers them to a front as internal/recovery decides, and writes down what is about to be sent
// before it is sent. It is the driver between the two; the decisions are recovery's and, as to
// workers, the policy's.
package background

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

const (
	page = 64 // jobs read from the store at once
	// look is how often the store is asked again at the latest, since the system's clock, by
	// which timed jobs are due, may be set.
	look = time.Second
	// unstickEvery is when a change that the store did not take is tried again.
	unstickEvery = time.Second
)

// ErrDraining keeps what has not been sent from being sent: the process ends, and the job is
// safe on disk for the next one.
var ErrDraining = errors.New("the dispatcher is ending")

// JobServer submits stored jobs. Its methods are called from the keeper's goroutine.
type JobServer interface {
	// Offer submits a job; the front calls Keeper.Ended once for it.
	Offer(j *jobstore.Stored, earlier *balance.PriorAttempt)
	// Withdraw takes an offer back that has not been sent; Ended is not called for it any more.
	Withdraw(j *jobstore.Stored)
	// Buried tells that a job has ended among the dead letters: whoever waits is told.
	DeadLettered(j *jobstore.Stored, reason string)
	// Missing tells that a job which the front wanted promoted has ended meanwhile.
	JobNotFound(handle string)
	// Class is the class of a function, or nil where it is not served any more.
	Class(function string) *balance.Class
}

// Options of a keeper.
type Options struct {
	Store     *jobstore.Store
	Limits    recovery.Limits
	Pace      recovery.PacerLimits
	Seed      uint64
	Clock     dispatch.Clock
	WallClock func() time.Time // the system's clock as it reads now, time.Now where nil
	Log       *slog.Logger
}

// Scheduler offers stored jobs. Its methods do not wait for the disk but where they say so.
type Scheduler struct {
	o       Options
	front   JobServer
	planner *recovery.Planner // the loop's own
	started time.Duration
	wake    chan struct{}
	ended   chan struct{}

	mu       sync.Mutex
	pace     *recovery.Pacer
	held     map[uint64]*flight // read, offered or being settled: not to be read again
	ready    []*flight
	ends     []end
	asked    []asked  // to be promoted
	stuck    []func() // changes that the store did not take
	draining bool
	counts   Counts
}

// Counts of what the keeper did since the start.
type Counts struct {
	Offered, Served, Retried, DeadLettered int
	Window, Cuts                           int
}

// flight is a job that the keeper has in hand.
type flight struct {
	job     *jobstore.Stored
	offered bool
	sent    bool // this offer has left the policy's queue
	over    bool // cancelled, or ended and being written down
}

type asked struct {
	id     uint64
	handle string
}

type end struct {
	id    uint64
	how   recovery.Outcome
	after time.Duration
}

// New returns a keeper that does nothing until Run.
func New(o Options, f JobServer) *Scheduler {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Scheduler{o: o, front: f, planner: recovery.NewPlanner(o.Limits, o.Seed), started: o.Clock.Now(), wake: make(chan struct{}, 1),
		ended: make(chan struct{}), pace: recovery.NewPacer(o.Pace), held: map[uint64]*flight{}}
}

// Admit tells at once whether one more job of so many bytes could be stored.
func (k *Scheduler) Admit(size int) error { return k.o.Store.Admit(size) }

// NextID gives a job its number.
func (k *Scheduler) NextID() uint64 { return k.o.Store.Number() }

// Now is the clock that due times of the keeper's own are read by.
func (k *Scheduler) Now() time.Duration { return k.o.Clock.Now() }

// WallTime is the system's clock.
func (k *Scheduler) WallTime() time.Time { return k.o.WallClock() }

// Accept stores a job. done is called once, on the store's goroutine; without an error the job
// is on disk. offered tells that the front has submitted it already, and then st says what has
// been sent. Accept may wait for the store's queue.
func (k *Scheduler) Accept(j *jobstore.Job, st *jobstore.State, offered bool, done func(error)) {
	if offered {
		k.mu.Lock()
		copied := *st
		k.held[j.ID] = &flight{job: &jobstore.Stored{Job: j, State: &copied}, offered: true, sent: st.Sends > 0}
		k.pace.Offered(k.Now())
		if st.Sends > 0 {
			k.pace.Sent()
		}
		k.mu.Unlock()
	}
	k.o.Store.Put(j, st, func(err error) {
		if err != nil && offered {
			k.mu.Lock()
			if f := k.held[j.ID]; f != nil {
				delete(k.held, j.ID)
				k.pace.Ended(k.Now(), f.sent, recovery.OutcomeFailed)
			}
			k.mu.Unlock()
		}
		done(err)
		if err == nil {
			k.poke()
		}
	})
}

func (k *Scheduler) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// OfferEnded takes the end of an offer. It never waits.
func (k *Scheduler) OfferEnded(id uint64, how recovery.Outcome, retryAfter time.Duration) {
	k.mu.Lock()
	k.ends = append(k.ends, end{id, how, retryAfter})
	k.mu.Unlock()
	k.poke()
}

// ForegroundWaited notes how long a foreground job waited for its first send. It never waits.
func (k *Scheduler) ForegroundWaited(waited time.Duration) {
	k.mu.Lock()
	k.pace.ForegroundWaited(k.Now(), waited)
	k.mu.Unlock()
}

// Promote offers a stored job next, since a client waits for it now. One that is not due by its
// client's own word waits on.
func (k *Scheduler) Promote(id uint64, handle string) {
	k.mu.Lock()
	k.asked = append(k.asked, asked{id, handle})
	k.mu.Unlock()
	k.poke()
}

// Drain stops offering. What has not been sent is taken back; it stays stored.
func (k *Scheduler) Drain() {
	k.mu.Lock()
	k.draining = true
	var back []*jobstore.Stored
	for _, f := range k.held {
		if f.offered && !f.sent && !f.over {
			back = append(back, f.job)
		}
	}
	k.ready = nil
	k.mu.Unlock()
	for _, j := range back {
		k.front.Withdraw(j)
	}
	k.o.Log.Info("background jobs stay stored", "jobs", k.o.Store.Counts().Jobs, "withdrawn", len(back))
}

// Counts tells what was done since the start.
func (k *Scheduler) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.counts
	c.Window, c.Cuts = k.pace.Window()
	return c
}

// Store is the store that the keeper works on.
func (k *Scheduler) Store() *jobstore.Store { return k.o.Store }
