package balance

import (
	"testing"
	"time"
)

// An attempt from before the job was submitted restricts later ones as an attempt of the Balancer would: to the
// dedup scope and window, and it rules out a refusal.
func TestPriorAttemptRestrictsRetries(t *testing.T) {
	s := settings()
	s.Classes = []Class{
		{Name: "cell", Target: time.Second, Deadline: 20 * time.Second, Worth: 1, Idempotency: Deduplicated, DedupScope: ScopeCell, DedupWindow: 5 * time.Second, WorkerKind: -1},
		{Name: "non-idempotent", Target: time.Second, Deadline: 20 * time.Second, Worth: 1, Idempotency: NonIdempotent, WorkerKind: -1}}
	r := newRecorder()
	b, err := New(s, r)
	if err != nil {
		t.Fatal(err)
	}
	var members []Member
	for i := range 6 {
		members = append(members, Member{ID: WorkerID(i + 1), Weight: 1, Cell: i % 3})
	}
	b.UpdateMembers(0, UpdateFull, members)
	at := time.Minute // past the time in which a new dispatcher sends nothing to cold workers
	for i := range JobID(8) {
		b.SubmitJob(at, Job{ID: i + 1, Class: 0, Tenant: -1, ClientTimeout: 20 * time.Second, Slots: 1, PriorAttempt: &PriorAttempt{Cell: 2, Age: time.Second}})
	}
	if len(r.sends) == 0 {
		t.Fatal("no job was sent")
	}
	for _, send := range r.sends {
		if (send.to-1)%3 != 2 {
			t.Fatalf("job %d went to cell %d", send.job, (send.to-1)%3)
		}
	}
	sends := len(r.sends)
	b.SubmitJob(at, Job{ID: 20, Class: 0, Tenant: -1, ClientTimeout: 20 * time.Second, Slots: 1, PriorAttempt: &PriorAttempt{Cell: 1, Age: 6 * time.Second}})
	b.SubmitJob(at, Job{ID: 21, Class: 1, Tenant: -1, ClientTimeout: 20 * time.Second, Slots: 1, PriorAttempt: &PriorAttempt{Age: time.Millisecond}})
	for next := at; next < at+30*time.Second; next += 100 * time.Millisecond {
		b.TimerFired(next, r.token)
	}
	if len(r.sends) < sends {
		t.Fatal("sends were lost")
	}
	for _, send := range r.sends {
		if send.job >= 20 {
			t.Fatalf("job %d was sent although it may have run, and its dedup window is over or its class forbids a repeat", send.job)
		}
	}
	for _, id := range []JobID{20, 21} {
		if r.answers[id] == "" || r.answers[id] == "refused" {
			t.Fatalf("job %d: answer %q", id, r.answers[id])
		}
	}
}
