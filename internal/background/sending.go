package background

import (
	"context"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/jobstore"
)

// RecordSend writes down that an attempt is about to leave, and waits until that is on disk.
// After an error it must not be sent.
func (k *Scheduler) RecordSend(ctx context.Context, id uint64, s jobstore.Send) error {
	k.mu.Lock()
	f := k.held[id]
	switch {
	case f == nil || f.over:
		k.mu.Unlock()
		return jobstore.ErrUnknown
	case k.draining && !f.sent:
		k.mu.Unlock()
		return ErrDraining
	}
	note(f.job.State, s)
	if !f.sent {
		f.sent = true
		k.pace.Sent()
	}
	k.mu.Unlock()
	written := make(chan error, 1)
	k.o.Store.Change(id, func(st *jobstore.State) { note(st, s) }, func(err error) { written <- err })
	select {
	case err := <-written:
		return err
	case <-ctx.Done(): // it may be written yet: a note of what never left does no harm
		return ctx.Err()
	}
}

func note(st *jobstore.State, s jobstore.Send) {
	st.Sends++
	s.Attempt = st.Sends
	if st.First == nil {
		st.First = &s
	}
	st.Last = &s
}

// RetractSend takes back the note of a task whose outcome proves that it had no effect. There is
// only ever one of these out for a job whose class minds, so it is the latest.
func (k *Scheduler) RetractSend(id uint64) {
	k.mu.Lock()
	f := k.held[id]
	minds := false
	if f != nil && f.job.State.First != nil {
		c := k.front.Class(f.job.Job.Function)
		if minds = c != nil && c.Idempotency != balance.Idempotent; minds {
			unnote(f.job.State)
		}
	}
	k.mu.Unlock()
	if minds {
		k.o.Store.Change(id, unnote, nil)
	}
}

func unnote(st *jobstore.State) {
	if st.First != nil && st.Last != nil && st.First.Attempt == st.Last.Attempt {
		st.First = nil
	}
}
