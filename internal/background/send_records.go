package background

import (
	"context"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/jobstore"
)

// sendMargin is subtracted from the deduplication window, since the process may be held up for this long between the
// check and the write.
const sendMargin = 150 * time.Millisecond

// RecordSend records an attempt that is about to be sent, and blocks until the record is on disk. After an error
// the attempt must not be sent. It returns the record for RetractSend; it is the zero Send if nothing was
// recorded.
func (s *Scheduler) RecordSend(ctx context.Context, id uint64, send jobstore.Send) (jobstore.Send, error) {
	s.mu.Lock()
	job := s.active[id]
	switch {
	case job == nil || job.finished:
		s.mu.Unlock()
		return jobstore.Send{}, jobstore.ErrNotFound
	case s.draining && !job.sent:
		s.mu.Unlock()
		return jobstore.Send{}, ErrDraining
	}
	send = job.stored.State.NumberSend(send)
	job.stored.State.AddSend(send)
	if !job.sent {
		job.sent = true
		s.pacer.Sent()
	}
	s.mu.Unlock()
	written := make(chan error, 1)
	s.opts.Store.UpdateState(id, func(state *jobstore.State) { state.AddSend(send) }, func(err error) { written <- err })
	select {
	case err := <-written:
		if err == nil && s.repeatIsLate(job, send) {
			err = ErrDedupWindowOver
		}
		return send, err
	case <-ctx.Done(): // the record may still be written, which does no harm: it only says that the job may have run
		return send, ctx.Err()
	}
}

// repeatIsLate reports whether a recorded send would repeat a deduplicated job outside the deduplication window.
func (s *Scheduler) repeatIsLate(job *activeJob, send jobstore.Send) bool {
	class := s.server.Class(job.stored.Job.Function)
	s.mu.Lock()
	defer s.mu.Unlock()
	first := job.stored.State.FirstSend
	if class == nil || class.Idempotency != balance.Deduplicated || first == nil || *first == send {
		return false
	}
	return s.Now() >= first.At+class.DedupWindow-sendMargin
}

// RetractSend retracts a record that RecordSend returned, after the outcome of its attempt has proved that the
// job did not run.
func (s *Scheduler) RetractSend(id uint64, send jobstore.Send) {
	s.mu.Lock()
	job := s.active[id]
	retracted := false
	if job != nil {
		class := s.server.Class(job.stored.Job.Function)
		retracted = class != nil && class.Idempotency != balance.Idempotent && job.stored.State.RetractSend(send)
	}
	s.mu.Unlock()
	if !retracted {
		return
	}
	s.opts.Log.Debug("record of a send retracted", "handle", job.stored.Job.Handle, "worker", send.WorkerName,
		"attempt", send.Attempt, "sent", s.Now()-send.At)
	s.opts.Store.UpdateState(id, func(state *jobstore.State) { state.RetractSend(send) }, nil)
}
