// Package link holds the connection handling that the protocol servers share: a read loop that feeds
// a protocol's framer, a server that limits its connections and drains them on shutdown, and a pool
// of connections to workers. It is independent of the protocol.
package link

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// Framer is a protocol's state machine: it is fed bytes, does no I/O, and returns complete messages.
type Framer[M any] interface {
	// Feed appends bytes read from the stream.
	Feed(p []byte)
	// Next returns the next complete message, or nil if there is none yet. After an error the
	// stream cannot be read further.
	Next() (*M, error)
	// End marks the end of the stream, and returns the message that this completes, if any.
	End() (*M, error)
	// Partial reports whether part of a message has been received.
	Partial() bool
	// Held returns how many bytes of messages that are not complete the framer holds.
	Held() int
}

// DialFunc opens a connection; net.Dialer.DialContext has this type.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

const (
	// messageTimeout limits how long a message may take from its first bytes: a peer that stops in
	// the middle of one must not hold its connection and memory forever.
	messageTimeout = 10 * time.Second
	// writeTimeout limits a write, so that a peer that does not read blocks only its own connection.
	writeTimeout   = 5 * time.Second
	readBufferSize = 4 << 10
)

// MalformedError wraps a protocol error in what the peer sent, which is reported back to the peer.
type MalformedError struct{ error }

// Unwrap returns the protocol error.
func (m *MalformedError) Unwrap() error { return m.error }

// PartialObserver is implemented by connections that track incomplete messages. ReadMessages calls
// ObservePartial before each read, with whether the bytes read so far end in the middle of a message.
type PartialObserver interface{ ObservePartial(partial bool) }

// ReadMessages feeds the framer from the connection and passes each complete message to handle, until
// the stream ends or is malformed, or handle returns false.
func ReadMessages[M any](c net.Conn, f Framer[M], handle func(*M) bool) error {
	buf := make([]byte, readBufferSize)
	deadlineSet := false
	observer, _ := c.(PartialObserver)
	controller, _ := c.(InputController)
	if controller != nil {
		defer controller.EndInput()
	}
	for {
		if observer != nil {
			observer.ObservePartial(f.Partial())
		}
		switch partial := f.Partial(); {
		case partial && !deadlineSet:
			_ = c.SetReadDeadline(time.Now().Add(messageTimeout))
			deadlineSet = true
		case !partial && deadlineSet:
			_ = c.SetReadDeadline(time.Time{})
			deadlineSet = false
		}
		if controller != nil {
			if err := controller.ReserveInput(f.Held()); err != nil {
				return err
			}
		}
		n, err := c.Read(buf)
		f.Feed(buf[:n])
		for {
			m, frameErr := f.Next()
			if frameErr != nil {
				return &MalformedError{frameErr}
			}
			if m == nil {
				break
			}
			deadlineSet = false
			_ = c.SetReadDeadline(time.Time{})
			if controller != nil {
				controller.ReleaseInput(f.Held())
				controller.Pace()
			}
			if !handle(m) {
				return net.ErrClosed
			}
		}
		if err != nil {
			if m, frameErr := f.End(); m != nil && frameErr == nil {
				handle(m)
			}
			return err
		}
	}
}

// IsTimeout reports whether a read or write failed because its deadline had passed.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// WriteWithTimeout writes data within writeTimeout. On an error it returns how many bytes may have
// been sent.
func WriteWithTimeout(c net.Conn, data []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Write(data)
}
