// Package conform is a conformance test suite for Gearman job servers: cases in a small script language, and a runner for
// them. The runner acts as the client of a server at any address, and also as the job servers behind a dispatcher.
package conform

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"tinroute.example/tinroute/internal/gearman"
)

// packetTypes maps the packet names of gearman.org's protocol page to their types.
var packetTypes = map[string]gearman.Type{
	"CAN_DO": 1, "CANT_DO": 2, "RESET_ABILITIES": 3, "PRE_SLEEP": 4, "NOOP": 6, "SUBMIT_JOB": 7, "JOB_CREATED": 8, "GRAB_JOB": 9,
	"NO_JOB": 10, "JOB_ASSIGN": 11, "WORK_STATUS": 12, "WORK_COMPLETE": 13, "WORK_FAIL": 14, "GET_STATUS": 15, "ECHO_REQ": 16,
	"ECHO_RES": 17, "SUBMIT_JOB_BG": 18, "ERROR": 19, "STATUS_RES": 20, "SUBMIT_JOB_HIGH": 21, "SET_CLIENT_ID": 22, "CAN_DO_TIMEOUT": 23,
	"ALL_YIELD": 24, "WORK_EXCEPTION": 25, "OPTION_REQ": 26, "OPTION_RES": 27, "WORK_DATA": 28, "WORK_WARNING": 29, "GRAB_JOB_UNIQ": 30,
	"JOB_ASSIGN_UNIQ": 31, "SUBMIT_JOB_HIGH_BG": 32, "SUBMIT_JOB_LOW": 33, "SUBMIT_JOB_LOW_BG": 34, "SUBMIT_JOB_SCHED": 35,
	"SUBMIT_JOB_EPOCH": 36, "SUBMIT_REDUCE_JOB": 37, "SUBMIT_REDUCE_JOB_BACKGROUND": 38, "GRAB_JOB_ALL": 39, "JOB_ASSIGN_ALL": 40,
	"GET_STATUS_UNIQUE": 41, "STATUS_RES_UNIQUE": 42}

var packetNames = func() map[gearman.Type]string {
	m := map[gearman.Type]string{}
	for name, t := range packetTypes {
		m[t] = name
	}
	return m
}()

// IsPacketName reports whether Encode accepts the word as its first word: a packet name, or text, raw or type.
func IsPacketName(word string) bool {
	_, ok := packetTypes[word]
	return ok || word == "text" || word == "raw" || word == "type"
}

// SplitWords splits a line into words. A word may be a quoted Go string.
func SplitWords(line string) (words []string, err error) {
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

// Vars are the variables of a case, such as $h. In an expected packet, an unset variable is set to the argument at its
// position. Set variables are replaced with their values, in sent and in expected packets.
type Vars map[string]string

// expand replaces the variables in a word.
func (v Vars) expand(word string) string {
	for name, value := range v {
		word = strings.ReplaceAll(word, name, value)
	}
	return word
}

// Encode encodes the words of a line: a packet name and its arguments, "type NUMBER" and arguments, "text LINE", or
// "raw BYTES". A word ×N repeats the word before it N times.
func Encode(words []string, vars Vars, response bool) ([]byte, error) {
	args := make([]string, 0, len(words))
	for _, word := range words[1:] {
		if n, err := strconv.Atoi(strings.TrimPrefix(word, "×")); err == nil && strings.HasPrefix(word, "×") && len(args) > 0 {
			args[len(args)-1] = strings.Repeat(args[len(args)-1], n)
			continue
		}
		args = append(args, vars.expand(word))
	}
	packetType, ok := packetTypes[words[0]]
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
		packetType, args = gearman.Type(n), args[1:]
	case !ok:
		return nil, fmt.Errorf("unknown packet %q", words[0])
	}
	if response {
		return gearman.Response(packetType, args...), nil
	}
	return gearman.Request(packetType, args...), nil
}

// Message is a packet or a line of text received on a connection, or the end of the connection.
type Message struct {
	Type   gearman.Type
	Args   []string // for a text line, the line as the only element
	IsText bool
	Closed bool
}

func (msg Message) String() string {
	switch {
	case msg.Closed:
		return "closed"
	case msg.IsText:
		return "text " + strconv.Quote(msg.Args[0])
	}
	name, ok := packetNames[msg.Type]
	if !ok {
		name = fmt.Sprint("type ", uint32(msg.Type))
	}
	for _, a := range msg.Args {
		if len(a) > 60 {
			a = a[:60] + "…"
		}
		name += " " + strconv.Quote(a)
	}
	return name
}

// Matches reports whether the words of an expected line match the message, and binds the variables in them if so. The
// word * matches any argument, and a word that ends in * any argument with that prefix.
func (msg Message) Matches(words []string, vars Vars) bool {
	switch {
	case msg.Closed || words[0] == "closed":
		return msg.Closed && words[0] == "closed"
	case msg.IsText != (words[0] == "text"):
		return false
	case !msg.IsText && packetTypes[words[0]] != msg.Type:
		return false
	case len(words)-1 != len(msg.Args):
		return false
	}
	bound := Vars{}
	for i, word := range words[1:] {
		if strings.HasPrefix(word, "$") && vars[word] == "" {
			bound[word] = msg.Args[i]
			continue
		}
		word = vars.expand(word)
		if prefix, wildcard := strings.CutSuffix(word, "*"); word != msg.Args[i] && (!wildcard || !strings.HasPrefix(msg.Args[i], prefix)) {
			return false
		}
	}
	for name, value := range bound {
		vars[name] = value
	}
	return true
}

// maxArgs is the number of arguments by packet type, for packets whose last argument may contain NUL bytes.
var maxArgs = map[gearman.Type]int{7: 3, 8: 1, 12: 3, 13: 2, 14: 1, 16: 1, 17: 1, 19: 2, 20: 5, 25: 2, 26: 1, 27: 1, 28: 2, 29: 2, 42: 6}

// Decoder splits received bytes into packets and text lines.
type Decoder struct{ buf []byte }

// Feed adds received bytes and returns the messages that they complete. It returns an error for an invalid packet header.
func (d *Decoder) Feed(data []byte) (messages []Message, err error) {
	d.buf = append(d.buf, data...)
	for len(d.buf) > 0 {
		if d.buf[0] != 0 {
			i := strings.IndexByte(string(d.buf), '\n')
			if i < 0 {
				return messages, nil
			}
			messages = append(messages, Message{IsText: true, Args: []string{strings.TrimSuffix(string(d.buf[:i]), "\r")}})
			d.buf = d.buf[i+1:]
			continue
		}
		if len(d.buf) < 12 {
			return messages, nil
		}
		if m := string(d.buf[:4]); m != "\x00RES" && m != "\x00REQ" {
			return messages, fmt.Errorf("invalid packet magic %q", m)
		}
		length := binary.BigEndian.Uint32(d.buf[8:])
		if length > 1<<20 {
			return messages, fmt.Errorf("packet length %d exceeds 1 MiB", length)
		}
		if len(d.buf) < 12+int(length) {
			return messages, nil
		}
		t := gearman.Type(binary.BigEndian.Uint32(d.buf[4:]))
		body := string(d.buf[12 : 12+length])
		msg := Message{Type: t}
		if argLimit := maxArgs[t]; body != "" || argLimit == 1 && (t == 16 || t == 17) {
			msg.Args = strings.SplitN(body, "\x00", max(argLimit, 1))
		}
		messages, d.buf = append(messages, msg), d.buf[12+length:]
	}
	return messages, nil
}
