package link

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// smallInputBytes is how much of an incomplete message a connection may always hold.
	smallInputBytes = 8 << 10
	// inputWaitTimeout is how long a connection without requests in flight waits for memory for its message.
	inputWaitTimeout = 2 * time.Second
	// stalledInputAge is how long a connection may hold memory for a message before it can lose it to others that wait.
	stalledInputAge = 200 * time.Millisecond
	// stalledCheckInterval is the shortest time between two searches for stalled connections.
	stalledCheckInterval = 20 * time.Millisecond
)

// ErrInputLimit is returned to a connection that got no memory for its message in time. The message has not been
// handled, so a repeat is harmless.
var ErrInputLimit = errors.New("too many large messages are being received")

// InputLimit bounds what the input of clients uses, over all connections of a process: the processor (see Pace), and the
// memory for large messages that are incomplete. A connection
// reserves the memory for its largest message before it reads more than a small part of one, so those that have it
// never wait for each other. Those that wait leave their bytes in the kernel's buffer.
type InputLimit struct {
	total    int64
	reserved *semaphore.Weighted
	paced    atomic.Int64 // connections that are being paced

	mu          sync.Mutex
	holders     map[*ServerConn]time.Time // since when they have the memory
	lastChecked time.Time
}

// NewInputLimit returns an InputLimit of the given number of bytes.
func NewInputLimit(bytes int64) *InputLimit {
	return &InputLimit{total: bytes, reserved: semaphore.NewWeighted(bytes), holders: map[*ServerConn]time.Time{}}
}

// InputController is implemented by connections whose input is limited. ReadMessages calls ReserveInput before each
// read, and ReleaseInput and Pace before each message is handled, with how much the framer holds; and EndInput once
// nothing more is read.
type InputController interface {
	ReserveInput(held int) error
	ReleaseInput(held int)
	Pace()
	EndInput()
}

// EndInput returns what the connection has of the shared limits.
func (c *ServerConn) EndInput() {
	c.ReleaseInput(0)
	c.resetPace()
}

// ReserveInput blocks until there is memory for the rest of a message of which held bytes have been read. Only the
// reading goroutine calls it.
func (c *ServerConn) ReserveInput(held int) error {
	limit := c.server.InputLimit
	if held <= smallInputBytes || c.reservedInput > 0 || limit == nil {
		return nil
	}
	bytes := min(c.server.MaxInputBytes, limit.total)
	if !limit.reserved.TryAcquire(bytes) {
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		go c.watchWait(ctx, cancel)
		if limit.reserved.Acquire(ctx, bytes) != nil {
			return context.Cause(ctx)
		}
	}
	c.reservedInput = bytes
	limit.mu.Lock()
	limit.holders[c] = time.Now()
	limit.mu.Unlock()
	return nil
}

// ReleaseInput returns the reserved memory once no more than a small part of a message is held.
func (c *ServerConn) ReleaseInput(held int) {
	if held > smallInputBytes || c.reservedInput == 0 {
		return
	}
	limit := c.server.InputLimit
	limit.mu.Lock()
	delete(limit.holders, c)
	limit.mu.Unlock()
	limit.reserved.Release(c.reservedInput)
	c.reservedInput = 0
}

// watchWait ends a connection's wait for memory if the connection ends or has waited too long. Meanwhile it closes the
// connections that hold memory and send nothing.
func (c *ServerConn) watchWait(ctx context.Context, end context.CancelCauseFunc) {
	began := time.Now()
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		c.server.InputLimit.closeStalled(time.Now())
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.server.mu.Lock()
			closing, inFlight := c.closing, c.inFlight
			c.server.mu.Unlock()
			switch {
			case closing || PeerClosed(c.Conn):
				end(errPeerGone)
			case inFlight == 0 && now.Sub(began) >= inputWaitTimeout:
				end(&MalformedError{ErrInputLimit})
			}
		}
	}
}

var errPeerGone = errors.New("the connection ended while it waited for memory")

// closeStalled closes the connections that have held memory for stalledInputAge and from which nothing is to be read.
// Their messages are incomplete, and so are not accepted yet.
func (l *InputLimit) closeStalled(now time.Time) {
	var candidates []*ServerConn
	l.mu.Lock()
	if now.Sub(l.lastChecked) >= stalledCheckInterval {
		l.lastChecked = now
		for c, since := range l.holders {
			if now.Sub(since) >= stalledInputAge {
				candidates = append(candidates, c)
			}
		}
	}
	l.mu.Unlock()
	for _, c := range candidates {
		c.closeIfStalled()
	}
}

// closeIfStalled closes the connection if it has no request in flight and nothing to be read.
func (c *ServerConn) closeIfStalled() {
	c.server.mu.Lock()
	stalled := c.inFlight == 0 && !c.unframed && !c.closing && !hasUnreadBytes(c.Conn)
	if stalled {
		c.closing = true
	}
	c.server.mu.Unlock()
	if stalled { // Close waits for a read in progress, and the read may wait for the lock
		_ = c.Close()
	}
}
