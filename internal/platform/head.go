package platform

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// refusal is an error that names the status by which a client is told of it.
type refusal struct {
	status int
	text   string
}

func (r *refusal) Error() string { return r.text }

func badRequest(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// refusalStatus is the status that a refused message is answered with.
func refusalStatus(err error) int {
	if r := (*refusal)(nil); errors.As(err, &r) {
		return r.status
	}
	return http.StatusBadRequest
}

// checkHead looks at a request's head as it came, before http.ReadRequest makes one
// reading of it: where two readings are possible, the front before us or a worker behind
// us may take the other, and what one takes for a body is a request to the next. So it
// refuses what net/http settles in silence:
//   - a Content-Length beside a Transfer-Encoding (net/http drops the length), either of
//     them twice, and a Transfer-Encoding in HTTP/1.0 (net/http ignores it);
//   - a field name that is not followed by its colon at once (net/http keeps it under a
//     name that no one looks for) and a line that continues the one before;
//   - a line that ends in a bare LF, and any other control byte;
//   - versions that it would answer as if they were 1.1, no Host in 1.1, and a target that
//     is not a plain path and query: workers close on what they cannot read, whatever else
//     waits on that connection.
func checkHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	version, err := checkRequestLine(line)
	if err != nil {
		return err
	}
	lengths, encodings, hosts := 0, 0, 0
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line, err = textOf(line); err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		name, _, colon := bytes.Cut(line, []byte(":"))
		if !colon || !isToken(name) {
			return badRequest("header line: %.40q does not begin with a name and a colon", line)
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	switch {
	case lengths > 0 && encodings > 0:
		return badRequest("Content-Length: beside Transfer-Encoding")
	case lengths > 1:
		return badRequest("Content-Length: repeated")
	case encodings > 1:
		return badRequest("Transfer-Encoding: repeated")
	case encodings > 0 && version != "HTTP/1.1":
		return badRequest("Transfer-Encoding: in %s", version)
	case hosts == 0 && version == "HTTP/1.1":
		return badRequest("Host: missing")
	}
	return nil
}

func checkRequestLine(line []byte) (version string, err error) {
	if line, err = textOf(line); err != nil {
		return "", err
	}
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || !isToken(parts[0]) {
		return "", badRequest("request line: malformed: %.40q", line)
	}
	version = string(parts[2])
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", &refusal{http.StatusHTTPVersionNotSupported, fmt.Sprintf("request line: version %.20q", version)}
	}
	for _, c := range parts[1] {
		if c <= ' ' || c >= 0x7f || c == '#' {
			return "", badRequest("request line: byte %#x in the target", c)
		}
	}
	if len(parts[1]) == 0 || parts[1][0] != '/' {
		return "", badRequest("request line: the target is not a path: %.40q", parts[1])
	}
	return version, nil
}

// textOf takes a line's CR off, and refuses a line without one or with control bytes.
func textOf(line []byte) ([]byte, error) {
	text, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return nil, badRequest("head: a line ends in a bare LF")
	}
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, badRequest("head: control byte %#x", c)
		}
	}
	return text, nil
}

// isToken tells whether a name is one by RFC 9110.
func isToken(name []byte) bool {
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(name) > 0
}
