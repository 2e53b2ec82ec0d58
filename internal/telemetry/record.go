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

// What a record is taken to hold in memory, with its strings and its place in maps and queues.
const (
	recordBytes = 900
	taskBytes   = 450
	// settleWait is how long a trace is kept open for a front to tell that the answer is written.
	settleWait = 5 * time.Second
)

// record is what is known of one transaction.
type record struct {
	id, trace, state string // the client's traceparent and tracestate
	class, tenant    int
	ids              trace.SpanContext
	asked            time.Time // Submit was called
	hooked           time.Duration
	began            time.Time // the core has it
	answered         time.Time
	written          time.Time // zero where the front told nothing
	whole            bool      // the last byte was written
	answer           dispatch.Answer
	left             bool
	tasks            []*taskRecord
	out              int
	bytes            int64
	wrote            *dispatch.Delivery
	bare             bool // there was no memory for more than the metrics
}

// taskRecord is what is known of one routed task.
type taskRecord struct {
	task      *dispatch.Attempt // until it has ended
	no        int
	region    string
	zone      int
	kind      int
	ids       trace.SpanContext
	sent      time.Time
	marks     [4]time.Time // by dispatch.Mark
	started   time.Time
	withdrawn time.Time
	ended     time.Time
	status    balance.Status
	copyOf    int // the task it was sent beside, -1 for none
	retryOf   int // the task it was sent after, -1 for none
	why       string
}

// Observer watches one core. Its methods run on the core's goroutine, which owns the maps; they
// note what happens and hand whole records on.
type Observer struct {
	t         *Telemetry
	front     string
	settings  *balance.Settings
	open      map[*dispatch.Request]*record
	frontOnly metric.MeasurementOption
}

// RequestStarted opens a record.
func (o *Observer) RequestStarted(tx *dispatch.Request) {
	now := time.Now()
	if !o.t.reserve(recordBytes) {
		o.open[tx] = &record{bare: true}
		return
	}
	r := &record{wrote: tx.Delivery, id: tx.ID, trace: tx.TraceParent, state: tx.TraceState, class: tx.Class, tenant: tx.Tenant, asked: tx.SubmittedAt, hooked: tx.HookDuration,
		began: now, bytes: recordBytes}
	if r.asked.IsZero() {
		r.asked = now
	}
	parent := trace.SpanContext{}
	if tx.TraceParent != "" {
		parent = remote(tx.TraceParent, tx.TraceState)
	}
	r.ids = newIDs(parent)
	o.open[tx] = r
	o.t.live(tx.ID, r.ids)
}

// remote reads a client's word on its own span (W3C Trace Context).
func remote(parent, state string) trace.SpanContext {
	ctx := propagation.TraceContext{}.Extract(background, propagation.MapCarrier{"traceparent": parent, "tracestate": state})
	return trace.SpanContextFromContext(ctx)
}

// newIDs names a span, in the parent's trace where there is one.
func newIDs(parent trace.SpanContext) trace.SpanContext {
	c := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, TraceState: parent.TraceState(), TraceID: parent.TraceID()}
	if !parent.IsValid() {
		binary.BigEndian.PutUint64(c.TraceID[:], rand.Uint64())
		binary.BigEndian.PutUint64(c.TraceID[8:], rand.Uint64()|1)
	}
	binary.BigEndian.PutUint64(c.SpanID[:], rand.Uint64()|1)
	return trace.NewSpanContext(c)
}

// AttemptSent notes a routed task, and names its span to the region.
func (o *Observer) AttemptSent(t *dispatch.Attempt) {
	r := o.open[t.Request]
	if r == nil || r.bare {
		return
	}
	o.t.take(taskBytes) // it is small, and a trace without one of its tasks is worth nothing
	r.bytes += taskBytes
	k := &taskRecord{task: t, no: t.Index, region: t.Worker.Name, zone: t.Worker.Zone, kind: t.Worker.Kind, ids: newIDs(r.ids), sent: time.Now(),
		copyOf: -1, retryOf: -1}
	for i, p := range r.tasks {
		switch {
		case p.ended.IsZero():
			k.copyOf, k.why = i, "overdue"
		case k.copyOf < 0:
			k.retryOf, k.why = i, p.status.String()
		}
	}
	if k.copyOf >= 0 {
		k.retryOf = -1
	}
	r.tasks = append(r.tasks, k)
	r.out++
	id, span := k.ids.TraceID(), k.ids.SpanID()
	b := make([]byte, 0, 55)
	b = append(b, "00-"...)
	b = hex.AppendEncode(b, id[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, span[:])
	t.TraceParent = string(append(b, "-01"...))
}

func (o *Observer) find(t *dispatch.Attempt) (*record, *taskRecord) {
	r := o.open[t.Request]
	if r != nil {
		for _, k := range r.tasks {
			if k.task == t {
				return r, k
			}
		}
	}
	return r, nil
}

// AttemptStarted notes a region's word that it has begun.
func (o *Observer) AttemptStarted(t *dispatch.Attempt) {
	if _, k := o.find(t); k != nil && k.started.IsZero() {
		k.started = time.Now()
	}
}

// AttemptCancelled notes that a task is given up.
func (o *Observer) AttemptCancelled(t *dispatch.Attempt) {
	if _, k := o.find(t); k != nil {
		k.withdrawn = time.Now()
	}
}

// AttemptEnded notes a task's outcome.
func (o *Observer) AttemptEnded(t *dispatch.Attempt, status balance.Status, _ time.Duration) {
	r, k := o.find(t)
	if k == nil {
		return
	}
	k.ended, k.status, k.task = time.Now(), status, nil
	for m := range k.marks {
		k.marks[m] = t.EventTime(dispatch.AttemptEvent(m))
	}
	r.out--
	o.perhaps(t.Request, r)
}

// RequestAnswered notes the final answer.
func (o *Observer) RequestAnswered(tx *dispatch.Request, a dispatch.Answer) {
	a.Result = nil // it may be large, and says nothing here
	o.over(tx, a, false)
}

// RequestCancelled notes that the client is gone.
func (o *Observer) RequestCancelled(tx *dispatch.Request) { o.over(tx, dispatch.Answer{}, true) }

func (o *Observer) over(tx *dispatch.Request, a dispatch.Answer, left bool) {
	r := o.open[tx]
	if r == nil {
		return
	}
	now := time.Now()
	o.t.dead(tx.ID)
	if r.bare {
		delete(o.open, tx)
		o.t.bare(bare{o, tx.Class, a, left, now.Sub(tx.SubmittedAt)})
		return
	}
	r.answered, r.answer, r.left = now, a, left
	o.perhaps(tx, r)
}

// WorkerDrained counts a region that is told to drain, or gone.
func (o *Observer) WorkerDrained(dispatch.Worker) { o.t.drains.Add(background, 1, o.frontOnly) }

// perhaps hands a record on once the core has nothing more to tell.
func (o *Observer) perhaps(tx *dispatch.Request, r *record) {
	if !r.answered.IsZero() && r.out == 0 {
		delete(o.open, tx)
		o.t.hand(ended{o, r})
	}
}

// complete tells whether the front, too, has nothing more to tell by now, and takes up what it told.
func (r *record) complete(now time.Time) bool {
	if r.left || r.wrote == nil {
		r.written = r.answered
		return true
	}
	at, whole, ok := r.wrote.Time()
	if r.written = at; !ok {
		r.written = r.answered
	}
	r.whole = whole
	return ok || now.Sub(r.answered) >= settleWait
}

// phase is a stretch of a request's time.
type phase struct {
	name     string
	from, to time.Time
}

// phases cuts a task's time into stretches without gaps: each is named after what was waited for.
func (k *taskRecord) phases() (all []phase) {
	at := k.sent
	cut := func(name string, to time.Time) {
		if to.After(at) {
			all = append(all, phase{name, at, to})
			at = to
		}
	}
	end := k.ended
	if !k.withdrawn.IsZero() && k.withdrawn.Before(end) {
		end = k.withdrawn
	}
	steps := []struct {
		name string
		to   time.Time
	}{{"connect", k.marks[dispatch.Connected]}, {"write", k.marks[dispatch.Written]}, {"accept", k.marks[dispatch.Accepted]},
		{"region.queue", k.started}, {"run", k.marks[dispatch.Reported]}}
	reached := 0
	for i, s := range steps {
		if !s.to.IsZero() && !s.to.After(end) {
			cut(s.name, s.to)
			reached = i + 1
		}
	}
	switch {
	case end != k.ended:
		if reached < len(steps) {
			cut(steps[reached].name, end)
		}
		cut("cancel", k.ended)
	case reached < len(steps):
		cut(steps[reached].name, end)
	default:
		cut("callback", end)
	}
	return all
}

// phases cuts the request's own time, from Submit to the answer's last byte, into stretches without
// gaps: the hook, waiting with no task out, tasks, and the answer's way to the client.
func (r *record) phases() (all []phase) {
	at := r.asked
	cut := func(name string, to time.Time) {
		if to.After(at) {
			all = append(all, phase{name, at, to})
			at = to
		}
	}
	if r.hooked > 0 {
		cut("hook", r.asked.Add(r.hooked))
	}
	for _, k := range r.tasks { // in the order of their sends
		if k.sent.Before(r.answered) {
			cut("queue", k.sent)
			to := k.ended
			if to.After(r.answered) {
				to = r.answered
			}
			cut("task", to)
		}
	}
	if r.served() != nil {
		cut("callback", r.answered)
	} else {
		cut("queue", r.answered)
	}
	cut("reply", r.written)
	return all
}

// end is the instant of the last thing that belongs to the request.
func (r *record) end() time.Time {
	if r.written.After(r.answered) {
		return r.written
	}
	return r.answered
}

// served is the task whose result was the answer, or nil.
func (r *record) served() *taskRecord {
	for _, k := range r.tasks {
		if k.status == balance.StatusOK && !k.ended.IsZero() {
			return k
		}
	}
	return nil
}

// late tells whether an answer came after its class's aim: the aim, and the stretch times its own
// running time, where a region told of its start.
func (r *record) late(c *balance.Class) bool {
	aim := c.Target
	if k := r.served(); k != nil && !k.started.IsZero() {
		aim += time.Duration(c.Stretch * float64(k.ended.Sub(k.started)))
	}
	return r.answer.Verdict == dispatch.Served && !r.left && c.Target > 0 && r.end().Sub(r.asked) > aim
}

func (r *record) summary(c *balance.Class) tailsampling.Trace {
	return tailsampling.Trace{Bytes: r.bytes, Failed: r.left || r.answer.Verdict == dispatch.Failed, Refused: !r.left && r.answer.Verdict == dispatch.Refused,
		Late: r.late(c), Repeated: len(r.tasks) > 1, Took: r.end().Sub(r.asked)}
}

func (r *record) verdict() string {
	if r.left {
		return "left"
	}
	return r.answer.Verdict.String()
}
