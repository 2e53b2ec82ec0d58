// Package override keeps the workers that operators have taken out by hand: from the word until
// the call back nothing new goes to them, whatever discovery says. It decides and
// remembers, and does no I/O; the caller hands it the time and carries its state to a
// successor process (see Encode).
//
// A Set is safe for concurrent use: the operators' door writes to it, and every core reads
// it on its own goroutine.
package override

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds. A name longer than MaxNameBytes is no worker's; MaxListed names are remembered as
// listed, the longest unlisted ones forgotten beyond that; MaxDetached workers can be out at once.
const (
	MaxNameBytes = 256
	MaxListed    = 1 << 14
	MaxDetached  = 1024
)

// Errors of Detach and Attach.
var (
	ErrUnknownWorker   = errors.New("no worker of this id was ever listed")
	ErrTooManyDetached = errors.New("too many workers out by hand")
)

// Set is the set of workers out by hand, with the names that were ever listed.
type Set struct {
	mu     sync.Mutex
	out    map[string]time.Time // since when, on the handed clock
	listed map[string]time.Time // last listed
	gen    atomic.Uint64        // bumped by every change of out
	subs   []chan struct{}
}

// New returns an empty book.
func New() *Set { return &Set{out: map[string]time.Time{}, listed: map[string]time.Time{}} }

// Generation is the generation of the set: it grows with every change, here or adopted. Any goroutine
// may ask it, cheaply.
func (b *Set) Generation() uint64 { return b.gen.Load() }

// Subscribe returns a channel that is given a signal, without blocking, after each change.
func (b *Set) Subscribe() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := make(chan struct{}, 1)
	b.subs = append(b.subs, ch)
	return ch
}

// RecordListed notes names that a discovery lists now. An id never listed cannot be taken out or
// back.
func (b *Set) RecordListed(now time.Time, names ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		if len(n) <= MaxNameBytes {
			b.listed[n] = now
		}
	}
	if len(b.listed) > MaxListed { // forget the names listed longest ago, but not those out
		type seen struct {
			name string
			at   time.Time
		}
		all := make([]seen, 0, len(b.listed))
		for n, at := range b.listed {
			all = append(all, seen{n, at})
		}
		slices.SortFunc(all, func(x, y seen) int { return x.at.Compare(y.at) })
		for _, s := range all[:len(all)-MaxListed*3/4] {
			if _, out := b.out[s.name]; !out {
				delete(b.listed, s.name)
			}
		}
	}
}

// Detach takes a worker out from now on. Repeating it changes nothing. It fails for a name
// that was never listed, and when MaxOut are out.
func (b *Set) Detach(now time.Time, name string) (gen uint64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.listed[name]; !ok {
		return b.gen.Load(), ErrUnknownWorker
	}
	if _, ok := b.out[name]; ok {
		return b.gen.Load(), nil
	}
	if len(b.out) >= MaxDetached {
		return b.gen.Load(), ErrTooManyDetached
	}
	b.out[name] = now
	return b.changed(), nil
}

// Attach ends a worker's ban. For a listed worker that is not out it changes nothing.
func (b *Set) Attach(name string) (gen uint64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.listed[name]; !ok {
		if _, out := b.out[name]; !out {
			return b.gen.Load(), ErrUnknownWorker
		}
	}
	if _, ok := b.out[name]; !ok {
		return b.gen.Load(), nil
	}
	delete(b.out, name)
	return b.changed(), nil
}

func (b *Set) changed() uint64 {
	g := b.gen.Add(1)
	for _, ch := range b.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
	return g
}

// IsDetached tells whether a worker is out by hand.
func (b *Set) IsDetached(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.out[name]
	return ok
}

// State is what a successor needs: the names out, in order, and the generation they are of.
type State struct {
	Generation uint64
	Detached   []string
}

// State returns the book's state.
func (b *Set) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Generation: b.gen.Load(), Detached: make([]string, 0, len(b.out))}
	for n := range b.out {
		s.Detached = append(s.Detached, n)
	}
	slices.Sort(s.Detached)
	return s
}

// Adopt takes another process's state where it is newer than the book's own, and tells
// whether it did. The names in it count as listed.
func (b *Set) Adopt(now time.Time, s State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Generation <= b.gen.Load() {
		return false
	}
	same := len(s.Detached) == len(b.out)
	out := make(map[string]time.Time, len(s.Detached))
	for _, n := range s.Detached[:min(len(s.Detached), MaxDetached)] {
		at, was := b.out[n]
		if !was {
			at, same = now, false
		}
		out[n] = at
		b.listed[n] = now
	}
	b.out = out
	b.gen.Store(s.Generation)
	if !same {
		for _, ch := range b.subs {
			select {
			case ch <- struct{}{}:
			default:
			}
		}
	}
	return true
}

// The form of an encoded state: magic, generation, count, then each name as a length and its
// bytes, and a CRC-32 (Castagnoli) of all before it.
const magic = "tinroute-hand/1\n"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode writes a state down for a successor.
func Encode(s State) []byte {
	b := append([]byte(magic), make([]byte, 12)...)
	binary.BigEndian.PutUint64(b[len(magic):], s.Generation)
	binary.BigEndian.PutUint32(b[len(magic)+8:], uint32(len(s.Detached)))
	for _, n := range s.Detached {
		b = binary.BigEndian.AppendUint16(b, uint16(len(n)))
		b = append(b, n...)
	}
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// Decode reads what Encode wrote. A torn, damaged or foreign text is an error.
func Decode(b []byte) (State, error) {
	var s State
	if len(b) < len(magic)+12+4 || string(b[:len(magic)]) != magic {
		return s, errors.New("not a state of hand bans")
	}
	body, sum := b[:len(b)-4], binary.BigEndian.Uint32(b[len(b)-4:])
	if crc32.Checksum(body, castagnoli) != sum {
		return s, errors.New("checksum does not match: torn or damaged")
	}
	s.Generation = binary.BigEndian.Uint64(body[len(magic):])
	n := int(binary.BigEndian.Uint32(body[len(magic)+8:]))
	rest := body[len(magic)+12:]
	if n > MaxDetached {
		return State{}, errors.New("more names than a book holds")
	}
	for range n {
		if len(rest) < 2 {
			return State{}, errors.New("cut short")
		}
		l := int(binary.BigEndian.Uint16(rest))
		if l == 0 || l > MaxNameBytes || len(rest) < 2+l {
			return State{}, errors.New("a name out of bounds")
		}
		s.Detached = append(s.Detached, strings.Clone(string(rest[2:2+l])))
		rest = rest[2+l:]
	}
	if len(rest) != 0 {
		return State{}, errors.New("bytes after the last name")
	}
	return s, nil
}
