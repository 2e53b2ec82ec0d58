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

const within = 2 * time.Second // far more than a look takes: only a missing handover fails

func keeper(t *testing.T, dir string, log *slog.Logger) *override.Set {
	b := override.New()
	k := NewSyncer(SyncerOptions{Dir: dir, Overrides: b, Log: log, PollInterval: 5 * time.Millisecond})
	k.Start()
	t.Cleanup(k.Close)
	return b
}

// Two processes of one dispatcher keep one set of bans: what is taken out at either is out at
// both, and what is taken back at the new one comes back at the old one too.
func TestBansPassBetweenProcesses(t *testing.T) {
	dir := t.TempDir()
	old := keeper(t, dir, nil)
	old.RecordListed(time.Now(), "s-1", "s-2")
	_, err := old.Detach(time.Now(), "s-1")
	require.NoError(t, err)

	fresh := keeper(t, dir, nil)
	require.Eventually(t, func() bool { return fresh.IsDetached("s-1") }, within, time.Millisecond, "not taken over at the start")
	_, err = fresh.Attach("s-1")
	require.NoError(t, err, "a name taken over counts as listed")
	_, err = fresh.Detach(time.Now(), "s-1")
	require.NoError(t, err)
	_, err = fresh.Attach("s-1")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !old.IsDetached("s-1") }, within, time.Millisecond, "the old process keeps a ban lifted at the new one")
	fresh.RecordListed(time.Now(), "s-2")
	_, err = fresh.Detach(time.Now(), "s-2")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return old.IsDetached("s-2") }, within, time.Millisecond)
}

// The file is replaced whole: what a successor finds is one generation or the next, never a mix.
func TestWrittenAtomically(t *testing.T) {
	dir := t.TempDir()
	b := keeper(t, dir, nil)
	b.RecordListed(time.Now(), "s-1", "s-2")
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
				require.NoError(t, err, "a reader found a torn file")
			}
		}
	})
	for range 200 {
		_, _ = b.Detach(time.Now(), "s-1")
		_, _ = b.Attach("s-1")
	}
	time.Sleep(20 * time.Millisecond)
	close(stop)
	wg.Wait()
}

// A torn or foreign file is ignored with one line in the log, however often it is looked at.
func TestTornFileIgnored(t *testing.T) {
	dir := t.TempDir()
	whole := override.Encode(override.State{Generation: 9, Detached: []string{"s-1"}})
	require.NoError(t, os.WriteFile(filepath.Join(dir, StateFileName), whole[:len(whole)-3], 0o600))
	log := &lockedBuffer{}
	b := keeper(t, dir, slog.New(slog.NewTextHandler(log, nil)))
	time.Sleep(50 * time.Millisecond) // some ten looks
	require.False(t, b.IsDetached("s-1"))
	require.Equal(t, 1, strings.Count(log.String(), "file of hand bans ignored"), log.String())

	require.NoError(t, os.WriteFile(filepath.Join(dir, StateFileName), []byte("something else\n"), 0o600))
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 2, strings.Count(log.String(), "file of hand bans ignored"), "a new fault is told once more")
	require.NoError(t, os.WriteFile(filepath.Join(dir, StateFileName), whole, 0o600))
	require.Eventually(t, func() bool { return b.IsDetached("s-1") }, within, time.Millisecond, "a good file after a bad one")
}

// lockedBuffer is a log that the test reads while a keeper writes to it.
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

// A call-back that one process does not know reaches the other by its inbox, once and whole; a
// process alone relays nothing.
func TestRelay(t *testing.T) {
	dir := t.TempDir()
	type got struct {
		mu     sync.Mutex
		bodies []string
	}
	var atOld, atNew got
	deliver := func(g *got) func([]byte) {
		return func(b []byte) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.bodies = append(g.bodies, string(b))
		}
	}
	old := NewRelay(dir, nil, deliver(&atOld))
	require.NoError(t, old.Start())
	require.False(t, old.Send([]byte("alone")), "no one to relay to")

	fresh := NewRelay(dir, nil, deliver(&atNew))
	require.NoError(t, fresh.Start())
	require.Equal(t, 1, fresh.PeerCount(), "the new process sees the old one at its start")
	require.Eventually(t, func() bool { return old.PeerCount() == 1 }, within, time.Millisecond)
	var want []string
	for i := range 50 {
		body := `{"id":"` + strings.Repeat("x", i) + `","state":"done"}`
		require.True(t, fresh.Send([]byte(body)))
		want = append(want, body)
	}
	require.Eventually(t, func() bool {
		atOld.mu.Lock()
		defer atOld.mu.Unlock()
		return len(atOld.bodies) == len(want)
	}, within, time.Millisecond)
	atOld.mu.Lock()
	require.Equal(t, want, atOld.bodies, "in the order sent, each once")
	atOld.mu.Unlock()
	require.Empty(t, atNew.bodies)

	old.Close()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		require.NotContains(t, e.Name(), old.self, "the old process leaves nothing behind")
	}
	require.Eventually(t, func() bool { return fresh.PeerCount() == 0 }, 3*stale, 10*time.Millisecond)
	fresh.Close()
}
