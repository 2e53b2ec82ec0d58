package background

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// fakeServer records the calls of the scheduler. The test reports how each offer ends.
type fakeServer struct {
	mu           sync.Mutex
	offers       []uint64
	priors       []*balance.PriorAttempt // of each offer
	deadLettered map[uint64]string
	withdrawn    []uint64
	notFound     []string
	dedupWindow  time.Duration
}

func (server *fakeServer) locked(g func()) {
	server.mu.Lock()
	defer server.mu.Unlock()
	g()
}
func (server *fakeServer) Offer(stored *jobstore.StoredJob, prior *balance.PriorAttempt) {
	server.locked(func() {
		server.offers = append(server.offers, stored.Job.ID)
		server.priors = append(server.priors, prior)
	})
}
func (server *fakeServer) Withdraw(stored *jobstore.StoredJob) {
	server.locked(func() { server.withdrawn = append(server.withdrawn, stored.Job.ID) })
}
func (server *fakeServer) DeadLettered(stored *jobstore.StoredJob, reason string) {
	server.locked(func() { server.deadLettered[stored.Job.ID] = reason })
}
func (server *fakeServer) JobNotFound(handle string) {
	server.locked(func() { server.notFound = append(server.notFound, handle) })
}
func (server *fakeServer) Class(string) *balance.Class {
	server.mu.Lock()
	defer server.mu.Unlock()
	return &balance.Class{Name: "f", Idempotency: balance.Deduplicated, DedupScope: balance.ScopeCell, DedupWindow: server.dedupWindow}
}
func (server *fakeServer) offerCount() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.offers)
}

var errDisk = errors.New("no space left on device")

type fixture struct {
	*Scheduler
	server    *fakeServer
	stop      func() // stops the scheduler and closes its store
	diskFull  atomic.Bool
	diskDelay atomic.Int64 // nanoseconds that each commit takes
	wallClock atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	return newFixtureAt(t, filepath.Join(t.TempDir(), "jobs"))
}

// newFixtureAt returns a fixture whose store is the given file.
func newFixtureAt(t *testing.T, path string) *fixture {
	fx := &fixture{server: &fakeServer{deadLettered: map[uint64]string{}, dedupWindow: time.Minute}}
	fx.wallClock.Store(time.Now().UnixNano())
	clock := dispatch.NewClock()
	store, err := jobstore.Open(jobstore.Options{Path: path, Now: clock.Now, BeforeCommit: func() error {
		time.Sleep(time.Duration(fx.diskDelay.Load()))
		if fx.diskFull.Load() {
			return errDisk
		}
		return nil
	}})
	require.NoError(t, err)
	fx.Scheduler = New(Options{Store: store, Clock: clock, WallClock: func() time.Time { return time.Unix(0, fx.wallClock.Load()) },
		RetryLimits: recovery.Limits{MaxOffers: 3, MaxSends: 10, BaseBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond},
		PacerLimits: recovery.PacerLimits{MaxWindow: 8, MaxUnsent: 8}}, fx.server)
	ctx, stop := context.WithCancel(t.Context())
	go fx.Run(ctx)
	fx.stop = sync.OnceFunc(func() { stop(); fx.Wait(); require.NoError(t, store.Close()) })
	t.Cleanup(fx.stop)
	return fx
}

func (fx *fixture) accept(t *testing.T, due time.Time) uint64 {
	id, now := fx.NextID(), fx.Now()
	state := &jobstore.State{Due: now}
	if !due.IsZero() {
		state.Due, state.DueSetByClient = time.Duration(due.UnixNano()), true
	}
	done := make(chan error, 1)
	fx.Accept(&jobstore.Job{ID: id, Handle: fmt.Sprint("h", id), Function: "f", AcceptedAt: now, DueSetByClient: state.DueSetByClient}, state, false, func(err error) { done <- err })
	require.NoError(t, <-done)
	return id
}

func (fx *fixture) recordSend(t *testing.T, id uint64, send jobstore.Send) error {
	_, err := fx.RecordSend(t.Context(), id, send)
	return err
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 10*time.Second, time.Millisecond, what)
}

// While the disk is full no attempt may be sent, since without its record it could be sent twice
// after a crash. A job that is served then must not be offered again because of its old record, and
// is removed once there is space.
func TestDiskFullStopsSends(t *testing.T) {
	fx := newFixture(t)
	id := fx.accept(t, time.Time{})
	eventually(t, "offered", func() bool { return fx.server.offerCount() == 1 })
	fx.diskFull.Store(true)
	require.ErrorIs(t, fx.recordSend(t, id, jobstore.Send{WorkerName: "a", At: fx.Now()}), errDisk)
	require.ErrorIs(t, fx.Admit(1), jobstore.ErrUnavailable, "new jobs are rejected at once")
	fx.diskFull.Store(false)
	require.NoError(t, fx.recordSend(t, id, jobstore.Send{WorkerName: "a", At: fx.Now()}))
	fx.diskFull.Store(true)
	fx.OfferEnded(id, recovery.OutcomeServed, 0)
	time.Sleep(3 * writeRetryInterval / 2)
	require.Equal(t, 1, fx.server.offerCount())
	require.Equal(t, 1, fx.Store().Counts().Jobs)
	fx.diskFull.Store(false)
	eventually(t, "removed", func() bool { return fx.Store().Counts().Jobs == 0 })
	require.Equal(t, 1, fx.server.offerCount())
}

// A scheduled job starts at its time by the system clock, even if that clock is set back and
// forward while the job waits. Once offered, its backoff uses the monotonic clock of the process.
func TestScheduledJobFollowsSystemClock(t *testing.T) {
	fx := newFixture(t)
	now := time.Unix(0, fx.wallClock.Load())
	fx.accept(t, now.Add(time.Hour))
	fx.wallClock.Store(now.Add(59 * time.Minute).UnixNano())
	time.Sleep(maxPollInterval + maxPollInterval/5)
	fx.wallClock.Store(now.Add(-time.Hour).UnixNano()) // the clock is set back while the job waits
	time.Sleep(maxPollInterval + maxPollInterval/5)
	require.Zero(t, fx.server.offerCount())
	fx.wallClock.Store(now.Add(61 * time.Minute).UnixNano())
	eventually(t, "offered", func() bool { return fx.server.offerCount() == 1 })
	fx.OfferEnded(1, recovery.OutcomeRefused, 0) // from now on it waits by the process's own clock
	fx.wallClock.Store(now.Add(-time.Hour).UnixNano())
	eventually(t, "offered again", func() bool { return fx.server.offerCount() == 2 })
}

// Repeated reports of the end of one offer count once, and the third offer without a result makes
// the job a dead letter.
func TestOfferOutcomes(t *testing.T) {
	fx := newFixture(t)
	id := fx.accept(t, time.Time{})
	for n := 1; n <= 3; n++ {
		eventually(t, "offered", func() bool { return fx.server.offerCount() == n })
		fx.OfferEnded(id, recovery.OutcomeRefused, 0)
		fx.OfferEnded(id, recovery.OutcomeRefused, 0)
	}
	eventually(t, "dead", func() bool { return fx.Store().Counts().Dead == 1 })
	fx.server.locked(func() { require.Equal(t, map[uint64]string{id: recovery.ReasonRefused}, fx.server.deadLettered) })
	require.Equal(t, 3, fx.server.offerCount())
	fx.Promote(id, "h1")
	eventually(t, "a dead letter is not found", func() bool { fx.server.mu.Lock(); defer fx.server.mu.Unlock(); return len(fx.server.notFound) == 1 })
	fx.Promote(99, "h99")
	eventually(t, "an unknown job is not found", func() bool { fx.server.mu.Lock(); defer fx.server.mu.Unlock(); return len(fx.server.notFound) == 2 })
	require.NoError(t, fx.Release("h1"))
	eventually(t, "released", func() bool { return fx.server.offerCount() == 4 })
	require.NoError(t, fx.Cancel("h1"))
	require.ErrorIs(t, fx.Cancel("h1"), jobstore.ErrNotFound)
	fx.OfferEnded(id, recovery.OutcomeServed, 0)
	require.ErrorIs(t, fx.recordSend(t, id, jobstore.Send{}), jobstore.ErrNotFound, "a cancelled job must not be sent")
	require.Zero(t, fx.Store().Counts().Jobs)
}

// After Drain no job is offered, and a job that has not been sent is not sent any more.
func TestDrainStopsOffers(t *testing.T) {
	fx := newFixture(t)
	served, offered := fx.accept(t, time.Time{}), fx.accept(t, time.Time{})
	eventually(t, "one offered", func() bool { return fx.server.offerCount() == 1 }) // the window begins at one
	require.NoError(t, fx.recordSend(t, served, jobstore.Send{WorkerName: "a"}))
	fx.OfferEnded(served, recovery.OutcomeServed, 0)
	eventually(t, "the other offered", func() bool { return fx.server.offerCount() == 2 })
	fx.Drain()
	fx.server.locked(func() { require.Equal(t, []uint64{offered}, fx.server.withdrawn) })
	require.ErrorIs(t, fx.recordSend(t, offered, jobstore.Send{WorkerName: "a"}), ErrDraining)
	fx.accept(t, time.Time{})
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, 2, fx.server.offerCount())
	require.Equal(t, 2, fx.Store().Counts().Jobs, "both jobs stay stored")
}
