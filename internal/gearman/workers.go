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

// Workers sends attempts to workers that are Gearman job servers, as their client. It implements
// dispatch.Driver. A connection carries one job at a time, and is closed to cancel the job.
type Workers struct {
	core     *dispatch.Core
	log      *slog.Logger
	pool     *link.Pool[Packet]
	serving  dispatch.ServingSet
	mu       sync.Mutex
	attempts map[*dispatch.Attempt]context.CancelFunc
	list     []dispatch.Worker
}

// NewWorkers returns a driver that holds at most maxConnections connections to workers.
func NewWorkers(core *dispatch.Core, log *slog.Logger, dial link.DialFunc, maxConnections int) *Workers {
	settings := core.Settings()
	return &Workers{core: core, log: log, attempts: map[*dispatch.Attempt]context.CancelFunc{},
		pool: link.NewPool(dial, NewResponseFramer, settings.ConnectTimeout, settings.ConnIdleTimeout, maxConnections)}
}

// Run closes idle connections until the context ends.
func (w *Workers) Run(ctx context.Context) { w.pool.Sweep(ctx) }

// UpdateMembers sets the list of workers and closes idle connections to those not in it.
func (w *Workers) UpdateMembers(list []dispatch.Worker) {
	w.serving.Set(list)
	w.mu.Lock()
	w.list = list
	w.mu.Unlock()
	listed := map[string]bool{}
	for _, worker := range list {
		listed[worker.Addr] = true
	}
	w.pool.CloseIdleExcept(listed)
}

// Serving returns the workers that accept new attempts.
func (w *Workers) Serving() (serving []dispatch.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.list {
		if worker.State == balance.Serving {
			serving = append(serving, worker)
		}
	}
	return serving
}

// Start sends an attempt to its worker and reports its end to the core.
func (w *Workers) Start(attempt *dispatch.Attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.attempts[attempt] = cancel
	w.mu.Unlock()
	go func() {
		defer cancel()
		status, result := w.runAttempt(ctx, attempt)
		w.mu.Lock()
		delete(w.attempts, attempt)
		w.mu.Unlock()
		w.core.AttemptEnded(attempt, status, result)
	}()
}

// Cancel cancels an attempt by closing its connection.
func (w *Workers) Cancel(attempt *dispatch.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cancel := w.attempts[attempt]; cancel != nil {
		cancel()
	}
}

// runAttempt runs one attempt: it connects, sends the job and receives the result. The job did not
// run if no connection was established, if the connection broke before the packet's last byte was
// written, or if the server answered ERROR in place of JOB_CREATED; in every other case it may have
// run. Nothing is resent here: the balancer decides about retries.
func (w *Workers) runAttempt(ctx context.Context, attempt *dispatch.Attempt) (balance.Status, []byte) {
	j := attempt.Request.Payload.(*job)
	conn, err := w.pool.Get(ctx, attempt.Worker.Addr)
	if err != nil {
		if ctx.Err() != nil { // cancelled before anything was sent
			return balance.StatusNotSent, nil
		}
		w.logAttempt(attempt, "worker unreachable", err)
		return balance.StatusUnreachable, nil
	}
	reusable := false
	defer func() {
		if reusable {
			w.pool.Put(conn)
		} else {
			_ = conn.Close()
		}
	}()
	if ctx.Err() != nil || !w.serving.Accepts(attempt.Worker.ID) { // cancelled, or the worker began to drain after it was chosen
		reusable = true
		return balance.StatusNotSent, nil
	}
	record, err := j.recordSend(ctx, attempt)
	if err != nil { // without the record on disk a stored job could be sent twice after a crash
		reusable = true
		if ctx.Err() == nil {
			w.logAttempt(attempt, "attempt not sent, since it was not recorded in the job store", err)
		}
		j.retractSend(record)
		return balance.StatusNotSent, nil
	}
	var status balance.Status
	var result []byte
	status, result, reusable = w.sendAndReceive(ctx, attempt, conn)
	if status.NeverRan() {
		j.retractSend(record)
	}
	return status, result
}

// sendAndReceive sends a recorded attempt's job on a connection and receives its result. The result reusable reports
// whether the connection may carry another job.
func (w *Workers) sendAndReceive(ctx context.Context, attempt *dispatch.Attempt,
	conn *link.PoolConn[Packet]) (status balance.Status, result []byte, reusable bool) {
	attempt.RecordEvent(dispatch.Connected)
	j := attempt.Request.Payload.(*job)
	data := Request(SubmitJob, j.function, j.unique, j.data)
	if n, err := link.WriteWithTimeout(conn, data); n < len(data) {
		w.logAttempt(attempt, "request not fully sent; the attempt did not run", err)
		return balance.StatusUnreachable, nil, false
	}
	attempt.RecordEvent(dispatch.Written)
	return w.receive(ctx, attempt, conn)
}

// receive reads the job server's packets up to the end of the job. The result reusable reports
// whether the connection may carry another job.
func (w *Workers) receive(ctx context.Context, attempt *dispatch.Attempt,
	conn *link.PoolConn[Packet]) (status balance.Status, result []byte, reusable bool) {
	ex := exchange{onStarted: func() { w.core.AttemptStarted(attempt) },
		onProgress: func(s float64) { w.core.AttemptProgress(attempt, s) }}
	for {
		p, err := conn.Receive(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return balance.StatusCancelled, nil, false
			}
			w.logAttempt(attempt, "no response from the worker; the attempt may have run", err)
			return balance.StatusReset, nil, false
		}
		status, ended, err := ex.handlePacket(p)
		if ex.handle != "" {
			attempt.RecordEvent(dispatch.Accepted)
		}
		if err != nil {
			w.log.Warn("worker answered with an error", "worker", attempt.Worker.Name, "id", attempt.Request.ID, "err", err)
		}
		if !ended {
			continue
		}
		if ex.exception != nil {
			j := attempt.Request.Payload.(*job)
			j.mu.Lock()
			j.exception = ex.exception
			j.mu.Unlock()
		}
		return status, ex.result, err == nil && ex.exception == nil // after WORK_EXCEPTION a WORK_FAIL may still follow
	}
}

func (w *Workers) logAttempt(attempt *dispatch.Attempt, message string, err error) {
	w.log.Info(message, "worker", attempt.Worker.Name, "id", attempt.Request.ID, "err", err)
}

// exchange is the client's state machine for one job. It is fed the packets received and does
// no I/O.
type exchange struct {
	handle     string // empty until JOB_CREATED
	started    bool   // onStarted has been called
	result     []byte // encoded by appendResultPart
	exception  []byte
	onStarted  func()
	onProgress func(share float64)
}

// handlePacket handles the server's next packet. When the job has ended, ended is true and status
// is its outcome. An error means that the server violated the protocol or answered ERROR, and that
// the connection must not be used again.
func (x *exchange) handlePacket(p *Packet) (status balance.Status, ended bool, err error) {
	if x.handle == "" {
		switch p.Type {
		case JobCreated:
			if x.handle = string(p.Body); x.handle == "" {
				return balance.StatusError, true, errors.New("JOB_CREATED without a handle")
			}
			return 0, false, nil
		case Error: // the server did not accept the job
			return balance.StatusFull, true, errors.New("ERROR: " + printable(p.Body))
		}
		return balance.StatusError, true, errors.New("expected JOB_CREATED, got packet type " + strconv.Itoa(int(p.Type)))
	}
	if p.Type == Error {
		return balance.StatusError, true, errors.New("ERROR: " + printable(p.Body))
	}
	argCount := 2
	switch p.Type {
	case WorkFail:
		argCount = 1
	case WorkStatus:
		argCount = 3
	}
	args, err := p.Args(argCount)
	if err != nil {
		return balance.StatusError, true, err
	}
	if string(args[0]) != x.handle {
		return balance.StatusError, true, errors.New("packet for another job: " + printable(args[0]))
	}
	switch p.Type {
	case WorkStatus:
		x.handleStatus(args[1], args[2])
	case WorkData, WorkWarning, WorkComplete: // kept until the job ends: if the job runs twice, only one of the results is used
		if len(x.result)+len(args[1]) > maxBodyBytes {
			return balance.StatusError, true, errPacketTooLarge
		}
		if x.result = appendResultPart(x.result, p.Type, args[1]); p.Type == WorkComplete {
			return balance.StatusOK, true, nil
		}
	case WorkException:
		x.exception = args[1]
		return balance.StatusError, true, nil
	case WorkFail:
		return balance.StatusError, true, nil
	default:
		return balance.StatusError, true, errors.New("unexpected packet type " + strconv.Itoa(int(p.Type)))
	}
	return 0, false, nil
}

// handleStatus handles a WORK_STATUS. The first one means that the job has started.
func (x *exchange) handleStatus(numerator, denominator []byte) {
	if !x.started {
		x.started = true
		x.onStarted()
	}
	done, err1 := strconv.ParseFloat(string(numerator), 64)
	total, err2 := strconv.ParseFloat(string(denominator), 64)
	if err1 == nil && err2 == nil && done > 0 && total >= done {
		x.onProgress(done / total)
	}
}

func printable(b []byte) string {
	if len(b) > 80 {
		b = b[:80]
	}
	return strconv.QuoteToASCII(string(b))
}
