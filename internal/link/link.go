// Package link holds what the fronts share about connections: a read loop that feeds a
// protocol's framer, a server that bounds what it accepts and drains, and a pool of
// connections to workers. It knows no protocol.
package link

import (
	"context"
	"net"
	"time"
)

// Framer is a protocol's state machine: it is fed bytes, knows no socket, and gives whole
// messages.
type Framer[M any] interface {
	// Feed adds bytes as they were read.
	Feed(p []byte)
	// Next returns the next whole message, or nil while there is none. After an error the
	// stream cannot be read on.
	Next() (*M, error)
	// End tells that the stream has ended, and returns the message that this completes, if
	// any.
	End() (*M, error)
	// Partial tells whether part of a message has come.
	Partial() bool
}

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

const (
	// partialWait bounds how long a message may take once it has begun: a peer that stops in
	// the middle of one must not hold its connection and memory for ever.
	partialWait = 10 * time.Second
	// writeWait bounds a write: a peer that does not read holds up its own connection only.
	writeWait = 5 * time.Second
	readSize  = 4 << 10
)

// MalformedError marks an error that is the peer's doing, so that it can be told.
type MalformedError struct{ error }

// Unwrap returns what was wrong.
func (m *MalformedError) Unwrap() error { return m.error }

// PartialObserver is a connection that wants to know, before each read, whether what was read so far
// ends within a message.
type PartialObserver interface{ ObservePartial(partial bool) }

// ReadMessages feeds the framer from the connection and hands on whole messages until the stream
// ends, is malformed, or hand returns false.
func ReadMessages[M any](c net.Conn, f Framer[M], hand func(*M) bool) error {
	buf := make([]byte, readSize)
	begun := false
	noter, _ := c.(PartialObserver)
	for {
		if noter != nil {
			noter.ObservePartial(f.Partial())
		}
		switch partial := f.Partial(); {
		case partial && !begun:
			_ = c.SetReadDeadline(time.Now().Add(partialWait))
			begun = true
		case !partial && begun:
			_ = c.SetReadDeadline(time.Time{})
			begun = false
		}
		n, err := c.Read(buf)
		f.Feed(buf[:n])
		for {
			m, bad := f.Next()
			if bad != nil {
				return &MalformedError{bad}
			}
			if m == nil {
				break
			}
			begun = false
			_ = c.SetReadDeadline(time.Time{})
			if !hand(m) {
				return net.ErrClosed
			}
		}
		if err != nil {
			if m, bad := f.End(); m != nil && bad == nil {
				hand(m)
			}
			return err
		}
	}
}

// WriteWithTimeout sends the whole of the data, or tells how much of it may have left.
func WriteWithTimeout(c net.Conn, data []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeWait))
	return c.Write(data)
}
