package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/limitedlog"
	"tinroute.example/tinroute/internal/link"
)

// lookForHangUp is how often a connection from which nothing is read is looked at for the client's
// leaving: no attempt is to begin over 0.1 s after that.
const lookForHangUp = 40 * time.Millisecond

// Server is the platform's address: client connections, the workers' call-backs and the front's
// question whether we are ready.
type Server struct {
	core       *dispatch.Core
	workers    *Workers
	log        *slog.Logger
	names      *config.Names
	ready      atomic.Bool
	server     link.Server
	limitedLog *limitedlog.Logger
	relay      func(body []byte) bool // hands a call-back of no request of ours to another process
}

// NewServer returns a server that holds at most so many connections.
func NewServer(core *dispatch.Core, workers *Workers, log *slog.Logger, names *config.Names, most int) *Server {
	s := &Server{core: core, workers: workers, log: log, names: names, limitedLog: limitedlog.New(log, nil)}
	s.server = link.Server{Log: log, MaxConns: most, Handle: s.handle}
	return s
}

// Serve accepts connections until the listener is closed, and is ready from now on.
func (s *Server) Serve(l net.Listener) error {
	s.ready.Store(true)
	return s.server.Serve(l)
}

// SetRelay gives the server a way to hand a call-back that names no request of this process to
// another process at the same address, during an upgrade; send tells whether it went anywhere.
// It is to be set before Serve.
func (s *Server) SetRelay(send func(body []byte) bool) { s.relay = send }

// HandleRelayed takes a call-back that another process handed over: it may be for a request of ours.
func (s *Server) HandleRelayed(body []byte) {
	if _, err := s.event(body); err != nil && !errors.Is(err, errNotYet) {
		s.limitedLog.Report("malformed call-back", nil, "relayed", "err", err)
	}
}

// Ready tells whether the server takes clients: from Serve until Drain.
func (s *Server) Ready() bool { return s.ready.Load() }

// Drain ends service: it goes on taking what comes, for as long as g says while there are
// clients, then closes connections after their answers, and returns when all that was taken
// is answered.
func (s *Server) Drain(ctx context.Context, g link.DrainSchedule) {
	s.ready.Store(false)
	s.core.Drain(g.FullDeadlineFor, g.AnswerWithin)
	s.server.Drain(ctx, s.core.OpenRequests, g.KeepClientsFor)
}

func (s *Server) handle(p *link.ServerConn) {
	t := &clientConn{ServerConn: p, Server: s, answers: make(chan dispatch.Answer, 1),
		in: make(chan *Message, 1), ended: make(chan struct{}), quit: make(chan struct{})}
	go t.read()
	t.serve()
	close(t.quit)
	if t.last {
		p.Linger(t.ended)
	}
}

// clientConn is one connection from a client, or from a worker that calls back.
type clientConn struct {
	*link.ServerConn
	*Server
	answers chan dispatch.Answer
	in      chan *Message
	ended   chan struct{} // the reader has ended, by err
	err     error
	quit    chan struct{} // nothing more is taken from in
	wrote   bool          // the last answer, whole
	last    bool          // an answer has said that the connection ends; it must not be overtaken by a reset
}

// Answer takes the final answer of the request that the connection waits for.
func (t *clientConn) Answer(a dispatch.Answer) { t.answers <- a }

// read goes on while a request is being served, or the client's leaving would not be seen;
// a second request then waits in the channel, and a third with the reader.
func (t *clientConn) read() {
	t.err = link.ReadMessages(t.ServerConn, NewRequestFramer(), func(m *Message) bool {
		t.AddInFlight(1) // until it is answered
		if t.hand(m) {
			return true
		}
		t.AddInFlight(-1)
		return false
	})
	close(t.ended)
}

// hand passes a message on to be served. While it waits for that nothing is read, and the end of the
// stream is behind what the client has sent beside: so the system is asked for it.
func (t *clientConn) hand(m *Message) bool {
	select {
	case <-t.quit: // the last answer is given: what comes now is not taken
		return false
	default:
	}
	select {
	case t.in <- m:
		return true
	default:
	}
	look := time.NewTicker(lookForHangUp)
	defer look.Stop()
	for {
		select {
		case t.in <- m:
			return true
		case <-t.quit:
			return false
		case <-look.C:
			if link.PeerClosed(t.Conn) {
				return false
			}
		}
	}
}

// serve answers one message after another until the connection is not to go on. Whoever sends a
// malformed message may not mean the next one either, so nothing after it is read.
func (t *clientConn) serve() {
	for {
		var m *Message
		select {
		case m = <-t.in:
		case <-t.ended:
			select {
			case m = <-t.in: // it came before the end
			default:
				if isMalformed(t.err) {
					t.malformed("malformed message", t.err)
				}
				return
			}
		}
		goes := t.message(m)
		t.AddInFlight(-1)
		if !goes {
			return
		}
	}
}

// message answers one message and tells whether the connection goes on.
func (t *clientConn) message(m *Message) (goes bool) {
	r := m.Request
	switch {
	case r.URL.Path == pathReady: // proves nothing: anyone can ask, and stay
		if t.ready.Load() {
			return t.reply(m, http.StatusOK, "ready")
		}
		return t.reply(m, http.StatusServiceUnavailable, "not ready")
	case r.URL.Path == pathEvents && r.Method == http.MethodPost:
		known, err := t.event(m.Body)
		if errors.Is(err, errNotYet) {
			t.MarkValidated()
			return t.answer(http.StatusServiceUnavailable, []byte(err.Error()+"\n"), 0, m.Close)
		}
		if err != nil {
			return t.malformed("malformed call-back", err)
		}
		if !known && t.relay != nil {
			t.relay(m.Body)
		}
		t.MarkValidated()
		t.KeepDuringDrain()
		return t.answer(http.StatusNoContent, nil, 0, m.Close)
	case r.Method != http.MethodPost:
		return t.malformed("malformed request", &refusal{http.StatusNotFound, "not found"})
	}
	request, err := readRequest(m, t.core.Settings(), t.names)
	if err != nil {
		return t.malformed("malformed request", err)
	}
	t.MarkValidated()
	if link.PeerClosed(t.Conn) { // the client has sent it, perhaps behind others, and gone
		return false
	}
	request.Client = t
	t.core.Submit(request)
	ended := t.ended
	for {
		select {
		case a := <-t.answers:
			goes := t.final(m, a)
			t.core.AnswerWritten(request, t.wrote)
			return goes
		case <-ended:
			if isMalformed(t.err) { // the client is still there and is owed this answer first
				ended = nil
				continue
			}
			t.core.CancelRequest(request)
			return false
		}
	}
}

// isMalformed tells whether a connection's reader ended by what the peer sent, and not by
// the peer's leaving.
func isMalformed(err error) bool {
	bad := (*link.MalformedError)(nil)
	return errors.As(err, &bad)
}

// final writes a request's answer. A process that ends closes the connection with it, but not
// while another request has come on it: that one has been taken, and is owed an answer too.
func (t *clientConn) final(m *Message, a dispatch.Answer) (goes bool) {
	body := a.Result
	if a.Verdict != dispatch.Served {
		body = []byte(a.Reason + "\n")
	}
	last := m.Close || a.InvalidRequest || t.server.ClosingConns() && !t.HasPendingInput()
	return t.answer(statusOf(a), body, a.RetryAfter, last)
}

func (t *clientConn) reply(m *Message, status int, text string) (goes bool) {
	last := m.Close || t.server.Draining() && !t.HasPendingInput()
	return t.answer(status, []byte(text+"\n"), 0, last)
}

// malformed gives the connection's last answer, so that it does not go on.
func (t *clientConn) malformed(what string, err error) (goes bool) {
	t.limitedLog.Report(what, t.RemoteAddr(), reasonOf(err), "err", err)
	return t.answer(refusalStatus(err), []byte(err.Error()+"\n"), 0, true)
}

// answer writes one answer and tells whether the connection goes on after it.
func (t *clientConn) answer(status int, body []byte, retryAfter time.Duration, last bool) (goes bool) {
	t.last = last
	return t.write(response(status, body, retryAfter, last)) && !last
}

// reasonOf is the kind of a fault, of which there are few: a fault's own text may quote the
// client, and each would be told apart.
func reasonOf(err error) string { return strconv.Itoa(refusalStatus(err)) }

// write sends one answer. A client that does not read it holds up its own connection only.
func (t *clientConn) write(data []byte) bool {
	_, err := link.WriteWithTimeout(t.Conn, data)
	t.wrote = err == nil
	return t.wrote
}

// event reads a call-back and tells whether it named a request of ours.
func (s *Server) event(body []byte) (known bool, err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return false, err
	}
	id, from, state := v.GetStringBytes("id"), v.GetStringBytes("from"), v.GetStringBytes("state")
	if len(id) == 0 || len(from) == 0 || len(state) == 0 {
		return false, errors.New("id, from or state: missing")
	}
	return s.workers.HandleEvent(string(id), string(from), string(state), v.GetFloat64("share"), v.GetStringBytes("result"))
}
