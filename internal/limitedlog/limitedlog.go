// Package limitedlog keeps a flood of bad input from flooding the log. The first complaint of a
// peer and reason is a line of its own; what follows is counted, and the counts are told in one
// line a minute at the most for each.
package limitedlog

import (
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// most bounds the pairs of peer and reason that are told apart. What comes beyond falls
	// into one pair for all, so that a flood from many addresses is bounded too.
	most = 256
	// again is the least time between two lines about one pair.
	again = time.Minute
	// others stands for the peers beyond the bound.
	others = "others"
)

type pair struct{ from, reason string }

type tally struct {
	told    time.Time
	unheard int // since told
}

// Logger counts complaints. Its zero value is not ready: use New. It is safe for concurrent use.
type Logger struct {
	log *slog.Logger
	now func() time.Time

	mu    sync.Mutex
	pairs map[pair]*tally
}

// New returns a book that writes to the log. now is the clock, time.Now where nil.
func New(log *slog.Logger, now func() time.Time) *Logger {
	if now == nil {
		now = time.Now
	}
	return &Logger{log: log, now: now, pairs: map[pair]*tally{}}
}

// Report notes that a peer has given cause to. what is the log line's text and with what is
// told in the line's further attributes. A peer is known by its host: ports change with every
// connection of a client that tries again.
func (b *Logger) Report(what string, from net.Addr, reason string, with ...any) {
	host := Host(from)
	b.mu.Lock()
	now := b.now()
	p := pair{host, what + " " + reason}
	t := b.pairs[p]
	if t == nil && len(b.pairs) >= most {
		b.sweep(now)
		if len(b.pairs) >= most {
			p = pair{others, what}
			t = b.pairs[p]
		}
	}
	if t == nil {
		t = &tally{}
		b.pairs[p] = t
	}
	if !t.told.IsZero() && now.Sub(t.told) < again {
		t.unheard++
		b.mu.Unlock()
		return
	}
	unheard := t.unheard
	t.told, t.unheard = now, 0
	b.mu.Unlock()
	args := append([]any{"from", p.from, "reason", reason}, with...)
	if unheard > 0 {
		args = append(args, "more", unheard)
	}
	b.log.Warn(what, args...)
}

// sweep tells of and forgets the pairs that have been quiet for long.
func (b *Logger) sweep(now time.Time) {
	for p, t := range b.pairs {
		if now.Sub(t.told) >= again {
			delete(b.pairs, p)
		}
	}
}

// Host is the part of an address that names the machine.
func Host(a net.Addr) string {
	if a == nil {
		return ""
	}
	if host, _, err := net.SplitHostPort(a.String()); err == nil {
		return host
	}
	return a.String()
}
