package link

import (
	"io"
	"net"
	"time"
)

// ServerConn is one accepted connection.
type ServerConn struct {
	net.Conn
	server *Server
	prove  *time.Timer // ends it unless it proves itself

	busy     int       // messages in work; this and the rest are guarded by Server.mu
	taken    bool      // bytes have been read that the framer has not been fed yet
	partial  time.Time // since when the framer has held part of a message, zero while it holds none
	closing  bool      // found idle, and about to be closed: nothing more is read
	proven   bool
	leaving  bool // its last answer is given
	keep     bool
	since    time.Time // idle since
	accepted time.Time
}

// MarkValidated tells that the peer has sent a good message. It may be idle for long from then on.
func (p *ServerConn) MarkValidated() {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.proven = true
	p.prove.Stop()
}

// Read takes what has come. Until the next Read it counts as a message on its way: between here and
// the message's handler neither the system nor a count would tell a drain of it, and the connection
// of a request that was taken would be closed.
func (p *ServerConn) Read(buf []byte) (n int, err error) {
	p.server.mu.Lock()
	p.taken = false
	p.server.mu.Unlock()
	n, err, ok := readUnder(p.Conn, buf, &p.server.mu, func() bool { return !p.closing }, func() { p.taken = true })
	if !ok {
		n, err = p.Conn.Read(buf)
		p.server.mu.Lock()
		p.taken = n > 0
		p.server.mu.Unlock()
	}
	return n, err
}

// ObservePartial takes word on whether part of a message has come.
func (p *ServerConn) ObservePartial(partial bool) {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.taken = false
	switch {
	case !partial:
		p.partial = time.Time{}
	case p.partial.IsZero():
		p.partial = time.Now()
		p.since = p.partial // it is not idle
	}
}

// HasPendingInput tells whether, beside the message in work, the peer has sent more that is owed an answer:
// a message that waits its turn, part of one that came lately, or bytes that nobody has read yet.
func (p *ServerConn) HasPendingInput() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.busy > 1 || p.arriving(time.Now())
}

// arriving tells whether a message is on its way in: a close now could end a request whose last
// byte has been written. Server.mu is held.
func (p *ServerConn) arriving(now time.Time) bool {
	recent := !p.partial.IsZero() && now.Sub(p.partial) < partialGrace
	return p.taken || recent || pending(p.Conn)
}

// Linger waits after the last answer until the peer has had time to read it. ended tells
// that no one else reads from the connection any more.
func (p *ServerConn) Linger(ended <-chan struct{}) {
	half, ok := p.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	p.server.mu.Lock()
	p.leaving = true
	p.server.mu.Unlock()
	wait := time.NewTimer(lingerWait)
	defer wait.Stop()
	select {
	case <-ended:
	case <-wait.C:
		return
	}
	_ = p.SetReadDeadline(time.Now().Add(lingerWait))
	_, _ = io.CopyN(io.Discard, p.Conn, lingerMost)
}

// AddInFlight counts what is in work on the connection: 1 when something begins, -1 when it ends.
func (p *ServerConn) AddInFlight(n int) {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.busy += n
	p.since = time.Now()
}

// KeepDuringDrain spares the connection from being closed while the server drains: a worker's
// call-backs are wanted until the last answer.
func (p *ServerConn) KeepDuringDrain() {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.keep = true
}

// expire closes a connection that has not proven itself in time. Bytes that nobody has read yet may
// be its request, in a process that has had no time for it: they are given some more.
func (p *ServerConn) expire() {
	p.server.mu.Lock()
	late := time.Since(p.accepted) >= proveWithin+unreadGrace
	switch {
	case p.proven || p.closing:
	case !late && (p.busy > 0 || p.taken || pending(p.Conn)):
		p.prove.Reset(lookAgain)
	default:
		p.closing = true
		defer p.Close()
	}
	p.server.mu.Unlock()
}
