package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// lines is a protocol of one line a message.
type lines struct{ buf []byte }

func (l *lines) Feed(p []byte) { l.buf = append(l.buf, p...) }
func (l *lines) Partial() bool { return len(l.buf) > 0 }
func (l *lines) Next() (*string, error) {
	line, rest, ok := bytes.Cut(l.buf, []byte("\n"))
	if !ok {
		return nil, nil
	}
	l.buf = rest
	s := string(line)
	if s == "bad" {
		return nil, errors.New("bad line")
	}
	return &s, nil
}
func (l *lines) End() (*string, error) { return nil, nil }

// pool returns a pool of two connections and the far ends of those that it opens.
func pool(t *testing.T) (*Pool[string], chan net.Conn) {
	far := make(chan net.Conn, 10)
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		if addr == "dark" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, end := net.Pipe()
		far <- end
		return near, nil
	}
	p := NewPool(dial, func() Framer[string] { return &lines{} }, 250*time.Millisecond, 10*time.Second, 2)
	go p.Sweep(t.Context())
	return p, far
}

func get(t *testing.T, p *Pool[string], addr string) *Conn[string] {
	c, err := p.Get(t.Context(), addr)
	require.NoError(t, err)
	return c
}

func TestPoolKeepsAndBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, far := pool(t)
		a := get(t, p, "a")
		b := get(t, p, "b")
		_, err := p.Get(t.Context(), "c")
		require.ErrorIs(t, err, ErrFull)
		p.Put(a)
		require.Same(t, a, get(t, p, "a"), "an idle connection is used again")
		p.Put(a)
		c := get(t, p, "c") // the idle one makes room
		end := <-far
		_, err = end.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		// Idle ones are closed well before the region would, at 6 s of its 10.
		p.Put(b)
		time.Sleep(5 * time.Second)
		require.Len(t, p.idle, 1)
		time.Sleep(2 * time.Second)
		require.Empty(t, p.idle)
		_ = c.Close()
		synctest.Wait()
		require.Zero(t, p.open)
		began := time.Now()
		_, err = p.Get(t.Context(), "dark")
		require.Error(t, err)
		require.Equal(t, 250*time.Millisecond, time.Since(began))
		require.Zero(t, p.open)
	})
}

// A region's close is seen while the connection is idle, so that no request is written to
// it; and what comes unasked ends the connection, or it would pass for the next answer.
func TestPoolReadsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, far := pool(t)
		for _, do := range []func(net.Conn){
			func(c net.Conn) { _ = c.Close() },
			func(c net.Conn) { _, _ = io.WriteString(c, "unasked\n") },
			func(c net.Conn) { _, _ = io.WriteString(c, "bad\n") },
		} {
			c := get(t, p, "a")
			end := <-far
			go func() { _, _ = io.WriteString(end, "answer\n") }()
			m, err := c.Receive(t.Context())
			require.NoError(t, err)
			require.Equal(t, "answer", *m)
			p.Put(c)
			do(end)
			synctest.Wait()
			require.Empty(t, p.idle)
			require.Zero(t, p.open)
			_, err = c.Receive(t.Context())
			require.ErrorIs(t, err, io.EOF)
		}
	})
}
