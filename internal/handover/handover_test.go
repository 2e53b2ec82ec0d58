package handover

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/override"
)

const testTimeout = 2 * time.Second // much longer than a poll takes, so that only a missing handover fails

func startSyncer(t *testing.T, dir string, log *slog.Logger) *override.Set {
	set := override.New()
	s := NewSyncer(SyncerOptions{Dir: dir, Overrides: set, Log: log, PollInterval: 5 * time.Millisecond})
	s.Start()
	t.Cleanup(s.Close)
	return set
}

// The old and the new process of a dispatcher share one set of detached workers: detaching or
// attaching a worker in either applies to both.
func TestDetachedWorkersAreShared(t *testing.T) {
	dir := t.TempDir()
	old := startSyncer(t, dir, nil)
	old.RecordListed(time.Now(), "s-1", "s-2")
	_, err := old.Detach(time.Now(), "s-1")
	require.NoError(t, err)

	successor := startSyncer(t, dir, nil)
	require.Eventually(t, func() bool { return successor.IsDetached("s-1") }, testTimeout, time.Millisecond, "not adopted at the start")
	_, err = successor.Attach("s-1")
	require.NoError(t, err, "an adopted name counts as listed")
	_, err = successor.Detach(time.Now(), "s-1")
	require.NoError(t, err)
	_, err = successor.Attach("s-1")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !old.IsDetached("s-1") }, testTimeout, time.Millisecond, "the old process does not attach the worker")
	successor.RecordListed(time.Now(), "s-2")
	_, err = successor.Detach(time.Now(), "s-2")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return old.IsDetached("s-2") }, testTimeout, time.Millisecond)
}

// The file is replaced atomically: a reader finds a complete generation, never a mix of two.
func TestFileIsReplacedAtomically(t *testing.T) {
	dir := t.TempDir()
	set := startSyncer(t, dir, nil)
	set.RecordListed(time.Now(), "s-1", "s-2")
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if data, err := os.ReadFile(filepath.Join(dir, StateFileName)); err == nil {
				_, err := override.Decode(data)
				require.NoError(t, err, "a reader found an incomplete file")
			}
		}
	})
	for range 200 {
		_, _ = set.Detach(time.Now(), "s-1")
		_, _ = set.Attach("s-1")
	}
	time.Sleep(20 * time.Millisecond)
	close(stop)
	wg.Wait()
}

// A truncated or foreign file is ignored, and logged once however often it is polled.
func TestInvalidFileIsIgnored(t *testing.T) {
	dir := t.TempDir()
	encoded := override.Encode(override.State{Generation: 9, Detached: []string{"s-1"}})
	require.NoError(t, os.WriteFile(filepath.Join(dir, StateFileName), encoded[:len(encoded)-3], 0o600))
	log := &lockedBuffer{}
	set := startSyncer(t, dir, slog.New(slog.NewTextHandler(log, nil)))
	time.Sleep(50 * time.Millisecond) // about ten polls
	require.False(t, set.IsDetached("s-1"))
	require.Equal(t, 1, strings.Count(log.String(), "detached-workers file ignored"), log.String())

	require.NoError(t, os.WriteFile(filepath.Join(dir, StateFileName), []byte("something else\n"), 0o600))
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 2, strings.Count(log.String(), "detached-workers file ignored"), "a different fault is logged again")
	require.NoError(t, os.WriteFile(filepath.Join(dir, StateFileName), encoded, 0o600))
	require.Eventually(t, func() bool { return set.IsDetached("s-1") }, testTimeout, time.Millisecond, "a valid file after an invalid one is not adopted")
}

// lockedBuffer is a log that the test reads while a Syncer writes to it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Callbacks relayed through the inbox reach the other process complete, once and in order. A process
// without peers relays nothing.
func TestRelayCallbacks(t *testing.T) {
	dir := t.TempDir()
	type received struct {
		mu     sync.Mutex
		bodies []string
	}
	var atOld, atNew received
	deliver := func(to *received) func([]byte) {
		return func(b []byte) {
			to.mu.Lock()
			defer to.mu.Unlock()
			to.bodies = append(to.bodies, string(b))
		}
	}
	old := NewRelay(dir, nil, deliver(&atOld))
	require.NoError(t, old.Start())
	require.False(t, old.Send([]byte("alone")), "there is no peer")

	successor := NewRelay(dir, nil, deliver(&atNew))
	require.NoError(t, successor.Start())
	require.Equal(t, 1, successor.PeerCount(), "the new process finds the old one when it starts")
	require.Eventually(t, func() bool { return old.PeerCount() == 1 }, testTimeout, time.Millisecond)
	var want []string
	for i := range 50 {
		body := `{"id":"` + strings.Repeat("x", i) + `","state":"done"}`
		require.True(t, successor.Send([]byte(body)))
		want = append(want, body)
	}
	require.Eventually(t, func() bool {
		atOld.mu.Lock()
		defer atOld.mu.Unlock()
		return len(atOld.bodies) == len(want)
	}, testTimeout, time.Millisecond)
	atOld.mu.Lock()
	require.Equal(t, want, atOld.bodies, "each once, in the order sent")
	atOld.mu.Unlock()
	require.Empty(t, atNew.bodies)

	old.Close()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		require.NotContains(t, e.Name(), old.self, "the old process left a file behind")
	}
	require.Eventually(t, func() bool { return successor.PeerCount() == 0 }, 3*livenessTimeout, 10*time.Millisecond)
	successor.Close()
}
