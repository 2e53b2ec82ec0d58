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

// playBanned is play with a book of hand bans that the core obeys.
func playBanned(t *testing.T, workers int, scene func(*Core, *fleet, *override.Set)) {
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 3, AllowCancel: true, AllowCopies: true, PullMembers: true,
			ConnectTimeout: 250 * time.Millisecond, Tick: 5 * time.Millisecond, ReportsStart: true, MaxRetryAfter: 2 * time.Second,
			Classes: []balance.Class{{Name: "price-read", Target: time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 1, WorkerKind: -1}}}
		book := override.New()
		c, err := New(Options{Settings: s, Overrides: book})
		require.NoError(t, err)
		f := &fleet{}
		c.Connect(f, f)
		go c.Run(t.Context())
		c.UpdateMembers(balance.UpdateCached, regionsOf(workers))
		synctest.Wait()
		scene(c, f, book)
	})
}

func regionsOf(n int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, Worker{Name: string(rune('a' + i)), Member: balance.Member{ID: balance.WorkerID(i + 1), Weight: 1}})
	}
	return list
}

// submitN hands over n requests of fresh ids and lets the core take them up.
func submitN(c *Core, f *fleet, from, n int) {
	for i := range n {
		c.Submit(&Request{ID: fmt.Sprint(from + i), Tenant: -1, Timeout: 5 * time.Second, Slots: 1, Client: f})
	}
	synctest.Wait()
}

func sentTo(attempts []*Attempt) map[string]int {
	to := map[string]int{}
	for _, t := range attempts {
		to[t.Worker.Name]++
	}
	return to
}

// From the turn after a detach nothing new goes to the worker, whatever the table says of it
// later, until it is attached; then it is as cold as a worker that has just started.
func TestHandBanHoldsUntilAttach(t *testing.T) {
	playBanned(t, 2, func(c *Core, f *fleet, book *override.Set) {
		_, err := book.Detach(time.Now(), "nobody")
		require.ErrorIs(t, err, override.ErrUnknownWorker, "an id that was never listed")
		gen, err := book.Detach(time.Now(), "a")
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, gen, c.OverrideGeneration(), "the core tells that it obeys")

		submitN(c, f, 0, 20)
		require.NotEmpty(t, f.started)
		require.Zero(t, sentTo(f.started)["a"], "sent to a worker out by hand")

		// The table names it serving again, and whole: the ban holds.
		c.UpdateMembers(balance.UpdateFull, regionsOf(2))
		for _, attempt := range f.started {
			c.AttemptEnded(attempt, balance.StatusOK, []byte("r"))
		}
		f.started = nil
		synctest.Wait()
		submitN(c, f, 100, 20)
		require.Zero(t, sentTo(f.started)["a"], "the table's word lifted the ban")

		again, err := book.Detach(time.Now(), "a")
		require.NoError(t, err)
		require.Equal(t, gen, again, "a repeated detach changes nothing")

		for _, attempt := range f.started {
			c.AttemptEnded(attempt, balance.StatusOK, []byte("r"))
		}
		f.started = nil
		back := time.Now()
		_, err = book.Attach("a")
		require.NoError(t, err)
		synctest.Wait()
		var started time.Duration
		c.post(func() { started = c.overridden(c.members[1]).StartedAt })
		synctest.Wait()
		require.Equal(t, time.Duration(back.UnixNano()), started, "a worker taken back is cold from then on")
		submitN(c, f, 200, 40)
		require.NotZero(t, sentTo(f.started)["a"], "an attached worker gets work again")
	})
}

// A ban holds for a worker that the table drops and names again, as a restarted one would be.
func TestHandBanOverAbsence(t *testing.T) {
	playBanned(t, 2, func(c *Core, f *fleet, book *override.Set) {
		_, err := book.Detach(time.Now(), "a")
		require.NoError(t, err)
		synctest.Wait()
		gone := regionsOf(1)
		gone[0].State = balance.Gone
		c.UpdateMembers(balance.UpdateDelta, gone)
		c.UpdateMembers(balance.UpdateDelta, regionsOf(1))
		synctest.Wait()
		submitN(c, f, 0, 20)
		require.Zero(t, sentTo(f.started)["a"])
	})
}

// Whatever the balancer decides, the core sends nothing to a worker out by hand: the send is
// moot and never leaves.
func TestHandBanGuardsSend(t *testing.T) {
	playBanned(t, 2, func(c *Core, f *fleet, book *override.Set) {
		_, err := book.Detach(time.Now(), "a")
		require.NoError(t, err)
		synctest.Wait()
		submitN(c, f, 0, 1)
		c.post(func() { host{c}.Send(1, 1, 0) }) // as a balancer might, were it wrong
		synctest.Wait()
		require.Zero(t, sentTo(f.started)["a"])
	})
}

// Every final answer is counted once, by its class and verdict, also those given before the
// core has the request; a client that has gone is not counted.
func TestCounts(t *testing.T) {
	play(t, 2, func(s *balance.Settings) { s.MaxOpenJobs = 6 }, func(c *Core, f *fleet) {
		submitN(c, f, 0, 8) // two find too many open
		require.Len(t, f.answers, 2)
		for i := range 4 { // each end makes room for the next
			require.Greater(t, len(f.started), i)
			attempt := f.started[i]
			status := balance.StatusOK
			if i == 3 {
				status = balance.StatusInvalid
			}
			attempt.RecordEvent(Written)
			attempt.RecordEvent(Written) // once an attempt
			c.AttemptEnded(attempt, status, []byte("r"))
			synctest.Wait()
		}
		var left *Request
		for _, attempt := range f.started[4:] {
			if !attempt.Request.over {
				left = attempt.Request
				break
			}
		}
		require.NotNil(t, left)
		c.CancelRequest(left)
		synctest.Wait()
		k := c.Counts()[0]
		served, refused, failed := 0, 0, 0
		for _, a := range f.answers {
			switch a.Verdict {
			case Served:
				served++
			case Refused:
				refused++
			default:
				failed++
			}
		}
		require.Equal(t, ClassCounts{Served: int64(served), Refused: int64(refused), Failed: int64(failed), AttemptsWritten: 4}, k)
		require.Equal(t, 3, served)
		require.Equal(t, 1, failed)
	})
}
