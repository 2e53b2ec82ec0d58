package gearman

import (
	"time"

	"tinroute.example/tinroute/balance"
)

// maxAbandonedJobs limits the abandoned jobs that are remembered. Beyond it the oldest are forgotten.
const maxAbandonedJobs = 10_000

// jobKey identifies the submissions that share a job.
type jobKey struct{ function, unique string }

// abandonedJobs remembers foreground jobs whose clients left before the end. Their attempts are cancelled, but may have run,
// or may still run, as the protocol has no packet that stops a job. A later submission with the same function and unique
// ID is therefore restricted as a retry of the same job. It has no clock, and is not safe for concurrent use.
type abandonedJobs struct {
	byKey map[jobKey]abandonedJob
	order []abandonedJob // from the oldest to the latest; some may have been replaced in byKey
}

type abandonedJob struct {
	key     jobKey
	sends   *sendLog
	expires time.Duration
}

// add remembers the sends of a job until a time.
func (a *abandonedJobs) add(now time.Duration, key jobKey, sends *sendLog, expires time.Duration) {
	if a.byKey == nil {
		a.byKey = map[jobKey]abandonedJob{}
	}
	entry := abandonedJob{key, sends, expires}
	a.byKey[entry.key] = entry
	a.order = append(a.order, entry)
	for len(a.order) > 0 && (a.order[0].expires <= now || len(a.order) > maxAbandonedJobs) {
		if oldest := a.order[0]; a.byKey[oldest.key] == oldest {
			delete(a.byKey, oldest.key)
		}
		a.order[0] = abandonedJob{}
		a.order = a.order[1:]
	}
}

// find returns the sends of the job that was abandoned last under a key, or nil if there is none or its time is over.
func (a *abandonedJobs) find(now time.Duration, key jobKey) *sendLog {
	if entry, ok := a.byKey[key]; ok && now < entry.expires {
		return entry.sends
	}
	return nil
}

// abandon remembers a job whose last client has left, if a repeat of it could do harm. s.mu must be held.
func (s *Server) abandon(j *job) {
	class := s.classes[j.function]
	if j.unique == "" || class.Idempotency == balance.Idempotent {
		return
	}
	now := s.opts.Now()
	expires := now + s.config.Functions[j.function].Deadline // no attempt of it is waited for any longer
	if class.Idempotency == balance.Deduplicated {
		expires = now + class.DedupWindow // nothing restricts a repeat that comes later
	}
	s.abandoned.add(now, jobKey{j.function, j.unique}, j.sends, expires)
}

// inheritSends makes a new job continue the record of sends of its abandoned predecessor, if there is one. s.mu must be
// held.
func (s *Server) inheritSends(j *job) {
	now := s.opts.Now()
	sends := s.abandoned.find(now, jobKey{j.function, j.unique})
	if sends == nil {
		return
	}
	first, class := sends.snapshot().FirstSend, s.classes[j.function]
	if first != nil && class.Idempotency == balance.Deduplicated && now >= first.At+class.DedupWindow {
		return // nothing restricts it any longer
	}
	j.sends = sends
}

// priorAttempt returns the first recorded send that may have run, for a request that is about to be submitted; nil if
// there is none.
func (l *sendLog) priorAttempt(now time.Duration) *balance.PriorAttempt {
	first := l.snapshot().FirstSend
	if first == nil {
		return nil
	}
	return &balance.PriorAttempt{Zone: first.Zone, Cell: first.Cell, Age: now - first.At}
}
