package background

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// expectPrior waits for the n-th offer and checks which earlier attempt restricts it.
func (fx *fixture) expectPrior(t *testing.T, n int, want *balance.PriorAttempt) {
	t.Helper()
	eventually(t, "offered", func() bool { return fx.server.offerCount() == n })
	fx.server.mu.Lock()
	defer fx.server.mu.Unlock()
	prior := fx.server.priors[n-1]
	if prior != nil {
		require.Less(t, prior.Age, 10*time.Second)
		prior = &balance.PriorAttempt{Zone: prior.Zone, Cell: prior.Cell}
	}
	require.Equal(t, want, prior)
}

// Guards against a second run in another cell: an attempt that never ran may not remove the record of the attempt
// before it, which may have run, neither in the process that made the record nor after a restart.
func TestRetractionKeepsRecordOfEarlierSend(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs")
	fx := newFixtureAt(t, path)
	id := fx.accept(t, time.Time{})
	fx.expectPrior(t, 1, nil)
	_, err := fx.RecordSend(t.Context(), id, jobstore.Send{WorkerName: "a", Zone: 1, Cell: 2, At: fx.Now()})
	require.NoError(t, err)
	retractNext := func(fx *fixture) {
		neverRan, err := fx.RecordSend(t.Context(), id, jobstore.Send{WorkerName: "b", Zone: 1, Cell: 2, At: fx.Now()})
		require.NoError(t, err)
		fx.RetractSend(id, neverRan)
	}
	retractNext(fx)
	fx.OfferEnded(id, recovery.OutcomeFailed, 0)
	fx.expectPrior(t, 2, &balance.PriorAttempt{Zone: 1, Cell: 2})
	fx.stop()

	restarted := newFixtureAt(t, path)
	restarted.expectPrior(t, 1, &balance.PriorAttempt{Zone: 1, Cell: 2})
	retractNext(restarted)
	restarted.OfferEnded(id, recovery.OutcomeFailed, 0)
	restarted.expectPrior(t, 2, &balance.PriorAttempt{Zone: 1, Cell: 2})
	restarted.OfferEnded(id, recovery.OutcomeFailed, 0)
	eventually(t, "dead after three offers", func() bool { return restarted.Store().Counts().Dead == 1 })
	restarted.server.locked(func() { require.Equal(t, recovery.ReasonUnknown, restarted.server.deadLettered[id]) })
}

// Guards against needless dead letters: a job whose only attempt never ran may go to any worker again.
func TestRetractionOfOnlySendLiftsRestriction(t *testing.T) {
	fx := newFixture(t)
	id := fx.accept(t, time.Time{})
	fx.expectPrior(t, 1, nil)
	send, err := fx.RecordSend(t.Context(), id, jobstore.Send{WorkerName: "a", Cell: 2, At: fx.Now()})
	require.NoError(t, err)
	fx.RetractSend(id, send)
	fx.OfferEnded(id, recovery.OutcomeRefused, 0)
	fx.expectPrior(t, 2, nil)
}

// Guards against a second run after a slow write to disk: the policy allows a repeat within the deduplication window,
// and the record of the repeat may reach the disk only after it.
func TestRepeatIsNotSentAfterSlowRecord(t *testing.T) {
	fx := newFixture(t)
	fx.server.locked(func() { fx.server.dedupWindow = 200 * time.Millisecond })
	id := fx.accept(t, time.Time{})
	fx.expectPrior(t, 1, nil)
	require.NoError(t, fx.recordSend(t, id, jobstore.Send{WorkerName: "a", Cell: 2, At: fx.Now()}))
	fx.diskDelay.Store(int64(300 * time.Millisecond))
	require.ErrorIs(t, fx.recordSend(t, id, jobstore.Send{WorkerName: "b", Cell: 2, At: fx.Now()}), ErrDedupWindowOver)
	fx.OfferEnded(id, recovery.OutcomeServed, 0)
	other := fx.accept(t, time.Time{})
	fx.expectPrior(t, 2, nil)
	require.NoError(t, fx.recordSend(t, other, jobstore.Send{WorkerName: "a", Cell: 2, At: fx.Now()}), "a first send repeats nothing")
}
