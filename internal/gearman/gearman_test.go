package gearman

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/jobindex"
)

// frame feeds b to a framer in chunks of the given size and returns the packets and any error.
func frame(b []byte, chunkSize int) (packets []string, frameErr error) {
	f := NewServerFramer()
	for len(b) > 0 {
		n := min(chunkSize, len(b))
		f.Feed(b[:n])
		b = b[n:]
		for {
			p, err := f.Next()
			if err != nil {
				return packets, err
			}
			if p == nil {
				break
			}
			packets = append(packets, fmt.Sprint(p.Text, p.Type, p.Body))
		}
	}
	return packets, nil
}

// A stream yields the same packets, or an error, however its bytes are split into chunks. The
// arguments of a packet, joined by NUL bytes, are its body.
func FuzzFramer(f *testing.F) {
	f.Add(Request(SubmitJob, "f", "u", "data"), 1)
	f.Add(append(Request(EchoReq, "a"), Request(GetStatus, "H:n0:1")...), 5)
	f.Add([]byte("status\r\nversion\n"), 3)
	f.Add([]byte("\x00REQ\x00\x00\x00\x07\xff\xff\xff\xff"), 4)
	f.Fuzz(func(t *testing.T, b []byte, chunkSize int) {
		chunkSize = 1 + max(0, chunkSize)%64
		unsplit, unsplitErr := frame(b, len(b)+1)
		chunked, chunkedErr := frame(b, chunkSize)
		require.Equal(t, unsplitErr == nil, chunkedErr == nil)
		if unsplitErr == nil {
			require.Equal(t, unsplit, chunked)
		}
		for _, n := range []int{1, 3, 8} { // only the last argument may hold a NUL
			p := Packet{Body: b}
			if args, err := p.Args(n); err == nil {
				require.Len(t, args, n)
				require.Equal(t, string(b), string(bytes.Join(args, []byte{0})))
			}
		}
	})
}

func testServer(t testing.TB) *Server {
	core, err := dispatch.New(dispatch.Options{Settings: balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 1,
		ConnectTimeout: time.Second, Classes: []balance.Class{{Name: "f", Deadline: time.Second, WorkerKind: -1}}}})
	require.NoError(t, err)
	settings := &config.Gearman{Functions: map[string]config.FunctionDefaults{"f": {Deadline: time.Second}},
		Limits: jobindex.Limits{PerClient: 4, PerFunction: map[string]int{}}}
	return NewServer(core, Options{Log: slog.New(slog.DiscardHandler), Config: settings, DispatcherName: "n0", MaxConnections: 10,
		Workers: func() []dispatch.Worker { return []dispatch.Worker{{Name: "b\n"}, {Name: "a"}} }})
}

// Every command line gets an answer of complete, bounded lines. An error is a single line with a
// code and a text.
func FuzzText(f *testing.F) {
	for _, line := range []string{"status", "workers", "version", "maxqueue f 3", "maxqueue f -1", "show jobs", "show unique jobs", "show dead",
		"cancel job H:n0:1", "create function f", "drop function f", "drop function f\x00", "release job all", "store compact", "shutdown", "\xff", ""} {
		f.Add(line)
	}
	s := testServer(f)
	c := &client{Server: s}
	f.Fuzz(func(t *testing.T, line string) {
		words := strings.Fields(line)
		if len(words) == 0 {
			words = []string{""}
		}
		answer := c.runCommand(words)
		require.True(t, strings.HasSuffix(answer, "\r\n"), "%q", answer)
		require.Less(t, len(answer), 8<<10)
		if strings.HasPrefix(answer, "ERR") {
			require.Equal(t, 1, strings.Count(answer, "\n"), "%q", answer)
			require.GreaterOrEqual(t, len(strings.Fields(answer)), 2)
		}
		require.NotContains(t, answer, "\x00")
	})
}

func TestScheduledTimes(t *testing.T) {
	now := time.Date(2026, 12, 1, 13, 0, 30, 0, time.UTC) // a Tuesday
	for fields, want := range map[string]string{
		"5 * * * *":  "2026-12-01T13:05:00Z",
		"0 18 * * *": "2026-12-01T18:00:00Z",
		"0 9 * * 0":  "2026-12-07T09:00:00Z", // Monday
		"0 9 * * 6":  "2026-12-06T09:00:00Z", // Sunday
		"0 0 1 1 *":  "2027-01-01T00:00:00Z",
		"* * * * *":  "2026-12-01T13:01:00Z",
	} {
		at, err := nextScheduled(strings.Fields(fields), now)
		require.NoError(t, err, fields)
		require.Equal(t, want, at.Format(time.RFC3339), fields)
	}
	for _, fields := range []string{"60 * * * *", "* 24 * * *", "* * 0 * *", "* * * 13 *", "* * * * 7", "-1 * * * *", "x * * * *", "0 0 30 2 *", "*/5 * * * *"} {
		_, err := nextScheduled(strings.Fields(fields), now)
		require.Error(t, err, fields)
	}
	at, err := parseEpoch("1", now)
	require.NoError(t, err)
	require.True(t, at.Before(now))
	for _, text := range []string{"", "-1", "soon", "9999999999", "99999999999999999999"} {
		_, err := parseEpoch(text, now)
		require.Error(t, err, text)
	}
}

func TestResultParts(t *testing.T) {
	b := appendResultPart(appendResultPart(nil, WorkData, []byte("a\x00b")), WorkComplete, nil)
	var got []string
	require.NoError(t, eachResultPart(b, func(p Type, data []byte) { got = append(got, fmt.Sprintf("%d %s", p, data)) }))
	require.Equal(t, []string{"28 a\x00b", "13 "}, got)
	for n := range b {
		if n != 0 && n != 11 {
			require.Error(t, eachResultPart(b[:n], func(Type, []byte) {}), n)
		}
	}
}
