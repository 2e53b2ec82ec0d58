package balance

import (
	"testing"
	"time"
)

func TestJobsAtIdleWorkersDoNotWait(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	for i := range 4 {
		submit(b, time.Second, JobID(i+1), idempotent)
	}
	seen := map[WorkerID]bool{}
	for _, s := range r.sends {
		seen[s.to] = true
	}
	if len(r.sends) != 4 || len(seen) != 4 {
		t.Fatalf("4 jobs for 4 idle workers: sends %v", r.sends)
	}
}

func TestQueuedJobsAreSentInOrder(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	for i := range 3 {
		submit(b, time.Second, JobID(i+1), idempotent)
	}
	if len(r.sends) != 1 {
		t.Fatalf("sends %v to a worker of one slot", r.sends)
	}
	reportResult(b, 1100*ms, r.lastSend(), StatusOK)
	if got := r.lastSend(); len(r.sends) != 2 || got.job != 2 {
		t.Fatalf("the free slot did not go to job 2: sends %v", r.sends)
	}
}

func TestAnswerBeforeClientTimeout(t *testing.T) {
	b, r := fixture(t, settings(), 0)
	submit(b, time.Second, 1, nonIdempotent)
	at := time.Second
	for i := 0; i < 100 && r.answers[1] == ""; i++ {
		at += r.timer
		b.TimerFired(at, r.token)
	}
	if r.answers[1] == "" || at > 9*time.Second {
		t.Fatalf("no answer by %v", at)
	}
}
