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

type stand struct {
	addr  string
	ready atomic.Bool
	heard atomic.Uint64
	book  *override.Set
	door  *Server
}

// open serves a door on loopback; the cores obey every change at once unless lag is set.
func open(t *testing.T, lag bool) *stand {
	s := &stand{book: override.New()}
	s.book.RecordListed(time.Now(), "s-1", "s-2")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = l.Addr().String()
	d := New(Options{Ready: s.ready.Load, Overrides: s.book,
		OverridesApplied: func() uint64 {
			if lag {
				return s.heard.Load()
			}
			return s.book.Generation()
		},
		Stats: func() Stats {
			return Stats{Classes: []ClassStats{{Name: "price-read", Success: 812, Busy: 3, Failure: 1, BackendCalls: 820}},
				Inflight: 14, HostsListed: 9, HostsDown: 2}
		}})
	s.door = d
	go func() { _ = d.Serve(l) }()
	t.Cleanup(func() { _ = d.Close() })
	return s
}

// do makes one call and returns the status and body; the door closes the connection after it.
func (s *stand) do(t *testing.T, method, path, body string) (int, string) {
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
	require.True(t, r.Close, "one call to a connection")
	return r.StatusCode, string(data)
}

func TestCalls(t *testing.T) {
	s := open(t, false)
	code, _ := s.do(t, "GET", PathReady, "")
	require.Equal(t, 503, code, "not ready before the process takes clients")
	s.ready.Store(true)
	code, _ = s.do(t, "GET", PathReady, "")
	require.Equal(t, 200, code)

	code, body := s.do(t, "GET", PathVars, "")
	require.Equal(t, 200, code)
	require.Contains(t, body, "edge_lb.calls.price-read.success:812|c\n")
	require.Contains(t, body, "edge_lb.calls.price-read.busy:3|c\n")
	require.Contains(t, body, "edge_lb.calls.price-read.failure:1|c\n")
	require.Contains(t, body, "edge_lb.backend_calls:820|c\n")
	require.Contains(t, body, "edge_lb.inflight:14|g\n")
	require.Contains(t, body, "edge_lb.hosts_listed:9|g\n")
	require.Contains(t, body, "edge_lb.hosts_down:2|g\n")

	code, _ = s.do(t, "POST", PathDetach, "s-9")
	require.Equal(t, 404, code, "an id that was never listed")
	code, _ = s.do(t, "POST", PathDetach, "s-1\n")
	require.Equal(t, 200, code)
	require.True(t, s.book.IsDetached("s-1"))
	code, _ = s.do(t, "POST", PathDetach, "s-1")
	require.Equal(t, 200, code, "a repeated detach is a yes")
	code, _ = s.do(t, "POST", PathAttach, "s-1")
	require.Equal(t, 200, code)
	require.False(t, s.book.IsDetached("s-1"))

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
		code, _ := s.do(t, bad.method, bad.path, bad.body)
		require.Equal(t, bad.code, code, "%s %s %q", bad.method, bad.path, bad.body)
	}
	require.False(t, s.book.IsDetached("s-1"))
}

// A ban that the cores have not obeyed is answered no within the second, and binds once they do.
func TestBanNotObeyedInTime(t *testing.T) {
	s := open(t, true)
	began := time.Now()
	code, _ := s.do(t, "POST", PathDetach, "s-2")
	require.Equal(t, 503, code)
	require.Less(t, time.Since(began), time.Second)
	require.True(t, s.book.IsDetached("s-2"), "it binds all the same")
	s.heard.Store(s.book.Generation())
	code, _ = s.do(t, "POST", PathDetach, "s-2")
	require.Equal(t, 200, code)
}

// Callers that open connections and send half a call, or nothing, keep no operator out: an
// answer comes within a second, and they are closed.
func TestSlowCallersKeepNoOneOut(t *testing.T) {
	s := open(t, false)
	s.ready.Store(true)
	var slow []net.Conn
	for i := range 3 * DefaultMaxConns {
		c, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			_, err = c.Write([]byte("GET /_rea"))
			require.NoError(t, err)
		}
		slow = append(slow, c)
	}
	time.Sleep(50 * time.Millisecond) // all are accepted
	s.door.mu.Lock()
	held := len(s.door.conns)
	s.door.mu.Unlock()
	require.LessOrEqual(t, held, 2*DefaultMaxConns, "connections beyond the bound")
	for range 5 {
		began := time.Now()
		code, _ := s.do(t, "GET", PathReady, "")
		require.Equal(t, 200, code)
		require.Less(t, time.Since(began), time.Second)
	}
	for _, c := range slow { // each was pushed out for a newer one, or is closed when its time is over
		_ = c.SetReadDeadline(time.Now().Add(callWithin + time.Second))
		_, err := io.ReadAll(c)
		require.NoError(t, err, "the door holds a silent connection past its time")
	}
}

// Callers that come all at once, more than the bound, are each answered: none that has just
// connected is pushed out for a newer one.
func TestCallersAtOnce(t *testing.T) {
	s := open(t, false)
	s.ready.Store(true)
	var conns []net.Conn
	for range DefaultMaxConns + DefaultMaxConns/2 {
		c, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer c.Close()
		conns = append(conns, c)
	}
	time.Sleep(20 * time.Millisecond) // all are accepted before any call comes
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

// Whatever bytes come, the door answers with a status of its own and never fails.
func FuzzCall(f *testing.F) {
	f.Add([]byte("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("POST /_workers/detach HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\ns-1"))
	f.Add([]byte("POST /_workers/attach HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-1\r\n0\r\n\r\n"))
	f.Add([]byte("GET /_vars HTTP/1.0\r\n\r\n"))
	book := override.New()
	book.RecordListed(time.Now(), "s-1")
	d := New(Options{Overrides: book, Ready: func() bool { return true }, OverridesApplied: book.Generation})
	f.Fuzz(func(t *testing.T, b []byte) {
		fr := platform.NewRequestFramer()
		fr.Feed(b)
		m, err := fr.Next()
		if m == nil {
			if err == nil {
				m, err = fr.End()
			}
			if m == nil {
				return
			}
		}
		require.NoError(t, err)
		code, text := d.answer(m, time.Now())
		require.True(t, code >= 200 && code < 600)
		require.NotEmpty(t, text)
		require.NotContains(t, text, "\r", "an answer's text stays on its lines")
	})
}
