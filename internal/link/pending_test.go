package link

import (
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
	held := make(chan *Peer, 1)
	release := make(chan struct{})
	s := &Server{Log: slog.New(slog.DiscardHandler), Most: 8, Handle: func(p *Peer) {
		p.Prove() // a client that has been served before, now idle
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
