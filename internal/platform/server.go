package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
)

const (
	// A head or body that has begun must be whole by then.
	partialWait = 10 * time.Second
	// New connections keep arriving for a while after SIGTERM; what they bring is served.
	acceptPast = time.Second
	// Where connections are at their limit, one that has been idle for this long is closed.
	idleEnough = time.Second
)

// Server is the platform's address: terminals, the regions' call-backs and the front's
// question whether we are ready.
type Server struct {
	core     *dispatch.Core
	regions  *Regions
	log      *slog.Logger
	settings *config.Config
	most     int

	ready    atomic.Bool
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*terminal]bool
	changed  chan struct{} // a connection has ended
}

// NewServer returns a server that holds at most so many connections.
func NewServer(core *dispatch.Core, regions *Regions, log *slog.Logger, c *config.Config, most int) *Server {
	return &Server{core: core, regions: regions, log: log, settings: c, most: most,
		conns: map[*terminal]bool{}, changed: make(chan struct{}, 1)}
}

// SetReady tells whether requests can be served.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Serve accepts connections until the listener is closed. At the limit it waits: the
// listen queue holds what comes, rather than the process dying of it.
func (s *Server) Serve(l net.Listener) error {
	for {
		s.room()
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.log.Error("accept", "err", err)
			time.Sleep(20 * time.Millisecond) // out of descriptors, most likely: some will end
			continue
		}
		t := &terminal{Conn: c, server: s, since: time.Now(), in: make(chan input, 1), quit: make(chan struct{}), answers: make(chan dispatch.Answer, 1)}
		s.mu.Lock()
		s.conns[t] = true
		s.mu.Unlock()
		go t.read()
		go t.serve()
	}
}

// room waits until one more connection may be held.
func (s *Server) room() {
	for {
		s.mu.Lock()
		full := len(s.conns) >= s.most
		if full {
			var oldest *terminal
			for t := range s.conns {
				if !t.busy && (oldest == nil || t.since.Before(oldest.since)) {
					oldest = t
				}
			}
			if oldest != nil && time.Since(oldest.since) > idleEnough {
				_ = oldest.Close()
			}
		}
		s.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-s.changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Drain ends service: it goes on taking what comes, tells clients to come back elsewhere,
// and returns when all that was taken is answered and no more is to be expected.
func (s *Server) Drain(ctx context.Context) {
	s.log.Info("draining", "open", s.core.Open())
	s.ready.Store(false)
	s.draining.Store(true)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(acceptPast); ; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if time.Now().Before(until) {
			continue
		}
		busy := 0
		s.mu.Lock()
		for t := range s.conns {
			if t.busy {
				busy++
			} else if !t.calledBack {
				_ = t.Close() // regions' connections stay: their call-backs are still wanted
			}
		}
		s.mu.Unlock()
		if busy == 0 && s.core.Open() == 0 {
			s.log.Info("drained")
			return
		}
	}
}

// terminal is one connection from a client, or from a region that calls back.
type terminal struct {
	net.Conn
	server  *Server
	in      chan input
	quit    chan struct{} // nothing more is taken from in
	answers chan dispatch.Answer

	busy       bool // these three are guarded by Server.mu
	calledBack bool
	since      time.Time
}

// input is what the reader hands on: a message, or why there will be no more.
type input struct {
	message *Message
	err     error
}

// Answer takes the final answer of the transaction that the connection waits for.
func (t *terminal) Answer(a dispatch.Answer) { t.answers <- a }

// read feeds the framer while the connection lives. It reads on while a request is being
// served, or the client's leaving would not be seen; a second request then waits here.
func (t *terminal) read() {
	f := NewRequestFramer()
	buf := make([]byte, 4<<10)
	for {
		if f.Partial() {
			_ = t.SetReadDeadline(time.Now().Add(partialWait))
		} else {
			_ = t.SetReadDeadline(time.Time{})
		}
		n, err := t.Read(buf)
		f.Feed(buf[:n])
		for {
			m, bad := f.Next()
			if bad != nil {
				t.hand(input{err: &malformed{bad}})
				return
			}
			if m == nil {
				break
			}
			if !t.hand(input{message: m}) {
				return
			}
		}
		if err != nil {
			t.hand(input{err: err})
			return
		}
	}
}

func (t *terminal) hand(in input) bool {
	select {
	case t.in <- in:
		return true
	case <-t.quit:
		return false
	}
}

// malformed marks an error that the client is told of.
type malformed struct{ error }

// serve answers one message after another.
func (t *terminal) serve() {
	s := t.server
	defer func() {
		close(t.quit)
		_ = t.Close()
		s.mu.Lock()
		delete(s.conns, t)
		s.mu.Unlock()
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}()
	var next input
	for {
		if next.message == nil && next.err == nil {
			next = <-t.in
		}
		in := next
		next = input{}
		if in.err != nil {
			var bad *malformed
			if errors.As(in.err, &bad) {
				s.log.Warn("malformed request", "from", t.RemoteAddr().String(), "err", bad.error)
				t.write(response(http.StatusBadRequest, []byte(bad.Error()+"\n"), 0, true))
			}
			return
		}
		t.mark(true)
		var ok bool
		if next, ok = t.handle(in.message); !ok {
			return
		}
		t.mark(false)
	}
}

func (t *terminal) mark(busy bool) {
	t.server.mu.Lock()
	t.busy, t.since = busy, time.Now()
	t.server.mu.Unlock()
}

// handle answers one message. It returns what came from the client in the meantime, and
// whether the connection goes on.
func (t *terminal) handle(m *Message) (input, bool) {
	s, r := t.server, m.Request
	reply := func(status int, body string) bool {
		last := m.Close || s.draining.Load() && r.URL.Path != pathEvents
		return t.write(response(status, []byte(body), 0, last)) && !last
	}
	bad := func(what string, err error) bool {
		s.log.Warn("malformed "+what, "from", t.RemoteAddr().String(), "err", err)
		return reply(http.StatusBadRequest, err.Error()+"\n")
	}
	switch {
	case r.URL.Path == pathReady:
		if s.ready.Load() {
			return input{}, reply(http.StatusOK, "ready\n")
		}
		return input{}, reply(http.StatusServiceUnavailable, "not ready\n")
	case r.URL.Path == pathEvents && r.Method == http.MethodPost:
		s.mu.Lock()
		t.calledBack = true
		s.mu.Unlock()
		if err := s.event(m.Body); err != nil {
			return input{}, bad("call-back", err)
		}
		return input{}, reply(http.StatusNoContent, "")
	case r.Method != http.MethodPost:
		return input{}, reply(http.StatusNotFound, "not found\n")
	}
	tx, err := readTransaction(m, s.core.Settings(), s.settings.Names)
	if err != nil {
		return input{}, bad("request", err)
	}
	tx.Terminal = t
	if err := s.core.Submit(tx); err != nil {
		s.log.Warn("refused", "id", tx.ID, "err", err)
		return input{}, reply(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	var next input
	for {
		in := t.in
		if next.message != nil {
			in = nil // a second request waits its turn
		}
		select {
		case a := <-t.answers:
			return next, t.answer(a, m.Close || s.draining.Load())
		case next = <-in:
			if next.err != nil { // the client is gone, or sends what no one can read
				s.core.Leave(tx)
				return input{}, false
			}
		}
	}
}

func (t *terminal) answer(a dispatch.Answer, last bool) bool {
	body := a.Result
	if a.Verdict != dispatch.Served {
		body = []byte(a.Reason + "\n")
	}
	return t.write(response(statusOf(a), body, a.RetryAfter, last)) && !last
}

// write sends one answer. A client that does not read it holds up its own connection only.
func (t *terminal) write(data []byte) bool {
	_ = t.SetWriteDeadline(time.Now().Add(writeWait))
	_, err := t.Write(data)
	return err == nil
}

// event reads a call-back.
func (s *Server) event(body []byte) error {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return err
	}
	id, from, state := v.GetStringBytes("id"), v.GetStringBytes("from"), v.GetStringBytes("state")
	if len(id) == 0 || len(from) == 0 || len(state) == 0 {
		return errors.New("id, from or state: missing")
	}
	s.regions.Event(string(id), string(from), string(state), v.GetFloat64("share"), v.GetStringBytes("result"))
	return nil
}
