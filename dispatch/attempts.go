package dispatch

import (
	"tinroute.example/tinroute/balance"
)

// AttemptStarted records that the worker has begun an attempt.
func (c *Core) AttemptStarted(attempt *Attempt) { c.recordProgress(attempt, balance.EventStarted, 0) }

// AttemptProgress records the fraction of an attempt that the worker has completed.
func (c *Core) AttemptProgress(attempt *Attempt, fraction float64) {
	c.recordProgress(attempt, balance.EventProgress, fraction)
}

// recordProgress passes a start or progress report to the client, the observers and the balancer.
func (c *Core) recordProgress(attempt *Attempt, kind balance.EventKind, fraction float64) {
	c.post(func() {
		if attempt.done {
			return
		}
		if receiver, ok := attempt.Request.Client.(ProgressReceiver); ok && !attempt.Request.finished {
			receiver.Progress(fraction)
		}
		if !attempt.started {
			attempt.started = true
			for _, observer := range c.phaseObservers {
				observer.AttemptStarted(attempt)
			}
		}
		c.balancer.AttemptEvent(c.now, attempt.Request.jobID, attempt.Index, kind, fraction)
	})
}

// AttemptEnded reports the outcome of an attempt, which the driver must no longer use. Only the first
// outcome of an attempt counts; a later one only settles a cancelled attempt.
func (c *Core) AttemptEnded(attempt *Attempt, status balance.Status, result []byte) {
	attempt.RecordEvent(Reported)
	c.post(func() {
		if !attempt.settled {
			attempt.settled = true
			if attempt.cancelRequested {
				if attempt.Request.unsettledCancels[attempt.Worker.ID]--; attempt.Request.unsettledCancels[attempt.Worker.ID] <= 0 {
					delete(attempt.Request.unsettledCancels, attempt.Worker.ID)
				}
				c.removeFinished(attempt.Request)
			}
		}
		c.finishAttempt(attempt, status, result)
	})
}

// finishAttempt ends an attempt with its first outcome and informs the balancer.
func (c *Core) finishAttempt(attempt *Attempt, status balance.Status, result []byte) {
	if attempt.done { // late or duplicate: each attempt has exactly one outcome
		return
	}
	attempt.done = true
	attempt.unreachable = status == balance.StatusUnreachable
	if !status.NeverRan() {
		attempt.Request.mayHaveRun = true
	}
	c.stopTimer(attempt.timeoutTimer)
	request := attempt.Request
	request.attemptsInFlight--
	c.attemptsInFlight--
	if !attempt.notSent {
		c.notifyObservers(func(o Observer) { o.AttemptEnded(attempt, status, c.now-attempt.sentAt) })
	}
	switch status {
	case balance.StatusOK:
		c.answer(request, Answer{Verdict: Served, Result: result})
	case balance.StatusInvalid:
		c.answer(request, Answer{Verdict: Failed, InvalidRequest: true, Reason: "a worker turned the request itself away"})
	}
	c.balancer.AttemptDone(c.now, balance.AttemptResult{Job: request.jobID, Attempt: attempt.Index,
		Worker: attempt.Worker.ID, Status: status, Elapsed: c.now - attempt.sentAt, JobDone: request.finished, Report: balance.NoLoadReport()})
	c.removeFinished(request)
}

// cancelAttempt asks the driver to cancel an attempt. Until the cancellation is settled, no later attempt
// at the request is sent to the same worker.
func (c *Core) cancelAttempt(attempt *Attempt) {
	if attempt.cancelRequested || attempt.settled {
		return
	}
	attempt.cancelRequested = true
	if attempt.Request.unsettledCancels == nil {
		attempt.Request.unsettledCancels = map[balance.WorkerID]int{}
	}
	attempt.Request.unsettledCancels[attempt.Worker.ID]++
	c.notifyObservers(func(o Observer) { o.AttemptCancelled(attempt) })
	c.driver.Cancel(attempt)
}
