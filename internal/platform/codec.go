// Package platform is the thin front for the platform's protocol, HTTP/1.1 on plain TCP:
// clients and call-backs on one address, a pool of connections to the workers
// (workers), and discovery (discovery).
package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tinroute.example/tinroute/internal/link"
)

// The largest head and body that are read.
const (
	maxHead = 64 << 10
	maxBody = 64 << 10
)

var (
	errHead = error(&refusal{http.StatusRequestHeaderFieldsTooLarge, "head over 64 KiB"})
	errBody = error(&refusal{http.StatusRequestEntityTooLarge, "body over 64 KiB"})
)

// Message is one whole HTTP message: a Request or a Response, with its body read.
type Message struct {
	Request  *http.Request
	Response *http.Response
	Body     []byte
	Close    bool // the sender closes the connection after it
}

// Framer cuts a stream of bytes into whole messages. It is fed bytes and knows no socket:
// a message is framed whole, inside the bounds, before it is parsed, so that a peer that
// stops in the middle of one holds up nothing but its own connection.
type Framer struct {
	responses bool
	buf       []byte
	head      int // length of the head once it is whole
	scanned   int
	reader    *bufio.Reader
	message   Message // parsed from the head, its body outstanding
	length    int64   // of the body; -1 chunked, -2 until the end of the stream
}

// NewRequestFramer frames what a client sends.
func NewRequestFramer() *Framer { return &Framer{reader: bufio.NewReader(nil)} }

// NewResponseFramer frames what a server sends.
func NewResponseFramer() link.Framer[Message] {
	return &Framer{responses: true, reader: bufio.NewReader(nil)}
}

// Feed adds bytes as they were read.
func (f *Framer) Feed(p []byte) { f.buf = append(f.buf, p...) }

// Partial tells whether part of a message has come.
func (f *Framer) Partial() bool { return len(f.buf) > 0 }

// Next returns the next whole message, or nil while there is none. After an error the
// stream cannot be read on.
func (f *Framer) Next() (*Message, error) {
	if f.head == 0 {
		if f.scanned == 0 { // empty lines before a message are to be passed over
			f.buf = bytes.TrimLeft(f.buf, "\r\n")
		}
		end := endOfHead(f.buf, f.scanned)
		if end < 0 {
			if len(f.buf) > maxHead {
				return nil, errHead
			}
			f.scanned = max(0, len(f.buf)-3)
			return nil, nil
		}
		if end > maxHead {
			return nil, errHead
		}
		if err := f.parse(f.buf[:end]); err != nil {
			return nil, err
		}
		f.head = end
	}
	rest := f.buf[f.head:]
	switch {
	case f.length > maxBody:
		return nil, errBody
	case f.length >= 0:
		if int64(len(rest)) < f.length {
			return nil, nil
		}
		f.message.Body = bytes.Clone(rest[:f.length])
		return f.take(int(f.length)), nil
	case f.length == -1:
		return f.chunked(rest)
	}
	if len(rest) > maxBody {
		return nil, errBody
	}
	return nil, nil
}

// End tells that the stream has ended. It returns the message that the end completes, or
// nil, and an error if it cuts one short.
func (f *Framer) End() (*Message, error) {
	if f.head > 0 && f.length == -2 {
		f.message.Body = bytes.Clone(f.buf[f.head:])
		return f.take(len(f.buf) - f.head), nil
	}
	if len(f.buf) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, nil
}

func (f *Framer) take(body int) *Message {
	m := f.message
	rest := f.buf[f.head+body:]
	if len(rest) == 0 && cap(f.buf) > 8<<10 {
		f.buf = nil // one large message must not hold its memory as long as the connection
	} else {
		f.buf = f.buf[:copy(f.buf, rest)]
	}
	f.head, f.scanned, f.message = 0, 0, Message{}
	return &m
}

func endOfHead(b []byte, from int) int {
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		if i+1 < len(b) && b[i+1] == '\n' {
			return i + 2
		}
		if i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n' {
			return i + 3
		}
	}
	return -1
}

// parse reads a whole head and finds how long the body is.
func (f *Framer) parse(head []byte) error {
	f.reader.Reset(bytes.NewReader(head))
	var encoding []string
	if f.responses {
		r, err := http.ReadResponse(f.reader, nil)
		if err != nil {
			return fmt.Errorf("malformed response: %w", err)
		}
		f.message, f.length, encoding = Message{Response: r, Close: r.Close}, r.ContentLength, r.TransferEncoding
		if f.length < 0 && len(encoding) == 0 {
			f.length = -2
			f.message.Close = true
		}
		if r.StatusCode/100 == 1 {
			f.length = 0
		}
	} else {
		if err := checkHead(head); err != nil {
			return fmt.Errorf("malformed request: %w", err)
		}
		r, err := http.ReadRequest(f.reader)
		if err != nil {
			return fmt.Errorf("malformed request: %w", err)
		}
		f.message, f.length, encoding = Message{Request: r, Close: r.Close}, r.ContentLength, r.TransferEncoding
	}
	if len(encoding) > 0 {
		f.length = -1
	}
	return nil
}

// chunked looks for the end of a chunked body and lets net/http decode it once it is
// whole.
func (f *Framer) chunked(rest []byte) (*Message, error) {
	if len(rest) > 4*maxBody { // tiny chunks, long extensions or a trailer without end
		return nil, errBody
	}
	at, size := 0, 0
	for {
		nl := bytes.IndexByte(rest[at:], '\n')
		if nl < 0 {
			if len(rest)-at > 1024 {
				return nil, errors.New("malformed chunk")
			}
			return nil, nil
		}
		line, _, _ := strings.Cut(strings.TrimSpace(string(rest[at:at+nl])), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(line), 16, 31)
		if err != nil {
			return nil, errors.New("malformed chunk")
		}
		if size += int(n); size > maxBody {
			return nil, errBody
		}
		at += nl + 1
		if n == 0 {
			break
		}
		if at += int(n) + 2; at > len(rest) {
			return nil, nil
		}
	}
	for { // trailer lines up to an empty one
		nl := bytes.IndexByte(rest[at:], '\n')
		if nl < 0 {
			return nil, nil
		}
		line := bytes.TrimSpace(rest[at : at+nl])
		if at += nl + 1; len(line) == 0 {
			break
		}
	}
	f.reader.Reset(bytes.NewReader(f.buf[:f.head+at]))
	var body io.ReadCloser
	if f.responses {
		r, err := http.ReadResponse(f.reader, nil)
		if err != nil {
			return nil, fmt.Errorf("malformed response: %w", err)
		}
		body = r.Body
	} else {
		r, err := http.ReadRequest(f.reader)
		if err != nil {
			return nil, fmt.Errorf("malformed request: %w", err)
		}
		body = r.Body
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, fmt.Errorf("malformed body: %w", err)
	}
	f.message.Body = data
	return f.take(at), nil
}

// response writes one whole answer.
func response(status int, body []byte, retryAfter time.Duration, last bool) []byte {
	b := make([]byte, 0, 128+len(body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), http.StatusText(status)...), "\r\n"...)
	if retryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	if status != http.StatusNoContent {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}
