package telemetry

import (
	"time"

	"go.opentelemetry.io/otel/trace"

	"tinroute.example/tinroute/dispatch"
)

// minimalRecord holds what the metrics need of a request for whose full record no memory was left.
type minimalRecord struct {
	observer   *Observer
	class      int
	answer     dispatch.Answer
	clientLeft bool
	duration   time.Duration
}

// reserve reserves memory for a record, or returns false if none is left.
func (t *Telemetry) reserve(n int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sampler.Reserve(n)
}

// forceReserve reserves memory regardless of the limit.
func (t *Telemetry) forceReserve(n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampler.Release(-n)
}

func (t *Telemetry) release(n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampler.Release(n)
}

// enqueue queues a record for the processing goroutine. If the queue is full, it drops and counts the
// record.
func (t *Telemetry) enqueue(ended endedRecord) {
	if !t.tryEnqueue(ended) {
		t.droppedRecords.Add(1)
		t.release(ended.record.bytes)
	}
}

// enqueueMinimal is like enqueue for a minimal record.
func (t *Telemetry) enqueueMinimal(record minimalRecord) {
	if !t.tryEnqueue(record) {
		t.droppedMinimal.Add(1)
	}
}

// tryEnqueue adds an endedRecord or a minimalRecord to the queue, or returns false if the queue is full.
func (t *Telemetry) tryEnqueue(item any) bool {
	t.queueMu.Lock()
	defer t.queueMu.Unlock()
	if len(t.queue) >= maxQueuedRecords {
		return false
	}
	t.queue = append(t.queue, item)
	return true
}

// addOpenSpan stores the span of an open request. Log records that contain the request's ID are exported
// with it.
func (t *Telemetry) addOpenSpan(requestID string, spanContext trace.SpanContext) {
	if t.loggerProvider != nil {
		t.openSpans.Store(requestID, spanContext)
	}
}

func (t *Telemetry) removeOpenSpan(requestID string) {
	if t.loggerProvider != nil {
		t.openSpans.Delete(requestID)
	}
}
