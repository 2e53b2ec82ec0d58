package telemetry

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/tailsampling"
)

const (
	// requestRecordBytes and attemptRecordBytes are the estimated memory of a record, including its strings
	// and its share of maps and queues.
	requestRecordBytes = 900
	attemptRecordBytes = 450
	// maxDeliveryWait is how long a trace waits for the server to report that the answer is written.
	maxDeliveryWait = 5 * time.Second
)

// requestRecord collects the events of one request.
type requestRecord struct {
	id, traceParent, traceState string // the client's traceparent and tracestate
	class, tenant               int
	spanContext                 trace.SpanContext
	submittedAt                 time.Time // when Submit was called
	hookDuration                time.Duration
	startedAt                   time.Time // when the core started the request
	answeredAt                  time.Time // when the answer was known or the client left
	writtenAt                   time.Time // when writing the answer ended; answeredAt if that was not reported
	fullyWritten                bool      // the last byte of the answer was written
	answer                      dispatch.Answer
	clientLeft                  bool
	attempts                    []*attemptRecord
	inFlight                    int   // attempts that have not ended
	bytes                       int64 // reserved memory
	delivery                    *dispatch.Delivery
	minimal                     bool // no memory was left: only metrics are recorded
}

// attemptRecord collects the events of one attempt.
type attemptRecord struct {
	attempt      *dispatch.Attempt // nil after it has ended
	index        int
	worker       string
	zone         int
	kind         int
	spanContext  trace.SpanContext
	sentAt       time.Time
	eventTimes   [4]time.Time // by dispatch.AttemptEvent
	startedAt    time.Time
	cancelledAt  time.Time
	endedAt      time.Time
	status       balance.Status
	copyOf       int    // index of the attempt still in flight when this one was sent, or -1
	retryOf      int    // index of the ended attempt after which this one was sent, or -1
	resendReason string // for a copy or a retry
}

// Observer records the requests and attempts of one core and queues the complete records. It implements
// dispatch.Observer and dispatch.PhaseObserver. Its methods run on the core's goroutine, which owns the
// maps.
type Observer struct {
	telemetry       *Telemetry
	server          string
	settings        *balance.Settings
	openRequests    map[*dispatch.Request]*requestRecord
	serverAttribute metric.MeasurementOption
}

// RequestStarted creates a record for the request.
func (o *Observer) RequestStarted(request *dispatch.Request) {
	now := time.Now()
	if !o.telemetry.reserve(requestRecordBytes) {
		o.openRequests[request] = &requestRecord{minimal: true}
		return
	}
	record := &requestRecord{delivery: request.Delivery, id: request.ID,
		traceParent: request.TraceParent, traceState: request.TraceState,
		class: request.Class, tenant: request.Tenant,
		submittedAt: request.SubmittedAt, hookDuration: request.HookDuration,
		startedAt: now, bytes: requestRecordBytes}
	if record.submittedAt.IsZero() {
		record.submittedAt = now
	}
	parent := trace.SpanContext{}
	if request.TraceParent != "" {
		parent = parseTraceParent(request.TraceParent, request.TraceState)
	}
	record.spanContext = newSpanContext(parent)
	o.openRequests[request] = record
	o.telemetry.addOpenSpan(request.ID, record.spanContext)
}

// parseTraceParent parses a client's traceparent and tracestate headers (W3C Trace Context).
func parseTraceParent(parent, state string) trace.SpanContext {
	ctx := propagation.TraceContext{}.Extract(background, propagation.MapCarrier{"traceparent": parent, "tracestate": state})
	return trace.SpanContextFromContext(ctx)
}

// newSpanContext returns a new span ID in the parent's trace, or in a new trace if parent is invalid.
func newSpanContext(parent trace.SpanContext) trace.SpanContext {
	config := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, TraceState: parent.TraceState(), TraceID: parent.TraceID()}
	if !parent.IsValid() {
		binary.BigEndian.PutUint64(config.TraceID[:], rand.Uint64())
		binary.BigEndian.PutUint64(config.TraceID[8:], rand.Uint64()|1)
	}
	binary.BigEndian.PutUint64(config.SpanID[:], rand.Uint64()|1)
	return trace.NewSpanContext(config)
}

// AttemptSent records the attempt and sets the traceparent that is sent to the worker.
func (o *Observer) AttemptSent(attempt *dispatch.Attempt) {
	record := o.openRequests[attempt.Request]
	if record == nil || record.minimal {
		return
	}
	o.telemetry.forceReserve(attemptRecordBytes) // a small amount, and a trace that lacks an attempt is useless
	record.bytes += attemptRecordBytes
	entry := &attemptRecord{attempt: attempt, index: attempt.Index,
		worker: attempt.Worker.Name, zone: attempt.Worker.Zone, kind: attempt.Worker.Kind,
		spanContext: newSpanContext(record.spanContext), sentAt: time.Now(),
		copyOf: -1, retryOf: -1}
	for i, earlier := range record.attempts {
		switch {
		case earlier.endedAt.IsZero():
			entry.copyOf, entry.resendReason = i, "overdue"
		case entry.copyOf < 0:
			entry.retryOf, entry.resendReason = i, earlier.status.String()
		}
	}
	if entry.copyOf >= 0 {
		entry.retryOf = -1
	}
	record.attempts = append(record.attempts, entry)
	record.inFlight++
	traceID, spanID := entry.spanContext.TraceID(), entry.spanContext.SpanID()
	header := make([]byte, 0, 55)
	header = append(header, "00-"...)
	header = hex.AppendEncode(header, traceID[:])
	header = append(header, '-')
	header = hex.AppendEncode(header, spanID[:])
	attempt.TraceParent = string(append(header, "-01"...))
}

// findAttempt returns the record of the attempt's request and that of the attempt, each nil if there is
// none.
func (o *Observer) findAttempt(attempt *dispatch.Attempt) (*requestRecord, *attemptRecord) {
	record := o.openRequests[attempt.Request]
	if record != nil {
		for _, entry := range record.attempts {
			if entry.attempt == attempt {
				return record, entry
			}
		}
	}
	return record, nil
}

// AttemptStarted records that the worker reported the start of the attempt.
func (o *Observer) AttemptStarted(attempt *dispatch.Attempt) {
	if _, entry := o.findAttempt(attempt); entry != nil && entry.startedAt.IsZero() {
		entry.startedAt = time.Now()
	}
}

// AttemptCancelled records that the core cancelled the attempt.
func (o *Observer) AttemptCancelled(attempt *dispatch.Attempt) {
	if _, entry := o.findAttempt(attempt); entry != nil {
		entry.cancelledAt = time.Now()
	}
}

// AttemptEnded records the outcome of the attempt.
func (o *Observer) AttemptEnded(attempt *dispatch.Attempt, status balance.Status, _ time.Duration) {
	record, entry := o.findAttempt(attempt)
	if entry == nil {
		return
	}
	entry.endedAt, entry.status, entry.attempt = time.Now(), status, nil
	for event := range entry.eventTimes {
		entry.eventTimes[event] = attempt.EventTime(dispatch.AttemptEvent(event))
	}
	record.inFlight--
	o.enqueueIfComplete(attempt.Request, record)
}

// RequestAnswered records the final answer.
func (o *Observer) RequestAnswered(request *dispatch.Request, answer dispatch.Answer) {
	answer.Result = nil // not exported, and possibly large
	o.endRequest(request, answer, false)
}

// RequestCancelled records that the client left.
func (o *Observer) RequestCancelled(request *dispatch.Request) {
	o.endRequest(request, dispatch.Answer{}, true)
}

func (o *Observer) endRequest(request *dispatch.Request, answer dispatch.Answer, clientLeft bool) {
	record := o.openRequests[request]
	if record == nil {
		return
	}
	now := time.Now()
	o.telemetry.removeOpenSpan(request.ID)
	if record.minimal {
		delete(o.openRequests, request)
		o.telemetry.enqueueMinimal(minimalRecord{o, request.Class, answer, clientLeft, now.Sub(request.SubmittedAt)})
		return
	}
	record.answeredAt, record.answer, record.clientLeft = now, answer, clientLeft
	o.enqueueIfComplete(request, record)
}

// WorkerDrained counts a worker that is draining or gone.
func (o *Observer) WorkerDrained(dispatch.Worker) {
	o.telemetry.drains.Add(background, 1, o.serverAttribute)
}

// enqueueIfComplete queues the record once the request is answered and all its attempts have ended.
func (o *Observer) enqueueIfComplete(request *dispatch.Request, record *requestRecord) {
	if !record.answeredAt.IsZero() && record.inFlight == 0 {
		delete(o.openRequests, request)
		o.telemetry.enqueue(endedRecord{o, record})
	}
}

// deliverySettled reports whether to stop waiting for the server to write the answer. It copies what the
// server has reported to the record.
func (r *requestRecord) deliverySettled(now time.Time) bool {
	if r.clientLeft || r.delivery == nil {
		r.writtenAt = r.answeredAt
		return true
	}
	at, fullyWritten, ok := r.delivery.Time()
	if r.writtenAt = at; !ok {
		r.writtenAt = r.answeredAt
	}
	r.fullyWritten = fullyWritten
	return ok || now.Sub(r.answeredAt) >= maxDeliveryWait
}

// phase is a named part of the time of a request or an attempt.
type phase struct {
	name       string
	start, end time.Time
}

// phases divides the attempt's time into consecutive phases without gaps. Each is named after the event
// that was awaited.
func (a *attemptRecord) phases() (phases []phase) {
	phaseStart := a.sentAt
	addPhase := func(name string, to time.Time) {
		if to.After(phaseStart) {
			phases = append(phases, phase{name, phaseStart, to})
			phaseStart = to
		}
	}
	end := a.endedAt
	if !a.cancelledAt.IsZero() && a.cancelledAt.Before(end) {
		end = a.cancelledAt
	}
	steps := []struct {
		name string
		to   time.Time
	}{{"connect", a.eventTimes[dispatch.Connected]}, {"write", a.eventTimes[dispatch.Written]}, {"accept", a.eventTimes[dispatch.Accepted]},
		{"region.queue", a.startedAt}, {"run", a.eventTimes[dispatch.Reported]}}
	reached := 0
	for i, step := range steps {
		if !step.to.IsZero() && !step.to.After(end) {
			addPhase(step.name, step.to)
			reached = i + 1
		}
	}
	switch {
	case end != a.endedAt:
		if reached < len(steps) {
			addPhase(steps[reached].name, end)
		}
		addPhase("cancel", a.endedAt)
	case reached < len(steps):
		addPhase(steps[reached].name, end)
	default:
		addPhase("callback", end)
	}
	return phases
}

// phases divides the time from Submit to the answer's last byte into consecutive phases without gaps: the
// hook, time with no attempt in flight, the attempts, and writing the answer to the client.
func (r *requestRecord) phases() (phases []phase) {
	phaseStart := r.submittedAt
	addPhase := func(name string, end time.Time) {
		if end.After(phaseStart) {
			phases = append(phases, phase{name, phaseStart, end})
			phaseStart = end
		}
	}
	if r.hookDuration > 0 {
		addPhase("hook", r.submittedAt.Add(r.hookDuration))
	}
	for _, attempt := range r.attempts { // in the order in which they were sent
		if attempt.sentAt.Before(r.answeredAt) {
			addPhase("queue", attempt.sentAt)
			end := attempt.endedAt
			if end.After(r.answeredAt) {
				end = r.answeredAt
			}
			addPhase("task", end)
		}
	}
	if r.servedAttempt() != nil {
		addPhase("callback", r.answeredAt)
	} else {
		addPhase("queue", r.answeredAt)
	}
	addPhase("reply", r.writtenAt)
	return phases
}

// endTime returns when the answer was known or, if later, when it was written.
func (r *requestRecord) endTime() time.Time {
	if r.writtenAt.After(r.answeredAt) {
		return r.writtenAt
	}
	return r.answeredAt
}

// servedAttempt returns the attempt whose result became the answer, or nil.
func (r *requestRecord) servedAttempt() *attemptRecord {
	for _, attempt := range r.attempts {
		if attempt.status == balance.StatusOK && !attempt.endedAt.IsZero() {
			return attempt
		}
	}
	return nil
}

// isLate reports whether the request was served after its target time. That is the class's target, plus
// its stretch factor times the running time of the attempt if the worker reported the start.
func (r *requestRecord) isLate(class *balance.Class) bool {
	target := class.Target
	if attempt := r.servedAttempt(); attempt != nil && !attempt.startedAt.IsZero() {
		target += time.Duration(class.Stretch * float64(attempt.endedAt.Sub(attempt.startedAt)))
	}
	return r.answer.Verdict == dispatch.Served && !r.clientLeft && class.Target > 0 && r.endTime().Sub(r.submittedAt) > target
}

// summary returns the properties on which the sampling decision depends.
func (r *requestRecord) summary(class *balance.Class) tailsampling.TraceSummary {
	return tailsampling.TraceSummary{Bytes: r.bytes,
		Failed:  r.clientLeft || r.answer.Verdict == dispatch.Failed,
		Refused: !r.clientLeft && r.answer.Verdict == dispatch.Refused,
		Late:    r.isLate(class), Repeated: len(r.attempts) > 1, Duration: r.endTime().Sub(r.submittedAt)}
}

// verdict returns the verdict as it is named in spans and metrics.
func (r *requestRecord) verdict() string {
	if r.clientLeft {
		return "left"
	}
	return r.answer.Verdict.String()
}
