package limitedlog

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flood of log lines: a worker tool that resent a packet whenever it was rejected once
// caused 164,824 lines in three seconds.
func TestOneLinePerMinute(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	l := New(slog.New(slog.NewTextHandler(&out, nil)), func() time.Time { return now })
	for i := range 200_000 { // from changing ports, over 100 s
		l.Report("packet not served", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: i % 60_000}, "not_served")
		now = now.Add(500 * time.Microsecond)
	}
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "more=119999")
}

func TestLimitsDistinctPeers(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	l := New(slog.New(slog.NewTextHandler(&out, nil)), func() time.Time { return now })
	for i := range 100_000 {
		l.Report("malformed packet", &net.UnixAddr{Name: fmt.Sprint("p", i)}, "magic")
	}
	require.Equal(t, maxKeys+1, strings.Count(out.String(), "\n"))
	require.LessOrEqual(t, len(l.counters), maxKeys+1)
	now = now.Add(2 * minInterval) // the counters expire, so that a new peer is logged under its own name again
	l.Report("malformed packet", &net.UnixAddr{Name: "new"}, "magic")
	require.Contains(t, out.String(), "from=new")
	require.Less(t, len(l.counters), 3)
}
