package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeBudget is a FleetBudget that admits a number of jobs of tenant 0 and then denies them with a wait.
type fakeBudget struct {
	admissions    int       // jobs that will be admitted
	admitWork     []float64 // work of the jobs passed to Admit
	repeats       int       // repeats and copies that will be allowed
	repeatQueries int
	firstSends    int
}

func (f *fakeBudget) CountFirstSend() { f.firstSends++ }

func (f *fakeBudget) AllowRepeat() bool {
	f.repeatQueries++
	f.repeats--
	return f.repeats >= 0
}

func (f *fakeBudget) Admit(tenant int, work float64) (bool, bool, time.Duration) {
	if tenant != 0 {
		return false, true, 0
	}
	f.admitWork = append(f.admitWork, work)
	f.admissions--
	return true, f.admissions >= 0, 300 * ms
}

// A job that the fleet's budget does not admit is refused with a retry delay and not sent. A job that may have run
// before was admitted then, so the budget is not queried again.
func TestBudgetAdmitsJobs(t *testing.T) {
	s := settings()
	s.Tenants, s.MaxRetryAfter, s.OverQuotaWorth = []Tenant{{Name: "a"}, {Name: "b", Quota: 100}}, 200*ms, 0.05
	b, r := fixture(t, s, 4)
	budget := &fakeBudget{admissions: 1}
	b.SetBudget(budget)
	job := func(id JobID, tenant int) Job {
		return Job{ID: id, Class: idempotent, Tenant: tenant, ClientTimeout: 8 * time.Second, ExpectedWork: 20 * ms, Slots: 1}
	}
	b.SubmitJob(10*time.Second, job(1, 0))
	require.InDelta(t, 1.0, b.jobs[1].worth, 0, "a job within the fleet's budget has its full worth although the tenant has no quota")
	b.SubmitJob(10*time.Second, job(2, 0))
	require.Equal(t, "refused", r.answers[2])
	require.Zero(t, r.attemptsOf(2))
	require.Equal(t, []float64{0.02, 0.02}, budget.admitWork)
	b.SubmitJob(10*time.Second, job(3, 1))
	require.Equal(t, 1, r.attemptsOf(3), "a tenant without a budget is not refused")
	again := job(4, 0)
	again.PriorAttempt = &PriorAttempt{}
	b.SubmitJob(10*time.Second, again)
	require.Equal(t, 1, r.attemptsOf(4))
	require.Len(t, budget.admitWork, 2)
}

// The budget is queried before a retry of a job that may have run, and the job is answered at once if the budget
// denies it. It is not queried before a retry of a job that has never run.
func TestBudgetIsQueriedBeforeRepeats(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	budget := &fakeBudget{repeats: 1}
	b.SetBudget(budget)
	now := 10 * time.Second
	fail := func(status Status) {
		now += 10 * ms
		reportResult(b, now, r.lastSend(), status)
	}
	b.SubmitJob(now, Job{ID: 1, Class: idempotent, Tenant: -1, ClientTimeout: 8 * time.Second, ExpectedWork: 20 * ms, Slots: 1})
	require.Equal(t, 1, budget.firstSends)
	fail(StatusFull)
	require.Equal(t, 2, r.attemptsOf(1))
	require.Zero(t, budget.repeatQueries, "it never ran")
	fail(StatusError)
	require.Equal(t, 3, r.attemptsOf(1))
	require.Equal(t, 1, budget.repeatQueries)
	require.Empty(t, r.answers[1])
	fail(StatusError)
	require.Equal(t, 3, r.attemptsOf(1))
	require.Equal(t, "refused", r.answers[1], "refused at once, since a repeat by the client is harmless")
	require.Equal(t, 1, budget.firstSends, "the first attempt is counted once")
}

// The budget is queried before a copy is sent, and after a denial it is not queried again at every step.
func TestBudgetIsQueriedBeforeCopies(t *testing.T) {
	for _, allowed := range []int{0, 1} {
		b, r := overdueFixture(t, settings())
		budget := &fakeBudget{repeats: allowed}
		b.SetBudget(budget)
		for step := range 400 {
			b.now = 3*time.Second + time.Duration(step)*ms
			b.schedule()
		}
		require.Equal(t, 1+allowed, r.attemptsOf(1))
		require.Positive(t, budget.repeatQueries)
		require.Less(t, budget.repeatQueries, 100)
	}
}
