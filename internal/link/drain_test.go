package link

import (
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A drain closes idle connections. A connection with a request that its reader has not read yet must
// not count as idle, or the request would be lost after it was received.
func TestConnWithUnreadRequestIsNotIdle(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("requires the query for unread bytes on Linux")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conns := make(chan *ServerConn, 1)
	release := make(chan struct{})
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 8, Handle: func(c *ServerConn) {
		c.MarkValidated() // as if the client had been served before
		conns <- c
		<-release // nothing is read meanwhile
	}}
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-conns
	require.Zero(t, s.closeIdle(false), "the connection is idle and has no unread bytes")

	c2, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c2.Close()
	<-conns
	_, err = c2.Write([]byte("POST /price-read HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // the request reaches the kernel's buffer
	require.Equal(t, 1, s.closeIdle(false), "a connection with an unread request must count as busy")
	_ = c2.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = c2.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, "the connection with an unread request was closed")
	close(release)
}

// Between the read and the message's handler a request is neither in the kernel's buffer nor counted
// as in flight. A drain at that moment must not close the connection of the request.
func TestConnWithUnhandledBytesIsNotIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	read, again := make(chan int, 1), make(chan bool)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 8, Handle: func(c *ServerConn) {
		c.MarkValidated()
		buf := make([]byte, 64)
		for range 2 {
			n, _ := c.Read(buf)
			read <- n
			<-again
		}
	}}
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("POST /price-read"))
	require.NoError(t, err)
	require.Equal(t, 16, <-read)
	require.Equal(t, 1, s.closeIdle(false), "a connection with bytes just read must count as busy")
	again <- true // the reader waits for the rest of the request
	require.Eventually(t, func() bool { return s.closeIdle(false) == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, <-read, "the connection must then be closed")
	close(again)
}

// Guards against a listener that stays open until the process exits: it accepted requests that were
// never answered.
func TestNoConnectionAcceptedAfterDrain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 8, Handle: func(c *ServerConn) { _, _ = io.Copy(c, c) }}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, c.Close())
	s.Drain(t.Context(), func() int { return 0 }, 0)
	require.NoError(t, <-done)
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
}

// Guards against a deadlock: Close waits for a read in progress, so a server that closed a connection
// while holding the lock that the read needs, at its limit or during a drain, stopped for good.
func TestCloseDuringReadDoesNotDeadlock(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4, Handle: func(c *ServerConn) {
		c.MarkValidated()
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{c})
	}}
	go func() { _ = s.Serve(l) }()
	done := make(chan bool)
	go func() {
		defer close(done)
		for range 3000 {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			go func() {
				defer c.Close()
				for range 20 {
					if _, err := c.Write([]byte("x")); err != nil {
						return
					}
				}
			}()
			s.closeIdle(true)
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("the server is deadlocked")
	}
}
