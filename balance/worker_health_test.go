package balance

import (
	"strings"
	"testing"
	"time"
)

// A worker that fails fast has free slots and would attract more and more jobs.
func TestFastFailingWorkerIsHeldBack(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	at := time.Second
	for i := range 12 {
		before := len(r.sends)
		submit(b, at, JobID(i+1), nonIdempotent)
		if len(r.sends) > before {
			reportResult(b, at+5*ms, r.lastSend(), StatusError)
		}
		at += 20 * ms
	}
	if len(r.sends) > 3 {
		t.Fatalf("%d of 12 jobs went to a worker that fails all jobs", len(r.sends))
	}
	if len(r.logs) == 0 || !strings.Contains(r.logs[0], "errors") {
		t.Fatalf("logs %v", r.logs)
	}
}

// A worker that starts jobs and then fails them is held back for longer each time. If a start counted as a
// sign of health, each short hold would end with another failed job.
func TestStartsDoNotEndHoldForErrors(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	for id, at := JobID(1), time.Second; at < 21*time.Second; id, at = id+1, at+100*ms {
		before := len(r.sends)
		submit(b, at, id, nonIdempotent)
		if len(r.sends) > before {
			reportStart(b, at+5*ms, r.lastSend())
			reportResult(b, at+20*ms, r.lastSend(), StatusError)
		}
	}
	if len(r.sends) > 8 {
		t.Fatalf("%d jobs went to a worker that fails all jobs", len(r.sends))
	}
	w := b.byID[1]
	for w.errorRate > maxErrorRate { // a worker that has recovered is no longer held back
		w.heldUntil = 0
		submit(b, 30*time.Second, 1000+JobID(len(r.sends)), nonIdempotent)
		reportStart(b, 30*time.Second, r.lastSend())
		reportResult(b, 30*time.Second, r.lastSend(), StatusOK)
	}
	if w.timesHeld != 0 {
		t.Fatalf("still counts %d consecutive holds", w.timesHeld)
	}
}

// A restarted worker may be a different machine.
func TestRestartResetsWorkerState(t *testing.T) {
	b, _ := fixture(t, settings(), 1)
	w := b.byID[1]
	w.slots, w.errorRate, w.timesHeld, w.heldUntil, w.logSlownessWeight = 4, 0.9, 3, time.Hour, 5
	b.UpdateMembers(2*time.Second, UpdateDelta, []Member{{ID: 1, StartedAt: 2 * time.Second}})
	if w.slots != 0 || w.errorRate != 0 || w.timesHeld != 0 || w.heldUntil != 0 || w.logSlownessWeight != 0 {
		t.Fatalf("old state kept: %+v", w)
	}
}

// When nearly all workers are held back the cause is probably common, and jobs are still sent.
func TestCommonCauseIgnoresHolds(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	for _, w := range b.workers {
		b.holdBack(w, 3600, "connections")
	}
	submit(b, time.Second, 1, idempotent)
	if len(r.sends) != 1 {
		t.Fatalf("all workers held back: sends %v", r.sends)
	}
	b.workers[0].heldUntil, b.workers[1].heldUntil = 0, 0
	for i := range 4 {
		submit(b, time.Second, JobID(i+2), idempotent)
	}
	for _, s := range r.sends[1:] {
		if s.to > 2 {
			t.Fatalf("half of the workers held back: sends %v", r.sends)
		}
	}
}
