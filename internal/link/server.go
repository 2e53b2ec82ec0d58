package link

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// New connections keep arriving for a while after SIGTERM, and clients go on using the
	// ones they have; what they bring in this time is served.
	acceptPast = time.Second
	// At the limit a connection that has been idle for this long gives way to a new one.
	idleEnough = time.Second
	lookAgain  = 50 * time.Millisecond
)

// Server accepts connections, holds a bounded number of them, and drains.
type Server struct {
	Log    *slog.Logger
	Most   int         // connections at once
	Handle func(*Peer) // serves one until its end

	draining atomic.Bool
	mu       sync.Mutex
	peers    map[*Peer]bool
	changed  chan struct{} // one has ended
}

// Peer is one accepted connection.
type Peer struct {
	net.Conn
	server *Server
	busy   int // messages in work
	keep   bool
	since  time.Time // idle since
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

// Serve accepts until the listener is closed. At the limit it waits: the listen queue
// holds what comes, rather than the process dying of it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.peers, s.changed = map[*Peer]bool{}, make(chan struct{}, 1)
	s.mu.Unlock()
	for {
		s.room()
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // out of descriptors, most likely: some will be closed
			s.Log.Error("cannot accept", "err", err)
			time.Sleep(lookAgain)
			continue
		}
		p := &Peer{Conn: c, server: s, since: time.Now()}
		s.mu.Lock()
		s.peers[p] = true
		s.mu.Unlock()
		go func() {
			defer s.ended(p)
			s.Handle(p)
		}()
	}
}

func (s *Server) ended(p *Peer) {
	_ = p.Close()
	s.mu.Lock()
	delete(s.peers, p)
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// room waits until one more connection may be held.
func (s *Server) room() {
	for {
		s.mu.Lock()
		full := len(s.peers) >= s.Most
		var oldest *Peer
		for p := range s.peers {
			if full && p.busy == 0 && !p.keep && (oldest == nil || p.since.Before(oldest.since)) {
				oldest = p
			}
		}
		s.mu.Unlock()
		if !full {
			return
		}
		if oldest != nil && time.Since(oldest.since) > idleEnough {
			_ = oldest.Close()
		}
		select {
		case <-s.changed:
		case <-time.After(lookAgain):
		}
	}
}

// Drain goes on serving what comes for a while, then closes idle connections, and returns
// when nothing is in work and open tells of nothing that is owed an answer.
func (s *Server) Drain(ctx context.Context, open func() int) {
	s.draining.Store(true)
	s.Log.Info("draining", "open", open())
	tick := time.NewTicker(lookAgain)
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
		if s.closeIdle(false) == 0 && open() == 0 {
			s.closeIdle(true)
			s.Log.Info("drained")
			return
		}
	}
}

// closeIdle closes idle connections, the kept ones only if all is set, and returns how many
// are busy.
func (s *Server) closeIdle(all bool) (busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		switch {
		case p.busy > 0:
			busy++
		case all || !p.keep:
			_ = p.Close()
		}
	}
	return busy
}
