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

// countedConn counts the calls of SyscallConn, one for each system call outside Read.
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

// Guards against a server at its limit that checks every connection for unread bytes on each accept.
// With hundreds of idle clients connecting per second, each accept took a millisecond of CPU time; on
// a small share of a core the server stalled for seconds, while drains and requests waited.
func TestEvictionChecksFewConnectionsPerAccept(t *testing.T) {
	const maxConns, newConns = 120, 60
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	calls := &atomic.Int64{}
	handled := make(chan struct{}, maxConns+newConns)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: maxConns, Handle: func(c *ServerConn) {
		c.MarkValidated()
		handled <- struct{}{}
		_, _ = io.Copy(io.Discard, c.Conn.(countedConn).TCPConn) // reads without being counted
	}}
	go func() { _ = s.Serve(countedListener{listener, calls}) }()
	defer func() { _ = listener.Close() }()
	open := func() {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	for range maxConns {
		open()
		<-handled
	}
	s.mu.Lock()
	for c := range s.conns { // make them idle for long
		c.idleSince = c.idleSince.Add(-time.Minute)
	}
	s.mu.Unlock()
	calls.Store(0)
	for range newConns {
		open()
		<-handled
	}
	require.LessOrEqual(t, calls.Load(), int64(newConns*maxUnreadChecks), "%d connections held, %d new ones", maxConns, newConns)
	require.NotZero(t, calls.Load(), "a candidate must be checked for an unread request before it is closed")
}

// A process short of CPU time reads late. A connection whose request has arrived but is unread must
// not be closed for sending no valid message in time.
func TestUnreadRequestExtendsValidationTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	read := make(chan struct{})
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4, Handle: func(c *ServerConn) {
		<-read
		_ = ReadMessages(c, &lineFramer{}, func(m *string) bool {
			c.MarkValidated()
			_, _ = io.WriteString(c, "answer")
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
	_, err = silent.Read(make([]byte, 1)) // returns when the server closes the connection
	require.ErrorIs(t, err, io.EOF)
	close(read)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "answer", string(answer))
}

// A drain must leave a connection open while a request on it is half read: the client may write the
// last byte before it sees the close, and the request would be lost.
func TestDrainWaitsForRestOfRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	observed := make(chan struct{}, 8)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4}
	s.Handle = func(c *ServerConn) {
		c.MarkValidated()
		_ = ReadMessages(notifyingServerConn{c, observed}, &lineFramer{}, func(m *string) bool {
			_, _ = io.WriteString(c, "answer "+*m)
			return false
		})
	}
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	<-observed // before the first read
	_, err = io.WriteString(c, "req")
	require.NoError(t, err)
	<-observed // the framer holds half a request
	require.Equal(t, 1, s.closeIdle(true))
	_, err = io.WriteString(c, "uest\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "answer request", string(answer))
}

// An incomplete request must not delay a drain for longer than partialGrace.
func TestDrainGivesUpOnIncompleteRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	observed := make(chan struct{}, 8)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4}
	s.Handle = func(c *ServerConn) {
		c.MarkValidated()
		_ = ReadMessages(notifyingServerConn{c, observed}, &lineFramer{}, func(*string) bool { return false })
	}
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	<-observed
	_, err = io.WriteString(c, "req")
	require.NoError(t, err)
	<-observed
	s.mu.Lock()
	for c := range s.conns {
		c.partialSince = c.partialSince.Add(-partialGrace)
	}
	s.mu.Unlock()
	require.Zero(t, s.closeIdle(true))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
}

// notifyingServerConn signals each partial-message notification.
type notifyingServerConn struct {
	*ServerConn
	notifications chan struct{}
}

func (n notifyingServerConn) ObservePartial(partial bool) {
	n.ServerConn.ObservePartial(partial)
	n.notifications <- struct{}{}
}

// A request that arrives while its idle connection is being closed must be either answered or never
// passed to the handler. In the second case the client sees the close and can safely retry.
func TestRequestRacesWithIdleClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handled := &atomic.Int64{}
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 400, Handle: func(c *ServerConn) {
		c.MarkValidated()
		_ = ReadMessages(c, &lineFramer{}, func(m *string) bool {
			c.AddInFlight(1)
			handled.Add(1)
			_, err := io.WriteString(c, "answer "+*m+"\n")
			c.AddInFlight(-1)
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
	require.Equal(t, 300+answered, handled.Load(), "every request passed to the handler must be answered")
}
