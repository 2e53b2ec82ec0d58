// Package dispatch is the embeddable core of the dispatcher. It handles requests, their attempts
// and the outcomes, independently of any protocol: protocol servers submit requests and receive one
// final answer for each, a Driver sends attempts to workers, and a Discovery maintains the
// membership list.
//
// One goroutine, Core.Run, owns the balance.Balancer, the requests, the attempts and all timers.
// Every other goroutine calls the methods of Core, which may block briefly while the core is busy.
// The core itself never blocks on another goroutine.
package dispatch

import (
	"sync/atomic"
	"time"

	"tinroute.example/tinroute/balance"
)

// Verdict classifies a final answer.
type Verdict uint8

// The verdicts. Only Refused tells the client that a retry is safe.
const (
	Served Verdict = iota
	Refused
	Failed
)

func (v Verdict) String() string { return [...]string{"served", "refused", "failed"}[v] }

// Answer is the final answer to a request. Every request gets exactly one.
type Answer struct {
	Verdict        Verdict
	Result         []byte        // Served: the worker's result
	RetryAfter     time.Duration // Refused: how long the client should wait before a retry; 0 if unspecified
	TimedOut       bool          // Failed: the deadline passed
	InvalidRequest bool          // Failed: the request itself is invalid, so a retry would fail too
	Reason         string        // Refused and Failed: a short explanation
}

// Client receives the answer to one request. Answer is called at most once, on the core's goroutine
// or within Submit, and must not block.
type Client interface {
	Answer(Answer)
}

// ProgressReceiver is implemented by a Client that wants progress reports. Progress receives the
// fraction of the work that is done, 0 at the start. Several attempts at a request may report
// progress. It is called on the core's goroutine and must not block.
type ProgressReceiver interface {
	Progress(fraction float64)
}

// Request is a client's request, as submitted by a protocol server. The server sets the exported
// fields before Submit; nothing may change them afterwards, except where a field says otherwise.
type Request struct {
	ID           string // assigned by the client
	Class        int
	Tenant       int // -1 for none
	Key          string
	Timeout      time.Duration // how long the client waits for the answer
	ExpectedWork time.Duration // expected run time on a worker of speed 1; 0 if unknown
	Slots        float64
	Memory       float64
	Payload      any // belongs to the protocol server; available to the driver in each attempt
	Client       Client
	TraceParent  string                // the client's traceparent header, or empty
	TraceState   string                // the client's tracestate header, or empty
	PriorAttempt *balance.PriorAttempt // an attempt made before Submit that may have run, or nil

	// Submit sets SubmittedAt to the time of its call and HookDuration to the time that the hook took.
	SubmittedAt  time.Time
	HookDuration time.Duration
	// Delivery records when the answer was written to the client. Submit sets it if there is a
	// PhaseObserver; otherwise it is nil.
	Delivery *Delivery

	jobID            balance.JobID
	deadline         time.Duration // on the core's clock
	attempts         []*Attempt
	attemptsInFlight int
	finished         bool
	abandoned        bool // its client left before the answer
	mayHaveRun       bool // an attempt has ended that may have run
	timeoutTimer     *timer
	unsettledCancels map[balance.WorkerID]int // attempts whose cancellation is not settled, by worker
}

// attemptsExhausted reports whether the attempts, including the one just added, exceed maxAttempts. An
// attempt whose connection was never established did not reach a worker and is not counted, but all
// attempts together are limited to three times maxAttempts. The balancer counts in the same way.
func (r *Request) attemptsExhausted(maxAttempts int) bool {
	counted := 0
	for _, attempt := range r.attempts {
		if !attempt.unreachable {
			counted++
		}
	}
	return counted > maxAttempts || len(r.attempts) > 3*maxAttempts
}

// Worker is an entry of the membership list.
type Worker struct {
	balance.Member
	Name string
	Addr string
}

// Attempt is one attempt to have a worker serve a request.
type Attempt struct {
	Request    *Request
	Index      int
	Worker     Worker
	Timeout    time.Duration // how long the core waits for the outcome
	SameWorker bool          // an earlier attempt at the request went to this worker and has ended
	// TraceParent is the traceparent sent to the worker, if the protocol has a field for it. Only an
	// observer may set it, and only in AttemptSent.
	TraceParent string

	createdAt       time.Time // when Timeout began to run, by the system clock
	eventTimes      [attemptEventCount]atomic.Int64
	sentAt          time.Duration // on the core's clock
	done            bool          // the balancer has received the outcome
	settled         bool          // the driver no longer uses it
	cancelRequested bool          // the driver has been asked to cancel it
	notSent         bool          // it was never passed to the driver
	started         bool          // the worker has reported that it began
	unreachable     bool          // the connection was never established, so it does not count as an attempt
	timeoutTimer    *timer
	counts          *classCounts // the counters of the request's class
}

// Remaining returns the unused part of Timeout. It is less than Timeout if the attempt has waited
// for a connection. Drivers send it to the worker, which would otherwise keep working for a client
// that no longer waits.
func (a *Attempt) Remaining() time.Duration {
	return max(0, a.Timeout-time.Since(a.createdAt))
}

// Delivery records when the last byte of an answer was written, or when writing it failed. It is
// safe for concurrent use.
type Delivery struct{ completed, failed atomic.Int64 }

// Record sets the time of completion or, if complete is false, of failure to now. Only the first call for
// each of the two has an effect.
func (d *Delivery) Record(complete bool) {
	target := &d.completed
	if !complete {
		target = &d.failed
	}
	target.CompareAndSwap(0, int64(time.Since(timeOrigin)))
}

// Time returns the recorded time and whether the answer was written completely. It returns ok false
// if nothing has been recorded.
func (d *Delivery) Time() (at time.Time, complete, ok bool) {
	if offset := d.completed.Load(); offset != 0 {
		return timeOrigin.Add(time.Duration(offset)), true, true
	}
	offset := d.failed.Load()
	return timeOrigin.Add(time.Duration(offset)), false, offset != 0
}

// AttemptEvent is a step of an attempt that its driver observes.
type AttemptEvent uint8

// The events of an attempt, in order of occurrence. The driver records the first three,
// Core.AttemptEnded records the last.
const (
	Connected AttemptEvent = iota // a connection is assigned
	Written                       // the last byte of the request has been written
	Accepted                      // the worker has accepted it
	Reported                      // the driver has reported the outcome
	attemptEventCount
)

// timeOrigin is the base of the recorded times, which are stored as monotonic offsets from it.
var timeOrigin = time.Now()

// RecordEvent records the current time as that of the event, unless the event has one already. It is
// safe for concurrent use.
func (a *Attempt) RecordEvent(event AttemptEvent) {
	if a.eventTimes[event].CompareAndSwap(0, int64(time.Since(timeOrigin))) && event == Written && a.counts != nil {
		a.counts.written.Add(1)
	}
}

// EventTime returns the recorded time of an event, or the zero time if there is none.
func (a *Attempt) EventTime(event AttemptEvent) time.Time {
	if offset := a.eventTimes[event].Load(); offset != 0 {
		return timeOrigin.Add(time.Duration(offset))
	}
	return time.Time{}
}

// Driver sends attempts to workers. Its methods are called on the core's goroutine and must not
// block. For each Start the driver calls Core.AttemptEnded. After Cancel it does so once the worker
// can no longer run the attempt, with balance.StatusCancelled unless it knows of another outcome,
// and never if it cannot find out. Until then the core sends later attempts at the request to other
// workers. The core enforces all time limits itself.
type Driver interface {
	Start(*Attempt)
	Cancel(*Attempt)
	// UpdateMembers passes the complete list of workers after each change.
	UpdateMembers([]Worker)
}

// Discovery maintains the membership list. Watch subscribes to changes: missed changes arrive
// first, through Core.UpdateMembers, and failures through Core.DiscoveryFailed. Fetch requests the
// complete list once. Neither method blocks.
type Discovery interface {
	Watch()
	Fetch()
}

// Hook inspects each request before the core processes it, on the goroutine that submits it. It may
// set Tenant and ExpectedWork, or refuse the request: then nothing is sent to a worker and the returned
// answer states the reason. It cannot choose a worker.
type Hook interface {
	OnRequest(request *Request) (refused *Answer)
}

// PhaseObserver is an Observer that is also notified when a worker starts an attempt and when a
// worker drains. Its methods are called on the core's goroutine and must not block. The delivery of
// the answer to the client is recorded in Request.Delivery, without involving the core.
type PhaseObserver interface {
	AttemptStarted(attempt *Attempt)
	// WorkerDrained reports that discovery lists a worker as draining or gone that was serving before.
	// Nothing new is sent to it from now on.
	WorkerDrained(worker Worker)
}

// Observer is notified of the lifecycle of requests and attempts. Its methods are called on the
// core's goroutine and must not block. Each RequestStarted is followed by either RequestAnswered or
// RequestCancelled, and each AttemptSent by AttemptEnded, possibly after the request is over.
type Observer interface {
	RequestStarted(request *Request)
	AttemptSent(attempt *Attempt)
	AttemptCancelled(attempt *Attempt)
	AttemptEnded(attempt *Attempt, status balance.Status, elapsed time.Duration)
	RequestAnswered(request *Request, answer Answer)
	RequestCancelled(request *Request)
}
