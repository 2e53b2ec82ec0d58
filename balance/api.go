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

// Effect tells what a repeat of a job does.
type Effect uint8

// A safe job may run any number of times, a keyed one repeats harmlessly inside
// its group and memory span, an unsafe one must never run twice.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Group is the set of workers that drop a repeat of a keyed job.
type Group uint8

// The groups, widest first.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Condition is what the list says of a worker.
type Condition uint8

// The conditions. A draining worker finishes what it has; a gone one does not.
const (
	Serving Condition = iota
	Draining
	Gone
)

// ListKind tells how a list of workers is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListChange ListKind = iota // changed entries only
	ListFull                   // everything; a worker left out is gone
	ListCached                 // everything as last held, perhaps outdated
	ListFailed                 // an inquiry failed or the subscription broke
)

// Status tells how an attempt or a probe ended.
type Status uint8

// The statuses. Only StatusFull, StatusUnreachable and StatusMoot prove that the
// attempt never ran.
const (
	StatusOK          Status = iota
	StatusError              // the worker answered with an error
	StatusFull               // turned away unseen
	StatusTimeout            // no answer in time
	StatusUnreachable        // no connection
	StatusReset              // connection lost with the attempt out
	StatusCancelled          // withdrawn
	StatusMoot               // not sent: request over, time over, or too many attempts
	StatusUnfit              // turned away for what it is: any worker would; the Host answers it
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == StatusFull || s == StatusUnreachable || s == StatusMoot
}

func (s Status) String() string {
	return [...]string{"ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "moot", "unfit"}[s]
}

// NoteKind tells what a worker says of a job that is still out.
type NoteKind uint8

// The notes.
const (
	NoteStarted  NoteKind = 1
	NoteProgress NoteKind = 2
)

// Class describes one kind of job.
type Class struct {
	Name      string
	Aim       time.Duration // answered within Aim + Stretch x its own work: full worth
	Stretch   float64
	Deadline  time.Duration // a client's patience over all its tries
	Worth     float64
	LateWorth float64 // share of the worth earned after the aim
	Effect    Effect
	Group     Group         // Keyed only
	Span      time.Duration // Keyed only: how long a repeat is recognised
	Stream    bool
	Kind      int // the machine kind it needs, or -1
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // jobs a second over all dispatchers
}

// Settings hold all that a dispatcher is told at its start.
type Settings struct {
	Seed     uint64
	Position int // this dispatcher's number, from 0; no two share one
	Fleet    int // how many dispatchers there are
	Zone     int
	Kinds    int
	Classes  []Class
	Tenants  []Tenant

	MaxAttempts    int
	Cancel         bool // attempts may be cancelled
	SecondCopies   bool // two attempts of one job may be out at once
	Probes         bool
	Peers          bool
	ConnectTimeout time.Duration
	Tick           time.Duration // the least time between two events' instants
	MaxRetryAfter  time.Duration // the longest advice that clients follow, 0 for none
	ConnIdle       time.Duration // workers close connections idle for this long; for the Host
	MaxOpen        int           // jobs that may be open at once, 0 for any number; for the Host

	AskWithin  time.Duration // ask the list at least this often unless subscribed
	AskList    bool          // the list comes only when asked for
	ColdFrom   float64       // a fresh worker's least share of its capacity
	WarmUp     time.Duration // the longest time until it is warm
	FallFactor float64       // work over this multiple of present capacity ...
	FallSpan   time.Duration // ... for this long makes a cold worker fall

	TellsStart bool
	Progress   time.Duration // interval of progress notes, 0 for none
	Memory     bool          // jobs and workers count memory
	NoWeights  bool          // Member.Weight says nothing
	OverShare  float64       // worth of a job beyond its tenant's quota
	CrossPrice float64       // price of a send into another zone
	WorkWorth  bool          // worth is counted by work

	GoalWhole      float64 // weight of all that is served ...
	GoalWorstClass float64 // ... and of the class served worst
}

// Member is one entry of the list of workers.
type Member struct {
	ID        WorkerID
	Condition Condition
	Weight    float64
	Kind      int
	Zone      int
	Cell      int
	// Started is when it last started, on the caller's clock; 0 for long ago. Dispatchers
	// take turns at a cold worker by its age, so they should agree on it to well within
	// Settings.FallSpan.
	Started time.Duration
}

// Job is a request as it arrives.
type Job struct {
	ID       JobID
	Class    int
	Tenant   int // -1 for none
	Key      string
	Patience time.Duration // until the client gives up this try
	Hint     time.Duration // expected work at speed 1; 0 for none
	Slots    float64
	Memory   float64
	Earlier  *Earlier // nil where no attempt from before may have run
}

// Earlier is the first attempt at a job from before its Request, as a queue that outlives the
// process knows of it, that may have had its effect. It binds later attempts as one of the
// Balancer's own would.
type Earlier struct {
	Zone, Cell int           // of its worker
	Ago        time.Duration // since it was sent
}

// Report is a worker's word about its load; a negative figure is absent.
type Report struct {
	InFlight, Queue, Util, ErrorRate, FreeSlots, FreeMemory float64
}

// NoReport returns a Report in which every figure is absent.
func NoReport() Report { return Report{-1, -1, -1, -1, -1, -1} }

// Result is the end of one attempt; each Send gets exactly one.
type Result struct {
	Job     JobID
	Attempt int
	Worker  WorkerID
	Status  Status
	Elapsed time.Duration
	Closed  bool // the request is over, by this or earlier
	Report  Report
}

// Shares are what a fleet's budgets leave to this dispatcher, where it belongs to a fleet that divides
// them. First is asked once for each new job, from inside Request, with its expected work in seconds,
// and must not block: budgeted is false where no budget is the tenant's, and wait is in how long it
// would be admitted. Again is asked before each attempt that may do a job's work once more, one after an
// attempt that may have run or beside one that is out: true takes it from the budget. Sent is told of each
// job's first attempt.
type Shares interface {
	First(tenant int, work float64) (budgeted, ok bool, wait time.Duration)
	Again() bool
	Sent()
}

// Everyone stands for all other dispatchers in Host.Tell.
const Everyone = -1

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
	Wake(after time.Duration, token uint64)
	Watch()
	Fetch()
	Tell(to int, data []byte)
	Probe(w WorkerID)
	Log(text string)
}
