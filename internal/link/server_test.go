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

// pipes is a listener of a network without sockets.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial opens a connection, sends the lines, and tells of its end.
func (p pipes) dial(sent string) (closed chan bool) {
	near, far := net.Pipe()
	closed = make(chan bool)
	go func() {
		p <- far
		_, _ = io.WriteString(near, sent)
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

// atLimit plays a scene with a server that holds so many connections. "ping" is a good
// message that is over at once, any other stays in work.
func atLimit(t *testing.T, most int, scene func(l pipes)) {
	synctest.Test(t, func(t *testing.T) {
		l := pipes(make(chan net.Conn))
		s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: most}
		s.Handle = func(p *ServerConn) {
			_ = ReadMessages(p.Conn, &lines{}, func(m *string) bool {
				if *m != "ping" {
					p.AddInFlight(1)
				}
				p.MarkValidated()
				return true
			})
		}
		go func() { _ = s.Serve(l) }()
		scene(l)
		s.mu.Lock()
		for p := range s.peers {
			_ = p.Close()
		}
		s.mu.Unlock()
		close(l)
	})
}

// At the limit a connection that has proven nothing gives way before one that has been idle
// for longer but was good, and one in use never does: a flood of connections that say
// nothing must not push usual clients out, nor keep new ones waiting.
func TestServerAtItsLimit(t *testing.T) {
	atLimit(t, 3, func(l pipes) {
		busy, idle := l.dial("work\n"), l.dial("ping\n")
		time.Sleep(10 * time.Second)
		silent := l.dial("")
		for i := range 5 { // each new one takes the place of the last
			next := l.dial("")
			require.Equal(t, i > 0, isClosed(silent), "the first had no time to be read yet")
			time.Sleep(2 * unprovenEnough)
			require.True(t, isClosed(silent))
			silent = next
		}
		good := l.dial("ping\n")
		time.Sleep(2 * unprovenEnough)
		require.True(t, isClosed(silent))
		require.False(t, isClosed(idle))
		last := l.dial("ping\n") // where all are good the one idle for longest goes
		time.Sleep(2 * unprovenEnough)
		require.True(t, isClosed(idle))
		time.Sleep(time.Minute)
		require.False(t, isClosed(busy) || isClosed(good) || isClosed(last))
		silent = l.dial("half a li") // takes the place of an idle one, but not for long
		time.Sleep(proveWithin - time.Millisecond)
		require.False(t, isClosed(silent))
		time.Sleep(2*time.Millisecond + lookAgain)
		require.True(t, isClosed(silent))
	})
}

// Short of a flood the one accepted last, not read yet, does not stand before idle ones that
// can go at once: each accept would wait for it, and call-backs would wait for the accepts.
func TestServerMakesRoomAtOnce(t *testing.T) {
	atLimit(t, 8, func(l pipes) {
		for range 8 {
			l.dial("ping\n")
		}
		time.Sleep(10 * time.Second)
		began := time.Now()
		for range 8 {
			last := l.dial("ping\n")
			require.False(t, isClosed(last))
		}
		require.Equal(t, began, time.Now())
	})
}

// The peer reads its last answer although it was still sending what was refused: a close on
// unread bytes would reset the connection and could overtake the answer.
func TestLastAnswerIsNotLost(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 3}
	s.Handle = func(p *ServerConn) {
		ended := make(chan struct{})
		_ = ReadMessages(p.Conn, &lines{}, func(*string) bool { return false })
		_, _ = io.WriteString(p, "refused")
		close(ended)
		p.Linger(ended)
	}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = l.Close() }()
	for range 20 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = c.Write(make([]byte, 100<<10)) // no end of a line, then one
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
