package spool

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

func open(t testing.TB, dir string, bytes int64) *Spool {
	t.Helper()
	s, err := Open(Options{Dir: dir, MaxBytes: bytes})
	require.NoError(t, err)
	return s
}

func ackAll(t testing.TB, s *Spool, limit int) (bodies []string) {
	for range limit {
		_, body, token, ok := s.Next()
		if !ok {
			break
		}
		bodies = append(bodies, string(body))
		require.NoError(t, s.Ack(token))
	}
	return bodies
}

func TestOrderAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 1<<20)
	for i := range 100 {
		require.NoError(t, s.Append(byte(i), []byte(fmt.Sprint(i))))
	}
	first := ackAll(t, s, 40)
	_, body, _, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, "40", string(body))
	require.NoError(t, s.Close())
	s = open(t, dir, 1<<20)
	require.EqualValues(t, 60, s.Stats().Records)
	require.NoError(t, s.Append(0, []byte("100")))
	got := append(first, ackAll(t, s, 1000)...)
	require.Len(t, got, 101)
	for i, x := range got {
		require.Equal(t, fmt.Sprint(i), x)
	}
	require.Zero(t, s.Stats().Records)
	require.Zero(t, s.Stats().Bytes)
	require.NoError(t, s.Close())
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	require.NoError(t, err)
	require.LessOrEqual(t, len(names), 2, "segments without unacknowledged records must be deleted")
}

func TestDropsOldestSegment(t *testing.T) {
	s := open(t, t.TempDir(), 64<<10)
	for i := range 5000 {
		require.NoError(t, s.Append(0, []byte(fmt.Sprintf("%06d%s", i, strings.Repeat("x", 100)))))
		require.LessOrEqual(t, s.Stats().Bytes, int64(64<<10))
	}
	require.ErrorIs(t, s.Append(0, make([]byte, 64<<10)), ErrTooLarge)
	st := s.Stats()
	got := ackAll(t, s, 10_000)
	require.EqualValues(t, 5000, int64(len(got))+st.Dropped)
	require.Equal(t, "004999", got[len(got)-1][:6])
	for i := 1; i < len(got); i++ {
		require.Less(t, got[i-1], got[i])
	}
}

// Acknowledging a record that was dropped while it was being sent must not acknowledge another one.
func TestAckAfterDrop(t *testing.T) {
	s := open(t, t.TempDir(), 32<<10)
	require.NoError(t, s.Append(0, []byte("old")))
	_, _, token, ok := s.Next()
	require.True(t, ok)
	for i := range 1000 {
		require.NoError(t, s.Append(0, []byte(fmt.Sprintf("%04d%s", i, strings.Repeat("x", 100)))))
	}
	before := s.Stats().Records
	require.NoError(t, s.Ack(token))
	require.Equal(t, before, s.Stats().Records)
}

// A damaged record loses the rest of its segment, but nothing of other segments.
func TestDamagedSegment(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 64<<10)
	for i := range 300 {
		require.NoError(t, s.Append(0, []byte(fmt.Sprintf("%04d%s", i, strings.Repeat("x", 100)))))
	}
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	require.NoError(t, err)
	require.Greater(t, len(names), 3)
	b, err := os.ReadFile(names[1])
	require.NoError(t, err)
	b[len(b)/2] ^= 1
	require.NoError(t, os.WriteFile(names[1], b, 0o600))
	got := ackAll(t, s, 1000)
	require.EqualValues(t, 1, s.Stats().Damaged)
	require.Greater(t, len(got), 250)
	require.Less(t, len(got), 300)
	require.Equal(t, "0299", got[len(got)-1][:4])
	require.NoError(t, s.Close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "ack"), []byte("nonsense"), 0o600))
	require.Less(t, len(ackAll(t, open(t, dir, 64<<10), 1000)), 100, "without a valid acknowledged position, only the remaining segment is read again")
}

// Random sequences of appends, reads, acknowledgements, restarts and truncated records. Records are
// read in order, none is read again after its acknowledgement, and no complete one is lost.
func TestSpoolMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "spool")
		require.NoError(rt, err)
		defer func() { _ = os.RemoveAll(dir) }()
		s, err := Open(Options{Dir: dir, MaxBytes: 1 << 20, SegmentBytes: 200})
		require.NoError(rt, err)
		var want []string
		appended := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				appended++
				body := fmt.Sprint(appended, strings.Repeat("x", rapid.IntRange(0, 60).Draw(rt, "size")))
				require.NoError(rt, s.Append(1, []byte(body)))
				want = append(want, body)
			case 2, 3:
				_, body, token, ok := s.Next()
				require.Equal(rt, len(want) > 0, ok)
				if ok {
					require.Equal(rt, want[0], string(body))
					if rapid.Bool().Draw(rt, "ack") {
						require.NoError(rt, s.Ack(token))
						want = want[1:]
					}
				}
			case 4: // a restart, possibly after a truncated record
				require.NoError(rt, s.Close())
				if rapid.Bool().Draw(rt, "cut") {
					f, err := os.OpenFile(s.path(s.segments[len(s.segments)-1].number), os.O_APPEND|os.O_WRONLY, 0o600)
					require.NoError(rt, err)
					_, _ = f.Write([]byte("\x00\x00\x00\x20half of a record")[:rapid.IntRange(1, 20).Draw(rt, "bytes")])
					require.NoError(rt, f.Close())
				}
				s, err = Open(Options{Dir: dir, MaxBytes: 1 << 20, SegmentBytes: 200})
				require.NoError(rt, err)
				require.EqualValues(rt, len(want), s.Stats().Records)
			}
		}
	})
}

// TestMain runs appendAndAck instead of the tests in the processes that
// TestRecordsSurviveKilledProcess starts.
func TestMain(m *testing.M) {
	if dir := os.Getenv("SPOOL_TEST_DIR"); dir != "" {
		appendAndAck(dir)
	}
	os.Exit(m.Run())
}

// appendAndAck appends numbers and acknowledges the oldest ones. It prints each number before it
// acknowledges it, like an exporter whose collector has received it by then.
func appendAndAck(dir string) {
	s, err := Open(Options{Dir: dir, MaxBytes: 1 << 30, SegmentBytes: 4 << 10})
	if err != nil {
		panic(err)
	}
	from, _ := strconv.Atoi(os.Getenv("SPOOL_TEST_FROM"))
	for i := from; ; i++ {
		if err := s.Append(0, []byte(strconv.Itoa(i))); err != nil {
			panic(err)
		}
		fmt.Println("put", i)
		if i%2 == 0 {
			if _, body, token, ok := s.Next(); ok {
				fmt.Println("sent", string(body))
				if err := s.Ack(token); err != nil {
					panic(err)
				}
				fmt.Println("acked", string(body))
			}
		}
	}
}

// After a process is killed during a write or a send, no acknowledged record is sent again and no
// completely written one is lost.
func TestRecordsSurviveKilledProcess(t *testing.T) {
	dir := t.TempDir()
	put, sent, acked := map[int]bool{}, map[int]int{}, map[int]bool{}
	lastSent, next, resent := -1, 0, 0
	for round := range 12 {
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "SPOOL_TEST_DIR="+dir, "SPOOL_TEST_FROM="+strconv.Itoa(next))
		out, err := p.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, p.Start())
		time.AfterFunc(time.Duration(20+7*round)*time.Millisecond, func() { _ = p.Process.Kill() })
		for in := bufio.NewScanner(out); in.Scan(); {
			event, number, _ := strings.Cut(in.Text(), " ")
			n, err := strconv.Atoi(number)
			if err != nil {
				break // a truncated line
			}
			switch event {
			case "put":
				put[n] = true
				next = max(next, n+2) // one more may be written but not printed
			case "sent":
				require.False(t, acked[n], "%d was acknowledged and is sent again", n)
				if sent[n]++; sent[n] > 1 {
					resent++
				}
				require.GreaterOrEqual(t, n, lastSent)
				lastSent = n
			case "acked":
				acked[n] = true
			}
		}
		_ = p.Wait()
	}
	s, err := Open(Options{Dir: dir, MaxBytes: 1 << 30, SegmentBytes: 4 << 10})
	require.NoError(t, err)
	for _, x := range ackAll(t, s, 1<<30) {
		n, err := strconv.Atoi(x)
		require.NoError(t, err)
		require.False(t, acked[n])
		sent[n]++
	}
	for n := range put {
		require.Positive(t, sent[n], "%d is lost", n)
	}
	require.LessOrEqual(t, resent, 12, "at most one record may be in flight at each kill")
	t.Logf("%d written, %d acknowledged before a kill, %d sent twice", len(put), len(acked), resent)
}
