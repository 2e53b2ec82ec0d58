// Package balance decides, for one dispatcher beside one submitter, which
// worker gets which job and when. This file is its whole interface: settings
// and events go in, actions come out through a Host. The decisions themselves
// are in balance.go.
//
// A Balancer is not safe for concurrent use: one goroutine owns it and calls
// its event methods one at a time. The caller owns the clock. Every event
// carries now, the time since an origin of the caller's choice; now must never
// go back. Actions take effect at the now of the event that caused them, and
// the Host must not call back into the Balancer from inside an action.
package balance

import "time"

// JobID names a request; a client's retry carries a fresh one.
type JobID uint64

// WorkerID names a worker; it stays the same when its process restarts.
type WorkerID uint64

// Idempotency tells what a repeat of a job does.
type Idempotency uint8

// A safe job may run any number of times, a keyed one repeats harmlessly inside
// its group and memory span, an unsafe one must never run twice.
const (
	Idempotent Idempotency = iota
	Deduplicated
	NonIdempotent
)

// DedupScope is the set of workers that drop a repeat of a keyed job.
type DedupScope uint8

// The groups, widest first.
const (
	ScopeFleet DedupScope = iota
	ScopeZone
	ScopeCell
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The conditions. A draining worker finishes what it has; a gone one does not.
const (
	Serving WorkerState = iota
	Draining
	Gone
)

// UpdateKind tells how a list of workers is to be read.
type UpdateKind uint8

// The kinds of list.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // everything; a worker left out is gone
	UpdateCached                   // everything as last held, perhaps outdated
	UpdateFailed                   // an inquiry failed or the subscription broke
)

// Status tells how an attempt or a probe ended.
type Status uint8

// The statuses. Only StatusFull, StatusUnreachable and StatusNotSent prove that the
// attempt never ran.
const (
	StatusOK          Status = iota
	StatusError              // the worker answered with an error
	StatusFull               // turned away unseen
	StatusTimeout            // no answer in time
	StatusUnreachable        // no connection
	StatusReset              // connection lost with the attempt out
	StatusCancelled          // withdrawn
	StatusNotSent            // not sent: request over, time over, or too many attempts
	StatusInvalid            // turned away for what it is: any worker would; the Host answers it
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == StatusFull || s == StatusUnreachable || s == StatusNotSent
}

func (s Status) String() string {
	return [...]string{"ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "moot", "unfit"}[s]
}

// EventKind tells what a worker says of a job that is still out.
type EventKind uint8

// The notes.
const (
	EventStarted  EventKind = 1
	EventProgress EventKind = 2
)

// Class describes one kind of job.
type Class struct {
	Name        string
	Target      time.Duration // answered within Aim + Stretch x its own work: full worth
	Stretch     float64
	Deadline    time.Duration // a client's patience over all its tries
	Worth       float64
	LateWorth   float64 // share of the worth earned after the aim
	Idempotency Idempotency
	DedupScope  DedupScope    // Keyed only
	DedupWindow time.Duration // Keyed only: how long a repeat is recognised
	Streaming   bool
	WorkerKind  int // the machine kind it needs, or -1
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // jobs a second over all dispatchers
}

// Settings hold all that a dispatcher is told at its start.
type Settings struct {
	Seed        uint64
	Position    int // this dispatcher's number, from 0; no two share one
	FleetSize   int // how many dispatchers there are
	Zone        int
	WorkerKinds int
	Classes     []Class
	Tenants     []Tenant

	MaxAttempts       int
	AllowCancel       bool // attempts may be cancelled
	AllowCopies       bool // two attempts of one job may be out at once
	AllowProbes       bool
	AllowPeerMessages bool
	ConnectTimeout    time.Duration
	Tick              time.Duration // the least time between two events' instants
	MaxRetryAfter     time.Duration // the longest advice that clients follow, 0 for none
	ConnIdleTimeout   time.Duration // workers close connections idle for this long; for the Host
	MaxOpenJobs       int           // jobs that may be open at once, 0 for any number; for the Host

	PullInterval   time.Duration // ask the list at least this often unless subscribed
	PullMembers    bool          // the list comes only when asked for
	ColdCapacity   float64       // a fresh worker's least share of its capacity
	WarmUp         time.Duration // the longest time until it is warm
	OverloadFactor float64       // work over this multiple of present capacity ...
	OverloadWindow time.Duration // ... for this long makes a cold worker fall

	ReportsStart     bool
	ProgressInterval time.Duration // interval of progress notes, 0 for none
	TracksMemory     bool          // jobs and workers count memory
	IgnoreWeights    bool          // Member.Weight says nothing
	OverQuotaWorth   float64       // worth of a job beyond its tenant's quota
	CrossZonePrice   float64       // price of a send into another zone
	WorthByWork      bool          // worth is counted by work

	TotalWeight      float64 // weight of all that is served ...
	WorstClassWeight float64 // ... and of the class served worst
}

// Member is one entry of the list of workers.
type Member struct {
	ID     WorkerID
	State  WorkerState
	Weight float64
	Kind   int
	Zone   int
	Cell   int
	// Started is when it last started, on the caller's clock; 0 for long ago. Dispatchers
	// take turns at a cold worker by its age, so they should agree on it to well within
	// Settings.FallSpan.
	StartedAt time.Duration
}

// Job is a request as it arrives.
type Job struct {
	ID            JobID
	Class         int
	Tenant        int // -1 for none
	Key           string
	ClientTimeout time.Duration // until the client gives up this try
	ExpectedWork  time.Duration // expected work at speed 1; 0 for none
	Slots         float64
	Memory        float64
	PriorAttempt  *PriorAttempt // nil where no attempt from before may have run
}

// PriorAttempt is the first attempt at a job from before its Request, as a queue that outlives the
// process knows of it, that may have had its effect. It binds later attempts as one of the
// Balancer's own would.
type PriorAttempt struct {
	Zone, Cell int           // of its worker
	Age        time.Duration // since it was sent
}

// LoadReport is a worker's word about its load; a negative figure is absent.
type LoadReport struct {
	InFlight, Queue, Util, ErrorRate, FreeSlots, FreeMemory float64
}

// NoLoadReport returns a Report in which every figure is absent.
func NoLoadReport() LoadReport { return LoadReport{-1, -1, -1, -1, -1, -1} }

// AttemptResult is the end of one attempt; each Send gets exactly one.
type AttemptResult struct {
	Job     JobID
	Attempt int
	Worker  WorkerID
	Status  Status
	Elapsed time.Duration
	JobDone bool // the request is over, by this or earlier
	Report  LoadReport
}

// FleetBudget are what a fleet's budgets leave to this dispatcher, where it belongs to a fleet that divides
// them. First is asked once for each new job, from inside Request, with its expected work in seconds,
// and must not block: budgeted is false where no budget is the tenant's, and wait is in how long it
// would be admitted. Again is asked before each attempt that may do a job's work once more, one after an
// attempt that may have run or beside one that is out: true takes it from the budget. Sent is told of each
// job's first attempt.
type FleetBudget interface {
	Admit(tenant int, work float64) (budgeted, ok bool, wait time.Duration)
	AllowRepeat() bool
	CountFirstSend()
}

// AllPeers stands for all other dispatchers in Host.Tell.
const AllPeers = -1

// Host receives the actions. Send numbers the attempts of a job 0, 1, 2, ... in
// the order of the calls; timeout 0 means until the client gives up. Refuse and
// Fail are final answers; an OK result is one by itself. Wake asks for one
// Timer call with the same token; a late call is harmless. Watch subscribes to
// changes of the list, Fetch asks for all of it once; both are answered by
// Members. Tell sends at most 256 bytes to one other dispatcher, by its position, or to
// Everyone.
type Host interface {
	Send(job JobID, to WorkerID, timeout time.Duration)
	Cancel(job JobID, attempt int)
	Refuse(job JobID, backoff time.Duration)
	Fail(job JobID)
	SetTimer(after time.Duration, token uint64)
	Watch()
	Fetch()
	SendToPeer(to int, data []byte)
	Probe(w WorkerID)
	Log(text string)
}
