package link

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// receiveAndPut sends bytes from the far end, receives one response and puts the connection back.
func receiveAndPut(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn, data string) {
	t.Helper()
	go func() { _, _ = io.WriteString(far, data) }()
	m, err := c.Receive(t.Context())
	require.NoError(t, err)
	require.Equal(t, "answer", *m)
	synctest.Wait() // its reader has read everything
	p.Put(c)
}

// Bytes that a worker sends after its response must never be taken for the response to the next
// request: a second response in the same write, part of one, or one some milliseconds later.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn){
		"second answer with the first": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			receiveAndPut(t, p, c, far, "answer\nanswer\n")
		},
		"half a line with the answer": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			receiveAndPut(t, p, c, far, "answer\nans")
		},
		"half a line later": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			receiveAndPut(t, p, c, far, "answer\n")
			time.Sleep(reuseDelay / 2)
			_, _ = io.WriteString(far, "ans")
		},
		"second answer later": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			receiveAndPut(t, p, c, far, "answer\n")
			time.Sleep(reuseDelay / 2)
			next, err := p.Get(t.Context(), "a")
			require.NoError(t, err)
			require.NotSame(t, c, next, "a connection must not be reused before the delay")
			p.Put(next)
			_, _ = io.WriteString(far, "answer\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, far := newTestPool(t)
				c := get(t, p, "a")
				run(t, p, c, <-far)
				time.Sleep(2 * reuseDelay)
				synctest.Wait()
				next := get(t, p, "a")
				require.NotSame(t, c, next)
				_, err := c.Write([]byte("x"))
				require.Error(t, err, "the connection must be closed")
				p.CloseIdleExcept(nil)
				_ = next.Close()
				synctest.Wait()
			})
		})
	}
}

// gatedConn is a TCP connection whose Read blocks until gate is closed.
type gatedConn struct {
	*net.TCPConn
	gate chan struct{}
}

func (c gatedConn) Read(buf []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(buf)
}

// An idle connection that the worker has closed must not be reused, even if the pool's reader has not
// seen the close yet: a request written to it would be lost, yet counted as one that may have run.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	gate := make(chan struct{})
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return gatedConn{c.(*net.TCPConn), gate}, nil
	}
	p := NewPool(dial, func() Framer[string] { return &lineFramer{} }, time.Second, time.Minute, 4)
	defer close(gate)
	addr := listener.Addr().String()
	c, err := p.Get(t.Context(), addr)
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	p.Put(c)
	c.idleSince = c.idleSince.Add(-reuseDelay)
	require.NoError(t, far.Close())
	require.Eventually(t, func() bool { return readable(c.Conn) }, 5*time.Second, time.Millisecond)
	next, err := p.Get(t.Context(), addr)
	require.NoError(t, err)
	require.NotSame(t, c, next)
	require.False(t, readable(next.Conn))
	_ = next.Close()
}
