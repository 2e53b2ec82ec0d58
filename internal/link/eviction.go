package link

import (
	"slices"
	"time"
)

// makeRoom evicts connections until the server is below its limit, and blocks until it is. It is
// called after a connection has been accepted, so that no connection is evicted without need.
func (s *Server) makeRoom() {
	for {
		s.mu.Lock()
		full := len(s.conns) >= s.MaxConns
		var candidate *ServerConn
		if full { // evictionCandidate scans every connection, so it is called only at the limit
			if candidate = s.evictionCandidate(time.Now()); candidate != nil {
				candidate.closing = true
			}
		}
		s.mu.Unlock()
		if candidate != nil {
			_ = candidate.Close()
		}
		if !full {
			return
		}
		select {
		case <-s.connEnded:
		case <-time.After(recheckInterval):
		}
	}
}

// evictionCandidate returns the next connection to evict, or nil while none may be closed. Checking a
// connection for unread bytes takes a system call, so only the candidates for eviction are checked,
// and at most maxUnreadChecks of them: checking every connection on each accept took a millisecond of
// CPU time at 300 connections, and a process full of idle clients stalled for seconds.
func (s *Server) evictionCandidate(now time.Time) *ServerConn {
	flooded := s.flooded()
	var checked [maxUnreadChecks]*ServerConn
	for i := range checked {
		candidate := s.firstEvictable(checked[:i], flooded, now)
		if candidate == nil || candidate.rank() == rankLingering || !hasUnreadBytes(candidate.Conn) {
			return candidate
		}
		checked[i] = candidate
	}
	return nil
}

// flooded reports whether unvalidated connections use floodShare of the limit or more. If so,
// only connections that are lingering or unvalidated are evicted, once old enough, so that a flood of
// silent connections does not evict idle clients. Below that share idle connections may be evicted
// at once, since each unvalidated one may be a client or a call-back whose request is in transit.
func (s *Server) flooded() bool {
	unvalidated := 0
	for c := range s.conns {
		if c.rank() == rankUnvalidated {
			unvalidated++
		}
	}
	return unvalidated > 0 && unvalidated >= int(floodShare*float64(s.MaxConns))
}

// firstEvictable returns the first connection in eviction order that is old enough to be evicted and
// not in checked, or nil.
func (s *Server) firstEvictable(checked []*ServerConn, flooded bool, now time.Time) (first *ServerConn) {
	for c := range s.conns {
		if flooded && c.rank() > rankUnvalidated || first != nil && !c.evictedBefore(first) {
			continue
		}
		if c.evictable(now) && !slices.Contains(checked, c) {
			first = c
		}
	}
	return first
}

// The eviction order of connections, from first to last.
const (
	rankLingering   = iota // the last response is sent, and the connection is about to close
	rankUnvalidated        // no valid message received yet
	rankIdle               // an idle client
	rankKept               // an idle connection for call-backs
	rankBusy               // in use: never evicted
)

// rank returns the connection's place in the eviction order.
func (c *ServerConn) rank() int {
	switch {
	case c.lingering:
		return rankLingering
	case c.inFlight > 0 || c.unframed:
		return rankBusy
	case !c.validated:
		return rankUnvalidated
	case !c.keepDuringDrain:
		return rankIdle
	}
	return rankKept
}

// evictedBefore reports whether c is evicted before other.
func (c *ServerConn) evictedBefore(other *ServerConn) bool {
	if a, b := c.rank(), other.rank(); a != b {
		return a < b
	}
	return c.idleSince.Before(other.idleSince)
}

// evictable reports whether the connection has been in its state long enough to be evicted.
func (c *ServerConn) evictable(now time.Time) bool {
	switch age := now.Sub(c.idleSince); c.rank() {
	case rankLingering:
		return true
	case rankUnvalidated:
		return age >= unvalidatedMinAge
	case rankIdle, rankKept:
		return age >= idleMinAge
	}
	return false
}
