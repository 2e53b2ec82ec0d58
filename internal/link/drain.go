package link

import (
	"context"
	"time"
)

// DrainSchedule sets how long a process that shuts down continues to serve. All times count from the
// start of the drain.
type DrainSchedule struct {
	FullDeadlineFor time.Duration // requests that arrive until then keep their own deadline
	KeepClientsFor  time.Duration // client connections are kept open until then
	AnswerWithin    time.Duration // requests that arrive after FullDeadlineFor are answered by then
}

// Drain keeps serving new connections and requests for a grace period, then closes idle
// connections. It returns when no connection has a request in flight and openRequests reports
// no unanswered request. Clients that stay connected are kept for up to keepClientsFor: while other
// dispatchers restart too, a client whose connection is closed may find no dispatcher to connect to.
func (s *Server) Drain(ctx context.Context, openRequests func() int, keepClientsFor time.Duration) {
	s.draining.Store(true)
	s.Log.Info("draining", "open", openRequests())
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	listenerClosed := false
	for start := time.Now(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if elapsed := time.Since(start); elapsed < acceptGrace || elapsed < keepClientsFor && s.hasClients() {
			continue
		}
		s.closingConns.Store(true)
		if s.closeIdle(false) > 0 || openRequests() > 0 {
			continue
		}
		// If the listener stayed open until the process exits, a request that arrives in the last
		// moments would be accepted and never answered. So the listener is closed first, and the
		// connections accepted until then are served before the others are closed.
		if !listenerClosed {
			s.closeListener()
			listenerClosed = true
			continue
		}
		s.closeIdle(true)
		s.Log.Info("drained")
		return
	}
}

// finalAcceptWait is how long the listener still accepts before it is closed. Closing it resets the
// connections that wait in its accept queue.
const finalAcceptWait = 5 * time.Millisecond

// closeListener accepts the connections that wait in the listener's queue, and then closes the listener.
func (s *Server) closeListener() {
	s.mu.Lock()
	listener, acceptDone := s.listener, s.acceptDone
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if d, ok := listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(finalAcceptWait)) != nil {
		_ = listener.Close()
	}
	select {
	case <-acceptDone:
	case <-time.After(recheckInterval): // Serve is blocked in makeRoom
		_ = listener.Close()
	}
}

// hasClients reports whether any client connection is open.
func (s *Server) hasClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.validated && !c.keepDuringDrain && !c.lingering {
			return true
		}
	}
	return false
}

// closeIdle closes idle connections and returns the number of busy ones. Connections that are kept
// during a drain are closed only if all is set.
func (s *Server) closeIdle(all bool) (busy int) {
	s.mu.Lock()
	var idle []*ServerConn
	defer func() {
		s.mu.Unlock()
		// Close waits for a read in progress, and the read may wait for s.mu.
		for _, c := range idle {
			_ = c.Close()
		}
	}()
	now := time.Now()
	for c := range s.conns {
		switch {
		case c.inFlight > 0:
			busy++
		case !c.validated && !c.lingering && now.Sub(c.idleSince) < unvalidatedMinAge:
			busy++ // its first request may be in transit
		case c.receiving(now) && !c.endless(now):
			busy++
		case all || !c.keepDuringDrain:
			c.closing = true
			idle = append(idle, c)
		}
	}
	return busy
}
