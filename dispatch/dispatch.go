// Package dispatch is the embeddable core of the dispatcher. It deals in requests, the
// attempts at them and their outcomes, and knows no wire: servers of each protocol hand it requests
// and are given one final answer for each, and drivers carry attempts to workers and keep the
// membership list of discovery.
//
// One goroutine, Core.Run, owns the balance.Balancer, the requests, the attempts
// and all timers. Every other goroutine speaks to it through the methods of Core, which
// may block for a moment while the core is busy; the core itself never waits for anyone.
package dispatch

import (
	"sync/atomic"
	"time"

	"tinroute.example/tinroute/balance"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts. Only a Refused one tells the client that trying again is harmless.
const (
	Served Verdict = iota
	Refused
	Failed
)

func (v Verdict) String() string { return [...]string{"served", "refused", "failed"}[v] }

// Answer is the one final answer of a request.
type Answer struct {
	Verdict        Verdict
	Result         []byte        // Served: what the worker gave
	RetryAfter     time.Duration // Refused: when to come back, 0 for no advice
	TimedOut       bool          // Failed: its time had run out
	InvalidRequest bool          // Failed: the request itself is at fault, and would fail again
	Reason         string        // not served: why, in a few words
}

// Client is the client's side of one request. Answer is called once at most, from
// the core's goroutine, and must not block.
type Client interface {
	Answer(Answer)
}

// ProgressReceiver is a Client that wants to hear of progress: the share done, 0 at the
// start. Several attempts of a request may tell of theirs. The same terms hold as
// for Answer.
type ProgressReceiver interface {
	Progress(share float64)
}

// Request is a client's request as a protocol's server submits it. The exported fields are the front's
// to set before Submit and no one's to change after.
type Request struct {
	ID           string // the client's name for it
	Class        int
	Tenant       int // -1 for none
	Key          string
	Timeout      time.Duration // until the client gives up
	WorkHint     time.Duration // expected work, 0 for none
	Slots        float64
	Memory       float64
	Payload      any // the front's own; drivers find it at each attempt
	Client       Client
	TraceParent  string                // a traceparent that the client sent, or empty
	TraceState   string                // a tracestate that came with it, or empty
	PriorAttempt *balance.PriorAttempt // an attempt from before the Submit that may have run, or nil

	// Asked is when Submit was called, and Hooked how long the hook took; Submit sets them.
	SubmittedAt  time.Time
	HookDuration time.Duration
	// Wrote is where the front notes that the answer is written; nil where no one asks.
	Delivery *Delivery

	job       balance.JobID
	end       time.Duration
	attempts  []*Attempt
	out       int
	over      bool
	guard     *timer
	unsettled map[balance.WorkerID]int
}

// spent tells whether the attempts, counting the one just added, are more than the most
// attempts. One whose connection never came up arrived nowhere and is none; attempts of all
// kinds stop at three times as many. The balancer counts alike.
func (request *Request) spent(most int) bool {
	n := 0
	for _, t := range request.attempts {
		if !t.unreached {
			n++
		}
	}
	return n > most || len(request.attempts) > 3*most
}

// Worker is one entry of the membership list.
type Worker struct {
	balance.Member
	Name string
	Addr string
}

// Attempt is one attempt at a request, at one worker.
type Attempt struct {
	Request    *Request
	Index      int
	Worker     Worker
	Timeout    time.Duration // how long the core will wait for it
	SameWorker bool          // an earlier attempt of the request went to this worker, and has ended
	// Trace is a traceparent to hand to the worker, where the front has a place for it. An
	// observer may set it when the attempt is Sent, and no one later.
	TraceParent string

	sentAt    time.Time // when Wait was counted from, by the system's clock
	marks     [marks]atomic.Int64
	sent      time.Duration
	done      bool // its outcome has been given to the balancer
	settled   bool // the driver holds nothing of it any more
	withdrawn bool
	unsent    bool // it never left: the driver was not told of it
	started   bool
	unreached bool // its connection never came up: it arrived nowhere, and is no attempt
	limit     *timer
	counted   *classCounts // where its being written whole is counted
}

// Remaining is what is left of Wait: an attempt may have waited for its connection. It is what a
// worker is told, which would otherwise work on for a client that has given up.
func (t *Attempt) Remaining() time.Duration {
	return max(0, t.Timeout-time.Since(t.sentAt))
}

// Delivery is the instant at which an answer's last byte was written, or could not be. Any
// goroutine may set and read it.
type Delivery struct{ at, failed atomic.Int64 }

// Record notes the instant, once.
func (w *Delivery) Record(whole bool) {
	to := &w.at
	if !whole {
		to = &w.failed
	}
	to.CompareAndSwap(0, int64(time.Since(origin)))
}

// Time returns the instant, or false where nothing has been told.
func (w *Delivery) Time() (at time.Time, whole, ok bool) {
	if d := w.at.Load(); d != 0 {
		return origin.Add(time.Duration(d)), true, true
	}
	d := w.failed.Load()
	return origin.Add(time.Duration(d)), false, d != 0
}

// AttemptEvent is an instant on an attempt's way that its driver knows.
type AttemptEvent uint8

// The marks, in the order of the way. The first three are the driver's to set, the last is set
// by Ended.
const (
	Connected AttemptEvent = iota // it has a connection
	Written                       // the last byte has been written
	Accepted                      // the worker has taken it
	Reported                      // the driver has learned of its end
	marks
)

var origin = time.Now()

// RecordEvent sets a mark to now, unless it is set. Any goroutine may call it.
func (t *Attempt) RecordEvent(m AttemptEvent) {
	if t.marks[m].CompareAndSwap(0, int64(time.Since(origin))) && m == Written && t.counted != nil {
		t.counted.written.Add(1)
	}
}

// EventTime is when a mark was set, the zero time where it was not.
func (t *Attempt) EventTime(m AttemptEvent) time.Time {
	if d := t.marks[m].Load(); d != 0 {
		return origin.Add(time.Duration(d))
	}
	return time.Time{}
}

// Driver carries attempts to workers. Its methods are called from the core's goroutine and must
// not block. For each Start the driver calls Core.Ended; after Cancel it does so when the
// worker can no longer take the attempt up, with balance.StatusCancelled unless it learned of
// another outcome, and never if it cannot find out. Until then the core sends the
// request's later attempts elsewhere, and it keeps all time limits itself.
type Driver interface {
	Start(*Attempt)
	Cancel(*Attempt)
	// Listed tells which workers there are, whenever that changes.
	UpdateMembers([]Worker)
}

// Discovery keeps the membership list. Watch subscribes to changes from now on; what was missed comes
// first, by Core.UpdateMembers, and a failure by Core.UpdateFailed. Fetch asks for the whole list
// once. Neither blocks.
type Discovery interface {
	Watch()
	Fetch()
}

// Hook looks at a request before the core does, on the goroutine that submits it. It
// may set Tenant and Hint, or refuse: then nothing is sent, and the answer says why. It
// never chooses a worker.
type Hook interface {
	OnRequest(request *Request) (refused *Answer)
}

// PhaseObserver is an Observer that is told of more, on the same terms: that a worker has begun
// with an attempt, and of drains. What a front tells of an answer's way to its client is in
// Request.Wrote, and asks nothing of the core.
type PhaseObserver interface {
	AttemptStarted(t *Attempt)
	// Drained tells that discovery has named a worker as draining or gone that served
	// before: nothing new is sent there from now on.
	WorkerDrained(r Worker)
}

// Observer is told of what the core does, from the core's goroutine; it must not block.
// Every request that Began is either Answered or has Left, and every attempt that was
// Sent has Ended, perhaps after that.
type Observer interface {
	RequestStarted(request *Request)
	AttemptSent(t *Attempt)
	AttemptCancelled(t *Attempt)
	AttemptEnded(t *Attempt, s balance.Status, elapsed time.Duration)
	RequestAnswered(request *Request, a Answer)
	RequestCancelled(request *Request)
}
