package link

import (
	"context"
	"time"
)

// DrainSchedule is how a process that is told to end may use its last time.
type DrainSchedule struct {
	FullDeadlineFor time.Duration // what comes until then keeps its own time
	KeepClientsFor  time.Duration // clients are kept until then
	AnswerWithin    time.Duration // what comes after Free is answered by then
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
	var idle []*ServerConn
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
