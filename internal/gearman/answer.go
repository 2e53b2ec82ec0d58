package gearman

import (
	"fmt"
	"sync"

	"tinroute.example/tinroute/dispatch"
)

// submission is the job's side of one of its requests.
type submission struct {
	*job
	request *dispatch.Request
}

// Answer gives the one final answer to all who wait. A background job that was not served goes
// on without them, as recovery decides.
func (t *submission) Answer(a dispatch.Answer) {
	s, j := t.server, t.job
	s.mu.Lock()
	if j.request != t.request { // it was given up
		s.mu.Unlock()
		return
	}
	j.request = nil
	var once sync.Once
	d := delivery{final: true, told: func(whole bool) { once.Do(func() { s.core.AnswerWritten(t.request, whole) }) }}
	d.plain, d.full = j.answer(a)
	background := j.entry.Background
	if background && a.Verdict != dispatch.Served {
		d.to = s.book.DetachWaiters(j.entry)
		s.book.SetQueued(j.entry)
		s.rest(j)
	} else {
		d.to = s.book.Close(j.entry)
	}
	if len(d.to) == 0 { // no one is written to, and observers wait for no one
		d.told(true)
	}
	s.deliver(d)
	s.mu.Unlock()
	if background {
		s.keeper.OfferEnded(j.number(), ends(a), a.RetryAfter)
	}
}

// answer words a final answer, without and with the option exceptions. A client with it is told
// the reason by WORK_EXCEPTION, and by WORK_FAIL that this was all, as gearmand does.
func (j *job) answer(a dispatch.Answer) (plain, full []byte) {
	if a.Verdict == dispatch.Served {
		err := eachPart(a.Result, func(t Type, data []byte) { plain = append(plain, Response(t, j.handle, string(data))...) })
		if err == nil {
			return plain, plain
		}
		j.server.log.Error("result cut short", "handle", j.handle, "err", err)
	}
	plain = Response(WorkFail, j.handle)
	reason := ""
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case a.Verdict == dispatch.Refused:
		if reason = "refused: " + a.Reason; a.RetryAfter > 0 {
			reason += fmt.Sprintf("; retry after %.3f s", a.RetryAfter.Seconds())
		}
	case j.exception != nil:
		reason = string(j.exception)
	default:
		return plain, plain
	}
	return plain, append(Response(WorkException, j.handle, reason), plain...)
}

// Progress passes a worker's progress on.
func (t *submission) Progress(share float64) {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.job.request != t.request || !s.book.SetProgress(t.entry, share) {
		return
	}
	d := delivery{to: map[*client]int{}}
	d.plain = Response(WorkStatus, t.handle, percent(share), "100")
	d.full = d.plain
	t.entry.EachWaiter(func(c *client) {
		if len(c.out) < cap(c.out)/4 { // none that the client is too slow to read
			d.to[c]++
		}
	})
	s.deliver(d)
}
