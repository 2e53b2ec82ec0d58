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

// scripted hands the connections to its workers to a player, who answers on them.
type scripted struct {
	gearmanWire
	conns chan net.Conn
}

func (s *scripted) serve(_ *worker, c net.Conn) { s.conns <- c }

// The conformance suite, both sides, against the daemon's Gearman front.
func TestConformance(t *testing.T) {
	cases, err := conform.Cases()
	require.NoError(t, err)
	require.Greater(t, len(cases), 50)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wr := &scripted{conns: make(chan net.Conn, 64)}
				w := newWorld(t, &memory{}, wr, true)
				if c.Needs("store") {
					w.store = filepath.Join(t.TempDir(), "jobs")
				}
				w.workers["a"] = newWorker(w, "a", "0")
				w.launch(nil)
				defer w.finish()
				p := conform.Player{Wait: 3 * time.Second,
					Vars: conform.Vars{"$f": "price-read", "$soon": strconv.FormatInt(time.Now().Add(2*time.Second).Unix(), 10)},
					Dial: func(ctx context.Context) (net.Conn, error) { return w.net.Dial(ctx, "tcp", wr.address()) },
					Accept: func(ctx context.Context, _ string) (net.Conn, error) {
						select {
						case c := <-wr.conns:
							return c, nil
						case <-ctx.Done():
							return nil, ctx.Err()
						}
					}}
				require.NoError(t, p.Play(t.Context(), c))
			})
		})
	}
}

// A suite that cannot fail would show nothing: each of these lines is wrong.
func TestConformanceFails(t *testing.T) {
	for _, lines := range [][]string{
		{"send 1 ECHO_REQ a", "expect 1 ECHO_RES b"},
		{"send 1 ECHO_REQ a", "expect 1 nothing"},
		{"send 1 ECHO_REQ a", "expect 1 closed"},
		{"send 1 text version", `expect 1 text "ERR*"`},
		{"send 1 GET_STATUS h", "expect 1 STATUS_RES h 1 0 0 100"},
		{"send 1 BREW"},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, &memory{}, &gearmanWire{}, true)
			w.launch(nil)
			defer w.finish()
			p := conform.Player{Wait: time.Second, Dial: func(ctx context.Context) (net.Conn, error) { return w.net.Dial(ctx, "tcp", "gearman") }}
			require.Error(t, p.Play(t.Context(), conform.Case{Lines: lines}), "%q", lines)
		})
	}
}
