package jobstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"tinroute.example/tinroute/balance"
)

// A record is written as
//
//	"TRJ" kind(1) version(1) length(uvarint) body crc32c(4, big-endian, over all before it)
//
// It tells its own length and its own job, so that it can be found in a file whose tree cannot
// be read any more. Within the body numbers are varints and texts carry their length. What a
// later version appends to a body is skipped by an earlier one.
const (
	formatVersion = 1
	kindJob       = 'J'
	kindState     = 'S'
	overhead      = 3 + 1 + 1 + 4
	// maxRecord bounds a record's body: a packet's data and the texts around it.
	maxRecord = 256 << 10
)

var (
	magic  = []byte("TRJ")
	table  = crc32.MakeTable(crc32.Castagnoli)
	order  = binary.BigEndian
	errCRC = errors.New("checksum does not match")
)

// Job is what was accepted. It never changes.
type Job struct {
	ID       uint64 // the store's number for it
	Handle   string
	Function string
	Unique   string // empty where the job is never shared
	Data     []byte
	Accepted time.Duration // Unix time
	Timed    bool          // its first Due is an instant that the client named
}

// Send is a routed task that was about to leave.
type Send struct {
	Region     string
	Worker     balance.WorkerID
	Zone, Cell int
	At         time.Duration // Unix time by the sender's clock
	Attempt    int           // over all offers, from 1
}

// State is what has become of a job so far.
type State struct {
	ID     uint64
	Rev    uint64 // grows with every change: the highest is the last
	Due    time.Duration
	Timed  bool // Due is an instant that the client named, not one of our own clock
	Offers int  // that have ended
	Sends  int
	First  *Send // the earliest that may have run, nil where none may
	Last   *Send // the latest
	Dead   string
	Since  time.Duration // when it died
	// Released is when its life began anew by an operator's word, 0 where it has not: its
	// expiry counts from then.
	Released time.Duration
}

type writer struct{ b []byte }

func (w *writer) num(n int64)   { w.b = binary.AppendVarint(w.b, n) }
func (w *writer) uint(n uint64) { w.b = binary.AppendUvarint(w.b, n) }
func (w *writer) text(s string) { w.uint(uint64(len(s))); w.b = append(w.b, s...) }
func (w *writer) flag(b bool)   { w.b = append(w.b, map[bool]byte{true: 1}[b]) }
func (w *writer) seal(kind byte) []byte {
	out := make([]byte, 0, len(w.b)+overhead+binary.MaxVarintLen32)
	out = append(out, magic...)
	out = append(out, kind, formatVersion)
	out = binary.AppendUvarint(out, uint64(len(w.b)))
	out = append(out, w.b...)
	return order.AppendUint32(out, crc32.Checksum(out, table))
}

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) num() int64 {
	n, l := binary.Varint(r.b)
	return cut(r, n, l)
}

func (r *reader) uint() uint64 {
	n, l := binary.Uvarint(r.b)
	return cut(r, n, l)
}

func cut[N int64 | uint64](r *reader, n N, l int) N {
	if l <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[l:]
	return n
}

func (r *reader) text() string {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *reader) flag() bool {
	if len(r.b) == 0 || r.b[0] > 1 {
		r.bad, r.b = true, nil
		return false
	}
	f := r.b[0] == 1
	r.b = r.b[1:]
	return f
}

// open checks a record's frame and returns its body and its whole length.
func open(b []byte, kind byte) (body []byte, size int, err error) {
	if len(b) < overhead+1 || string(b[:3]) != string(magic) || b[3] != kind {
		return nil, 0, errors.New("not a record")
	}
	if b[4] == 0 || b[4] > formatVersion {
		return nil, 0, fmt.Errorf("format version %d is not known", b[4])
	}
	n, l := binary.Uvarint(b[5:])
	if l <= 0 || n > maxRecord || uint64(len(b)-5-l) < n+4 {
		return nil, 0, errors.New("cut short")
	}
	end := 5 + l + int(n)
	if order.Uint32(b[end:]) != crc32.Checksum(b[:end], table) {
		return nil, 0, errCRC
	}
	return b[5+l : end], end + 4, nil
}

func encodeJob(j *Job) []byte {
	w := &writer{}
	w.uint(j.ID)
	w.text(j.Handle)
	w.text(j.Function)
	w.text(j.Unique)
	w.num(int64(j.Accepted))
	w.flag(j.Timed)
	w.text(string(j.Data))
	return w.seal(kindJob)
}

// decodeJob reads a job's record and tells how long it is.
func decodeJob(b []byte) (*Job, int, error) {
	body, size, err := open(b, kindJob)
	if err != nil {
		return nil, 0, err
	}
	r := &reader{b: body}
	j := &Job{ID: r.uint(), Handle: r.text(), Function: r.text(), Unique: r.text(), Accepted: time.Duration(r.num()),
		Timed: r.flag()}
	j.Data = []byte(r.text())
	if r.bad {
		return nil, 0, errors.New("fields cut short")
	}
	return j, size, nil
}

func (w *writer) send(s *Send) {
	w.flag(s != nil)
	if s != nil {
		w.text(s.Region)
		w.uint(uint64(s.Worker))
		w.num(int64(s.Zone))
		w.num(int64(s.Cell))
		w.num(int64(s.At))
		w.num(int64(s.Attempt))
	}
}

func (r *reader) send() *Send {
	if !r.flag() {
		return nil
	}
	return &Send{Region: r.text(), Worker: balance.WorkerID(r.uint()), Zone: int(r.num()), Cell: int(r.num()),
		At: time.Duration(r.num()), Attempt: int(r.num())}
}

func encodeState(s *State) []byte {
	w := &writer{}
	w.uint(s.ID)
	w.uint(s.Rev)
	w.num(int64(s.Due))
	w.flag(s.Timed)
	w.num(int64(s.Offers))
	w.num(int64(s.Sends))
	w.send(s.First)
	w.send(s.Last)
	w.text(s.Dead)
	w.num(int64(s.Since))
	w.num(int64(s.Released))
	return w.seal(kindState)
}

func decodeState(b []byte) (*State, int, error) {
	body, size, err := open(b, kindState)
	if err != nil {
		return nil, 0, err
	}
	r := &reader{b: body}
	s := &State{ID: r.uint(), Rev: r.uint(), Due: time.Duration(r.num()), Timed: r.flag(), Offers: int(r.num()),
		Sends: int(r.num()), First: r.send(), Last: r.send(), Dead: r.text(), Since: time.Duration(r.num()), Released: time.Duration(r.num())}
	if r.bad {
		return nil, 0, errors.New("fields cut short")
	}
	return s, size, nil
}
