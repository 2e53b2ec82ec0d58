package background

import (
	"context"
	"errors"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// Run offers jobs until the context ends, then writes down what has ended.
func (k *Scheduler) Run(ctx context.Context) {
	defer close(k.ended)
	go func() {
		if n, err := k.o.Store.Verify(ctx); err == nil && n > 0 {
			k.o.Log.Info("stored jobs read", "jobs", n, "damaged", k.o.Store.Counts().Damaged)
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	unstick := time.NewTicker(unstickEvery)
	defer unstick.Stop()
	for {
		wait := k.turn()
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			k.turn()
			return
		case <-k.wake:
		case <-timer.C:
		case <-unstick.C:
			k.retryStuck()
		}
	}
}

// Wait waits until Run has ended.
func (k *Scheduler) Wait() { <-k.ended }

// turn does what there is to do and tells how long it can wait then.
func (k *Scheduler) turn() (wait time.Duration) {
	k.mu.Lock()
	ends, asked, draining := k.ends, k.asked, k.draining
	k.ends, k.asked = nil, nil
	k.mu.Unlock()
	for _, e := range ends {
		k.settle(e)
	}
	for _, a := range asked {
		k.promote(a, draining)
	}
	wait = look
	for !draining {
		k.mu.Lock()
		may, later := k.pace.CanOffer(k.Now())
		var f *flight
		if may && len(k.ready) > 0 {
			f, k.ready = k.ready[0], k.ready[1:]
		}
		empty := len(k.ready) == 0
		k.mu.Unlock()
		switch {
		case f != nil:
			k.offer(f)
		case !may:
			if later > 0 {
				wait = min(wait, later)
			}
			return wait // an end, a send or the rate's time wakes it
		case empty:
			next, more := k.read()
			if !more {
				if next > 0 {
					wait = min(wait, next)
				}
				return wait
			}
		}
	}
	return wait
}

// read fetches jobs that are due, and tells when the next will be where there are none.
func (k *Scheduler) read() (next time.Duration, more bool) {
	skip := func(id uint64) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.held[id] != nil
	}
	due, next, err := k.o.Store.Due(k.Now(), time.Duration(k.o.WallClock().UnixNano()), k.planner.MaxBackoff+k.planner.Expiry, page, skip)
	if err != nil { // the store has said so in the log
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range due {
		f := &flight{job: j}
		k.held[j.Job.ID] = f
		k.ready = append(k.ready, f)
	}
	return next, len(due) > 0
}

// plan is what recovery is told of a job.
func (k *Scheduler) plan(j *jobstore.Stored, c *balance.Class) *recovery.Job {
	p := &recovery.Job{Effect: c.Idempotency, Group: c.DedupScope, DedupWindow: c.DedupWindow, EligibleAt: j.Job.Accepted, Offers: j.State.Offers,
		Sends: j.State.Sends, HistoryUnknown: j.Lost}
	if j.Job.Timed {
		p.EligibleAt = max(p.EligibleAt, j.State.Due)
	}
	p.EligibleAt = max(p.EligibleAt, j.State.Released)
	if s := j.State.First; s != nil {
		p.FirstSend = &recovery.Send{Zone: s.Zone, Cell: s.Cell, At: s.At}
		p.HistoryUnknown = p.HistoryUnknown || k.o.Store.ClockBack() && s.At < k.started
	}
	return p
}

// offer gives a job to the front, or ends it.
func (k *Scheduler) offer(f *flight) {
	now := k.Now()
	c := k.front.Class(f.job.Job.Function)
	k.mu.Lock()
	if f.over || k.draining {
		if !f.over {
			delete(k.held, f.job.Job.ID)
		}
		k.mu.Unlock()
		return
	}
	d := recovery.Decision{Action: recovery.ActionDeadLetter, Reason: recovery.ReasonNoFunction}
	if c != nil {
		d = k.planner.BeforeOffer(now, k.plan(f.job, c))
	}
	if d.Action == recovery.ActionDeadLetter {
		k.mu.Unlock()
		k.bury(f, d.Reason)
		return
	}
	f.offered, f.sent = true, false
	k.pace.Offered(now)
	k.counts.Offered++
	k.mu.Unlock()
	k.front.Offer(f.job, d.Earlier)
}

func (k *Scheduler) promote(a asked, draining bool) {
	id := a.id
	k.mu.Lock()
	f := k.held[id]
	if f != nil {
		for i, r := range k.ready {
			if r == f {
				k.ready = append(k.ready[:i:i], k.ready[i+1:]...)
				k.mu.Unlock()
				k.offer(f)
				return
			}
		}
		over := f.over
		k.mu.Unlock()
		if over {
			k.front.JobNotFound(a.handle)
		}
		return
	}
	k.mu.Unlock()
	if draining {
		return
	}
	j, err := k.o.Store.Get(id)
	switch {
	case errors.Is(err, jobstore.ErrUnknown) || err == nil && j.State.Dead != "": // it has ended meanwhile
		k.front.JobNotFound(a.handle)
		return
	case err != nil: // the store has said so in the log
		return
	}
	if j.State.Timed && j.State.Due > time.Duration(k.o.WallClock().UnixNano()) {
		return
	}
	f = &flight{job: j}
	k.mu.Lock()
	k.held[id] = f
	k.mu.Unlock()
	k.offer(f)
}

// settle writes down what an offer's end comes to.
func (k *Scheduler) settle(e end) {
	now := k.Now()
	k.mu.Lock()
	f := k.held[e.id]
	if f == nil || f.over || !f.offered {
		k.mu.Unlock()
		return
	}
	k.pace.Ended(now, f.sent, e.how)
	f.offered = false
	if k.draining && e.how != recovery.OutcomeServed { // it stays as it is written
		delete(k.held, e.id)
		k.mu.Unlock()
		return
	}
	f.job.State.Offers++
	d := recovery.Decision{Action: recovery.ActionDeadLetter, Reason: recovery.ReasonNoFunction}
	if c := k.front.Class(f.job.Job.Function); c != nil {
		d = k.planner.AfterOffer(now, k.plan(f.job, c), e.how, e.after)
	}
	switch d.Action {
	case recovery.ActionDone:
		f.over = true
		k.counts.Served++
	case recovery.ActionWait, recovery.ActionOffer:
		k.counts.Retried++
		again(f.job.State, max(d.At, now))
	}
	due := f.job.State.Due
	k.mu.Unlock()
	switch d.Action {
	case recovery.ActionDone:
		k.write(e.id, func(done func(error)) { k.o.Store.Remove(e.id, done) })
	case recovery.ActionDeadLetter:
		k.bury(f, d.Reason)
	default:
		k.write(e.id, func(done func(error)) {
			k.o.Store.Change(e.id, func(st *jobstore.State) {
				st.Offers++
				again(st, due)
			}, done)
		})
	}
}

// again makes a job due at a time of our own clock. Its expiry goes on counting from the instant
// that its client named.
func again(st *jobstore.State, due time.Duration) {
	if st.Timed {
		st.Released = st.Due
	}
	st.Due, st.Timed = due, false
}

func (k *Scheduler) bury(f *flight, reason string) {
	now, id := k.Now(), f.job.Job.ID
	k.mu.Lock()
	f.over = true
	f.job.State.Dead = reason
	k.counts.DeadLettered++
	k.mu.Unlock()
	k.o.Log.Warn("background job is dead", "handle", f.job.Job.Handle, "function", f.job.Job.Function, "why", reason)
	k.front.DeadLettered(f.job, reason)
	lost, state := f.job.Lost, *f.job.State
	k.write(id, func(done func(error)) {
		if lost { // there is no state to change: it is written anew
			j := *f.job.Job
			state.Since = now
			k.o.Store.Rewrite(&j, &state, done)
			return
		}
		k.o.Store.Change(id, func(st *jobstore.State) { st.Dead, st.Since = reason, now }, done)
	})
}

// write makes a change that must come to be. Until the store has taken it the job stays held,
// so that it cannot be offered again by what is still written.
func (k *Scheduler) write(id uint64, change func(done func(error))) {
	change(func(err error) {
		k.mu.Lock()
		if err != nil && !errors.Is(err, jobstore.ErrUnknown) && !errors.Is(err, jobstore.ErrClosed) {
			k.stuck = append(k.stuck, func() { k.write(id, change) })
		} else {
			delete(k.held, id)
		}
		k.mu.Unlock()
		k.poke()
	})
}

func (k *Scheduler) retryStuck() {
	k.mu.Lock()
	stuck := k.stuck
	k.stuck = nil
	k.mu.Unlock()
	for _, f := range stuck {
		f()
	}
}

// wait makes a change on the store and waits for it.
func wait(change func(done func(error))) error {
	done := make(chan error, 1)
	change(func(err error) { done <- err })
	return <-done
}
