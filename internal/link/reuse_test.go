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

// exchangeOnce receives one answer on a connection of the pool and puts the connection back.
func exchangeOnce(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn, sent string) {
	t.Helper()
	go func() { _, _ = io.WriteString(far, sent) }()
	m, err := c.Receive(t.Context())
	require.NoError(t, err)
	require.Equal(t, "answer", *m)
	synctest.Wait() // its reader has taken in all that came
	p.Put(c)
}

// What a worker sends beyond its answer must never pass for the answer to the next request: a
// second answer in the same bytes, half of one, and one that comes some milliseconds later.
func TestWhatFollowsAnAnswerEndsTheConnection(t *testing.T) {
	for name, scene := range map[string]func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn){
		"second answer with the first": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			exchangeOnce(t, p, c, far, "answer\nanswer\n")
		},
		"half a line with the answer": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			exchangeOnce(t, p, c, far, "answer\nans")
		},
		"half a line later": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			exchangeOnce(t, p, c, far, "answer\n")
			time.Sleep(settleFor / 2)
			_, _ = io.WriteString(far, "ans")
		},
		"second answer later": func(t *testing.T, p *Pool[string], c *PoolConn[string], far net.Conn) {
			exchangeOnce(t, p, c, far, "answer\n")
			time.Sleep(settleFor / 2)
			next, err := p.Get(t.Context(), "a")
			require.NoError(t, err)
			require.NotSame(t, c, next, "a connection rests before it is used again")
			p.Put(next)
			_, _ = io.WriteString(far, "answer\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, far := pool(t)
				c := get(t, p, "a")
				scene(t, p, c, <-far)
				time.Sleep(2 * settleFor)
				synctest.Wait()
				next := get(t, p, "a")
				require.NotSame(t, c, next)
				_, err := c.Write([]byte("x"))
				require.Error(t, err, "the connection is closed")
				p.CloseIdleExcept(nil)
				_ = next.Close()
				synctest.Wait()
			})
		})
	}
}

// gatedConn is a TCP connection whose reader does not run until the gate opens.
type gatedConn struct {
	*net.TCPConn
	gate chan struct{}
}

func (c gatedConn) Read(buf []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(buf)
}

// An idle connection that its worker has closed is not used, also where our reader has had no time
// to see the close: a request written to it would be lost, and count as one that may have run.
func TestADyingIdleConnectionIsNotUsed(t *testing.T) {
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
	p := NewPool(dial, func() Framer[string] { return &lines{} }, time.Second, time.Minute, 4)
	defer close(gate)
	addr := listener.Addr().String()
	c, err := p.Get(t.Context(), addr)
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	p.Put(c)
	c.since = c.since.Add(-settleFor)
	require.NoError(t, far.Close())
	require.Eventually(t, func() bool { return readable(c.Conn) }, 5*time.Second, time.Millisecond)
	next, err := p.Get(t.Context(), addr)
	require.NoError(t, err)
	require.NotSame(t, c, next)
	require.False(t, readable(next.Conn))
	_ = next.Close()
}
