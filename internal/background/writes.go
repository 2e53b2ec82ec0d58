package background

import (
	"errors"

	"tinroute.example/tinroute/internal/jobstore"
)

// writeWithRetry makes a change to the store. A change that fails is retried, unless the job is no
// longer stored or the store is closed. The job stays active until then, so that it is not offered
// again on the basis of its old record.
func (s *Scheduler) writeWithRetry(id uint64, change func(done func(error))) {
	change(func(err error) {
		s.mu.Lock()
		if err != nil && !errors.Is(err, jobstore.ErrNotFound) && !errors.Is(err, jobstore.ErrClosed) {
			s.failedWrites = append(s.failedWrites, func() { s.writeWithRetry(id, change) })
		} else {
			delete(s.active, id)
		}
		s.mu.Unlock()
		s.wakeUp()
	})
}

// retryFailedWrites retries the changes that the store failed to write.
func (s *Scheduler) retryFailedWrites() {
	s.mu.Lock()
	failed := s.failedWrites
	s.failedWrites = nil
	s.mu.Unlock()
	for _, write := range failed {
		write()
	}
}

// writeAndWait makes a change to the store and waits until it is on disk or has failed.
func writeAndWait(change func(done func(error))) error {
	done := make(chan error, 1)
	change(func(err error) { done <- err })
	return <-done
}
