// Package conform is a conformance suite for job servers that speak the Gearman protocol: tables
// of packets in a small scenario language, and a player for them. It plays the client's side
// against any address, and both sides against a dispatcher whose job servers it stands in for.
package conform

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"tinroute.example/tinroute/internal/gearman"
)

// names are the packets' names on gearman.org's protocol page.
var names = map[string]gearman.Type{
	"CAN_DO": 1, "CANT_DO": 2, "RESET_ABILITIES": 3, "PRE_SLEEP": 4, "NOOP": 6, "SUBMIT_JOB": 7, "JOB_CREATED": 8, "GRAB_JOB": 9,
	"NO_JOB": 10, "JOB_ASSIGN": 11, "WORK_STATUS": 12, "WORK_COMPLETE": 13, "WORK_FAIL": 14, "GET_STATUS": 15, "ECHO_REQ": 16,
	"ECHO_RES": 17, "SUBMIT_JOB_BG": 18, "ERROR": 19, "STATUS_RES": 20, "SUBMIT_JOB_HIGH": 21, "SET_CLIENT_ID": 22, "CAN_DO_TIMEOUT": 23,
	"ALL_YIELD": 24, "WORK_EXCEPTION": 25, "OPTION_REQ": 26, "OPTION_RES": 27, "WORK_DATA": 28, "WORK_WARNING": 29, "GRAB_JOB_UNIQ": 30,
	"JOB_ASSIGN_UNIQ": 31, "SUBMIT_JOB_HIGH_BG": 32, "SUBMIT_JOB_LOW": 33, "SUBMIT_JOB_LOW_BG": 34, "SUBMIT_JOB_SCHED": 35,
	"SUBMIT_JOB_EPOCH": 36, "SUBMIT_REDUCE_JOB": 37, "SUBMIT_REDUCE_JOB_BACKGROUND": 38, "GRAB_JOB_ALL": 39, "JOB_ASSIGN_ALL": 40,
	"GET_STATUS_UNIQUE": 41, "STATUS_RES_UNIQUE": 42}

var byType = func() map[gearman.Type]string {
	m := map[gearman.Type]string{}
	for name, t := range names {
		m[t] = name
	}
	return m
}()

// Known tells whether a word is a packet's name, or one of the words that stand for bytes.
func Known(word string) bool {
	_, ok := names[word]
	return ok || word == "text" || word == "raw" || word == "type"
}

// Words splits a line into its words. A word may be a quoted string of Go's.
func Words(line string) (words []string, err error) {
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimSpace(line) {
		if line[0] != '"' {
			word, rest, _ := strings.Cut(line, " ")
			words, line = append(words, word), rest
			continue
		}
		q, err := strconv.QuotedPrefix(line)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", line, err)
		}
		word, err := strconv.Unquote(q)
		if err != nil {
			return nil, err
		}
		words, line = append(words, word), line[len(q):]
	}
	return words, nil
}

// Vars are what a scenario has bound: $h in an expected packet takes what stands there, and in a
// sent one is replaced by it.
type Vars map[string]string

func (v Vars) fill(word string) string {
	for name, value := range v {
		word = strings.ReplaceAll(word, name, value)
	}
	return word
}

// Encode makes the bytes that words stand for: a packet's NAME and its arguments, "type NUMBER"
// and arguments, "text LINE", or "raw BYTES". A word ×N behind a word repeats it.
func Encode(words []string, v Vars, response bool) ([]byte, error) {
	args := make([]string, 0, len(words))
	for _, w := range words[1:] {
		if n, err := strconv.Atoi(strings.TrimPrefix(w, "×")); err == nil && strings.HasPrefix(w, "×") && len(args) > 0 {
			args[len(args)-1] = strings.Repeat(args[len(args)-1], n)
			continue
		}
		args = append(args, v.fill(w))
	}
	t, ok := names[words[0]]
	switch {
	case words[0] == "raw":
		return []byte(strings.Join(args, "")), nil
	case words[0] == "text":
		return []byte(strings.Join(args, " ") + "\r\n"), nil
	case words[0] == "type" && len(args) > 0:
		n, err := strconv.ParseUint(args[0], 10, 32)
		if err != nil {
			return nil, err
		}
		t, args = gearman.Type(n), args[1:]
	case !ok:
		return nil, fmt.Errorf("no packet %q", words[0])
	}
	if response {
		return gearman.Response(t, args...), nil
	}
	return gearman.Request(t, args...), nil
}

// Heard is what came on a connection: a packet, a line of text, or its end.
type Heard struct {
	Type   gearman.Type
	Args   []string
	Text   bool
	Closed bool
}

func (h Heard) String() string {
	switch {
	case h.Closed:
		return "closed"
	case h.Text:
		return "text " + strconv.Quote(h.Args[0])
	}
	name, ok := byType[h.Type]
	if !ok {
		name = fmt.Sprint("type ", uint32(h.Type))
	}
	for _, a := range h.Args {
		if len(a) > 60 {
			a = a[:60] + "…"
		}
		name += " " + strconv.Quote(a)
	}
	return name
}

// Matches tells whether words describe what was heard, and binds the variables in them. * stands
// for anything, and a word that ends in * for anything that begins so.
func (h Heard) Matches(words []string, v Vars) bool {
	switch {
	case h.Closed || words[0] == "closed":
		return h.Closed && words[0] == "closed"
	case h.Text != (words[0] == "text"):
		return false
	case !h.Text && names[words[0]] != h.Type:
		return false
	case len(words)-1 != len(h.Args):
		return false
	}
	bound := Vars{}
	for i, w := range words[1:] {
		if strings.HasPrefix(w, "$") && v[w] == "" {
			bound[w] = h.Args[i]
			continue
		}
		w = v.fill(w)
		if prefix, open := strings.CutSuffix(w, "*"); w != h.Args[i] && (!open || !strings.HasPrefix(h.Args[i], prefix)) {
			return false
		}
	}
	for name, value := range bound {
		v[name] = value
	}
	return true
}

// arguments of the packets whose last may hold any bytes: that many, by type.
var lasts = map[gearman.Type]int{7: 3, 8: 1, 12: 3, 13: 2, 14: 1, 16: 1, 17: 1, 19: 2, 20: 5, 25: 2, 26: 1, 27: 1, 28: 2, 29: 2, 42: 6}

// Reader cuts what a peer sends into packets and lines, whichever comes. It is fed bytes and
// knows no socket.
type Reader struct{ buf []byte }

// Feed adds bytes and returns what they complete. An error says that they are neither.
func (r *Reader) Feed(p []byte) (heard []Heard, err error) {
	r.buf = append(r.buf, p...)
	for len(r.buf) > 0 {
		if r.buf[0] != 0 {
			i := strings.IndexByte(string(r.buf), '\n')
			if i < 0 {
				return heard, nil
			}
			heard = append(heard, Heard{Text: true, Args: []string{strings.TrimSuffix(string(r.buf[:i]), "\r")}})
			r.buf = r.buf[i+1:]
			continue
		}
		if len(r.buf) < 12 {
			return heard, nil
		}
		if m := string(r.buf[:4]); m != "\x00RES" && m != "\x00REQ" {
			return heard, fmt.Errorf("magic %q", m)
		}
		n := binary.BigEndian.Uint32(r.buf[8:])
		if n > 1<<20 {
			return heard, fmt.Errorf("length %d", n)
		}
		if len(r.buf) < 12+int(n) {
			return heard, nil
		}
		t := gearman.Type(binary.BigEndian.Uint32(r.buf[4:]))
		body := string(r.buf[12 : 12+n])
		h := Heard{Type: t}
		if most := lasts[t]; body != "" || most == 1 && (t == 16 || t == 17) {
			h.Args = strings.SplitN(body, "\x00", max(most, 1))
		}
		heard, r.buf = append(heard, h), r.buf[12+n:]
	}
	return heard, nil
}
