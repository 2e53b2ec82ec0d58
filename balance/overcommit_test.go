package balance

import (
	"testing"
	"time"
)

// In a full fleet each overcommit waits at a worker, so the delay between them grows. A job that starts in a
// slot of this dispatcher says nothing about other dispatchers and must not reset the delay.
func TestOrdinaryStartDoesNotResetOvercommitBackoff(t *testing.T) {
	b, r := fixture(t, peerSettings(), 1)
	submit(b, time.Second, 1, idempotent)
	first := r.lastSend()
	reportStart(b, 1004*ms, first)
	for i := range 6 {
		submit(b, 1100*ms, JobID(i+2), idempotent)
	}
	advance(b, r, 1100*ms, 1300*ms)
	if b.overcommits == 0 {
		t.Fatal("no overcommit was made: the test shows nothing")
	}
	before := b.overcommits
	ordinary := &attempt{job: b.jobs[1], worker: b.byID[1], sentAt: 1300 * ms}
	b.now = 1304 * ms
	b.byID[1].notStarted++
	b.recordStart(b.jobs[1], ordinary)
	if b.overcommits != before {
		t.Fatalf("overcommits changed from %d to %d", before, b.overcommits)
	}
}

// After other dispatchers were found to use all slots, only an overcommit can show that they have released
// them. When overcommits were far apart, the fleet stood idle while jobs were refused.
func TestOvercommitFindsReleasedSlots(t *testing.T) {
	s := settings()
	s.Classes[nonIdempotent].Target = s.Classes[nonIdempotent].Deadline // so that none is shed
	b, r := fixture(t, s, 8)
	for _, w := range b.workers {
		w.otherSlots = b.estimatedSlots(w)
	}
	run := toDuration(b.meanRun())
	for id := range JobID(8) {
		submit(b, time.Second, id+1, nonIdempotent)
	}
	advance(b, r, time.Second, time.Second+3*run/2)
	if len(r.sends) < 8 {
		t.Fatalf("%d of 8 workers got an overcommit in one and a half mean runs (%v)", len(r.sends), run)
	}
}

// A worker whose size had been underestimated got no overcommit while faster workers were full too, so its
// free slot stayed idle through an overload.
func TestOvercommitPrefersUnderestimatedWorkers(t *testing.T) {
	b, r := fixture(t, settings(), 3)
	for i, slots := range []float64{2, 1, 2} {
		w := b.workers[i]
		w.Weight, w.slots = 2, slots
		b.slotsPerWeight = 0.9
	}
	b.byID[2].logSlownessSum, b.byID[2].logSlownessWeight = 0.5, 3 // and it is slow
	for i := range 6 {
		submit(b, time.Second, JobID(i+1), nonIdempotent)
		if len(r.sends) == i+1 && i < 5 {
			reportStart(b, time.Second+4*ms, r.lastSend())
		}
	}
	if len(r.sends) != 6 || r.lastSend().to != 2 {
		t.Fatalf("sends %v, want the sixth at worker 2", r.sends)
	}
}
