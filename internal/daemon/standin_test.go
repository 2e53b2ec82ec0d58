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

const settings = `{"name":"n0","listen":"http","discovery":"table","seed":"5","limits":{"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"price-read","repeat":"retryable","group":"all","target_s":0.2,"deadline_s":5,"value":1,"late_worth":0.25},
 {"name":"price-fix","repeat":"dedup","group":"cell","memory_span_s":7.5,"target_s":0.2,"deadline_s":5,"value":2,"late_worth":0.25},
 {"name":"nav-run","repeat":"dedup","group":"zone","memory_span_s":40,"target_s":0.75,"deadline_s":25,"value":2,"late_worth":0.5}],
"zones":["agadir"],"zone":"agadir","kinds":["large"],"fleet_size":1,"position":0,"discovery":"ask","tick_s":0.005,
"limits":{"max_attempts":3,"cancel":true,"second_copies":true,"dial_timeout_s":0.25,"conn_idle_s":15,"max_retry_after_s":2},
"rules":{"ask_within_s":10,"cold_from":0.33,"warm_up_s":8.8,"overload_factor":2.5,"fall_s":1,"drain_grace_s":1},
"domain":{"tells_start":true,"progress_s":1.0,"class_stretch":[2.5,1.75,1.75]}}}`

// network is where a scenario plays; addresses are plain names.
type network interface {
	Listen(network, addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// memory is a network of pipes, for the fake clock.
type memory struct {
	mu        sync.Mutex
	listeners map[string]*pipes
}

type pipes struct {
	late  func() bool // connections come up after lateBy; nil for never
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (m *memory) Listen(_, addr string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = map[string]*pipes{}
	}
	m.listeners[addr] = &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	return m.listeners[addr], nil
}

func (m *memory) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[addr]
	m.mu.Unlock()
	if l == nil {
		return nil, errors.New("refused")
	}
	if l.late != nil && l.late() {
		select {
		case <-time.After(lateBy):
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

// loopback is TCP on 127.0.0.1, on ports that the system picks.
type loopback struct {
	mu    sync.Mutex
	ports map[string]string
}

func (b *loopback) Listen(_, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.ports == nil {
			b.ports = map[string]string{}
		}
		b.ports[addr] = l.Addr().String()
	}
	return l, err
}

func (b *loopback) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	b.mu.Lock()
	port, ok := b.ports[addr]
	b.mu.Unlock()
	if !ok {
		return nil, errors.New("refused")
	}
	return new(net.Dialer).DialContext(ctx, "tcp", port)
}

// wire is one protocol as clients and workers speak it.
type wire interface {
	prepare(t *testing.T, w *world, d *Daemon)
	address() string
	request(id, class string) []byte
	answer(c net.Conn, id string) (verdict string, ok bool)
	serve(r *worker, c net.Conn)
	tell(r *worker, id, state string)
}

// worker is a stand-in for a worker.
type worker struct {
	w          *world
	name, cell string
	l          net.Listener
	mu         sync.Mutex
	mode       string
	conns      map[net.Conn]bool
	tasks      map[string]net.Conn
	traces     map[string]bool // that it was told of
}

func newWorker(w *world, name, cell string) *worker {
	l, err := w.net.Listen("tcp", name)
	require.NoError(w.t, err)
	r := &worker{w: w, name: name, cell: cell, l: l, mode: "normal", conns: map[net.Conn]bool{}, tasks: map[string]net.Conn{}, traces: map[string]bool{}}
	if p, ok := l.(*pipes); ok {
		p.late = func() bool { return r.isMode("late") }
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.w.wire.serve(r, c)
		}
	}()
	return r
}

func (r *worker) id() string { return "s-0000000" + r.name }

// lateBy is how long a connection to a late worker takes to come up.
const lateBy = 200 * time.Millisecond

func (r *worker) isMode(mode string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode == mode
}

func (r *worker) setMode(mode string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

func (r *worker) got(id string, c net.Conn) (mode string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.happened("%s task %s", r.name, id)
	r.tasks[id] = c
	return r.mode
}

func (r *worker) cut(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.tasks[id]
	delete(r.tasks, id)
	_ = c.Close()
}

// cancelled notes that the dispatcher gave a task up.
func (r *worker) cancelled(id string) {
	r.mu.Lock()
	_, had := r.tasks[id]
	delete(r.tasks, id)
	r.mu.Unlock()
	if had {
		r.w.happened("%s cancel %s", r.name, id)
	}
}

func (r *worker) close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.tasks)
	for c := range r.conns {
		_ = c.Close()
	}
}

// table is a stand-in for discovery.
type table struct {
	w       *world
	l       net.Listener
	mu      sync.Mutex
	version int
	calls   int
	states  map[string]string
	changed chan struct{}
	done    chan struct{}
	conns   []net.Conn
	silent  map[net.Conn]bool // connections that bring nothing any more
	down    bool              // calls are turned away
}

// fallSilent has every open connection bring nothing any more, without closing it.
func (t *table) fallSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = map[net.Conn]bool{}
	for _, c := range t.conns {
		t.silent[c] = true
	}
}

// turnAway has calls turned away from now on, or answered again; open watches end as it begins.
func (t *table) turnAway(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
	close(t.changed)
	t.changed = make(chan struct{})
}

func newTable(w *world, name string) *table {
	l, err := w.net.Listen("tcp", name)
	require.NoError(w.t, err)
	t := &table{w: w, l: l, version: 1, states: map[string]string{}, changed: make(chan struct{}), done: make(chan struct{})}
	for name := range w.workers {
		t.states[name] = "SERVING"
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns = append(t.conns, c)
			t.mu.Unlock()
			go t.serve(c)
		}
	}()
	return t
}

func (t *table) called() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

func (t *table) tell(name, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[name] = state
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) close() {
	_ = t.l.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.done:
	default:
		close(t.done)
	}
	for _, c := range t.conns {
		_ = c.Close()
	}
}

func (t *table) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		t.mu.Lock()
		t.calls++
		changed := t.changed
		if after < t.version || t.down {
			wait = 0
		}
		t.mu.Unlock()
		select {
		case <-changed:
		case <-t.done:
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		t.mu.Lock()
		if t.down {
			t.mu.Unlock()
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if t.silent[c] {
			t.mu.Unlock()
			_, _ = io.Copy(io.Discard, c)
			return
		}
		var list []string
		news := after < t.version
		for name, state := range t.states {
			if news && state != "DELETED" {
				list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"agadir","kind":"large","cell":%s,"state":%q,"weight":1}`,
					t.w.workers[name].id(), name, t.w.workers[name].cell, state))
			}
		}
		body := fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, t.version, news, strings.Join(list, ","))
		t.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// httpWire is the platform's protocol.
type httpWire struct{ w *world }

func (h *httpWire) prepare(_ *testing.T, w *world, _ *Daemon) { h.w = w }
func (h *httpWire) address() string                           { return "http" }

func (h *httpWire) request(id, class string) []byte {
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n%s",
		class, id, id, len(id), id)
}

func (h *httpWire) answer(c net.Conn, id string) (string, bool) {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", false
	}
	switch {
	case r.StatusCode == 200 && string(body) == "r"+id:
		return "served", true
	case r.StatusCode == 503 && r.Header.Get("Retry-After") != "":
		return "refused", true
	case r.StatusCode == 400:
		return "unfit", true
	case r.StatusCode == 500 || r.StatusCode == 504:
		return "failed", true
	}
	return fmt.Sprintf("odd-answer %d %q", r.StatusCode, body), true
}

func (h *httpWire) serve(r *worker, c net.Conn) {
	in := bufio.NewReader(c)
	last := ""
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			if last != "" {
				r.cancelled(last)
			}
			return
		}
		if _, err := io.ReadAll(q.Body); err != nil {
			return
		}
		if q.Method == http.MethodDelete {
			r.cancelled(strings.TrimPrefix(q.URL.Path, "/jobs/"))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := q.Header.Get("Req-Id")
		if p := q.Header.Get("Traceparent"); p != "" {
			r.mu.Lock()
			r.traces[p] = true
			r.mu.Unlock()
		}
		switch r.got(id, c) {
		case "silent":
			last = id
		case "unfit":
			r.forget(id)
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		case "full":
			r.forget(id)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			h.tell(r, id, "started")
		}
	}
}

func (r *worker) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tasks, id)
}

func (h *httpWire) tell(r *worker, id, state string) {
	if state == "accepted" {
		r.mu.Lock()
		c := r.tasks[id]
		r.mu.Unlock()
		_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if state != "started" && state != "running" {
		r.forget(id)
	}
	c, err := h.w.net.Dial(context.Background(), "tcp", "http")
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"share":0.5,"result":"r%s"}`, id, r.id(), state, id)
	_, _ = fmt.Fprintf(c, "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if a, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && a.StatusCode != 204 {
		h.w.happened("%s odd-reply %d", r.name, a.StatusCode)
	}
}

// gearmanWire is the Gearman protocol.
type gearmanWire struct{ w *world }

func (g *gearmanWire) prepare(t *testing.T, w *world, d *Daemon) {
	g.w = w
	d.Config.Discovery = "none" // the platform's front has no fleet here
	var err error
	text := "listen = 'gearman'\ndiscovery = 'table'\n"
	if w.most > 0 {
		text += fmt.Sprintf("[limits]\nconnections = %d\n", w.most)
	}
	if w.store != "" {
		text += fmt.Sprintf("[store]\npath = %q\n", w.store)
	}
	d.Gearman, err = config.ParseGearman(text, d.Config.Settings, d.Config.Names)
	require.NoError(t, err)
}
func (g *gearmanWire) address() string { return "gearman" }

func (g *gearmanWire) request(id, class string) []byte {
	return append(gearman.Request(gearman.OptionReq, "exceptions"), gearman.Request(gearman.SubmitJob, class, "k"+id, id)...)
}

func (g *gearmanWire) answer(c net.Conn, id string) (verdict string, ok bool) {
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

func (g *gearmanWire) serve(r *worker, c net.Conn) {
	id := ""
	_ = link.ReadMessages(c, gearman.NewRequestFramer(), func(p *gearman.Packet) bool {
		args, err := p.Args(3)
		if err != nil {
			return false
		}
		id = string(args[2])
		switch r.got(id, c) {
		case "silent":
		case "full":
			r.forget(id)
			_, _ = c.Write(gearman.Response(gearman.Error, "full", ""))
		default:
			_, _ = c.Write(gearman.Response(gearman.JobCreated, "H"+id))
			g.tell(r, id, "started")
		}
		return true
	})
	r.cancelled(id)
}

func (g *gearmanWire) tell(r *worker, id, state string) {
	r.mu.Lock()
	c := r.tasks[id]
	if state != "accepted" && state != "started" && state != "running" {
		delete(r.tasks, id)
	}
	r.mu.Unlock()
	if c == nil { // a word on a task that has ended has no connection to travel on
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
