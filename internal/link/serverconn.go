package link

import (
	"io"
	"net"
	"time"
)

// ServerConn is a connection that the server has accepted.
type ServerConn struct {
	net.Conn
	server          *Server
	validationTimer *time.Timer // closes the connection unless it is validated in time
	pacing          pacing
	reservedInput   int64 // what the connection has of Server.InputLimit; used by the reading goroutine only

	// The fields below are guarded by Server.mu.

	inFlight        int       // requests in flight
	unframed        bool      // bytes have been read that the framer has not been fed yet
	partialSince    time.Time // since when the framer has held part of a message; zero if it holds none
	closing         bool      // chosen to be closed: nothing more is read
	endlessSince    time.Time // since when it has been paced, as its input does not end; zero if it is not
	validated       bool      // a valid message has been received
	lingering       bool      // the last response has been written
	keepDuringDrain bool      // not closed as idle while the server drains
	idleSince       time.Time // when it last became idle
	acceptedAt      time.Time
}

// MarkValidated records that the peer has sent a valid message. From then on the connection may stay
// idle.
func (c *ServerConn) MarkValidated() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.validated = true
	c.validationTimer.Stop()
}

// Read reads from the connection. The bytes count as an incoming message until the next Read or
// ObservePartial: before the message reaches its handler they are neither in the kernel's buffer nor
// counted as in flight, and a drain would close the connection of a request that has been received.
func (c *ServerConn) Read(buf []byte) (n int, err error) {
	c.server.mu.Lock()
	c.unframed = false
	c.server.mu.Unlock()
	tries := 0 // of the read, with a wait for input between them
	allowed := func() bool {
		tries++
		return !c.closing
	}
	n, err, ok := readLocked(c.Conn, buf, &c.server.mu, allowed, func() { c.unframed = true })
	if !ok {
		n, err = c.Conn.Read(buf)
		c.server.mu.Lock()
		c.unframed = n > 0
		c.server.mu.Unlock()
	}
	if !ok || tries > 1 {
		c.resetPace()
	}
	return n, err
}

// ObservePartial records whether the bytes read so far end in the middle of a message.
func (c *ServerConn) ObservePartial(partial bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.unframed = false
	switch {
	case !partial:
		c.partialSince = time.Time{}
	case c.partialSince.IsZero():
		c.partialSince = time.Now()
		c.idleSince = c.partialSince // not idle from now on
	}
}

// HasPendingInput reports whether the peer has sent more than the request being handled: a queued
// message, a recent part of one, or bytes that have not been read yet. All of them need a response.
func (c *ServerConn) HasPendingInput() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.inFlight > 1 || c.receiving(time.Now())
}

// receiving reports whether a message is being received. Closing the connection now could cut off a
// request that the client has sent in full. Server.mu is held.
func (c *ServerConn) receiving(now time.Time) bool {
	recent := !c.partialSince.IsZero() && now.Sub(c.partialSince) < partialGrace
	return c.unframed || recent || hasUnreadBytes(c.Conn)
}

// Linger shuts the connection for writing after the last response and discards input until the peer
// has had time to read that response. It reads only after readerDone is closed, which means that the
// connection has no other reader.
func (c *ServerConn) Linger(readerDone <-chan struct{}) {
	writeCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil {
		return
	}
	c.server.mu.Lock()
	c.lingering = true
	c.server.mu.Unlock()
	timer := time.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-readerDone:
	case <-timer.C:
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerMaxBytes)
}

// AddInFlight changes the number of requests in flight on the connection by n.
func (c *ServerConn) AddInFlight(n int) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.inFlight += n
	c.idleSince = time.Now()
}

// KeepDuringDrain excludes the connection from being closed as idle while the server drains: a
// worker's call-backs are needed until the last request has been answered.
func (c *ServerConn) KeepDuringDrain() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.keepDuringDrain = true
}

// expire closes a connection that has not sent a valid message in time. Unread bytes may be its
// request, in a process that is short of CPU time, so they extend the time by unreadGrace.
func (c *ServerConn) expire() {
	c.server.mu.Lock()
	expired := time.Since(c.acceptedAt) >= validationTimeout+unreadGrace
	switch {
	case c.validated || c.closing:
	case !expired && (c.inFlight > 0 || c.unframed || hasUnreadBytes(c.Conn)):
		c.validationTimer.Reset(recheckInterval)
	default:
		c.closing = true
		defer c.Close()
	}
	c.server.mu.Unlock()
}
