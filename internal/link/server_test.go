package link

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener is a listener for in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial opens a connection and sends data. The channel is closed when the connection ends.
func (p pipeListener) dial(data string) (closed chan bool) {
	near, far := net.Pipe()
	closed = make(chan bool)
	go func() {
		p <- far
		_, _ = io.WriteString(near, data)
		_, _ = near.Read(make([]byte, 1))
		close(closed)
	}()
	synctest.Wait()
	return closed
}

func isClosed(c chan bool) bool {
	synctest.Wait()
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// runAtLimit calls run with the listener of a server that is limited to maxConns connections. The
// message "ping" is handled at once; any other message stays in flight.
func runAtLimit(t *testing.T, maxConns int, run func(l pipeListener)) {
	synctest.Test(t, func(t *testing.T) {
		l := pipeListener(make(chan net.Conn))
		s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: maxConns}
		s.Handle = func(c *ServerConn) {
			_ = ReadMessages(c.Conn, &lineFramer{}, func(m *string) bool {
				if *m != "ping" {
					c.AddInFlight(1)
				}
				c.MarkValidated()
				return true
			})
		}
		go func() { _ = s.Serve(l) }()
		run(l)
		s.mu.Lock()
		for c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		close(l)
	})
}

// At the limit, an unvalidated connection must be evicted before a validated one that has been idle
// for longer, and a busy one never: a flood of silent connections must neither evict regular clients
// nor keep new ones waiting.
func TestEvictionOrder(t *testing.T) {
	runAtLimit(t, 3, func(l pipeListener) {
		busy, idle := l.dial("work\n"), l.dial("ping\n")
		time.Sleep(10 * time.Second)
		silent := l.dial("")
		for i := range 5 { // each new connection evicts the previous one
			next := l.dial("")
			require.Equal(t, i > 0, isClosed(silent), "a new connection must get the time to be read")
			time.Sleep(2 * unvalidatedMinAge)
			require.True(t, isClosed(silent))
			silent = next
		}
		good := l.dial("ping\n")
		time.Sleep(2 * unvalidatedMinAge)
		require.True(t, isClosed(silent))
		require.False(t, isClosed(idle))
		last := l.dial("ping\n") // if all are validated, the one idle for longest is evicted
		time.Sleep(2 * unvalidatedMinAge)
		require.True(t, isClosed(idle))
		time.Sleep(time.Minute)
		require.False(t, isClosed(busy) || isClosed(good) || isClosed(last))
		silent = l.dial("half a li") // evicts an idle connection, but is itself closed soon
		time.Sleep(validationTimeout - time.Millisecond)
		require.False(t, isClosed(silent))
		time.Sleep(2*time.Millisecond + recheckInterval)
		require.True(t, isClosed(silent))
	})
}

// If there is no flood, a new unvalidated connection must not delay the eviction of idle connections:
// each accept would wait for it to become old enough, and call-backs would wait for the accepts.
func TestIdleConnectionIsEvictedAtOnce(t *testing.T) {
	runAtLimit(t, 8, func(l pipeListener) {
		for range 8 {
			l.dial("ping\n")
		}
		time.Sleep(10 * time.Second)
		start := time.Now()
		for range 8 {
			last := l.dial("ping\n")
			require.False(t, isClosed(last))
		}
		require.Equal(t, start, time.Now())
	})
}

// The peer must receive its last response even if it is still sending the refused request: closing the
// connection with unread bytes would reset it, and the reset could reach the peer first.
func TestLastResponseIsNotLost(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 3}
	s.Handle = func(c *ServerConn) {
		readerDone := make(chan struct{})
		_ = ReadMessages(c.Conn, &lineFramer{}, func(*string) bool { return false })
		_, _ = io.WriteString(c, "refused")
		close(readerDone)
		c.Linger(readerDone)
	}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = l.Close() }()
	for range 20 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = c.Write(make([]byte, 100<<10)) // an endless line, which then ends
		require.NoError(t, err)
		_, err = c.Write(append([]byte("\n"), make([]byte, 50<<10)...))
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
		answer, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, "refused", string(answer))
		_ = c.Close()
	}
}
