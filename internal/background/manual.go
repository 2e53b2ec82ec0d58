package background

import (
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

// Cancel forgets a job, wherever it is, and waits until that is on disk. An offer of it is the
// front's to take back, and needs no Ended any more.
func (k *Scheduler) Cancel(handle string) error {
	j, err := k.o.Store.Handle(handle)
	if err != nil {
		return err
	}
	id := j.Job.ID
	k.mu.Lock()
	f := k.held[id]
	if f == nil { // keeps it from being read while it is removed
		f = &flight{job: j}
		k.held[id] = f
	}
	if f.offered && !f.over {
		k.pace.Ended(k.Now(), f.sent, recovery.OutcomeFailed)
	}
	f.over, f.offered = true, false
	k.mu.Unlock()
	err = wait(func(done func(error)) { k.o.Store.Remove(id, done) })
	k.mu.Lock()
	delete(k.held, id)
	k.mu.Unlock()
	k.poke()
	return err
}

// Release gives a dead letter its life back, from the beginning: whoever does so says that a
// repeat is harmless. It waits until that is on disk.
func (k *Scheduler) Release(handle string) error {
	j, err := k.o.Store.Handle(handle)
	if err != nil {
		return err
	}
	if j.State.Dead == "" {
		return jobstore.ErrUnknown
	}
	now := k.Now()
	err = wait(func(done func(error)) {
		k.o.Store.Change(j.Job.ID, func(st *jobstore.State) {
			*st = jobstore.State{ID: st.ID, Rev: st.Rev, Due: now, Released: now}
		}, done)
	})
	k.poke()
	return err
}

// ReleaseAll releases every dead letter and tells how many there were.
func (k *Scheduler) ReleaseAll() (n int, err error) {
	for {
		var handles []string
		if err := k.o.Store.List(true, page, func(j *jobstore.Stored) { handles = append(handles, j.Job.Handle) }); err != nil {
			return n, err
		}
		if len(handles) == 0 {
			return n, nil
		}
		for _, h := range handles {
			if err := k.Release(h); err != nil {
				return n, err
			}
			n++
		}
	}
}
