package gearman

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/link"
)

// Workers carries attempts to Gearman job servers, whose client it is. It implements
// dispatch.Workers. A connection carries one job at a time, and is closed to give a job up.
type Workers struct {
	core     *dispatch.Core
	log      *slog.Logger
	pool     *link.Pool[Packet]
	serving  dispatch.ServingSet
	mu       sync.Mutex
	attempts map[*dispatch.Attempt]context.CancelFunc
	list     []dispatch.Worker
}

// NewWorkers returns a driver that holds at most so many connections.
func NewWorkers(core *dispatch.Core, log *slog.Logger, dial link.DialFunc, most int) *Workers {
	s := core.Settings()
	return &Workers{core: core, log: log, attempts: map[*dispatch.Attempt]context.CancelFunc{},
		pool: link.NewPool(dial, NewResponseFramer, s.ConnectTimeout, s.ConnIdleTimeout, most)}
}

// Run keeps the pool tidy until the context ends.
func (r *Workers) Run(ctx context.Context) { r.pool.Sweep(ctx) }

// UpdateMembers closes idle connections to workers that are gone.
func (r *Workers) UpdateMembers(list []dispatch.Worker) {
	r.serving.Set(list)
	r.mu.Lock()
	r.list = list
	r.mu.Unlock()
	listed := map[string]bool{}
	for _, worker := range list {
		listed[worker.Addr] = true
	}
	r.pool.CloseIdleExcept(listed)
}

// Serving returns the workers that take new attempts.
func (r *Workers) Serving() (serving []dispatch.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, worker := range r.list {
		if worker.State == balance.Serving {
			serving = append(serving, worker)
		}
	}
	return serving
}

// Start carries an attempt to its worker.
func (r *Workers) Start(t *dispatch.Attempt) {
	ctx, stop := context.WithCancel(context.Background())
	r.mu.Lock()
	r.attempts[t] = stop
	r.mu.Unlock()
	go func() {
		defer stop()
		status, result := r.carry(ctx, t)
		r.mu.Lock()
		delete(r.attempts, t)
		r.mu.Unlock()
		t.Request.Payload.(*job).ended(status)
		r.core.AttemptEnded(t, status, result)
	}()
}

// Cancel gives an attempt up by closing its connection.
func (r *Workers) Cancel(t *dispatch.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stop := r.attempts[t]; stop != nil {
		stop()
	}
}

// carry takes one attempt through its exchange. Nothing ran if no connection came up,
// or if it broke before the packet's last byte was written, or if the server answered with
// an ERROR in place of JOB_CREATED; after anything else it may have. Nothing is sent again
// here: a repeat is the balancer's to decide.
func (r *Workers) carry(ctx context.Context, t *dispatch.Attempt) (balance.Status, []byte) {
	j := t.Request.Payload.(*job)
	conn, err := r.pool.Get(ctx, t.Worker.Addr)
	if err != nil {
		if ctx.Err() != nil { // given up before anything was sent
			return balance.StatusNotSent, nil
		}
		r.logAttempt(t, "worker unreachable", err)
		return balance.StatusUnreachable, nil
	}
	keep := false
	defer func() {
		if keep {
			r.pool.Put(conn)
		} else {
			_ = conn.Close()
		}
	}()
	if ctx.Err() != nil || !r.serving.Accepts(t.Worker.ID) { // given up, or drained since it was chosen
		keep = true
		return balance.StatusNotSent, nil
	}
	if err := j.sending(ctx, t); err != nil { // a stored job that is sent unwritten could be sent twice after a crash
		keep = true
		if ctx.Err() == nil {
			r.logAttempt(t, "not sent", err)
		}
		return balance.StatusNotSent, nil
	}
	t.RecordEvent(dispatch.Connected)
	data := Request(SubmitJob, j.function, j.unique, j.data)
	if n, err := link.WriteWithTimeout(conn, data); n < len(data) {
		r.logAttempt(t, "request cut short", err)
		return balance.StatusUnreachable, nil
	}
	t.RecordEvent(dispatch.Written)
	var status balance.Status
	var result []byte
	status, result, keep = r.receive(ctx, t, conn)
	return status, result
}

// receive takes a job server's packets up to the job's end. keep tells whether the connection may be
// used again.
func (r *Workers) receive(ctx context.Context, t *dispatch.Attempt, conn *link.PoolConn[Packet]) (status balance.Status, result []byte, keep bool) {
	x := exchange{started: func() { r.core.AttemptStarted(t) }, progress: func(s float64) { r.core.AttemptProgress(t, s) }}
	for {
		p, err := conn.Receive(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return balance.StatusCancelled, nil, false
			}
			r.logAttempt(t, "worker reset", err)
			return balance.StatusReset, nil, false
		}
		status, over, err := x.take(p)
		if x.handle != "" {
			t.RecordEvent(dispatch.Accepted)
		}
		if err != nil {
			r.log.Warn("worker answered", "worker", t.Worker.Name, "id", t.Request.ID, "err", err)
		}
		if !over {
			continue
		}
		if x.exception != nil {
			j := t.Request.Payload.(*job)
			j.mu.Lock()
			j.exception = x.exception
			j.mu.Unlock()
		}
		return status, x.result, err == nil && x.exception == nil // a WORK_FAIL may follow, which answers nothing then
	}
}

func (r *Workers) logAttempt(t *dispatch.Attempt, what string, err error) {
	r.log.Info(what, "worker", t.Worker.Name, "id", t.Request.ID, "err", err)
}

// exchange is the client's state machine for one job: it is fed packets and knows no
// socket.
type exchange struct {
	handle    string // empty until JOB_CREATED
	begun     bool
	result    []byte // the parts of it, see eachPart
	exception []byte
	started   func()
	progress  func(share float64)
}

// take takes the server's next packet. At the end it tells what became of the job; an
// error says that the server breaks the protocol or reports a fault of its own, and that
// the connection is not to be used again.
func (x *exchange) take(p *Packet) (status balance.Status, over bool, err error) {
	if x.handle == "" {
		switch p.Type {
		case JobCreated:
			if x.handle = string(p.Body); x.handle == "" {
				return balance.StatusError, true, errors.New("JOB_CREATED without a handle")
			}
			return 0, false, nil
		case Error: // it has not made a job of it
			return balance.StatusFull, true, errors.New("ERROR: " + printable(p.Body))
		}
		return balance.StatusError, true, errors.New("no JOB_CREATED but packet type " + strconv.Itoa(int(p.Type)))
	}
	if p.Type == Error {
		return balance.StatusError, true, errors.New("ERROR: " + printable(p.Body))
	}
	n := 2
	switch p.Type {
	case WorkFail:
		n = 1
	case WorkStatus:
		n = 3
	}
	args, err := p.Args(n)
	if err != nil {
		return balance.StatusError, true, err
	}
	if string(args[0]) != x.handle {
		return balance.StatusError, true, errors.New("a packet of another job: " + printable(args[0]))
	}
	switch p.Type {
	case WorkStatus:
		x.status(args[1], args[2])
	case WorkData, WorkWarning, WorkComplete: // kept until the end: of a job that runs twice one run answers
		if len(x.result)+len(args[1]) > maxBody {
			return balance.StatusError, true, errSize
		}
		if x.result = appendPart(x.result, p.Type, args[1]); p.Type == WorkComplete {
			return balance.StatusOK, true, nil
		}
	case WorkException:
		x.exception = args[1]
		return balance.StatusError, true, nil
	case WorkFail:
		return balance.StatusError, true, nil
	default:
		return balance.StatusError, true, errors.New("packet type " + strconv.Itoa(int(p.Type)))
	}
	return 0, false, nil
}

// status takes a WORK_STATUS: the first tells that the job runs.
func (x *exchange) status(numerator, denominator []byte) {
	if !x.begun {
		x.begun = true
		x.started()
	}
	done, err1 := strconv.ParseFloat(string(numerator), 64)
	all, err2 := strconv.ParseFloat(string(denominator), 64)
	if err1 == nil && err2 == nil && done > 0 && all >= done {
		x.progress(done / all)
	}
}

func printable(b []byte) string {
	if len(b) > 80 {
		b = b[:80]
	}
	return strconv.QuoteToASCII(string(b))
}
