package dispatch

import (
	"tinroute.example/tinroute/balance"
)

// AttemptStarted takes a worker's word that it has begun with an attempt.
func (c *Core) AttemptStarted(t *Attempt) { c.note(t, balance.EventStarted, 0) }

// AttemptProgress takes a worker's word on how much of an attempt it has done.
func (c *Core) AttemptProgress(t *Attempt, share float64) { c.note(t, balance.EventProgress, share) }

func (c *Core) note(t *Attempt, kind balance.EventKind, share float64) {
	c.post(func() {
		if t.done {
			return
		}
		if f, ok := t.Request.Client.(ProgressReceiver); ok && !t.Request.over {
			f.Progress(share)
		}
		if !t.started {
			t.started = true
			for _, p := range c.phases {
				p.AttemptStarted(t)
			}
		}
		c.balancer.AttemptEvent(c.now, t.Request.job, t.Index, kind, share)
	})
}

// AttemptEnded takes the outcome of an attempt from its driver, which then holds nothing of
// it any more. Only the first outcome counts; a later one just settles a cancelled attempt.
func (c *Core) AttemptEnded(t *Attempt, s balance.Status, result []byte) {
	t.RecordEvent(Reported)
	c.post(func() {
		if !t.settled {
			t.settled = true
			if t.withdrawn {
				if t.Request.unsettled[t.Worker.ID]--; t.Request.unsettled[t.Worker.ID] <= 0 {
					delete(t.Request.unsettled, t.Worker.ID)
				}
				c.forget(t.Request)
			}
		}
		c.ended(t, s, result)
	})
}

func (c *Core) ended(t *Attempt, s balance.Status, result []byte) {
	if t.done { // late or repeated: exactly one outcome for each send
		return
	}
	t.done = true
	t.unreached = s == balance.StatusUnreachable
	c.stop(t.limit)
	request := t.Request
	request.out--
	c.active--
	if !t.unsent {
		c.observe(func(o Observer) { o.AttemptEnded(t, s, c.now-t.sent) })
	}
	switch s {
	case balance.StatusOK:
		c.answer(request, Answer{Verdict: Served, Result: result})
	case balance.StatusInvalid:
		c.answer(request, Answer{Verdict: Failed, InvalidRequest: true, Reason: "a worker turned the request itself away"})
	}
	c.balancer.AttemptDone(c.now, balance.AttemptResult{Job: request.job, Attempt: t.Index, Worker: t.Worker.ID, Status: s,
		Elapsed: c.now - t.sent, JobDone: request.over, Report: balance.NoLoadReport()})
	c.forget(request)
}

// withdraw asks the driver to give an attempt up and keeps later attempts of the request from
// that worker until it has.
func (c *Core) withdraw(t *Attempt) {
	if t.withdrawn || t.settled {
		return
	}
	t.withdrawn = true
	if t.Request.unsettled == nil {
		t.Request.unsettled = map[balance.WorkerID]int{}
	}
	t.Request.unsettled[t.Worker.ID]++
	c.observe(func(o Observer) { o.AttemptCancelled(t) })
	c.workers.Cancel(t)
}
