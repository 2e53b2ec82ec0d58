package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
)

// timeoutPolicy records the remaining timeout of each request it receives.
type timeoutPolicy struct {
	Policy
	timeouts []time.Duration
}

func (p *timeoutPolicy) SubmitJob(_ time.Duration, j balance.Job) {
	p.timeouts = append(p.timeouts, j.ClientTimeout)
}
func (p *timeoutPolicy) ClientGone(time.Duration, balance.JobID) {}

// A request's timeout starts at Submit, even if the core is busy at that time. Otherwise attempts
// would be given more time than is left, and the answer would be late.
func TestTimeoutIncludesWaitForBusyCore(t *testing.T) {
	const timeout, busy = 5 * time.Second, 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		policy := &timeoutPolicy{}
		settings := balance.Settings{FleetSize: 1, MaxAttempts: 3, Classes: []balance.Class{{Name: "price-read", Deadline: timeout, WorkerKind: -1}}}
		core, err := New(Options{Settings: settings, Policy: func(balance.Settings, balance.Host) (Policy, error) { return policy, nil }})
		require.NoError(t, err)
		go core.Run(t.Context())
		go core.Do(func() { time.Sleep(busy) })
		synctest.Wait()
		submitted := time.Now()
		client := &recorder{}
		core.Submit(&Request{ID: "1", Tenant: -1, Timeout: timeout, Slots: 1, Client: client})
		time.Sleep(busy)
		synctest.Wait()
		require.Equal(t, []time.Duration{timeout - busy}, policy.timeouts)
		time.Sleep(timeout + 2*answerGrace - time.Since(submitted))
		synctest.Wait()
		require.Len(t, client.answers, 1, "the answer comes at the end of the timeout")
	})
}
