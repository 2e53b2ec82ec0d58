package balance

import (
	"testing"
	"time"
)

// largeFleetFixture returns one of 200 dispatchers, which may send each other messages.
func largeFleetFixture(t *testing.T, workers int) (*Balancer, *recorder) {
	t.Helper()
	s := peerSettings()
	s.FleetSize = 200
	return fixture(t, s, workers)
}

// The cost of messages to all peers grows with the square of the fleet, so a large fleet sends none.
func TestLargeFleetSendsNoPeerUpdates(t *testing.T) {
	b, r := largeFleetFixture(t, 4)
	submit(b, time.Second, 1, idempotent)
	advance(b, r, time.Second, 5*time.Second)
	if len(r.messages) > 0 {
		t.Fatalf("sent %d messages to 199 peers", len(r.messages))
	}
}

// Dispatchers with the same information must not all choose the same worker.
func TestLargeFleetSpreadsJobs(t *testing.T) {
	got := map[WorkerID]int{}
	for seed := range 40 {
		s := peerSettings()
		s.FleetSize, s.Seed = 200, uint64(seed)
		b, r := fixture(t, s, 100)
		b.byID[7].logSlownessSum, b.byID[7].logSlownessWeight = -5, 10 // all dispatchers know one fast worker
		submit(b, 20*time.Second, 1, idempotent)
		got[r.lastSend().to]++
	}
	if got[7] > 20 || len(got) < 10 {
		t.Fatalf("40 dispatchers chose %v", got)
	}
}

// A release makes most of a large fleet cold. A choice must not visit all cold workers.
func TestLargeFleetConsidersFewCandidates(t *testing.T) {
	b, _ := largeFleetFixture(t, 1)
	var list []Member
	for i := range 1000 {
		list = append(list, Member{ID: WorkerID(i + 1), Weight: 1, StartedAt: 100 * time.Second})
	}
	b.UpdateMembers(101*time.Second, UpdateFull, list)
	if n := len(b.candidates()); n > 3*randomCandidates {
		t.Fatalf("%d of 1000 workers were considered for a choice", n)
	}
}

// The probability of a free slot is learned per zone, so when this zone's workers are full another zone's
// are used.
func TestLargeFleetUsesOtherZoneWhenFull(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	b.byID[1].group.freeSlotRate = 0.05
	submit(b, 20*time.Second, 1, idempotent)
	if b.byID[r.lastSend().to].Zone != 1 {
		t.Fatalf("sent to a full zone: %v", r.sends)
	}
}

// Each of many dispatchers sends to a worker of a lost zone at most once, so the first few losses must count
// for the whole zone.
func TestLargeFleetAvoidsLostZone(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	for i := range 4 {
		b.recordUnreachable(b.byID[WorkerID(i+1)])
		b.byID[WorkerID(i+1)].heldUntil = 0
	}
	submit(b, 20*time.Second, 1, idempotent)
	if b.byID[r.lastSend().to].Zone != 1 {
		t.Fatalf("sent to a lost zone: %v", r.sends)
	}
}

// If workers may be probed, a large fleet sends a job only after a worker has reported a free slot.
func TestLargeFleetProbesBeforeSend(t *testing.T) {
	s := settings()
	s.FleetSize, s.AllowProbes = 200, true
	b, r := fixture(t, s, 40)
	b.waitingLimit = 0
	submit(b, time.Second, 1, idempotent)
	if len(r.probes) == 0 || len(r.sends) > 0 {
		t.Fatalf("probes %v, sends %v", r.probes, r.sends)
	}
	free := NoLoadReport()
	free.InFlight, free.FreeSlots = 0, 4
	b.ProbeDone(1004*ms, r.probes[0], StatusOK, 4*ms, free)
	if len(r.sends) != 1 || r.lastSend().to != r.probes[0] {
		t.Fatalf("worker %d has room, sends %v", r.probes[0], r.sends)
	}
}

// A non-idempotent job that waits in a worker's queue cannot move. Before it is sent without evidence of a
// free slot, a few dispatchers are asked for such evidence, and each piece is used for one job.
func TestLargeFleetAsksPeersForEvidence(t *testing.T) {
	b, r := largeFleetFixture(t, 40)
	submit(b, time.Second, 1, nonIdempotent)
	if len(r.sends) > 0 || len(r.messages) == 0 || r.messages[0][0] != askMessage {
		t.Fatalf("sends %v, messages %v", r.sends, r.messages)
	}
	b.PeerMessage(1010*ms, 7, []byte{slotMessage, 0, 0, 0, 9, 0})
	if len(r.sends) != 1 || r.lastSend().to != 9 {
		t.Fatalf("a peer named worker 9 as free, sends %v", r.sends)
	}
	submit(b, 2*time.Second, 2, nonIdempotent)
	advance(b, r, 2*time.Second, 2100*ms)
	if r.attemptsOf(2) != 1 {
		t.Fatal("no answer came, and the job is not sent")
	}
}

func TestLargeFleetGrantsSlotOnce(t *testing.T) {
	b, r := largeFleetFixture(t, 40)
	submit(b, time.Second, 1, idempotent)
	reportStart(b, 1004*ms, r.lastSend())
	reportResult(b, 1500*ms, r.lastSend(), StatusOK)
	b.PeerMessage(1510*ms, 3, []byte{askMessage})
	b.PeerMessage(1511*ms, 4, []byte{askMessage})
	if len(r.messages) != 1 || r.messages[0][0] != slotMessage || WorkerID(r.messages[0][4]) != r.lastSend().to {
		t.Fatalf("one slot became free, messages %v", r.messages)
	}
}

// A load report that comes with a result was made before the job ended and still counts it.
func TestJobEndIsEvidenceDespiteReport(t *testing.T) {
	b, r := largeFleetFixture(t, 40)
	submit(b, time.Second, 1, idempotent)
	reportStart(b, 1004*ms, r.lastSend())
	full := NoLoadReport()
	full.FreeSlots = 0
	b.AttemptDone(1500*ms, AttemptResult{Job: 1, Worker: r.lastSend().to, Status: StatusOK, JobDone: true, Report: full})
	if w := b.byID[r.lastSend().to]; w.evidence != evidenceJobEnded {
		t.Fatalf("evidence %d, free slot probability %v", w.evidence, b.freeSlotProbability(w))
	}
}

// A late start shows that a worker is full now, but not for long.
func TestLargeFleetEvidenceFades(t *testing.T) {
	b, r := largeFleetFixture(t, 1)
	submit(b, time.Second, 1, nonIdempotent)
	advance(b, r, time.Second, 2*time.Second)
	w := b.byID[1]
	if probability := b.freeSlotProbability(w); probability > 0.5 {
		t.Fatalf("free slot probability %v right after a late start", probability)
	}
	b.now = 10 * time.Second
	if probability := b.freeSlotProbability(w); probability < 0.6 {
		t.Fatalf("free slot probability %v long after a late start", probability)
	}
}

// Other dispatchers use the slots, so an idempotent job waits in the queues of several workers. The first
// attempt to start wins and the others are cancelled.
func TestLargeFleetJobWaitsAtSeveralWorkers(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	submit(b, time.Second, 1, idempotent)
	advance(b, r, time.Second, 1400*ms)
	if r.attemptsOf(1) < 3 {
		t.Fatalf("no attempt started, and the job waits at only %d workers", r.attemptsOf(1))
	}
	reportStart(b, 1410*ms, r.sends[1])
	if len(r.cancels) != r.attemptsOf(1)-1 {
		t.Fatalf("%d sends, one start, %d cancelled", r.attemptsOf(1), len(r.cancels))
	}
}

// In a large fleet, jobs of other dispatchers are ahead of some attempts at every worker. When a start counted as
// late after three times the shortest start lag, every dispatcher made two copies of jobs that had queued for
// only tens of milliseconds, and the copies filled every queue.
func TestLargeFleetDoesNotCopyQueuedJob(t *testing.T) {
	for _, wait := range []time.Duration{40 * ms, 100 * ms, 200 * ms} {
		s := settings()
		s.FleetSize = 80
		b, r := fixture(t, s, 4)
		at := 10 * time.Second
		for i := range 20 { // starts after 4 ms set the shortest start lag
			submit(b, at, JobID(100+i), idempotent)
			reportStart(b, at+4*ms, r.lastSend())
			reportResult(b, at+30*ms, r.lastSend(), StatusOK)
			at += 100 * ms
		}
		submit(b, at, 1, idempotent)
		advance(b, r, at, at+wait)
		copied := r.attemptsOf(1) > 1
		// The class's target is 300 ms; half of it may pass in a queue.
		if late := wait > 150*ms; copied != late {
			t.Fatalf("a job waited %v for its start: copied is %v", wait, copied)
		}
	}
}

// A job that has not started and can no longer be in time only delays others.
func TestLargeFleetRefusesLateWaitingJob(t *testing.T) {
	b, r := largeFleetFixture(t, 2)
	b.fleetSlowness = 3 // a job of any size is late once the target has passed
	submit(b, time.Second, 1, idempotent)
	advance(b, r, time.Second, 3*time.Second)
	if r.answers[1] != "refused" || len(r.cancels) != r.attemptsOf(1) {
		t.Fatalf("answers %v, cancels %v of %d sends", r.answers, r.cancels, r.attemptsOf(1))
	}
}

// An attempt that failed at once must not hide the job's earlier attempts, which still wait.
func TestFailedAttemptDoesNotHideWaitingOne(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	b.fleetSlowness = 3
	submit(b, time.Second, 1, idempotent)
	b.settings.MaxAttempts = 2
	advance(b, r, time.Second, 1250*ms)
	reportResult(b, 1260*ms, r.lastSend(), StatusFull)
	advance(b, r, 1260*ms, 3*time.Second)
	if r.answers[1] != "refused" {
		t.Fatalf("answers %v", r.answers)
	}
}

// Late starts reduce the limit on jobs that wait in workers' queues. Otherwise an overload would build up
// there, where jobs cannot be shed.
func TestLateStartsReduceWaitingLimit(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	b.fleetSlowness = 1.5
	before := b.waitingLimit
	submit(b, time.Second, 1, nonIdempotent)
	advance(b, r, time.Second, 1800*ms)
	reportStart(b, 1800*ms, r.lastSend())
	if b.waitingLimit > before/2 {
		t.Fatalf("limit on waiting jobs is %v, was %v", b.waitingLimit, before)
	}
}

// Under overload, a waiting job that will probably be late blocks more promising ones.
func TestOverloadRefusesUnlikelyWaitingJob(t *testing.T) {
	for _, c := range []struct {
		limit float64
		want  string
	}{{2, ""}, {0, "refused"}} {
		b, r := largeFleetFixture(t, 2)
		submit(b, time.Second, 1, idempotent)
		b.waitingLimit, b.fleetSlowness = c.limit, 1.5
		advance(b, r, time.Second, 1700*ms)
		if r.answers[1] != c.want {
			t.Errorf("limit on waiting jobs %v: answer %q, want %q", c.limit, r.answers[1], c.want)
		}
	}
}
