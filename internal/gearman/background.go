package gearman

import (
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
)

// submitBackground takes a job that no one waits for. JOB_CREATED is written once it is on disk.
func (c *client) submitBackground(j *job, due time.Time) {
	reply := func(handle string) func(error) {
		return func(err error) {
			if err != nil {
				c.turnAway(code(err), err)
			} else {
				c.send(Response(JobCreated, handle))
			}
			c.AddInFlight(-1)
		}
	}
	c.AddInFlight(1) // a drain leaves the connection open until this is answered
	if o := c.stored(j); o != nil {
		reply(o.Job.Handle)(nil)
		return
	}
	c.mu.Lock()
	if e := c.book.ByKey(j.function, j.unique); e != nil {
		o := e.Payload.(*job)
		switch {
		case o.put != nil: // on its way to the disk: they share its fate
			o.put = append(o.put, reply(e.Handle))
			c.mu.Unlock()
		case e.Background:
			c.mu.Unlock()
			reply(e.Handle)(nil)
		default: // a client waits for it; from now on it goes on without one
			c.store(o, due, reply(e.Handle))
		}
		return
	}
	err := c.book.CheckOpen(j.function, len(j.data), c.waiting(j.function))
	if err == nil {
		err = c.keeper.Admit(len(j.data))
	}
	if err != nil {
		c.mu.Unlock()
		reply("")(err)
		return
	}
	j.handle = c.newHandle()
	j.entry = c.book.Open(j.handle, j.function, j.unique, len(j.data), false)
	j.entry.Payload = j
	c.store(j, due, reply(j.handle))
}

// store puts a job on disk. It is called with s.mu held and gives it up: the store's queue may
// have to be waited for.
func (s *Server) store(j *job, due time.Time, reply func(error)) {
	s.book.SetBackground(j.entry, true)
	j.put = []func(error){reply}
	offered := j.request != nil
	id := s.keeper.NextID()
	st := j.state(id)
	s.mu.Unlock()
	now := s.keeper.Now()
	rec := &jobstore.Job{ID: id, Handle: j.handle, Function: j.function, Unique: j.unique, Data: []byte(j.data), Accepted: now}
	if st.Due = now; !due.IsZero() && !offered {
		rec.Timed, st.Timed, st.Due = true, true, time.Duration(due.UnixNano())
	}
	s.keeper.Accept(rec, st, offered, func(err error) { s.put(j, err) })
}

// put takes word that a job is on disk, or could not be brought there.
func (s *Server) put(j *job, err error) {
	s.mu.Lock()
	replies := j.put
	j.put = nil
	var request *dispatch.Request
	switch {
	case err == nil:
	case j.entry.WaitingSubmissions == 0: // no one but the submitters knew of it
		s.book.Close(j.entry)
		request, j.request = j.request, nil
	default: // clients wait for it: it is theirs alone again
		s.book.SetBackground(j.entry, false)
		j.mu.Lock()
		j.id = 0
		j.mu.Unlock()
	}
	resubmit := err != nil && j.entry.WaitingSubmissions > 0 && j.request == nil
	if resubmit {
		request = s.request(j, s.file.Functions[j.function])
	}
	promote := err == nil && j.entry.WaitingSubmissions > 0 && j.unoffered()
	s.rest(j)
	s.mu.Unlock()
	for _, r := range replies {
		r(err)
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

// rest closes the book on a stored job that nobody waits for until it is offered: a million of
// them must not be held in memory. s.mu is held.
func (s *Server) rest(j *job) {
	if j.entry.Background && j.request == nil && j.put == nil && j.entry.WaitingSubmissions == 0 {
		s.book.Close(j.entry)
	}
}
