package gearman

import (
	"fmt"
	"sync"

	"tinroute.example/tinroute/dispatch"
)

// submission is the dispatch.Client of one request of a job.
type submission struct {
	*job
	request *dispatch.Request
}

// Answer sends the final answer of the request to every waiting client. A background job that
// was not served stays open without waiters; package recovery decides whether it is retried.
func (sub *submission) Answer(answer dispatch.Answer) {
	s, j := sub.server, sub.job
	s.mu.Lock()
	if j.request != sub.request { // the request was cancelled in the meantime
		s.mu.Unlock()
		return
	}
	j.request = nil
	var once sync.Once
	update := jobUpdate{final: true, onWritten: func(complete bool) { once.Do(func() { s.core.AnswerWritten(sub.request, complete) }) }}
	update.basic, update.withExceptions = j.encodeAnswer(answer)
	background := j.entry.Background
	if background && answer.Verdict != dispatch.Served {
		update.recipients = s.index.DetachWaiters(j.entry)
		s.index.SetQueued(j.entry)
		s.closeIfIdle(j)
	} else {
		update.recipients = s.index.Close(j.entry)
	}
	if len(update.recipients) == 0 { // nothing will be written, so the core's observers need not wait for a write
		update.onWritten(true)
	}
	s.deliver(update)
	s.mu.Unlock()
	if background {
		s.scheduler().OfferEnded(j.currentStoreID(), offerOutcome(answer), answer.RetryAfter)
	}
}

// encodeAnswer encodes a final answer for clients without and with the "exceptions" option. A
// client with the option gets the reason as WORK_EXCEPTION, followed by WORK_FAIL as the end of the
// job, as gearmand does.
func (j *job) encodeAnswer(answer dispatch.Answer) (basic, withExceptions []byte) {
	if answer.Verdict == dispatch.Served {
		err := eachResultPart(answer.Result, func(t Type, data []byte) { basic = append(basic, Response(t, j.handle, string(data))...) })
		if err == nil {
			return basic, basic
		}
		j.server.log.Error("truncated job result; answering WORK_FAIL", "handle", j.handle, "err", err)
	}
	basic = Response(WorkFail, j.handle)
	reason := ""
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case answer.Verdict == dispatch.Refused:
		if reason = "refused: " + answer.Reason; answer.RetryAfter > 0 {
			reason += fmt.Sprintf("; retry after %.3f s", answer.RetryAfter.Seconds())
		}
	case j.exception != nil:
		reason = string(j.exception)
	default:
		return basic, basic
	}
	return basic, append(Response(WorkException, j.handle, reason), basic...)
}

// Progress forwards a worker's progress to the waiting clients as WORK_STATUS.
func (sub *submission) Progress(share float64) {
	s := sub.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.job.request != sub.request || !s.index.SetProgress(sub.entry, share) {
		return
	}
	update := jobUpdate{recipients: map[*client]int{}}
	update.basic = Response(WorkStatus, sub.handle, percent(share), "100")
	update.withExceptions = update.basic
	sub.entry.EachWaiter(func(c *client) {
		if c.outbox.backlogBytes() < maxStatusBacklogBytes { // else the client reads too slowly
			update.recipients[c]++
		}
	})
	s.deliver(update)
}
