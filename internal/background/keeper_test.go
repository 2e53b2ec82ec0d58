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

// front notes what it is offered; the test says how an offer ends.
type front struct {
	mu      sync.Mutex
	offers  []uint64
	buried  map[uint64]string
	back    []uint64
	missing []string
}

func (f *front) note(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
}
func (f *front) Offer(j *jobstore.Stored, _ *balance.PriorAttempt) {
	f.note(func() { f.offers = append(f.offers, j.Job.ID) })
}
func (f *front) Withdraw(j *jobstore.Stored)               { f.note(func() { f.back = append(f.back, j.Job.ID) }) }
func (f *front) DeadLettered(j *jobstore.Stored, r string) { f.note(func() { f.buried[j.Job.ID] = r }) }
func (f *front) JobNotFound(handle string)                 { f.note(func() { f.missing = append(f.missing, handle) }) }
func (f *front) Class(string) *balance.Class {
	return &balance.Class{Name: "f", Idempotency: balance.Deduplicated, DedupScope: balance.ScopeCell, DedupWindow: time.Minute}
}
func (f *front) offered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.offers)
}

var errDisk = errors.New("no space left on device")

type bench struct {
	*Scheduler
	f    *front
	full atomic.Bool
	wall atomic.Int64
}

func begin(t *testing.T) *bench {
	b := &bench{f: &front{buried: map[uint64]string{}}}
	b.wall.Store(time.Now().UnixNano())
	clock := dispatch.NewClock()
	s, err := jobstore.Open(jobstore.Options{Path: filepath.Join(t.TempDir(), "jobs"), Now: clock.Now, Commit: func() error {
		if b.full.Load() {
			return errDisk
		}
		return nil
	}})
	require.NoError(t, err)
	b.Scheduler = New(Options{Store: s, Clock: clock, WallClock: func() time.Time { return time.Unix(0, b.wall.Load()) },
		Limits: recovery.Limits{MaxOffers: 3, MaxSends: 10, BaseBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond},
		Pace:   recovery.PacerLimits{MaxWindow: 8, MaxUnsent: 8}}, b.f)
	ctx, stop := context.WithCancel(t.Context())
	go b.Run(ctx)
	t.Cleanup(func() { stop(); b.Wait(); require.NoError(t, s.Close()) })
	return b
}

func (b *bench) accept(t *testing.T, due time.Time) uint64 {
	id, now := b.NextID(), b.Now()
	st := &jobstore.State{Due: now}
	if !due.IsZero() {
		st.Due, st.Timed = time.Duration(due.UnixNano()), true
	}
	done := make(chan error, 1)
	b.Accept(&jobstore.Job{ID: id, Handle: fmt.Sprint("h", id), Function: "f", Accepted: now, Timed: st.Timed}, st, false, func(err error) { done <- err })
	require.NoError(t, <-done)
	return id
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 10*time.Second, time.Millisecond, what)
}

// While the disk is full nothing leaves, since what is sent unwritten could be sent twice after a
// crash; a job that was served is not offered again by what is still written, and is removed when
// there is room.
func TestDiskFull(t *testing.T) {
	b := begin(t)
	id := b.accept(t, time.Time{})
	eventually(t, "offered", func() bool { return b.f.offered() == 1 })
	b.full.Store(true)
	require.ErrorIs(t, b.RecordSend(t.Context(), id, jobstore.Send{Region: "a", At: b.Now()}), errDisk)
	require.ErrorIs(t, b.Admit(1), jobstore.ErrUnavailable, "new jobs are turned away at once")
	b.full.Store(false)
	require.NoError(t, b.RecordSend(t.Context(), id, jobstore.Send{Region: "a", At: b.Now()}))
	b.full.Store(true)
	b.OfferEnded(id, recovery.OutcomeServed, 0)
	time.Sleep(3 * unstickEvery / 2)
	require.Equal(t, 1, b.f.offered())
	require.Equal(t, 1, b.Store().Counts().Jobs)
	b.full.Store(false)
	eventually(t, "removed", func() bool { return b.Store().Counts().Jobs == 0 })
	require.Equal(t, 1, b.f.offered())
}

// A timed job starts by the system's clock as it reads, however often that is set: not before its
// instant, and not never.
func TestClockIsSet(t *testing.T) {
	b := begin(t)
	now := time.Unix(0, b.wall.Load())
	b.accept(t, now.Add(time.Hour))
	b.wall.Store(now.Add(59 * time.Minute).UnixNano())
	time.Sleep(look + look/5)
	b.wall.Store(now.Add(-time.Hour).UnixNano()) // set back while it waits
	time.Sleep(look + look/5)
	require.Zero(t, b.f.offered())
	b.wall.Store(now.Add(61 * time.Minute).UnixNano())
	eventually(t, "offered", func() bool { return b.f.offered() == 1 })
	b.OfferEnded(1, recovery.OutcomeRefused, 0) // from now on its waits are the process's
	b.wall.Store(now.Add(-time.Hour).UnixNano())
	eventually(t, "offered again", func() bool { return b.f.offered() == 2 })
}

// An offer ends once, whatever is told of it, and the third without a result is the last.
func TestEnds(t *testing.T) {
	b := begin(t)
	id := b.accept(t, time.Time{})
	for n := 1; n <= 3; n++ {
		eventually(t, "offered", func() bool { return b.f.offered() == n })
		b.OfferEnded(id, recovery.OutcomeRefused, 0)
		b.OfferEnded(id, recovery.OutcomeRefused, 0)
	}
	eventually(t, "dead", func() bool { return b.Store().Counts().Dead == 1 })
	b.f.note(func() { require.Equal(t, map[uint64]string{id: recovery.ReasonRefused}, b.f.buried) })
	require.Equal(t, 3, b.f.offered())
	b.Promote(id, "h1")
	eventually(t, "a dead one is missing", func() bool { b.f.mu.Lock(); defer b.f.mu.Unlock(); return len(b.f.missing) == 1 })
	b.Promote(99, "h99")
	eventually(t, "one that has ended too", func() bool { b.f.mu.Lock(); defer b.f.mu.Unlock(); return len(b.f.missing) == 2 })
	require.NoError(t, b.Release("h1"))
	eventually(t, "released", func() bool { return b.f.offered() == 4 })
	require.NoError(t, b.Cancel("h1"))
	require.ErrorIs(t, b.Cancel("h1"), jobstore.ErrUnknown)
	b.OfferEnded(id, recovery.OutcomeServed, 0)
	require.ErrorIs(t, b.RecordSend(t.Context(), id, jobstore.Send{}), jobstore.ErrUnknown, "a cancelled job leaves no more")
	require.Zero(t, b.Store().Counts().Jobs)
}

// From the word to end on nothing is offered and nothing leaves that had not.
func TestDrain(t *testing.T) {
	b := begin(t)
	unsent, sent := b.accept(t, time.Time{}), b.accept(t, time.Time{})
	eventually(t, "one offered", func() bool { return b.f.offered() == 1 }) // the window begins at one
	require.NoError(t, b.RecordSend(t.Context(), unsent, jobstore.Send{Region: "a"}))
	b.OfferEnded(unsent, recovery.OutcomeServed, 0)
	eventually(t, "the other offered", func() bool { return b.f.offered() == 2 })
	b.Drain()
	b.f.note(func() { require.Equal(t, []uint64{sent}, b.f.back) })
	require.ErrorIs(t, b.RecordSend(t.Context(), sent, jobstore.Send{Region: "a"}), ErrDraining)
	b.accept(t, time.Time{})
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, 2, b.f.offered())
	require.Equal(t, 2, b.Store().Counts().Jobs, "they stay stored")
}
