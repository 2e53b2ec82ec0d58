package gearman

import (
	"time"
)

// unoffered tells whether a stored job is on disk and not with the core. s.mu is held.
func (j *job) unoffered() bool { return j.entry.Background && j.request == nil && j.put == nil }

// promote has a stored job offered next, since a client waits for it. It may not be due by its own
// client's word, or be just being written down: whoever waits for it gets an answer within the
// function's deadline all the same, and at once if nothing is offered any more.
func (s *Server) promote(j *job) {
	late := func(reason string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if j.unoffered() && s.book.ByHandle(j.handle) == j.entry {
			s.fail(j, reason)
			s.rest(j)
		}
	}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		late(ending)
		return
	}
	s.keeper.Promote(j.number(), j.handle)
	time.AfterFunc(s.file.Functions[j.function].Deadline, func() { late("its time has not come") })
}

// ending is what those are told who wait for a stored job when the process ends.
const ending = "the dispatcher is ending; the job stays stored"

// failUnoffered tells those who wait for stored jobs that are not with the core that they wait in vain. s.mu
// is held.
func (s *Server) failUnoffered() {
	for _, e := range s.book.Jobs(-1) {
		if j := e.Payload.(*job); j.unoffered() {
			s.fail(j, ending)
			s.rest(j)
		}
	}
}
