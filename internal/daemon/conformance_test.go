package daemon

import (
	"context"
	"net"
	"path/filepath"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/lab/conform"
)

// scriptedProtocol passes the connections to its workers to the conformance runner, which answers on them.
type scriptedProtocol struct {
	gearmanProtocol
	conns chan net.Conn
}

func (s *scriptedProtocol) serveWorker(_ *fakeWorker, c net.Conn) { s.conns <- c }

// Runs the conformance suite against the daemon's Gearman server, with the suite as clients and workers.
func TestConformance(t *testing.T) {
	cases, err := conform.Cases()
	require.NoError(t, err)
	require.Greater(t, len(cases), 50)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				proto := &scriptedProtocol{conns: make(chan net.Conn, 64)}
				s := newScenario(t, &pipeNetwork{}, proto, true)
				if c.HasTag("store") {
					s.storeFile = filepath.Join(t.TempDir(), "jobs")
				}
				s.workers["a"] = newFakeWorker(s, "a", "0")
				s.start(nil)
				defer s.finish()
				runner := conform.Runner{Timeout: 3 * time.Second,
					Vars: conform.Vars{"$f": "price-read", "$soon": strconv.FormatInt(time.Now().Add(2*time.Second).Unix(), 10)},
					Dial: func(ctx context.Context) (net.Conn, error) { return s.net.Dial(ctx, "tcp", proto.address()) },
					Accept: func(ctx context.Context, _ string) (net.Conn, error) {
						select {
						case c := <-proto.conns:
							return c, nil
						case <-ctx.Done():
							return nil, ctx.Err()
						}
					}}
				require.NoError(t, runner.Run(t.Context(), c))
			})
		})
	}
}

// Each of these cases is wrong for a correct daemon and has to fail, to show that the suite detects violations.
func TestConformanceDetectsViolations(t *testing.T) {
	for _, lines := range [][]string{
		{"send 1 ECHO_REQ a", "expect 1 ECHO_RES b"},
		{"send 1 ECHO_REQ a", "expect 1 nothing"},
		{"send 1 ECHO_REQ a", "expect 1 closed"},
		{"send 1 text version", `expect 1 text "ERR*"`},
		{"send 1 GET_STATUS h", "expect 1 STATUS_RES h 1 0 0 100"},
		{"send 1 BREW"},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newScenario(t, &pipeNetwork{}, &gearmanProtocol{}, true)
			s.start(nil)
			defer s.finish()
			runner := conform.Runner{Timeout: time.Second, Dial: func(ctx context.Context) (net.Conn, error) { return s.net.Dial(ctx, "tcp", "gearman") }}
			require.Error(t, runner.Run(t.Context(), conform.Case{Lines: lines}), "%q", lines)
		})
	}
}
