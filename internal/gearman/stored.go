package gearman

import (
	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// This file holds the methods of background.JobServer, which the scheduler calls. Lock order:
// Server.mu may be held when the scheduler's lock is taken, never the other way round.

// reopenStored returns the open job of a stored job, and adds it to the index if it is not there.
// s.mu must be held.
func (s *Server) reopenStored(stored *jobstore.StoredJob) *job {
	record := stored.Job
	if entry := s.index.ByHandle(record.Handle); entry != nil {
		return entry.Payload.(*job)
	}
	j := &job{server: s, sends: &sendLog{}, handle: record.Handle, function: record.Function, unique: record.UniqueID,
		data: string(record.Data), storeID: record.ID}
	unique := record.UniqueID
	if s.index.ByKey(record.Function, unique) != nil { // a later job took the unique ID while this one was a dead letter
		unique = ""
	}
	j.entry = s.index.Open(record.Handle, record.Function, unique, len(record.Data), true)
	j.entry.Payload = j
	return j
}

// Offer submits a stored job to the dispatcher.
func (s *Server) Offer(stored *jobstore.StoredJob, prior *balance.PriorAttempt) {
	s.mu.Lock()
	if s.draining { // the scheduler had chosen the job before the drain began
		s.mu.Unlock()
		return
	}
	j := s.reopenStored(stored)
	j.offers = max(j.offers, stored.State.Offers+stored.State.Sends) // do not reuse request IDs from before a restart
	request := s.newRequest(j, s.config.Functions[j.function])
	request.PriorAttempt = prior
	s.mu.Unlock()
	s.core.Submit(request)
}

// Withdraw cancels the request of an offer that has not been sent.
func (s *Server) Withdraw(stored *jobstore.StoredJob) {
	s.mu.Lock()
	var request *dispatch.Request
	if entry := s.index.ByHandle(stored.Job.Handle); entry != nil {
		j := entry.Payload.(*job)
		request, j.request = j.request, nil
		s.failWaiters(j, reasonDraining)
		s.closeIfIdle(j)
	}
	s.mu.Unlock()
	if request != nil {
		s.core.CancelRequest(request)
	}
}

// failWaiters sends a failure to every client that waits for a job. The job itself stays open. s.mu
// must be held.
func (s *Server) failWaiters(j *job, reason string) {
	basic := Response(WorkFail, j.handle)
	s.deliver(jobUpdate{recipients: s.index.DetachWaiters(j.entry), final: true, basic: basic,
		withExceptions: append(Response(WorkException, j.handle, reason), basic...)})
}

// DeadLettered sends a failure to the clients that wait for a job which became a dead letter.
func (s *Server) DeadLettered(stored *jobstore.StoredJob, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.index.ByHandle(stored.Job.Handle); entry != nil {
		s.failWaiters(entry.Payload.(*job), "dead: "+reason)
		s.index.Close(entry)
	}
}

// JobNotFound handles a promoted job that had already ended in the store. If clients wait for it,
// it is submitted as a new foreground job.
func (s *Server) JobNotFound(handle string) {
	s.mu.Lock()
	entry := s.index.ByHandle(handle)
	if entry == nil || entry.Payload.(*job).request != nil {
		s.mu.Unlock()
		return
	}
	j := entry.Payload.(*job)
	if entry.WaitingSubmissions == 0 {
		s.index.Close(entry)
		s.mu.Unlock()
		return
	}
	s.index.SetBackground(entry, false)
	j.mu.Lock()
	j.storeID = 0
	j.mu.Unlock()
	request := s.newRequest(j, s.config.Functions[j.function])
	s.mu.Unlock()
	s.core.Submit(request)
}

// Class returns the class of a function, or nil if it is unknown.
func (s *Server) Class(function string) *balance.Class { return s.classes[function] }

// offerOutcome maps the core's answer to the outcome of an offer.
func offerOutcome(answer dispatch.Answer) recovery.Outcome {
	switch {
	case answer.Verdict == dispatch.Served:
		return recovery.OutcomeServed
	case answer.Verdict == dispatch.Refused:
		return recovery.OutcomeRefused
	case answer.InvalidRequest:
		return recovery.OutcomeInvalid
	}
	return recovery.OutcomeFailed
}

// cancel ends an open or stored job and sends a failure to its waiters. It blocks until a stored
// job is removed from disk.
func (s *Server) cancel(handle string) error {
	s.mu.Lock()
	var request *dispatch.Request
	entry := s.index.ByHandle(handle)
	background := entry == nil
	if entry != nil {
		j := entry.Payload.(*job)
		if j.storeCallbacks != nil { // still being written: its submitters have not been answered yet
			s.mu.Unlock()
			return jobstore.ErrNotFound
		}
		background = entry.Background
		request, j.request = j.request, nil
		s.failWaiters(j, "cancelled")
		s.index.Close(entry)
	}
	s.mu.Unlock()
	if request != nil {
		s.core.CancelRequest(request)
	}
	if !background {
		return nil
	}
	if s.scheduler() == nil {
		return jobstore.ErrNotFound
	}
	return s.scheduler().Cancel(handle)
}
