// Package gearman implements the Gearman protocol. It is a job server for its client connections, and
// a Gearman client of the workers, which are job servers too. The dispatcher core decides which worker
// gets each job.
package gearman

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"tinroute.example/tinroute/internal/link"
)

// Type is a packet type of the Gearman protocol.
type Type uint32

// The supported packet types, as listed on the protocol page of gearman.org. Those that only
// Gearman workers send or receive are left out: a dispatcher connects to job servers as a client,
// so workers never connect to it.
const (
	SubmitJob       Type = 7
	JobCreated      Type = 8
	WorkStatus      Type = 12
	WorkComplete    Type = 13
	WorkFail        Type = 14
	GetStatus       Type = 15
	EchoReq         Type = 16
	EchoRes         Type = 17
	SubmitJobBG     Type = 18
	Error           Type = 19
	StatusRes       Type = 20
	SubmitJobHigh   Type = 21
	WorkException   Type = 25
	OptionReq       Type = 26
	OptionRes       Type = 27
	WorkData        Type = 28
	WorkWarning     Type = 29
	SubmitJobHighBG Type = 32
	SubmitJobLow    Type = 33
	SubmitJobLowBG  Type = 34
	SubmitJobSched  Type = 35
	SubmitJobEpoch  Type = 36
	SubmitReduce    Type = 37
	SubmitReduceBG  Type = 38
	GetStatusUnique Type = 41
	StatusResUnique Type = 42
)

// maxBodyBytes is the largest accepted packet body. The platform has the same limit for request
// bodies.
const maxBodyBytes = 64 << 10

const headerBytes = 12

// MaxInputBytes is the most memory that an incomplete packet takes, with the slack of a buffer that grows.
const MaxInputBytes = (headerBytes + maxBodyBytes) * 5 / 4

// maxLineBytes is the longest accepted line of the text protocol, which holds at most a command, a
// function name and a number.
const maxLineBytes = 1 << 10

var (
	magicRequest  = [4]byte{0, 'R', 'E', 'Q'}
	magicResponse = [4]byte{0, 'R', 'E', 'S'}

	errBadMagic       = errors.New("bad magic")
	errPacketTooLarge = errors.New("packet over 64 KiB")
	errLineTooLong    = errors.New("line over 1 KiB")
)

// Packet is one complete binary packet or one line of the text protocol.
type Packet struct {
	Type Type
	Body []byte
	Text bool // Body is a line of the text protocol, without its line ending
}

// isSubmission reports whether the packet submits a job.
func (p *Packet) isSubmission() bool {
	switch p.Type {
	case SubmitJob, SubmitJobHigh, SubmitJobLow, SubmitJobBG, SubmitJobHighBG, SubmitJobLowBG, SubmitJobEpoch, SubmitJobSched:
		return true
	}
	return false
}

// Args splits the body into n arguments separated by NUL bytes. The last may itself hold NUL bytes.
func (p *Packet) Args(n int) ([][]byte, error) {
	args := bytes.SplitN(p.Body, []byte{0}, n)
	if len(args) != n {
		return nil, fmt.Errorf("packet %d: %d arguments, %d wanted", p.Type, len(args), n)
	}
	return args, nil
}

// Framer splits a byte stream into packets. It does no I/O.
type Framer struct {
	magic  [4]byte
	buf    []byte
	detect bool // detect the protocol by the first byte, which is NUL in a binary packet
	text   bool
}

// NewServerFramer returns a framer for connections to the job server's port. They carry binary
// packets, or lines of the text protocol if the first byte is not NUL; a connection never
// switches between the two.
func NewServerFramer() link.Framer[Packet] { return &Framer{magic: magicRequest, detect: true} }

// NewRequestFramer returns a framer for packets from a client to a job server.
func NewRequestFramer() link.Framer[Packet] { return &Framer{magic: magicRequest} }

// NewResponseFramer returns a framer for packets from a job server to a client.
func NewResponseFramer() link.Framer[Packet] { return &Framer{magic: magicResponse} }

// Feed appends bytes read from the stream.
func (f *Framer) Feed(p []byte) { f.buf = append(f.buf, p...) }

// Partial reports whether bytes of an unfinished packet are buffered.
func (f *Framer) Partial() bool { return len(f.buf) > 0 }

// Held returns how many bytes are buffered.
func (f *Framer) Held() int { return len(f.buf) }

// Next returns the next complete packet, or nil if more bytes are needed. Bad magic is reported
// at the first wrong byte, before the length field is used.
func (f *Framer) Next() (*Packet, error) {
	if f.detect && len(f.buf) > 0 {
		f.detect, f.text = false, f.buf[0] != 0
	}
	if f.text {
		return f.nextLine()
	}
	if n := min(len(f.buf), len(f.magic)); !bytes.Equal(f.buf[:n], f.magic[:n]) {
		return nil, errBadMagic
	}
	if len(f.buf) < headerBytes {
		return nil, nil
	}
	size := binary.BigEndian.Uint32(f.buf[8:])
	if size > maxBodyBytes {
		return nil, errPacketTooLarge
	}
	end := headerBytes + int(size)
	if len(f.buf) < end {
		return nil, nil
	}
	p := &Packet{Type: Type(binary.BigEndian.Uint32(f.buf[4:])), Body: bytes.Clone(f.buf[headerBytes:end])}
	if rest := f.buf[end:]; len(rest) == 0 {
		f.buf = nil // release the buffer, or one large packet would hold memory as long as the connection lives
	} else {
		f.buf = f.buf[:copy(f.buf, rest)]
	}
	return p, nil
}

// nextLine returns the next complete line of the text protocol, ended by LF or CR LF.
func (f *Framer) nextLine() (*Packet, error) {
	i := bytes.IndexByte(f.buf, '\n')
	if i > maxLineBytes || i < 0 && len(f.buf) > maxLineBytes {
		return nil, errLineTooLong
	}
	if i < 0 {
		return nil, nil
	}
	p := &Packet{Text: true, Body: bytes.Clone(bytes.TrimSuffix(f.buf[:i], []byte{'\r'}))}
	f.buf = f.buf[:copy(f.buf, f.buf[i+1:])]
	return p, nil
}

// End handles the end of the stream. It returns io.ErrUnexpectedEOF within a packet.
func (f *Framer) End() (*Packet, error) {
	if f.Partial() {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, nil
}

// Request encodes a packet from a client to a job server.
func Request(t Type, args ...string) []byte { return encode(magicRequest, t, args) }

// Response encodes a packet from a job server to a client.
func Response(t Type, args ...string) []byte { return encode(magicResponse, t, args) }

func encode(magic [4]byte, t Type, args []string) []byte {
	size := max(0, len(args)-1)
	for _, a := range args {
		size += len(a)
	}
	b := make([]byte, 0, headerBytes+size)
	b = append(b, magic[:]...)
	b = binary.BigEndian.AppendUint32(b, uint32(t))
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	for i, a := range args {
		if i > 0 {
			b = append(b, 0)
		}
		b = append(b, a...)
	}
	return b
}
