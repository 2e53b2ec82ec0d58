package gearman

import (
	"context"
	"log/slog"
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
	if !w.maySend(ctx, attempt) {
		reusable = true
		return balance.StatusNotSent, nil
	}
	record, err := j.recordSend(ctx, attempt)
	if err != nil && ctx.Err() == nil {
		w.logAttempt(attempt, "attempt not sent, since it was not recorded in the job store", err)
	}
	// Without the record on disk a stored job could be sent twice after a crash. The write may also have taken long.
	if err != nil || !w.maySend(ctx, attempt) {
		reusable = true
		j.retractSend(record)
		return balance.StatusNotSent, nil
	}
	status, result, intact := w.sendAndReceive(ctx, attempt, conn)
	reusable = intact
	if status.NeverRan() {
		j.retractSend(record)
	}
	return status, result
}

// maySend reports whether an attempt may be sent: it has not been cancelled, and its worker has not begun to drain
// since it was chosen.
func (w *Workers) maySend(ctx context.Context, attempt *dispatch.Attempt) bool {
	return ctx.Err() == nil && w.serving.Accepts(attempt.Worker.ID)
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
