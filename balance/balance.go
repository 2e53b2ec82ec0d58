// The policy: every decision of tinroute. Its interface is api.go.
//
// The mechanism is AdaRep of Joshi and Kaushal, "Synergy via Redundancy": jobs
// wait in arrival order; when a worker has room, a running job that is past its
// threshold is copied there, else the head of the queue goes; the first copy to
// finish wins and the others are cancelled. What the paper leaves open, and where
// it breaks, is said where the code acts.

package balance

import (
	"math"
	"time"
)

const (
	windowLen         = 48                     // samples kept a window: recent, and cheap to search
	memory            = 10 * time.Second       // a worker's measured speed forgets half in this time
	heartbeatInterval = 2 * time.Second        // peers repeat what they hold, against lost messages
	firstRetry        = 250 * time.Millisecond // after a failed inquiry; doubles
	largeFleetAbove   = 24                     // more dispatchers tell each other nothing; see candidates
	probesPerRequest  = 2                      // workers asked about their room for each request
	asking            = 15                     // ticks that a job waits for other dispatchers' signs of room
	looked            = 16                     // workers drawn by lot for a choice
	lookahead         = 8                      // queued jobs looked at behind heads that fit no free room
	minChance         = 0.05                   // a chance of being in time that is not worth a slot
	crossing          = 5                      // a faster run is seldom what makes an answer timely; see pick
	fair              = 0.75                   // a chance below which the queue counts as too long
	bearable          = 0.9                    // of a predicted wait counts: some of the queue will leave it
	leastBack         = 50 * time.Millisecond  // a client sent away stays away this long at least
	failing           = 0.4                    // smoothed share of errors at which a worker is held back
	mostTries         = 2                      // doublings of the wait between tries beyond the known
	unwanted          = 1e6                    // the cost of a worker that is chosen for lack of another
	margin            = time.Millisecond       // answers of our own leave this long before patience ends
)

// UpdateMembers takes the list's word on workers.
func (b *Balancer) UpdateMembers(now time.Duration, how UpdateKind, list []Member) {
	b.now = now
	if how == UpdateFailed { // keep the old list: an unreachable list empties no fleet
		b.askGap = max(firstRetry, min(2*b.askGap, b.askMost()))
		// Dispatchers that started together would ask again together, and a list service that
		// turns callers away would meet the same herd each time: each waits its own share.
		b.askAgain = now + b.askGap/2 + time.Duration(b.rng.Int64N(int64(b.askGap/2)))
		b.schedule()
		return
	}
	b.since = min(b.since, now)
	if how != UpdateDelta { // a worker left out is gone
		for _, w := range b.workers {
			w.State = Gone
		}
	}
	for _, m := range list {
		b.member(m)
	}
	b.purge()
	b.largeFleet = b.s.FleetSize > largeFleetAbove
	if how == UpdateCached && b.s.PullMembers {
		b.ask()
		if b.s.AllowPeerMessages && !b.largeFleet {
			b.host.SendToPeer(AllPeers, []byte{helloMessage})
		}
	} else {
		b.askGap, b.askAgain = 0, 0
	}
	b.schedule()
}

func (b *Balancer) ask() {
	b.host.Watch()
	b.askedAt = b.now
	b.askAgain = b.now + 4*time.Second // should even the failure be lost
}

// SubmitJob takes a new job.
func (b *Balancer) SubmitJob(now time.Duration, r Job) {
	b.now = now
	if r.Class < 0 || r.Class >= len(b.classes) || b.jobs[r.ID] != nil {
		return
	}
	c := &b.classes[r.Class]
	j := &job{Job: r, c: c, end: now + r.ClientTimeout, born: now - max(0, c.Deadline-r.ClientTimeout)}
	if e := r.PriorAttempt; e != nil { // a repeat must be as harmless as if it were ours
		w := &worker{Member: Member{Zone: e.Zone, Cell: e.Cell}}
		j.earlier = &attempt{j: j, no: -1, w: w, sent: now - e.Age, done: true, ran: true}
	}
	budgeted := false
	if b.shares != nil && r.PriorAttempt == nil { // one that may have run was admitted then
		ok, wait := true, time.Duration(0)
		if budgeted, ok, wait = b.shares.Admit(r.Tenant, b.sizeOf(j)); !ok { // it has been sent nowhere
			b.host.Refuse(r.ID, min(max(wait, leastBack), b.s.MaxRetryAfter))
			return
		}
	}
	b.jobs[r.ID] = j
	if j.worth = c.Worth; !budgeted { // what the fleet's budget admits is within the tenant's quota
		j.worth *= b.share(r.Tenant)
	}
	b.enqueue(j)
	switch {
	case b.largeFleet && (b.s.AllowProbes || b.s.AllowPeerMessages && !j.movable()):
		j.hold = now + 3*b.s.Tick
		if !b.s.AllowProbes {
			j.hold = now + asking*b.s.Tick
		}
		b.schedule()
		b.probeSome(j)
		return
	case b.s.AllowProbes:
		b.probeOne()
	}
	b.schedule()
}

// TimerFired takes a timer that the Balancer set.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	b.now = now
	if token != b.token {
		return
	}
	b.armed = math.MaxInt64
	b.schedule()
}

// ClientGone takes word that the client of a job has left.
func (b *Balancer) ClientGone(now time.Duration, id JobID) {
	b.now = now
	if j := b.jobs[id]; j != nil && !j.over {
		b.finish(j)
		b.schedule()
	}
}

// StreamStarted takes word that a streamed answer has begun: the job is the client's.
func (b *Balancer) StreamStarted(now time.Duration, id JobID, no int) {
	b.now = now
	j := b.jobs[id]
	if j == nil || j.over || no < 0 || no >= len(j.attempts) {
		return
	}
	j.stream = true
	b.cancelOthers(j, j.attempts[no])
	b.schedule()
}

// AttemptEvent takes a worker's word about a job that is out.
func (b *Balancer) AttemptEvent(now time.Duration, id JobID, no int, what EventKind, share float64) {
	b.now = now
	j := b.jobs[id]
	if j == nil || no < 0 || no >= len(j.attempts) || j.attempts[no].done {
		return
	}
	a := j.attempts[no]
	a.noted = now
	if !a.started {
		b.begin(j, a)
	}
	if what == EventProgress && share > a.share && share <= 1 {
		a.share = share
		if !a.sampled && share > 0.02 {
			b.sample(j, a, (now-a.begun).Seconds()/share)
		}
	}
	b.schedule()
}

func (b *Balancer) begin(j *job, a *attempt) {
	w, late := a.w, a.stuck
	b.unwait(a)
	a.started, a.begun = true, b.now
	if !late {
		b.found(a, 1)
	}
	w.running += j.Slots
	if w.errors <= failing { // a start shows that it is there, not that it is sound
		w.strikes = 0
	}
	lag := (b.now - a.sent).Seconds()
	if b.largeFleet && !j.over {
		if late && b.chance(j, 0) < fair {
			b.window *= 0.5 // as in congestion control
		} else {
			b.window = min(b.window+1.0/128, 16)
		}
	}
	w.lag = min(lag, w.lag+(lag-w.lag)/64)
	w.group.lag = min(lag, w.group.lag+(lag-w.group.lag)/64)
	b.lag = min(lag, b.lag+(lag-b.lag)/64)
	if held := w.running + w.peerRunning; held > w.slots {
		b.setSlots(w, held)
	}
	b.mark(w)
	if a.beyond && !late {
		w.others = max(0, min(w.others, b.estimate(w)-w.running))
		b.tries, b.nextTry = 0, b.now
	}
	if !j.over {
		for _, o := range j.attempts { // the first start wins over copies that still wait
			if o != a && !o.done && !o.started {
				b.cancel(j, o)
			}
		}
	}
}

// AttemptDone takes the end of an attempt.
func (b *Balancer) AttemptDone(now time.Duration, r AttemptResult) {
	b.now = now
	j := b.jobs[r.Job]
	if j == nil || r.Attempt < 0 || r.Attempt >= len(j.attempts) || j.attempts[r.Attempt].done {
		return
	}
	a := j.attempts[r.Attempt]
	b.release(j, a)
	j.unfit = j.unfit || r.Status == StatusInvalid
	a.ran = !r.Status.NeverRan()
	a.unreached = r.Status == StatusUnreachable
	b.judge(j, a, r)
	b.report(a.w, r.Report)
	if b.largeFleet && a.started && r.Status == StatusOK && (a.w.sign != signMany || a.w.sureAt != now) {
		b.freed(a.w, signEnd) // the report is older than the slot that came free
	}
	switch {
	case r.JobDone && !j.over:
		b.finish(j)
	case !j.over && j.out == 0:
		b.unlist(j)
		b.again(j)
	}
	if j.over && j.out == 0 {
		delete(b.jobs, j.ID)
	}
	b.schedule()
}

// judge learns from an end: speed from finished work, health from the way of
// ending.
func (b *Balancer) judge(j *job, a *attempt, r AttemptResult) {
	w := a.w
	switch r.Status {
	case StatusOK:
		if !a.started {
			a.begun = a.sent
		}
		run := (b.now - a.begun).Seconds()
		size := run / b.slow(w)
		if j.ExpectedWork > 0 {
			size = j.ExpectedWork.Seconds()
		}
		if r.JobDone && !j.over && (b.now-j.born).Seconds() <= j.c.Target.Seconds()+j.c.Stretch*size {
			j.c.inTime += b.weight(j)
		}
		b.sample(j, a, run)
		w.errors -= w.errors / 4
		w.strikes = 0
	case StatusError:
		// Fast failures free slots and would attract ever more work.
		w.errors += (1 - w.errors) / 4
		if w.errors > failing {
			b.hold(w, b.meanRun(), "errors")
		}
	case StatusInvalid:
		// The job is at fault, so its worker must not be held back for it, or a few bad
		// clients would shut a sound fleet. One that takes nothing else is at fault itself.
		w.errors += (1 - w.errors) / 16
		if w.errors > failing {
			b.hold(w, b.meanRun(), "refusals")
		}
	case StatusFull:
		if b.largeFleet {
			w.sure, w.sureAt, w.sign = -1, b.now, signNone
		} else {
			b.setSlots(w, min(w.slots, w.used))
		}
		w.nextTry = b.now + seconds(b.meanRun()/2)
	case StatusUnreachable, StatusReset:
		b.lost(w)
	case StatusTimeout:
		if !a.started {
			b.hold(w, b.meanRun(), "silence")
		}
	}
}

// lost takes in that a worker did not answer: where dispatchers are many each meets a worker
// once at most, and a lost zone must show by the first few.
func (b *Balancer) lost(w *worker) {
	b.hold(w, b.s.ConnectTimeout.Seconds(), "connections")
	if b.largeFleet {
		w.group.usual -= w.group.usual / 4
		w.sure, w.sureAt, w.sign = 0, b.now, signNone
	}
}

// hold keeps ordinary work from a suspect worker, for twice as long after each
// failed trial.
func (b *Balancer) hold(w *worker, base float64, why string) {
	if b.now < w.held {
		return
	}
	w.held = b.now + seconds(base*math.Pow(2, float64(min(w.strikes, 4))))
	w.strikes++
	b.heldMost = max(b.heldMost, w.held)
	b.log(why, "worker %d held back until %.3f: %s", w.ID, w.held.Seconds(), why)
}
