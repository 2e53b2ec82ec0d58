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

// askingPolicy answers nothing by itself: the test does, by the requests that have come.
type askingPolicy struct {
	manualPolicy
	asked chan balance.JobID
	gone  chan balance.JobID
}

func (p *askingPolicy) SubmitJob(_ time.Duration, j balance.Job)                          { p.asked <- j.ID }
func (p *askingPolicy) ClientGone(_ time.Duration, id balance.JobID)                      { p.gone <- id }
func (p *askingPolicy) AttemptDone(_ time.Duration, _ balance.AttemptResult)              {}
func (p *askingPolicy) UpdateMembers(time.Duration, balance.UpdateKind, []balance.Member) {}

// front is a real server on the loopback address whose policy is the test.
type front struct {
	t      *testing.T
	core   *dispatch.Core
	server *Server
	policy *askingPolicy
	addr   string
}

func newFront(t *testing.T) *front {
	p := &askingPolicy{asked: make(chan balance.JobID, 64), gone: make(chan balance.JobID, 64)}
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
	return &front{t: t, core: core, server: s, policy: p, addr: l.Addr().String()}
}

func (f *front) dial() net.Conn {
	c, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (f *front) fail(id balance.JobID) { f.core.Do(func() { f.policy.Host.Fail(id) }) }

func posts(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "POST /price-read HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	return b.String()
}

// A client that sends much at once and goes: its close lies behind requests that nobody reads while
// the first is in work. Neither the first nor those behind it are sent on.
func TestAClientThatSendsMuchAndGoes(t *testing.T) {
	f := newFront(t)
	c := f.dial()
	ids := make([]string, 40)
	for i := range ids {
		ids[i] = fmt.Sprintf("r%d", i)
	}
	_, err := io.WriteString(c, posts(ids...))
	require.NoError(t, err)
	first := <-f.policy.asked
	closed := time.Now()
	require.NoError(t, c.Close())
	require.Equal(t, first, <-f.policy.gone)
	require.Less(t, time.Since(closed), 2*time.Second, "not at the end of its patience")
	require.Eventually(t, func() bool { return f.core.OpenRequests() == 0 }, 2*time.Second, time.Millisecond)
	select {
	case id := <-f.policy.asked:
		t.Fatalf("request %d of a client that has gone is served", id)
	default:
	}
}

// A process that ends answers every request that has come on a connection before it closes it, not
// only the one that is in work.
func TestADrainAnswersWhatIsPipelined(t *testing.T) {
	f := newFront(t)
	c := f.dial()
	_, err := io.WriteString(c, posts("r1"))
	require.NoError(t, err)
	first := <-f.policy.asked
	var drained sync.WaitGroup
	drained.Go(func() {
		f.server.Drain(t.Context(), link.DrainSchedule{FullDeadlineFor: time.Minute, AnswerWithin: time.Minute})
	})
	require.Eventually(t, f.server.server.ClosingConns, 5*time.Second, time.Millisecond)
	_, err = io.WriteString(c, posts("r2", "r3"))
	require.NoError(t, err)
	f.fail(first)
	f.fail(<-f.policy.asked)
	f.fail(<-f.policy.asked)
	in := bufio.NewReader(c)
	for i := range 3 {
		r, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "answer %d", i+1)
		_, err = io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		require.Equal(t, i == 2, r.Close, "the last answer ends the connection")
	}
	drained.Wait()
}

// A connection that ends with its answer is shut for writing first, and read on: were it closed, what
// the client sends meanwhile would reset it, and the reset could overtake the answer.
func TestTheLastAnswerOutlivesWhatFollows(t *testing.T) {
	f := newFront(t)
	for i := range 20 {
		c := f.dial()
		_, err := fmt.Fprintf(c, "POST /price-read HTTP/1.1\r\nHost: x\r\nReq-Id: r%d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", i)
		require.NoError(t, err)
		f.fail(<-f.policy.asked)
		in := bufio.NewReader(c)
		r, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, r.StatusCode)
		_, err = io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		for range 3 { // a closed connection answers the first with a reset, which the next ones meet
			_, err = c.Write(make([]byte, 1<<10))
			require.NoError(t, err)
		}
		rest, err := io.ReadAll(in)
		require.NoError(t, err)
		require.Empty(t, rest)
		_ = c.Close()
	}
}
