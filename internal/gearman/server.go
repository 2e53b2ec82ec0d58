package gearman

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/background"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/jobindex"
	"tinroute.example/tinroute/internal/limitedlog"
	"tinroute.example/tinroute/internal/link"
)

const (
	// maxStoringBytes limits the data of background jobs that are being written to the job store. Each is held several
	// times meanwhile: as received, as a record, and in the transaction's pages.
	maxStoringBytes = 4 << 20
	// maxRejectedInARow is how many rejected packets in a row close the connection. A program that
	// speaks the protocol of another role, such as a worker, repeats its packet as fast as it gets
	// ERROR.
	maxRejectedInARow = 16
	// maxDirectRecipients is how many waiters of a job are notified on the calling goroutine, which
	// is the core's own. More are notified from a separate goroutine.
	maxDirectRecipients = 64
)

// Error codes of ERROR packets.
const (
	codeMalformed        = "malformed"
	codeUnknownFunction  = "unknown_function"
	codeNotServed        = "not_served"
	codeTooManyJobs      = "too_many_jobs"
	codeQueueFull        = "queue_full"
	codeStoreUnavailable = "store_unavailable"
	codeUniqueMissing    = "unique_id_missing"
)

// Options configure a Server.
type Options struct {
	Log            *slog.Logger
	Config         *config.Gearman
	DispatcherName string           // part of every job handle
	MaxConnections int              // concurrent client connections
	InputLimit     *link.InputLimit // for incomplete large packets; nil for no limit
	Workers        func() []dispatch.Worker
	Now            func() time.Duration // the clock of the scheduler
	Shutdown       func()               // starts an orderly shutdown, for the shutdown command
}

// Server is the Gearman job server for client connections.
type Server struct {
	opts          Options
	core          *dispatch.Core
	log           *slog.Logger
	config        *config.Gearman
	conns         link.Server
	limitedLog    *limitedlog.Logger
	startedAt     time.Time
	lastJobNumber atomic.Uint64
	storing       *semaphore.Weighted // the data of background jobs that are being written
	// schedulerSet is nil while there is no open job store. Once set it stays.
	schedulerSet atomic.Pointer[background.Scheduler]
	classes      map[string]*balance.Class // by function name

	mu               sync.Mutex
	index            *jobindex.Index[*client]
	abandoned        abandonedJobs
	droppedFunctions map[string]bool // functions that accept no new jobs
	draining         bool            // no stored jobs are offered any more
	updateQueue      []jobUpdate     // updates that are delivered by a separate goroutine
	deliveringQueue  bool            // that goroutine is running
}

// NewServer returns a server for the core, which must have a NewSendObserver among its observers.
func NewServer(core *dispatch.Core, opts Options) *Server {
	s := &Server{opts: opts, core: core, log: opts.Log, config: opts.Config, startedAt: time.Now(), storing: semaphore.NewWeighted(maxStoringBytes),
		limitedLog: limitedlog.New(opts.Log, nil), droppedFunctions: map[string]bool{},
		classes: map[string]*balance.Class{}, index: jobindex.New[*client](opts.Config.Limits)}
	for name, defaults := range opts.Config.Functions {
		s.classes[name] = &core.Settings().Classes[defaults.Class]
	}
	s.conns = link.Server{Log: opts.Log, MaxConns: opts.MaxConnections, Handle: s.handleConn, InputLimit: opts.InputLimit, MaxInputBytes: MaxInputBytes}
	return s
}

// SetScheduler sets the scheduler of stored jobs, once the job store is open. It returns false if the server drains;
// then the scheduler must not be run. It may be called at most once.
func (s *Server) SetScheduler(scheduler *background.Scheduler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.schedulerSet.Store(scheduler)
	return true
}

// scheduler returns the scheduler of stored jobs, or nil while there is no open job store.
func (s *Server) scheduler() *background.Scheduler { return s.schedulerSet.Load() }

// Draining reports whether Drain has been called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.conns.Serve(l) }

// Drain shuts the server down. It keeps serving new requests for as long as the schedule allows
// while clients are connected, and returns once every job that was sent is answered. Background
// jobs that were not sent stay in the job store.
func (s *Server) Drain(ctx context.Context, schedule link.DrainSchedule) {
	s.mu.Lock()
	s.draining = true // from now on no scheduler is set
	s.failAwaitingOffer()
	s.mu.Unlock()
	if scheduler := s.scheduler(); scheduler != nil {
		scheduler.Drain()
	}
	s.core.Drain(schedule.FullDeadlineFor, schedule.AnswerWithin)
	s.conns.Drain(ctx, s.core.OpenRequests, schedule.KeepClientsFor)
}

// client is one client connection, with any number of jobs up to the limit.
type client struct {
	*link.ServerConn
	*Server
	outbox          *outbox
	readerDone      chan struct{} // closed when nothing more is read
	writerDone      chan struct{} // closed when nothing more is written
	wantsExceptions bool          // option "exceptions" is set; guarded by Server.mu, as are unanswered and disconnected
	unanswered      int           // submissions whose final answer is not in the outbox yet
	disconnected    bool          // nothing more is written to it
	allAnswered     chan struct{} // signals that unanswered reached 0
	rejectedInARow  int           // rejected packets in a row; used by the reading goroutine only
	textProtocol    bool          // the client speaks the text protocol
}

func (s *Server) handleConn(conn *link.ServerConn) {
	c := &client{ServerConn: conn, Server: s, outbox: newOutbox(), readerDone: make(chan struct{}),
		writerDone: make(chan struct{}), allAnswered: make(chan struct{}, 1)}
	go c.writeLoop()
	closeAfter := false // after sending the error
	err := link.ReadMessages(c.ServerConn, NewServerFramer(), func(p *Packet) bool {
		if !c.waitForRoom() {
			return false
		}
		c.textProtocol = p.Text
		if p.isSubmission() && link.PeerClosed(c.Conn) { // its answer could not reach the client, which may submit it again elsewhere
			return false
		}
		if p.Text {
			c.handleCommand(string(p.Body))
		} else {
			c.handlePacket(p)
		}
		closeAfter = c.rejectedInARow >= maxRejectedInARow
		return !closeAfter
	})
	if malformed := (*link.MalformedError)(nil); errors.As(err, &malformed) {
		closeAfter = true
		s.limitedLog.Report("malformed packet", c.RemoteAddr(), err.Error())
		if errors.Is(err, errLineTooLong) {
			c.send([]byte(errTextLineTooLong))
		} else {
			c.waitAnswered() // the answers of its jobs are sent first
			c.send(Response(Error, streamErrorCode(err), err.Error()))
		}
	} else if closeAfter {
		c.waitAnswered()
	}
	close(c.readerDone)
	<-c.writerDone
	if closeAfter {
		conn.Linger(c.readerDone)
	}
	s.removeClient(c)
}

// streamErrorCode returns the ERROR code for an error that ends the reading of a connection.
func streamErrorCode(err error) string {
	if errors.Is(err, link.ErrInputLimit) {
		return codeQueueFull
	}
	return codeMalformed
}

// waitAnswered waits until the final answer of every submission is in the client's outbox.
func (c *client) waitAnswered() {
	for {
		c.mu.Lock()
		unanswered := c.unanswered
		c.mu.Unlock()
		if unanswered == 0 {
			return
		}
		<-c.allAnswered
	}
}

// removeClient removes a disconnected client. Foreground jobs without other waiters are cancelled.
func (s *Server) removeClient(c *client) {
	s.mu.Lock()
	c.disconnected = true
	var toCancel []*dispatch.Request
	cancelled, withoutWaiters := s.index.RemoveClient(c)
	for _, entry := range withoutWaiters {
		s.closeIfIdle(entry.Payload.(*job))
	}
	for _, entry := range cancelled {
		j := entry.Payload.(*job)
		s.abandon(j)
		if j.request != nil {
			toCancel = append(toCancel, j.request)
			j.request = nil
		}
	}
	s.mu.Unlock()
	for _, request := range toCancel {
		s.core.CancelRequest(request)
	}
}

// jobUpdate is a message about a job to each of its waiters.
type jobUpdate struct {
	recipients     map[*client]int     // number of submissions of each client
	final          bool                // a final answer
	basic          []byte              // for clients without the option "exceptions"
	withExceptions []byte              // for clients with it
	onWritten      func(complete bool) // called after each write to a client, if set
}

// deliver notifies the waiters of a job. If they are many, a separate goroutine does so, since the
// caller is the core's goroutine. Updates are delivered in the order of the calls either way.
// s.mu must be held.
func (s *Server) deliver(update jobUpdate) {
	if len(update.recipients) == 0 {
		return
	}
	if !s.deliveringQueue && len(update.recipients) <= maxDirectRecipients {
		s.enqueueUpdate(update)
		return
	}
	s.updateQueue = append(s.updateQueue, update)
	if s.deliveringQueue {
		return
	}
	s.deliveringQueue = true
	go func() {
		for {
			s.mu.Lock()
			if len(s.updateQueue) == 0 {
				s.deliveringQueue = false
				s.mu.Unlock()
				return
			}
			update := s.updateQueue[0]
			s.updateQueue = s.updateQueue[1:]
			s.mu.Unlock()
			batch := jobUpdate{recipients: map[*client]int{}, final: update.final, basic: update.basic,
				withExceptions: update.withExceptions, onWritten: update.onWritten}
			flush := func() {
				s.mu.Lock()
				s.enqueueUpdate(batch)
				s.mu.Unlock()
				clear(batch.recipients)
			}
			for c, n := range update.recipients { // in batches, so that the lock is released between them
				if batch.recipients[c] = n; len(batch.recipients) >= maxDirectRecipients {
					flush()
				}
			}
			flush()
		}
	}()
}

// enqueueUpdate puts an update into the outbox of each recipient. s.mu must be held.
func (s *Server) enqueueUpdate(update jobUpdate) {
	for c, n := range update.recipients {
		if c.disconnected {
			continue
		}
		data := update.basic
		if c.wantsExceptions {
			data = update.withExceptions
		}
		for range n {
			c.outbox.put(outboxItem{data, update.final, update.onWritten})
		}
		if update.final {
			if c.unanswered -= n; c.unanswered == 0 {
				select {
				case c.allAnswered <- struct{}{}:
				default:
				}
			}
		}
	}
}

// newHandle returns a job handle that is unique within this dispatcher, and with an open job store across its restarts
// too. The store numbers its jobs itself, so while it is not open yet the handles are of another form.
func (s *Server) newHandle() string {
	prefix := "H:" + s.opts.DispatcherName + ":"
	if scheduler := s.scheduler(); scheduler != nil {
		return prefix + strconv.FormatUint(scheduler.NextID(), 10)
	}
	if s.config.Store != nil {
		prefix += strconv.FormatInt(s.startedAt.UnixNano(), 36) + "-"
	}
	return prefix + strconv.FormatUint(s.lastJobNumber.Add(1), 10)
}
