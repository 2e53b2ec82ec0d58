package gearman

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/link"
)

const (
	// jobsPerPeer bounds the jobs that one connection may have open, and so what waits to be
	// written to it.
	jobsPerPeer = 64
	// outbox holds a JOB_CREATED and a final answer for each job, and some progress. A client
	// that lets it fill up does not read, and is closed rather than waited for.
	outbox = 4 * jobsPerPeer
)

// The codes of ERROR packets.
const (
	codeMalformed = "malformed"
	codeUnknown   = "unknown_function"
	codeUnserved  = "not_served"
	codeBusy      = "too_many_jobs"
	codeKey       = "unique_id_missing"
)

// job is the payload of a transaction.
type job struct {
	function, unique, data string
}

// Server is the job server that Gearman clients meet.
type Server struct {
	core      *dispatch.Core
	log       *slog.Logger
	file      *config.Gearman
	name      string
	server    link.Server
	nextJob   atomic.Uint64
	mu        sync.Mutex
	terminals map[string]*terminal // by handle, jobs without a final answer
}

// NewServer returns a server that holds at most so many connections. Handles carry the
// dispatcher's name.
func NewServer(core *dispatch.Core, log *slog.Logger, file *config.Gearman, name string, most int) *Server {
	s := &Server{core: core, log: log, file: file, name: name, terminals: map[string]*terminal{}}
	s.server = link.Server{Log: log, Most: most, Handle: s.handle}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Drain goes on taking what comes, for as long as g says while there are clients, and returns
// when every job is answered.
func (s *Server) Drain(ctx context.Context, g link.Grace) {
	s.core.Drain(g.Free, g.Within)
	s.server.Drain(ctx, s.core.Open, g.Stay)
}

// outgoing is a packet that waits to be written.
type outgoing struct {
	data  []byte
	final bool // a job's final answer: the job keeps the connection busy until this is written
}

// client is one connection from a client, with any number of jobs up to the bound.
type client struct {
	*link.Peer
	*Server
	out        chan outgoing
	done       chan struct{}
	exceptions bool // guarded by Server.mu, as is jobs
	jobs       map[string]*terminal
	settled    chan struct{} // no job is open
}

// terminal is one job's side of a client's connection.
type terminal struct {
	*client
	handle string
	tx     *dispatch.Transaction
	share  float64 // guarded by Server.mu, as is begun
	begun  bool
}

func (s *Server) handle(p *link.Peer) {
	c := &client{Peer: p, Server: s, out: make(chan outgoing, outbox), done: make(chan struct{}), jobs: map[string]*terminal{},
		settled: make(chan struct{}, 1)}
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	err := link.Read(c.Conn, NewRequestFramer(), c.packet)
	bad := (*link.Malformed)(nil)
	malformed := errors.As(err, &bad)
	if malformed { // the client is still there, and is owed its jobs' answers first
		s.log.Warn("malformed packet", "from", c.RemoteAddr().String(), "err", err)
		for c.open() > 0 {
			<-c.settled
		}
		c.send(Response(Error, codeMalformed, err.Error()))
	}
	close(c.done)
	<-written
	if malformed {
		p.Linger(c.done)
	}
	// The client is gone, and no one waits for its jobs.
	s.mu.Lock()
	left := c.jobs
	c.jobs = nil
	for handle := range left {
		delete(s.terminals, handle)
	}
	s.mu.Unlock()
	for _, t := range left {
		s.core.Leave(t.tx)
	}
}

func (c *client) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// write sends what is in the outbox, and at the end what is left of it.
func (c *client) write() {
	for {
		select {
		case p := <-c.out:
			if !c.put(p) {
				_ = c.Close()
				return
			}
		case <-c.done:
			for len(c.out) > 0 && c.put(<-c.out) {
			}
			return
		}
	}
}

func (c *client) put(p outgoing) bool {
	_, err := link.Write(c.Conn, p.data)
	if p.final {
		c.Busy(-1)
	}
	return err == nil
}

// send hands a packet to the connection's writer and never waits for it. A drain closes idle
// connections, so one is in use until its last answer is written, not just until it is here.
func (c *client) send(data []byte) { c.hand(outgoing{data: data}) }

func (c *client) hand(p outgoing) {
	select {
	case c.out <- p:
	default:
		c.log.Warn("slow reader closed", "to", c.RemoteAddr().String())
		_ = c.Close()
	}
}

// packet takes one packet from the client; what is not served gets an ERROR.
func (c *client) packet(p *Packet) bool {
	var err error
	switch p.Type {
	case SubmitJob, SubmitJobHigh, SubmitJobLow:
		err = c.submit(p)
	case EchoReq:
		c.Prove()
		c.send(Response(EchoRes, string(p.Body)))
	case OptionReq:
		if string(p.Body) != "exceptions" {
			c.send(Response(Error, codeUnserved, fmt.Sprintf("option %.40q", p.Body)))
			break
		}
		c.Prove()
		c.mu.Lock()
		c.exceptions = true
		c.mu.Unlock()
		c.send(Response(OptionRes, "exceptions"))
	case GetStatus:
		c.Prove()
		c.status(string(p.Body))
	case SubmitJobBG, SubmitJobHighBG, SubmitJobLowBG, SubmitJobSched, SubmitJobEpoch:
		c.refuse(codeUnserved, "background jobs are not served: no one would hear of their end")
	case SubmitReduce, SubmitReduceBG:
		c.refuse(codeUnserved, "reducers are not served")
	default:
		c.refuse(codeUnserved, fmt.Sprintf("packet type %d is not served", p.Type))
	}
	if err != nil {
		c.refuse(codeMalformed, err.Error())
	}
	return true
}

func (c *client) refuse(code, text string) {
	c.log.Warn("packet not served", "from", c.RemoteAddr().String(), "code", code, "why", text)
	c.send(Response(Error, code, text))
}

// submit takes a job. A function is a class, the unique id is the idempotency key. Jobs of
// one unique id are not coalesced: each is its own transaction with its own final answer.
func (c *client) submit(p *Packet) error {
	args, err := p.Args(3)
	if err != nil {
		return err
	}
	j := &job{string(args[0]), string(args[1]), string(args[2])}
	f, ok := c.file.Functions[j.function]
	if !ok {
		c.refuse(codeUnknown, fmt.Sprintf("no function %.40q", j.function))
		return nil
	}
	if c.core.Settings().Classes[f.Class].Effect == balance.Keyed && j.unique == "" {
		c.refuse(codeKey, "function "+j.function+" wants a unique id")
		return nil
	}
	t := &terminal{client: c, handle: "H:" + c.name + ":" + strconv.FormatUint(c.nextJob.Add(1), 10)}
	t.tx = &dispatch.Transaction{ID: t.handle, Class: f.Class, Tenant: f.Tenant, Patience: f.Deadline,
		Hint: f.Cost, Slots: 1, Payload: j, Terminal: t}
	c.mu.Lock()
	full := len(c.jobs) >= jobsPerPeer
	if !full {
		c.jobs[t.handle], c.terminals[t.handle] = t, t
	}
	c.mu.Unlock()
	if full {
		c.refuse(codeBusy, fmt.Sprintf("%d jobs are open on this connection", jobsPerPeer))
		return nil
	}
	c.Prove()
	c.Busy(1)
	c.send(Response(JobCreated, t.handle))
	c.core.Submit(t.tx)
	return nil
}

// Answer gives the job's one final answer.
func (t *terminal) Answer(a dispatch.Answer) {
	t.mu.Lock()
	_, open := t.jobs[t.handle]
	delete(t.jobs, t.handle)
	delete(t.terminals, t.handle)
	exceptions := t.exceptions
	if len(t.jobs) == 0 {
		defer func() {
			select {
			case t.settled <- struct{}{}:
			default:
			}
		}()
	}
	t.mu.Unlock()
	if !open { // the client is gone
		return
	}
	data := Response(WorkFail, t.handle)
	switch {
	case a.Verdict == dispatch.Served:
		data = Response(WorkComplete, t.handle, string(a.Result))
	case a.Verdict == dispatch.Refused && exceptions:
		reason := "refused: " + a.Reason
		if a.RetryAfter > 0 {
			reason += fmt.Sprintf("; retry after %.3f s", a.RetryAfter.Seconds())
		}
		data = Response(WorkException, t.handle, reason)
	}
	t.hand(outgoing{data, true})
}

// Progress passes a region's progress on. Copies of one job tell of theirs too: only an
// advance is passed on, and none that the client is too slow to read.
func (t *terminal) Progress(share float64) {
	t.mu.Lock()
	news := !t.begun || share > t.share
	t.begun, t.share = true, max(t.share, share)
	t.mu.Unlock()
	if news && len(t.out) < outbox/4 {
		t.send(Response(WorkStatus, t.handle, percent(share), "100"))
	}
}

func (c *client) status(handle string) {
	c.mu.Lock()
	t := c.terminals[handle]
	known, running, share := "0", "0", 0.0
	if t != nil {
		known, share = "1", t.share
		if t.begun {
			running = "1"
		}
	}
	c.mu.Unlock()
	c.send(Response(StatusRes, handle, known, running, percent(share), "100"))
}

func percent(share float64) string { return strconv.Itoa(int(100 * min(max(share, 0), 1))) }
