package link

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// New connections keep arriving for a while after SIGTERM, and clients go on using the
	// ones they have; what they bring in this time is served.
	acceptPast = time.Second
	// A connection that has not brought one good message in this time is closed: whoever
	// opens connections and says nothing, or half of something, must not hold them.
	proveWithin = 2 * time.Second
	// unreadGrace is what one gets beyond that whose bytes this process has not read yet.
	unreadGrace = 500 * time.Millisecond
	// At the limit connections give way to new ones: those that have proven nothing when
	// they are this old, which is time enough to be read ...
	unprovenEnough = 50 * time.Millisecond
	unprovenShare  = 0.25
	// ... and idle ones.
	idleEnough = time.Second
	lookAgain  = 50 * time.Millisecond
	// unreadLooks bounds how many connections are asked at once whether a request waits unread.
	unreadLooks = 8
	// After a last answer the peer may still be sending what was refused. Were the
	// connection closed on that, the reset could overtake the answer; so what comes is
	// dropped for a while.
	lingerWait = 500 * time.Millisecond
	// partialGrace is how long a drain waits for the rest of a message that has begun to come.
	partialGrace = 500 * time.Millisecond
	lingerMost   = 256 << 10
)

// Grace is how a process that is told to end may use its last time.
type Grace struct {
	Free   time.Duration // what comes until then keeps its own time
	Stay   time.Duration // clients are kept until then
	Within time.Duration // what comes after Free is answered by then
}

// Server accepts connections, holds a bounded number of them, and drains.
type Server struct {
	Log    *slog.Logger
	Most   int         // connections at once
	Handle func(*Peer) // serves one until its end

	draining atomic.Bool // told to end
	leaving  atomic.Bool // connections end after their next answer
	mu       sync.Mutex
	peers    map[*Peer]bool
	changed  chan struct{} // one has ended
	listener net.Listener
	served   chan struct{} // nothing is accepted any more
}

// Peer is one accepted connection.
type Peer struct {
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

// Prove tells that the peer has sent a good message. It may be idle for long from then on.
func (p *Peer) Prove() {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.proven = true
	p.prove.Stop()
}

// Read takes what has come. Until the next Read it counts as a message on its way: between here and
// the message's handler neither the system nor a count would tell a drain of it, and the connection
// of a request that was taken would be closed.
func (p *Peer) Read(buf []byte) (n int, err error) {
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

// NotePartial takes word on whether part of a message has come.
func (p *Peer) NotePartial(partial bool) {
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

// Waiting tells whether, beside the message in work, the peer has sent more that is owed an answer:
// a message that waits its turn, part of one that came lately, or bytes that nobody has read yet.
func (p *Peer) Waiting() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.busy > 1 || p.arriving(time.Now())
}

// arriving tells whether a message is on its way in: a close now could end a request whose last
// byte has been written. Server.mu is held.
func (p *Peer) arriving(now time.Time) bool {
	recent := !p.partial.IsZero() && now.Sub(p.partial) < partialGrace
	return p.taken || recent || pending(p.Conn)
}

// Linger waits after the last answer until the peer has had time to read it. ended tells
// that no one else reads from the connection any more.
func (p *Peer) Linger(ended <-chan struct{}) {
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

// Busy counts what is in work on the connection: 1 when something begins, -1 when it ends.
func (p *Peer) Busy(n int) {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.busy += n
	p.since = time.Now()
}

// Keep spares the connection from being closed while the server drains: a region's
// call-backs are wanted until the last answer.
func (p *Peer) Keep() {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.keep = true
}

// Draining tells whether the server has been told to end.
func (s *Server) Draining() bool { return s.draining.Load() }

// Leaving tells whether connections are to end after their next answer.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Serve accepts until the listener is closed. At the limit it waits with one more in hand: the
// listen queue holds what comes, rather than the process dying of it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.peers, s.changed = map[*Peer]bool{}, make(chan struct{}, 1)
	s.listener, s.served = l, make(chan struct{})
	s.mu.Unlock()
	defer close(s.served)
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // shut: all that had come is accepted
			_ = l.Close()
			return nil
		case err != nil: // out of descriptors, most likely: some will be closed
			s.Log.Error("cannot accept", "err", err)
			time.Sleep(lookAgain)
			continue
		}
		s.room()
		now := time.Now()
		p := &Peer{Conn: c, server: s, since: now, accepted: now}
		s.mu.Lock()
		p.prove = time.AfterFunc(proveWithin, p.expire)
		s.peers[p] = true
		s.mu.Unlock()
		go func() {
			defer s.ended(p)
			s.Handle(p)
		}()
	}
}

// expire closes a connection that has not proven itself in time. Bytes that nobody has read yet may
// be its request, in a process that has had no time for it: they are given some more.
func (p *Peer) expire() {
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

func (s *Server) ended(p *Peer) {
	_ = p.Close()
	s.mu.Lock()
	p.prove.Stop()
	delete(s.peers, p)
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// room waits until one more connection may be held. It is asked once that one is there, so
// that none is closed for nothing.
func (s *Server) room() {
	for {
		s.mu.Lock()
		full := len(s.peers) >= s.Most
		var least *Peer
		if full { // only then: it looks at every connection
			if least = s.least(time.Now()); least != nil {
				least.closing = true
			}
		}
		s.mu.Unlock()
		if least != nil {
			_ = least.Close()
		}
		if !full {
			return
		}
		select {
		case <-s.changed:
		case <-time.After(lookAgain):
		}
	}
}

// least is the connection that gives way next, or nil while none may be closed. Whether a
// request waits unread on a connection takes a system call, so only the connections that would
// be closed are asked, and only unreadLooks of them: asking every connection for each one that
// came cost a millisecond of processor time at 300 connections, and a process that idle clients
// had filled stood still for seconds.
func (s *Server) least(now time.Time) *Peer {
	flooded := s.flooded()
	var unread [unreadLooks]*Peer
	for i := range unread {
		least := s.leastBut(unread[:i], flooded, now)
		if least == nil || least.rank() == rankLeaving || !pending(least.Conn) {
			return least
		}
		unread[i] = least
	}
	return nil
}

// flooded tells whether connections that have proven nothing hold unprovenShare of the places or
// more. Beyond that the oldest of them is waited for, so that a flood of them pushes no idle
// client out. Below it they are not, since each may be a client or a call-back on its way.
func (s *Server) flooded() bool {
	unproven := 0
	for p := range s.peers {
		if p.rank() == rankUnproven {
			unproven++
		}
	}
	return unproven > 0 && unproven >= int(unprovenShare*float64(s.Most))
}

// leastBut is the first connection in the order of giving way that may be closed by now and is
// none of those excepted, or nil.
func (s *Server) leastBut(excepted []*Peer, flooded bool, now time.Time) (least *Peer) {
	for p := range s.peers {
		if flooded && p.rank() > rankUnproven || least != nil && !p.before(least) {
			continue
		}
		if p.yields(now) && !slices.Contains(excepted, p) {
			least = p
		}
	}
	return least
}

// The order in which connections give way: those that only wait for their end, those that
// have proven nothing, idle ones, those of call-backs, and never one that is in use.
const (
	rankLeaving = iota
	rankUnproven
	rankIdle
	rankKept
	rankBusy
)

func (p *Peer) rank() int {
	switch {
	case p.leaving:
		return rankLeaving
	case p.busy > 0 || p.taken:
		return rankBusy
	case !p.proven:
		return rankUnproven
	case !p.keep:
		return rankIdle
	}
	return rankKept
}

// before tells whether p is to give way before o.
func (p *Peer) before(o *Peer) bool {
	if a, b := p.rank(), o.rank(); a != b {
		return a < b
	}
	return p.since.Before(o.since)
}

// yields tells whether the connection has been in its state for long enough to be closed for a
// new one.
func (p *Peer) yields(now time.Time) bool {
	switch idle := now.Sub(p.since); p.rank() {
	case rankLeaving:
		return true
	case rankUnproven:
		return idle >= unprovenEnough
	case rankIdle, rankKept:
		return idle >= idleEnough
	}
	return false
}

// Drain goes on serving what comes for a while, then closes idle connections, and returns
// when nothing is in work and open tells of nothing that is owed an answer. Clients that stay
// are kept for as long as stay: while other dispatchers restart too, a client whose connection
// is closed may find none to go to.
func (s *Server) Drain(ctx context.Context, open func() int, stay time.Duration) {
	s.draining.Store(true)
	s.Log.Info("draining", "open", open())
	tick := time.NewTicker(lookAgain)
	defer tick.Stop()
	shut := false
	for began := time.Now(); ; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if past := time.Since(began); past < acceptPast || past < stay && s.clients() {
			continue
		}
		s.leaving.Store(true)
		if s.closeIdle(false) > 0 || open() > 0 {
			continue
		}
		// With the listener open until the process ended, a request that came in its last moments
		// was taken and never answered; so no more is accepted, and what was is served first.
		if !shut {
			s.shut()
			shut = true
			continue
		}
		s.closeIdle(true)
		s.Log.Info("drained")
		return
	}
}

// lastCall is how long the listener goes on once nothing more is to be accepted: what waits there
// would be reset with it.
const lastCall = 5 * time.Millisecond

// shut accepts what has come to the listener, and then closes it.
func (s *Server) shut() {
	s.mu.Lock()
	l, served := s.listener, s.served
	s.mu.Unlock()
	if l == nil {
		return
	}
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(lastCall)) != nil {
		_ = l.Close()
	}
	select {
	case <-served:
	case <-time.After(lookAgain): // at its limit of connections: what it has in hand is let go
		_ = l.Close()
	}
}

// clients tells whether connections of clients are open.
func (s *Server) clients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		if p.proven && !p.keep && !p.leaving {
			return true
		}
	}
	return false
}

// closeIdle closes idle connections, the kept ones only if all is set, and returns how many
// are busy.
func (s *Server) closeIdle(all bool) (busy int) {
	s.mu.Lock()
	var idle []*Peer
	defer func() {
		s.mu.Unlock()
		// A close waits for a read under way, and that may wait for the lock.
		for _, p := range idle {
			_ = p.Close()
		}
	}()
	now := time.Now()
	for p := range s.peers {
		switch {
		case p.busy > 0:
			busy++
		case !p.proven && !p.leaving && now.Sub(p.since) < unprovenEnough: // it was opened to bring something
			busy++
		case p.arriving(now):
			busy++
		case all || !p.keep:
			p.closing = true
			idle = append(idle, p)
		}
	}
	return busy
}
