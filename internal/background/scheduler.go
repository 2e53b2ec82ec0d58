// Package background runs the jobs that no client waits for. It keeps them in a job store, offers
// them to a job server, which submits them to the dispatcher, and records every attempt in the
// store before it is sent. Package recovery decides when a job is offered or given up; the policy
// chooses the workers.
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
	pageSize = 64 // jobs read from the store at once
	// maxPollInterval is the longest time between two queries of the store. Scheduled jobs are due
	// by the system clock, which may be set at any time.
	maxPollInterval = time.Second
	// writeRetryInterval is how often changes that the store failed to write are retried.
	writeRetryInterval = time.Second
)

// ErrDraining is returned for a job that must not be sent because the process is ending. The job
// stays in the store for the next process.
var ErrDraining = errors.New("the dispatcher is draining")

// ErrDedupWindowOver is returned for a repeat whose record reached the disk only after the deduplication window of
// the job's first send that may have run.
var ErrDedupWindowOver = errors.New("the dedup window ended while the attempt was being recorded")

// JobServer submits stored jobs to the dispatcher. Its methods are called on the goroutine of Run,
// except for Withdraw, which Drain calls.
type JobServer interface {
	// Offer submits a job; prior is an earlier attempt that may have run, or nil. The job server
	// calls Scheduler.OfferEnded once for it.
	Offer(stored *jobstore.StoredJob, prior *balance.PriorAttempt)
	// Withdraw cancels an offer that has not been sent. OfferEnded is not called for it.
	Withdraw(stored *jobstore.StoredJob)
	// DeadLettered reports that a job became a dead letter. The job server answers clients that
	// wait for it.
	DeadLettered(stored *jobstore.StoredJob, reason string)
	// JobNotFound reports that a job which the job server wanted promoted had already ended.
	JobNotFound(handle string)
	// Class returns the class of a function, or nil if it is no longer served.
	Class(function string) *balance.Class
}

// Options configure a Scheduler.
type Options struct {
	Store       *jobstore.Store
	RetryLimits recovery.Limits
	PacerLimits recovery.PacerLimits
	Seed        uint64
	Clock       dispatch.Clock
	WallClock   func() time.Time // the system clock, time.Now if nil
	Log         *slog.Logger
}

// Scheduler offers stored jobs to a job server. Its methods do not block on the disk unless their
// comment says so.
type Scheduler struct {
	opts      Options
	server    JobServer
	planner   *recovery.Planner // used by the goroutine of Run only
	startedAt time.Duration
	wake      chan struct{}
	stopped   chan struct{}

	mu           sync.Mutex
	pacer        *recovery.Pacer
	active       map[uint64]*activeJob // jobs being handled, by ID; not read from the store again
	ready        []*activeJob          // due jobs that wait to be offered
	endedOffers  []offerEnd            // ended offers that Run has yet to process
	promotions   []promotion           // jobs to be promoted
	failedWrites []func()              // changes that the store failed to write
	draining     bool
	counts       Counts
}

// Counts holds totals since the start, and the current window of the pacer.
type Counts struct {
	Offered, Served, Retried, DeadLettered int
	Window, Cuts                           int
}

// activeJob is a job that the scheduler is handling.
type activeJob struct {
	stored   *jobstore.StoredJob
	offered  bool // an offer has not ended
	sent     bool // this offer has left the policy's queue
	finished bool // cancelled, or ended and its end is being written
}

// promotion is a request to promote a job.
type promotion struct {
	id     uint64
	handle string
}

// offerEnd is the end of an offer.
type offerEnd struct {
	id         uint64
	outcome    recovery.Outcome
	retryAfter time.Duration
}

// New returns a Scheduler that does nothing until Run is called.
func New(opts Options, server JobServer) *Scheduler {
	if opts.WallClock == nil {
		opts.WallClock = time.Now
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	return &Scheduler{opts: opts, server: server, planner: recovery.NewPlanner(opts.RetryLimits, opts.Seed),
		startedAt: opts.Clock.Now(), wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		pacer: recovery.NewPacer(opts.PacerLimits), active: map[uint64]*activeJob{}}
}

// Admit returns an error if a job of the given size cannot be stored now. It does not block.
func (s *Scheduler) Admit(size int) error { return s.opts.Store.Admit(size) }

// NextID returns a new job ID.
func (s *Scheduler) NextID() uint64 { return s.opts.Store.NextID() }

// Now returns the time by the clock that the scheduler's own due times use.
func (s *Scheduler) Now() time.Duration { return s.opts.Clock.Now() }

// WallTime returns the time by the system clock.
func (s *Scheduler) WallTime() time.Time { return s.opts.WallClock() }

// Accept stores a job. done is called once, on the store's goroutine; if its error is nil the job
// is on disk. offered means that the job server has already submitted the job; state then holds the
// sends so far. Accept may block on the store's queue.
func (s *Scheduler) Accept(record *jobstore.Job, state *jobstore.State, offered bool, done func(error)) {
	if offered {
		s.mu.Lock()
		copied := *state
		s.active[record.ID] = &activeJob{stored: &jobstore.StoredJob{Job: record, State: &copied}, offered: true, sent: state.Sends > 0}
		s.pacer.Offered(s.Now())
		if state.Sends > 0 {
			s.pacer.Sent()
		}
		s.mu.Unlock()
	}
	s.opts.Store.Put(record, state, func(err error) {
		if err != nil && offered {
			s.mu.Lock()
			if job := s.active[record.ID]; job != nil {
				delete(s.active, record.ID)
				s.pacer.Ended(s.Now(), job.sent, recovery.OutcomeFailed)
			}
			s.mu.Unlock()
		}
		done(err)
		if err == nil {
			s.wakeUp()
		}
	})
}

// wakeUp wakes up Run.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// OfferEnded records the end of an offer. It does not block.
func (s *Scheduler) OfferEnded(id uint64, outcome recovery.Outcome, retryAfter time.Duration) {
	s.mu.Lock()
	s.endedOffers = append(s.endedOffers, offerEnd{id, outcome, retryAfter})
	s.mu.Unlock()
	s.wakeUp()
}

// ForegroundWaited records how long a foreground job waited for its first send. It does not block.
func (s *Scheduler) ForegroundWaited(waited time.Duration) {
	s.mu.Lock()
	s.pacer.ForegroundWaited(s.Now(), waited)
	s.mu.Unlock()
}

// Promote offers a stored job next, because a client now waits for it. A scheduled job is not
// offered before its time.
func (s *Scheduler) Promote(id uint64, handle string) {
	s.mu.Lock()
	s.promotions = append(s.promotions, promotion{id, handle})
	s.mu.Unlock()
	s.wakeUp()
}

// Drain stops offering jobs. Offers that have not been sent are withdrawn; their jobs stay stored.
func (s *Scheduler) Drain() {
	s.mu.Lock()
	s.draining = true
	var withdrawn []*jobstore.StoredJob
	for _, job := range s.active {
		if job.offered && !job.sent && !job.finished {
			withdrawn = append(withdrawn, job.stored)
		}
	}
	s.ready = nil
	s.mu.Unlock()
	for _, stored := range withdrawn {
		s.server.Withdraw(stored)
	}
	s.opts.Log.Info("draining: background jobs stay in the job store",
		"jobs", s.opts.Store.Counts().Jobs, "withdrawn", len(withdrawn))
}

// Counts returns the totals since the start.
func (s *Scheduler) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Window, c.Cuts = s.pacer.Window()
	return c
}

// Store returns the job store.
func (s *Scheduler) Store() *jobstore.Store { return s.opts.Store }
