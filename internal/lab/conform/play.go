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
var files embed.FS

// Case is one scenario of the suite.
type Case struct {
	Name  string
	Tags  []string // what it needs of the server, see Cases
	Lines []string
}

// Needs tells whether a case has a tag.
func (c Case) Needs(tag string) bool { return slices.Contains(c.Tags, tag) }

// Cases returns the suite. A case's tags say what it needs: "worker" that some worker serves
// the function $f, "server" that its job servers are the player's, "store" that
// background jobs are kept, "nostore" that they are not, "ours" that the answer is tinroute's own.
func Cases() ([]Case, error) {
	var cases []Case
	err := fs.WalkDir(files, "cases", func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := files.ReadFile(p)
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
				return fmt.Errorf("%s: %q stands before the first case", p, line)
			default:
				c := &cases[len(cases)-1]
				c.Lines = append(c.Lines, line)
			}
		}
		return nil
	})
	return cases, err
}

// Conn is one scripted connection.
type Conn struct {
	net.Conn
	Server bool // it answers as a job server does
	mu     sync.Mutex
	heard  []Heard
	out    chan []byte
	once   sync.Once
}

// NewConn reads from the connection until its end.
func NewConn(c net.Conn, server bool) *Conn {
	n := &Conn{Conn: c, Server: server, out: make(chan []byte, 1<<10)}
	go func() { // the other side may close in the middle, or not read
		for data := range n.out {
			if _, err := c.Write(data); err != nil {
				_ = c.Close()
			}
		}
	}()
	go func() {
		r, buf := &Reader{}, make([]byte, 16<<10)
		for {
			k, err := c.Read(buf)
			heard, bad := r.Feed(buf[:k])
			if bad != nil {
				heard = append(heard, Heard{Text: true, Args: []string{"unreadable: " + bad.Error()}})
				err = bad
			}
			if err != nil {
				heard = append(heard, Heard{Closed: true})
			}
			n.mu.Lock()
			n.heard = append(n.heard, heard...)
			n.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return n
}

// Say sends what words stand for. "split N" before them sends N bytes at a time.
func (n *Conn) Say(words []string, v Vars) error {
	piece := 0
	if words[0] == "split" && len(words) > 2 {
		var err error
		if piece, err = strconv.Atoi(words[1]); err != nil || piece < 1 {
			return fmt.Errorf("split %q", words[1])
		}
		words = words[2:]
	}
	data, err := Encode(words, v, n.Server)
	if err != nil {
		return err
	}
	if piece == 0 {
		piece = len(data)
	}
	for len(data) > 0 {
		k := min(piece, len(data))
		select {
		case n.out <- data[:k]:
		default:
			return errors.New("nothing is read there")
		}
		data = data[k:]
	}
	return nil
}

// Close ends the connection. Nothing is said on it any more.
func (n *Conn) Close() error {
	n.once.Do(func() { close(n.out) })
	return n.Conn.Close()
}

// Heard takes the first thing that words match out of what was heard. What came before it
// stays: answers on one connection come in the order of their jobs' ends.
func (n *Conn) Heard(words []string, v Vars) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, h := range n.heard {
		if h.Matches(words, v) {
			n.heard = slices.Delete(n.heard, i, i+1)
			return true
		}
	}
	return false
}

// Left is what was heard and no line has expected.
func (n *Conn) Left() []Heard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.heard)
}

// Player plays cases.
type Player struct {
	Dial func(ctx context.Context) (net.Conn, error)
	// Accept returns the next connection to the job server of a letter, where the player has
	// them.
	Accept func(ctx context.Context, name string) (net.Conn, error)
	Vars   Vars          // bound from the start: $f is a function that is served
	Wait   time.Duration // how long to wait for what is expected
}

// Play plays one case. Its lines:
//
//	send 1 [split N] NAME ARGS ...  client 1 sends a packet, "text LINE" or "raw BYTES"; so does server a
//	expect 1 NAME ARGS ...          it is sent such a packet, "text LINE", or "closed"
//	expect 1 nothing                nothing has come that no line expects
//	close 1                         it closes its connection
//	wait 1s
//
// A number is a client, a letter a connection to a job server of the player's: the next one that
// the dispatcher opens there.
func (p *Player) Play(ctx context.Context, c Case) error {
	conns, vars := map[string]*Conn{}, Vars{}
	for name, value := range p.Vars {
		vars[name] = value
	}
	defer func() {
		for _, n := range conns {
			_ = n.Close()
		}
	}()
	conn := func(name string) (*Conn, error) {
		if n := conns[name]; n != nil {
			return n, nil
		}
		ctx, cancel := context.WithTimeout(ctx, p.Wait)
		defer cancel()
		var nc net.Conn
		var err error
		server := name[0] >= 'a' && name[0] <= 'z'
		if server {
			nc, err = p.Accept(ctx, name[:1])
		} else {
			nc, err = p.Dial(ctx)
		}
		if err != nil {
			return nil, err
		}
		conns[name] = NewConn(nc, server)
		return conns[name], nil
	}
	for _, line := range c.Lines {
		if err := p.line(line, conn, conns, vars); err != nil {
			return fmt.Errorf("%s: %w", line, err)
		}
	}
	return nil
}

var errWords = errors.New("no such line")

func (p *Player) line(line string, conn func(string) (*Conn, error), conns map[string]*Conn, vars Vars) error {
	w, err := Words(line)
	if err != nil {
		return err
	}
	if len(w) < 2 {
		return errWords
	}
	if w[0] == "wait" {
		d, err := time.ParseDuration(w[1])
		time.Sleep(d)
		return err
	}
	n, err := conn(w[1])
	if err != nil {
		return err
	}
	switch {
	case w[0] == "close":
		delete(conns, w[1])
		return n.Close()
	case len(w) < 3:
		return errWords
	case w[0] == "send":
		return n.Say(w[2:], vars)
	case w[0] != "expect":
		return errWords
	case w[2] == "nothing":
		time.Sleep(50 * time.Millisecond)
		if left := n.Left(); len(left) > 0 {
			return fmt.Errorf("came: %v", left)
		}
		return nil
	}
	for until := time.Now().Add(p.Wait); !n.Heard(w[2:], vars); {
		if time.Now().After(until) {
			return fmt.Errorf("came: %v", n.Left())
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}
