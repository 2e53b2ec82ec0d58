// Package spool is a durable FIFO queue of records, such as batches of telemetry. Records stay on
// disk until they are acknowledged. They are stored in segment files of limited size and number, and
// the oldest segment is dropped when the spool is full. The spool survives a crash of the process. A
// truncated record is dropped, and so is one with a wrong checksum, along with all records after it
// in its segment.
//
// A segment is a sequence of records, each with the format
//
//	length(4, big-endian) crc32c(4, of kind and body) kind(1) body
//
// The file "ack" has two slots, written alternately, with the position up to which all records are
// acknowledged.
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
	headerSize     = 9 // length, checksum and kind
	maxRecordBytes = 16 << 20
	segmentSuffix  = ".seg"
	ackSlotSize    = 32
)

var (
	crcTable  = crc32.MakeTable(crc32.Castagnoli)
	byteOrder = binary.BigEndian
	// ErrTooLarge is returned by Append for a record that does not fit into a segment.
	ErrTooLarge = errors.New("record exceeds the size limit of a spool segment")
)

// Options configures a spool.
type Options struct {
	Dir          string
	MaxBytes     int64 // limit on the total size of the segments
	SegmentBytes int64 // limit on the size of a segment; if 0, an eighth of MaxBytes but at least 4 KiB
}

// Stats holds statistics of a spool.
type Stats struct {
	Records, Bytes int64 // records that are not acknowledged, and their size
	Dropped        int64 // records dropped because the spool was full
	Damaged        int64 // times that reading a segment stopped at a damaged record
}

// Spool is an open spool. It is safe for concurrent use.
type Spool struct {
	opts     Options
	mu       sync.Mutex
	segments []segment // oldest first; records are appended to the last
	tail     *os.File  // the last segment
	readFile *os.File  // the segment that Next reads, nil if none is open
	readPos  position  // the start of the segment that readFile has open
	acked    position  // all records before it are acknowledged
	ackFile  *os.File
	ackSeq   uint64 // sequence number of the last written slot of ackFile
	stats    Stats
}

// segment describes a segment file.
type segment struct {
	number, size int64
	records      int64 // records that are not acknowledged
}

// position is the start of a record: the number of its segment and the offset in it.
type position struct{ segment, offset int64 }

func (p position) before(other position) bool {
	return p.segment < other.segment || p.segment == other.segment && p.offset < other.offset
}

// Open opens the spool in a directory and creates the directory if it does not exist.
func Open(opts Options) (*Spool, error) {
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = max(4<<10, opts.MaxBytes/8)
	}
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return nil, err
	}
	s := &Spool{opts: opts}
	var err error
	if s.ackFile, err = os.OpenFile(filepath.Join(opts.Dir, "ack"), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, err
	}
	s.readAck()
	names, err := filepath.Glob(filepath.Join(opts.Dir, "*"+segmentSuffix))
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		number, err := strconv.ParseInt(strings.TrimSuffix(filepath.Base(name), segmentSuffix), 10, 64)
		if err != nil {
			continue
		}
		if number < s.acked.segment {
			_ = os.Remove(name)
			continue
		}
		s.segments = append(s.segments, segment{number: number})
	}
	slices.SortFunc(s.segments, func(a, b segment) int { return int(a.number - b.number) })
	for i := range s.segments {
		if err := s.scanSegment(&s.segments[i]); err != nil {
			return nil, err
		}
	}
	s.segments = slices.DeleteFunc(s.segments, func(seg segment) bool { // every start creates a segment, which may stay empty
		return seg.size == 0 && os.Remove(s.path(seg.number)) == nil
	})
	nextNumber := s.acked.segment + 1
	if len(s.segments) > 0 {
		nextNumber = max(nextNumber, s.segments[len(s.segments)-1].number+1)
		if first := s.segments[0].number; s.acked.segment < first {
			s.acked = position{first, 0}
		}
	} else {
		s.acked = position{nextNumber, 0}
	}
	return s, s.createSegment(nextNumber) // never append after a record that a crash truncated
}

func (s *Spool) path(number int64) string {
	return filepath.Join(s.opts.Dir, fmt.Sprintf("%016d%s", number, segmentSuffix))
}

// scanSegment counts a segment's records, up to the first unreadable one.
func (s *Spool) scanSegment(seg *segment) error {
	f, err := os.Open(s.path(seg.number))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	for {
		_, body, err := readRecord(f, seg.size)
		if err != nil {
			if err != io.EOF {
				s.stats.Damaged++
			}
			return nil
		}
		if at := (position{seg.number, seg.size}); !at.before(s.acked) {
			s.stats.Records++
			s.stats.Bytes += int64(headerSize + len(body))
			seg.records++
		}
		seg.size += int64(headerSize + len(body))
	}
}

// createSegment creates a segment, to which records are appended from now on.
func (s *Spool) createSegment(number int64) error {
	f, err := os.OpenFile(s.path(number), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if s.tail != nil {
		_ = s.tail.Close()
	}
	s.tail = f
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// readRecord reads the record at an offset. It returns io.EOF if there is none, and another error if
// the record is truncated or damaged.
func readRecord(f io.ReaderAt, offset int64) (kind byte, body []byte, err error) {
	var header [headerSize]byte
	if n, err := f.ReadAt(header[:], offset); n < headerSize {
		if n == 0 && err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, io.ErrUnexpectedEOF
	}
	size := byteOrder.Uint32(header[:])
	if size > maxRecordBytes {
		return 0, nil, errors.New("record length exceeds the limit")
	}
	contents := make([]byte, 1+size)
	contents[0] = header[8]
	if n, _ := f.ReadAt(contents[1:], offset+headerSize); n < int(size) {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(contents, crcTable) != byteOrder.Uint32(header[4:]) {
		return 0, nil, errors.New("checksum does not match")
	}
	return contents[0], contents[1:], nil
}

// Append adds a record at the end. If the spool is full it drops the oldest segments.
func (s *Spool) Append(kind byte, body []byte) error {
	size := int64(headerSize + len(body))
	if size > s.opts.SegmentBytes || size > maxRecordBytes {
		return ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := &s.segments[len(s.segments)-1]
	if last.size+size > s.opts.SegmentBytes {
		if err := s.createSegment(last.number + 1); err != nil {
			return err
		}
		last = &s.segments[len(s.segments)-1]
	}
	for total := s.diskBytes() + size; total > s.opts.MaxBytes && len(s.segments) > 1; total = s.diskBytes() + size {
		s.dropOldest()
		last = &s.segments[len(s.segments)-1]
	}
	record := make([]byte, headerSize, size)
	byteOrder.PutUint32(record, uint32(len(body)))
	record[8] = kind
	record = append(record, body...)
	byteOrder.PutUint32(record[4:], crc32.Checksum(record[8:], crcTable))
	if _, err := s.tail.WriteAt(record, last.size); err != nil {
		// The next record overwrites a partial one. After a restart it is read as truncated.
		return err
	}
	last.size += size
	last.records++
	s.stats.Records++
	s.stats.Bytes += size
	return nil
}

func (s *Spool) diskBytes() (n int64) {
	for _, seg := range s.segments {
		n += seg.size
	}
	return n
}

// dropOldest drops the oldest segment with its unacknowledged records. s.mu must be held.
func (s *Spool) dropOldest() {
	oldest := s.segments[0]
	s.segments = s.segments[1:]
	s.stats.Dropped += oldest.records
	s.stats.Records -= oldest.records
	if s.readPos.segment == oldest.number && s.readFile != nil {
		_ = s.readFile.Close()
		s.readFile = nil
	}
	_ = os.Remove(s.path(oldest.number))
	if s.acked.segment <= oldest.number {
		s.acked = position{s.segments[0].number, 0}
	}
	s.stats.Bytes = 0
	for _, seg := range s.segments {
		s.stats.Bytes += seg.size
	}
	if s.segments[0].number == s.acked.segment {
		s.stats.Bytes -= s.acked.offset
	}
}

// Token identifies a record that Next has returned.
type Token struct{ start, end position }

// Next returns the oldest record that is not acknowledged, or false if there is none. It returns the
// same record until Ack is called with its token.
func (s *Spool) Next() (kind byte, body []byte, token Token, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		oldest := s.segments[0]
		offset := max(0, s.acked.offset)
		if s.acked.segment != oldest.number {
			offset = 0
			s.acked = position{oldest.number, 0}
		}
		if offset >= oldest.size {
			if len(s.segments) == 1 {
				return 0, nil, Token{}, false
			}
			s.removeAcknowledged()
			continue
		}
		if s.readFile == nil || s.readPos.segment != oldest.number {
			if s.readFile != nil {
				_ = s.readFile.Close()
			}
			var err error
			if s.readFile, err = os.Open(s.path(oldest.number)); err != nil {
				s.stats.Damaged++
				s.skipDamaged()
				continue
			}
			s.readPos = position{oldest.number, 0}
		}
		kind, body, err := readRecord(s.readFile, offset)
		if err != nil { // the start of the next record in the segment is unknown
			s.stats.Damaged++
			s.skipDamaged()
			continue
		}
		start := position{oldest.number, offset}
		end := position{oldest.number, offset + int64(headerSize+len(body))}
		return kind, body, Token{start, end}, true
	}
}

// removeAcknowledged deletes the oldest segment, whose records are all acknowledged. s.mu must be
// held.
func (s *Spool) removeAcknowledged() {
	oldest := s.segments[0]
	s.segments = s.segments[1:]
	s.acked = position{s.segments[0].number, 0}
	_ = s.writeAck()
	_ = os.Remove(s.path(oldest.number))
}

// skipDamaged skips the rest of the oldest segment. s.mu must be held.
func (s *Spool) skipDamaged() {
	oldest := &s.segments[0]
	s.stats.Records -= oldest.records
	s.stats.Bytes -= oldest.size - s.acked.offset
	oldest.records, oldest.size = 0, s.acked.offset
	if len(s.segments) == 1 {
		_ = s.createSegment(oldest.number + 1)
	}
}

// Ack acknowledges a record, so that it is not returned again, not even after a restart. If the
// record was dropped since Next returned it, Ack does nothing.
func (s *Spool) Ack(token Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acked != token.start {
		return nil
	}
	s.acked = token.end
	s.stats.Records--
	s.stats.Bytes -= token.end.offset - token.start.offset
	s.segments[0].records--
	return s.writeAck()
}

// writeAck writes the acknowledged position. It alternates between two slots, so that a crash while
// one is written leaves the other intact.
func (s *Spool) writeAck() error {
	s.ackSeq++
	slot := make([]byte, 0, ackSlotSize)
	slot = byteOrder.AppendUint64(slot, s.ackSeq)
	slot = byteOrder.AppendUint64(slot, uint64(s.acked.segment))
	slot = byteOrder.AppendUint64(slot, uint64(s.acked.offset))
	slot = byteOrder.AppendUint32(slot, crc32.Checksum(slot, crcTable))
	_, err := s.ackFile.WriteAt(slot, int64(s.ackSeq%2)*ackSlotSize)
	return err
}

// readAck reads the acknowledged position from the valid slot with the higher sequence number.
func (s *Spool) readAck() {
	for slot := range int64(2) {
		b := make([]byte, 28)
		if n, _ := s.ackFile.ReadAt(b, slot*ackSlotSize); n < len(b) || crc32.Checksum(b[:24], crcTable) != byteOrder.Uint32(b[24:]) {
			continue
		}
		if seq := byteOrder.Uint64(b); seq > s.ackSeq {
			s.ackSeq = seq
			s.acked = position{int64(byteOrder.Uint64(b[8:])), int64(byteOrder.Uint64(b[16:]))}
		}
	}
}

// Stats returns the statistics of the spool since Open.
func (s *Spool) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close closes the files. Records that are not acknowledged stay on disk.
func (s *Spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readFile != nil {
		_ = s.readFile.Close()
	}
	return errors.Join(s.tail.Sync(), s.tail.Close(), s.ackFile.Close())
}
