package link

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// idleTimeoutShare is the fraction of the workers' idle timeout after which the pool closes an idle
// connection: a request that is sent while the worker closes the connection fails with a reset.
const idleTimeoutShare = 0.6

// reuseDelay is how long a connection is not used after a response. A worker that repeats a response
// does so within some milliseconds; if the connection had been reused by then, the repeat would be
// taken for the response to the next request.
const reuseDelay = 20 * time.Millisecond

// limitCheckInterval is how often the pool looks for connections in excess of its connection limit.
const limitCheckInterval = 100 * time.Millisecond

// ErrPoolFull is returned by Get when all connections that the pool may hold are in use. Nothing
// has been sent.
var ErrPoolFull = errors.New("too many open connections")

// ErrAddrLimit is returned by Get when the connection limit of the address is reached. Nothing has
// been sent.
var ErrAddrLimit = errors.New("connection limit of the address reached")

// ConnLimit is an external limit on the number of connections to each address. Its methods must not
// block.
type ConnLimit interface {
	Acquire(addr string) bool // asks for one more connection
	Release(addr string)      // returns a connection that Acquire granted
	Excess(addr string) int   // how many connections exceed the limit; that many idle ones are closed
}

// Pool keeps connections to workers by address. A connection carries one exchange at a time: Get
// takes it out of the pool and Put returns it.
type Pool[M any] struct {
	dial        DialFunc
	framer      func() Framer[M]
	dialTimeout time.Duration
	idleTimeout time.Duration // an idle connection is closed after this
	maxConns    int           // connections, idle and in use
	limit       ConnLimit     // nil for none

	mu        sync.Mutex
	idle      []*PoolConn[M] // the longest idle first
	openConns int            // connections, idle and in use
	closed    bool
}

// PoolConn is a connection to a worker. Its reader keeps running while the connection is idle, so
// that the worker's close is seen before the next request is written.
type PoolConn[M any] struct {
	net.Conn
	Incoming <-chan *M // messages from the worker; closed when the connection ends

	pool      *Pool[M]
	addr      string
	idleSince time.Time
	inUse     bool // guarded by Pool.mu, as are ended, unsolicited and partial
	ended     bool // the reader has returned
	// unsolicited is set when bytes arrive on an idle connection, and partial while part of a message
	// has been received. In both cases the next message may not be the response to the next
	// request, so the connection is not reused.
	unsolicited, partial bool
	closeOnce            sync.Once
	done                 chan struct{} // closed by Close
}

// NewPool returns a pool of up to maxConns connections. workerIdleTimeout is the time after which
// workers close an idle connection; the pool closes it well before that.
func NewPool[M any](dial DialFunc, framer func() Framer[M], dialTimeout, workerIdleTimeout time.Duration, maxConns int) *Pool[M] {
	return &Pool[M]{dial: dial, framer: framer, dialTimeout: dialTimeout, maxConns: maxConns,
		idleTimeout: time.Duration(idleTimeoutShare * float64(workerIdleTimeout))}
}

// SetLimit sets a limit for the connections that are opened from now on. It must be called before
// the first Get.
func (p *Pool[M]) SetLimit(l ConnLimit) { p.limit = l }

// Get returns the most recently used idle connection to addr, or opens one. If the pool is full, the
// connection that has been idle longest is closed.
func (p *Pool[M]) Get(ctx context.Context, addr string) (*PoolConn[M], error) {
	p.mu.Lock()
	if c := p.reuse(addr); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.limit != nil && !p.limit.Acquire(addr) {
		p.mu.Unlock()
		return nil, ErrAddrLimit
	}
	if p.openConns >= p.maxConns {
		if len(p.idle) == 0 {
			p.mu.Unlock()
			p.releaseLimit(addr)
			return nil, ErrPoolFull
		}
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.openConns++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	netConn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		p.releaseLimit(addr)
		return nil, err
	}
	messages := make(chan *M, 4)
	c := &PoolConn[M]{Conn: netConn, Incoming: messages, pool: p, addr: addr, inUse: true, done: make(chan struct{})}
	go c.read(messages)
	return c, nil
}

// reuse takes an idle connection to addr out of the pool, or returns nil. A connection is dropped if
// the worker's close or unrequested bytes have arrived that its reader has not seen yet: a request
// written to it would be lost, yet counted as one that may have run. p.mu is held.
func (p *Pool[M]) reuse(addr string) *PoolConn[M] {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		idleTime := time.Since(c.idleSince)
		if c.addr != addr || idleTime < reuseDelay || idleTime >= p.idleTimeout {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.unsolicited || readable(c.Conn) {
			_ = c.Close()
			continue
		}
		c.inUse = true
		return c
	}
	return nil
}

// releaseLimit returns a connection to the external limit.
func (p *Pool[M]) releaseLimit(addr string) {
	if p.limit != nil {
		p.limit.Release(addr)
	}
}

// Put returns a connection to the pool, or closes it if it cannot be reused.
func (p *Pool[M]) Put(c *PoolConn[M]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unusable := c.ended || c.unsolicited || c.partial || len(c.Incoming) > 0
	if unusable || p.closed || p.limit != nil && p.limit.Excess(c.addr) > 0 {
		_ = c.Close()
		return
	}
	c.inUse, c.idleSince = false, time.Now()
	p.idle = append(p.idle, c)
}

// read passes the worker's messages on until the connection ends, and then removes the connection
// from the pool.
func (c *PoolConn[M]) read(messages chan<- *M) {
	defer close(messages)
	defer func() {
		_ = c.Close()
		p := c.pool
		defer p.releaseLimit(c.addr) // runs after the close above
		p.mu.Lock()
		defer p.mu.Unlock()
		c.ended = true
		p.openConns--
		if i := slices.Index(p.idle, c); i >= 0 {
			p.idle = slices.Delete(p.idle, i, i+1)
		}
	}()
	framer := c.pool.framer()
	_ = ReadMessages(notifyingConn{c.Conn, c.markReceived}, framer, func(m *M) bool {
		c.pool.mu.Lock()
		inUse := c.inUse
		c.partial = framer.Partial()
		c.pool.mu.Unlock()
		if !inUse { // no request is outstanding: a later message could be taken for a response
			return false
		}
		select {
		case messages <- m:
			return true
		case <-c.done:
			return false
		}
	})
}

// markReceived records that bytes have been read. On an idle connection they belong to no response,
// and the connection is closed.
func (c *PoolConn[M]) markReceived() {
	c.pool.mu.Lock()
	c.partial = true
	c.unsolicited = !c.inUse
	unsolicited := c.unsolicited
	c.pool.mu.Unlock()
	if unsolicited {
		_ = c.Close()
	}
}

// notifyingConn is a connection that calls onBytes after each read that returned bytes.
type notifyingConn struct {
	net.Conn
	onBytes func()
}

func (w notifyingConn) Read(buf []byte) (int, error) {
	n, err := w.Conn.Read(buf)
	if n > 0 {
		w.onBytes()
	}
	return n, err
}

// Close closes the connection and stops its reader.
func (c *PoolConn[M]) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// Receive waits for the next message. It returns io.EOF when the connection has ended.
func (c *PoolConn[M]) Receive(ctx context.Context) (*M, error) {
	select {
	case m, ok := <-c.Incoming:
		if !ok {
			return nil, io.EOF
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// CloseIdleExcept closes the idle connections to addresses that are not in listed.
func (p *Pool[M]) CloseIdleExcept(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if !listed[c.addr] {
			_ = c.Close() // its reader removes it from the pool
		}
	}
}

// Sweep closes connections that have been idle for too long or exceed the connection limit, until
// the context ends. Then it closes all idle connections.
func (p *Pool[M]) Sweep(ctx context.Context) {
	interval := max(p.idleTimeout/8, time.Millisecond)
	if p.limit != nil {
		interval = min(interval, limitCheckInterval)
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.mu.Lock()
			p.closed = true
			p.mu.Unlock()
			p.CloseIdleExcept(nil)
			return
		}
		p.mu.Lock()
		excess := map[string]int{}
		for _, c := range p.idle {
			n, known := excess[c.addr]
			if !known && p.limit != nil {
				n = p.limit.Excess(c.addr)
			}
			if n > 0 || time.Since(c.idleSince) >= p.idleTimeout {
				_ = c.Close()
				n--
			}
			excess[c.addr] = n
		}
		p.mu.Unlock()
	}
}
