package dispatch

import (
	"slices"
	"time"

	"tinroute.example/tinroute/balance"
)

// host carries out what the balancer decides. It is apart from Core so that a Core's users
// do not see these methods.
type host struct{ *Core }

func (h host) Send(job balance.JobID, to balance.WorkerID, timeout time.Duration) {
	request := h.jobs[job]
	if request == nil {
		return
	}
	t := &Attempt{Request: request, Index: len(request.attempts), sent: h.now, Timeout: request.end - h.now, sentAt: time.Now(), counted: h.counts.of(request.Class)}
	if timeout > 0 {
		t.Timeout = min(t.Timeout, timeout)
	}
	t.SameWorker = slices.ContainsFunc(request.attempts, func(o *Attempt) bool { return o.Worker.ID == to && !o.unsent })
	request.attempts = append(request.attempts, t)
	request.out++
	h.active++
	worker, known := h.members[to]
	t.Worker = worker
	t.Worker.ID = to
	// A worker receives one attempt of a request at a time: while an earlier one there
	// is not settled, none is sent.
	// One out by hand gets nothing new, whatever the balancer was told: this guards the ban.
	if !known || request.over || t.Timeout <= 0 || request.spent(h.settings.MaxAttempts) || request.unsettled[to] > 0 ||
		h.out[worker.Name] {
		t.settled, t.unsent = true, true
		h.deferred = append(h.deferred, func() { h.ended(t, balance.StatusNotSent, nil) })
		return
	}
	t.limit = h.after(t.Timeout, func() {
		if !t.done {
			h.withdraw(t)
			h.ended(t, balance.StatusTimeout, nil)
		}
	})
	h.observe(func(o Observer) { o.AttemptSent(t) })
	h.workers.Start(t)
}

func (h host) Cancel(job balance.JobID, attempt int) {
	request := h.jobs[job]
	if request == nil || attempt < 0 || attempt >= len(request.attempts) || request.attempts[attempt].done {
		return
	}
	t := request.attempts[attempt]
	h.withdraw(t)
	h.stop(t.limit)
	t.limit = h.after(cancelWaits*h.settings.ConnectTimeout, func() { h.ended(t, balance.StatusCancelled, nil) })
}

func (h host) Refuse(job balance.JobID, backoff time.Duration) {
	if request := h.jobs[job]; request != nil {
		h.answer(request, Answer{Verdict: Refused, RetryAfter: backoff, Reason: "no worker can serve it in time"})
	}
}

func (h host) Fail(job balance.JobID) {
	if request := h.jobs[job]; request != nil {
		h.answer(request, Answer{Verdict: Failed, TimedOut: h.now >= request.end-overdue, Reason: "not served, and it may have run"})
	}
}

func (h host) SetTimer(after time.Duration, token uint64) {
	h.after(after, func() { h.balancer.TimerFired(h.now, token) })
}

func (h host) Watch() { h.table.Watch() }
func (h host) Fetch() { h.table.Fetch() }

// SendToPeer and Probe are for sites that allow messages between dispatchers or probes; the
// fronts have neither, and the configuration turns both off.
func (h host) SendToPeer(to int, data []byte) {
	h.log.Debug("no way to tell", "to", to, "bytes", len(data))
}

func (h host) Probe(w balance.WorkerID) {
	h.deferred = append(h.deferred, func() {
		h.balancer.ProbeDone(h.now, w, balance.StatusNotSent, 0, balance.NoLoadReport())
	})
}

func (h host) Log(text string) { h.log.Info("policy", "says", text) }
