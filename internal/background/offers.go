package background

import (
	"errors"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// planInput returns the description of a job for the planner.
func (s *Scheduler) planInput(stored *jobstore.StoredJob, class *balance.Class) *recovery.Job {
	input := &recovery.Job{Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow,
		EligibleAt: stored.Job.AcceptedAt, Offers: stored.State.Offers, Sends: stored.State.Sends, HistoryUnknown: stored.StateLost}
	if stored.Job.DueSetByClient {
		input.EligibleAt = max(input.EligibleAt, stored.State.Due)
	}
	input.EligibleAt = max(input.EligibleAt, stored.State.ReleasedAt)
	if first := stored.State.FirstSend; first != nil {
		input.FirstSend = &recovery.Send{Zone: first.Zone, Cell: first.Cell, At: first.At}
		input.HistoryUnknown = input.HistoryUnknown || s.opts.Store.ClockSetBack() && first.At < s.startedAt
	}
	return input
}

// offer offers a job to the job server, or makes it a dead letter if the planner decides so.
func (s *Scheduler) offer(job *activeJob) {
	now := s.Now()
	class := s.server.Class(job.stored.Job.Function)
	s.mu.Lock()
	if job.finished || s.draining {
		if !job.finished {
			delete(s.active, job.stored.Job.ID)
		}
		s.mu.Unlock()
		return
	}
	decision := recovery.Decision{Action: recovery.ActionDeadLetter, Reason: recovery.ReasonNoFunction}
	if class != nil {
		decision = s.planner.BeforeOffer(now, s.planInput(job.stored, class))
	}
	if decision.Action == recovery.ActionDeadLetter {
		s.mu.Unlock()
		s.deadLetter(job, decision.Reason)
		return
	}
	job.offered, job.sent = true, false
	s.pacer.Offered(now)
	s.counts.Offered++
	s.mu.Unlock()
	s.logOffer(job.stored, decision.PriorAttempt)
	s.server.Offer(job.stored, decision.PriorAttempt)
}

// logOffer logs an offer and, if it is restricted, the earlier attempt that restricts it.
func (s *Scheduler) logOffer(stored *jobstore.StoredJob, prior *balance.PriorAttempt) {
	if prior == nil {
		s.opts.Log.Debug("background job offered to all workers", "handle", stored.Job.Handle, "offers", stored.State.Offers)
		return
	}
	s.opts.Log.Debug("background job offered to the workers that drop its repeat", "handle", stored.Job.Handle,
		"offers", stored.State.Offers, "zone", prior.Zone, "cell", prior.Cell, "age", prior.Age)
}

// promote offers a job now if it is stored and due.
func (s *Scheduler) promote(p promotion, draining bool) {
	id := p.id
	s.mu.Lock()
	job := s.active[id]
	if job != nil {
		for i, ready := range s.ready {
			if ready == job {
				s.ready = append(s.ready[:i:i], s.ready[i+1:]...)
				s.mu.Unlock()
				s.offer(job)
				return
			}
		}
		finished := job.finished
		s.mu.Unlock()
		if finished {
			s.server.JobNotFound(p.handle)
		}
		return
	}
	s.mu.Unlock()
	if draining {
		return
	}
	stored, err := s.opts.Store.Get(id)
	switch {
	case errors.Is(err, jobstore.ErrNotFound) || err == nil && stored.State.DeadReason != "": // it has already ended
		s.server.JobNotFound(p.handle)
		return
	case err != nil: // the store has logged it
		return
	}
	if stored.State.DueSetByClient && stored.State.Due > time.Duration(s.opts.WallClock().UnixNano()) {
		return
	}
	job = &activeJob{stored: stored}
	s.mu.Lock()
	s.active[id] = job
	s.mu.Unlock()
	s.offer(job)
}

// processEnd decides what to do after an offer has ended and writes the change to the store.
func (s *Scheduler) processEnd(ended offerEnd) {
	now := s.Now()
	s.mu.Lock()
	job := s.active[ended.id]
	if job == nil || job.finished || !job.offered {
		s.mu.Unlock()
		return
	}
	s.pacer.Ended(now, job.sent, ended.outcome)
	job.offered = false
	if s.draining && ended.outcome != recovery.OutcomeServed { // its record in the store stays unchanged
		delete(s.active, ended.id)
		s.mu.Unlock()
		return
	}
	job.stored.State.Offers++
	decision := recovery.Decision{Action: recovery.ActionDeadLetter, Reason: recovery.ReasonNoFunction}
	if class := s.server.Class(job.stored.Job.Function); class != nil {
		decision = s.planner.AfterOffer(now, s.planInput(job.stored, class), ended.outcome, ended.retryAfter)
	}
	switch decision.Action {
	case recovery.ActionDone:
		job.finished = true
		s.counts.Served++
	case recovery.ActionWait, recovery.ActionOffer:
		s.counts.Retried++
		reschedule(job.stored.State, max(decision.At, now))
	}
	due := job.stored.State.Due
	s.mu.Unlock()
	switch decision.Action {
	case recovery.ActionDone:
		s.writeWithRetry(ended.id, func(done func(error)) { s.opts.Store.Remove(ended.id, done) })
	case recovery.ActionDeadLetter:
		s.deadLetter(job, decision.Reason)
	default:
		s.writeWithRetry(ended.id, func(done func(error)) {
			s.opts.Store.UpdateState(ended.id, func(state *jobstore.State) {
				state.Offers++
				reschedule(state, due)
			}, done)
		})
	}
}

// reschedule sets the time of a job's next offer, by the scheduler's own clock. The expiry still
// counts from the time that the client scheduled.
func reschedule(state *jobstore.State, due time.Duration) {
	if state.DueSetByClient {
		state.ReleasedAt = state.Due
	}
	state.Due, state.DueSetByClient = due, false
}

// deadLetter makes a job a dead letter.
func (s *Scheduler) deadLetter(job *activeJob, reason string) {
	now, id := s.Now(), job.stored.Job.ID
	s.mu.Lock()
	job.finished = true
	job.stored.State.DeadReason = reason
	s.counts.DeadLettered++
	s.mu.Unlock()
	s.opts.Log.Warn("background job moved to the dead letters", "handle", job.stored.Job.Handle,
		"function", job.stored.Job.Function, "why", reason)
	s.server.DeadLettered(job.stored, reason)
	lost, state := job.stored.StateLost, *job.stored.State
	s.writeWithRetry(id, func(done func(error)) {
		if lost { // its state was unreadable: write a new record
			record := *job.stored.Job
			state.DeadSince = now
			s.opts.Store.ReplaceLostState(&record, &state, done)
			return
		}
		s.opts.Store.UpdateState(id, func(state *jobstore.State) { state.DeadReason, state.DeadSince = reason, now }, done)
	})
}
