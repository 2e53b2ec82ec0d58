package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Packet types of the Gearman protocol.
const (
	submitJob      = 7
	jobCreated     = 8
	workStatus     = 12
	workComplete   = 13
	workFail       = 14
	echoReq        = 16
	echoRes        = 17
	submitJobBG    = 18
	errorPacket    = 19
	submitJobEpoch = 36
	workException  = 25
)

var packetNames = map[int]string{submitJob: "SUBMIT_JOB", jobCreated: "JOB_CREATED", workStatus: "WORK_STATUS", workComplete: "WORK_COMPLETE",
	workFail: "WORK_FAIL", echoReq: "ECHO_REQ", echoRes: "ECHO_RES", submitJobBG: "SUBMIT_JOB_BG", errorPacket: "ERROR",
	submitJobEpoch: "SUBMIT_JOB_EPOCH", workException: "WORK_EXCEPTION"}

// packet is one packet of the Gearman protocol.
type packet struct {
	kind int
	args []string
}

func (p packet) String() string {
	args := make([]string, len(p.args))
	for i, a := range p.args {
		if len(a) > 60 {
			a = a[:60] + "..."
		}
		args[i] = fmt.Sprintf("%q", a)
	}
	return packetNames[p.kind] + " " + strings.Join(args, " ")
}

// encode returns the bytes of a packet.
func encode(magic string, kind int, args ...string) []byte {
	body := strings.Join(args, "\x00")
	b := append([]byte("\x00"+magic), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(b[4:], uint32(kind))
	binary.BigEndian.PutUint32(b[8:], uint32(len(body)))
	return append(b, body...)
}

// readPacket reads one packet.
func readPacket(r io.Reader) (packet, error) {
	head := make([]byte, 12)
	if _, err := io.ReadFull(r, head); err != nil {
		return packet{}, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[8:]))
	if _, err := io.ReadFull(r, body); err != nil {
		return packet{}, err
	}
	p := packet{kind: int(binary.BigEndian.Uint32(head[4:]))}
	for _, a := range bytes.Split(body, []byte{0}) {
		p.args = append(p.args, string(a))
	}
	return p, nil
}

// jobServer is a stand-in for a Gearman job server with its workers. It runs every job for the time that work
// returns and then answers WORK_COMPLETE.
type jobServer struct {
	l        *lab
	name     string
	addr     string
	listener net.Listener
	work     func(function, unique, data string) time.Duration

	mu   sync.Mutex
	runs map[string]int // how often each job was begun, by its data
	n    int
}

// newJobServer starts a job server.
func newJobServer(l *lab, name string, work func(function, unique, data string) time.Duration) *jobServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &jobServer{l: l, name: name, addr: listener.Addr().String(), listener: listener, work: work, runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// ran returns how often a job with the given data was begun.
func (s *jobServer) ran(data string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[data]
}

func (s *jobServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		p, err := readPacket(r)
		if err != nil {
			return
		}
		if p.kind != submitJob || len(p.args) != 3 {
			s.l.log("%s: got an unexpected %v", s.name, p)
			return
		}
		s.mu.Lock()
		s.n++
		handle := fmt.Sprintf("H:%s:%d", s.name, s.n)
		s.runs[p.args[2]]++
		s.mu.Unlock()
		s.l.log("%s: begins %v", s.name, p)
		if _, err := conn.Write(append(encode("RES", jobCreated, handle), encode("RES", workStatus, handle, "0", "100")...)); err != nil {
			return
		}
		time.Sleep(s.work(p.args[0], p.args[1], p.args[2]))
		if _, err := conn.Write(encode("RES", workComplete, handle, "result of "+p.args[2])); err != nil {
			return
		}
		s.l.log("%s: ended %q", s.name, p.args[2])
	}
}

// gearmanClient is a client's connection to the dispatcher.
type gearmanClient struct {
	l    *lab
	name string
	conn net.Conn
	r    *bufio.Reader
}

// dialGearman connects a client; it tries again for up to 20 s.
func dialGearman(l *lab, name, addr string) *gearmanClient {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			return &gearmanClient{l: l, name: name, conn: conn, r: bufio.NewReader(conn)}
		}
		if time.Now().After(end) {
			panic(err)
		}
	}
}

// send sends one packet.
func (c *gearmanClient) send(kind int, args ...string) {
	c.l.log("%s: sends %v", c.name, packet{kind, args})
	if _, err := c.conn.Write(encode("REQ", kind, args...)); err != nil {
		c.l.log("%s: write: %v", c.name, err)
	}
}

// receive waits for the next packet other than WORK_STATUS.
func (c *gearmanClient) receive(limit time.Duration) (packet, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	for {
		p, err := readPacket(c.r)
		if err == nil && p.kind == workStatus {
			continue
		}
		if err != nil {
			c.l.log("%s: read: %v", c.name, err)
		} else {
			c.l.log("%s: got %v", c.name, p)
		}
		return p, err
	}
}

// command sends a line of the text protocol on a connection of its own and returns the answer: one line, or the
// lines up to the final dot.
func command(l *lab, addr, line string) string {
	c := dialGearman(l, "operator", addr)
	defer func() { _ = c.conn.Close() }()
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.conn.Write([]byte(line + "\n")); err != nil {
		return err.Error()
	}
	var answer []string
	for {
		text, err := c.r.ReadString('\n')
		if err != nil {
			return strings.Join(append(answer, err.Error()), "\n")
		}
		if text = strings.TrimRight(text, "\r\n"); text == "." {
			return strings.Join(answer, "\n")
		}
		answer = append(answer, text)
		if strings.HasPrefix(text, "OK") || strings.HasPrefix(text, "ERR") {
			return strings.Join(answer, "\n")
		}
	}
}

// storeValue returns one value of the store's statistics.
func storeValue(l *lab, addr, name string) int {
	for _, line := range strings.Split(command(l, addr, "store"), "\n") {
		if key, value, ok := strings.Cut(line, "\t"); ok && key == name {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return -1
}
