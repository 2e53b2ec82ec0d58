package rig

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Impairment describes how one direction of a link disturbs the data sent over it.
type Impairment struct {
	Delay, Jitter time.Duration // each read is forwarded after Delay plus a random time below Jitter
	Silent        bool          // nothing is forwarded, and the sender gets no error
	Trickle       int           // bytes per read; 0 for no limit
}

// Link is a TCP proxy to one address that can impair each direction separately.
type Link struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu                   sync.Mutex
	changed              *sync.Cond
	toTarget, fromTarget Impairment
	refusing             bool
	closed               bool
	conns                map[net.Conn]bool
}

// NewLink returns a link that listens on a loopback port and forwards connections to the target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, conns: map[net.Conn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	l.wg.Go(l.acceptLoop)
	return l, nil
}

// Addr returns the address at which the link listens.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Impair sets the impairments of both directions, also for open connections. Data held back by a silent direction is
// forwarded once it is no longer silent.
func (l *Link) Impair(toTarget, fromTarget Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toTarget, l.fromTarget = toTarget, fromTarget
	l.changed.Broadcast()
}

// SetRefusing sets whether the link closes new connections at once. Turning it on also resets the open ones.
func (l *Link) SetRefusing(on bool) {
	l.mu.Lock()
	l.refusing = on
	l.mu.Unlock()
	if on {
		l.Reset()
	}
}

// Reset resets the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(l.conns)
	l.changed.Broadcast()
}

// Close closes the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.Reset()
	l.wg.Wait()
}

func (l *Link) acceptLoop() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		refused := l.refusing || l.closed
		l.mu.Unlock()
		if refused {
			_ = c.Close()
			continue
		}
		l.wg.Go(func() { l.proxy(c) })
	}
}

func (l *Link) proxy(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil { // the target is not running
		_ = client.Close()
		return
	}
	l.mu.Lock()
	if l.closed || l.refusing {
		l.mu.Unlock()
		_, _ = client.Close(), server.Close()
		return
	}
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.relay(server, client, &l.toTarget) })
	both.Go(func() { l.relay(client, server, &l.fromTarget) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

// relay forwards one direction until either end closes or fails, and then closes both ends.
func (l *Link) relay(to, from net.Conn, impairment *Impairment) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 16<<10)
	for {
		l.mu.Lock()
		size := len(buf)
		if impairment.Trickle > 0 {
			size = impairment.Trickle
		}
		l.mu.Unlock()
		n, err := from.Read(buf[:size])
		l.mu.Lock()
		for impairment.Silent && !l.closed && l.conns[from] {
			l.changed.Wait()
		}
		delay := impairment.Delay
		if impairment.Jitter > 0 {
			delay += time.Duration(rand.Int64N(int64(impairment.Jitter))) // #nosec
		}
		l.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
