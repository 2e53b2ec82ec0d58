package gearman

import (
	"context"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
)

// submitBackground accepts a background job. JOB_CREATED is sent once the job is on disk.
func (c *client) submitBackground(j *job, due time.Time) {
	reserved := len(j.data) + messageOverheadBytes
	reply := func(handle string) func(error) {
		return func(err error) {
			if err != nil {
				c.rejectJob(rejectionCode(err), err)
			} else {
				c.send(Response(JobCreated, handle))
			}
			c.storing.Release(int64(reserved))
			c.outbox.release(reserved)
			c.AddInFlight(-1)
		}
	}
	_ = c.storing.Acquire(context.Background(), int64(reserved)) // fails only if its context ends
	c.outbox.reserve(reserved)
	c.AddInFlight(1) // a drain keeps the connection open until the submission is answered
	if stored := c.findStored(j); stored != nil {
		reply(stored.Job.Handle)(nil)
		return
	}
	c.mu.Lock()
	if entry := c.index.ByKey(j.function, j.unique); entry != nil {
		existing := entry.Payload.(*job)
		switch {
		case existing.storeCallbacks != nil: // still being written: this submission gets the result of that write
			existing.storeCallbacks = append(existing.storeCallbacks, reply(entry.Handle))
			c.mu.Unlock()
		case entry.Background:
			c.mu.Unlock()
			reply(entry.Handle)(nil)
		default: // an open foreground job: store it, so that it continues without its client
			c.storeJob(existing, due, reply(entry.Handle))
		}
		return
	}
	err := c.index.CheckOpen(j.function, len(j.data), c.storedCount(j.function))
	if err == nil {
		err = c.scheduler().Admit(len(j.data))
	}
	if err != nil {
		c.mu.Unlock()
		reply("")(err)
		return
	}
	c.inheritSends(j)
	j.handle = c.newHandle()
	j.entry = c.index.Open(j.handle, j.function, j.unique, len(j.data), false)
	j.entry.Payload = j
	c.storeJob(j, due, reply(j.handle))
}

// storeJob writes a job to the job store. It must be called with s.mu held and unlocks it, since
// it may block on the store's queue.
func (s *Server) storeJob(j *job, due time.Time, reply func(error)) {
	s.index.SetBackground(j.entry, true)
	j.storeCallbacks = []func(error){reply}
	offered := j.request != nil
	id := s.scheduler().NextID()
	state := j.storeState(id)
	s.mu.Unlock()
	now := s.scheduler().Now()
	record := &jobstore.Job{ID: id, Handle: j.handle, Function: j.function, UniqueID: j.unique, Data: []byte(j.data), AcceptedAt: now}
	if state.Due = now; !due.IsZero() && !offered {
		record.DueSetByClient, state.DueSetByClient, state.Due = true, true, time.Duration(due.UnixNano())
	}
	s.scheduler().Accept(record, state, offered, func(err error) { s.jobStored(j, err) })
}

// jobStored handles the result of writing a job to the store.
func (s *Server) jobStored(j *job, err error) {
	s.mu.Lock()
	replies := j.storeCallbacks
	j.storeCallbacks = nil
	var request *dispatch.Request
	switch {
	case err == nil:
	case j.entry.WaitingSubmissions == 0: // only the submitters know of it: drop it
		s.index.Close(j.entry)
		request, j.request = j.request, nil
	case j.request == nil && s.repeatCouldHarm(j): // without the store, another request of it could go to any worker
		s.failWaiters(j, reasonMayHaveRun)
		s.index.Close(j.entry)
	default: // clients wait for it: it becomes a foreground job again
		s.index.SetBackground(j.entry, false)
		j.mu.Lock()
		j.storeID = 0
		j.mu.Unlock()
	}
	resubmit := err != nil && j.entry.WaitingSubmissions > 0 && j.request == nil
	if resubmit {
		request = s.newRequest(j, s.config.Functions[j.function])
	}
	promote := err == nil && j.entry.WaitingSubmissions > 0 && j.awaitsOffer()
	s.closeIfIdle(j)
	s.mu.Unlock()
	for _, reply := range replies {
		reply(err)
	}
	switch {
	case resubmit:
		s.core.Submit(request)
	case request != nil:
		s.core.CancelRequest(request)
	case promote:
		s.promote(j)
	}
}

// reasonMayHaveRun is the reason sent to clients that wait for a job which may have run and cannot be stored.
const reasonMayHaveRun = "it may have run, and it could not be stored"

// repeatCouldHarm reports whether a job that is not stored may have run and its class is not idempotent.
func (s *Server) repeatCouldHarm(j *job) bool {
	return j.sends.snapshot().FirstSend != nil && s.classes[j.function].Idempotency != balance.Idempotent
}

// closeIfIdle removes a stored job from the index while no client waits for it and it is not
// offered, so that a million stored jobs are not held in memory. s.mu must be held.
func (s *Server) closeIfIdle(j *job) {
	if j.entry.Background && j.request == nil && j.storeCallbacks == nil && j.entry.WaitingSubmissions == 0 {
		s.index.Close(j.entry)
	}
}
