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

// A worker tool that repeats a packet as fast as it is turned away once wrote 164,824 lines in
// three seconds.
func TestFloodIsOneLineAMinute(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	b := New(slog.New(slog.NewTextHandler(&out, nil)), func() time.Time { return now })
	for i := range 200_000 { // from ever new ports, over 100 s
		b.Report("packet not served", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: i % 60_000}, "not_served")
		now = now.Add(500 * time.Microsecond)
	}
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "more=119999")
}

func TestManyPeersAreBounded(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	b := New(slog.New(slog.NewTextHandler(&out, nil)), func() time.Time { return now })
	for i := range 100_000 {
		b.Report("malformed packet", &net.UnixAddr{Name: fmt.Sprint("p", i)}, "magic")
	}
	require.Equal(t, most+1, strings.Count(out.String(), "\n"))
	require.LessOrEqual(t, len(b.pairs), most+1)
	now = now.Add(2 * again) // the quiet ones are forgotten, so a new peer is heard again
	b.Report("malformed packet", &net.UnixAddr{Name: "new"}, "magic")
	require.Contains(t, out.String(), "from=new")
	require.Less(t, len(b.pairs), 3)
}
