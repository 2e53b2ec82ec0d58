package daemon

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/gearman"
)

// lines is a log that several goroutines write.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), what)
}

// A peer that sends what is not served, as fast as it is answered, is closed after a bounded
// number, and however often it comes back the log has a line for it, not one for each: on both
// fronts.
func TestFloodOfBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		wire  wire
		bad   string
		line  string
		bound int // answers on one connection
	}{
		"http":        {&httpWire{}, "POST /brew HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n", "malformed request", 1},
		"http-bytes":  {&httpWire{}, "no HTTP at all\r\n\r\n", "malformed message", 1},
		"gearman":     {&gearmanWire{}, string(gearman.Request(1, "price-read")), "packet not served", 16},
		"gearman-bad": {&gearmanWire{}, "\x00BAD" + strings.Repeat("x", 12), "malformed packet", 1},
		"text":        {&gearmanWire{}, "brew tea\n", "command not served", 16},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &lines{}
				w := newWorld(t, &memory{}, c.wire, true)
				w.log = slog.New(slog.NewTextHandler(log, nil))
				w.launch(nil)
				defer w.finish()
				for range 200 {
					conn, err := w.net.Dial(context.Background(), "tcp", c.wire.address())
					require.NoError(t, err)
					go func() { _, _ = io.WriteString(conn, strings.Repeat(c.bad, 100)) }()
					_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
					answers, err := io.ReadAll(conn)
					require.NoError(t, err, "it is closed within 3 s")
					require.LessOrEqual(t, len(answers), c.bound*200)
					_ = conn.Close()
				}
				require.Equal(t, 1, log.count(c.line))
			})
		})
	}
}
