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

// A drain closes idle connections. One on which a request has come that its reader has not yet
// taken up is not idle: closed now, the request would be ended unanswered after it was taken.
func TestRequestOnTheWayIsNotIdle(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the kernel is asked what waits to be read")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	held := make(chan *ServerConn, 1)
	release := make(chan struct{})
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 8, Handle: func(p *ServerConn) {
		p.MarkValidated() // a client that has been served before, now idle
		held <- p
		<-release // its reader has not run yet
	}}
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-held
	require.Zero(t, s.closeIdle(false), "idle, and nothing has come")

	c2, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c2.Close()
	<-held
	_, err = c2.Write([]byte("POST /price-read HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // it has come into the kernel's buffer
	require.Equal(t, 1, s.closeIdle(false), "a connection with a request on its way counts as busy")
	_ = c2.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = c2.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, "the connection with a request on its way was closed")
	close(release)
}

// Between the read and the message's handler neither the system nor the count of what is in work knows
// of a request: a drain that looked then would close the connection of one that was taken.
func TestRequestJustReadIsNotIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	read, again := make(chan int, 1), make(chan bool)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 8, Handle: func(p *ServerConn) {
		p.MarkValidated()
		buf := make([]byte, 64)
		for range 2 {
			n, _ := p.Read(buf)
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
	require.Equal(t, 1, s.closeIdle(false), "what was read counts as busy")
	again <- true // half a request was all it was: the reader waits for more
	require.Eventually(t, func() bool { return s.closeIdle(false) == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, <-read, "and is closed then")
	close(again)
}

// A listener that stayed open to the process's end took requests that nobody was left to answer.
func TestNothingIsAcceptedOnceDrained(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 8, Handle: func(p *ServerConn) { _, _ = io.Copy(p, p) }}
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

// A close waits for a read under way. With both under one lock a server at its limit, or draining, stood
// still for good as soon as one met the other.
func TestClosingMeetsReading(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	s := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 4, Handle: func(p *ServerConn) {
		p.MarkValidated()
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{p})
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
		t.Fatal("the server stands still")
	}
}
