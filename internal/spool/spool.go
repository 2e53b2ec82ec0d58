// Package spool keeps batches on disk until they are acknowledged: in order, in segment files of
// bounded size and number, the oldest dropped first. It survives the end of the process, however
// it ends; a record that was cut short is dropped, and one whose checksum does not match with what
// follows it in its segment.
//
// A segment is records, each
//
//	length(4, big-endian) crc32c(4, of kind and body) kind(1) body
//
// and the file "ack" holds, twice in turn, the place up to which all is acknowledged.
package spool

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const (
	head      = 9
	maxRecord = 16 << 20
	suffix    = ".seg"
	ackSlot   = 32
)

var (
	table = crc32.MakeTable(crc32.Castagnoli)
	order = binary.BigEndian
	// ErrTooLarge is Append's answer to a record that no segment can hold.
	ErrTooLarge = errors.New("record over the spool's bound")
)

// Options of a spool.
type Options struct {
	Dir     string
	Bytes   int64 // on disk at most
	Segment int64 // a segment's size; an eighth of Bytes where 0
}

// Stats of a spool.
type Stats struct {
	Records, Bytes   int64 // that wait
	Dropped, Damaged int64 // records that gave way to newer ones; stretches that could not be read
}

// Spool is an open spool. It is safe for concurrent use.
type Spool struct {
	o        Options
	mu       sync.Mutex
	segments []segment // oldest first; the last is written to
	out      *os.File
	in       *os.File
	inAt     place
	acked    place
	ack      *os.File
	acks     uint64
	stats    Stats
}

type segment struct {
	n, size int64
	records int64
}

// place is a record's start: a segment's number and an offset in it.
type place struct{ segment, offset int64 }

func (p place) before(q place) bool {
	return p.segment < q.segment || p.segment == q.segment && p.offset < q.offset
}

// Open opens the spool in a directory, which it makes.
func Open(o Options) (*Spool, error) {
	if o.Segment <= 0 {
		o.Segment = max(4<<10, o.Bytes/8)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	s := &Spool{o: o}
	var err error
	if s.ack, err = os.OpenFile(filepath.Join(o.Dir, "ack"), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, err
	}
	s.readAck()
	names, err := filepath.Glob(filepath.Join(o.Dir, "*"+suffix))
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		n, err := strconv.ParseInt(strings.TrimSuffix(filepath.Base(name), suffix), 10, 64)
		if err != nil {
			continue
		}
		if n < s.acked.segment {
			_ = os.Remove(name)
			continue
		}
		s.segments = append(s.segments, segment{n: n})
	}
	slices.SortFunc(s.segments, func(a, b segment) int { return int(a.n - b.n) })
	for i := range s.segments {
		if err := s.survey(&s.segments[i]); err != nil {
			return nil, err
		}
	}
	s.segments = slices.DeleteFunc(s.segments, func(g segment) bool { // each start leaves one at least
		return g.size == 0 && os.Remove(s.path(g.n)) == nil
	})
	next := s.acked.segment + 1
	if len(s.segments) > 0 {
		next = max(next, s.segments[len(s.segments)-1].n+1)
		if first := s.segments[0].n; s.acked.segment < first {
			s.acked = place{first, 0}
		}
	} else {
		s.acked = place{next, 0}
	}
	return s, s.begin(next) // what a crash cut short is never written behind
}

func (s *Spool) path(n int64) string {
	return filepath.Join(s.o.Dir, fmt.Sprintf("%016d%s", n, suffix))
}

// survey counts a segment's records, up to the first that cannot be read.
func (s *Spool) survey(g *segment) error {
	f, err := os.Open(s.path(g.n))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	for {
		_, body, err := read(f, g.size)
		if err != nil {
			if err != io.EOF {
				s.stats.Damaged++
			}
			return nil
		}
		if at := (place{g.n, g.size}); !at.before(s.acked) {
			s.stats.Records++
			s.stats.Bytes += int64(head + len(body))
			g.records++
		}
		g.size += int64(head + len(body))
	}
}

func (s *Spool) begin(n int64) error {
	f, err := os.OpenFile(s.path(n), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if s.out != nil {
		_ = s.out.Close()
	}
	s.out = f
	s.segments = append(s.segments, segment{n: n})
	return nil
}

// read reads the record at an offset. io.EOF tells that there is none, another error that it is
// cut short or damaged.
func read(f io.ReaderAt, at int64) (kind byte, body []byte, err error) {
	var h [head]byte
	if n, err := f.ReadAt(h[:], at); n < head {
		if n == 0 && err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, io.ErrUnexpectedEOF
	}
	size := order.Uint32(h[:])
	if size > maxRecord {
		return 0, nil, errors.New("length is wrong")
	}
	b := make([]byte, 1+size)
	b[0] = h[8]
	if n, _ := f.ReadAt(b[1:], at+head); n < int(size) {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(b, table) != order.Uint32(h[4:]) {
		return 0, nil, errors.New("checksum does not match")
	}
	return b[0], b[1:], nil
}

// Append adds a record at the end. Where the bound is met the oldest segment gives way.
func (s *Spool) Append(kind byte, body []byte) error {
	size := int64(head + len(body))
	if size > s.o.Segment || size > maxRecord {
		return ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := &s.segments[len(s.segments)-1]
	if last.size+size > s.o.Segment {
		if err := s.begin(last.n + 1); err != nil {
			return err
		}
		last = &s.segments[len(s.segments)-1]
	}
	for total := s.total() + size; total > s.o.Bytes && len(s.segments) > 1; total = s.total() + size {
		s.drop()
		last = &s.segments[len(s.segments)-1]
	}
	b := make([]byte, head, size)
	order.PutUint32(b, uint32(len(body)))
	b[8] = kind
	b = append(b, body...)
	order.PutUint32(b[4:], crc32.Checksum(b[8:], table))
	if _, err := s.out.WriteAt(b, last.size); err != nil { // what is half there is written over, or surveyed as cut short
		return err
	}
	last.size += size
	last.records++
	s.stats.Records++
	s.stats.Bytes += size
	return nil
}

func (s *Spool) total() (n int64) {
	for _, g := range s.segments {
		n += g.size
	}
	return n
}

// drop gives up the oldest segment. s.mu is held.
func (s *Spool) drop() {
	g := s.segments[0]
	s.segments = s.segments[1:]
	s.stats.Dropped += g.records
	s.stats.Records -= g.records
	if s.inAt.segment == g.n && s.in != nil {
		_ = s.in.Close()
		s.in = nil
	}
	_ = os.Remove(s.path(g.n))
	if s.acked.segment <= g.n {
		s.acked = place{s.segments[0].n, 0}
	}
	s.stats.Bytes = 0
	for _, g := range s.segments {
		s.stats.Bytes += g.size
	}
	if s.segments[0].n == s.acked.segment {
		s.stats.Bytes -= s.acked.offset
	}
}

// Token names a record that Next has returned.
type Token struct{ at, end place }

// Next returns the oldest record that is not acknowledged, or false where there is none. It
// returns the same until Ack.
func (s *Spool) Next() (kind byte, body []byte, t Token, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		g := s.segments[0]
		at := max(0, s.acked.offset)
		if s.acked.segment != g.n {
			at = 0
			s.acked = place{g.n, 0}
		}
		if at >= g.size {
			if len(s.segments) == 1 {
				return 0, nil, Token{}, false
			}
			s.retire()
			continue
		}
		if s.in == nil || s.inAt.segment != g.n {
			if s.in != nil {
				_ = s.in.Close()
			}
			var err error
			if s.in, err = os.Open(s.path(g.n)); err != nil {
				s.stats.Damaged++
				s.retireDamaged()
				continue
			}
			s.inAt = place{g.n, 0}
		}
		kind, body, err := read(s.in, at)
		if err != nil { // what follows it in the segment cannot be found
			s.stats.Damaged++
			s.retireDamaged()
			continue
		}
		return kind, body, Token{place{g.n, at}, place{g.n, at + int64(head+len(body))}}, true
	}
}

// retire removes the oldest segment, all of which is acknowledged. s.mu is held.
func (s *Spool) retire() {
	g := s.segments[0]
	s.segments = s.segments[1:]
	s.acked = place{s.segments[0].n, 0}
	_ = s.writeAck()
	_ = os.Remove(s.path(g.n))
}

// retireDamaged passes over the rest of the oldest segment. s.mu is held.
func (s *Spool) retireDamaged() {
	g := &s.segments[0]
	s.stats.Records -= g.records
	s.stats.Bytes -= g.size - s.acked.offset
	g.records, g.size = 0, s.acked.offset
	if len(s.segments) == 1 {
		_ = s.begin(g.n + 1)
	}
}

// Ack notes that a record was taken, so that it is not returned again, by a later process
// neither. A record that gave way meanwhile is past anyway.
func (s *Spool) Ack(t Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acked != t.at {
		return nil
	}
	s.acked = t.end
	s.stats.Records--
	s.stats.Bytes -= t.end.offset - t.at.offset
	s.segments[0].records--
	return s.writeAck()
}

// writeAck writes the place into one of two slots in turn: one that a crash cuts short leaves the
// other.
func (s *Spool) writeAck() error {
	s.acks++
	b := make([]byte, 0, ackSlot)
	b = order.AppendUint64(b, s.acks)
	b = order.AppendUint64(b, uint64(s.acked.segment))
	b = order.AppendUint64(b, uint64(s.acked.offset))
	b = order.AppendUint32(b, crc32.Checksum(b, table))
	_, err := s.ack.WriteAt(b, int64(s.acks%2)*ackSlot)
	return err
}

func (s *Spool) readAck() {
	for slot := range int64(2) {
		b := make([]byte, 28)
		if n, _ := s.ack.ReadAt(b, slot*ackSlot); n < len(b) || crc32.Checksum(b[:24], table) != order.Uint32(b[24:]) {
			continue
		}
		if n := order.Uint64(b); n > s.acks {
			s.acks = n
			s.acked = place{int64(order.Uint64(b[8:])), int64(order.Uint64(b[16:]))}
		}
	}
}

// Stats tells how much waits, and what was lost.
func (s *Spool) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close closes the files; what waits stays.
func (s *Spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.in != nil {
		_ = s.in.Close()
	}
	return errors.Join(s.out.Sync(), s.out.Close(), s.ack.Close())
}
