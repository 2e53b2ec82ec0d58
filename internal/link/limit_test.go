package link

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countedConn counts how often the system is asked about the connection.
type countedConn struct {
	*net.TCPConn
	calls *atomic.Int64
}

func (c countedConn) SyscallConn() (syscall.RawConn, error) {
	c.calls.Add(1)
	return c.TCPConn.SyscallConn()
}

type countedListener struct {
	net.Listener
	calls *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c.(*net.TCPConn), l.calls}, nil
}

// A server at its limit asked the system about each of its connections for each new one. Idle
// clients that came by the hundred a second cost it a millisecond of processor time each, and on a
// small share of a core it stood still for seconds, while drains were told and requests waited.
func TestAFullServerAsksFewConnectionsForEachNewOne(t *testing.T) {
	const most, more = 120, 60
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	calls := &atomic.Int64{}
	handled := make(chan struct{}, most+more)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: most, Handle: func(p *ServerConn) {
		p.MarkValidated()
		handled <- struct{}{}
		_, _ = io.Copy(io.Discard, p.Conn.(countedConn).TCPConn) // reads without the count
	}}
	go func() { _ = s.Serve(countedListener{listener, calls}) }()
	defer func() { _ = listener.Close() }()
	open := func() {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	for range most {
		open()
		<-handled
	}
	s.mu.Lock()
	for p := range s.peers { // they have been idle for long
		p.since = p.since.Add(-time.Minute)
	}
	s.mu.Unlock()
	calls.Store(0)
	for range more {
		open()
		<-handled
	}
	require.LessOrEqual(t, calls.Load(), int64(more*unreadLooks), "%d connections held, %d new ones", most, more)
	require.NotZero(t, calls.Load(), "one with a request unread must not be closed")
}

// A process short of processor time reads late. A connection whose request has come by then has
// proven as much as it could, and is not closed for being slow.
func TestAnUnreadRequestOutlivesTheTimeToProveItself(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	read := make(chan struct{})
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4, Handle: func(p *ServerConn) {
		<-read
		_ = ReadMessages(p, &lines{}, func(m *string) bool {
			p.MarkValidated()
			_, _ = io.WriteString(p, "answer")
			return false
		})
	}}
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	silent, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "request\n")
	require.NoError(t, err)
	_, err = silent.Read(make([]byte, 1)) // returns as the server closes it
	require.ErrorIs(t, err, io.EOF)
	close(read)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "answer", string(answer))
}

// A drain that comes while a request is half read leaves its connection open for the other half:
// the client has begun to send, and may write the last byte before it sees the close.
func TestADrainWaitsForTheRestOfARequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	half := make(chan struct{}, 8)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4}
	s.Handle = func(p *ServerConn) {
		p.MarkValidated()
		_ = ReadMessages(notified{p, half}, &lines{}, func(m *string) bool {
			_, _ = io.WriteString(p, "answer "+*m)
			return false
		})
	}
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	<-half // before the first read
	_, err = io.WriteString(c, "req")
	require.NoError(t, err)
	<-half // the framer holds half a request
	require.Equal(t, 1, s.closeIdle(true))
	_, err = io.WriteString(c, "uest\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "answer request", string(answer))
}

// A half request whose rest does not come holds a drain for partialGrace at most.
func TestADrainDoesNotWaitForEverForTheRest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	half := make(chan struct{}, 8)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4}
	s.Handle = func(p *ServerConn) {
		p.MarkValidated()
		_ = ReadMessages(notified{p, half}, &lines{}, func(*string) bool { return false })
	}
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	<-half
	_, err = io.WriteString(c, "req")
	require.NoError(t, err)
	<-half
	s.mu.Lock()
	for p := range s.peers {
		p.partial = p.partial.Add(-partialGrace)
	}
	s.mu.Unlock()
	require.Zero(t, s.closeIdle(true))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
}

// notified tells of each NotePartial.
type notified struct {
	*ServerConn
	told chan struct{}
}

func (n notified) ObservePartial(partial bool) {
	n.ServerConn.ObservePartial(partial)
	n.told <- struct{}{}
}

// A request that arrives in the very moment in which a resting connection is closed is either
// answered, or never handed on: the client, which sees the close, sends it again.
func TestARequestOnARestingConnectionAsItIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handled := &atomic.Int64{}
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 400, Handle: func(p *ServerConn) {
		p.MarkValidated()
		_ = ReadMessages(p, &lines{}, func(m *string) bool {
			p.AddInFlight(1)
			handled.Add(1)
			_, err := io.WriteString(p, "answer "+*m+"\n")
			p.AddInFlight(-1)
			return err == nil
		})
	}}
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	answered := int64(0)
	for range 300 {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		in := bufio.NewReader(c)
		_, err = io.WriteString(c, "first\n")
		require.NoError(t, err)
		_, err = in.ReadString('\n')
		require.NoError(t, err)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			s.closeIdle(true)
		}()
		_, _ = io.WriteString(c, "second\n")
		if answer, err := in.ReadString('\n'); err == nil {
			require.Equal(t, "answer second\n", answer)
			answered++
		}
		<-closed
		_ = c.Close()
	}
	require.Equal(t, 300+answered, handled.Load(), "each request that was handed on is answered")
}
