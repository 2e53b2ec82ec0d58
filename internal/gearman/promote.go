package gearman

import (
	"time"
)

// awaitsOffer reports whether a job is on disk and not submitted to the core. s.mu must be held.
func (j *job) awaitsOffer() bool {
	return j.entry.Background && j.request == nil && j.storeCallbacks == nil
}

// promote asks the scheduler to offer a stored job next, since a client now waits for it. If the
// job cannot be offered yet, because its scheduled time has not come or its state is still being
// written, its waiters get WORK_FAIL after the function's deadline; while the server drains they
// get it at once.
func (s *Server) promote(j *job) {
	failIfUnoffered := func(reason string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if j.awaitsOffer() && s.index.ByHandle(j.handle) == j.entry {
			s.failWaiters(j, reason)
			s.closeIfIdle(j)
		}
	}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		failIfUnoffered(reasonDraining)
		return
	}
	s.scheduler().Promote(j.currentStoreID(), j.handle)
	time.AfterFunc(s.config.Functions[j.function].Deadline, func() { failIfUnoffered("its time has not come") })
}

// reasonDraining is the reason sent to clients that wait for a stored job when the process ends.
const reasonDraining = "the dispatcher is ending; the job stays stored"

// failAwaitingOffer sends a failure to all clients that wait for stored jobs which are not
// submitted to the core. s.mu must be held.
func (s *Server) failAwaitingOffer() {
	for _, entry := range s.index.Jobs(-1) {
		if j := entry.Payload.(*job); j.awaitsOffer() {
			s.failWaiters(j, reasonDraining)
			s.closeIfIdle(j)
		}
	}
}
