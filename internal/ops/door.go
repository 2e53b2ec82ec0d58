// Package ops is the operators' door: one further address, HTTP/1.1 with one call to a
// connection, at which operators ask whether the process takes clients, read its figures, and
// take workers out by hand and back. It never waits on a core for long: an answer is owed
// within a second under any load, also beside callers that open connections and say nothing.
package ops

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tinroute.example/tinroute/internal/limitedlog"
	"tinroute.example/tinroute/internal/override"
	"tinroute.example/tinroute/internal/platform"
)

const (
	// callWithin bounds how long a caller has for its whole call, from its connection's
	// acceptance: one that says nothing, or half of something, holds its place no longer.
	callWithin = 2 * time.Second
	// answerWithin is how long after the whole call an answer is written at the latest; a ban
	// that the cores have not confirmed by then is answered no, and binds all the same.
	answerWithin = 700 * time.Millisecond
	writeWithin  = time.Second
	// DefaultMaxConns is the number of connections held at once by default, twice as many for callers that
	// come all at once. At the bound the oldest one without a whole call gives way to the new one:
	// callers that hold connections idle cannot keep an operator out.
	DefaultMaxConns = 16
	// young is how long a new connection has to send its call before it may give way.
	young = 100 * time.Millisecond
	// maxID bounds the body of a call about a worker.
	maxID = override.MaxNameBytes
	// lookEvery is how often a call about a worker looks whether the cores obey it.
	lookEvery = 2 * time.Millisecond
	// lookAgain is how long the accept loop rests after an error, out of descriptors most
	// likely.
	lookAgain = 50 * time.Millisecond
)

// The calls.
const (
	PathReady  = "/_ready"
	PathVars   = "/_vars"
	PathDetach = "/_workers/detach"
	PathAttach = "/_workers/attach"
)

// Options are what the door answers from. Ready and Figures are asked on the door's own
// goroutines and must not block for long; Heard is the least generation of the hand bans that
// every core obeys.
type Options struct {
	Log              *slog.Logger
	MaxConns         int // connections at once; Most where 0
	Ready            func() bool
	Stats            func() Stats
	Overrides        *override.Set
	OverridesApplied func() uint64
	Now              func() time.Time // time.Now where nil
}

// Server serves the operators' calls. Its zero value is not ready: use New.
type Server struct {
	o          Options
	limitedLog *limitedlog.Logger
	mu         sync.Mutex
	conns      map[*call]bool
	closed     bool
	listener   net.Listener
	wg         sync.WaitGroup
}

// call is one connection, with its one call.
type call struct {
	net.Conn
	since time.Time
	whole bool // its call has come whole: it is being answered and does not give way
}

// New returns a door that serves once Serve is called.
func New(o Options) *Server {
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Server{o: o, limitedLog: limitedlog.New(o.Log, nil), conns: map[*call]bool{}}
}

// Serve accepts calls until the listener is closed, or Close is called.
func (d *Server) Serve(l net.Listener) error {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return l.Close()
	}
	d.listener = l
	d.mu.Unlock()
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			d.limitedLog.Report("operators' door cannot accept", nil, "accept", "err", err)
			time.Sleep(lookAgain)
			continue
		}
		cl := &call{Conn: c, since: time.Now()}
		if !d.admit(cl) {
			_ = c.Close()
			return nil
		}
		d.wg.Go(func() {
			defer d.leave(cl)
			d.serve(cl)
		})
	}
}

// admit takes a connection in, making room for it at the bound. A caller that has just connected
// has had no time to send its call, so only one that has been silent for a while gives way at Most;
// callers that come all at once are taken up to twice as many, and only there does the oldest
// without a whole call give way, however young.
func (d *Server) admit(c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	if len(d.conns) >= d.o.MaxConns {
		var oldest *call
		for o := range d.conns {
			if !o.whole && (oldest == nil || o.since.Before(oldest.since)) {
				oldest = o
			}
		}
		if oldest != nil && (c.since.Sub(oldest.since) >= young || len(d.conns) >= 2*d.o.MaxConns) {
			_ = oldest.Close() // its reader ends, and so does it
			delete(d.conns, oldest)
		}
	}
	d.conns[c] = true
	return true
}

func (d *Server) leave(c *call) {
	_ = c.Close()
	d.mu.Lock()
	delete(d.conns, c)
	d.mu.Unlock()
}

// Close stops accepting, closes what is open, and returns when every call has ended.
func (d *Server) Close() error {
	d.mu.Lock()
	d.closed = true
	l := d.listener
	for c := range d.conns {
		_ = c.Close()
	}
	d.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	d.wg.Wait()
	return err
}

// serve reads one call, answers it and ends.
func (d *Server) serve(c *call) {
	_ = c.SetReadDeadline(c.since.Add(callWithin)) // for the whole call, however it trickles in
	m, err := read(c.Conn)
	if m == nil {
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			d.limitedLog.Report("operators' call not whole in time", c.RemoteAddr(), "slow")
			d.write(c, http.StatusRequestTimeout, "the call did not come whole within "+callWithin.String())
		case isMalformed(err):
			d.limitedLog.Report("malformed operators' call", c.RemoteAddr(), "malformed", "err", err)
			d.write(c, http.StatusBadRequest, "malformed: "+err.Error())
		}
		return // else the caller has gone, or was pushed out for a newer one
	}
	d.mu.Lock()
	c.whole = true
	d.mu.Unlock()
	status, text := d.answer(m, time.Now())
	if status >= 400 {
		d.limitedLog.Report("operators' call refused", c.RemoteAddr(), strconv.Itoa(status), "path", m.Request.URL.Path)
	}
	d.write(c, status, text)
}

// read reads the one call of a connection. A framer's error is the caller's fault and is
// marked so; any other error is the connection's.
func read(c net.Conn) (*platform.Message, error) {
	f := platform.NewRequestFramer()
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		f.Feed(buf[:n])
		m, bad := f.Next()
		if bad != nil {
			return nil, malformed{bad}
		}
		if m != nil {
			return m, nil
		}
		if err != nil {
			if m, bad := f.End(); m != nil && bad == nil {
				return m, nil
			}
			return nil, err
		}
	}
}

// malformed is an error that the caller's bytes caused.
type malformed struct{ error }

func isMalformed(err error) bool { return errors.As(err, new(malformed)) }

// answer decides the answer to a whole call that came at the instant given.
func (d *Server) answer(m *platform.Message, came time.Time) (int, string) {
	r := m.Request
	want := map[string]string{PathReady: http.MethodGet, PathVars: http.MethodGet,
		PathDetach: http.MethodPost, PathAttach: http.MethodPost}[r.URL.Path]
	switch {
	case want == "":
		return http.StatusNotFound, "no such call: " + strconv.Quote(clip(r.URL.Path))
	case r.Method != want:
		return http.StatusMethodNotAllowed, "use " + want + " for " + r.URL.Path
	case r.URL.Path == PathReady:
		if d.o.Ready != nil && d.o.Ready() {
			return http.StatusOK, "ready"
		}
		return http.StatusServiceUnavailable, "not ready"
	case r.URL.Path == PathVars:
		f := Stats{}
		if d.o.Stats != nil {
			f = d.o.Stats()
		}
		return http.StatusOK, string(f.AppendStatsd(nil))
	}
	id := string(bytes.TrimSpace(m.Body))
	switch {
	case d.o.Overrides == nil:
		return http.StatusNotImplemented, "no workers are taken out by hand here"
	case id == "":
		return http.StatusBadRequest, "the body names no worker"
	case len(id) > maxID || !printable(id):
		return http.StatusBadRequest, "the body is no worker's id"
	}
	var gen uint64
	var err error
	if r.URL.Path == PathDetach {
		gen, err = d.o.Overrides.Detach(d.o.Now(), id)
	} else {
		gen, err = d.o.Overrides.Attach(id)
	}
	switch {
	case errors.Is(err, override.ErrUnknownWorker):
		return http.StatusNotFound, "no worker " + strconv.Quote(id) + " was ever listed"
	case errors.Is(err, override.ErrTooManyDetached):
		return http.StatusConflict, err.Error()
	case err != nil:
		return http.StatusInternalServerError, err.Error()
	}
	obeyed := d.obeyed(gen, came.Add(answerWithin))
	word := "worker detached"
	if r.URL.Path == PathAttach {
		word = "worker attached"
	}
	d.o.Log.Info(word, "id", id, "generation", gen, "obeyed", obeyed)
	if !obeyed {
		return http.StatusServiceUnavailable, "taken, but not yet obeyed; it binds within a second"
	}
	if r.URL.Path == PathDetach {
		return http.StatusOK, "detached " + id
	}
	return http.StatusOK, "attached " + id
}

// obeyed waits until every core obeys the generation of the bans, or the instant given.
func (d *Server) obeyed(gen uint64, by time.Time) bool {
	if d.o.OverridesApplied == nil {
		return true
	}
	for d.o.OverridesApplied() < gen {
		if time.Now().After(by) {
			return false
		}
		time.Sleep(lookEvery)
	}
	return true
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < 0x21 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

func clip(s string) string {
	if len(s) > 64 {
		return s[:64] + "..."
	}
	return s
}

func (d *Server) write(c *call, status int, text string) {
	body := text
	if !strings.HasSuffix(body, "\n") {
		body += "\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body))
	_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
	_, _ = c.Write(append([]byte(head), body...))
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
