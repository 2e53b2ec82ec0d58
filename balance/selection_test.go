package balance

import (
	"testing"
	"time"
)

// Jobs of one slot once overtook a job of two slots forever.
func TestLargeJobIsNotStarved(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	for _, w := range b.workers {
		w.slots = 2
	}
	for i := range 4 {
		submit(b, time.Second, JobID(i+1), idempotent)
	}
	running := append([]sentAttempt(nil), r.sends...)
	for _, s := range running {
		reportStart(b, 1004*ms, s)
	}
	b.nextOvercommit = time.Hour
	b.SubmitJob(1010*ms, Job{ID: 9, Class: idempotent, ClientTimeout: 8 * time.Second, Slots: 2})
	for i := range 4 {
		submit(b, 1020*ms, JobID(i+20), idempotent)
	}
	for _, s := range running {
		reportResult(b, 1100*ms, s, StatusOK)
	}
	if r.attemptsOf(9) == 0 {
		t.Fatalf("the large job still waits: %v", r.sends)
	}
}

// Jobs were once sent to another zone for a run that was a few percent faster, although local workers were
// free and the answer would have been in time anyway.
func TestSlightlyFasterZoneIsNotChosen(t *testing.T) {
	s := settings()
	s.CrossZonePrice = 0.02
	for _, c := range []struct {
		slow float64 // how much slower the local worker is, as a logarithm
		to   WorkerID
	}{{0.05, 1}, {0.7, 2}} {
		b, r := fixture(t, s, 0)
		b.UpdateMembers(time.Second, UpdateFull, []Member{{ID: 1, Zone: 0}, {ID: 2, Zone: 1}})
		for _, w := range b.workers {
			w.startLag, w.logSlownessWeight, w.sampledAt = 0.001, 1000, b.now
		}
		b.byID[1].logSlownessSum = 1000 * c.slow
		submit(b, time.Second, 1, idempotent)
		if r.lastSend().to != c.to {
			t.Errorf("local worker slower by e^%v: sent to %d, want %d", c.slow, r.lastSend().to, c.to)
		}
	}
}

// If a worker has to fetch data for a key, a job goes to a worker that knows its key.
func TestJobsGoToWorkersThatKnowTheirKey(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	b.newKeyLogRatio = 0.7
	workers := map[WorkerID]bool{}
	at := time.Second
	for i := range 6 {
		b.SubmitJob(at, Job{ID: JobID(i + 1), Class: nonIdempotent, ClientTimeout: 8 * time.Second, Slots: 1, Key: "k"})
		workers[r.lastSend().to] = true
		reportStart(b, at+4*ms, r.lastSend())
		b.ClientGone(at+10*ms, JobID(i+1)) // so that the result is no sample of the speed
		reportResult(b, at+10*ms, r.lastSend(), StatusTimeout)
		at += time.Second
	}
	if len(workers) > 2 {
		t.Fatalf("jobs of one key went to %d workers", len(workers))
	}
}

func TestJobsNeedKindAndMemory(t *testing.T) {
	s := settings()
	s.TracksMemory = true
	s.Classes[idempotent].WorkerKind = 1
	b, r := fixture(t, s, 2)
	b.workers[1].Kind = 1
	b.workers[1].slots = 2
	for i := range 2 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: idempotent, ClientTimeout: 8 * time.Second, Slots: 1, Memory: 1.5})
	}
	if len(r.sends) != 1 || r.lastSend().to != 2 {
		t.Fatalf("sends %v, want one to the worker of kind 1, whose memory holds one job", r.sends)
	}
}
