package telemetry

import (
	"time"

	"go.opentelemetry.io/otel/trace"

	"tinroute.example/tinroute/dispatch"
)

type bare struct {
	o      *Observer
	class  int
	answer dispatch.Answer
	left   bool
	took   time.Duration
}

func (t *Telemetry) reserve(n int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sampler.Reserve(n)
}

// take counts memory that is needed in any case.
func (t *Telemetry) take(n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampler.Release(-n)
}

func (t *Telemetry) release(n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampler.Release(n)
}

// hand gives a record to the worker, unless it is too far behind.
func (t *Telemetry) hand(e ended) {
	if !t.push(e) {
		t.lost.Add(1)
		t.release(e.r.bytes)
	}
}

func (t *Telemetry) bare(b bare) {
	if !t.push(b) {
		t.unheard.Add(1)
	}
}

func (t *Telemetry) push(e any) bool {
	t.come.Lock()
	defer t.come.Unlock()
	if len(t.in) >= queueSize {
		return false
	}
	t.in = append(t.in, e)
	return true
}

func (t *Telemetry) live(id string, c trace.SpanContext) {
	if t.logs != nil {
		t.open.Store(id, c)
	}
}

func (t *Telemetry) dead(id string) {
	if t.logs != nil {
		t.open.Delete(id)
	}
}
