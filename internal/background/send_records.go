package background

import (
	"context"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/jobstore"
)

// RecordSend records an attempt that is about to be sent, and blocks until the record is on disk.
// After an error the attempt must not be sent.
func (s *Scheduler) RecordSend(ctx context.Context, id uint64, send jobstore.Send) error {
	s.mu.Lock()
	job := s.active[id]
	switch {
	case job == nil || job.finished:
		s.mu.Unlock()
		return jobstore.ErrNotFound
	case s.draining && !job.sent:
		s.mu.Unlock()
		return ErrDraining
	}
	addSend(job.stored.State, send)
	if !job.sent {
		job.sent = true
		s.pacer.Sent()
	}
	s.mu.Unlock()
	written := make(chan error, 1)
	s.opts.Store.UpdateState(id, func(state *jobstore.State) { addSend(state, send) }, func(err error) { written <- err })
	select {
	case err := <-written:
		return err
	case <-ctx.Done(): // the record may still be written, which does no harm: it only says that the job may have run
		return ctx.Err()
	}
}

// addSend adds a send to a job's state.
func addSend(state *jobstore.State, send jobstore.Send) {
	state.Sends++
	send.Attempt = state.Sends
	if state.FirstSend == nil {
		state.FirstSend = &send
	}
	state.LastSend = &send
}

// RetractSend retracts the record of a send whose outcome proves that it did not run. It retracts
// the latest send: a job whose class is not idempotent has only one attempt at a time.
func (s *Scheduler) RetractSend(id uint64) {
	s.mu.Lock()
	job := s.active[id]
	retract, retracted := false, jobstore.Send{}
	if job != nil && job.stored.State.FirstSend != nil {
		class := s.server.Class(job.stored.Job.Function)
		if retract = class != nil && class.Idempotency != balance.Idempotent; retract {
			retracted = *job.stored.State.FirstSend
			retractLastSend(job.stored.State)
			retract = job.stored.State.FirstSend == nil
		}
	}
	s.mu.Unlock()
	if retract {
		s.opts.Log.Debug("record of a send retracted", "handle", job.stored.Job.Handle, "worker", retracted.WorkerName,
			"attempt", retracted.Attempt, "sent", s.Now()-retracted.At)
		s.opts.Store.UpdateState(id, retractLastSend, nil)
	}
}

// retractLastSend removes the first send from a job's state if it is also the latest.
func retractLastSend(state *jobstore.State) {
	if state.FirstSend != nil && state.LastSend != nil && state.FirstSend.Attempt == state.LastSend.Attempt {
		state.FirstSend = nil
	}
}
