package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
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

func get(t *testing.T, p *Pool[string], addr string) *PoolConn[string] {
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
		require.ErrorIs(t, err, ErrPoolFull)
		p.Put(a)
		time.Sleep(settleFor)
		require.Same(t, a, get(t, p, "a"), "an idle connection is used again once it has rested")
		p.Put(a)
		c := get(t, p, "c") // the idle one makes room
		end := <-far
		_, err = end.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		// Idle ones are closed well before the worker would, at 6 s of its 10.
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

// A worker's close is seen while the connection is idle, so that no request is written to
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

// few allows so many connections to each address.
type few struct {
	mu   sync.Mutex
	most int
	held map[string]int
}

func (f *few) Acquire(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held[addr] >= f.most {
		return false
	}
	f.held[addr]++
	return true
}

func (f *few) Release(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[addr]--
}

func (f *few) Excess(addr string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, f.held[addr]-f.most)
}

func (f *few) now(addr string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[addr]
}

func (f *few) set(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.most = most
}

// A limit from outside bounds each address; when it shrinks idle connections beyond it are closed, no more of
// them than that, and one in use once it comes back. Every connection that ends is given back.
func TestPoolKeepsToALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		dial := func(_ context.Context, _, addr string) (net.Conn, error) {
			if addr == "none" {
				return nil, errors.New("refused")
			}
			near, _ := net.Pipe()
			return near, nil
		}
		p := NewPool(dial, func() Framer[string] { return &lines{} }, 250*time.Millisecond, 10*time.Second, 9)
		f := &few{most: 3, held: map[string]int{}}
		p.SetLimit(f)
		go p.Sweep(ctx)
		var all []*PoolConn[string]
		for range 3 {
			all = append(all, get(t, p, "a"))
		}
		_, err := p.Get(ctx, "a")
		require.ErrorIs(t, err, ErrAddrLimit)
		p.Put(get(t, p, "b"))
		_, err = p.Get(ctx, "none")
		require.Error(t, err)
		require.Zero(t, f.now("none"), "one that never came up is given back")

		p.Put(all[0])
		p.Put(all[1])
		f.set(2)
		time.Sleep(2 * limitEvery)
		synctest.Wait()
		require.Equal(t, 2, f.now("a"), "one of two idle ones is closed")
		f.set(0)
		time.Sleep(2 * limitEvery)
		synctest.Wait()
		require.Equal(t, 1, f.now("a"), "the one in use stays")
		p.Put(all[2])
		synctest.Wait()
		require.Zero(t, f.now("a"))
		require.Zero(t, f.now("b"))
		stop()
		synctest.Wait()
	})
}
