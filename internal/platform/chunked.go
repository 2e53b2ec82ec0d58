package platform

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// maxChunkedBytes limits the encoded size of a chunked body: many tiny chunks, long extensions or a long trailer.
	maxChunkedBytes = 4 * maxBodyBytes
	// maxChunkLineBytes limits the line before a chunk, with its extensions.
	maxChunkLineBytes = 1 << 10
)

var errMalformedChunk = errors.New("malformed chunk")

// chunkScanner finds the end of a chunked body that arrives in pieces. It keeps its place between calls, so that each
// byte is searched once, however small the pieces are.
type chunkScanner struct {
	lineStart int // where the current line begins; it may lie beyond the bytes received so far
	searched  int // up to where the current line has been searched for its end
	size      int // data in the chunks so far, in bytes
	trailer   bool
}

// scan continues with all bytes of the body received so far. It returns the length of the encoded body once it is
// complete, and 0 before. The contents are not validated beyond what finding the end takes.
func (s *chunkScanner) scan(body []byte) (length int, err error) {
	for {
		line, ok := s.nextLine(body)
		switch {
		case !ok && len(body) > maxChunkedBytes:
			return 0, errBodyTooLarge
		case !ok && !s.trailer && len(body)-s.lineStart > maxChunkLineBytes:
			return 0, errMalformedChunk
		case !ok:
			return 0, nil
		case s.trailer && len(line) == 0:
			return s.lineStart, nil
		case !s.trailer:
			if err := s.beginChunk(line); err != nil {
				return 0, err
			}
		}
	}
}

// nextLine returns the next line without its line ending, or false if it is incomplete.
func (s *chunkScanner) nextLine(body []byte) (line []byte, ok bool) {
	from := max(s.lineStart, s.searched)
	if from > len(body) {
		return nil, false
	}
	newline := bytes.IndexByte(body[from:], '\n')
	if newline < 0 {
		s.searched = len(body)
		return nil, false
	}
	end := from + newline
	line = bytes.TrimSpace(body[s.lineStart:end])
	s.lineStart = end + 1
	return line, true
}

// beginChunk reads the line before a chunk, and skips the chunk's data and its line ending.
func (s *chunkScanner) beginChunk(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if err != nil {
		return errMalformedChunk
	}
	if s.size += int(n); s.size > maxBodyBytes {
		return errBodyTooLarge
	}
	if n == 0 {
		s.trailer = true
		return nil
	}
	s.lineStart += int(n) + len("\r\n")
	return nil
}
