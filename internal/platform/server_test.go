package platform

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/link"
)

// requestPolicy passes requests, and those that clients have left, to the test.
type requestPolicy struct {
	manualPolicy
	requests chan balance.JobID
	gone     chan balance.JobID
}

func (p *requestPolicy) SubmitJob(_ time.Duration, j balance.Job)                          { p.requests <- j.ID }
func (p *requestPolicy) ClientGone(_ time.Duration, id balance.JobID)                      { p.gone <- id }
func (p *requestPolicy) AttemptDone(_ time.Duration, _ balance.AttemptResult)              {}
func (p *requestPolicy) UpdateMembers(time.Duration, balance.UpdateKind, []balance.Member) {}

// serverFixture is a real server on the loopback address whose decisions the test makes.
type serverFixture struct {
	t      *testing.T
	core   *dispatch.Core
	server *Server
	policy *requestPolicy
	addr   string
}

func newServerFixture(t *testing.T) *serverFixture {
	p := &requestPolicy{requests: make(chan balance.JobID, 64), gone: make(chan balance.JobID, 64)}
	settings := balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 3, ConnectTimeout: 250 * time.Millisecond, ConnIdleTimeout: 15 * time.Second,
		Classes: []balance.Class{{Name: "price-read", Deadline: time.Minute, Worth: 1, WorkerKind: -1}}}
	core, err := dispatch.New(dispatch.Options{Settings: settings, Policy: func(_ balance.Settings, h balance.Host) (dispatch.Policy, error) {
		p.Host = h
		return p, nil
	}})
	require.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	workers := NewWorkers(core, log, new(net.Dialer).DialContext, 16)
	core.Connect(workers, noDiscovery{})
	go core.Run(t.Context())
	names := &config.Names{Class: map[string]int{"price-read": 0}}
	s := NewServer(core, workers, log, names, 16)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	return &serverFixture{t: t, core: core, server: s, policy: p, addr: l.Addr().String()}
}

func (f *serverFixture) dial() net.Conn {
	c, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (f *serverFixture) fail(id balance.JobID) { f.core.Do(func() { f.policy.Host.Fail(id) }) }

func postRequests(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "POST /price-read HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	return b.String()
}

// A client pipelines many requests and closes the connection. Its close is hidden behind requests that
// are not read while the first is in flight. It must be noticed all the same: the first request must be
// cancelled and the others must not be served.
func TestClientLeavesWithPipelinedRequests(t *testing.T) {
	f := newServerFixture(t)
	c := f.dial()
	ids := make([]string, 40)
	for i := range ids {
		ids[i] = fmt.Sprintf("r%d", i)
	}
	_, err := io.WriteString(c, postRequests(ids...))
	require.NoError(t, err)
	first := <-f.policy.requests
	closed := time.Now()
	require.NoError(t, c.Close())
	require.Equal(t, first, <-f.policy.gone)
	require.Less(t, time.Since(closed), 2*time.Second, "the close must be noticed before the request's deadline")
	require.Eventually(t, func() bool { return f.core.OpenRequests() == 0 }, 2*time.Second, time.Millisecond)
	select {
	case id := <-f.policy.requests:
		t.Fatalf("request %d of a client that has left is served", id)
	default:
	}
}

// A draining server must answer every request received on a connection before closing it, not only the
// one in flight.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	f := newServerFixture(t)
	c := f.dial()
	_, err := io.WriteString(c, postRequests("r1"))
	require.NoError(t, err)
	first := <-f.policy.requests
	var drained sync.WaitGroup
	drained.Go(func() {
		f.server.Drain(t.Context(), link.DrainSchedule{FullDeadlineFor: time.Minute, AnswerWithin: time.Minute})
	})
	require.Eventually(t, f.server.connServer.ClosingConns, 5*time.Second, time.Millisecond)
	_, err = io.WriteString(c, postRequests("r2", "r3"))
	require.NoError(t, err)
	f.fail(first)
	f.fail(<-f.policy.requests)
	f.fail(<-f.policy.requests)
	in := bufio.NewReader(c)
	for i := range 3 {
		r, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "answer %d", i+1)
		_, err = io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		require.Equal(t, i == 2, r.Close, "only the last response must close the connection")
	}
	drained.Wait()
}

// A connection that ends with a response must be shut for writing first and be read further: if it were
// closed, bytes that the client still sends would reset it, and the reset could arrive before the
// response.
func TestLastResponseIsNotLostToReset(t *testing.T) {
	f := newServerFixture(t)
	for i := range 20 {
		c := f.dial()
		_, err := fmt.Fprintf(c, "POST /price-read HTTP/1.1\r\nHost: x\r\nReq-Id: r%d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", i)
		require.NoError(t, err)
		f.fail(<-f.policy.requests)
		in := bufio.NewReader(c)
		r, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, r.StatusCode)
		_, err = io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		for range 3 { // on a closed connection the first write causes a reset, on which the next ones fail
			_, err = c.Write(make([]byte, 1<<10))
			require.NoError(t, err)
		}
		rest, err := io.ReadAll(in)
		require.NoError(t, err)
		require.Empty(t, rest)
		_ = c.Close()
	}
}
