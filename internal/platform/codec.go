// Package platform implements the platform's protocol, HTTP/1.1 over plain TCP: a server for clients
// and workers' call-backs, a client that sends attempts to workers over a connection pool, and a
// client that watches discovery's worker list.
package platform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"tinroute.example/tinroute/internal/link"
)

// The size limits of a message, in bytes.
const (
	maxHeadBytes = 64 << 10
	maxBodyBytes = 64 << 10
	// maxHeadFields is the largest number of fields in a head. Each takes some hundred bytes of memory once it is parsed,
	// which for 64 KiB of short ones would be megabytes.
	maxHeadFields = 128
)

var (
	errHeadTooLarge  = error(&requestError{http.StatusRequestHeaderFieldsTooLarge, "head over 64 KiB"})
	errTooManyFields = error(&requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head with over %d fields", maxHeadFields)})
	errBodyTooLarge  = error(&requestError{http.StatusRequestEntityTooLarge, "body over 64 KiB"})
)

// MaxInputBytes is the most memory that an incomplete message takes: its head, a chunked body and the slack of a buffer
// that grows.
const MaxInputBytes = (maxHeadBytes + maxChunkedBytes) * 5 / 4

// Message is a complete HTTP message: either a Request or a Response, and its body.
type Message struct {
	Request  *http.Request
	Response *http.Response
	Body     []byte
	Size     int  // bytes of the head and the encoded body
	Close    bool // the sender closes the connection after this message
}

// Framer splits a byte stream into HTTP messages. It does no I/O: a message is buffered up to its
// size limits until it is complete, so that a peer that stops in the middle of one blocks only its
// own connection.
type Framer struct {
	responses bool // frames responses instead of requests
	buf       []byte
	headLen   int // length of the head once it is complete, else 0
	scanned   int // how much of an incomplete head has been searched for its end
	reader    *bufio.Reader
	message   Message // parsed from the head, without its body
	chunks    chunkScanner
	bodyLen   int64 // -1 if the body is chunked, -2 if it ends with the stream
}

// NewRequestFramer returns a framer for the requests that a client sends.
func NewRequestFramer() *Framer { return &Framer{reader: bufio.NewReader(nil)} }

// NewResponseFramer returns a framer for the responses that a server sends.
func NewResponseFramer() link.Framer[Message] {
	return &Framer{responses: true, reader: bufio.NewReader(nil)}
}

// Feed appends bytes read from the stream.
func (f *Framer) Feed(p []byte) { f.buf = append(f.buf, p...) }

// Partial reports whether part of a message has been received.
func (f *Framer) Partial() bool { return len(f.buf) > 0 }

// Held returns how many bytes are buffered.
func (f *Framer) Held() int { return len(f.buf) }

// Next returns the next complete message, or nil if there is none yet. After an error the stream
// cannot be read further.
func (f *Framer) Next() (*Message, error) {
	if f.headLen == 0 {
		if f.scanned == 0 { // skip empty lines before a message
			f.buf = bytes.TrimLeft(f.buf, "\r\n")
		}
		end := endOfHead(f.buf, f.scanned)
		if end < 0 {
			if len(f.buf) > maxHeadBytes {
				return nil, errHeadTooLarge
			}
			f.scanned = max(0, len(f.buf)-3)
			return nil, nil
		}
		if end > maxHeadBytes {
			return nil, errHeadTooLarge
		}
		if err := f.parse(f.buf[:end]); err != nil {
			return nil, err
		}
		f.headLen = end
	}
	rest := f.buf[f.headLen:]
	switch {
	case f.bodyLen > maxBodyBytes:
		return nil, errBodyTooLarge
	case f.bodyLen >= 0:
		if int64(len(rest)) < f.bodyLen {
			return nil, nil
		}
		f.message.Body = bytes.Clone(rest[:f.bodyLen])
		return f.takeMessage(int(f.bodyLen)), nil
	case f.bodyLen == -1:
		return f.nextChunked(rest)
	}
	if len(rest) > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	return nil, nil
}

// End marks the end of the stream. It returns the message that the end completes, if any, or an error
// if a message is incomplete.
func (f *Framer) End() (*Message, error) {
	if f.headLen > 0 && f.bodyLen == -2 {
		f.message.Body = bytes.Clone(f.buf[f.headLen:])
		return f.takeMessage(len(f.buf) - f.headLen), nil
	}
	if len(f.buf) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, nil
}

// takeMessage returns the current message, whose body takes up bodyLen bytes in the buffer, and
// removes it from the buffer.
func (f *Framer) takeMessage(bodyLen int) *Message {
	m := f.message
	m.Size = f.headLen + bodyLen
	rest := f.buf[f.headLen+bodyLen:]
	if len(rest) == 0 && cap(f.buf) > 8<<10 {
		f.buf = nil // do not keep a large message's buffer for as long as the connection is open
	} else {
		f.buf = f.buf[:copy(f.buf, rest)]
	}
	f.headLen, f.scanned, f.message, f.chunks = 0, 0, Message{}, chunkScanner{}
	return &m
}

// endOfHead returns the length of the head that buf begins with, searching from index from, or -1 if
// it is incomplete.
func endOfHead(buf []byte, from int) int {
	for i := from; i < len(buf); i++ {
		if buf[i] != '\n' {
			continue
		}
		if i+1 < len(buf) && buf[i+1] == '\n' {
			return i + 2
		}
		if i+2 < len(buf) && buf[i+1] == '\r' && buf[i+2] == '\n' {
			return i + 3
		}
	}
	return -1
}

// parse parses a complete head and determines the length of the body.
func (f *Framer) parse(head []byte) error {
	if bytes.Count(head, []byte("\n")) > maxHeadFields+2 { // beside the first line and the empty one
		return errTooManyFields
	}
	f.reader.Reset(bytes.NewReader(head))
	var encoding []string
	if f.responses {
		r, err := http.ReadResponse(f.reader, nil)
		if err != nil {
			return fmt.Errorf("malformed response: %w", err)
		}
		f.message, f.bodyLen, encoding = Message{Response: r, Close: r.Close}, r.ContentLength, r.TransferEncoding
		if f.bodyLen < 0 && len(encoding) == 0 {
			f.bodyLen = -2
			f.message.Close = true
		}
		if r.StatusCode/100 == 1 {
			f.bodyLen = 0
		}
	} else {
		if err := checkHead(head); err != nil {
			return fmt.Errorf("malformed request: %w", err)
		}
		r, err := http.ReadRequest(f.reader)
		if err != nil {
			return fmt.Errorf("malformed request: %w", err)
		}
		f.message, f.bodyLen, encoding = Message{Request: r, Close: r.Close}, r.ContentLength, r.TransferEncoding
	}
	if len(encoding) > 0 {
		f.bodyLen = -1
	}
	return nil
}

// nextChunked searches for the end of a chunked body, and decodes the body with net/http once it is
// complete.
func (f *Framer) nextChunked(rest []byte) (*Message, error) {
	length, err := f.chunks.scan(rest)
	if err != nil || length == 0 {
		return nil, err
	}
	f.reader.Reset(bytes.NewReader(f.buf[:f.headLen+length]))
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
	return f.takeMessage(length), nil
}

// encodeResponse encodes a response. With closeConn it announces that the connection is closed after
// it.
func encodeResponse(status int, body []byte, retryAfter time.Duration, closeConn bool) []byte {
	buf := make([]byte, 0, 128+len(body))
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(append(append(buf, ' '), http.StatusText(status)...), "\r\n"...)
	if retryAfter > 0 {
		buf = append(buf, "Retry-After: "...)
		buf = strconv.AppendFloat(buf, retryAfter.Seconds(), 'f', 3, 64)
		buf = append(buf, "\r\n"...)
	}
	if closeConn {
		buf = append(buf, "Connection: close\r\n"...)
	}
	if status != http.StatusNoContent {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(append(buf, "\r\n"...), body...)
}
