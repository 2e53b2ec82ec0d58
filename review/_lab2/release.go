package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["release"] = release }

// veer is the part of the settings in which the second deployment differs from the example.
var veer = strings.NewReplacer(
	`"zone": "agadir", "zones": ["agadir"], "kinds": ["large-fast"]`, `"zone": "antwerpen", "zones": ["antwerpen", "gent"], "kinds": ["fast-4", "slow-4"]`,
	`"accounts": [{"name": "argane-epargne", "quota_rps": 21}, {"name": "souss-actions", "quota_rps": 4}]`, `"accounts": []`,
	settings[strings.Index(settings, `{"name": "price-read"`):strings.Index(settings, "\n    ],\n    \"domain\"")],
	`{"name": "seat-sale", "repeat": "fragile", "group": "all", "memory_span_s": 5, "target_s": 0.3, "deadline_s": 5, "value": 8, "late_worth": 0.25},
      {"name": "group-booking", "repeat": "dedup", "group": "all", "memory_span_s": 40, "target_s": 1.2, "deadline_s": 25, "value": 24, "late_worth": 0.25}`,
	`"class_stretch": [2.5, 1.75, 1.75]`, `"class_stretch": [2.5, 2]`)

// ticketServer is a stand-in for a Gearman job server whose worker fails a share of its jobs after it has run them.
type ticketServer struct {
	l    *lab
	name string
	bad  bool // fails four of five jobs
	addr string
	mu   sync.Mutex
	runs map[string]int
	n    int
}

func newTicketServer(l *lab, name string, bad bool) *ticketServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &ticketServer{l: l, name: name, bad: bad, addr: listener.Addr().String(), runs: map[string]int{}}
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

func (s *ticketServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		p, err := readPacket(r)
		if err != nil || p.kind != submitJob || len(p.args) != 3 {
			return
		}
		s.mu.Lock()
		s.n++
		n := s.n
		handle := fmt.Sprintf("H:%s:%d", s.name, n)
		s.runs[p.args[2]]++
		s.mu.Unlock()
		_, _ = conn.Write(append(encode("RES", jobCreated, handle), encode("RES", workStatus, handle, "0", "100")...))
		if s.bad && n%5 != 0 {
			s.l.log("%s: ran and failed %q", s.name, p.args[2])
			_, _ = conn.Write(encode("RES", workFail, handle))
			continue
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = conn.Write(encode("RES", workComplete, handle, "sold"))
	}
}

// release has an operator release the jobs that a script had refused, while one of six servers quickly fails most of
// its jobs.
func release(l *lab) error {
	const jobs, servers = 3000, 6
	d := newDeployment(l, "[retry]\noffers = 1\n", func(string, string, string) time.Duration { return 0 })
	l.file("config.json", veer.Replace(config("n0", d.listen, d.ops, d.discovery.addr)))
	var all []*ticketServer
	var members []member
	for i := range servers {
		s := newTicketServer(l, fmt.Sprintf("server %d", i), i == 0 && l.trouble)
		all = append(all, s)
		members = append(members, member{fmt.Sprintf("s-0badcaf%d", i), s.addr, "antwerpen", i, "SERVING"})
	}
	d.gearmanLister.set(members...)
	open, err := os.ReadFile(d.gearmanConfig)
	if err != nil {
		return err
	}
	script := l.file("closing.star", "def on_transaction(tx):\n    return {\"refuse\": \"sales are closed\"}\n")
	l.file("gearman.toml", fmt.Sprintf("hooks = [%q]\n%s", script, open))
	p := d.start("n0", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for k := range 10 {
		clients.Go(func() {
			c := dialGearman(l, "client", d.gearman)
			defer func() { _ = c.conn.Close() }()
			for i := range jobs / 10 {
				_, _ = c.conn.Write(encode("REQ", submitJobBG, "seat-sale", fmt.Sprintf("sale-%d-%d", k, i), fmt.Sprintf("seat %d.%d", k, i)))
				_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
				if answer, err := readPacket(c.r); err != nil || answer.kind != jobCreated {
					l.log("client: %v %v", answer, err)
					return
				}
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	l.log("%d background jobs of seat-sale accepted", accepted)
	if accepted < jobs {
		return fmt.Errorf("%d of %d jobs accepted", accepted, jobs)
	}
	if !waitUntil(40*time.Second, func() bool { return storeValue(l, d.gearman, "dead") == jobs }) {
		return fmt.Errorf("%d of %d jobs are dead letters", storeValue(l, d.gearman, "dead"), jobs)
	}
	l.log("all are dead letters; the first three: %s", strings.Join(strings.SplitN(command(l, d.gearman, "show dead"), "\n", 4)[:3], "; "))
	l.file("gearman.toml", string(open))
	l.log("sales are open: the script is taken out of the settings, and the dispatcher restarted")
	p.signal(syscall.SIGTERM)
	if !p.waitEnd(10 * time.Second) {
		return fmt.Errorf("not ended 10 s after SIGTERM")
	}
	d.start("n0 again", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	time.Sleep(time.Second)
	l.log("operator: release job all, once")
	l.log("operator: answer: %s", command(l, d.gearman, "release job all"))
	waitUntil(30*time.Second, func() bool { return storeValue(l, d.gearman, "jobs") == storeValue(l, d.gearman, "dead") })
	l.log("store: %s", strings.ReplaceAll(command(l, d.gearman, "store"), "\n", ", "))
	ran, twice, most := 0, 0, 0
	for k := range 10 {
		for i := range jobs / 10 {
			n := 0
			for _, s := range all {
				s.mu.Lock()
				n += s.runs[fmt.Sprintf("seat %d.%d", k, i)]
				s.mu.Unlock()
			}
			if n > 0 {
				ran++
			}
			if most = max(most, n); n > 1 {
				twice++
				l.log("seat %d.%d was sold %d times", k, i, n)
			}
		}
	}
	l.log("%d of %d jobs ran, %d of them more than once, one up to %d times", ran, jobs, twice, most)
	if twice > 0 {
		return broken("%d of %d jobs of a non-idempotent class ran more than once, one %d times", twice, jobs, most)
	}
	return nil
}
