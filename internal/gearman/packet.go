// Package gearman is the second front: to client connections it is a Gearman job server, to the
// workers of its discovery it is a Gearman client. Every decision is the core's.
package gearman

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"tinroute.example/tinroute/internal/link"
)

// Type is a packet's type, by its number in the protocol.
type Type uint32

// The packets that this front knows, by the protocol page of gearman.org. What is missing belongs
// to workers, which never speak to a dispatcher: it is their client.
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

// maxBody bounds what a packet carries, as the platform bounds a body.
const maxBody = 64 << 10

const headLen = 12

// maxLine bounds a line of the text protocol: a command, a function's name and a number.
const maxLine = 1 << 10

var (
	magicRequest  = [4]byte{0, 'R', 'E', 'Q'}
	magicResponse = [4]byte{0, 'R', 'E', 'S'}

	errMagic = errors.New("bad magic")
	errSize  = errors.New("packet over 64 KiB")
	errLine  = errors.New("line over 1 KiB")
)

// Packet is one whole packet.
type Packet struct {
	Type Type
	Body []byte
	Text bool // it is a line of the text protocol, without its end
}

// Args splits the body into so many arguments; the last may hold any bytes.
func (p *Packet) Args(n int) ([][]byte, error) {
	args := bytes.SplitN(p.Body, []byte{0}, n)
	if len(args) != n {
		return nil, fmt.Errorf("packet %d: %d arguments, %d wanted", p.Type, len(args), n)
	}
	return args, nil
}

// Framer cuts a stream of bytes into whole packets. It is fed bytes and knows no socket.
type Framer struct {
	magic [4]byte
	buf   []byte
	ask   bool // the first byte tells which protocol is spoken: a packet begins with NUL
	text  bool
}

// NewServerFramer frames what comes to a job server's port: packets of clients, or lines of the
// text protocol if the first byte is not NUL. A connection speaks one of them for good.
func NewServerFramer() link.Framer[Packet] { return &Framer{magic: magicRequest, ask: true} }

// NewRequestFramer frames what a client sends to a job server.
func NewRequestFramer() link.Framer[Packet] { return &Framer{magic: magicRequest} }

// NewResponseFramer frames what a job server sends to a client.
func NewResponseFramer() link.Framer[Packet] { return &Framer{magic: magicResponse} }

// Feed adds bytes as they were read.
func (f *Framer) Feed(p []byte) { f.buf = append(f.buf, p...) }

// Partial tells whether part of a packet has come.
func (f *Framer) Partial() bool { return len(f.buf) > 0 }

// Next returns the next whole packet, or nil while there is none. Bad magic shows by the
// first wrong byte, before a length is believed.
func (f *Framer) Next() (*Packet, error) {
	if f.ask && len(f.buf) > 0 {
		f.ask, f.text = false, f.buf[0] != 0
	}
	if f.text {
		return f.line()
	}
	if n := min(len(f.buf), len(f.magic)); !bytes.Equal(f.buf[:n], f.magic[:n]) {
		return nil, errMagic
	}
	if len(f.buf) < headLen {
		return nil, nil
	}
	size := binary.BigEndian.Uint32(f.buf[8:])
	if size > maxBody {
		return nil, errSize
	}
	whole := headLen + int(size)
	if len(f.buf) < whole {
		return nil, nil
	}
	p := &Packet{Type: Type(binary.BigEndian.Uint32(f.buf[4:])), Body: bytes.Clone(f.buf[headLen:whole])}
	if rest := f.buf[whole:]; len(rest) == 0 {
		f.buf = nil // one large packet must not hold its memory as long as the connection
	} else {
		f.buf = f.buf[:copy(f.buf, rest)]
	}
	return p, nil
}

// line returns the next whole line of the text protocol. Its end is LF or CR LF.
func (f *Framer) line() (*Packet, error) {
	i := bytes.IndexByte(f.buf, '\n')
	if i > maxLine || i < 0 && len(f.buf) > maxLine {
		return nil, errLine
	}
	if i < 0 {
		return nil, nil
	}
	p := &Packet{Text: true, Body: bytes.Clone(bytes.TrimSuffix(f.buf[:i], []byte{'\r'}))}
	f.buf = f.buf[:copy(f.buf, f.buf[i+1:])]
	return p, nil
}

// End tells that the stream has ended.
func (f *Framer) End() (*Packet, error) {
	if f.Partial() {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, nil
}

// Request writes a packet as a client does.
func Request(t Type, args ...string) []byte { return encode(magicRequest, t, args) }

// Response writes a packet as a job server does.
func Response(t Type, args ...string) []byte { return encode(magicResponse, t, args) }

func encode(magic [4]byte, t Type, args []string) []byte {
	size := max(0, len(args)-1)
	for _, a := range args {
		size += len(a)
	}
	b := make([]byte, 0, headLen+size)
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
