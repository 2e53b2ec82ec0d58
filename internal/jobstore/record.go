package jobstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"tinroute.example/tinroute/balance"
)

// The format of a record is
//
//	"TRJ" kind(1) version(1) length(uvarint) body crc32c(4, big-endian, over all before it)
//
// A record contains its length and its job's ID, so that it can be recovered from a file whose B+
// tree is damaged. In the body, numbers are varints and strings are prefixed with their length. A
// reader ignores fields at the end of a body that it does not know, which a newer version appended.
const (
	formatVersion = 1
	kindJob       = 'J'
	kindState     = 'S'
	minRecordSize = 3 + 1 + 1 + 4
	// maxBodySize limits a record's body, which holds the data of a packet and a few strings.
	maxBodySize = 256 << 10
)

var (
	recordMagic = []byte("TRJ")
	crcTable    = crc32.MakeTable(crc32.Castagnoli)
	byteOrder   = binary.BigEndian
	errChecksum = errors.New("checksum does not match")
)

// Job is the immutable part of a stored job.
type Job struct {
	ID             uint64 // assigned by the store
	Handle         string
	Function       string
	UniqueID       string // empty if the job is not shared between submissions
	Data           []byte
	AcceptedAt     time.Duration // Unix time
	DueSetByClient bool          // the client set the first due time
}

// Send describes an attempt that was about to be sent to a worker.
type Send struct {
	WorkerName string
	WorkerID   balance.WorkerID
	Zone, Cell int
	At         time.Duration // Unix time by the clock of the sender
	Attempt    int           // number of the attempt over all offers, from 1
}

// State is the mutable part of a stored job.
type State struct {
	ID             uint64
	Revision       uint64        // increases with every change, so that the highest is the latest
	Due            time.Duration // Unix time
	DueSetByClient bool          // the client set Due, which is then a time of the system clock
	Offers         int           // offers to the dispatcher that have ended
	Sends          int
	FirstSend      *Send         // the earliest send that may have run, nil if there is none
	LastSend       *Send         // the latest send, nil if FirstSend is
	DeadReason     string        // set for dead letters only
	DeadSince      time.Duration // Unix time
	// ReleasedAt is when an operator released the job from the dead letters, 0 if none did. The
	// job's expiry then counts from this time.
	ReleasedAt time.Duration
}

// encoder appends the fields of a record's body.
type encoder struct{ buf []byte }

func (e *encoder) varint(n int64)   { e.buf = binary.AppendVarint(e.buf, n) }
func (e *encoder) uvarint(n uint64) { e.buf = binary.AppendUvarint(e.buf, n) }
func (e *encoder) string(s string)  { e.uvarint(uint64(len(s))); e.buf = append(e.buf, s...) }
func (e *encoder) bool(b bool)      { e.buf = append(e.buf, map[bool]byte{true: 1}[b]) }

// record returns the complete record, with the body that was encoded.
func (e *encoder) record(kind byte) []byte {
	out := make([]byte, 0, len(e.buf)+minRecordSize+binary.MaxVarintLen32)
	out = append(out, recordMagic...)
	out = append(out, kind, formatVersion)
	out = binary.AppendUvarint(out, uint64(len(e.buf)))
	out = append(out, e.buf...)
	return byteOrder.AppendUint32(out, crc32.Checksum(out, crcTable))
}

// decoder reads the fields of a record's body. After an invalid field all others read as zero.
type decoder struct {
	buf       []byte
	truncated bool // a field was invalid or incomplete
}

func (d *decoder) varint() int64 {
	n, l := binary.Varint(d.buf)
	return advance(d, n, l)
}

func (d *decoder) uvarint() uint64 {
	n, l := binary.Uvarint(d.buf)
	return advance(d, n, l)
}

// advance skips a number of size bytes and returns it. A size of 0 or less marks an invalid number.
func advance[N int64 | uint64](d *decoder, n N, size int) N {
	if size <= 0 {
		d.truncated, d.buf = true, nil
		return 0
	}
	d.buf = d.buf[size:]
	return n
}

func (d *decoder) string() string {
	n := d.uvarint()
	if n > uint64(len(d.buf)) {
		d.truncated, d.buf = true, nil
		return ""
	}
	s := string(d.buf[:n])
	d.buf = d.buf[n:]
	return s
}

func (d *decoder) bool() bool {
	if len(d.buf) == 0 || d.buf[0] > 1 {
		d.truncated, d.buf = true, nil
		return false
	}
	f := d.buf[0] == 1
	d.buf = d.buf[1:]
	return f
}

// recordBody validates the record at the start of b. It returns its body and the record's size.
func recordBody(b []byte, kind byte) (body []byte, size int, err error) {
	if len(b) < minRecordSize+1 || string(b[:3]) != string(recordMagic) || b[3] != kind {
		return nil, 0, errors.New("not a record")
	}
	if b[4] == 0 || b[4] > formatVersion {
		return nil, 0, fmt.Errorf("format version %d is not known", b[4])
	}
	bodySize, lengthSize := binary.Uvarint(b[5:])
	if lengthSize <= 0 || bodySize > maxBodySize || uint64(len(b)-5-lengthSize) < bodySize+4 {
		return nil, 0, errors.New("cut short")
	}
	end := 5 + lengthSize + int(bodySize)
	if byteOrder.Uint32(b[end:]) != crc32.Checksum(b[:end], crcTable) {
		return nil, 0, errChecksum
	}
	return b[5+lengthSize : end], end + 4, nil
}

func encodeJob(job *Job) []byte {
	e := &encoder{}
	e.uvarint(job.ID)
	e.string(job.Handle)
	e.string(job.Function)
	e.string(job.UniqueID)
	e.varint(int64(job.AcceptedAt))
	e.bool(job.DueSetByClient)
	e.string(string(job.Data))
	return e.record(kindJob)
}

// decodeJob decodes a job record and returns its size.
func decodeJob(b []byte) (*Job, int, error) {
	body, size, err := recordBody(b, kindJob)
	if err != nil {
		return nil, 0, err
	}
	d := &decoder{buf: body}
	job := &Job{
		ID:             d.uvarint(),
		Handle:         d.string(),
		Function:       d.string(),
		UniqueID:       d.string(),
		AcceptedAt:     time.Duration(d.varint()),
		DueSetByClient: d.bool(),
	}
	job.Data = []byte(d.string())
	if d.truncated {
		return nil, 0, errors.New("fields cut short")
	}
	return job, size, nil
}

func (e *encoder) send(s *Send) {
	e.bool(s != nil)
	if s != nil {
		e.string(s.WorkerName)
		e.uvarint(uint64(s.WorkerID))
		e.varint(int64(s.Zone))
		e.varint(int64(s.Cell))
		e.varint(int64(s.At))
		e.varint(int64(s.Attempt))
	}
}

func (d *decoder) send() *Send {
	if !d.bool() {
		return nil
	}
	return &Send{
		WorkerName: d.string(),
		WorkerID:   balance.WorkerID(d.uvarint()),
		Zone:       int(d.varint()),
		Cell:       int(d.varint()),
		At:         time.Duration(d.varint()),
		Attempt:    int(d.varint()),
	}
}

func encodeState(state *State) []byte {
	e := &encoder{}
	e.uvarint(state.ID)
	e.uvarint(state.Revision)
	e.varint(int64(state.Due))
	e.bool(state.DueSetByClient)
	e.varint(int64(state.Offers))
	e.varint(int64(state.Sends))
	e.send(state.FirstSend)
	e.send(state.LastSend)
	e.string(state.DeadReason)
	e.varint(int64(state.DeadSince))
	e.varint(int64(state.ReleasedAt))
	return e.record(kindState)
}

// decodeState decodes a state record and returns its size.
func decodeState(b []byte) (*State, int, error) {
	body, size, err := recordBody(b, kindState)
	if err != nil {
		return nil, 0, err
	}
	d := &decoder{buf: body}
	state := &State{
		ID:             d.uvarint(),
		Revision:       d.uvarint(),
		Due:            time.Duration(d.varint()),
		DueSetByClient: d.bool(),
		Offers:         int(d.varint()),
		Sends:          int(d.varint()),
		FirstSend:      d.send(),
		LastSend:       d.send(),
		DeadReason:     d.string(),
		DeadSince:      time.Duration(d.varint()),
		ReleasedAt:     time.Duration(d.varint()),
	}
	if d.truncated {
		return nil, 0, errors.New("fields cut short")
	}
	state.restoreFirstSend()
	return state, size, nil
}
