package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// keyError reports an invalid value of one key in a JSON document.
type keyError struct {
	path   []string // keys from the document's root, with array indexes in decimal
	reason string
}

func (e *keyError) Error() string { return e.path[len(e.path)-1] + ": " + e.reason }

// withPosition prefixes an error found in the file's text with the file name, and with the line if it
// can be determined.
func withPosition(file string, text []byte, err error) error {
	if line := errorLine(text, err); line > 0 {
		return fmt.Errorf("%s:%d: %w", file, line, err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

// errorLine returns the line that an error refers to, or 0 if there is none, as for a missing key.
func errorLine(text []byte, err error) int {
	var document any
	syntaxErr := (*json.SyntaxError)(nil)
	if errors.As(json.Unmarshal(text, &document), &syntaxErr) {
		return lineAtOffset(text, syntaxErr.Offset)
	}
	keyErr := (*keyError)(nil)
	if errors.As(err, &keyErr) {
		return lineOfKey(text, keyErr.path)
	}
	key, _, _ := strings.Cut(strings.TrimPrefix(err.Error(), "settings: "), ":")
	if line := lineOfKey(text, strings.Split(key, ".")); line > 0 {
		return line
	}
	return lineOfKey(text, append([]string{"settings"}, strings.Split(key, ".")...))
}

func lineAtOffset(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte("\n"))
}

// lineOfKey returns the line of the key at a path in a JSON document, or 0 if there is no such key.
func lineOfKey(text []byte, path []string) int {
	d := json.NewDecoder(bytes.NewReader(text))
	if len(path) == 0 || !seekKey(d, path) {
		return 0
	}
	return lineAtOffset(text, d.InputOffset())
}

// seekKey reads the decoder's tokens up to the key at the path and reports whether it exists.
func seekKey(d *json.Decoder, path []string) bool {
	opening, err := d.Token()
	if err != nil {
		return false
	}
	for i := 0; d.More(); i++ {
		name := strconv.Itoa(i)
		if opening == json.Delim('{') {
			key, err := d.Token()
			if err != nil {
				return false
			}
			name, _ = key.(string)
		}
		switch {
		case name != path[0]:
			var skipped json.RawMessage
			if d.Decode(&skipped) != nil {
				return false
			}
		case len(path) == 1:
			return true
		default:
			return seekKey(d, path[1:])
		}
	}
	return false
}
