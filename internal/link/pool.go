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

// idleShare is the share of the time after which a worker closes an idle connection at
// which we close ours: a request that crosses the worker's close ends as a reset.
const idleShare = 0.6

// settleFor is how long a connection rests after an answer before it is used again. A worker that
// repeats an answer does so within some milliseconds; on a connection that carries the next request
// by then, the repeat would pass for that request's answer.
const settleFor = 20 * time.Millisecond

// limitEvery is how often connections beyond a Limit are looked for.
const limitEvery = 100 * time.Millisecond

// ErrPoolFull is Get's answer when all connections that the pool may hold are in use. Nothing
// has been sent then.
var ErrPoolFull = errors.New("too many open connections")

// ErrAddrLimit is Get's answer where the limit at the address leaves no room. Nothing has been sent then.
var ErrAddrLimit = errors.New("no more connections to this address for now")

// ConnLimit bounds the connections at each address by what others decide. Its methods must not block.
type ConnLimit interface {
	Acquire(addr string) bool // asks for one more
	Release(addr string)      // one that was opened has ended
	Excess(addr string) int   // how many more are held than may be: so many idle ones are to be closed
}

// Pool keeps connections to workers, by address. One message exchange at a time travels on
// a connection: Get takes it out of the pool and Put brings it back.
type Pool[M any] struct {
	dial    DialFunc
	framer  func() Framer[M]
	connect time.Duration
	idleFor time.Duration
	most    int
	limit   ConnLimit // nil for none

	mu     sync.Mutex
	idle   []*PoolConn[M] // the longest idle first
	open   int
	closed bool
}

// PoolConn is one connection to a worker. Its reader stays on it while it is idle too, so that
// the worker's close is seen before the next request is written.
type PoolConn[M any] struct {
	net.Conn
	Incoming <-chan *M // what the worker sends; closed at the connection's end

	pool  *Pool[M]
	addr  string
	since time.Time // idle since
	inUse bool      // guarded by Pool.mu, as are ended, unasked and partial
	ended bool
	// unasked tells that bytes came while nothing was asked, and partial that some have come of
	// which no message has been made yet. Either way nobody could tell whose answer the next
	// message is, so the connection is not used again.
	unasked, partial bool
	once             sync.Once
	done             chan struct{}
}

// NewPool returns a pool that opens connections within a time, closes them well before the
// workers do, and holds at most so many.
func NewPool[M any](dial DialFunc, framer func() Framer[M], connect, workersIdle time.Duration, most int) *Pool[M] {
	return &Pool[M]{dial: dial, framer: framer, connect: connect, most: most,
		idleFor: time.Duration(idleShare * float64(workersIdle))}
}

// SetLimit has connections opened from now on within a limit. It is called before the first Get.
func (p *Pool[M]) SetLimit(l ConnLimit) { p.limit = l }

// Get returns an idle connection, the one used last, or opens one. At the limit the
// connection that has been idle longest makes room.
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
	if p.open >= p.most {
		if len(p.idle) == 0 {
			p.mu.Unlock()
			p.gone(addr)
			return nil, ErrPoolFull
		}
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.open++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.connect)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		p.gone(addr)
		return nil, err
	}
	in := make(chan *M, 4)
	c := &PoolConn[M]{Conn: nc, Incoming: in, pool: p, addr: addr, inUse: true, done: make(chan struct{})}
	go c.read(in)
	return c, nil
}

// reuse takes an idle connection out of the pool, or returns nil. One on which its worker's close,
// or bytes that nobody asked for, have come without its reader having run is dead already: a
// request written to it would be lost, though it may count as one that has run. p.mu is held.
func (p *Pool[M]) reuse(addr string) *PoolConn[M] {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		rested := time.Since(c.since)
		if c.addr != addr || rested < settleFor || rested >= p.idleFor {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.unasked || readable(c.Conn) {
			_ = c.Close()
			continue
		}
		c.inUse = true
		return c
	}
	return nil
}

func (p *Pool[M]) gone(addr string) {
	if p.limit != nil {
		p.limit.Release(addr)
	}
}

// Put makes a connection idle again.
func (p *Pool[M]) Put(c *PoolConn[M]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	spoilt := c.ended || c.unasked || c.partial || len(c.Incoming) > 0
	if spoilt || p.closed || p.limit != nil && p.limit.Excess(c.addr) > 0 {
		_ = c.Close()
		return
	}
	c.inUse, c.since = false, time.Now()
	p.idle = append(p.idle, c)
}

func (c *PoolConn[M]) read(in chan<- *M) {
	defer close(in)
	defer func() {
		_ = c.Close()
		p := c.pool
		defer p.gone(c.addr) // the connection has been closed by now
		p.mu.Lock()
		defer p.mu.Unlock()
		c.ended = true
		p.open--
		if i := slices.Index(p.idle, c); i >= 0 {
			p.idle = slices.Delete(p.idle, i, i+1)
		}
	}()
	framer := c.pool.framer()
	_ = ReadMessages(watched{c.Conn, c.arrived}, framer, func(m *M) bool {
		c.pool.mu.Lock()
		wanted := c.inUse
		c.partial = framer.Partial()
		c.pool.mu.Unlock()
		if !wanted { // it answers nothing: whatever follows could be taken for an answer
			return false
		}
		select {
		case in <- m:
			return true
		case <-c.done:
			return false
		}
	})
}

// arrived notes that bytes have come. On an idle connection they begin no answer, and end it.
func (c *PoolConn[M]) arrived() {
	c.pool.mu.Lock()
	c.partial = true
	c.unasked = !c.inUse
	unasked := c.unasked
	c.pool.mu.Unlock()
	if unasked {
		_ = c.Close()
	}
}

// watched is a connection that tells of each read that brought bytes.
type watched struct {
	net.Conn
	arrived func()
}

func (w watched) Read(buf []byte) (int, error) {
	n, err := w.Conn.Read(buf)
	if n > 0 {
		w.arrived()
	}
	return n, err
}

// Close ends the connection.
func (c *PoolConn[M]) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// Receive waits for the next message.
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

// CloseIdleExcept closes idle connections to addresses that are not listed any more.
func (p *Pool[M]) CloseIdleExcept(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if !listed[c.addr] {
			_ = c.Close() // its reader takes it out of the pool
		}
	}
}

// Sweep closes connections that have been idle for long, and all idle ones when the
// context ends.
func (p *Pool[M]) Sweep(ctx context.Context) {
	every := max(p.idleFor/8, time.Millisecond)
	if p.limit != nil {
		every = min(every, limitEvery)
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			p.mu.Lock()
			p.closed = true
			p.mu.Unlock()
			p.CloseIdleExcept(nil)
			return
		}
		p.mu.Lock()
		over := map[string]int{}
		for _, c := range p.idle {
			n, asked := over[c.addr]
			if !asked && p.limit != nil {
				n = p.limit.Excess(c.addr)
			}
			if n > 0 || time.Since(c.since) >= p.idleFor {
				_ = c.Close()
				n--
			}
			over[c.addr] = n
		}
		p.mu.Unlock()
	}
}
