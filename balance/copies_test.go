package balance

import (
	"math"
	"testing"
	"time"
)

// overdueFixture returns a Balancer with a running job that passes its copy threshold after one expected run
// time, and two idle workers.
func overdueFixture(t *testing.T, s Settings) (*Balancer, *recorder) {
	t.Helper()
	b, r := fixture(t, s, 3)
	submit(b, time.Second, 1, idempotent)
	reportStart(b, 1004*ms, r.lastSend())
	b.kinds[0].copyThresholds[0] = 1
	return b, r
}

func TestOverdueJobIsCopiedAndLoserCancelled(t *testing.T) {
	b, r := overdueFixture(t, settings())
	first := r.lastSend()
	advance(b, r, 1005*ms, 1200*ms)
	if r.attemptsOf(1) != 1 {
		t.Fatal("copied before its threshold")
	}
	b.now = 3 * time.Second
	b.schedule()
	if r.attemptsOf(1) != 2 || r.lastSend().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
	reportResult(b, 3100*ms, r.lastSend(), StatusOK)
	if len(r.cancels) != 1 || r.cancels[0].attempt != 0 {
		t.Fatalf("loser not cancelled: %v", r.cancels)
	}
}

// By elapsed time alone, a large job on a healthy worker looks like a straggler.
func TestJobWithProgressIsNotCopied(t *testing.T) {
	s := settings()
	s.ProgressInterval = time.Second
	b, r := overdueFixture(t, s)
	b.AttemptEvent(2900*ms, 1, 0, EventProgress, 0.9)
	b.now = 3 * time.Second
	b.schedule()
	if r.attemptsOf(1) != 1 {
		t.Fatalf("a job that was 90%% done was copied: %v", r.sends)
	}
}

// A stalled worker reports no progress.
func TestStalledJobIsCopied(t *testing.T) {
	s := settings()
	s.ProgressInterval = 100 * ms
	b, r := overdueFixture(t, s)
	b.kinds[0].copyThresholds[0] = math.Inf(1)
	b.now = 2 * time.Second
	b.schedule()
	if r.attemptsOf(1) != 2 {
		t.Fatalf("sends %v", r.sends)
	}
}

// A slowdown of the whole fleet makes every job overdue. Copies must not take the slots of first attempts.
func TestCommonSlowdownMakesNoCopies(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	for i := range 3 {
		submit(b, time.Second, JobID(i+1), idempotent)
		reportStart(b, 1004*ms, r.lastSend())
	}
	b.kinds[0].copyThresholds[0] = 1
	b.now = 3 * time.Second
	waiting := &job{Job: Job{ID: 9, Slots: 1}, class: &b.classes[idempotent], queued: true, arrivedAt: b.now, expiresAt: 9 * time.Second}
	b.queue = append(b.queue, waiting)
	if b.copyOverdueJob() {
		t.Fatalf("copied although most jobs are overdue and a job waits: %v", r.sends)
	}
}

// Once a stream has started, the client reads that attempt: its copies are cancelled and no timeout applies.
func TestStartedStreamIsNotCopied(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	submit(b, time.Second, 1, idempotent)
	advance(b, r, time.Second, 1500*ms) // the late start is copied
	if r.attemptsOf(1) != 2 {
		t.Fatal("no copy was made: the test shows nothing")
	}
	b.StreamStarted(1600*ms, 1, 0)
	if len(r.cancels) != 1 || r.cancels[0].attempt != 1 {
		t.Fatalf("cancels %v", r.cancels)
	}
	advance(b, r, 9*time.Second, 12*time.Second)
	if r.answers[1] != "" || r.attemptsOf(1) != 2 {
		t.Fatalf("answer %q, sent %d times", r.answers[1], r.attemptsOf(1))
	}
}
