// Package balance decides, for one dispatcher, which worker runs which job and when. The caller passes
// Settings and events to a Balancer, and the Balancer takes actions by calling a Host. api.go has the types
// of this interface, balance.go the event methods.
//
// A Balancer is not safe for concurrent use: one goroutine must own it and call its event methods one
// at a time. The caller owns the clock. Each event carries now, the time since an origin that the
// caller chooses; now must never decrease. An action takes effect at the now of the event that caused
// it, and the Host must not call the Balancer from inside an action.
package balance

import "time"

// JobID identifies a request. A client's retry has a new JobID.
type JobID uint64

// WorkerID identifies a worker. It stays the same when the worker's process restarts.
type WorkerID uint64

// Idempotency describes the effect of running a job more than once.
type Idempotency uint8

// An idempotent job may run any number of times. A deduplicated job may be repeated at the workers in
// its Class.DedupScope during its Class.DedupWindow. A non-idempotent job must never run twice.
const (
	Idempotent Idempotency = iota
	Deduplicated
	NonIdempotent
)

// DedupScope is the set of workers that recognize and drop a repeat of a deduplicated job.
type DedupScope uint8

// The scopes, widest first.
const (
	ScopeFleet DedupScope = iota
	ScopeZone
	ScopeCell
)

// WorkerState is the state of a worker in the membership list.
type WorkerState uint8

// The worker states. A draining worker finishes the jobs that it has; a worker that is gone does not.
const (
	Serving WorkerState = iota
	Draining
	Gone
)

// UpdateKind is the kind of a membership update.
type UpdateKind uint8

// The update kinds.
const (
	UpdateDelta  UpdateKind = iota // only the entries that changed
	UpdateFull                     // all entries; a worker that is not listed is gone
	UpdateCached                   // all entries from a local cache, possibly out of date
	UpdateFailed                   // no entries: a request failed or the subscription broke
)

// Status is the outcome of an attempt or a probe.
type Status uint8

// The statuses. Only StatusFull, StatusUnreachable and StatusNotSent prove that the attempt never ran.
const (
	StatusOK          Status = iota
	StatusError              // the worker returned an error
	StatusFull               // the worker had no room and did not read the job
	StatusTimeout            // no result in time
	StatusUnreachable        // no connection
	StatusReset              // connection lost during the attempt
	StatusCancelled          // cancelled by this dispatcher
	StatusNotSent            // not sent: the request was over, out of time, or had too many attempts
	StatusInvalid            // the job is invalid and any worker would reject it; the Host answers the client
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == StatusFull || s == StatusUnreachable || s == StatusNotSent
}

// String returns the name of the status on the wire and in metrics.
func (s Status) String() string {
	return [...]string{"ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "moot", "unfit"}[s]
}

// EventKind is the kind of event that a worker reports during an attempt.
type EventKind uint8

// The event kinds.
const (
	EventStarted  EventKind = 1
	EventProgress EventKind = 2
)

// Class describes a class of jobs.
type Class struct {
	Name        string
	Target      time.Duration // a job answered within Target + Stretch * its work earns its full worth
	Stretch     float64
	Deadline    time.Duration // how long a client waits in total, including its retries
	Worth       float64
	LateWorth   float64 // fraction of the worth that a job earns after the target
	Idempotency Idempotency
	DedupScope  DedupScope    // Deduplicated only
	DedupWindow time.Duration // Deduplicated only: how long workers recognize a repeat
	Streaming   bool
	WorkerKind  int // the kind of worker that the job needs, or -1 for any
}

// Tenant is a customer with a quota of the fleet's capacity.
type Tenant struct {
	Name  string
	Quota float64 // jobs per second, summed over all dispatchers
}

// Settings is a dispatcher's configuration.
type Settings struct {
	Seed        uint64
	Position    int // index of this dispatcher, from 0; unique in the fleet
	FleetSize   int // number of dispatchers
	Zone        int
	WorkerKinds int
	Classes     []Class
	Tenants     []Tenant

	MaxAttempts       int
	AllowCancel       bool // attempts may be cancelled
	AllowCopies       bool // a job may have two attempts in flight at once
	AllowProbes       bool // the load of a worker may be probed
	AllowPeerMessages bool // dispatchers may send each other messages
	ConnectTimeout    time.Duration
	Tick              time.Duration // shortest time between two distinct event times
	MaxRetryAfter     time.Duration // longest retry delay that clients obey; 0 if they obey none
	ConnIdleTimeout   time.Duration // workers close connections that are idle for this long; used by the Host
	MaxOpenJobs       int           // limit on open jobs, 0 for no limit; used by the Host

	PullInterval   time.Duration // longest interval between requests for the membership list while not subscribed
	PullMembers    bool          // the membership list must be requested
	ColdCapacity   float64       // fraction of its capacity that a worker has when it starts
	WarmUp         time.Duration // longest time until a worker has its full capacity
	OverloadFactor float64       // work beyond this multiple of the current capacity ...
	OverloadWindow time.Duration // ... over this time makes a cold worker fail

	ReportsStart     bool          // workers report when an attempt starts
	ProgressInterval time.Duration // interval of progress events, 0 for none
	TracksMemory     bool          // jobs need memory and workers report free memory
	IgnoreWeights    bool          // Member.Weight carries no information
	OverQuotaWorth   float64       // factor on the worth of a job beyond its tenant's quota
	CrossZonePrice   float64       // cost of sending a job to another zone
	WorthByWork      bool          // jobs count by their work rather than one each

	TotalWeight      float64 // weight of all served jobs in the goal ...
	WorstClassWeight float64 // ... and of the class with the lowest share of jobs served in time
}

// Member is an entry of the membership list.
type Member struct {
	ID     WorkerID
	State  WorkerState
	Weight float64
	Kind   int
	Zone   int
	Cell   int
	// StartedAt is when the worker last started, on the caller's clock; 0 means long ago.
	// Dispatchers take turns at a cold worker by its age, so they should agree on this time to
	// well within Settings.OverloadWindow.
	StartedAt time.Duration
}

// Job is a request as it arrives from a client.
type Job struct {
	ID            JobID
	Class         int           // index in Settings.Classes
	Tenant        int           // index in Settings.Tenants, -1 for none
	Key           string        // identifies data that the job needs; a worker that had a job with the key may have cached it
	ClientTimeout time.Duration // how long the client waits for this request
	ExpectedWork  time.Duration // expected run time on a worker of speed 1; 0 if unknown
	Slots         float64
	Memory        float64
	PriorAttempt  *PriorAttempt // nil if no attempt before this request may have run
}

// PriorAttempt is the first attempt at a job, made before the job was submitted to this Balancer, that
// may have had an effect. A queue that survives a restart of the process knows of such attempts. It
// restricts later attempts as an attempt of this Balancer would.
type PriorAttempt struct {
	Zone, Cell int           // of the worker
	Age        time.Duration // time since it was sent
}

// LoadReport is the load that a worker reports. A negative value is absent.
type LoadReport struct {
	InFlight, Queue       float64 // jobs that run and jobs that wait
	Util, ErrorRate       float64 // fractions
	FreeSlots, FreeMemory float64
}

// NoLoadReport returns a LoadReport in which every value is absent.
func NoLoadReport() LoadReport { return LoadReport{-1, -1, -1, -1, -1, -1} }

// AttemptResult is the result of an attempt. Each Host.Send gets exactly one.
type AttemptResult struct {
	Job     JobID
	Attempt int
	Worker  WorkerID
	Status  Status
	Elapsed time.Duration
	JobDone bool // the request is finished, by this result or earlier
	Report  LoadReport
}

// FleetBudget is this dispatcher's allocation of budgets that are shared by a fleet of dispatchers.
type FleetBudget interface {
	// Admit reports whether a new job of the tenant, of the given expected work in seconds, is
	// admitted. It is called once for each new job, from inside SubmitJob. budgeted is false if the
	// tenant has no budget. If ok is false, wait is the time after which the job would be admitted.
	// It must not block.
	Admit(tenant int, work float64) (budgeted, ok bool, wait time.Duration)
	// AllowRepeat takes one repeat from the budget and reports whether there was one left. It is called
	// before each attempt that may repeat a job's work: after an attempt that may have run, or
	// beside one that is in flight.
	AllowRepeat() bool
	// CountFirstSend counts the first attempt of a job.
	CountFirstSend()
}

// AllPeers addresses all other dispatchers in Host.SendToPeer.
const AllPeers = -1

// Host carries out the actions of a Balancer.
type Host interface {
	// Send starts an attempt at a worker. The attempts of a job are numbered 0, 1, 2, ... in the
	// order of the calls. A timeout of 0 lasts until the client gives up.
	Send(job JobID, to WorkerID, timeout time.Duration)
	// Cancel cancels an attempt.
	Cancel(job JobID, attempt int)
	// Refuse is a final answer: the client may repeat the job after the given delay. After a result
	// with StatusOK no final answer follows, as the client has its answer.
	Refuse(job JobID, retryAfter time.Duration)
	// Fail is a final answer: the job is not served and may have run, so a repeat could do harm.
	Fail(job JobID)
	// SetTimer requests one call of Balancer.TimerFired with the same token. A late call is harmless.
	SetTimer(after time.Duration, token uint64)
	// Watch subscribes to changes of the membership list; Balancer.UpdateMembers delivers them.
	Watch()
	// Fetch requests the complete membership list once; Balancer.UpdateMembers delivers it.
	Fetch()
	// SendToPeer sends at most 256 bytes to the dispatcher at a position, or to AllPeers.
	SendToPeer(to int, data []byte)
	// Probe requests the load of a worker; Balancer.ProbeDone delivers the answer.
	Probe(w WorkerID)
	// Log writes a line for the operator.
	Log(text string)
}
