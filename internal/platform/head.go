package platform

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"tinroute.example/tinroute/internal/link"
)

// requestError is an error in a request, with the HTTP status of the response to it.
type requestError struct {
	status int
	text   string
}

func (r *requestError) Error() string { return r.text }

// badRequest returns an error that is answered with status 400.
func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// errorStatus returns the status of the response to a message that failed with err.
func errorStatus(err error) int {
	if r := (*requestError)(nil); errors.As(err, &r) {
		return r.status
	}
	if errors.Is(err, link.ErrInputLimit) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// checkHead validates the raw head of a request before http.ReadRequest parses it, to prevent request
// smuggling. Where a head is ambiguous, a proxy in front of the dispatcher or a worker behind it may
// parse it differently, so that one treats as a body what the other treats as a request. checkHead
// rejects what net/http accepts silently:
//   - a Content-Length together with a Transfer-Encoding (net/http drops the length), either of them
//     twice, and a Transfer-Encoding in HTTP/1.0 (net/http ignores it);
//   - a field name that is not followed directly by its colon (net/http keeps the field under a name
//     that no code uses), and a line that continues the previous one;
//   - a line that ends in a bare LF, and any other control byte;
//   - versions that net/http would treat as 1.1, a missing Host in 1.1, and a target that is not a
//     plain path and query: a worker closes the connection when it cannot parse a request, which also
//     ends the other requests on that connection.
func checkHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	version, err := checkRequestLine(line)
	if err != nil {
		return err
	}
	lengths, encodings, hosts := 0, 0, 0
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line, err = lineText(line); err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
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

// checkRequestLine validates the request line and returns its HTTP version.
func checkRequestLine(line []byte) (version string, err error) {
	if line, err = lineText(line); err != nil {
		return "", err
	}
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || !isToken(parts[0]) {
		return "", badRequest("request line: malformed: %.40q", line)
	}
	version = string(parts[2])
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", &requestError{http.StatusHTTPVersionNotSupported, fmt.Sprintf("request line: version %.20q", version)}
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

// lineText strips the CR from a line, and rejects a line without one or with control bytes.
func lineText(line []byte) ([]byte, error) {
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

// isToken reports whether name is a token by RFC 9110.
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
