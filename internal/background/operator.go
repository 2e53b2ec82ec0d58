package background

import (
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// Cancel removes a job in any state and blocks until that is on disk. If the job is offered, the
// job server must cancel its request; OfferEnded need not be called for it.
func (s *Scheduler) Cancel(handle string) error {
	stored, err := s.opts.Store.ByHandle(handle)
	if err != nil {
		return err
	}
	id := stored.Job.ID
	s.mu.Lock()
	job := s.active[id]
	if job == nil { // so that it is not read and offered while it is being removed
		job = &activeJob{stored: stored}
		s.active[id] = job
	}
	if job.offered && !job.finished {
		s.pacer.Ended(s.Now(), job.sent, recovery.OutcomeFailed)
	}
	job.finished, job.offered = true, false
	s.mu.Unlock()
	err = writeAndWait(func(done func(error)) { s.opts.Store.Remove(id, done) })
	s.mu.Lock()
	delete(s.active, id)
	s.mu.Unlock()
	s.wakeUp()
	return err
}

// Release makes a dead letter due again with a cleared history. The operator who releases it
// confirms that running it again does no harm. It blocks until the change is on disk.
func (s *Scheduler) Release(handle string) error {
	stored, err := s.opts.Store.ByHandle(handle)
	if err != nil {
		return err
	}
	if stored.State.DeadReason == "" {
		return jobstore.ErrNotFound
	}
	now := s.Now()
	err = writeAndWait(func(done func(error)) {
		s.opts.Store.UpdateState(stored.Job.ID, func(state *jobstore.State) {
			*state = jobstore.State{ID: state.ID, Revision: state.Revision, Due: now, ReleasedAt: now}
		}, done)
	})
	s.wakeUp()
	return err
}

// ReleaseAll releases every dead letter and returns how many were released.
func (s *Scheduler) ReleaseAll() (n int, err error) {
	for {
		var handles []string
		if err := s.opts.Store.List(true, pageSize, func(stored *jobstore.StoredJob) { handles = append(handles, stored.Job.Handle) }); err != nil {
			return n, err
		}
		if len(handles) == 0 {
			return n, nil
		}
		for _, h := range handles {
			if err := s.Release(h); err != nil {
				return n, err
			}
			n++
		}
	}
}
