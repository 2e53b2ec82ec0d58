package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/override"
)

// withOverrides is like withCore, with a set of detached workers.
func withOverrides(t *testing.T, workers int, test func(*Core, *recorder, *override.Set)) {
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 3, AllowCancel: true, AllowCopies: true, PullMembers: true,
			ConnectTimeout: 250 * time.Millisecond, Tick: 5 * time.Millisecond, ReportsStart: true, MaxRetryAfter: 2 * time.Second,
			Classes: []balance.Class{{Name: "price-read", Target: time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 1, WorkerKind: -1}}}
		overrides := override.New()
		c, err := New(Options{Settings: s, Overrides: overrides})
		require.NoError(t, err)
		rec := &recorder{}
		c.Connect(rec, rec)
		go c.Run(t.Context())
		c.UpdateMembers(balance.UpdateCached, servingWorkers(workers))
		synctest.Wait()
		test(c, rec, overrides)
	})
}

func servingWorkers(n int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, Worker{Name: string(rune('a' + i)), Member: balance.Member{ID: balance.WorkerID(i + 1), Weight: 1}})
	}
	return list
}

// submitN submits n requests with consecutive IDs, starting with from, and waits until the core has
// handled them.
func submitN(c *Core, rec *recorder, from, n int) {
	for i := range n {
		c.Submit(&Request{ID: fmt.Sprint(from + i), Tenant: -1, Timeout: 5 * time.Second, Slots: 1, Client: rec})
	}
	synctest.Wait()
}

// attemptsByWorker counts the attempts by the name of their worker.
func attemptsByWorker(attempts []*Attempt) map[string]int {
	counts := map[string]int{}
	for _, attempt := range attempts {
		counts[attempt.Worker.Name]++
	}
	return counts
}

// From the event after a detach until the attach nothing new is sent to the worker, regardless of
// discovery. After the attach it is as cold as a worker that has just started.
func TestDetachHoldsUntilAttach(t *testing.T) {
	withOverrides(t, 2, func(c *Core, rec *recorder, overrides *override.Set) {
		_, err := overrides.Detach(time.Now(), "nobody")
		require.ErrorIs(t, err, override.ErrUnknownWorker, "a name that was never listed")
		generation, err := overrides.Detach(time.Now(), "a")
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, generation, c.OverrideGeneration(), "the core reports that it has applied the change")

		submitN(c, rec, 0, 20)
		require.NotEmpty(t, rec.attempts)
		require.Zero(t, attemptsByWorker(rec.attempts)["a"], "sent to a detached worker")

		// A full list from discovery in which the worker serves does not reattach it.
		c.UpdateMembers(balance.UpdateFull, servingWorkers(2))
		for _, attempt := range rec.attempts {
			c.AttemptEnded(attempt, balance.StatusOK, []byte("r"))
		}
		rec.attempts = nil
		synctest.Wait()
		submitN(c, rec, 100, 20)
		require.Zero(t, attemptsByWorker(rec.attempts)["a"], "a membership update reattached the worker")

		repeated, err := overrides.Detach(time.Now(), "a")
		require.NoError(t, err)
		require.Equal(t, generation, repeated, "a repeated detach changes nothing")

		for _, attempt := range rec.attempts {
			c.AttemptEnded(attempt, balance.StatusOK, []byte("r"))
		}
		rec.attempts = nil
		attached := time.Now()
		_, err = overrides.Attach("a")
		require.NoError(t, err)
		synctest.Wait()
		var started time.Duration
		c.post(func() { started = c.effectiveMember(c.members[1]).StartedAt })
		synctest.Wait()
		require.Equal(t, time.Duration(attached.UnixNano()), started, "a reattached worker is cold from then on")
		submitN(c, rec, 200, 40)
		require.NotZero(t, attemptsByWorker(rec.attempts)["a"], "a reattached worker gets work again")
	})
}

// A worker stays detached if discovery removes it and lists it again, as happens when it restarts.
func TestDetachHoldsAcrossRemoval(t *testing.T) {
	withOverrides(t, 2, func(c *Core, rec *recorder, overrides *override.Set) {
		_, err := overrides.Detach(time.Now(), "a")
		require.NoError(t, err)
		synctest.Wait()
		removed := servingWorkers(1)
		removed[0].State = balance.Gone
		c.UpdateMembers(balance.UpdateDelta, removed)
		c.UpdateMembers(balance.UpdateDelta, servingWorkers(1))
		synctest.Wait()
		submitN(c, rec, 0, 20)
		require.Zero(t, attemptsByWorker(rec.attempts)["a"])
	})
}

// The core sends nothing to a detached worker even if the balancer chooses it: the attempt ends with
// StatusNotSent and is never passed to the driver.
func TestDetachedWorkerIsNeverSentTo(t *testing.T) {
	withOverrides(t, 2, func(c *Core, rec *recorder, overrides *override.Set) {
		_, err := overrides.Detach(time.Now(), "a")
		require.NoError(t, err)
		synctest.Wait()
		submitN(c, rec, 0, 1)
		c.post(func() { host{c}.Send(1, 1, 0) }) // a decision that a correct balancer never makes
		synctest.Wait()
		require.Zero(t, attemptsByWorker(rec.attempts)["a"])
	})
}
