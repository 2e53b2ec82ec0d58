// Package background runs the jobs that no client waits for: it keeps them in a job store,
// offers them to a front as internal/recovery decides, and writes down what is about to be sent
// before it is sent. It is the driver between the two; the decisions are recovery's and, as to
// regions, the policy's.
package background

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/recovery"
)

const (
	page = 64 // jobs read from the store at once
	// look is how often the store is asked again at the latest, since the system's clock, by
	// which timed jobs are due, may be set.
	look = time.Second
	// unstickEvery is when a change that the store did not take is tried again.
	unstickEvery = time.Second
)

// ErrDraining keeps what has not been sent from being sent: the process ends, and the job is
// safe on disk for the next one.
var ErrDraining = errors.New("the dispatcher is ending")

// Front submits stored jobs. Its methods are called from the keeper's goroutine.
type Front interface {
	// Offer submits a job; the front calls Keeper.Ended once for it.
	Offer(j *jobstore.Stored, earlier *balance.Earlier)
	// Withdraw takes an offer back that has not been sent; Ended is not called for it any more.
	Withdraw(j *jobstore.Stored)
	// Buried tells that a job has ended among the dead letters: whoever waits is told.
	Buried(j *jobstore.Stored, reason string)
	// Missing tells that a job which the front wanted promoted has ended meanwhile.
	Missing(handle string)
	// Class is the class of a function, or nil where it is not served any more.
	Class(function string) *balance.Class
}

// Options of a keeper.
type Options struct {
	Store  *jobstore.Store
	Limits recovery.Limits
	Pace   recovery.PaceLimits
	Seed   uint64
	Clock  dispatch.Clock
	Wall   func() time.Time // the system's clock as it reads now, time.Now where nil
	Log    *slog.Logger
}

// Keeper offers stored jobs. Its methods do not wait for the disk but where they say so.
type Keeper struct {
	o       Options
	front   Front
	planner *recovery.Planner // the loop's own
	started time.Duration
	wake    chan struct{}
	ended   chan struct{}

	mu       sync.Mutex
	pace     *recovery.Pace
	held     map[uint64]*flight // read, offered or being settled: not to be read again
	ready    []*flight
	ends     []end
	asked    []asked  // to be promoted
	stuck    []func() // changes that the store did not take
	draining bool
	counts   Counts
}

// Counts of what the keeper did since the start.
type Counts struct {
	Offered, Served, Retried, Buried int
	Window, Cuts                     int
}

// flight is a job that the keeper has in hand.
type flight struct {
	job     *jobstore.Stored
	offered bool
	sent    bool // this offer has left the policy's queue
	over    bool // cancelled, or ended and being written down
}

type asked struct {
	id     uint64
	handle string
}

type end struct {
	id    uint64
	how   recovery.End
	after time.Duration
}

// New returns a keeper that does nothing until Run.
func New(o Options, f Front) *Keeper {
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Keeper{o: o, front: f, planner: recovery.New(o.Limits, o.Seed), started: o.Clock.Now(), wake: make(chan struct{}, 1),
		ended: make(chan struct{}), pace: recovery.NewPace(o.Pace), held: map[uint64]*flight{}}
}

// Admit tells at once whether one more job of so many bytes could be stored.
func (k *Keeper) Admit(size int) error { return k.o.Store.Admit(size) }

// Number gives a job its number.
func (k *Keeper) Number() uint64 { return k.o.Store.Number() }

// Now is the clock that due times of the keeper's own are read by.
func (k *Keeper) Now() time.Duration { return k.o.Clock.Now() }

// Wall is the system's clock.
func (k *Keeper) Wall() time.Time { return k.o.Wall() }

// Accept stores a job. done is called once, on the store's goroutine; without an error the job
// is on disk. offered tells that the front has submitted it already, and then st says what has
// been sent. Accept may wait for the store's queue.
func (k *Keeper) Accept(j *jobstore.Job, st *jobstore.State, offered bool, done func(error)) {
	if offered {
		k.mu.Lock()
		copied := *st
		k.held[j.ID] = &flight{job: &jobstore.Stored{Job: j, State: &copied}, offered: true, sent: st.Sends > 0}
		k.pace.Offered(k.Now())
		if st.Sends > 0 {
			k.pace.Sent()
		}
		k.mu.Unlock()
	}
	k.o.Store.Put(j, st, func(err error) {
		if err != nil && offered {
			k.mu.Lock()
			if f := k.held[j.ID]; f != nil {
				delete(k.held, j.ID)
				k.pace.Ended(k.Now(), f.sent, recovery.HasFailed)
			}
			k.mu.Unlock()
		}
		done(err)
		if err == nil {
			k.poke()
		}
	})
}

func (k *Keeper) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Sending writes down that a routed task is about to leave, and waits until that is on disk.
// After an error it must not be sent.
func (k *Keeper) Sending(ctx context.Context, id uint64, s jobstore.Send) error {
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

// NeverRan takes back the note of a task whose outcome proves that it had no effect. There is
// only ever one of these out for a job whose class minds, so it is the latest.
func (k *Keeper) NeverRan(id uint64) {
	k.mu.Lock()
	f := k.held[id]
	minds := false
	if f != nil && f.job.State.First != nil {
		c := k.front.Class(f.job.Job.Function)
		if minds = c != nil && c.Effect != balance.Safe; minds {
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

// Ended takes the end of an offer. It never waits.
func (k *Keeper) Ended(id uint64, how recovery.End, retryAfter time.Duration) {
	k.mu.Lock()
	k.ends = append(k.ends, end{id, how, retryAfter})
	k.mu.Unlock()
	k.poke()
}

// Foreground notes how long a foreground job waited for its first send. It never waits.
func (k *Keeper) Foreground(waited time.Duration) {
	k.mu.Lock()
	k.pace.Foreground(k.Now(), waited)
	k.mu.Unlock()
}

// Promote offers a stored job next, since a client waits for it now. One that is not due by its
// client's own word waits on.
func (k *Keeper) Promote(id uint64, handle string) {
	k.mu.Lock()
	k.asked = append(k.asked, asked{id, handle})
	k.mu.Unlock()
	k.poke()
}

// Drain stops offering. What has not been sent is taken back; it stays stored.
func (k *Keeper) Drain() {
	k.mu.Lock()
	k.draining = true
	var back []*jobstore.Stored
	for _, f := range k.held {
		if f.offered && !f.sent && !f.over {
			back = append(back, f.job)
		}
	}
	k.ready = nil
	k.mu.Unlock()
	for _, j := range back {
		k.front.Withdraw(j)
	}
	k.o.Log.Info("background jobs stay stored", "jobs", k.o.Store.Counts().Jobs, "withdrawn", len(back))
}

// Counts tells what was done since the start.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.counts
	c.Window, c.Cuts = k.pace.Window()
	return c
}

// Store is the store that the keeper works on.
func (k *Keeper) Store() *jobstore.Store { return k.o.Store }

// Run offers jobs until the context ends, then writes down what has ended.
func (k *Keeper) Run(ctx context.Context) {
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

// Stopped waits until Run has ended.
func (k *Keeper) Stopped() { <-k.ended }

// turn does what there is to do and tells how long it can wait then.
func (k *Keeper) turn() (wait time.Duration) {
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
		may, later := k.pace.May(k.Now())
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
func (k *Keeper) read() (next time.Duration, more bool) {
	skip := func(id uint64) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.held[id] != nil
	}
	due, next, err := k.o.Store.Due(k.Now(), time.Duration(k.o.Wall().UnixNano()), k.planner.Most+k.planner.Expiry, page, skip)
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
func (k *Keeper) plan(j *jobstore.Stored, c *balance.Class) *recovery.Job {
	p := &recovery.Job{Effect: c.Effect, Group: c.Group, Span: c.Span, Since: j.Job.Accepted, Offers: j.State.Offers,
		Sends: j.State.Sends, Unclear: j.Lost}
	if j.Job.Timed {
		p.Since = max(p.Since, j.State.Due)
	}
	p.Since = max(p.Since, j.State.Released)
	if s := j.State.First; s != nil {
		p.First = &recovery.Send{Zone: s.Zone, Cell: s.Cell, At: s.At}
		p.Unclear = p.Unclear || k.o.Store.ClockBack() && s.At < k.started
	}
	return p
}

// offer gives a job to the front, or ends it.
func (k *Keeper) offer(f *flight) {
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
	d := recovery.Decision{Do: recovery.Bury, Reason: recovery.Orphan}
	if c != nil {
		d = k.planner.Before(now, k.plan(f.job, c))
	}
	if d.Do == recovery.Bury {
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

func (k *Keeper) promote(a asked, draining bool) {
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
			k.front.Missing(a.handle)
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
		k.front.Missing(a.handle)
		return
	case err != nil: // the store has said so in the log
		return
	}
	if j.State.Timed && j.State.Due > time.Duration(k.o.Wall().UnixNano()) {
		return
	}
	f = &flight{job: j}
	k.mu.Lock()
	k.held[id] = f
	k.mu.Unlock()
	k.offer(f)
}

// settle writes down what an offer's end comes to.
func (k *Keeper) settle(e end) {
	now := k.Now()
	k.mu.Lock()
	f := k.held[e.id]
	if f == nil || f.over || !f.offered {
		k.mu.Unlock()
		return
	}
	k.pace.Ended(now, f.sent, e.how)
	f.offered = false
	if k.draining && e.how != recovery.Served { // it stays as it is written
		delete(k.held, e.id)
		k.mu.Unlock()
		return
	}
	f.job.State.Offers++
	d := recovery.Decision{Do: recovery.Bury, Reason: recovery.Orphan}
	if c := k.front.Class(f.job.Job.Function); c != nil {
		d = k.planner.After(now, k.plan(f.job, c), e.how, e.after)
	}
	switch d.Do {
	case recovery.Done:
		f.over = true
		k.counts.Served++
	case recovery.Wait, recovery.Offer:
		k.counts.Retried++
		again(f.job.State, max(d.At, now))
	}
	due := f.job.State.Due
	k.mu.Unlock()
	switch d.Do {
	case recovery.Done:
		k.write(e.id, func(done func(error)) { k.o.Store.Remove(e.id, done) })
	case recovery.Bury:
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

func (k *Keeper) bury(f *flight, reason string) {
	now, id := k.Now(), f.job.Job.ID
	k.mu.Lock()
	f.over = true
	f.job.State.Dead = reason
	k.counts.Buried++
	k.mu.Unlock()
	k.o.Log.Warn("background job is dead", "handle", f.job.Job.Handle, "function", f.job.Job.Function, "why", reason)
	k.front.Buried(f.job, reason)
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
func (k *Keeper) write(id uint64, change func(done func(error))) {
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

func (k *Keeper) retryStuck() {
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

// Cancel forgets a job, wherever it is, and waits until that is on disk. An offer of it is the
// front's to take back, and needs no Ended any more.
func (k *Keeper) Cancel(handle string) error {
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
		k.pace.Ended(k.Now(), f.sent, recovery.HasFailed)
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
func (k *Keeper) Release(handle string) error {
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
func (k *Keeper) ReleaseAll() (n int, err error) {
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
