package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// keyError is a fault of one key in a JSON file.
type keyError struct {
	path []string // from the document's root; an array's element is its index
	why  string
}

func (e *keyError) Error() string { return e.path[len(e.path)-1] + ": " + e.why }

// located adds the file, and the line where it is known, to a fault found in the file's text.
func located(file string, text []byte, err error) error {
	if line := faultyLine(text, err); line > 0 {
		return fmt.Errorf("%s:%d: %w", file, line, err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

// faultyLine is the line of the fault, or 0 where the fault is a key that is missing.
func faultyLine(text []byte, err error) int {
	var document any
	syntax := (*json.SyntaxError)(nil)
	if errors.As(json.Unmarshal(text, &document), &syntax) {
		return lineAt(text, syntax.Offset)
	}
	faulty := (*keyError)(nil)
	if errors.As(err, &faulty) {
		return lineOf(text, faulty.path)
	}
	key, _, _ := strings.Cut(strings.TrimPrefix(err.Error(), "settings: "), ":")
	if line := lineOf(text, strings.Split(key, ".")); line > 0 {
		return line
	}
	return lineOf(text, append([]string{"settings"}, strings.Split(key, ".")...))
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte("\n"))
}

// lineOf is the line of the key at a path in a JSON document, or 0 where there is none.
func lineOf(text []byte, path []string) int {
	d := json.NewDecoder(bytes.NewReader(text))
	if len(path) == 0 || !descend(d, path) {
		return 0
	}
	return lineAt(text, d.InputOffset())
}

// descend reads up to the key at the path, and tells whether it is there.
func descend(d *json.Decoder, path []string) bool {
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
			return descend(d, path[1:])
		}
	}
	return false
}
