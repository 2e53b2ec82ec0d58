// Package ops implements the admin server: an HTTP/1.1 server at a separate address, with one
// request per connection, where operators check readiness, read statistics, and detach and attach
// workers. It never waits long for a dispatcher core: every request is answered within a second
// under any load, even while other callers hold idle connections open.
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
	// requestTimeout is the time from accepting a connection until its request has been read. It
	// frees the connections of callers that send nothing or only part of a request.
	requestTimeout = 2 * time.Second
	// applyTimeout is how long a detach or attach request waits for the cores to apply it. If they
	// have not by then, the response is 503, but the change still takes effect.
	applyTimeout = 700 * time.Millisecond
	writeTimeout = time.Second
	// DefaultMaxConns is the default limit of open connections. A burst of new callers may open
	// twice as many. At the limit the oldest connection without a complete request is closed for a
	// new one, so that idle connections cannot lock operators out.
	DefaultMaxConns = 16
	// evictionGrace is how long a new connection has to send its request before it may be closed
	// for another.
	evictionGrace = 100 * time.Millisecond
	// maxIDBytes limits the worker id in a request's body.
	maxIDBytes = override.MaxNameBytes
	// applyPollInterval is how often a detach or attach request checks whether the cores have applied it.
	applyPollInterval = 2 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, most likely for lack of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Paths of the endpoints.
const (
	PathReady  = "/_ready"
	PathVars   = "/_vars"
	PathDetach = "/_workers/detach"
	PathAttach = "/_workers/attach"
)

// Options configure a Server. The server calls the functions on its own goroutines; they must not
// block for long.
type Options struct {
	Log              *slog.Logger     // discards if nil
	MaxConns         int              // limit of open connections; default if 0
	Ready            func() bool      // whether the process accepts client requests; never if nil
	Stats            func() Stats     // current statistics; none if nil
	Overrides        *override.Set    // detached workers; nil disables detach and attach
	OverridesApplied func() uint64    // lowest generation of the set applied by any core; nil skips the check
	Now              func() time.Time // time.Now if nil
}

// Server is the admin server. Use New to create one.
type Server struct {
	options    Options
	limitedLog *limitedlog.Logger
	mu         sync.Mutex
	conns      map[*conn]bool
	closed     bool
	listener   net.Listener
	wg         sync.WaitGroup
}

// conn is a connection, which carries one request.
type conn struct {
	net.Conn
	acceptedAt  time.Time
	requestRead bool // whether the request is complete; from then on it is not closed for another connection
}

// New returns a Server that accepts no connections until Serve is called.
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
	return &Server{options: o, limitedLog: limitedlog.New(o.Log, nil), conns: map[*conn]bool{}}
}

// Serve accepts connections until the listener is closed or Close is called.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return listener.Close()
	}
	s.listener = listener
	s.mu.Unlock()
	for {
		c, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.limitedLog.Report("admin server cannot accept a connection", nil, "accept", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		newConn := &conn{Conn: c, acceptedAt: time.Now()}
		if !s.register(newConn) {
			_ = c.Close()
			return nil
		}
		s.wg.Go(func() {
			defer s.unregister(newConn)
			s.handle(newConn)
		})
	}
}

// register adds a connection to conns. It returns false if the server is closed. At the limit it
// closes the oldest connection without a complete request, but only if that has had evictionGrace to
// send one, so that many callers can connect at the same moment. At twice the limit it closes the
// oldest one regardless of its age.
func (s *Server) register(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.options.MaxConns {
		var oldest *conn
		for other := range s.conns {
			if !other.requestRead && (oldest == nil || other.acceptedAt.Before(oldest.acceptedAt)) {
				oldest = other
			}
		}
		if oldest != nil && (c.acceptedAt.Sub(oldest.acceptedAt) >= evictionGrace || len(s.conns) >= 2*s.options.MaxConns) {
			_ = oldest.Close() // makes its goroutine's read fail and return
			delete(s.conns, oldest)
		}
	}
	s.conns[c] = true
	return true
}

// unregister closes a connection and removes it from conns.
func (s *Server) unregister(c *conn) {
	_ = c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Close stops accepting, closes all connections and waits for their goroutines to return.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	l := s.listener
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	s.wg.Wait()
	return err
}

// handle reads the request of a connection and answers it.
func (s *Server) handle(c *conn) {
	_ = c.SetReadDeadline(c.acceptedAt.Add(requestTimeout)) // for the whole request, not for each read
	msg, err := readRequest(c.Conn)
	if msg == nil {
		var netErr net.Error
		switch {
		case errors.As(err, &netErr) && netErr.Timeout():
			s.limitedLog.Report("admin request timed out before it was complete", c.RemoteAddr(), "slow")
			s.writeResponse(c, http.StatusRequestTimeout, "the call did not come whole within "+requestTimeout.String())
		case isMalformed(err):
			s.limitedLog.Report("malformed admin request", c.RemoteAddr(), "malformed", "err", err)
			s.writeResponse(c, http.StatusBadRequest, "malformed: "+err.Error())
		}
		return // without a response if the caller disconnected or its connection was closed for another one
	}
	s.mu.Lock()
	c.requestRead = true
	s.mu.Unlock()
	status, text := s.respond(msg, time.Now())
	if status >= 400 {
		s.limitedLog.Report("admin request rejected", c.RemoteAddr(), strconv.Itoa(status), "path", msg.Request.URL.Path)
	}
	s.writeResponse(c, status, text)
}

// readRequest reads the request of a connection. Errors in the caller's bytes are of type
// malformedError; all others are connection errors.
func readRequest(c net.Conn) (*platform.Message, error) {
	framer := platform.NewRequestFramer()
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		framer.Feed(buf[:n])
		msg, framerErr := framer.Next()
		if framerErr != nil {
			return nil, malformedError{framerErr}
		}
		if msg != nil {
			return msg, nil
		}
		if err != nil {
			if msg, framerErr := framer.End(); msg != nil && framerErr == nil {
				return msg, nil
			}
			return nil, err
		}
	}
}

// malformedError is an error in the bytes that a caller sent.
type malformedError struct{ error }

func isMalformed(err error) bool { return errors.As(err, new(malformedError)) }

// respond handles a request that was complete at readAt, and returns the status and body of the
// response.
func (s *Server) respond(msg *platform.Message, readAt time.Time) (int, string) {
	req := msg.Request
	wantMethod := map[string]string{PathReady: http.MethodGet, PathVars: http.MethodGet,
		PathDetach: http.MethodPost, PathAttach: http.MethodPost}[req.URL.Path]
	switch {
	case wantMethod == "":
		return http.StatusNotFound, "no such call: " + strconv.Quote(truncate(req.URL.Path))
	case req.Method != wantMethod:
		return http.StatusMethodNotAllowed, "use " + wantMethod + " for " + req.URL.Path
	case req.URL.Path == PathReady:
		if s.options.Ready != nil && s.options.Ready() {
			return http.StatusOK, "ready"
		}
		return http.StatusServiceUnavailable, "not ready"
	case req.URL.Path == PathVars:
		stats := Stats{}
		if s.options.Stats != nil {
			stats = s.options.Stats()
		}
		return http.StatusOK, string(stats.AppendStatsd(nil))
	}
	id := string(bytes.TrimSpace(msg.Body))
	switch {
	case s.options.Overrides == nil:
		return http.StatusNotImplemented, "no workers are taken out by hand here"
	case id == "":
		return http.StatusBadRequest, "the body names no worker"
	case len(id) > maxIDBytes || !isVisibleASCII(id):
		return http.StatusBadRequest, "the body is no worker's id"
	}
	var gen uint64
	var err error
	if req.URL.Path == PathDetach {
		gen, err = s.options.Overrides.Detach(s.options.Now(), id)
	} else {
		gen, err = s.options.Overrides.Attach(id)
	}
	switch {
	case errors.Is(err, override.ErrUnknownWorker):
		return http.StatusNotFound, "no worker " + strconv.Quote(id) + " was ever listed"
	case errors.Is(err, override.ErrTooManyDetached):
		return http.StatusConflict, err.Error()
	case err != nil:
		return http.StatusInternalServerError, err.Error()
	}
	applied := s.waitApplied(gen, readAt.Add(applyTimeout))
	message := "worker detached"
	if req.URL.Path == PathAttach {
		message = "worker attached"
	}
	s.options.Log.Info(message, "id", id, "generation", gen, "obeyed", applied)
	if !applied {
		return http.StatusServiceUnavailable, "taken, but not yet obeyed; it binds within a second"
	}
	if req.URL.Path == PathDetach {
		return http.StatusOK, "detached " + id
	}
	return http.StatusOK, "attached " + id
}

// waitApplied waits until every core has applied the given generation of the detached workers, and
// reports whether that happened before the deadline.
func (s *Server) waitApplied(gen uint64, deadline time.Time) bool {
	if s.options.OverridesApplied == nil {
		return true
	}
	for s.options.OverridesApplied() < gen {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(applyPollInterval)
	}
	return true
}

// isVisibleASCII reports whether s consists of visible ASCII characters without spaces.
func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] < 0x21 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// truncate shortens s to at most 64 bytes followed by an ellipsis.
func truncate(s string) string {
	if len(s) > 64 {
		return s[:64] + "..."
	}
	return s
}

func (s *Server) writeResponse(c *conn, status int, text string) {
	body := text
	if !strings.HasSuffix(body, "\n") {
		body += "\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body))
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.Write(append([]byte(head), body...))
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}
