package dispatch

import (
	"time"

	"tinroute.example/tinroute/balance"
)

// Submit submits a request. Its Client then receives one answer, unless CancelRequest is called
// first. Submit itself refuses requests that the hook refuses or that exceed the limit of open
// requests; they reach no worker.
func (c *Core) Submit(request *Request) {
	request.SubmittedAt = time.Now()
	if len(c.phaseObservers) > 0 {
		request.Delivery = &Delivery{}
	}
	if c.hook != nil {
		refusal := c.hook.OnRequest(request)
		request.HookDuration = time.Since(request.SubmittedAt)
		if refusal != nil {
			c.deliver(request, *refusal)
			return
		}
	}
	if int(c.openCount.Add(1)) > c.settings.MaxOpenJobs && c.settings.MaxOpenJobs > 0 {
		c.openCount.Add(-1)
		c.limitedLog.Report("request refused", nil, "too many open", "id", request.ID, "open", c.settings.MaxOpenJobs)
		c.deliver(request, Answer{Verdict: Refused, RetryAfter: min(overloadRetryAfter, c.settings.MaxRetryAfter),
			Reason: "too many open requests"})
		return
	}
	c.post(func() { c.startRequest(request) })
}

func (c *Core) startRequest(request *Request) {
	if request.finished { // CancelRequest came first, from another goroutine
		c.openCount.Add(-1)
		return
	}
	// Workers and their callbacks identify a request by its ID alone. A second request with the ID
	// of an open one could receive the outcome of the first, or cause its cancellation.
	if c.requestsByID[request.ID] != nil {
		c.limitedLog.Report("request rejected: its ID is in use", nil, "id", "id", request.ID)
		request.finished = true
		c.openCount.Add(-1)
		c.deliver(request, Answer{Verdict: Failed, InvalidRequest: true, Reason: "a request of this id is open"})
		return
	}
	timeLeft := request.Timeout
	if c.virtualClock == nil { // the timeout starts at Submit, and includes the wait for a busy core
		timeLeft -= time.Since(request.SubmittedAt)
	}
	limit := timeLeft + answerGrace
	if c.processEnd > 0 {
		left := c.processEnd - c.now
		if left <= 0 {
			request.finished = true
			c.openCount.Add(-1)
			c.deliver(request, Answer{Verdict: Refused, RetryAfter: min(drainRetryAfter, c.settings.MaxRetryAfter),
				Reason: "this dispatcher ends before the job could"})
			return
		}
		limit = min(limit, left)
	}
	c.requestsByID[request.ID] = request
	c.nextJob++
	request.jobID, request.deadline = c.nextJob, c.now+timeLeft
	c.requestsByJob[request.jobID] = request
	c.notifyObservers(func(o Observer) { o.RequestStarted(request) })
	request.timeoutTimer = c.schedule(limit, func() {
		if !request.finished {
			if c.now >= request.deadline {
				c.log.Error("no answer within the client's timeout; failing the request", "id", request.ID)
			}
			c.answer(request, Answer{Verdict: Failed, TimedOut: true, Reason: "deadline"})
			c.balancer.ClientGone(c.now, request.jobID)
		}
	})
	c.balancer.SubmitJob(c.now, balance.Job{ID: request.jobID, Class: request.Class, Tenant: request.Tenant, Key: request.Key,
		ClientTimeout: timeLeft, ExpectedWork: request.ExpectedWork, Slots: request.Slots, Memory: request.Memory,
		PriorAttempt: request.PriorAttempt})
}

// Drain announces that the process may end after the duration within. Requests that arrive once grace has
// passed are answered before that time, or refused without being sent if no time is left: a request that
// is accepted but not answered would be lost. Earlier requests keep their full timeout unless the process
// ends first.
func (c *Core) Drain(grace, within time.Duration) {
	c.post(func() {
		end := c.now + within
		c.schedule(grace, func() { c.processEnd = end })
	})
}

// CancelRequest ends a request whose client no longer waits for the answer. The client gets none.
func (c *Core) CancelRequest(request *Request) {
	c.post(func() {
		if request.jobID == 0 {
			request.finished = true
		}
		if !request.finished {
			c.finish(request)
			request.abandoned = true
			c.notifyObservers(func(o Observer) { o.RequestCancelled(request) })
			c.balancer.ClientGone(c.now, request.jobID)
			c.removeFinished(request)
		}
	})
}

// AnswerWritten records that the last byte of the answer has been written to the client or, if complete is
// false, that writing failed. Only observers use the record.
func (c *Core) AnswerWritten(request *Request, complete bool) {
	if request.Delivery != nil {
		request.Delivery.Record(complete)
	}
}

// answer ends a request with its final answer, unless the request is over.
func (c *Core) answer(request *Request, a Answer) {
	if request.finished {
		return
	}
	c.finish(request)
	c.notifyObservers(func(o Observer) { o.RequestAnswered(request, a) })
	c.deliver(request, a)
	c.removeFinished(request)
}

// deliver counts a final answer and passes it to the client. Every final answer goes through deliver,
// including those given before the core has accepted the request.
func (c *Core) deliver(request *Request, a Answer) {
	c.counts.add(request.Class, a.Verdict)
	request.Client.Answer(a)
}

// finish marks a request as over, without an answer.
func (c *Core) finish(request *Request) {
	request.finished = true
	c.stopTimer(request.timeoutTimer)
	c.openCount.Add(-1)
}

// removeFinished removes a request that is over and has no attempt in flight. Its ID stays reserved while a
// worker may still hold an attempt, but no longer than the client's timeout, since a worker that is
// gone never settles a cancellation.
func (c *Core) removeFinished(request *Request) {
	if !request.finished || request.attemptsInFlight > 0 {
		return
	}
	delete(c.requestsByJob, request.jobID)
	switch {
	case len(request.unsettledCancels) == 0:
		c.releaseID(request)
		if request.abandoned && request.mayHaveRun {
			c.reserveID(request.ID, request.deadline)
		}
	case request.timeoutTimer.index < 0:
		request.timeoutTimer = c.schedule(max(0, request.deadline-c.now), func() { c.releaseID(request) })
	}
}

// reserveID rejects further requests with an ID until a time. Its client has left, and a worker has run it, at least in
// part: if it came again it would run twice.
func (c *Core) reserveID(id string, until time.Duration) {
	if c.requestsByID[id] != nil || until <= c.now {
		return
	}
	placeholder := &Request{ID: id, finished: true}
	c.requestsByID[id] = placeholder
	placeholder.timeoutTimer = c.schedule(until-c.now, func() { c.releaseID(placeholder) })
}

// releaseID frees the ID of a request.
func (c *Core) releaseID(request *Request) {
	if c.requestsByID[request.ID] == request {
		delete(c.requestsByID, request.ID)
		c.stopTimer(request.timeoutTimer)
	}
}
