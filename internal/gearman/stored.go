package gearman

import (
	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// The methods of background.Front, which the keeper calls. The server's lock may be held when
// the keeper's is taken, never the other way round.

// reopen enters a stored job in the book again. s.mu is held.
func (s *Server) reopen(o *jobstore.Stored) *job {
	r := o.Job
	if e := s.book.ByHandle(r.Handle); e != nil {
		return e.Payload.(*job)
	}
	j := &job{server: s, handle: r.Handle, function: r.Function, unique: r.Unique, data: string(r.Data), id: r.ID}
	unique := r.Unique
	if s.book.ByKey(r.Function, unique) != nil { // a later job has it, since this one was dead for a while
		unique = ""
	}
	j.entry = s.book.Open(r.Handle, r.Function, unique, len(r.Data), true)
	j.entry.Payload = j
	return j
}

// Offer submits a stored job.
func (s *Server) Offer(o *jobstore.Stored, earlier *balance.PriorAttempt) {
	s.mu.Lock()
	if s.draining { // the keeper was about to when the word came
		s.mu.Unlock()
		return
	}
	j := s.reopen(o)
	j.offers = max(j.offers, o.State.Offers+o.State.Sends) // ids that were in use before a restart are not used again
	request := s.request(j, s.file.Functions[j.function])
	request.PriorAttempt = earlier
	s.mu.Unlock()
	s.core.Submit(request)
}

// Withdraw takes an offer back.
func (s *Server) Withdraw(o *jobstore.Stored) {
	s.mu.Lock()
	var request *dispatch.Request
	if e := s.book.ByHandle(o.Job.Handle); e != nil {
		j := e.Payload.(*job)
		request, j.request = j.request, nil
		s.fail(j, ending)
		s.rest(j)
	}
	s.mu.Unlock()
	if request != nil {
		s.core.CancelRequest(request)
	}
}

// fail tells all who wait for a job that they wait in vain; the job itself stays. s.mu is held.
func (s *Server) fail(j *job, reason string) {
	plain := Response(WorkFail, j.handle)
	s.deliver(delivery{to: s.book.DetachWaiters(j.entry), final: true, plain: plain,
		full: append(Response(WorkException, j.handle, reason), plain...)})
}

// DeadLettered tells who waits for a job that it is dead.
func (s *Server) DeadLettered(o *jobstore.Stored, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.book.ByHandle(o.Job.Handle); e != nil {
		s.fail(e.Payload.(*job), "dead: "+reason)
		s.book.Close(e)
	}
}

// JobNotFound tells that a job which clients joined had ended: it is a new one then.
func (s *Server) JobNotFound(handle string) {
	s.mu.Lock()
	e := s.book.ByHandle(handle)
	if e == nil || e.Payload.(*job).request != nil {
		s.mu.Unlock()
		return
	}
	j := e.Payload.(*job)
	if e.WaitingSubmissions == 0 {
		s.book.Close(e)
		s.mu.Unlock()
		return
	}
	s.book.SetBackground(e, false)
	j.mu.Lock()
	j.id = 0
	j.mu.Unlock()
	request := s.request(j, s.file.Functions[j.function])
	s.mu.Unlock()
	s.core.Submit(request)
}

// Class is a function's class, or nil.
func (s *Server) Class(function string) *balance.Class { return s.classes[function] }

func ends(a dispatch.Answer) recovery.Outcome {
	switch {
	case a.Verdict == dispatch.Served:
		return recovery.OutcomeServed
	case a.Verdict == dispatch.Refused:
		return recovery.OutcomeRefused
	case a.InvalidRequest:
		return recovery.OutcomeUnfit
	}
	return recovery.OutcomeFailed
}

// cancel ends a job by its handle, wherever it is, and tells who waits for it. It waits for the
// disk.
func (s *Server) cancel(handle string) error {
	s.mu.Lock()
	var request *dispatch.Request
	e := s.book.ByHandle(handle)
	background := e == nil
	if e != nil {
		j := e.Payload.(*job)
		if j.put != nil { // it is not known to be stored yet, and its submitters wait for that word
			s.mu.Unlock()
			return jobstore.ErrUnknown
		}
		background = e.Background
		request, j.request = j.request, nil
		s.fail(j, "cancelled")
		s.book.Close(e)
	}
	s.mu.Unlock()
	if request != nil {
		s.core.CancelRequest(request)
	}
	if !background {
		return nil
	}
	if s.keeper == nil {
		return jobstore.ErrUnknown
	}
	return s.keeper.Cancel(handle)
}
