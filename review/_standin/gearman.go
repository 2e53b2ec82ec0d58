package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The packet types that the stand-ins use.
const (
	submitJob    = 7
	jobCreated   = 8
	workStatus   = 12
	workComplete = 13
	workFail     = 14
	submitJobBG  = 18
	errorPacket  = 19
)

// packet encodes a packet; magic is REQ or RES.
func packet(magic string, kind uint32, args ...string) []byte {
	body := strings.Join(args, "\x00")
	buf := append([]byte{0}, magic...)
	buf = binary.BigEndian.AppendUint32(buf, kind)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	return append(buf, body...)
}

// readPacket reads one packet and splits its body into count arguments.
func readPacket(r io.Reader, count func(kind uint32) int) (kind uint32, args []string, err error) {
	head := make([]byte, 12)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	kind = binary.BigEndian.Uint32(head[4:])
	body := make([]byte, binary.BigEndian.Uint32(head[8:]))
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	for _, a := range bytes.SplitN(body, []byte{0}, count(kind)) {
		args = append(args, string(a))
	}
	return kind, args, nil
}

func responseArgs(kind uint32) int {
	switch kind {
	case jobCreated, workFail:
		return 1
	case workStatus:
		return 3
	}
	return 2
}

// gearmanClient is a client connection that reads all packets.
type gearmanClient struct {
	net.Conn
	mu      sync.Mutex
	packets chan gearmanPacket
}

type gearmanPacket struct {
	kind uint32
	args []string
	at   time.Time
}

func dialGearman(addr string) (*gearmanClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &gearmanClient{Conn: conn, packets: make(chan gearmanPacket, 1024)}
	go func() {
		defer close(c.packets)
		r := bufio.NewReader(conn)
		for {
			kind, args, err := readPacket(r, responseArgs)
			if err != nil {
				return
			}
			c.packets <- gearmanPacket{kind, args, time.Now()}
		}
	}()
	return c, nil
}

// submit sends a submission.
func (c *gearmanClient) submit(kind uint32, function, unique, data string) error {
	_, err := c.Write(packet("REQ", kind, function, unique, data))
	return err
}

// next returns the next packet, other than progress.
func (c *gearmanClient) next(limit time.Duration) (gearmanPacket, error) {
	timer := time.After(limit)
	for {
		select {
		case p, ok := <-c.packets:
			if !ok {
				return p, io.EOF
			}
			if p.kind != workStatus {
				return p, nil
			}
		case <-timer:
			return gearmanPacket{}, fmt.Errorf("no packet within %v", limit)
		}
	}
}

// textCommand sends a command of the text protocol and returns the lines of the answer, without the final dot.
func textCommand(addr, command string, list bool, limit time.Duration) ([]string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(conn, "%s\n", command); err != nil {
		return nil, err
	}
	r, lines := bufio.NewReader(conn), []string(nil)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return lines, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "." {
			return lines, nil
		}
		lines = append(lines, line)
		if !list {
			return lines, nil
		}
	}
}

// judge answers a worker that is about to run a job. A worker asks it with one line, "NAME FUNCTION UNIQUE DATA"; the
// answer is one line, "ACTION MILLISECONDS": run, drop (a repeat, dropped by the key memory of the worker's cell) or
// fail.
type judge struct {
	addr   string
	decide func(worker, function, unique, data string) (action string, work time.Duration)
}

func startJudge(decide func(worker, function, unique, data string) (string, time.Duration)) *judge {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	j := &judge{addr: l.Addr().String(), decide: decide}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				scanner := bufio.NewScanner(conn)
				for scanner.Scan() {
					f := strings.SplitN(scanner.Text(), " ", 4)
					action, work := j.decide(f[0], f[1], f[2], f[3])
					_, _ = fmt.Fprintf(conn, "%s %d\n", action, work.Milliseconds())
				}
			}()
		}
	}()
	return j
}

// runGearmanWorker is a worker: a Gearman job server that runs jobs in order of arrival, slots at a time.
func runGearmanWorker(name, addr, judgeAddr string, slots int) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	room := make(chan struct{}, slots)
	var jobs atomic.Int64
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = conn.Close() }()
			ask, err := net.Dial("tcp", judgeAddr)
			if err != nil {
				return
			}
			defer func() { _ = ask.Close() }()
			answers := bufio.NewReader(ask)
			r := bufio.NewReader(conn)
			for {
				kind, args, err := readPacket(r, func(uint32) int { return 3 })
				if err != nil {
					return
				}
				handle := fmt.Sprintf("W:%s:%d", name, jobs.Add(1))
				if kind != submitJob || len(args) != 3 {
					_, _ = conn.Write(packet("RES", errorPacket, "not_served", "only SUBMIT_JOB"))
					continue
				}
				_, _ = conn.Write(packet("RES", jobCreated, handle))
				room <- struct{}{}
				_, _ = fmt.Fprintf(ask, "%s %s %s %s\n", name, args[0], args[1], args[2])
				var action string
				var millis int
				line, err := answers.ReadString('\n')
				if err == nil {
					_, err = fmt.Sscan(line, &action, &millis)
				}
				if err != nil {
					return
				}
				_, _ = conn.Write(packet("RES", workStatus, handle, "0", "1"))
				time.Sleep(time.Duration(millis) * time.Millisecond)
				<-room
				if action == "fail" {
					_, err = conn.Write(packet("RES", workFail, handle))
				} else {
					_, err = conn.Write(packet("RES", workComplete, handle, "result of "+args[1]+" "+args[2]))
				}
				if err != nil {
					return
				}
			}
		}()
	}
}
