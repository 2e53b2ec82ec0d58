package quorum

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// startedOnce returns a stopped cluster of one voter with some entries in its log.
func startedOnce(t *testing.T) *cluster {
	c := &cluster{t: t, addrs: map[string]string{"n0": "127.0.0.1:0"}, dir: t.TempDir(), running: map[string]*Voter{}}
	c.start("n0", true)
	for i := range uint64(40) {
		_, err := c.apply(ledger.Command{Fleet: "f", SetBudgets: &ledger.SetBudgets{Version: i + 1, Budgets: []ledger.Budget{{Name: "b", Kind: ledger.KindConcurrency, Total: int64(i) * 1000}}}})
		if !errors.Is(err, ledger.ErrVersionMismatch) { // already written, if the first attempt's outcome was unknown
			require.NoError(t, err)
		}
	}
	c.stop("n0")
	return c
}

// A corrupt log must neither end the process nor produce a state that was never written. The voter starts with
// all written entries or those up to some entry (bbolt falls back to its last valid root), or it reports that
// its directory is damaged.
func TestStartDetectsCorruptLog(t *testing.T) {
	c := startedOnce(t)
	path := filepath.Join(c.dir, "n0", "log.db")
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(1, 1))
	rejected := 0
	for i := range 60 {
		data := append([]byte(nil), intact...)
		switch i % 3 {
		case 0: // flips 8 bytes
			for range 8 {
				data[rng.IntN(len(data))] ^= byte(1 + rng.IntN(255))
			}
		case 1: // zeroes a block, as if it never reached the disk
			offset := rng.IntN(len(data) - 4096)
			clear(data[offset : offset+4096])
		case 2: // truncates the file
			data = data[:1+rng.IntN(len(data)-1)]
		}
		c.dir = t.TempDir() // bbolt keeps the lock of a file after a panic
		require.NoError(t, os.CopyFS(filepath.Join(c.dir, "n0"), os.DirFS(filepath.Dir(path))))
		require.NoError(t, os.WriteFile(filepath.Join(c.dir, "n0", "log.db"), data, 0o600))
		voter, err := c.startVoter("n0", false)
		if err != nil {
			rejected++
			require.True(t, errors.Is(err, ErrCorrupt) || errors.Is(err, ErrNoState), "case %d: %v", i, err)
			continue
		}
		c.running["n0"] = voter
		for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			var version uint64
			voter.View(func(s *ledger.State) {
				if version = s.BudgetVersion(); version > 0 {
					total, _ := s.Holders("b")
					require.Equal(t, int64(version-1)*1000, total)
				}
			})
			if version == 40 || voter.Leader() == "n0" {
				break
			}
			select {
			case <-voter.Failed(): // detected after the start
				require.ErrorIs(t, voter.Err(), ErrCorrupt)
				rejected++
				deadline = time.Time{}
			default:
			}
		}
		c.stop("n0")
	}
	require.Positive(t, rejected)
	t.Logf("%d of 60 rejected", rejected)
}

// Raft panics at its start if the log's first entries are missing and no snapshot covers them. That once ended
// the process.
func TestStartRejectsLogWithMissingFirstEntries(t *testing.T) {
	c := startedOnce(t)
	store, err := openStore(boltdb.Options{Path: filepath.Join(c.dir, "n0", "log.db")}, make(chan struct{}))
	require.NoError(t, err)
	first, err := store.FirstIndex()
	require.NoError(t, err)
	require.NoError(t, store.DeleteRange(first, first+1))
	require.NoError(t, store.closeStore())
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, "n0", "snapshots")))
	_, err = c.startVoter("n0", false)
	require.ErrorIs(t, err, ErrCorrupt)
}

// A directory of another generation is rejected, with both generations named, before raft starts.
func TestStartRejectsDirectoryOfAnotherGeneration(t *testing.T) {
	c := startedOnce(t)
	_, err := Start(Options{Bootstrap: true, Name: "n0", Voters: c.addrs, Dir: filepath.Join(c.dir, "n0"), Clock: clock,
		Settings: ledger.Settings{Fleet: "f", Generation: 2, MaxMembers: 8}})
	require.ErrorIs(t, err, ErrWrongGeneration)
	require.ErrorContains(t, err, "the directory belongs to f/1/, this voter to f/2/")
}
