// Package limitedlog limits the rate of log lines that bad input from peers causes. The first event
// of a peer with a reason is logged at once. Further ones are counted, and logged together in at
// most one line a minute.
package limitedlog

import (
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// maxKeys limits the pairs of peer and reason that are counted separately. Beyond it all peers
	// share one counter for each message, so that the lines are limited for many addresses, too.
	maxKeys = 256
	// minInterval is the shortest time between two log lines for one key.
	minInterval = time.Minute
	// otherPeers is logged as the peer for events beyond maxKeys.
	otherPeers = "others"
)

// eventKey identifies the events that are counted together.
type eventKey struct{ from, reason string }

type counter struct {
	lastLogged time.Time
	suppressed int // events since lastLogged that were not logged
}

// Logger logs events of peers at a limited rate. It must be created with New, and is safe for
// concurrent use.
type Logger struct {
	log *slog.Logger
	now func() time.Time

	mu       sync.Mutex
	counters map[eventKey]*counter
}

// New returns a Logger that writes to log. now is the clock; nil stands for time.Now.
func New(log *slog.Logger, now func() time.Time) *Logger {
	if now == nil {
		now = time.Now
	}
	return &Logger{log: log, now: now, counters: map[eventKey]*counter{}}
}

// Report logs or counts an event that a peer caused. attrs are further attributes of the log line.
// Peers are distinguished by host alone, since the port changes whenever a client reconnects.
func (l *Logger) Report(message string, from net.Addr, reason string, attrs ...any) {
	host := Host(from)
	l.mu.Lock()
	now := l.now()
	key := eventKey{host, message + " " + reason}
	count := l.counters[key]
	if count == nil && len(l.counters) >= maxKeys {
		l.removeExpired(now)
		if len(l.counters) >= maxKeys {
			key = eventKey{otherPeers, message}
			count = l.counters[key]
		}
	}
	if count == nil {
		count = &counter{}
		l.counters[key] = count
	}
	if !count.lastLogged.IsZero() && now.Sub(count.lastLogged) < minInterval {
		count.suppressed++
		l.mu.Unlock()
		return
	}
	suppressed := count.suppressed
	count.lastLogged, count.suppressed = now, 0
	l.mu.Unlock()
	args := append([]any{"from", key.from, "reason", reason}, attrs...)
	if suppressed > 0 {
		args = append(args, "more", suppressed)
	}
	l.log.Warn(message, args...)
}

// removeExpired deletes the counters that were last logged at least minInterval ago.
func (l *Logger) removeExpired(now time.Time) {
	for key, count := range l.counters {
		if now.Sub(count.lastLogged) >= minInterval {
			delete(l.counters, key)
		}
	}
}

// Host returns the host part of an address, or the full address if it has no port.
func Host(a net.Addr) string {
	if a == nil {
		return ""
	}
	if host, _, err := net.SplitHostPort(a.String()); err == nil {
		return host
	}
	return a.String()
}
