package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/link"
)

const settingsJSON = `{"name":"n0","listen":"http","discovery":"table","seed":"5","limits":{"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"price-read","repeat":"retryable","group":"all","target_s":0.2,"deadline_s":5,"value":1,"late_worth":0.25},
 {"name":"price-fix","repeat":"dedup","group":"cell","memory_span_s":7.5,"target_s":0.2,"deadline_s":5,"value":2,"late_worth":0.25},
 {"name":"nav-run","repeat":"dedup","group":"zone","memory_span_s":40,"target_s":0.75,"deadline_s":25,"value":2,"late_worth":0.5}],
"zones":["agadir"],"zone":"agadir","kinds":["large"],"fleet_size":1,"position":0,"discovery":"ask","tick_s":0.005,
"limits":{"max_attempts":3,"cancel":true,"second_copies":true,"dial_timeout_s":0.25,"conn_idle_s":15,"max_retry_after_s":2},
"rules":{"ask_within_s":10,"cold_from":0.33,"warm_up_s":8.8,"overload_factor":2.5,"fall_s":1,"drain_grace_s":1},
"domain":{"tells_start":true,"progress_s":1.0,"class_stretch":[2.5,1.75,1.75]}}}`

// network connects the parties of a scenario. Addresses are plain names.
type network interface {
	Listen(network, addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// pipeNetwork is an in-memory network of pipes, for use with the fake clock.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	late  func() bool // whether connections are delayed by lateConnectDelay; nil for never
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (n *pipeNetwork) Listen(_, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*pipeListener{}
	}
	n.listeners[addr] = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	return n.listeners[addr], nil
}

func (n *pipeNetwork) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("refused")
	}
	if l.late != nil && l.late() {
		select {
		case <-time.After(lateConnectDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, errors.New("refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// loopbackNetwork is a TCP network on 127.0.0.1 with ports chosen by the system.
type loopbackNetwork struct {
	mu    sync.Mutex
	ports map[string]string
}

func (n *loopbackNetwork) Listen(_, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.ports == nil {
			n.ports = map[string]string{}
		}
		n.ports[addr] = l.Addr().String()
	}
	return l, err
}

func (n *loopbackNetwork) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	port, ok := n.ports[addr]
	n.mu.Unlock()
	if !ok {
		return nil, errors.New("refused")
	}
	return new(net.Dialer).DialContext(ctx, "tcp", port)
}

// protocol implements the client and the worker side of a protocol.
type protocol interface {
	configure(t *testing.T, s *scenario, d *Daemon)
	address() string
	request(id, class string) []byte
	readAnswer(c net.Conn, id string) (verdict string, ok bool)
	serveWorker(w *fakeWorker, c net.Conn)
	report(w *fakeWorker, id, state string)
}

// fakeWorker is a worker that records attempts and answers as the scenario says.
type fakeWorker struct {
	scenario   *scenario
	name, cell string
	listener   net.Listener
	mu         sync.Mutex
	mode       string
	conns      map[net.Conn]bool
	attempts   map[string]net.Conn
	traces     map[string]bool // Traceparent headers received
}

func newFakeWorker(s *scenario, name, cell string) *fakeWorker {
	l, err := s.net.Listen("tcp", name)
	require.NoError(s.t, err)
	w := &fakeWorker{scenario: s, name: name, cell: cell, listener: l, mode: "normal", conns: map[net.Conn]bool{}, attempts: map[string]net.Conn{}, traces: map[string]bool{}}
	if p, ok := l.(*pipeListener); ok {
		p.late = func() bool { return w.isMode("late") }
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.scenario.protocol.serveWorker(w, c)
		}
	}()
	return w
}

func (w *fakeWorker) id() string { return "s-0000000" + w.name }

// lateConnectDelay is the time to set up a connection to a worker in the mode late.
const lateConnectDelay = 200 * time.Millisecond

func (w *fakeWorker) isMode(mode string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode == mode
}

func (w *fakeWorker) setMode(mode string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = mode
}

// receive records an attempt and returns the worker's mode.
func (w *fakeWorker) receive(id string, c net.Conn) (mode string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scenario.record("%s task %s", w.name, id)
	w.attempts[id] = c
	return w.mode
}

// closeConn closes the connection of an attempt.
func (w *fakeWorker) closeConn(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.attempts[id]
	delete(w.attempts, id)
	_ = c.Close()
}

// recordCancel records that the dispatcher canceled an attempt.
func (w *fakeWorker) recordCancel(id string) {
	w.mu.Lock()
	_, open := w.attempts[id]
	delete(w.attempts, id)
	w.mu.Unlock()
	if open {
		w.scenario.record("%s cancel %s", w.name, id)
	}
}

func (w *fakeWorker) close() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.attempts)
	for c := range w.conns {
		_ = c.Close()
	}
}

// fakeDiscovery is a discovery server with a list of workers set by the scenario.
type fakeDiscovery struct {
	scenario *scenario
	listener net.Listener
	mu       sync.Mutex
	version  int
	calls    int
	states   map[string]string
	changed  chan struct{}
	done     chan struct{}
	conns    []net.Conn
	silent   map[net.Conn]bool // connections on which nothing more is sent
	down     bool              // whether requests are rejected
}

// stopSending stops sending on the open connections without closing them.
func (d *fakeDiscovery) stopSending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = map[net.Conn]bool{}
	for _, c := range d.conns {
		d.silent[c] = true
	}
}

// setDown sets whether requests are rejected, and ends the waiting ones.
func (d *fakeDiscovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

func newFakeDiscovery(s *scenario, name string) *fakeDiscovery {
	l, err := s.net.Listen("tcp", name)
	require.NoError(s.t, err)
	d := &fakeDiscovery{scenario: s, listener: l, version: 1, states: map[string]string{}, changed: make(chan struct{}), done: make(chan struct{})}
	for name := range s.workers {
		d.states[name] = "SERVING"
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	return d
}

func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func (d *fakeDiscovery) setState(name, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[name] = state
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.done:
	default:
		close(d.done)
	}
	for _, c := range d.conns {
		_ = c.Close()
	}
}

func (d *fakeDiscovery) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		after, _ := strconv.Atoi(req.URL.Query().Get("after"))
		wait, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
		d.mu.Lock()
		d.calls++
		changed := d.changed
		if after < d.version || d.down {
			wait = 0
		}
		d.mu.Unlock()
		select {
		case <-changed:
		case <-d.done:
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		d.mu.Lock()
		if d.down {
			d.mu.Unlock()
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if d.silent[c] {
			d.mu.Unlock()
			_, _ = io.Copy(io.Discard, c)
			return
		}
		var list []string
		hasChanges := after < d.version
		for name, state := range d.states {
			if hasChanges && state != "DELETED" {
				list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"agadir","kind":"large","cell":%s,"state":%q,"weight":1}`,
					d.scenario.workers[name].id(), name, d.scenario.workers[name].cell, state))
			}
		}
		body := fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, d.version, hasChanges, strings.Join(list, ","))
		d.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// httpProtocol speaks the platform's HTTP protocol.
type httpProtocol struct{ scenario *scenario }

func (h *httpProtocol) configure(_ *testing.T, s *scenario, _ *Daemon) { h.scenario = s }
func (h *httpProtocol) address() string                                { return "http" }

func (h *httpProtocol) request(id, class string) []byte {
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n%s",
		class, id, id, len(id), id)
}

func (h *httpProtocol) readAnswer(c net.Conn, id string) (string, bool) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", false
	}
	switch {
	case resp.StatusCode == 200 && string(body) == "r"+id:
		return "served", true
	case resp.StatusCode == 503 && resp.Header.Get("Retry-After") != "":
		return "refused", true
	case resp.StatusCode == 400:
		return "unfit", true
	case resp.StatusCode == 500 || resp.StatusCode == 504:
		return "failed", true
	}
	return fmt.Sprintf("odd-answer %d %q", resp.StatusCode, body), true
}

func (h *httpProtocol) serveWorker(w *fakeWorker, c net.Conn) {
	reader := bufio.NewReader(c)
	last := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			if last != "" {
				w.recordCancel(last)
			}
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if req.Method == http.MethodDelete {
			w.recordCancel(strings.TrimPrefix(req.URL.Path, "/jobs/"))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := req.Header.Get("Req-Id")
		if p := req.Header.Get("Traceparent"); p != "" {
			w.mu.Lock()
			w.traces[p] = true
			w.mu.Unlock()
		}
		switch w.receive(id, c) {
		case "silent":
			last = id
		case "unfit":
			w.forget(id)
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		case "full":
			w.forget(id)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			h.report(w, id, "started")
		}
	}
}

func (w *fakeWorker) forget(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.attempts, id)
}

func (h *httpProtocol) report(w *fakeWorker, id, state string) {
	if state == "accepted" {
		w.mu.Lock()
		c := w.attempts[id]
		w.mu.Unlock()
		_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if state != "started" && state != "running" {
		w.forget(id)
	}
	c, err := h.scenario.net.Dial(context.Background(), "tcp", "http")
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"share":0.5,"result":"r%s"}`, id, w.id(), state, id)
	_, _ = fmt.Fprintf(c, "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode != 204 {
		h.scenario.record("%s odd-reply %d", w.name, resp.StatusCode)
	}
}

// gearmanProtocol speaks the Gearman protocol.
type gearmanProtocol struct{ scenario *scenario }

func (g *gearmanProtocol) configure(t *testing.T, s *scenario, d *Daemon) {
	g.scenario = s
	d.Config.Discovery = "none" // the HTTP server has no workers here
	var err error
	text := "listen = 'gearman'\ndiscovery = 'table'\n"
	if s.maxClientConns > 0 {
		text += fmt.Sprintf("[limits]\nconnections = %d\n", s.maxClientConns)
	}
	if s.storeFile != "" {
		text += fmt.Sprintf("[store]\npath = %q\n", s.storeFile)
	}
	d.Gearman, err = config.ParseGearman(text, d.Config.Settings, d.Config.Names)
	require.NoError(t, err)
}
func (g *gearmanProtocol) address() string { return "gearman" }

func (g *gearmanProtocol) request(id, class string) []byte {
	return append(gearman.Request(gearman.OptionReq, "exceptions"), gearman.Request(gearman.SubmitJob, class, "k"+id, id)...)
}

func (g *gearmanProtocol) readAnswer(c net.Conn, id string) (verdict string, ok bool) {
	_ = link.ReadMessages(c, gearman.NewResponseFramer(), func(p *gearman.Packet) bool {
		switch p.Type {
		case gearman.WorkComplete:
			verdict = "served"
			if !strings.HasSuffix(string(p.Body), "\x00r"+id) {
				verdict = fmt.Sprintf("odd-answer %q", p.Body)
			}
		case gearman.WorkException:
			verdict = "refused"
		case gearman.WorkFail:
			verdict = "failed"
		case gearman.Error:
			if verdict = "unfit"; !strings.HasPrefix(string(p.Body), "unknown_function") {
				verdict = fmt.Sprintf("odd-answer %q", p.Body)
			}
		}
		return verdict == ""
	})
	return verdict, verdict != ""
}

func (g *gearmanProtocol) serveWorker(w *fakeWorker, c net.Conn) {
	id := ""
	_ = link.ReadMessages(c, gearman.NewRequestFramer(), func(p *gearman.Packet) bool {
		args, err := p.Args(3)
		if err != nil {
			return false
		}
		id = string(args[2])
		switch w.receive(id, c) {
		case "silent":
		case "full":
			w.forget(id)
			_, _ = c.Write(gearman.Response(gearman.Error, "full", ""))
		default:
			_, _ = c.Write(gearman.Response(gearman.JobCreated, "H"+id))
			g.report(w, id, "started")
		}
		return true
	})
	w.recordCancel(id)
}

func (g *gearmanProtocol) report(w *fakeWorker, id, state string) {
	w.mu.Lock()
	c := w.attempts[id]
	if state != "accepted" && state != "started" && state != "running" {
		delete(w.attempts, id)
	}
	w.mu.Unlock()
	if c == nil { // the attempt has ended, so there is no connection to report on
		return
	}
	switch state {
	case "accepted":
		_, _ = c.Write(gearman.Response(gearman.JobCreated, "H"+id))
	case "started":
		_, _ = c.Write(gearman.Response(gearman.WorkStatus, "H"+id, "0", "100"))
	case "running":
		_, _ = c.Write(gearman.Response(gearman.WorkStatus, "H"+id, "50", "100"))
	case "done":
		_, _ = c.Write(gearman.Response(gearman.WorkComplete, "H"+id, "r"+id))
	case "failed":
		_, _ = c.Write(gearman.Response(gearman.WorkFail, "H"+id))
	case "lost":
		_ = c.Close()
	}
}
