package link

import (
	"slices"
	"time"
)

// makeRoom waits until one more connection may be held. It is asked once that one is there, so
// that none is closed for nothing.
func (s *Server) makeRoom() {
	for {
		s.mu.Lock()
		full := len(s.peers) >= s.MaxConns
		var least *ServerConn
		if full { // only then: it looks at every connection
			if least = s.evictable(time.Now()); least != nil {
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

// evictable is the connection that gives way next, or nil while none may be closed. Whether a
// request waits unread on a connection takes a system call, so only the connections that would
// be closed are asked, and only unreadLooks of them: asking every connection for each one that
// came cost a millisecond of processor time at 300 connections, and a process that idle clients
// had filled stood still for seconds.
func (s *Server) evictable(now time.Time) *ServerConn {
	flooded := s.flooded()
	var unread [unreadLooks]*ServerConn
	for i := range unread {
		least := s.firstEvictable(unread[:i], flooded, now)
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
	return unproven > 0 && unproven >= int(unprovenShare*float64(s.MaxConns))
}

// firstEvictable is the first connection in the order of giving way that may be closed by now and is
// none of those excepted, or nil.
func (s *Server) firstEvictable(excepted []*ServerConn, flooded bool, now time.Time) (least *ServerConn) {
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

func (p *ServerConn) rank() int {
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
func (p *ServerConn) before(o *ServerConn) bool {
	if a, b := p.rank(), o.rank(); a != b {
		return a < b
	}
	return p.since.Before(o.since)
}

// yields tells whether the connection has been in its state for long enough to be closed for a
// new one.
func (p *ServerConn) yields(now time.Time) bool {
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
