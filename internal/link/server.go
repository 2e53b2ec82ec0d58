package link

import (
	"errors"
	"log/slog"
	"net"
	"os"
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

// Server accepts connections, holds a bounded number of them, and drains.
type Server struct {
	Log      *slog.Logger
	MaxConns int               // connections at once
	Handle   func(*ServerConn) // serves one until its end

	draining atomic.Bool // told to end
	leaving  atomic.Bool // connections end after their next answer
	mu       sync.Mutex
	peers    map[*ServerConn]bool
	changed  chan struct{} // one has ended
	listener net.Listener
	served   chan struct{} // nothing is accepted any more
}

// Draining tells whether the server has been told to end.
func (s *Server) Draining() bool { return s.draining.Load() }

// ClosingConns tells whether connections are to end after their next answer.
func (s *Server) ClosingConns() bool { return s.leaving.Load() }

// Serve accepts until the listener is closed. At the limit it waits with one more in hand: the
// listen queue holds what comes, rather than the process dying of it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.peers, s.changed = map[*ServerConn]bool{}, make(chan struct{}, 1)
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
		s.makeRoom()
		now := time.Now()
		p := &ServerConn{Conn: c, server: s, since: now, accepted: now}
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

func (s *Server) ended(p *ServerConn) {
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
