package background

import (
	"context"
	"time"
)

// Run offers jobs until the context ends, then records the offers that have ended.
func (s *Scheduler) Run(ctx context.Context) {
	defer close(s.stopped)
	go func() {
		if n, err := s.opts.Store.Verify(ctx); err == nil && n > 0 {
			s.opts.Log.Info("verified the stored jobs", "jobs", n, "damaged", s.opts.Store.Counts().Damaged)
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	writeRetryTicker := time.NewTicker(writeRetryInterval)
	defer writeRetryTicker.Stop()
	for {
		wait := s.runOnce()
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			s.runOnce()
			return
		case <-s.wake:
		case <-timer.C:
		case <-writeRetryTicker.C:
			s.retryFailedWrites()
		}
	}
}

// Wait blocks until Run has returned.
func (s *Scheduler) Wait() { <-s.stopped }

// runOnce processes ended offers and promotions and offers the jobs that are due. It returns how
// long Run may wait before the next call.
func (s *Scheduler) runOnce() (wait time.Duration) {
	s.mu.Lock()
	endedOffers, promotions, draining := s.endedOffers, s.promotions, s.draining
	s.endedOffers, s.promotions = nil, nil
	s.mu.Unlock()
	for _, ended := range endedOffers {
		s.processEnd(ended)
	}
	for _, p := range promotions {
		s.promote(p, draining)
	}
	wait = maxPollInterval
	for !draining {
		s.mu.Lock()
		canOffer, rateDelay := s.pacer.CanOffer(s.Now())
		var job *activeJob
		if canOffer && len(s.ready) > 0 {
			job, s.ready = s.ready[0], s.ready[1:]
		}
		empty := len(s.ready) == 0
		s.mu.Unlock()
		switch {
		case job != nil:
			s.offer(job)
		case !canOffer:
			if rateDelay > 0 {
				wait = min(wait, rateDelay)
			}
			return wait // Run wakes up when an offer ends or is sent, or when the rate allows the next offer
		case empty:
			next, more := s.readDue()
			if !more {
				if next > 0 {
					wait = min(wait, next)
				}
				return wait
			}
		}
	}
	return wait
}

// readDue reads jobs that are due from the store. more is false if there are none; next is then the
// time until the next job is due, or 0.
func (s *Scheduler) readDue() (next time.Duration, more bool) {
	skip := func(id uint64) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.active[id] != nil
	}
	due, next, err := s.opts.Store.Due(s.Now(), time.Duration(s.opts.WallClock().UnixNano()),
		s.planner.MaxBackoff+s.planner.Expiry, pageSize, skip)
	if err != nil { // the store has logged it
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stored := range due {
		job := &activeJob{stored: stored}
		s.active[stored.Job.ID] = job
		s.ready = append(s.ready, job)
	}
	return next, len(due) > 0
}
