package dispatch

import (
	"slices"
	"time"

	"tinroute.example/tinroute/balance"
)

// host implements balance.Host: it executes the decisions of the balancer. It is separate from Core
// to keep these methods out of Core's exported API.
type host struct{ *Core }

func (h host) Send(job balance.JobID, workerID balance.WorkerID, timeout time.Duration) {
	request := h.requestsByJob[job]
	if request == nil {
		return
	}
	attempt := &Attempt{Request: request, Index: len(request.attempts), sentAt: h.now, Timeout: request.deadline - h.now,
		createdAt: time.Now(), counts: h.counts.forClass(request.Class)}
	if timeout > 0 {
		attempt.Timeout = min(attempt.Timeout, timeout)
	}
	attempt.SameWorker = slices.ContainsFunc(request.attempts, func(other *Attempt) bool {
		return other.Worker.ID == workerID && !other.notSent
	})
	request.attempts = append(request.attempts, attempt)
	request.attemptsInFlight++
	h.attemptsInFlight++
	worker, known := h.members[workerID]
	attempt.Worker = worker
	attempt.Worker.ID = workerID
	// A worker must not hold two attempts at one request at a time, so nothing is sent while an
	// earlier one is unsettled. A detached worker gets nothing, even if the balancer chooses it.
	if !known || request.finished || attempt.Timeout <= 0 || request.attemptsExhausted(h.settings.MaxAttempts) ||
		request.unsettledCancels[workerID] > 0 || h.detached[worker.Name] {
		attempt.settled, attempt.notSent = true, true
		h.deferred = append(h.deferred, func() { h.finishAttempt(attempt, balance.StatusNotSent, nil) })
		return
	}
	attempt.timeoutTimer = h.schedule(attempt.Timeout, func() {
		if !attempt.done {
			h.cancelAttempt(attempt)
			h.finishAttempt(attempt, balance.StatusTimeout, nil)
		}
	})
	h.notifyObservers(func(o Observer) { o.AttemptSent(attempt) })
	h.driver.Start(attempt)
}

func (h host) Cancel(job balance.JobID, index int) {
	request := h.requestsByJob[job]
	if request == nil || index < 0 || index >= len(request.attempts) || request.attempts[index].done {
		return
	}
	attempt := request.attempts[index]
	h.cancelAttempt(attempt)
	h.stopTimer(attempt.timeoutTimer)
	attempt.timeoutTimer = h.schedule(cancelConnectTimeouts*h.settings.ConnectTimeout, func() {
		h.finishAttempt(attempt, balance.StatusCancelled, nil)
	})
}

func (h host) Refuse(job balance.JobID, retryAfter time.Duration) {
	if request := h.requestsByJob[job]; request != nil {
		h.answer(request, Answer{Verdict: Refused, RetryAfter: retryAfter, Reason: "no worker can serve it in time"})
	}
}

func (h host) Fail(job balance.JobID) {
	if request := h.requestsByJob[job]; request != nil {
		h.answer(request, Answer{Verdict: Failed, TimedOut: h.now >= request.deadline-answerGrace,
			Reason: "not served, and it may have run"})
	}
}

func (h host) SetTimer(after time.Duration, token uint64) {
	h.schedule(after, func() { h.balancer.TimerFired(h.now, token) })
}

func (h host) Watch() { h.discovery.Watch() }
func (h host) Fetch() { h.discovery.Fetch() }

// SendToPeer and Probe are for deployments in which dispatchers exchange messages or probe workers. The
// protocol servers support neither, and the configuration disables both.
func (h host) SendToPeer(to int, data []byte) {
	h.log.Debug("message to a peer dropped: the dispatcher has no channel to its peers", "to", to, "bytes", len(data))
}

func (h host) Probe(w balance.WorkerID) {
	h.deferred = append(h.deferred, func() {
		h.balancer.ProbeDone(h.now, w, balance.StatusNotSent, 0, balance.NoLoadReport())
	})
}

func (h host) Log(text string) { h.log.Info("policy message", "says", text) }
