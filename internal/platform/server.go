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

// peerCloseCheckInterval is how often a connection that is not being read is checked for a close by
// the client: no attempt may begin more than 0.1 s after that close.
const peerCloseCheckInterval = 40 * time.Millisecond

// largeMessageBytes is the size from which nothing more is read from a connection until the message has been handled, so
// that a client that sends many at once holds the memory of one.
const largeMessageBytes = 8 << 10

// Server serves clients' requests, workers' call-backs and the readiness check on one address.
type Server struct {
	core       *dispatch.Core
	workers    *Workers
	log        *slog.Logger
	names      *config.Names
	ready      atomic.Bool
	connServer link.Server
	limitedLog *limitedlog.Logger
	relay      func(body []byte) bool // passes a call-back for an unknown request to another process
}

// NewServer returns a server that accepts at most maxConns connections at a time.
func NewServer(core *dispatch.Core, workers *Workers, log *slog.Logger, names *config.Names, maxConns int) *Server {
	s := &Server{core: core, workers: workers, log: log, names: names, limitedLog: limitedlog.New(log, nil)}
	s.connServer = link.Server{Log: log, MaxConns: maxConns, Handle: s.handle}
	return s
}

// SetInputLimit limits the memory for incomplete large requests. It must be called before Serve.
func (s *Server) SetInputLimit(limit *link.InputLimit) {
	s.connServer.InputLimit, s.connServer.MaxInputBytes = limit, MaxInputBytes
}

// Serve marks the server as ready, and accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.ready.Store(true)
	return s.connServer.Serve(listener)
}

// SetRelay sets a function that passes on call-backs for requests unknown to this process: during an
// upgrade they may be meant for the other process on the same address. send reports whether the
// call-back was passed on. SetRelay must be called before Serve.
func (s *Server) SetRelay(send func(body []byte) bool) { s.relay = send }

// HandleRelayed handles a call-back that another process has passed on.
func (s *Server) HandleRelayed(body []byte) {
	if _, err := s.handleEvent(body); err != nil && !errors.Is(err, errNotAccepted) {
		s.limitedLog.Report("malformed call-back", nil, "relayed", "err", err)
	}
}

// Ready reports whether the server accepts clients, which it does from Serve until Drain.
func (s *Server) Ready() bool { return s.ready.Load() }

// Drain shuts the server down. It keeps serving clients for as long as schedule allows, then closes each
// connection after its response, and returns when every accepted request has been answered.
func (s *Server) Drain(ctx context.Context, schedule link.DrainSchedule) {
	s.ready.Store(false)
	s.core.Drain(schedule.FullDeadlineFor, schedule.AnswerWithin)
	s.connServer.Drain(ctx, s.core.OpenRequests, schedule.KeepClientsFor)
}

// handle serves one connection until it ends.
func (s *Server) handle(conn *link.ServerConn) {
	client := &clientConn{ServerConn: conn, Server: s, answers: make(chan dispatch.Answer, 1),
		messages: make(chan *Message, 1), largeHandled: make(chan struct{}, 1), readDone: make(chan struct{}), serveDone: make(chan struct{})}
	go client.readMessages()
	client.serve()
	close(client.serveDone)
	if client.lastResponseSent {
		conn.Linger(client.readDone)
	}
}

// clientConn is a connection from a client, or from a worker that sends call-backs.
type clientConn struct {
	*link.ServerConn
	*Server
	answers          chan dispatch.Answer
	messages         chan *Message
	largeHandled     chan struct{} // receives a value when a large message has been handled
	readDone         chan struct{} // closed when the reader has returned
	readErr          error         // why it returned; valid once readDone is closed
	serveDone        chan struct{} // closed when serve has returned
	responseWritten  bool          // whether the latest response was written in full
	lastResponseSent bool          // the latest response closes the connection, and must not be lost to a reset
}

// Answer delivers the final answer to the request in progress.
func (c *clientConn) Answer(a dispatch.Answer) { c.answers <- a }

// readMessages reads messages, also while a request is being served, so that a close by the client is
// seen. Meanwhile a second request waits in the channel, and a third one in enqueue. While a large one is handled nothing
// is read.
func (c *clientConn) readMessages() {
	c.readErr = link.ReadMessages(c.ServerConn, NewRequestFramer(), func(m *Message) bool {
		c.AddInFlight(1) // until the response is written
		if !c.enqueue(m) {
			c.AddInFlight(-1)
			return false
		}
		return m.Size <= largeMessageBytes || c.waitWhileOpen(nil, nil, c.largeHandled)
	})
	close(c.readDone)
}

// enqueue passes a message to serve, and returns false if the connection ends first. While it waits,
// nothing is read, so a close by the client may be hidden behind unread bytes and is polled for.
func (c *clientConn) enqueue(m *Message) bool {
	select {
	case <-c.serveDone: // the last response has been written: discard further messages
		return false
	default:
	}
	select {
	case c.messages <- m:
		return true
	default:
	}
	return c.waitWhileOpen(c.messages, m, nil)
}

// waitWhileOpen waits until m can be sent on messages, or until handled receives a value; either channel may be nil. It
// returns false if the connection ends first.
func (c *clientConn) waitWhileOpen(messages chan<- *Message, m *Message, handled <-chan struct{}) bool {
	ticker := time.NewTicker(peerCloseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case messages <- m:
			return true
		case <-handled:
			return true
		case <-c.serveDone:
			return false
		case <-ticker.C:
			if link.PeerClosed(c.Conn) {
				return false
			}
		}
	}
}

// serve handles one message after another until the connection is to be closed. After a malformed
// message nothing more is read, since the bytes that follow cannot be trusted either.
func (c *clientConn) serve() {
	for {
		var m *Message
		select {
		case m = <-c.messages:
		case <-c.readDone:
			select {
			case m = <-c.messages: // received before the reader returned
			default:
				if isMalformed(c.readErr) {
					c.malformed("malformed message", c.readErr)
				}
				return
			}
		}
		keepOpen := c.handleMessage(m)
		c.AddInFlight(-1)
		if !keepOpen {
			return
		}
		if m.Size > largeMessageBytes {
			c.largeHandled <- struct{}{}
		}
	}
}

// handleMessage handles one message and reports whether the connection stays open.
func (c *clientConn) handleMessage(m *Message) (keepOpen bool) {
	r := m.Request
	switch {
	case r.URL.Path == pathReady: // does not validate the connection: anyone can send this
		if c.ready.Load() {
			return c.writeText(m, http.StatusOK, "ready")
		}
		return c.writeText(m, http.StatusServiceUnavailable, "not ready")
	case r.URL.Path == pathEvents && r.Method == http.MethodPost:
		known, err := c.handleEvent(m.Body)
		if errors.Is(err, errNotAccepted) {
			c.MarkValidated()
			return c.writeResponse(http.StatusServiceUnavailable, []byte(err.Error()+"\n"), 0, m.Close)
		}
		if err != nil {
			return c.malformed("malformed call-back", err)
		}
		if !known && c.relay != nil {
			c.relay(m.Body)
		}
		c.MarkValidated()
		c.KeepDuringDrain()
		return c.writeResponse(http.StatusNoContent, nil, 0, m.Close)
	case r.Method != http.MethodPost:
		return c.malformed("malformed request", &requestError{http.StatusNotFound, "not found"})
	}
	request, err := readRequest(m, c.core.Settings(), c.names)
	if err != nil {
		return c.malformed("malformed request", err)
	}
	c.MarkValidated()
	if link.PeerClosed(c.Conn) { // the client closed the connection after this, maybe pipelined, request
		return false
	}
	request.Client = c
	c.core.Submit(request)
	readDone := c.readDone
	for {
		select {
		case answer := <-c.answers:
			keepOpen := c.writeAnswer(m, answer)
			c.core.AnswerWritten(request, c.responseWritten)
			return keepOpen
		case <-readDone:
			if isMalformed(c.readErr) { // the client is still connected: this response comes first
				readDone = nil
				continue
			}
			c.core.CancelRequest(request)
			return false
		}
	}
}

// isMalformed reports whether a reader stopped because of what the peer sent, and not because the peer
// has closed the connection.
func isMalformed(err error) bool {
	malformed := (*link.MalformedError)(nil)
	return errors.As(err, &malformed)
}

// writeAnswer writes the response to a request. In the last phase of a drain it also closes the
// connection, unless another request has been received on it, which must be answered as well.
func (c *clientConn) writeAnswer(m *Message, answer dispatch.Answer) (keepOpen bool) {
	body := answer.Result
	if answer.Verdict != dispatch.Served {
		body = []byte(answer.Reason + "\n")
	}
	closeConn := m.Close || answer.InvalidRequest || c.connServer.ClosingConns() && !c.HasPendingInput()
	return c.writeResponse(answerStatus(answer), body, answer.RetryAfter, closeConn)
}

// writeText writes a plain text response. During a drain it also closes the connection, unless another
// request has been received on it.
func (c *clientConn) writeText(m *Message, status int, text string) (keepOpen bool) {
	closeConn := m.Close || c.connServer.Draining() && !c.HasPendingInput()
	return c.writeResponse(status, []byte(text+"\n"), 0, closeConn)
}

// malformed logs a faulty message and writes the error as the connection's last response.
func (c *clientConn) malformed(message string, err error) (keepOpen bool) {
	c.limitedLog.Report(message, c.RemoteAddr(), logReason(err), "err", err)
	return c.writeResponse(errorStatus(err), []byte(err.Error()+"\n"), 0, true)
}

// writeResponse writes one response and reports whether the connection stays open.
func (c *clientConn) writeResponse(status int, body []byte, retryAfter time.Duration, closeConn bool) (keepOpen bool) {
	c.lastResponseSent = closeConn
	return c.write(encodeResponse(status, body, retryAfter, closeConn)) && !closeConn
}

// logReason returns the key under which the log limiter groups an error. It is the status, of which
// there are few: an error's text may quote the client, and would make each error a group of its own.
func logReason(err error) string { return strconv.Itoa(errorStatus(err)) }

// write writes an encoded response. A client that does not read it blocks only its own connection.
func (c *clientConn) write(data []byte) bool {
	_, err := link.WriteWithTimeout(c.Conn, data)
	c.responseWritten = err == nil
	return c.responseWritten
}

// handleEvent parses and handles a call-back, and reports whether it names a request of this process.
func (s *Server) handleEvent(body []byte) (known bool, err error) {
	event, err := fastjson.ParseBytes(body)
	if err != nil {
		return false, err
	}
	requestID, worker, state := event.GetStringBytes("id"), event.GetStringBytes("from"), event.GetStringBytes("state")
	if len(requestID) == 0 || len(worker) == 0 || len(state) == 0 {
		return false, errors.New("id, from or state: missing")
	}
	return s.workers.HandleEvent(string(requestID), string(worker), string(state), event.GetFloat64("share"), event.GetStringBytes("result"))
}
