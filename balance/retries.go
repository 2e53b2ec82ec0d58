package balance

// This file holds the rules on further attempts and on the final answers to unserved jobs.

// retryOrAnswer queues a job for a retry or answers it, after its last attempt in flight has failed.
func (b *Balancer) retryOrAnswer(j *job) {
	// A job that has never run cannot repeat work, so its retry needs no budget.
	needsBudget := j.firstThatRan() != nil && !j.repeatAdmitted && b.budget != nil
	if j.streaming || !b.canSend(j) || needsBudget && !b.budget.AllowRepeat() {
		b.answerUnserved(j)
		return
	}
	j.repeatAdmitted = false
	b.enqueue(j)
}

// canSend reports whether another attempt of the job is allowed at any worker.
func (b *Balancer) canSend(j *job) bool {
	if j.attemptsExhausted(b.settings.MaxAttempts) || b.now >= j.expiresAt-answerMargin {
		return false
	}
	first := j.firstThatRan()
	if first == nil {
		return true
	}
	switch j.class.Idempotency {
	case NonIdempotent: // the attempt may have had its effect, and a retry could repeat it
		return false
	case Deduplicated: // a repeat must arrive within the window, even if the connection takes long
		return b.now < first.sentAt+j.class.DedupWindow-answerMargin-b.settings.ConnectTimeout
	}
	return true
}

// answerUnserved gives the final answer to a job that is not served. It refuses the job only if a repeat
// is harmless, since a refusal invites the client to retry, and fails it otherwise.
func (b *Balancer) answerUnserved(j *job) {
	if j.finished {
		return
	}
	neverRan := j.inFlight == 0 && j.firstThatRan() == nil // no attempt had an effect or still can
	if neverRan || j.repeatableAnywhere() {
		b.host.Refuse(j.ID, min(max(b.retryAfter, minRetryAfter), b.settings.MaxRetryAfter))
	} else {
		b.host.Fail(j.ID)
	}
	b.finishJob(j)
}

// eligible reports whether the rules and the needs of a job allow an attempt at a worker. Balancer.send
// checks it too, so no send can bypass it.
func (b *Balancer) eligible(j *job, w *worker) bool {
	if j.finished || w.State != Serving { // a drain takes effect with the first update that reports it
		return false
	}
	if !b.canSend(j) || j.class.WorkerKind >= 0 && j.class.WorkerKind != w.Kind {
		return false
	}
	first := j.prior
	for _, a := range j.attempts {
		if !a.done && (j.class.Idempotency != Idempotent || !b.settings.AllowCopies || a.worker == w) {
			return false // a copy could repeat the effect
		}
		if first == nil && (a.mayHaveRun || !a.done) {
			first = a
		}
	}
	if first != nil && j.class.Idempotency == Deduplicated {
		// Only workers in the scope of the first attempt recognize a repeat.
		scope := j.class.DedupScope
		if scope == ScopeZone && first.worker.Zone != w.Zone ||
			scope == ScopeCell && first.worker.Cell != w.Cell {
			return false
		}
	}
	return b.coldBudgetAllows(j, w)
}
