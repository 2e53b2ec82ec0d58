package ops

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/override"
	"tinroute.example/tinroute/internal/platform"
)

type testServer struct {
	addr      string
	ready     atomic.Bool
	applied   atomic.Uint64
	overrides *override.Set
	server    *Server
}

// startServer starts an admin server on the loopback interface. Every change counts as applied at
// once, or if lagging is set, when the test sets applied.
func startServer(t *testing.T, lagging bool) *testServer {
	s := &testServer{overrides: override.New()}
	s.overrides.RecordListed(time.Now(), "s-1", "s-2")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = l.Addr().String()
	server := New(Options{Ready: s.ready.Load, Overrides: s.overrides,
		OverridesApplied: func() uint64 {
			if lagging {
				return s.applied.Load()
			}
			return s.overrides.Generation()
		},
		Stats: func() Stats {
			return Stats{Classes: []ClassStats{{Name: "price-read", Success: 812, Busy: 3, Failure: 1, BackendCalls: 820}},
				Inflight: 14, HostsListed: 9, HostsDown: 2}
		}})
	s.server = server
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// request sends one request and returns the status and body. The server closes the connection after it.
func (s *testServer) request(t *testing.T, method, path, body string) (int, string) {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	req, err := http.NewRequest(method, "http://"+s.addr+path, strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, req.Write(c))
	r, err := http.ReadResponse(bufio.NewReader(c), req)
	require.NoError(t, err)
	data, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.True(t, r.Close, "one request per connection")
	return r.StatusCode, string(data)
}

func TestEndpoints(t *testing.T) {
	s := startServer(t, false)
	code, _ := s.request(t, "GET", PathReady, "")
	require.Equal(t, 503, code, "not ready before the process accepts clients")
	s.ready.Store(true)
	code, _ = s.request(t, "GET", PathReady, "")
	require.Equal(t, 200, code)

	code, body := s.request(t, "GET", PathVars, "")
	require.Equal(t, 200, code)
	require.Contains(t, body, "edge_lb.calls.price-read.success:812|c\n")
	require.Contains(t, body, "edge_lb.calls.price-read.busy:3|c\n")
	require.Contains(t, body, "edge_lb.calls.price-read.failure:1|c\n")
	require.Contains(t, body, "edge_lb.backend_calls:820|c\n")
	require.Contains(t, body, "edge_lb.inflight:14|g\n")
	require.Contains(t, body, "edge_lb.hosts_listed:9|g\n")
	require.Contains(t, body, "edge_lb.hosts_down:2|g\n")

	code, _ = s.request(t, "POST", PathDetach, "s-9")
	require.Equal(t, 404, code, "a worker that was never listed")
	code, _ = s.request(t, "POST", PathDetach, "s-1\n")
	require.Equal(t, 200, code)
	require.True(t, s.overrides.IsDetached("s-1"))
	code, _ = s.request(t, "POST", PathDetach, "s-1")
	require.Equal(t, 200, code, "detaching twice succeeds")
	code, _ = s.request(t, "POST", PathAttach, "s-1")
	require.Equal(t, 200, code)
	require.False(t, s.overrides.IsDetached("s-1"))

	for _, bad := range []struct {
		method, path, body string
		code               int
	}{
		{"GET", PathDetach, "s-1", 405},
		{"POST", PathReady, "", 405},
		{"GET", "/_nothing", "", 404},
		{"POST", PathDetach, "", 400},
		{"POST", PathDetach, "s 1", 400},
		{"POST", PathAttach, strings.Repeat("s", override.MaxNameBytes+1), 400},
	} {
		code, _ := s.request(t, bad.method, bad.path, bad.body)
		require.Equal(t, bad.code, code, "%s %s %q", bad.method, bad.path, bad.body)
	}
	require.False(t, s.overrides.IsDetached("s-1"))
}

// A detach that the cores have not applied is answered with 503 within a second, but stays in effect.
func TestDetachNotAppliedInTime(t *testing.T) {
	s := startServer(t, true)
	began := time.Now()
	code, _ := s.request(t, "POST", PathDetach, "s-2")
	require.Equal(t, 503, code)
	require.Less(t, time.Since(began), time.Second)
	require.True(t, s.overrides.IsDetached("s-2"), "it is in effect all the same")
	s.applied.Store(s.overrides.Generation())
	code, _ = s.request(t, "POST", PathDetach, "s-2")
	require.Equal(t, 200, code)
}

// Connections with an incomplete request or none cannot lock operators out: a request is still
// answered within a second, and the idle connections are closed.
func TestIdleConnectionsDoNotBlockRequests(t *testing.T) {
	s := startServer(t, false)
	s.ready.Store(true)
	var idle []net.Conn
	for i := range 3 * DefaultMaxConns {
		c, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			_, err = c.Write([]byte("GET /_rea"))
			require.NoError(t, err)
		}
		idle = append(idle, c)
	}
	time.Sleep(50 * time.Millisecond) // all are accepted
	s.server.mu.Lock()
	open := len(s.server.conns)
	s.server.mu.Unlock()
	require.LessOrEqual(t, open, 2*DefaultMaxConns, "more open connections than the limit")
	for range 5 {
		began := time.Now()
		code, _ := s.request(t, "GET", PathReady, "")
		require.Equal(t, 200, code)
		require.Less(t, time.Since(began), time.Second)
	}
	for _, c := range idle { // closed for a newer connection or by the timeout
		_ = c.SetReadDeadline(time.Now().Add(requestTimeout + time.Second))
		_, err := io.ReadAll(c)
		require.NoError(t, err, "an idle connection is open after its timeout")
	}
}

// Callers that connect at the same moment are all answered, even if there are more than the limit:
// no new connection is closed for a newer one.
func TestSimultaneousCallersAreAnswered(t *testing.T) {
	s := startServer(t, false)
	s.ready.Store(true)
	var conns []net.Conn
	for range DefaultMaxConns + DefaultMaxConns/2 {
		c, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer c.Close()
		conns = append(conns, c)
	}
	time.Sleep(20 * time.Millisecond) // all are accepted before any request is sent
	for _, c := range conns {
		_, err := c.Write([]byte("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
	}
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "caller %d", i)
		require.Equal(t, 200, r.StatusCode)
	}
}

// Any complete request gets a valid status and a text on lines of its own.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("POST /_workers/detach HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\ns-1"))
	f.Add([]byte("POST /_workers/attach HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-1\r\n0\r\n\r\n"))
	f.Add([]byte("GET /_vars HTTP/1.0\r\n\r\n"))
	overrides := override.New()
	overrides.RecordListed(time.Now(), "s-1")
	server := New(Options{Overrides: overrides, Ready: func() bool { return true }, OverridesApplied: overrides.Generation})
	f.Fuzz(func(t *testing.T, data []byte) {
		framer := platform.NewRequestFramer()
		framer.Feed(data)
		msg, err := framer.Next()
		if msg == nil {
			if err == nil {
				msg, err = framer.End()
			}
			if msg == nil {
				return
			}
		}
		require.NoError(t, err)
		code, text := server.respond(msg, time.Now())
		require.True(t, code >= 200 && code < 600)
		require.NotEmpty(t, text)
		require.NotContains(t, text, "\r", "the text contains no carriage return")
	})
}
