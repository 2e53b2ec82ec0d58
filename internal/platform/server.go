package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/complain"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/link"
)

// Server is the platform's address: terminals, the regions' call-backs and the front's
// question whether we are ready.
type Server struct {
	core     *dispatch.Core
	regions  *Regions
	log      *slog.Logger
	names    *config.Names
	ready    atomic.Bool
	server   link.Server
	complain *complain.Book
	relay    func(body []byte) bool // hands a call-back of no request of ours to another process
}

// NewServer returns a server that holds at most so many connections.
func NewServer(core *dispatch.Core, regions *Regions, log *slog.Logger, names *config.Names, most int) *Server {
	s := &Server{core: core, regions: regions, log: log, names: names, complain: complain.New(log, nil)}
	s.server = link.Server{Log: log, Most: most, Handle: s.handle}
	return s
}

// Serve accepts connections until the listener is closed, and is ready from now on.
func (s *Server) Serve(l net.Listener) error {
	s.ready.Store(true)
	return s.server.Serve(l)
}

// Relay gives the server a way to hand a call-back that names no request of this process to
// another process at the same address, during an upgrade; send tells whether it went anywhere.
// It is to be set before Serve.
func (s *Server) Relay(send func(body []byte) bool) { s.relay = send }

// Relayed takes a call-back that another process handed over: it may be for a request of ours.
func (s *Server) Relayed(body []byte) {
	if _, err := s.event(body); err != nil {
		s.complain.Complain("malformed call-back", nil, "relayed", "err", err)
	}
}

// Ready tells whether the server takes clients: from Serve until Drain.
func (s *Server) Ready() bool { return s.ready.Load() }

// Drain ends service: it goes on taking what comes, for as long as g says while there are
// clients, then closes connections after their answers, and returns when all that was taken
// is answered.
func (s *Server) Drain(ctx context.Context, g link.Grace) {
	s.ready.Store(false)
	s.core.Drain(g.Free, g.Within)
	s.server.Drain(ctx, s.core.Open, g.Stay)
}

func (s *Server) handle(p *link.Peer) {
	t := &terminal{Peer: p, Server: s, answers: make(chan dispatch.Answer, 1),
		in: make(chan *Message, 1), ended: make(chan struct{}), quit: make(chan struct{})}
	go t.read()
	refused := t.serve()
	close(t.quit)
	if refused {
		p.Linger(t.ended)
	}
}

// terminal is one connection from a client, or from a region that calls back.
type terminal struct {
	*link.Peer
	*Server
	answers chan dispatch.Answer
	in      chan *Message
	ended   chan struct{} // the reader has ended, by err
	err     error
	quit    chan struct{} // nothing more is taken from in
	wrote   bool          // the last answer, whole
}

// Answer takes the final answer of the transaction that the connection waits for.
func (t *terminal) Answer(a dispatch.Answer) { t.answers <- a }

// read goes on while a request is being served, or the client's leaving would not be seen;
// a second request then waits in the channel.
func (t *terminal) read() {
	t.err = link.Read(t.Peer, NewRequestFramer(), func(m *Message) bool {
		t.Busy(1) // until it is answered
		select {
		case t.in <- m:
			return true
		case <-t.quit:
			t.Busy(-1)
			return false
		}
	})
	close(t.ended)
}

// serve answers one message after another until the connection is not to go on, and tells
// whether the last answer was that a message is malformed. Whoever sends such a message may
// not mean the next one either, so nothing after it is read.
func (t *terminal) serve() (refused bool) {
	for {
		var m *Message
		select {
		case m = <-t.in:
		case <-t.ended:
			select {
			case m = <-t.in: // it came before the end
			default:
				if isMalformed(t.err) {
					return !t.malformed("malformed message", t.err)
				}
				return false
			}
		}
		goes, refused := t.message(m)
		t.Busy(-1)
		if !goes {
			return refused
		}
	}
}

// message answers one message and tells whether the connection goes on, and else whether
// it ends because the message is malformed.
func (t *terminal) message(m *Message) (goes, refused bool) {
	r := m.Request
	switch {
	case r.URL.Path == pathReady: // proves nothing: anyone can ask, and stay
		if t.ready.Load() {
			return t.reply(m, http.StatusOK, "ready"), false
		}
		return t.reply(m, http.StatusServiceUnavailable, "not ready"), false
	case r.URL.Path == pathEvents && r.Method == http.MethodPost:
		known, err := t.event(m.Body)
		if err != nil {
			return t.malformed("malformed call-back", err), true
		}
		if !known && t.relay != nil {
			t.relay(m.Body)
		}
		t.Prove()
		t.Keep()
		return t.write(response(http.StatusNoContent, nil, 0, m.Close)) && !m.Close, false
	case r.Method != http.MethodPost:
		return t.malformed("malformed request", &refusal{http.StatusNotFound, "not found"}), true
	}
	tx, err := readTransaction(m, t.core.Settings(), t.names)
	if err != nil {
		return t.malformed("malformed request", err), true
	}
	t.Prove()
	tx.Terminal = t
	t.core.Submit(tx)
	ended := t.ended
	for {
		select {
		case a := <-t.answers:
			goes := t.final(m, a)
			t.core.Written(tx, t.wrote)
			return goes, false
		case <-ended:
			if isMalformed(t.err) { // the client is still there and is owed this answer first
				ended = nil
				continue
			}
			t.core.Leave(tx)
			return false, false
		}
	}
}

// isMalformed tells whether a connection's reader ended by what the peer sent, and not by
// the peer's leaving.
func isMalformed(err error) bool {
	bad := (*link.Malformed)(nil)
	return errors.As(err, &bad)
}

func (t *terminal) final(m *Message, a dispatch.Answer) bool {
	body := a.Result
	if a.Verdict != dispatch.Served {
		body = []byte(a.Reason + "\n")
	}
	last := m.Close || t.server.Leaving() || a.Unfit
	return t.write(response(statusOf(a), body, a.RetryAfter, last)) && !last
}

func (t *terminal) reply(m *Message, status int, text string) bool {
	last := m.Close || t.server.Draining()
	return t.write(response(status, []byte(text+"\n"), 0, last)) && !last
}

// malformed gives the connection's last answer, so that it does not go on.
func (t *terminal) malformed(what string, err error) (goes bool) {
	t.complain.Complain(what, t.RemoteAddr(), reasonOf(err), "err", err)
	t.write(response(refusalStatus(err), []byte(err.Error()+"\n"), 0, true))
	return false
}

// reasonOf is the kind of a fault, of which there are few: a fault's own text may quote the
// client, and each would be told apart.
func reasonOf(err error) string { return strconv.Itoa(refusalStatus(err)) }

// write sends one answer. A client that does not read it holds up its own connection only.
func (t *terminal) write(data []byte) bool {
	_, err := link.Write(t.Conn, data)
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
	return s.regions.Event(string(id), string(from), string(state), v.GetFloat64("share"), v.GetStringBytes("result"))
}
