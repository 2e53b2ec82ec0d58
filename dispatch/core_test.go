package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
)

// fleet is a driver, a table and a terminal that note what they are told.
type fleet struct {
	started, cancelled []*Attempt
	answers            []Answer
	watches            int
}

func (f *fleet) Start(t *Attempt)       { f.started = append(f.started, t) }
func (f *fleet) Cancel(t *Attempt)      { f.cancelled = append(f.cancelled, t) }
func (f *fleet) UpdateMembers([]Worker) {}
func (f *fleet) Watch()                 { f.watches++ }
func (f *fleet) Fetch()                 {}
func (f *fleet) Answer(a Answer)        { f.answers = append(f.answers, a) }

func play(t *testing.T, workers int, settings func(*balance.Settings), scene func(*Core, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 3, AllowCancel: true, AllowCopies: true, PullMembers: true,
			ConnectTimeout: 250 * time.Millisecond, Tick: 5 * time.Millisecond, ReportsStart: true, MaxRetryAfter: 2 * time.Second,
			Classes: []balance.Class{{Name: "price-read", Target: time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 1, WorkerKind: -1}}}
		if settings != nil {
			settings(&s)
		}
		c, err := New(Options{Settings: s})
		require.NoError(t, err)
		f := &fleet{}
		c.Connect(f, f)
		go c.Run(t.Context())
		var list []Worker
		for i := range workers {
			list = append(list, Worker{Name: string(rune('a' + i)), Member: balance.Member{ID: balance.WorkerID(i + 1), Weight: 1}})
		}
		c.UpdateMembers(balance.UpdateCached, list)
		scene(c, f)
	})
}

func submit(c *Core, f *fleet) *Request {
	request := &Request{ID: "1", Tenant: -1, Timeout: 5 * time.Second, Slots: 1, Client: f}
	c.Submit(request)
	synctest.Wait()
	return request
}

// Late and repeated events are dropped: one outcome for each send, one answer for each
// request.
func TestOneAnswer(t *testing.T) {
	play(t, 1, nil, func(c *Core, f *fleet) {
		request := submit(c, f)
		attempt := f.started[0]
		for range 3 {
			c.AttemptEnded(attempt, balance.StatusOK, []byte("r"))
			c.AttemptEnded(attempt, balance.StatusReset, nil)
			c.AttemptStarted(attempt)
			c.AttemptProgress(attempt, 0.5)
		}
		c.CancelRequest(request)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Equal(t, []Answer{{Verdict: Served, Result: []byte("r")}}, f.answers)
		require.Len(t, f.started, 1)
		require.Zero(t, c.Open())
		require.Empty(t, c.jobs)
		require.LessOrEqual(t, len(c.timers), 1) // the balancer's own: a finished job holds none
	})
}

// While a worker has not settled a cancel, it may still have the attempt: it must not be sent
// another of the same request.
func TestUnsettledCancelKeepsTheRegionOut(t *testing.T) {
	play(t, 2, nil, func(c *Core, f *fleet) {
		submit(c, f)
		first := f.started[0]
		time.Sleep(time.Second) // no start is told: it is copied
		synctest.Wait()
		require.Len(t, f.started, 2)
		c.post(func() {
			host{c}.Cancel(1, 0)
			host{c}.Send(1, first.Worker.ID, 0) // as a balancer might, were it wrong
		})
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []*Attempt{first}, f.cancelled)
		require.Len(t, f.started, 2, "sent although the cancel is not settled")
		require.Len(t, first.Request.attempts, 3)
		require.True(t, first.Request.attempts[2].done)
	})
}

// What finds too many open is refused at once, with a time to come back, and sent nowhere.
func TestTooManyOpen(t *testing.T) {
	play(t, 1, func(s *balance.Settings) { s.MaxOpenJobs = 1 }, func(c *Core, f *fleet) {
		submit(c, f)
		submit(c, f)
		require.Equal(t, []Answer{{Verdict: Refused, RetryAfter: time.Second, Reason: "too many open requests"}}, f.answers)
		require.Len(t, f.started, 1)
	})
}

// Started times map onto the clock, and dispatchers agree on workers' numbers whatever the
// order in which they meet them.
func TestClockAndNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClock()
		require.Equal(t, time.Duration(time.Now().UnixNano()), c.Now())
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Equal(t, time.Duration(time.Now().UnixNano()), c.Now())
	})
	require.Equal(t, balance.WorkerID(0x5be2a07c), WorkerIDFromName("s-5be2a07c"))
	require.NotEqual(t, WorkerIDFromName("price-node-1"), WorkerIDFromName("price-node-2"))
	require.Greater(t, WorkerIDFromName("price-node-1"), balance.WorkerID(1)<<32, "no hash may meet a parsed id")
}

// A request that another goroutine gives up before the submitting one has handed it over is
// not begun, and none is counted as open.
func TestLeftBeforeItBegan(t *testing.T) {
	play(t, 1, nil, func(c *Core, f *fleet) {
		request := &Request{ID: "1", Tenant: -1, Timeout: 5 * time.Second, Slots: 1, Client: f}
		c.CancelRequest(request)
		synctest.Wait()
		c.Submit(request)
		synctest.Wait()
		require.Empty(t, f.started)
		require.Zero(t, c.Open())
		submit(c, f)
		require.Len(t, f.started, 1, "its id is free")
	})
}

// A try whose connection never came up arrived nowhere and is no attempt: where most of a list
// that could not be renewed had gone, requests were refused after three refused connects while
// live workers were there. Tries stay bounded all the same.
func TestUnreachedTriesAreNoAttempts(t *testing.T) {
	play(t, 5, nil, func(c *Core, f *fleet) {
		request := submit(c, f)
		for i := range 3 {
			require.Len(t, f.started, i+1)
			c.AttemptEnded(f.started[i], balance.StatusUnreachable, nil)
			synctest.Wait()
		}
		require.Len(t, f.started, 4, "a fourth worker is tried after three refused connects")
		require.Empty(t, f.answers)
		c.AttemptEnded(f.started[3], balance.StatusOK, []byte("r"))
		synctest.Wait()
		require.Equal(t, []Answer{{Verdict: Served, Result: []byte("r")}}, f.answers)
		require.Zero(t, c.Open())

		c.post(func() { // arrived attempts bound it as before, whatever the balancer asks
			for _, attempt := range request.attempts {
				attempt.unreached = false
			}
			require.True(t, request.spent(3))
		})
		synctest.Wait()
	})
}
