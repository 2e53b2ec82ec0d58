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
	s, err := Open(Options{Dir: dir, Bytes: bytes})
	require.NoError(t, err)
	return s
}

func drain(t testing.TB, s *Spool, most int) (all []string) {
	for range most {
		_, body, token, ok := s.Next()
		if !ok {
			break
		}
		all = append(all, string(body))
		require.NoError(t, s.Ack(token))
	}
	return all
}

func TestOrderAcrossARestart(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 1<<20)
	for i := range 100 {
		require.NoError(t, s.Append(byte(i), []byte(fmt.Sprint(i))))
	}
	first := drain(t, s, 40)
	_, body, _, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, "40", string(body))
	require.NoError(t, s.Close())
	s = open(t, dir, 1<<20)
	require.EqualValues(t, 60, s.Stats().Records)
	require.NoError(t, s.Append(0, []byte("100")))
	got := append(first, drain(t, s, 1000)...)
	require.Len(t, got, 101)
	for i, x := range got {
		require.Equal(t, fmt.Sprint(i), x)
	}
	require.Zero(t, s.Stats().Records)
	require.Zero(t, s.Stats().Bytes)
	require.NoError(t, s.Close())
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	require.NoError(t, err)
	require.LessOrEqual(t, len(names), 2, "what is acknowledged is removed")
}

func TestOldestGivesWay(t *testing.T) {
	s := open(t, t.TempDir(), 64<<10)
	for i := range 5000 {
		require.NoError(t, s.Append(0, []byte(fmt.Sprintf("%06d%s", i, strings.Repeat("x", 100)))))
		require.LessOrEqual(t, s.Stats().Bytes, int64(64<<10))
	}
	require.ErrorIs(t, s.Append(0, make([]byte, 64<<10)), ErrTooLarge)
	st := s.Stats()
	got := drain(t, s, 10_000)
	require.EqualValues(t, 5000, int64(len(got))+st.Dropped)
	require.Equal(t, "004999", got[len(got)-1][:6])
	for i := 1; i < len(got); i++ {
		require.Less(t, got[i-1], got[i])
	}
}

// A record that was given way while it was being sent is not acknowledged in another's place.
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

// A damaged stretch costs its segment's rest, and nothing of another.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 64<<10)
	for i := range 300 {
		require.NoError(t, s.Append(0, []byte(fmt.Sprintf("%04d%s", i, strings.Repeat("x", 100)))))
	}
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	require.NoError(t, err)
	require.Greater(t, len(names), 3)
	b, err := os.ReadFile(names[1])
	require.NoError(t, err)
	b[len(b)/2] ^= 1
	require.NoError(t, os.WriteFile(names[1], b, 0o600))
	got := drain(t, s, 1000)
	require.EqualValues(t, 1, s.Stats().Damaged)
	require.Greater(t, len(got), 250)
	require.Less(t, len(got), 300)
	require.Equal(t, "0299", got[len(got)-1][:4])
	require.NoError(t, s.Close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "ack"), []byte("nonsense"), 0o600))
	require.Less(t, len(drain(t, open(t, dir, 64<<10), 1000)), 100, "without its acknowledgements the one segment that is left comes again")
}

// Appends, reads, acknowledgements, restarts and cuts in any order: what comes out is in order,
// nothing that was acknowledged comes again, and nothing that is whole is lost but by the bound.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "spool")
		require.NoError(rt, err)
		defer func() { _ = os.RemoveAll(dir) }()
		s, err := Open(Options{Dir: dir, Bytes: 1 << 20, Segment: 200})
		require.NoError(rt, err)
		var want []string
		n := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				n++
				x := fmt.Sprint(n, strings.Repeat("x", rapid.IntRange(0, 60).Draw(rt, "size")))
				require.NoError(rt, s.Append(1, []byte(x)))
				want = append(want, x)
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
			case 4: // a restart, perhaps in the middle of a record
				require.NoError(rt, s.Close())
				if rapid.Bool().Draw(rt, "cut") {
					f, err := os.OpenFile(s.path(s.segments[len(s.segments)-1].n), os.O_APPEND|os.O_WRONLY, 0o600)
					require.NoError(rt, err)
					_, _ = f.Write([]byte("\x00\x00\x00\x20half of a record")[:rapid.IntRange(1, 20).Draw(rt, "bytes")])
					require.NoError(rt, f.Close())
				}
				s, err = Open(Options{Dir: dir, Bytes: 1 << 20, Segment: 200})
				require.NoError(rt, err)
				require.EqualValues(rt, len(want), s.Stats().Records)
			}
		}
	})
}

// TestMain lets the test below run a writer that is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("SPOOL_TEST_DIR"); dir != "" {
		churn(dir)
	}
	os.Exit(m.Run())
}

// churn appends numbers and sends what is oldest, which it prints before it acknowledges it, as a
// collector would have it by then.
func churn(dir string) {
	s, err := Open(Options{Dir: dir, Bytes: 1 << 30, Segment: 4 << 10})
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

// A process that is killed in mid-write or mid-send sends nothing again that it has acknowledged,
// and loses nothing that was written whole.
func TestKill(t *testing.T) {
	dir := t.TempDir()
	put, sent, acked := map[int]bool{}, map[int]int{}, map[int]bool{}
	last, from, again := -1, 0, 0
	for round := range 12 {
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "SPOOL_TEST_DIR="+dir, "SPOOL_TEST_FROM="+strconv.Itoa(from))
		out, err := p.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, p.Start())
		time.AfterFunc(time.Duration(20+7*round)*time.Millisecond, func() { _ = p.Process.Kill() })
		for in := bufio.NewScanner(out); in.Scan(); {
			what, number, _ := strings.Cut(in.Text(), " ")
			n, err := strconv.Atoi(number)
			if err != nil {
				break // cut short
			}
			switch what {
			case "put":
				put[n] = true
				from = max(from, n+2) // one more may be written, and not be told of
			case "sent":
				require.False(t, acked[n], "%d was acknowledged and is sent again", n)
				if sent[n]++; sent[n] > 1 {
					again++
				}
				require.GreaterOrEqual(t, n, last)
				last = n
			case "acked":
				acked[n] = true
			}
		}
		_ = p.Wait()
	}
	s, err := Open(Options{Dir: dir, Bytes: 1 << 30, Segment: 4 << 10})
	require.NoError(t, err)
	for _, x := range drain(t, s, 1<<30) {
		n, err := strconv.Atoi(x)
		require.NoError(t, err)
		require.False(t, acked[n])
		sent[n]++
	}
	for n := range put {
		require.Positive(t, sent[n], "%d is lost", n)
	}
	require.LessOrEqual(t, again, 12, "one may be in flight at each kill")
	t.Logf("%d written, %d acknowledged before a kill, %d sent twice", len(put), len(acked), again)
}
