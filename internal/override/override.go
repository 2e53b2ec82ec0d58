// Package override keeps the set of workers that operators have detached: until it is attached
// again, a detached worker is sent no new attempts, whatever discovery reports. The package does no
// I/O; the caller passes the time in and carries the state to a successor process (see Encode).
//
// A Set is safe for concurrent use: the admin server writes to it, and every dispatcher core
// reads it on its own goroutine.
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

// Limits of a Set.
const (
	MaxNameBytes = 256     // longer names are ignored
	MaxListed    = 1 << 14 // names remembered as listed; beyond it those listed longest ago are forgotten
	MaxDetached  = 1024    // workers detached at once
)

// Errors returned by Detach and Attach.
var (
	ErrUnknownWorker   = errors.New("no worker of this id was ever listed")
	ErrTooManyDetached = errors.New("too many workers out by hand")
)

// Set is the set of detached workers, with the names of the workers that discovery has listed.
type Set struct {
	mu          sync.Mutex
	detached    map[string]time.Time // when each was detached, on the caller's clock
	listed      map[string]time.Time // when each was last listed
	generation  atomic.Uint64        // incremented by every change of detached
	subscribers []chan struct{}
}

// New returns an empty set.
func New() *Set { return &Set{detached: map[string]time.Time{}, listed: map[string]time.Time{}} }

// Generation returns the generation of the set, which grows with every change made here or adopted.
// It does not lock the set.
func (set *Set) Generation() uint64 { return set.generation.Load() }

// Subscribe returns a channel that receives a signal after each change, unless one is pending.
func (set *Set) Subscribe() <-chan struct{} {
	set.mu.Lock()
	defer set.mu.Unlock()
	ch := make(chan struct{}, 1)
	set.subscribers = append(set.subscribers, ch)
	return ch
}

// RecordListed records names that discovery lists now. A worker that was never listed can be
// neither detached nor attached.
func (set *Set) RecordListed(now time.Time, names ...string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, n := range names {
		if len(n) <= MaxNameBytes {
			set.listed[n] = now
		}
	}
	if len(set.listed) > MaxListed { // forget the names listed longest ago, except detached workers
		type listing struct {
			name string
			at   time.Time
		}
		all := make([]listing, 0, len(set.listed))
		for n, at := range set.listed {
			all = append(all, listing{n, at})
		}
		slices.SortFunc(all, func(x, y listing) int { return x.at.Compare(y.at) })
		for _, entry := range all[:len(all)-MaxListed*3/4] {
			if _, detached := set.detached[entry.name]; !detached {
				delete(set.listed, entry.name)
			}
		}
	}
}

// Detach detaches a worker. It changes nothing if the worker is detached already. It fails for
// a name that was never listed, and if MaxDetached workers are detached.
func (set *Set) Detach(now time.Time, name string) (gen uint64, err error) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if _, ok := set.listed[name]; !ok {
		return set.generation.Load(), ErrUnknownWorker
	}
	if _, ok := set.detached[name]; ok {
		return set.generation.Load(), nil
	}
	if len(set.detached) >= MaxDetached {
		return set.generation.Load(), ErrTooManyDetached
	}
	set.detached[name] = now
	return set.recordChange(), nil
}

// Attach attaches a detached worker again. For a listed worker that is not detached it changes
// nothing.
func (set *Set) Attach(name string) (gen uint64, err error) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if _, ok := set.listed[name]; !ok {
		if _, detached := set.detached[name]; !detached {
			return set.generation.Load(), ErrUnknownWorker
		}
	}
	if _, ok := set.detached[name]; !ok {
		return set.generation.Load(), nil
	}
	delete(set.detached, name)
	return set.recordChange(), nil
}

// recordChange increments the generation and notifies the subscribers.
func (set *Set) recordChange() uint64 {
	gen := set.generation.Add(1)
	for _, ch := range set.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
	return gen
}

// IsDetached reports whether a worker is detached.
func (set *Set) IsDetached(name string) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	_, ok := set.detached[name]
	return ok
}

// State is the part of a Set that a successor process takes over.
type State struct {
	Generation uint64
	Detached   []string // names of the detached workers, sorted
}

// State returns the state of the set.
func (set *Set) State() State {
	set.mu.Lock()
	defer set.mu.Unlock()
	state := State{Generation: set.generation.Load(), Detached: make([]string, 0, len(set.detached))}
	for n := range set.detached {
		state.Detached = append(state.Detached, n)
	}
	slices.Sort(state.Detached)
	return state
}

// Adopt replaces the set by another process's state if that has a higher generation, and reports
// whether it did. The names in the state count as listed.
func (set *Set) Adopt(now time.Time, state State) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if state.Generation <= set.generation.Load() {
		return false
	}
	unchanged := len(state.Detached) == len(set.detached)
	detached := make(map[string]time.Time, len(state.Detached))
	for _, n := range state.Detached[:min(len(state.Detached), MaxDetached)] {
		since, known := set.detached[n]
		if !known {
			since, unchanged = now, false
		}
		detached[n] = since
		set.listed[n] = now
	}
	set.detached = detached
	set.generation.Store(state.Generation)
	if !unchanged {
		for _, ch := range set.subscribers {
			select {
			case ch <- struct{}{}:
			default:
			}
		}
	}
	return true
}

// magic begins an encoded state. The generation (8 bytes), the number of names (4 bytes) and each
// name with its length (2 bytes) follow, then a CRC-32 (Castagnoli) of everything before it.
// Integers are big-endian.
const magic = "tinroute-hand/1\n"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the binary encoding of a state.
func Encode(state State) []byte {
	data := append([]byte(magic), make([]byte, 12)...)
	binary.BigEndian.PutUint64(data[len(magic):], state.Generation)
	binary.BigEndian.PutUint32(data[len(magic)+8:], uint32(len(state.Detached)))
	for _, n := range state.Detached {
		data = binary.BigEndian.AppendUint16(data, uint16(len(n)))
		data = append(data, n...)
	}
	return binary.BigEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
}

// Decode decodes a state encoded by Encode. It returns an error for truncated, damaged or foreign
// data.
func Decode(data []byte) (State, error) {
	var state State
	if len(data) < len(magic)+12+4 || string(data[:len(magic)]) != magic {
		return state, errors.New("not a list of detached workers")
	}
	body, sum := data[:len(data)-4], binary.BigEndian.Uint32(data[len(data)-4:])
	if crc32.Checksum(body, castagnoli) != sum {
		return state, errors.New("checksum mismatch: the data is truncated or damaged")
	}
	state.Generation = binary.BigEndian.Uint64(body[len(magic):])
	n := int(binary.BigEndian.Uint32(body[len(magic)+8:]))
	rest := body[len(magic)+12:]
	if n > MaxDetached {
		return State{}, errors.New("too many names")
	}
	for range n {
		if len(rest) < 2 {
			return State{}, errors.New("truncated list of names")
		}
		size := int(binary.BigEndian.Uint16(rest))
		if size == 0 || size > MaxNameBytes || len(rest) < 2+size {
			return State{}, errors.New("name is empty, too long or truncated")
		}
		state.Detached = append(state.Detached, strings.Clone(string(rest[2:2+size])))
		rest = rest[2+size:]
	}
	if len(rest) != 0 {
		return State{}, errors.New("unexpected bytes after the last name")
	}
	return state, nil
}
