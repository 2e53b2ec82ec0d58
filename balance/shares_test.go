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
}

func (p *purse) First(tenant int, work float64) (bool, bool, time.Duration) {
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
	s.Tenants, s.MaxRetryAfter, s.OverShare = []Tenant{{Name: "a"}, {Name: "b", Quota: 100}}, 200*ms, 0.05
	b, r := fixture(t, s, 4)
	p := &purse{left: 1}
	b.Budgets(p)
	job := func(id JobID, tenant int) Job {
		return Job{ID: id, Class: safe, Tenant: tenant, Patience: 8 * time.Second, Hint: 20 * ms, Slots: 1}
	}
	b.Request(10*time.Second, job(1, 0))
	require.InDelta(t, 1.0, b.jobs[1].worth, 0, "a tenant of no quota of its own, within the fleet's budget, has its whole worth")
	b.Request(10*time.Second, job(2, 0))
	require.Equal(t, "refused", r.answers[2])
	require.Zero(t, r.sentTo(2))
	require.Equal(t, []float64{0.02, 0.02}, p.asked)
	b.Request(10*time.Second, job(3, 1))
	require.Equal(t, 1, r.sentTo(3), "a tenant without a budget is not refused")
	again := job(4, 0)
	again.Earlier = &Earlier{}
	b.Request(10*time.Second, again)
	require.Equal(t, 1, r.sentTo(4))
	require.Len(t, p.asked, 2)
}
