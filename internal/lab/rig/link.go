package rig

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is what one direction of a link does to what is sent over it.
type Way struct {
	Delay, Jitter time.Duration // each piece is late by Delay and up to Jitter more
	Silent        bool          // nothing comes through, and the sender is not told
	Trickle       int           // bytes at a time, each with its own delay; 0 for all
}

// Link carries connections to one address, each direction with its own faults.
type Link struct {
	l      net.Listener
	target string
	done   sync.WaitGroup

	mu          sync.Mutex
	change      *sync.Cond
	forth, back Way
	refused     bool
	closed      bool
	conns       map[net.Conn]bool
}

// NewLink listens on loopback and carries what comes to the target.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{l: l, target: target, conns: map[net.Conn]bool{}}
	k.change = sync.NewCond(&k.mu)
	k.done.Go(k.serve)
	return k, nil
}

// Addr is where the link is entered.
func (k *Link) Addr() string { return k.l.Addr().String() }

// Set changes both directions, for open connections too: what was held back by silence goes on when it
// ends.
func (k *Link) Set(forth, back Way) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forth, k.back = forth, back
	k.change.Broadcast()
}

// Refuse has new connections closed at once, while on; open ones are reset when it begins.
func (k *Link) Refuse(on bool) {
	k.mu.Lock()
	k.refused = on
	k.mu.Unlock()
	if on {
		k.Reset()
	}
}

// Reset breaks the open connections.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(k.conns)
	k.change.Broadcast()
}

// Close ends the link and all that it carries.
func (k *Link) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	_ = k.l.Close()
	k.Reset()
	k.done.Wait()
}

func (k *Link) serve() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		refused := k.refused || k.closed
		k.mu.Unlock()
		if refused {
			_ = c.Close()
			continue
		}
		k.done.Go(func() { k.carry(c) })
	}
}

func (k *Link) carry(c net.Conn) {
	d, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil { // nobody there: as a machine that refuses
		_ = c.Close()
		return
	}
	k.mu.Lock()
	if k.closed || k.refused {
		k.mu.Unlock()
		_, _ = c.Close(), d.Close()
		return
	}
	k.conns[c], k.conns[d] = true, true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.pump(d, c, &k.forth) })
	both.Go(func() { k.pump(c, d, &k.back) })
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, d)
	k.mu.Unlock()
}

// pump carries one direction, piece by piece, until either end is over; then both are.
func (k *Link) pump(to, from net.Conn, way *Way) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 16<<10)
	for {
		k.mu.Lock()
		size := len(buf)
		if way.Trickle > 0 {
			size = way.Trickle
		}
		k.mu.Unlock()
		n, err := from.Read(buf[:size])
		k.mu.Lock()
		for way.Silent && !k.closed && k.conns[from] {
			k.change.Wait()
		}
		wait := way.Delay
		if way.Jitter > 0 {
			wait += time.Duration(rand.Int64N(int64(way.Jitter))) // #nosec
		}
		k.mu.Unlock()
		time.Sleep(wait)
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
