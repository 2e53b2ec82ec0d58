package jobstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

func openAt(t testing.TB, o Options) *Store {
	t.Helper()
	s, err := Open(o)
	require.NoError(t, err)
	t.Cleanup(func() {
		select {
		case <-s.stop:
		default:
			_ = s.Close()
		}
	})
	return s
}

func put(s *Store, handle string, data string) error {
	j := &Job{ID: s.Number(), Handle: handle, Function: "f", Unique: "u" + handle, Data: []byte(data), Accepted: time.Second}
	done := make(chan error, 1)
	s.Put(j, &State{Due: time.Second}, func(err error) { done <- err })
	return <-done
}

func changed(s *Store, id uint64, f func(*State)) error {
	done := make(chan error, 1)
	s.Change(id, f, func(err error) { done <- err })
	return <-done
}

func all(t testing.TB, s *Store) map[string]string {
	t.Helper()
	m := map[string]string{}
	due, _, err := s.Due(time.Hour, time.Hour, time.Hour, 1<<30, func(uint64) bool { return false })
	require.NoError(t, err)
	for _, j := range due {
		m[j.Job.Handle] = string(j.Job.Data)
	}
	return m
}

func TestOutlivesTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs")
	s := openAt(t, Options{Path: path, Now: func() time.Duration { return time.Minute }})
	for i := range 5 {
		require.NoError(t, put(s, fmt.Sprint("h", i), "data"))
	}
	j, err := s.Handle("h2")
	require.NoError(t, err)
	require.NoError(t, changed(s, j.Job.ID, func(st *State) {
		st.Sends, st.First = 1, &Send{Region: "a", Zone: 1, Cell: -2, At: 3, Attempt: 1}
	}))
	require.NoError(t, changed(s, 1, func(st *State) { st.Dead = "unknown" }))
	done := make(chan error, 1)
	s.Remove(2, func(err error) { done <- err })
	require.NoError(t, <-done)
	require.NoError(t, s.Close())

	s = openAt(t, Options{Path: path, Now: func() time.Duration { return time.Second }})
	require.True(t, s.ClockBack())
	require.Equal(t, 4, s.Counts().Jobs)
	require.Equal(t, 1, s.Counts().Dead)
	require.Equal(t, 3, s.Function("f"))
	require.Len(t, all(t, s), 3)
	j, err = s.Unique("f", "uh2")
	require.NoError(t, err)
	require.Equal(t, &Send{Region: "a", Zone: 1, Cell: -2, At: 3, Attempt: 1}, j.State.First)
	require.Greater(t, s.Number(), uint64(5), "no number is given twice")
	require.NoError(t, changed(s, 1, func(st *State) { st.Dead = "" }))
	require.Len(t, all(t, s), 4)
	_, err = s.Handle("h1")
	require.ErrorIs(t, err, ErrUnknown)
}

func TestGroupCommitSharesTheSync(t *testing.T) {
	s := openAt(t, Options{Path: filepath.Join(t.TempDir(), "jobs")})
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() { require.NoError(t, put(s, fmt.Sprint("h", i), "data")) })
	}
	wg.Wait()
	c := s.Counts()
	require.Equal(t, 400, c.Writes)
	require.Less(t, c.Commits, 200)
}

// Many writers on one processor share transactions too: there the others cannot run while the disk
// is synced, and the first that comes afterwards must not get a transaction of its own.
func TestGroupCommitOnOneProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := openAt(t, Options{Path: filepath.Join(t.TempDir(), "jobs")})
	var wg sync.WaitGroup
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	for range 32 {
		wg.Go(func() {
			for range 20 {
				require.NoError(t, put(s, fmt.Sprint("h", s.Number()), "data"))
				_, _ = near.Write([]byte("x")) // as a client's socket would, it lets others run first
			}
		})
	}
	wg.Wait()
	c := s.Counts()
	require.Equal(t, 640, c.Writes)
	require.Less(t, c.Commits, 200)
}

func TestFull(t *testing.T) {
	s := openAt(t, Options{Path: filepath.Join(t.TempDir(), "jobs"), MaxJobs: 3, MaxBytes: 10})
	require.NoError(t, put(s, "a", "12345"))
	require.ErrorIs(t, put(s, "b", "123456"), ErrFull)
	require.NoError(t, put(s, "b", "1"))
	require.NoError(t, put(s, "c", "1"))
	require.ErrorIs(t, put(s, "d", "1"), ErrFull)
}

// A disk that fills up in the middle of a commit fails those writes and turns new jobs away at
// once; what was stored before stays, and the store is well again when there is room.
func TestDiskFullInMidCommit(t *testing.T) {
	var log bytes.Buffer
	path := filepath.Join(t.TempDir(), "jobs")
	full := errors.New("no space left on device")
	var mu sync.Mutex
	var fail error
	s := openAt(t, Options{Path: path, Log: slog.New(slog.NewTextHandler(&log, nil)), Commit: func() error {
		mu.Lock()
		defer mu.Unlock()
		return fail
	}})
	require.NoError(t, put(s, "before", "x"))
	mu.Lock()
	fail = full
	mu.Unlock()
	require.ErrorIs(t, put(s, "during", "x"), full)
	begin := time.Now()
	for range 100 {
		require.ErrorIs(t, put(s, "at once", "x"), ErrUnavailable)
	}
	require.Less(t, time.Since(begin), 500*time.Millisecond)
	require.ErrorIs(t, changed(s, 1, func(*State) {}), full)
	mu.Lock()
	fail = nil
	mu.Unlock()
	require.NoError(t, changed(s, 1, func(*State) {}))
	require.NoError(t, put(s, "after", "x"))
	require.Equal(t, map[string]string{"before": "x", "after": "x"}, all(t, s))
	require.Equal(t, 2, s.Counts().Jobs)
	require.NoError(t, s.Close())
	require.Equal(t, 1, strings.Count(log.String(), "job store fails"), "one line says so")
	require.Equal(t, 1, strings.Count(log.String(), "job store well again"))
}

// The same by the file's real bound, which bbolt meets while it grows the file.
func TestFileBoundInMidCommit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs")
	s := openAt(t, Options{Path: path, MaxFile: 1 << 20})
	stored, err := 0, error(nil)
	for ; err == nil; stored++ {
		err = put(s, fmt.Sprint(stored), strings.Repeat("x", 60<<10))
	}
	require.Greater(t, stored, 3)
	require.Len(t, all(t, s), stored-1)
	require.NoError(t, s.Close())
	require.Len(t, all(t, openAt(t, Options{Path: path})), stored-1)
}

func TestCannotBeOpened(t *testing.T) {
	dir := t.TempDir()
	_, err := Open(Options{Path: dir})
	require.Error(t, err)
	_, err = Open(Options{Path: filepath.Join(dir, "no", "such")})
	require.Error(t, err)
	other := filepath.Join(dir, "other") // somebody else's file is left where it is
	require.NoError(t, os.WriteFile(other, bytes.Repeat([]byte("not ours"), 10_000), 0o600))
	_, err = Open(Options{Path: other})
	require.ErrorContains(t, err, "neither a job store")
	require.FileExists(t, other)
	held := openAt(t, Options{Path: filepath.Join(dir, "held")})
	_, err = Open(Options{Path: filepath.Join(dir, "held")})
	require.ErrorIs(t, err, bolterrors.ErrTimeout)
	require.NoError(t, held.Close())
	db, err := bolt.Open(filepath.Join(dir, "newer"), 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucket(bMeta)
		if err != nil {
			return err
		}
		return b.Put(kVersion, []byte{formatVersion + 1})
	}))
	require.NoError(t, db.Close())
	_, err = Open(Options{Path: filepath.Join(dir, "newer")})
	require.ErrorContains(t, err, "made by a newer program")
}

// One damaged record is set aside and told of; nothing else is lost.
func TestDamagedRecord(t *testing.T) {
	for name, find := range map[string]func(s *Store) error{
		"when its turn comes": func(s *Store) error {
			_, _, err := s.Due(time.Hour, time.Hour, time.Hour, 1<<30, func(uint64) bool { return false })
			return err
		},
		"soon after the start": func(s *Store) error { _, err := s.Verify(context.Background()); return err },
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			path := filepath.Join(t.TempDir(), "jobs")
			s := openAt(t, Options{Path: path})
			for i := range 50 {
				require.NoError(t, put(s, fmt.Sprintf("handle%02d", i), fmt.Sprintf("precious%02d", i)))
			}
			require.NoError(t, s.Close())
			file, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, bytes.ReplaceAll(file, []byte("precious07"), []byte("precioux07")), 0o600))

			s = openAt(t, Options{Path: path, Log: slog.New(slog.NewTextHandler(&log, nil))})
			require.NoError(t, find(s))
			require.NoError(t, put(s, "later", "x")) // what was found is written by now
			left := all(t, s)
			require.Len(t, left, 50)
			require.NotContains(t, left, "handle07")
			require.Equal(t, 1, s.Counts().Damaged)
			require.Equal(t, 50, s.Counts().Jobs)
			require.NoError(t, s.Close())
			require.Equal(t, 1, strings.Count(log.String(), "stored job damaged"))
			require.Equal(t, 1, openAt(t, Options{Path: path}).Counts().Damaged)
		})
	}
}

// Dead letters are read, too: one that is damaged is told of at the start, not when it is asked for.
func TestDamagedDeadLetter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs")
	s := openAt(t, Options{Path: path})
	require.NoError(t, put(s, "h", "precious"))
	require.NoError(t, put(s, "i", "other"))
	require.NoError(t, changed(s, 1, func(st *State) { st.Dead = "unknown" }))
	require.NoError(t, s.Close())
	file, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, bytes.ReplaceAll(file, []byte("precious"), []byte("precioux")), 0o600))
	s = openAt(t, Options{Path: path})
	n, err := s.Verify(context.Background())
	require.NoError(t, err)
	require.Equal(t, 2, n)
	require.NoError(t, put(s, "later", "x"))
	require.Equal(t, 1, s.Counts().Damaged)
	require.Zero(t, s.Counts().Dead)
	require.Len(t, all(t, s), 2)
}

// What is written while a copy is made is kept for it up to a bound; beyond it the copy is given up, and
// nothing more is held.
func TestCompactionIsBounded(t *testing.T) {
	c := &compaction{}
	for range 3 * compactOps / maxBatch {
		batch := make([]*write, maxBatch)
		for i := range batch {
			batch[i] = &write{}
		}
		c.keep(batch)
		require.LessOrEqual(t, len(c.kept), compactOps)
	}
	require.True(t, c.over)
	require.Empty(t, c.kept)
}

// A state that cannot be read leaves the job, but no one knows where it was sent.
func TestDamagedState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs")
	s := openAt(t, Options{Path: path})
	require.NoError(t, put(s, "h", "x"))
	require.NoError(t, changed(s, 1, func(st *State) { st.First = &Send{Region: "region-seven"} }))
	require.NoError(t, s.Close())
	file, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, bytes.ReplaceAll(file, []byte("region-seven"), []byte("region-eight")), 0o600))
	s = openAt(t, Options{Path: path})
	j, err := s.Handle("h")
	require.NoError(t, err)
	require.True(t, j.Lost)
	j.State.Dead = "unknown"
	done := make(chan error, 1)
	s.Rewrite(j.Job, j.State, func(err error) { done <- err })
	require.NoError(t, <-done)
	require.Equal(t, 1, s.Counts().Dead)
	require.Empty(t, all(t, s))
	require.NoError(t, changed(s, 1, func(st *State) { st.Dead = "" }))
	require.Len(t, all(t, s), 1)
}

// What a crash leaves of a commit: some of its pages, not the meta page that makes them count.
// The commit is undone and nothing of an earlier one is lost.
func TestTornCommit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 30 {
		path := filepath.Join(t.TempDir(), "jobs")
		s := openAt(t, Options{Path: path})
		for i := range 20 + rng.IntN(60) {
			require.NoError(t, put(s, fmt.Sprint(i), strings.Repeat("x", rng.IntN(5000))))
		}
		want := all(t, s)
		before, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, put(s, "torn", strings.Repeat("y", rng.IntN(30000))))
		after, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, s.Close())
		page := os.Getpagesize()
		torn := append(bytes.Clone(before), make([]byte, max(0, len(after)-len(before)))...)
		for at := 2 * page; at < len(after); at += page {
			if rng.IntN(2) == 0 {
				copy(torn[at:at+page], after[at:])
			}
		}
		require.NoError(t, os.WriteFile(path, torn, 0o600))
		require.Equal(t, want, all(t, openAt(t, Options{Path: path})), "round %d", round)
	}
}

// A file that lost its end, or whose tree cannot be read, does not end the process. What its
// bytes still hold is taken over, as dead letters: any of it may have run.
func TestSalvage(t *testing.T) {
	for name, damage := range map[string]func(b []byte) []byte{
		"cut short": func(b []byte) []byte { return b[:len(b)*2/3] },
		"no metas":  func(b []byte) []byte { clear(b[:2*os.Getpagesize()]); return b },
		"emptied pages": func(b []byte) []byte {
			for at := 2 * os.Getpagesize(); at < len(b); at += 7 * os.Getpagesize() {
				clear(b[at : at+16])
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			path := filepath.Join(t.TempDir(), "jobs")
			s := openAt(t, Options{Path: path})
			for i := range 300 {
				require.NoError(t, put(s, fmt.Sprint("h", i), strings.Repeat("x", 1000)))
			}
			require.NoError(t, s.Close())
			file, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, damage(file), 0o600))

			s = openAt(t, Options{Path: path, Log: slog.New(slog.NewTextHandler(&log, nil))})
			if _, err := s.Verify(context.Background()); err != nil { // found in use: the next start salvages
				require.ErrorIs(t, put(s, "new", "x"), ErrUnavailable)
				require.NoError(t, s.Close())
				s = openAt(t, Options{Path: path, Log: slog.New(slog.NewTextHandler(&log, nil))})
			}
			require.Greater(t, s.Counts().Jobs, 100)
			if s.Counts().Dead > 0 {
				require.Contains(t, log.String(), "job store salvaged")
				require.Empty(t, all(t, s), "nothing of it may be sent unasked")
				require.FileExists(t, path+damagedSuffix)
			}
			require.NoError(t, put(s, "new", "x"))
			require.NoError(t, s.Close())
			require.Contains(t, all(t, openAt(t, Options{Path: path})), "new")
		})
	}
}

// Writes go on while the file is made small, and none is lost.
func TestCompactionWithoutAStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs")
	s := openAt(t, Options{Path: path})
	big := strings.Repeat("x", 4000)
	for i := range 1000 {
		require.NoError(t, put(s, fmt.Sprint("old", i), big))
	}
	var wg sync.WaitGroup
	for id := uint64(1); id <= 900; id++ {
		wg.Add(1)
		s.Remove(id, func(err error) { require.NoError(t, err); wg.Done() })
	}
	wg.Wait()
	before := s.Counts().File
	require.NoError(t, os.WriteFile(path+compactSuffix, []byte("left by a crash"), 0o600))
	require.NoError(t, os.Remove(path+compactSuffix))
	begun := make(chan error, 1)
	s.Compact(func(err error) { begun <- err })
	require.NoError(t, <-begun)
	stop := make(chan struct{})
	new := 0
	wg.Go(func() {
		for ; ; new++ {
			select {
			case <-stop:
				return
			default:
				require.NoError(t, put(s, fmt.Sprint("new", new), "x"))
				if new%3 == 0 {
					j, err := s.Handle(fmt.Sprint("new", new))
					require.NoError(t, err)
					require.NoError(t, changed(s, j.Job.ID, func(st *State) { st.Offers++ }))
				}
			}
		}
	})
	require.Eventually(t, func() bool { return s.Counts().File < before/2 }, 20*time.Second, time.Millisecond)
	close(stop)
	wg.Wait()
	require.Positive(t, new)
	require.Len(t, all(t, s), 100+new)
	require.NoError(t, s.Close())
	s = openAt(t, Options{Path: path})
	require.Len(t, all(t, s), 100+new)
	j, err := s.Handle("new0")
	require.NoError(t, err)
	require.Equal(t, 1, j.State.Offers)
	require.NoFileExists(t, path+compactSuffix)
}

// A crash during a compaction leaves a copy that is not whole beside a file that is.
func TestCrashDuringCompaction(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs")
	s := openAt(t, Options{Path: path})
	require.NoError(t, put(s, "a", "x"))
	require.NoError(t, s.Close())
	require.NoError(t, os.WriteFile(path+compactSuffix, []byte("half a copy"), 0o600))
	require.Equal(t, map[string]string{"a": "x"}, all(t, openAt(t, Options{Path: path})))
	require.NoFileExists(t, path+compactSuffix)
}

func TestDue(t *testing.T) {
	s := openAt(t, Options{Path: filepath.Join(t.TempDir(), "jobs")})
	add := func(handle string, due time.Duration, timed bool) {
		done := make(chan error, 1)
		s.Put(&Job{ID: s.Number(), Handle: handle, Function: "f", Timed: timed}, &State{Due: due, Timed: timed}, func(err error) { done <- err })
		require.NoError(t, <-done)
	}
	add("later", 20*time.Minute, false)
	add("now", 5*time.Minute, false)
	add("at noon", 12*time.Hour, true)
	add("from before the clock was set back", 40*24*time.Hour, false)
	handles := func(now, wall time.Duration) (h []string, next time.Duration) {
		due, next, err := s.Due(now, wall, 24*time.Hour, 10, func(uint64) bool { return false })
		require.NoError(t, err)
		for _, j := range due {
			h = append(h, j.Job.Handle)
		}
		return h, next
	}
	h, next := handles(10*time.Minute, 10*time.Minute)
	require.Equal(t, []string{"now", "from before the clock was set back"}, h)
	require.Equal(t, 10*time.Minute, next)
	h, _ = handles(10*time.Minute, 12*time.Hour) // the system's clock was set; the process's own goes on
	require.Contains(t, h, "at noon")
	h, _ = handles(13*time.Hour, 11*time.Hour) // set back while it waited: not before its instant
	require.NotContains(t, h, "at noon")
}

func FuzzRecords(f *testing.F) {
	f.Add(encodeJob(&Job{ID: 7, Handle: "H:n0:7", Function: "f", Unique: "u", Data: []byte("d"), Accepted: 5, Timed: true}))
	f.Add(encodeState(&State{ID: 7, Rev: 2, Due: -1, Sends: 3, First: &Send{Region: "a"}, Dead: "unknown"}))
	f.Add([]byte("TRJ"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if j, size, err := decodeJob(b); err == nil {
			require.LessOrEqual(t, size, len(b))
			again, _, err := decodeJob(encodeJob(j))
			require.NoError(t, err)
			require.Equal(t, j, again)
		}
		if st, size, err := decodeState(b); err == nil {
			require.LessOrEqual(t, size, len(b))
			again, _, err := decodeState(encodeState(st))
			require.NoError(t, err)
			require.Equal(t, st, again)
		}
		if len(b) > 0 { // no byte of a record may change unseen
			r := encodeJob(&Job{ID: 1, Handle: string(b[:min(len(b), 40)]), Function: "f", Data: b})
			at := int(b[0]) % len(r)
			r[at] ^= 1 << (b[0] % 8)
			_, _, err := decodeJob(r)
			require.Error(t, err)
		}
	})
}

func BenchmarkPut(b *testing.B) {
	for _, group := range []bool{true, false} {
		b.Run(map[bool]string{true: "group", false: "single"}[group], func(b *testing.B) {
			s := openAt(b, Options{Path: filepath.Join(b.TempDir(), "jobs"), Single: !group})
			b.SetParallelism(16) // times the processors
			var mu sync.Mutex
			var took []time.Duration
			b.RunParallel(func(p *testing.PB) {
				var mine []time.Duration
				for p.Next() {
					begin := time.Now()
					if err := put(s, fmt.Sprint("h", s.Number()), "some data of a job"); err != nil {
						b.Error(err)
						return
					}
					mine = append(mine, time.Since(begin))
				}
				mu.Lock()
				took = append(took, mine...)
				mu.Unlock()
			})
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
		})
	}
}
