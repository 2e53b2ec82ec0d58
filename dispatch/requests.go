package dispatch

import (
	"time"

	"tinroute.example/tinroute/balance"
)

// Submit hands over a request. From then on its Client is owed one answer, unless
// Leave comes first. What a hook refuses, and what comes while too many are open, is
// answered here and sent nowhere.
func (c *Core) Submit(request *Request) {
	request.SubmittedAt = time.Now()
	if len(c.phases) > 0 {
		request.Delivery = &Delivery{}
	}
	if c.hook != nil {
		a := c.hook.OnRequest(request)
		request.HookDuration = time.Since(request.SubmittedAt)
		if a != nil {
			c.tell(request, *a)
			return
		}
	}
	if int(c.open.Add(1)) > c.settings.MaxOpenJobs && c.settings.MaxOpenJobs > 0 {
		c.open.Add(-1)
		c.limitedLog.Report("refused", nil, "too many open", "id", request.ID, "open", c.settings.MaxOpenJobs)
		c.tell(request, Answer{Verdict: Refused, RetryAfter: min(busyBack, c.settings.MaxRetryAfter),
			Reason: "too many open requests"})
		return
	}
	c.post(func() { c.begin(request) })
}

func (c *Core) begin(request *Request) {
	if request.over { // it was given up by another goroutine than the one that submits it
		c.open.Add(-1)
		return
	}
	// Workers and their call-backs know a request by its id alone: a second one of an id that
	// is open would take the first one's outcome, or have it cancelled.
	if c.ids[request.ID] != nil {
		c.limitedLog.Report("id in use", nil, "id", "id", request.ID)
		request.over = true
		c.open.Add(-1)
		c.tell(request, Answer{Verdict: Failed, InvalidRequest: true, Reason: "a request of this id is open"})
		return
	}
	patience := request.Timeout
	if c.virtual == nil { // the client's patience runs from when it asked, also while the core was busy
		patience -= time.Since(request.SubmittedAt)
	}
	limit := patience + overdue
	if c.ends > 0 {
		left := c.ends - c.now
		if left <= 0 {
			request.over = true
			c.open.Add(-1)
			c.tell(request, Answer{Verdict: Refused, RetryAfter: min(elsewhere, c.settings.MaxRetryAfter),
				Reason: "this dispatcher ends before the job could"})
			return
		}
		limit = min(limit, left)
	}
	c.ids[request.ID] = request
	c.nextJob++
	request.job, request.end = c.nextJob, c.now+patience
	c.jobs[request.job] = request
	c.observe(func(o Observer) { o.RequestStarted(request) })
	request.guard = c.after(limit, func() {
		if !request.over {
			if c.now >= request.end {
				c.log.Error("answer overdue", "id", request.ID)
			}
			c.answer(request, Answer{Verdict: Failed, TimedOut: true, Reason: "deadline"})
			c.balancer.ClientGone(c.now, request.job)
		}
	})
	c.balancer.SubmitJob(c.now, balance.Job{ID: request.job, Class: request.Class, Tenant: request.Tenant, Key: request.Key,
		ClientTimeout: patience, ExpectedWork: request.WorkHint, Slots: request.Slots, Memory: request.Memory, PriorAttempt: request.PriorAttempt})
}

// Drain tells that the process may be ended in so long. What comes once free has passed is
// answered before that, and refused unsent if it would take longer: what is taken and not
// answered is lost. What came before keeps its time, as far as the process is given it.
func (c *Core) Drain(free, within time.Duration) {
	c.post(func() {
		ends := c.now + within
		c.after(free, func() { c.ends = ends })
	})
}

// CancelRequest takes word that the client is gone: no answer is owed any more.
func (c *Core) CancelRequest(request *Request) {
	c.post(func() {
		if request.job == 0 {
			request.over = true
		}
		if !request.over {
			c.close(request)
			c.observe(func(o Observer) { o.RequestCancelled(request) })
			c.balancer.ClientGone(c.now, request.job)
			c.forget(request)
		}
	})
}

// AnswerWritten takes a front's word that an answer's last byte is written, or could not be. It is
// for observers alone.
func (c *Core) AnswerWritten(request *Request, whole bool) {
	if request.Delivery != nil {
		request.Delivery.Record(whole)
	}
}

// answer gives the final answer, once.
func (c *Core) answer(request *Request, a Answer) {
	if request.over {
		return
	}
	c.close(request)
	c.observe(func(o Observer) { o.RequestAnswered(request, a) })
	c.tell(request, a)
	c.forget(request)
}

// tell gives a final answer to the terminal and counts it: every final answer goes this way,
// also those that are given before the core has the request.
func (c *Core) tell(request *Request, a Answer) {
	c.counts.answered(request.Class, a.Verdict)
	request.Client.Answer(a)
}

func (c *Core) close(request *Request) {
	request.over = true
	c.stop(request.guard)
	c.open.Add(-1)
}

// forget drops a request that is over and has no attempt out. Its id stays taken
// while a worker may still have an attempt of it, but not for longer than its client had patience:
// a worker that is gone never settles a cancel.
func (c *Core) forget(request *Request) {
	if !request.over || request.out > 0 {
		return
	}
	delete(c.jobs, request.job)
	switch {
	case len(request.unsettled) == 0:
		c.release(request)
	case request.guard.index < 0:
		request.guard = c.after(max(0, request.end-c.now), func() { c.release(request) })
	}
}

func (c *Core) release(request *Request) {
	if c.ids[request.ID] == request {
		delete(c.ids, request.ID)
		c.stop(request.guard)
	}
}
