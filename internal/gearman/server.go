package gearman

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/background"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/jobindex"
	"tinroute.example/tinroute/internal/limitedlog"
	"tinroute.example/tinroute/internal/link"
)

const (
	// outbox holds a JOB_CREATED and a final answer for each of a connection's jobs, and some
	// progress. A client that lets it fill up does not read, and is closed rather than waited
	// for.
	outboxPerJob = 4
	// badMost is how many packets in a row may be turned away before the connection is closed:
	// a tool that speaks another role's protocol repeats its packet as fast as it gets ERROR.
	badMost = 16
	// wide is how many waiters a job may have to be told from the goroutine that brings the
	// news, which is the core's own; more are told from another.
	wide = 64
)

// The codes of ERROR packets.
const (
	codeMalformed = "malformed"
	codeUnknown   = "unknown_function"
	codeUnserved  = "not_served"
	codeBusy      = "too_many_jobs"
	codeQueue     = "queue_full"
	codeStore     = "store_unavailable"
	codeKey       = "unique_id_missing"
)

// Options of a Server beside its core.
type Options struct {
	Log            *slog.Logger
	Config         *config.Gearman
	DispatcherName string // the dispatcher's, part of every handle
	MaxConnections int    // connections at once
	Workers        func() []dispatch.Worker
	NewScheduler   func(background.JobServer) *background.Scheduler // nil where there is no job store
	StoreErr       error                                            // why the job store that is configured could not be opened
	Shutdown       func()                                           // ends the process in order, for the text protocol
}

// Server is the job server that Gearman clients meet.
type Server struct {
	o          Options
	core       *dispatch.Core
	log        *slog.Logger
	file       *config.Gearman
	server     link.Server
	limitedLog *limitedlog.Logger
	keeper     *background.Scheduler // nil where off
	nextJob    atomic.Uint64
	classes    map[string]*balance.Class // by function

	mu       sync.Mutex
	book     *jobindex.Index[*client]
	dropped  map[string]bool // functions that take no new jobs
	draining bool            // no stored job is offered any more
	fan      []delivery      // what waits to be told to many
	fanning  bool
}

// NewServer returns a server for the core, which must have NewWatch among its observers.
func NewServer(core *dispatch.Core, o Options) *Server {
	s := &Server{o: o, core: core, log: o.Log, file: o.Config, limitedLog: limitedlog.New(o.Log, nil), dropped: map[string]bool{},
		classes: map[string]*balance.Class{}, book: jobindex.New[*client](o.Config.Limits)}
	for name, f := range o.Config.Functions {
		s.classes[name] = &core.Settings().Classes[f.Class]
	}
	if o.NewScheduler != nil {
		s.keeper = o.NewScheduler(s)
	}
	s.server = link.Server{Log: o.Log, MaxConns: o.MaxConnections, Handle: s.handle}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Drain goes on taking what comes, for as long as g says while there are clients, and returns
// when every job that was sent is answered. Background jobs that were not stay stored.
func (s *Server) Drain(ctx context.Context, g link.DrainSchedule) {
	if s.keeper != nil {
		s.mu.Lock()
		s.draining = true
		s.failUnoffered()
		s.mu.Unlock()
		s.keeper.Drain()
	}
	s.core.Drain(g.FullDeadlineFor, g.AnswerWithin)
	s.server.Drain(ctx, s.core.Open, g.KeepClientsFor)
}

// outgoing is something that waits to be written.
type outgoing struct {
	data  []byte
	final bool // a job's final answer: the job keeps the connection busy until this is written
	told  func(whole bool)
}

// client is one connection from a client, with any number of jobs up to the bound.
type client struct {
	*link.ServerConn
	*Server
	out        chan outgoing
	done       chan struct{}
	exceptions bool          // guarded by Server.mu, as are owed and gone
	owed       int           // submissions whose final answer is not in the outbox
	gone       bool          // nothing is written any more
	settled    chan struct{} // owed has come to 0
	bad        int           // packets turned away in a row; the reader's own
	text       bool
}

func (s *Server) handle(p *link.ServerConn) {
	c := &client{ServerConn: p, Server: s, done: make(chan struct{}), settled: make(chan struct{}, 1),
		out: make(chan outgoing, outboxPerJob*max(16, s.file.Limits.PerClient))}
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	last := false // it is told why, and then closed
	err := link.ReadMessages(c.ServerConn, NewServerFramer(), func(p *Packet) bool {
		c.text = p.Text
		if p.Text {
			c.command(string(p.Body))
		} else {
			c.packet(p)
		}
		last = c.bad >= badMost
		return !last
	})
	if bad := (*link.MalformedError)(nil); errors.As(err, &bad) {
		last = true
		s.limitedLog.Report("malformed packet", c.RemoteAddr(), err.Error())
		if errors.Is(err, errLine) {
			c.send([]byte(errTooLong))
		} else {
			c.settle() // the client is still there, and is owed its jobs' answers first
			c.send(Response(Error, codeMalformed, err.Error()))
		}
	} else if last {
		c.settle()
	}
	close(c.done)
	<-written
	if last {
		p.Linger(c.done)
	}
	s.leave(c)
}

// settle waits until every answer that the client is owed is in its outbox.
func (c *client) settle() {
	for {
		c.mu.Lock()
		owed := c.owed
		c.mu.Unlock()
		if owed == 0 {
			return
		}
		<-c.settled
	}
}

// leave forgets a client that is gone. Jobs that no one waits for any more are given up.
func (s *Server) leave(c *client) {
	s.mu.Lock()
	c.gone = true
	var out []*dispatch.Request
	givenUp, unwatched := s.book.RemoveClient(c)
	for _, e := range unwatched {
		s.rest(e.Payload.(*job))
	}
	for _, e := range givenUp {
		j := e.Payload.(*job)
		if j.request != nil {
			out = append(out, j.request)
			j.request = nil
		}
	}
	s.mu.Unlock()
	for _, request := range out {
		s.core.CancelRequest(request)
	}
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
	_, err := link.WriteWithTimeout(c.Conn, p.data)
	if p.final {
		c.AddInFlight(-1)
	}
	if p.told != nil {
		p.told(err == nil)
	}
	return err == nil
}

// send hands bytes to the connection's writer and never waits for it.
func (c *client) send(data []byte) { c.hand(outgoing{data: data}) }

func (c *client) hand(p outgoing) {
	select {
	case c.out <- p:
	default:
		c.limitedLog.Report("slow reader closed", c.RemoteAddr(), "outbox full")
		_ = c.Close()
	}
}

// delivery is one piece of news about a job, for each of its waiters.
type delivery struct {
	to    map[*client]int // submissions of each
	final bool
	plain []byte           // for clients without the option exceptions
	full  []byte           // for those with it
	told  func(whole bool) // called when it is written to a client
}

// deliver tells a job's waiters. Where they are many that is not done on the calling goroutine,
// which is the core's, but in the order of the calls all the same. s.mu is held.
func (s *Server) deliver(d delivery) {
	if len(d.to) == 0 {
		return
	}
	if !s.fanning && len(d.to) <= wide {
		s.tell(d)
		return
	}
	s.fan = append(s.fan, d)
	if s.fanning {
		return
	}
	s.fanning = true
	go func() {
		for {
			s.mu.Lock()
			if len(s.fan) == 0 {
				s.fanning = false
				s.mu.Unlock()
				return
			}
			d := s.fan[0]
			s.fan = s.fan[1:]
			s.mu.Unlock()
			part := delivery{to: map[*client]int{}, final: d.final, plain: d.plain, full: d.full, told: d.told}
			tell := func() {
				s.mu.Lock()
				s.tell(part)
				s.mu.Unlock()
				clear(part.to)
			}
			for c, n := range d.to { // the lock is not held for all of them at once
				if part.to[c] = n; len(part.to) >= wide {
					tell()
				}
			}
			tell()
		}
	}()
}

func (s *Server) tell(d delivery) {
	for c, n := range d.to {
		if c.gone {
			continue
		}
		data := d.plain
		if c.exceptions {
			data = d.full
		}
		for range n {
			c.hand(outgoing{data, d.final, d.told})
		}
		if d.final {
			if c.owed -= n; c.owed == 0 {
				select {
				case c.settled <- struct{}{}:
				default:
				}
			}
		}
	}
}

// newHandle returns a handle that no other job of this dispatcher has, and where jobs are
// stored none had before its restart.
func (s *Server) newHandle() string {
	var n uint64
	if s.keeper != nil {
		n = s.keeper.NextID()
	} else {
		n = s.nextJob.Add(1)
	}
	return "H:" + s.o.DispatcherName + ":" + strconv.FormatUint(n, 10)
}
