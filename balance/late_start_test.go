package balance

import (
	"testing"
	"time"
)

// The timeout of a start must not grow with starts that waited in a worker's queue, or no start would
// count as late any more.
func TestQueueWaitsDoNotExtendStartTimeout(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	w := b.byID[1]
	at := time.Second
	for i := range 40 {
		submit(b, at, JobID(i+1), idempotent)
		lag := 4 * ms
		if i%2 == 1 {
			lag = 200 * ms
		}
		reportStart(b, at+lag, r.lastSend())
		reportResult(b, at+lag+10*ms, r.lastSend(), StatusOK)
		at += time.Second
	}
	if got := b.startTimeout(&attempt{job: &job{class: &b.classes[idempotent]}, worker: w}); got > 50*ms {
		t.Fatalf("start timeout is %v after every other start waited", got)
	}
}

// In a small fleet each worker has its own start lag: a distant worker must not get the start lag of the
// nearest worker of its group.
func TestSmallFleetStartLagIsPerWorker(t *testing.T) {
	b, _ := fixture(t, settings(), 2)
	far := b.byID[1]
	far.group.startLag, far.startLag = 0.001, 0.2
	if got := b.startTimeout(&attempt{job: &job{class: &b.classes[idempotent]}, worker: far}); got < 600*ms {
		t.Fatalf("start timeout %v", got)
	}
	if b.startLag(far) != far.startLag {
		t.Fatal("the start lag is that of the group in a small fleet")
	}
}

// A late start shows that other dispatchers use the worker's slots. The job is copied to a worker with room,
// and the first worker gets no further jobs for now.
func TestLateStartIsCopiedAndWorkerAvoided(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	submit(b, time.Second, 1, idempotent)
	first := r.lastSend()
	advance(b, r, time.Second, 2*time.Second)
	if r.attemptsOf(1) != 2 || r.lastSend().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
	reportStart(b, 2100*ms, r.lastSend())
	if len(r.cancels) != 1 || r.cancels[0] != (attemptKey{1, 0}) {
		t.Fatalf("the first attempt to start did not win: cancels %v", r.cancels)
	}
}

// Without copies, a late attempt of an idempotent job is cancelled as one of a deduplicated job is.
func TestLateStartWithoutCopies(t *testing.T) {
	s := settings()
	s.AllowCopies = false
	b, r := fixture(t, s, 2)
	submit(b, time.Second, 1, idempotent)
	first := r.lastSend()
	advance(b, r, time.Second, 2*time.Second)
	if r.attemptsOf(1) != 1 || len(r.cancels) != 1 {
		t.Fatalf("sends %v, cancels %v", r.sends, r.cancels)
	}
	reportResult(b, 2*time.Second, first, StatusCancelled)
	if r.lastSend().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
}

// A deduplicated job may not have two attempts in flight: the late one is cancelled, and the retry stays in
// the same cell.
func TestLateStartOfDeduplicatedJobIsCancelled(t *testing.T) {
	b, r := fixture(t, settings(), 8)
	submit(b, time.Second, 1, dedupCell)
	first := r.lastSend()
	advance(b, r, time.Second, 2*time.Second)
	if r.attemptsOf(1) != 1 || len(r.cancels) != 1 {
		t.Fatalf("sent %d times, cancels %v", r.attemptsOf(1), r.cancels)
	}
	reportResult(b, 2*time.Second, first, StatusCancelled)
	if r.attemptsOf(1) != 2 || (r.lastSend().to-1)/2 != (first.to-1)/2 || r.lastSend().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
}

func TestLateStartOfNonIdempotentJobIsKept(t *testing.T) {
	b, r := fixture(t, settings(), 8)
	submit(b, time.Second, 1, nonIdempotent)
	advance(b, r, time.Second, 4*time.Second)
	if r.attemptsOf(1) != 1 || len(r.cancels) != 0 {
		t.Fatalf("sends %v, cancels %v", r.sends, r.cancels)
	}
}

// When slots of other dispatchers counted as free after a time, jobs were sent to room that did not exist and
// moved from worker to worker long after a load peak.
func TestOtherSlotsAreFreedByEvidenceOnly(t *testing.T) {
	s := settings()
	s.AllowProbes = true
	b, r := fixture(t, s, 1)
	w := b.byID[1]
	b.applyReport(w, LoadReport{InFlight: 1, FreeSlots: 3, Queue: -1, Util: -1, ErrorRate: -1, FreeMemory: -1})
	submit(b, time.Second, 1, dedupFleet)
	advance(b, r, time.Second, 1500*ms)
	afterLateStart := b.freeSlots(w)
	b.now = 20 * time.Second
	if got := b.freeSlots(w); afterLateStart > 0 || got != afterLateStart {
		t.Fatalf("free slots: %v after a late start, %v much later", afterLateStart, got)
	}
	b.ProbeDone(b.now, 1, StatusOK, ms, LoadReport{InFlight: 1, FreeSlots: 3, Queue: -1, Util: -1, ErrorRate: -1,
		FreeMemory: -1})
	if got := b.freeSlots(w); got != 3 {
		t.Fatalf("free slots: %v after a probe that shows three free", got)
	}
}
