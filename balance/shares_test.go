package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// purse admits a number of jobs of tenant 0 and then names a wait.
type purse struct {
	left  int
	asked []float64
	again int // repeats and copies that are left
	wants int
	sent  int
}

func (p *purse) CountFirstSend() { p.sent++ }

func (p *purse) AllowRepeat() bool {
	p.wants++
	p.again--
	return p.again >= 0
}

func (p *purse) Admit(tenant int, work float64) (bool, bool, time.Duration) {
	if tenant != 0 {
		return false, true, 0
	}
	p.asked = append(p.asked, work)
	p.left--
	return true, p.left >= 0, 300 * ms
}

// What a fleet's budget does not admit is sent nowhere and told when to come back; a job that may have
// run in an earlier process was admitted then, and is not asked for again.
func TestSharesAdmit(t *testing.T) {
	s := settings()
	s.Tenants, s.MaxRetryAfter, s.OverQuotaWorth = []Tenant{{Name: "a"}, {Name: "b", Quota: 100}}, 200*ms, 0.05
	b, r := fixture(t, s, 4)
	p := &purse{left: 1}
	b.SetBudget(p)
	job := func(id JobID, tenant int) Job {
		return Job{ID: id, Class: safe, Tenant: tenant, ClientTimeout: 8 * time.Second, ExpectedWork: 20 * ms, Slots: 1}
	}
	b.SubmitJob(10*time.Second, job(1, 0))
	require.InDelta(t, 1.0, b.jobs[1].worth, 0, "a tenant of no quota of its own, within the fleet's budget, has its whole worth")
	b.SubmitJob(10*time.Second, job(2, 0))
	require.Equal(t, "refused", r.answers[2])
	require.Zero(t, r.sentTo(2))
	require.Equal(t, []float64{0.02, 0.02}, p.asked)
	b.SubmitJob(10*time.Second, job(3, 1))
	require.Equal(t, 1, r.sentTo(3), "a tenant without a budget is not refused")
	again := job(4, 0)
	again.PriorAttempt = &PriorAttempt{}
	b.SubmitJob(10*time.Second, again)
	require.Equal(t, 1, r.sentTo(4))
	require.Len(t, p.asked, 2)
}

// An attempt after one that may have run is asked for, and without it the job is answered at once; one
// after an attempt that surely never ran is not asked for.
func TestRepeatsAreAskedFor(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	p := &purse{again: 1}
	b.SetBudget(p)
	now := 10 * time.Second
	fail := func(st Status) {
		now += 10 * ms
		end(b, now, r.last(), st)
	}
	b.SubmitJob(now, Job{ID: 1, Class: safe, Tenant: -1, ClientTimeout: 8 * time.Second, ExpectedWork: 20 * ms, Slots: 1})
	require.Equal(t, 1, p.sent)
	fail(StatusFull)
	require.Equal(t, 2, r.sentTo(1))
	require.Zero(t, p.wants, "it never ran")
	fail(StatusError)
	require.Equal(t, 3, r.sentTo(1))
	require.Equal(t, 1, p.wants)
	require.Empty(t, r.answers[1])
	fail(StatusError)
	require.Equal(t, 3, r.sentTo(1))
	require.Equal(t, "refused", r.answers[1], "at once, since a repeat by the client is harmless")
	require.Equal(t, 1, p.sent, "one first try")
}

// A second copy is asked for, and after a no not again at every step.
func TestCopiesAreAskedFor(t *testing.T) {
	for _, again := range []int{0, 1} {
		b, r := overdueFixture(t, settings())
		p := &purse{again: again}
		b.SetBudget(p)
		for step := range 400 {
			b.now = 3*time.Second + time.Duration(step)*ms
			b.schedule()
		}
		require.Equal(t, 1+again, r.sentTo(1))
		require.Positive(t, p.wants)
		require.Less(t, p.wants, 100)
	}
}
