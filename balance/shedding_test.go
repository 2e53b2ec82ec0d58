package balance

import (
	"strings"
	"testing"
	"time"
)

// Jobs that the queue was too long for were kept until their clients gave up, so that clients waited in vain.
// They are shed by lowest worth density and refused at once with a retry delay. The job with the highest
// density stays, although it was once shed for its own predicted wait.
func TestShedJobsAreRefusedAtOnce(t *testing.T) {
	s := settings()
	s.Classes[nonIdempotent].Worth = 50
	s.MaxRetryAfter = 2 * time.Second
	b, r := fixture(t, s, 0)
	for i := range 6 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: idempotent, ClientTimeout: 8 * time.Second, Slots: 1,
			ExpectedWork: time.Second})
	}
	b.SubmitJob(time.Second, Job{ID: 7, Class: nonIdempotent, ClientTimeout: 8 * time.Second, Slots: 1, ExpectedWork: 500 * ms})
	if len(r.answers) == 0 || r.answers[7] != "" {
		t.Fatalf("answers %v", r.answers)
	}
	for id, a := range r.answers {
		if a != "refused" || r.backoffs[id] < minRetryAfter || r.backoffs[id] > s.MaxRetryAfter {
			t.Fatalf("job %d %s, retry after %v", id, a, r.backoffs[id])
		}
	}
}

// A job that may have run is not shed, since its client must not be invited to retry.
func TestJobThatMayHaveRunIsNotShed(t *testing.T) {
	b, r := fixture(t, settings(), 0)
	for i := range 8 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: nonIdempotent, ClientTimeout: 8 * time.Second, Slots: 1,
			ExpectedWork: time.Second})
		if j := b.jobs[JobID(i+1)]; j != nil && i == 0 {
			j.attempts = []*attempt{{job: j, worker: &worker{}, done: true, mayHaveRun: true}}
		}
	}
	if len(r.answers) == 0 || r.answers[1] != "" {
		t.Fatalf("answers %v", r.answers)
	}
}

// Shedding by worth density alone would starve the class with the lowest density, which the goal counts.
func TestWorstServedClassHasBonus(t *testing.T) {
	s := settings()
	s.TotalWeight, s.WorstClassWeight = 0.7, 0.2
	b, _ := fixture(t, s, 0)
	b.classes[0].endedWeight, b.classes[0].onTimeWeight = 10, 2
	b.classes[1].endedWeight, b.classes[1].onTimeWeight = 10, 9
	if b.worstClassBonus(&b.classes[0]) <= 0 || b.worstClassBonus(&b.classes[1]) != 0 {
		t.Fatalf("bonuses %v, %v", b.worstClassBonus(&b.classes[0]), b.worstClassBonus(&b.classes[1]))
	}
}

func TestLateJobIsRefusedEarly(t *testing.T) {
	b, r := fixture(t, settings(), 0)
	b.SubmitJob(time.Second, Job{ID: 1, Class: idempotent, ClientTimeout: 8 * time.Second, Slots: 1, ExpectedWork: 100 * ms})
	advance(b, r, time.Second, 3*time.Second)
	if r.answers[1] != "refused" {
		t.Fatalf("answer %q", r.answers[1])
	}
}

// The log must give the reason for refusals, in few enough lines to find it.
func TestLogGivesReasonsAtLimitedRate(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	for i := range 200 {
		b.SubmitJob(time.Second+time.Duration(i)*ms, Job{ID: JobID(i + 1), Class: nonIdempotent, ClientTimeout: 8 * time.Second,
			Slots: 1, ExpectedWork: time.Second})
	}
	advance(b, r, 1200*ms, 4*time.Second)
	lines := map[string]int{}
	for _, l := range r.logs {
		for _, reason := range []string{"shed", "no longer be in time"} {
			if strings.Contains(l, reason) {
				lines[reason]++
			}
		}
	}
	if len(lines) != 2 || lines["shed"] > 4 || lines["no longer be in time"] > 4 {
		t.Fatalf("lines %v of %d", lines, len(r.logs))
	}
}

func TestJobsBeyondQuotaAreWorthLess(t *testing.T) {
	s := settings()
	s.Tenants, s.OverQuotaWorth = []Tenant{{Name: "a", Quota: 1}}, 0.1
	s.Classes[idempotent].Target = time.Hour // so that none is shed
	b, _ := fixture(t, s, 0)
	var worths []float64
	for i := range 4 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: idempotent, ClientTimeout: 8 * time.Second, Slots: 1})
		worths = append(worths, b.jobs[JobID(i+1)].worth)
	}
	if worths[0] != 1 || worths[3] != 0.1 {
		t.Fatalf("worths %v", worths)
	}
}
