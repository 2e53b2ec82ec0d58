package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
)

// patiencePolicy notes how long each request's client still has.
type patiencePolicy struct {
	Policy
	left []time.Duration
}

func (p *patiencePolicy) SubmitJob(_ time.Duration, j balance.Job) {
	p.left = append(p.left, j.ClientTimeout)
}
func (p *patiencePolicy) ClientGone(time.Duration, balance.JobID) {}

// A client's patience runs from when its request was submitted, also while the core has no time for
// it: an attempt would be told more time than is left, and the answer would come too late.
func TestPatienceRunsWhileTheCoreIsBusy(t *testing.T) {
	const patience, busy = 5 * time.Second, 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := &patiencePolicy{}
		settings := balance.Settings{FleetSize: 1, MaxAttempts: 3, Classes: []balance.Class{{Name: "price-read", Deadline: patience, WorkerKind: -1}}}
		core, err := New(Options{Settings: settings, Policy: func(balance.Settings, balance.Host) (Policy, error) { return p, nil }})
		require.NoError(t, err)
		go core.Run(t.Context())
		go core.Do(func() { time.Sleep(busy) })
		synctest.Wait()
		began := time.Now()
		answered := &fleet{}
		core.Submit(&Request{ID: "1", Tenant: -1, Timeout: patience, Slots: 1, Client: answered})
		time.Sleep(busy)
		synctest.Wait()
		require.Equal(t, []time.Duration{patience - busy}, p.left)
		time.Sleep(patience + 2*overdue - time.Since(began))
		synctest.Wait()
		require.Len(t, answered.answers, 1, "the answer comes as the client's patience ends")
	})
}
