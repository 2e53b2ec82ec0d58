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
	// acceptGrace is how long a draining server serves new connections and requests as before:
	// they keep arriving for a while after SIGTERM.
	acceptGrace = time.Second
	// validationTimeout is the time in which a connection must deliver its first valid message. A
	// client that sends nothing, or only part of a message, must not hold a connection.
	validationTimeout = 2 * time.Second
	// unreadGrace extends validationTimeout for a connection with bytes that this process has not
	// read yet.
	unreadGrace = 500 * time.Millisecond
	// unvalidatedMinAge is the age at which an unvalidated connection may be evicted for a new one. It
	// leaves enough time for the first message to be read.
	unvalidatedMinAge = 50 * time.Millisecond
	// floodShare is the fraction of the connection limit from which unvalidated connections count
	// as a flood.
	floodShare = 0.25
	// idleMinAge is the idle time after which a connection may be evicted for a new one.
	idleMinAge = time.Second
	// recheckInterval is the interval at which waiting loops check their condition again.
	recheckInterval = 50 * time.Millisecond
	// maxUnreadChecks limits how many connections one eviction checks for unread bytes.
	maxUnreadChecks = 8
	// lingerTimeout is how long input is discarded after the last response. The peer may still be
	// sending the request that was refused; if the connection were closed then, the reset could
	// reach the peer before the response.
	lingerTimeout = 500 * time.Millisecond
	// partialGrace is how long a drain waits for the rest of a message that has begun to arrive.
	partialGrace = 500 * time.Millisecond
	// lingerMaxBytes limits how much input is discarded after the last response.
	lingerMaxBytes = 256 << 10
)

// Server accepts a limited number of connections and drains them on shutdown.
type Server struct {
	Log      *slog.Logger
	MaxConns int               // limit of open connections
	Handle   func(*ServerConn) // serves one connection until it ends
	// InputLimit is shared by the servers of a process; nil for no limit. MaxInputBytes is what one incomplete message
	// may take of it.
	InputLimit    *InputLimit
	MaxInputBytes int64

	draining     atomic.Bool // a drain has begun
	closingConns atomic.Bool // connections close after their next response
	mu           sync.Mutex
	conns        map[*ServerConn]bool
	connEnded    chan struct{} // signalled when a connection has ended
	listener     net.Listener
	acceptDone   chan struct{} // closed when Serve returns
}

// Draining reports whether a drain has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

// ClosingConns reports whether connections are to be closed after their next response.
func (s *Server) ClosingConns() bool { return s.closingConns.Load() }

// Serve accepts connections until the listener is closed. At the limit it holds one more accepted
// connection and stops accepting: further connections wait in the listen queue and do not exhaust
// the process.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.conns, s.connEnded = map[*ServerConn]bool{}, make(chan struct{}, 1)
	s.listener, s.acceptDone = l, make(chan struct{})
	s.mu.Unlock()
	defer close(s.acceptDone)
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // set by closeListener, which lets queued connections be accepted first
			_ = l.Close()
			return nil
		case err != nil: // most likely out of file descriptors, of which some will be closed
			s.Log.Error("cannot accept a connection; trying again", "err", err)
			time.Sleep(recheckInterval)
			continue
		}
		s.makeRoom()
		now := time.Now()
		c := &ServerConn{Conn: conn, server: s, idleSince: now, acceptedAt: now, pacing: pacing{checkedAt: now}}
		s.mu.Lock()
		c.validationTimer = time.AfterFunc(validationTimeout, c.expire)
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			defer s.removeConn(c)
			s.Handle(c)
		}()
	}
}

// removeConn closes and removes a connection whose handler has returned.
func (s *Server) removeConn(c *ServerConn) {
	_ = c.Close()
	s.mu.Lock()
	c.validationTimer.Stop()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.connEnded <- struct{}{}:
	default:
	}
}
