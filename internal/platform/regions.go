package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

const (
	// A region closes what has been idle for conn_idle_s, and a request that crosses the
	// close ends as a reset: ours are closed at this share of that time.
	idleShare = 0.6
	// A cancel that comes between a request's last byte and its 202 waits this long for
	// the 202, then closes the connection: were it closed at once, a region that had just
	// sent its 202 would go on with a job that no one waits for.
	takenWait = 60 * time.Millisecond
	// How long a DELETE may take, its connection included.
	deleteWait = 2 * time.Second
	writeWait  = 5 * time.Second
)

// Dial opens a connection; net.Dialer.DialContext is one.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Regions carries routed tasks to regions over HTTP. It implements dispatch.Regions.
type Regions struct {
	core    *dispatch.Core
	log     *slog.Logger
	dial    Dial
	connect time.Duration
	idleFor time.Duration
	most    int // connections at once

	mu      sync.Mutex
	regions map[string]*region // by address
	calls   map[callKey]*call  // by what call-backs name
	tasks   map[*dispatch.Task]*call
	conns   int
	closed  bool
}

type region struct {
	addr string
	idle []*conn // used last at the end
}

type callKey struct{ id, from string }

// call is a routed task on its way: what the driver holds of it.
type call struct {
	task   *dispatch.Task
	cancel context.CancelFunc // of the dialling
	conn   *conn              // while the request travels on it
	wrote  bool               // the last byte has been written
	taken  bool               // the 202 has come
	gaveUp bool
}

// conn is one connection to a region. It carries one request at a time.
type conn struct {
	net.Conn
	region *region
	framer *Framer
	since  time.Time    // idle since
	answer chan *answer // one for each request
	busy   bool         // guarded by Regions.mu
}

type answer struct {
	response *http.Response
	err      error
}

// NewRegions returns a pool that holds at most so many connections.
func NewRegions(core *dispatch.Core, log *slog.Logger, dial Dial, most int) *Regions {
	s := core.Settings()
	return &Regions{core: core, log: log, dial: dial, connect: s.ConnectTimeout, most: most,
		idleFor: time.Duration(idleShare * float64(s.ConnIdle)), regions: map[string]*region{},
		calls: map[callKey]*call{}, tasks: map[*dispatch.Task]*call{}}
}

// Start carries a routed task to its region.
func (p *Regions) Start(t *dispatch.Task) {
	ctx, cancel := context.WithTimeout(context.Background(), p.connect)
	c := &call{task: t, cancel: cancel}
	p.mu.Lock()
	p.calls[callKey{t.Transaction.ID, t.Region.Name}] = c
	p.tasks[t] = c
	p.mu.Unlock()
	go p.carry(ctx, c)
}

// carry takes one routed task to its region. What it reports follows the protocol's
// table: nothing ran if the connection never came up or broke before the last byte was
// written; after that, it may have.
func (p *Regions) carry(ctx context.Context, c *call) {
	defer c.cancel()
	q := c.task.Transaction.Payload.(*request)
	cn, err := p.get(ctx, c.task.Region.Addr)
	p.mu.Lock()
	gaveUp := c.gaveUp
	c.conn = cn
	p.mu.Unlock()
	switch {
	case gaveUp:
		if err == nil {
			p.put(cn)
		}
		p.end(c, balance.StatusMoot, nil)
		return
	case err != nil:
		p.log.Info("region unreachable", "region", c.task.Region.Name, "id", c.task.Transaction.ID, "err", err)
		p.end(c, balance.StatusUnreachable, nil)
		return
	}
	data := q.encode(c.task.Wait)
	cn.framer.Expect(q.method)
	_ = cn.SetWriteDeadline(time.Now().Add(writeWait))
	// A write cut short proves that the region never had the whole request.
	if n, err := cn.Write(data); n < len(data) {
		p.drop(cn)
		p.log.Info("request cut short", "region", c.task.Region.Name, "id", c.task.Transaction.ID, "err", err)
		p.end(c, balance.StatusUnreachable, nil)
		return
	}
	p.mu.Lock()
	c.wrote = true
	p.mu.Unlock()
	a := <-cn.answer
	p.mu.Lock()
	c.conn = nil
	gaveUp = c.gaveUp
	p.mu.Unlock()
	if a.err != nil {
		if gaveUp {
			p.end(c, balance.StatusCancelled, nil)
			return
		}
		p.log.Info("region reset", "region", c.task.Region.Name, "id", c.task.Transaction.ID, "err", a.err)
		p.end(c, balance.StatusReset, nil)
		return
	}
	p.put(cn)
	switch code := a.response.StatusCode; {
	case code == http.StatusAccepted:
		p.mu.Lock()
		c.taken = true
		gaveUp = c.gaveUp
		p.mu.Unlock()
		if gaveUp {
			p.delete(c)
		}
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		a.response.Header.Get(headerDeclined) == "1":
		p.end(c, balance.StatusFull, nil)
	default:
		p.log.Warn("region answered", "status", code, "region", c.task.Region.Name, "id", c.task.Transaction.ID)
		p.end(c, balance.StatusError, nil)
	}
}

// end reports what became of a routed task and forgets it.
func (p *Regions) end(c *call, s balance.Status, result []byte) {
	p.mu.Lock()
	p.forget(c)
	p.mu.Unlock()
	p.core.Ended(c.task, s, result)
}

func (p *Regions) forget(c *call) {
	key := callKey{c.task.Transaction.ID, c.task.Region.Name}
	if p.calls[key] == c {
		delete(p.calls, key)
	}
	delete(p.tasks, c.task)
}

// Cancel gives a routed task up: before the 202 by closing its connection, after it by a
// DELETE.
func (p *Regions) Cancel(t *dispatch.Task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.tasks[t]
	if c == nil || c.gaveUp {
		return
	}
	c.gaveUp = true
	switch {
	case c.taken:
		go p.delete(c)
	case c.conn == nil:
		c.cancel()
	default:
		time.AfterFunc(takenWait, func() {
			p.mu.Lock()
			cn := c.conn
			p.mu.Unlock()
			if cn != nil {
				p.drop(cn)
			}
		})
	}
}

// delete tells a region that has taken a task to give it up.
func (p *Regions) delete(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), deleteWait)
	defer cancel()
	err := p.exchange(ctx, c.task.Region.Addr, []byte("DELETE "+pathJobs+c.task.Transaction.ID+
		" HTTP/1.1\r\nHost: "+c.task.Region.Addr+"\r\nContent-Length: 0\r\n\r\n"))
	if errors.Is(err, context.DeadlineExceeded) {
		// It may still have the task, so nothing is settled; the core keeps other tasks of
		// the transaction from it.
		p.log.Info("cancel unanswered", "region", c.task.Region.Name, "id", c.task.Transaction.ID)
		p.mu.Lock()
		p.forget(c)
		p.mu.Unlock()
		return
	}
	p.end(c, balance.StatusCancelled, nil)
}

// exchange sends a request whose answer says nothing but that it was read.
func (p *Regions) exchange(ctx context.Context, addr string, data []byte) error {
	cn, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	cn.framer.Expect(http.MethodDelete)
	_ = cn.SetWriteDeadline(time.Now().Add(writeWait))
	if _, err := cn.Write(data); err != nil {
		p.drop(cn)
		return err
	}
	select {
	case a := <-cn.answer:
		if a.err == nil {
			p.put(cn)
		}
		return a.err
	case <-ctx.Done():
		p.drop(cn)
		return ctx.Err()
	}
}

// Event takes a region's call-back. One that matches no live task is late or repeated.
func (p *Regions) Event(id, from, state string, share float64, result []byte) {
	p.mu.Lock()
	c := p.calls[callKey{id, from}]
	p.mu.Unlock()
	if c == nil {
		return
	}
	switch state {
	case "started":
		p.core.Started(c.task)
	case "running":
		p.core.Progress(c.task, share)
	case "done":
		p.end(c, balance.StatusOK, result)
	case "failed":
		p.end(c, balance.StatusError, nil)
	case "returned":
		p.end(c, balance.StatusFull, nil)
	case "lost":
		p.end(c, balance.StatusReset, nil)
	}
}

// Listed closes idle connections to regions that are gone.
func (p *Regions) Listed(list []dispatch.Region) {
	there := map[string]bool{}
	for _, r := range list {
		there[r.Addr] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, r := range p.regions {
		if !there[addr] {
			for _, cn := range r.idle {
				_ = cn.Close()
			}
		}
	}
}

// get returns an idle connection, or opens one within the settings' time. At the limit an
// idle connection elsewhere makes room; where none is idle the region counts as
// unreachable, which proves that nothing was sent.
func (p *Regions) get(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	r := p.regions[addr]
	if r == nil {
		r = &region{addr: addr}
		p.regions[addr] = r
	}
	for len(r.idle) > 0 {
		cn := r.idle[len(r.idle)-1]
		r.idle = r.idle[:len(r.idle)-1]
		if time.Since(cn.since) < p.idleFor {
			cn.busy = true
			p.mu.Unlock()
			return cn, nil
		}
		_ = cn.Close()
	}
	if p.conns >= p.most && !p.makeRoom() {
		p.mu.Unlock()
		return nil, errors.New("too many open connections")
	}
	p.conns++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.connect)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.conns--
		p.mu.Unlock()
		return nil, err
	}
	cn := &conn{Conn: nc, region: r, framer: NewResponseFramer(), answer: make(chan *answer, 1), busy: true}
	go p.read(cn)
	return cn, nil
}

// makeRoom closes the connection that has been idle longest.
func (p *Regions) makeRoom() bool {
	var oldest *conn
	for _, r := range p.regions {
		if len(r.idle) > 0 && (oldest == nil || r.idle[0].since.Before(oldest.since)) {
			oldest = r.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.region.remove(oldest)
	_ = oldest.Close()
	return true
}

func (r *region) remove(cn *conn) {
	for i, x := range r.idle {
		if x == cn {
			r.idle = append(r.idle[:i], r.idle[i+1:]...)
			return
		}
	}
}

// put makes a connection idle, unless its reader has seen its end.
func (p *Regions) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !cn.busy { // its reader has ended
		return
	}
	if p.closed {
		_ = cn.Close()
	}
	cn.busy, cn.since = false, time.Now()
	cn.region.idle = append(cn.region.idle, cn)
}

func (p *Regions) drop(cn *conn) { _ = cn.Close() }

// read is a connection's reader, from its first byte to its end. It stays on idle
// connections too, so that a close by the region is seen before the next request is
// written to it.
func (p *Regions) read(cn *conn) {
	defer func() {
		_ = cn.Close()
		p.mu.Lock()
		p.conns--
		cn.region.remove(cn)
		cn.busy = false
		p.mu.Unlock()
	}()
	buf := make([]byte, 4<<10)
	for {
		n, err := cn.Read(buf)
		cn.framer.Feed(buf[:n])
		for {
			m, bad := cn.framer.Next()
			if m == nil && bad == nil && err != nil {
				if m, bad = cn.framer.End(); m == nil && bad == nil {
					bad = io.EOF
				}
			}
			if bad != nil {
				cn.tell(&answer{err: bad})
				return
			}
			if m == nil {
				break
			}
			if m.Response.StatusCode/100 == 1 {
				continue
			}
			p.mu.Lock()
			busy := cn.busy
			if m.Close {
				cn.busy = false
			}
			p.mu.Unlock()
			if !busy { // no request is out: it answers nothing
				return
			}
			cn.tell(&answer{response: m.Response})
			if m.Close {
				return
			}
		}
	}
}

// tell hands an answer to whoever waits. The reader of a connection that breaks twice over
// must not wait for one who is gone.
func (cn *conn) tell(a *answer) {
	select {
	case cn.answer <- a:
	default:
	}
}

// Sweep closes connections that have been idle for long, until the context ends.
func (p *Regions) Sweep(ctx context.Context) {
	tick := time.NewTicker(p.idleFor / 8)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			p.mu.Lock()
			p.closed = true
			for _, r := range p.regions {
				for _, cn := range r.idle {
					_ = cn.Close()
				}
			}
			p.mu.Unlock()
			return
		}
		p.mu.Lock()
		for _, r := range p.regions {
			for _, cn := range r.idle {
				if time.Since(cn.since) >= p.idleFor {
					_ = cn.Close()
				}
			}
		}
		p.mu.Unlock()
	}
}
