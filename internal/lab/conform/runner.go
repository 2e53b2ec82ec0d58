package conform

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

//go:embed cases/*.txt
var caseFiles embed.FS

// Case is one test case.
type Case struct {
	Name  string
	Tags  []string // requirements on the tested server; see Cases
	Lines []string
}

// HasTag reports whether the case has a tag.
func (c Case) HasTag(tag string) bool { return slices.Contains(c.Tags, tag) }

// Cases returns all test cases. The tags of a case state what it requires: "worker" a worker that serves the function $f,
// "server" that the runner acts as the job servers, "store" that background jobs are stored, "nostore" that they are not,
// "ours" that the server is tinroute, since the expected answer is specific to it.
func Cases() ([]Case, error) {
	var cases []Case
	err := fs.WalkDir(caseFiles, "cases", func(p string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := caseFiles.ReadFile(p)
		if err != nil {
			return err
		}
		group := strings.TrimSuffix(path.Base(p), ".txt")
		for _, line := range strings.Split(string(text), "\n") {
			line = strings.TrimSpace(line)
			switch name, isCase := strings.CutPrefix(line, "case "); {
			case line == "" || strings.HasPrefix(line, "#"):
			case isCase:
				name, tags, _ := strings.Cut(name, " @")
				cases = append(cases, Case{Name: group + ": " + name, Tags: strings.Split(tags, " @")})
			case len(cases) == 0:
				return fmt.Errorf("%s: line %q precedes the first case", p, line)
			default:
				c := &cases[len(cases)-1]
				c.Lines = append(c.Lines, line)
			}
		}
		return nil
	})
	return cases, err
}

// Conn is a connection of a case.
type Conn struct {
	net.Conn
	Server    bool // this side is the job server
	mu        sync.Mutex
	received  []Message
	outgoing  chan []byte
	closeOnce sync.Once
}

// NewConn returns a Conn that receives messages from the connection until its end.
func NewConn(netConn net.Conn, server bool) *Conn {
	conn := &Conn{Conn: netConn, Server: server, outgoing: make(chan []byte, 1<<10)}
	go func() { // a separate goroutine, since the other side may close the connection meanwhile or not read
		for data := range conn.outgoing {
			if _, err := netConn.Write(data); err != nil {
				_ = netConn.Close()
			}
		}
	}()
	go func() {
		decoder, buf := &Decoder{}, make([]byte, 16<<10)
		for {
			n, err := netConn.Read(buf)
			messages, decodeErr := decoder.Feed(buf[:n])
			if decodeErr != nil {
				messages = append(messages, Message{IsText: true, Args: []string{"unreadable: " + decodeErr.Error()}})
				err = decodeErr
			}
			if err != nil {
				messages = append(messages, Message{Closed: true})
			}
			conn.mu.Lock()
			conn.received = append(conn.received, messages...)
			conn.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return conn
}

// Send encodes and sends the words of a line. "split N" before them writes N bytes at a time.
func (conn *Conn) Send(words []string, vars Vars) error {
	chunkSize := 0
	if words[0] == "split" && len(words) > 2 {
		var err error
		if chunkSize, err = strconv.Atoi(words[1]); err != nil || chunkSize < 1 {
			return fmt.Errorf("invalid split size %q", words[1])
		}
		words = words[2:]
	}
	data, err := Encode(words, vars, conn.Server)
	if err != nil {
		return err
	}
	if chunkSize == 0 {
		chunkSize = len(data)
	}
	for len(data) > 0 {
		n := min(chunkSize, len(data))
		select {
		case conn.outgoing <- data[:n]:
		default:
			return errors.New("send queue is full: the other side does not read")
		}
		data = data[n:]
	}
	return nil
}

// Close closes the connection. Send must not be called after it.
func (conn *Conn) Close() error {
	conn.closeOnce.Do(func() { close(conn.outgoing) })
	return conn.Conn.Close()
}

// TakeMatch removes the first received message that matches the words and reports whether there was one. Earlier messages
// stay, since answers on a connection come in the order in which their jobs end.
func (conn *Conn) TakeMatch(words []string, vars Vars) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for i, msg := range conn.received {
		if msg.Matches(words, vars) {
			conn.received = slices.Delete(conn.received, i, i+1)
			return true
		}
	}
	return false
}

// Unmatched returns the received messages that no line has matched.
func (conn *Conn) Unmatched() []Message {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return slices.Clone(conn.received)
}

// Runner runs test cases.
type Runner struct {
	Dial func(ctx context.Context) (net.Conn, error)
	// Accept returns the next connection to the job server with the given name, a letter. It is needed only for cases with
	// the tag "server".
	Accept  func(ctx context.Context, name string) (net.Conn, error)
	Vars    Vars          // initial variables: $f is a function that is served
	Timeout time.Duration // how long to wait for an expected message
}

// Run runs one case. Its lines are:
//
//	send 1 [split N] NAME ARGS ...  send a packet, "text LINE" or "raw BYTES" on connection 1
//	expect 1 NAME ARGS ...          wait for such a packet, "text LINE", or "closed" on connection 1
//	expect 1 nothing                fail if there is a message that no line has matched
//	close 1                         close connection 1
//	wait 1s                         sleep
//
// A number names a connection of a client. A letter names the next connection that the dispatcher opens to that job server
// of the runner.
func (r *Runner) Run(ctx context.Context, c Case) error {
	conns, vars := map[string]*Conn{}, Vars{}
	for name, value := range r.Vars {
		vars[name] = value
	}
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	open := func(name string) (*Conn, error) {
		if conn := conns[name]; conn != nil {
			return conn, nil
		}
		ctx, cancel := context.WithTimeout(ctx, r.Timeout)
		defer cancel()
		var netConn net.Conn
		var err error
		server := name[0] >= 'a' && name[0] <= 'z'
		if server {
			netConn, err = r.Accept(ctx, name[:1])
		} else {
			netConn, err = r.Dial(ctx)
		}
		if err != nil {
			return nil, err
		}
		conns[name] = NewConn(netConn, server)
		return conns[name], nil
	}
	for _, line := range c.Lines {
		if err := r.runLine(line, open, conns, vars); err != nil {
			return fmt.Errorf("%s: %w", line, err)
		}
	}
	return nil
}

var errSyntax = errors.New("invalid line")

func (r *Runner) runLine(line string, open func(string) (*Conn, error), conns map[string]*Conn, vars Vars) error {
	words, err := SplitWords(line)
	if err != nil {
		return err
	}
	if len(words) < 2 {
		return errSyntax
	}
	if words[0] == "wait" {
		d, err := time.ParseDuration(words[1])
		time.Sleep(d)
		return err
	}
	conn, err := open(words[1])
	if err != nil {
		return err
	}
	switch {
	case words[0] == "close":
		delete(conns, words[1])
		return conn.Close()
	case len(words) < 3:
		return errSyntax
	case words[0] == "send":
		return conn.Send(words[2:], vars)
	case words[0] != "expect":
		return errSyntax
	case words[2] == "nothing":
		time.Sleep(50 * time.Millisecond)
		if unmatched := conn.Unmatched(); len(unmatched) > 0 {
			return fmt.Errorf("unexpected messages: %v", unmatched)
		}
		return nil
	}
	for deadline := time.Now().Add(r.Timeout); !conn.TakeMatch(words[2:], vars); {
		if time.Now().After(deadline) {
			return fmt.Errorf("not received; other messages: %v", conn.Unmatched())
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}
