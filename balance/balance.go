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
	"slices"
	"time"
)

const (
	windowLen  = 48                     // samples kept a window: recent, and cheap to search
	memory     = 10 * time.Second       // a worker's measured speed forgets half in this time
	beat       = 2 * time.Second        // peers repeat what they hold this often, against lost messages
	firstRetry = 250 * time.Millisecond // after a failed inquiry; doubles
	crowded    = 24                     // more dispatchers than this tell each other nothing; see candidates
	scouted    = 2                      // workers asked about their room for each request
	asking     = 15                     // ticks that a job waits for other dispatchers' signs of room
	looked     = 16                     // workers drawn by lot for a choice
	lookahead  = 8                      // queued jobs looked at behind heads that fit no free room
	hopeless   = 0.05                   // a chance of being in time that is not worth a slot
	crossing   = 5                      // a faster run is seldom what makes an answer timely; see pick
	fair       = 0.75                   // a chance below which the queue counts as too long
	bearable   = 0.9                    // of a predicted wait counts: some of the queue will leave it
	leastBack  = 50 * time.Millisecond  // a client sent away stays away this long at least
	failing    = 0.4                    // smoothed share of errors at which a worker is held back
	mostTries  = 2                      // doublings of the wait between tries beyond what is known; see send
	unwanted   = 1e6                    // the cost of a worker that is chosen for lack of another
	margin     = time.Millisecond       // answers of our own leave this long before patience ends
)

// Members takes the list's word on workers.
func (b *Balancer) Members(now time.Duration, how ListKind, list []Member) {
	b.now = now
	if how == ListFailed { // keep the old list: an unreachable list empties no fleet
		b.askGap = max(firstRetry, min(2*b.askGap, b.askMost()))
		// Dispatchers that started together would ask again together, and a list service that
		// turns callers away would meet the same herd each time: each waits its own share.
		b.askAgain = now + b.askGap/2 + time.Duration(b.rng.Int64N(int64(b.askGap/2)))
		b.schedule()
		return
	}
	b.since = min(b.since, now)
	if how != ListChange { // a worker left out is gone
		for _, w := range b.workers {
			w.Condition = Gone
		}
	}
	for _, m := range list {
		b.member(m)
	}
	b.purge()
	b.crowd = b.s.Fleet > crowded
	if how == ListCached && b.s.AskList {
		b.ask()
		if b.s.Peers && !b.crowd {
			b.host.Tell(Everyone, []byte{helloMessage})
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

// Request takes a new job.
func (b *Balancer) Request(now time.Duration, r Job) {
	b.now = now
	if r.Class < 0 || r.Class >= len(b.classes) || b.jobs[r.ID] != nil {
		return
	}
	c := &b.classes[r.Class]
	j := &job{Job: r, c: c, end: now + r.Patience, born: now - max(0, c.Deadline-r.Patience)}
	if e := r.Earlier; e != nil { // a repeat must be as harmless as if it were ours
		w := &worker{Member: Member{Zone: e.Zone, Cell: e.Cell}}
		j.earlier = &attempt{j: j, no: -1, w: w, sent: now - e.Ago, done: true, ran: true}
	}
	budgeted := false
	if b.shares != nil && r.Earlier == nil { // one that may have run was admitted then
		ok, wait := true, time.Duration(0)
		if budgeted, ok, wait = b.shares.First(r.Tenant, b.sizeOf(j)); !ok { // it has been sent nowhere
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
	case b.crowd && (b.s.Probes || b.s.Peers && !j.movable()):
		j.hold = now + 3*b.s.Tick
		if !b.s.Probes {
			j.hold = now + asking*b.s.Tick
		}
		b.schedule()
		b.scout(j)
		return
	case b.s.Probes:
		b.probeOne()
	}
	b.schedule()
}

// Timer takes a timer that the Balancer set.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.now = now
	if token != b.token {
		return
	}
	b.armed = math.MaxInt64
	b.schedule()
}

// Gone takes word that the client of a job has left.
func (b *Balancer) Gone(now time.Duration, id JobID) {
	b.now = now
	if j := b.jobs[id]; j != nil && !j.over {
		b.finish(j)
		b.schedule()
	}
}

// First takes word that a streamed answer has begun: the job is the client's.
func (b *Balancer) First(now time.Duration, id JobID, no int) {
	b.now = now
	j := b.jobs[id]
	if j == nil || j.over || no < 0 || no >= len(j.attempts) {
		return
	}
	j.stream = true
	b.cancelOthers(j, j.attempts[no])
	b.schedule()
}

// Note takes a worker's word about a job that is out.
func (b *Balancer) Note(now time.Duration, id JobID, no int, what NoteKind, share float64) {
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
	if what == NoteProgress && share > a.share && share <= 1 {
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
	if b.crowd && !j.over {
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

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, r Result) {
	b.now = now
	j := b.jobs[r.Job]
	if j == nil || r.Attempt < 0 || r.Attempt >= len(j.attempts) || j.attempts[r.Attempt].done {
		return
	}
	a := j.attempts[r.Attempt]
	b.release(j, a)
	j.unfit = j.unfit || r.Status == StatusUnfit
	a.ran = !r.Status.NeverRan()
	a.unreached = r.Status == StatusUnreachable
	b.judge(j, a, r)
	b.report(a.w, r.Report)
	if b.crowd && a.started && r.Status == StatusOK && (a.w.sign != signMany || a.w.sureAt != now) {
		b.freed(a.w, signEnd) // the report is older than the slot that came free
	}
	switch {
	case r.Closed && !j.over:
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
func (b *Balancer) judge(j *job, a *attempt, r Result) {
	w := a.w
	switch r.Status {
	case StatusOK:
		if !a.started {
			a.begun = a.sent
		}
		run := (b.now - a.begun).Seconds()
		size := run / b.slow(w)
		if j.Hint > 0 {
			size = j.Hint.Seconds()
		}
		if r.Closed && !j.over && (b.now-j.born).Seconds() <= j.c.Aim.Seconds()+j.c.Stretch*size {
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
	case StatusUnfit:
		// The job is at fault, so its worker must not be held back for it, or a few bad
		// clients would shut a sound fleet. One that takes nothing else is at fault itself.
		w.errors += (1 - w.errors) / 16
		if w.errors > failing {
			b.hold(w, b.meanRun(), "refusals")
		}
	case StatusFull:
		if b.crowd {
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
	if b.crowd {
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

// again decides what follows a failed attempt when no other is out.
func (b *Balancer) again(j *job) {
	ran := j.firstRan() != nil // what surely never ran does no work twice
	if j.stream || !b.maySend(j) || ran && !j.paid && b.shares != nil && !b.shares.Again() {
		b.answer(j)
		return
	}
	j.paid = false
	b.enqueue(j)
}

// maySend tells whether any worker might still be sent the job.
func (b *Balancer) maySend(j *job) bool {
	if j.spent(b.s.MaxAttempts) || b.now >= j.end-margin {
		return false
	}
	first := j.firstRan()
	if first == nil {
		return true
	}
	switch j.c.Effect {
	case Unsafe: // the attempt may have had its effect: a repeat could double it
		return false
	case Keyed: // past the span the group has forgotten the first effect, also if the connection is late
		return b.now < first.sent+j.c.Span-margin-b.s.ConnectTimeout
	}
	return true
}

// answer gives the final answer to a job that is not served. A refusal tells the
// client that a repeat is harmless, so it must be.
func (b *Balancer) answer(j *job) {
	if j.over {
		return
	}
	unseen := j.out == 0 && j.firstRan() == nil // no effect so far, and none to come
	if unseen || j.c.Effect == Safe || j.c.Effect == Keyed && j.c.Group == GroupAll {
		b.host.Refuse(j.ID, min(max(b.comeBack, leastBack), b.s.MaxRetryAfter))
	} else {
		b.host.Fail(j.ID)
	}
	b.finish(j)
}

// fits tells whether the rules and the job's needs allow the worker at all. It is
// also the guard at the only place where sends leave, so that nothing bypasses it.
func (b *Balancer) fits(j *job, w *worker) bool {
	if j.over || w.Condition != Serving { // a drain is kept from the first word of it
		return false
	}
	if !b.maySend(j) || j.c.Kind >= 0 && j.c.Kind != w.Kind {
		return false
	}
	first := j.earlier
	for _, a := range j.attempts {
		if !a.done && (j.c.Effect != Safe || !b.s.SecondCopies || a.w == w) {
			return false // a second copy could double an effect
		}
		if first == nil && (a.ran || !a.done) {
			first = a
		}
	}
	if first != nil && j.c.Effect == Keyed { // only the first runner's group knows the key
		if g := j.c.Group; g == GroupZone && first.w.Zone != w.Zone ||
			g == GroupCell && first.w.Cell != w.Cell {
			return false
		}
	}
	return b.coldAllows(j, w)
}

// coldAllows keeps a cold worker's budget in every window, counting refused work too:
// all dispatchers together must not push the worker over, and none sees what the
// others send. So by the worker's age some of them take turns, each with its part.
func (b *Balancer) coldAllows(j *job, w *worker) bool {
	age := b.now - w.Started
	if !b.isCold(w) || b.s.FallSpan <= 0 {
		return true
	}
	part := b.coldPart(w, max(0, age))
	if part <= 0 {
		return false
	}
	for len(w.spent) > 0 && w.spent[0].at < b.now-b.s.FallSpan {
		w.spent = w.spent[1:]
	}
	sum := b.sizeOf(j) * b.slow(w)
	for _, s := range w.spent {
		sum += s.cost
	}
	return sum <= part
}

// coldBears is the work, in seconds at the worker, that all dispatchers together may send a
// cold worker in one window. Among few that is 0.7 of what the settings name, against estimates
// that are off. Among many there is the slack for chance that goes with it; but those that have not
// been told of its start send too, and a fall is ours where over two thirds came from the told: we
// keep to that, less a fifth for estimates that are off.
func (b *Balancer) coldBears(w *worker, age time.Duration, mean float64) float64 {
	share := b.s.ColdFrom + (1-b.s.ColdFrom)*float64(max(0, age-b.s.FallSpan))/float64(b.s.WarmUp)
	n := b.s.FallFactor * share * b.estimate(w) * b.s.FallSpan.Seconds()
	if b.crowd {
		return 0.53 * (n + 2*math.Sqrt(n*mean) + 2*mean)
	}
	return 0.7 * n
}

// coldPart is what this dispatcher may send a cold worker in one window, 0 out of its turn or
// in its own first window: it may have forgotten what it sent.
//
// Among few one dispatcher at a time owns the whole budget, for three windows; in the first of
// them the work of the last owner still counts, so nothing is sent. In a crowd one sees too
// little to fill it, and those that own none fill the old workers' queues: there, it has as
// many parts as each still fits a usual job, with all sizes as the settings let them be guessed,
// so that all dispatchers count alike. All parts but one have an owner, and with each window one
// owner gives way to the next: a window meets one change at most, and the spare part is for it.
func (b *Balancer) coldPart(w *worker, age time.Duration) float64 {
	span, fleet := b.s.FallSpan, uint64(b.s.Fleet)
	if b.now-b.since < span {
		return 0
	}
	turn, owners, parts := 3*span, uint64(1), 1.0
	if b.crowd {
		usual := b.guess()
		turn, parts = span, max(2, math.Floor(b.coldBears(w, age-age%span, usual)/usual))
		parts = min(parts, float64(fleet+1)) // more than there are dispatchers would have no owner
		owners = uint64(parts) - 1
	} else if fleet > 1 && age >= turn && age%turn < span {
		return 0
	}
	first := (uint64(w.ID) + uint64(age/turn)) % fleet
	if (uint64(b.s.Position)+fleet-first)%fleet >= owners {
		return 0
	}
	return b.coldBears(w, age, b.meanRun()*b.slow(w)) / parts
}

// open tells whether a worker takes ordinary work: one that is not held back.
func (b *Balancer) open(w *worker) bool {
	return w.Condition == Serving && (b.now >= w.held || b.doubt)
}

// weigh tells whether nearly all workers look bad: the doubt then falls on a common
// cause, and dispatch goes on as if none did.
func (b *Balancer) weigh() {
	if b.doubt = false; b.now >= b.heldMost {
		return
	}
	bad, all := 0, 0
	for _, w := range b.workers {
		if w.Condition == Serving {
			all++
			if b.now < w.held {
				bad++
			}
		}
	}
	b.doubt = all > 3 && 4*bad > 3*all // of a few, one cause each is as likely
}

// free tells whether a worker has known room for a job: slots by the books or, where
// unseen hands hold most of them, fair odds of one.
func (b *Balancer) free(j *job, w *worker) bool {
	if b.s.Memory && b.estimate(w)-w.usedMem-w.otherMem < j.Memory {
		return false
	}
	if b.crowd {
		blind := b.stuckJobs < b.window && b.now >= j.hold // those asked have answered by now
		blind = blind || b.isCold(w)                       // its room in our turn is ours
		return b.estimate(w)-w.used >= j.Slots && (blind || w.sign != signNone && b.odds(w) >= 0.5)
	}
	return b.room(w) >= j.Slots
}

// lend hands the best sign of room to a dispatcher that asks for one. A sign is one slot, so
// it is ours no more.
func (b *Balancer) lend(to int) {
	var best *worker
	for _, w := range b.fresh {
		if w != nil && w.sign != signNone && b.open(w) && (best == nil || b.odds(w) > b.odds(best)) {
			best = w
		}
	}
	if best != nil && b.odds(best) >= 0.5 && len(b.queue) == 0 {
		best.sure, best.sureAt, best.sign = 0, b.now, signNone
		id := best.ID
		b.host.Tell(to, []byte{lendMessage, byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id), 0})
	}
}

// candidates are the workers to choose from: all of a small fleet; of a large one those
// with fresh evidence, cold ones, and some by lot, so that many dispatchers that see
// alike do not choose alike, and a choice costs the same in every fleet.
func (b *Balancer) candidates() []*worker {
	if !b.crowd || len(b.workers) <= looked {
		return b.workers
	}
	b.chosen = append(b.chosen[:0], b.ownTurns()...)
	for _, w := range b.fresh {
		if w != nil && w.Condition == Serving && !slices.Contains(b.chosen, w) {
			b.chosen = append(b.chosen, w)
		}
	}
	for range looked {
		b.chosen = append(b.chosen, b.workers[b.rng.IntN(len(b.workers))])
	}
	return b.chosen
}

// pick chooses among the workers with room: the least expected finish, with the
// price of crossing zones on top, ties by lot so that dispatchers that see alike
// do not choose alike. beyond also admits one try past a worker's estimate.
func (b *Balancer) pick(j *job, beyond bool) *worker {
	var best *worker
	least := math.Inf(1)
	if !b.maySend(j) {
		return nil
	}
	for _, w := range b.candidates() {
		if !b.open(w) || slices.Contains(b.kept, w) {
			continue
		}
		free := b.free(j, w)
		try := beyond && w.waiting == 0 && w.peerHeld <= w.peerRunning && b.now >= w.nextTry
		if !free && !try || !b.fits(j, w) {
			continue
		}
		cost := b.sizeOf(j) * b.slow(w) * (1 + 0.02*b.rng.Float64())
		if j.Key != "" && !w.knows(j.Key) {
			cost *= math.Exp(max(0, b.keyMiss-b.keyHit))
		}
		if w.Zone != b.s.Zone && w.Zone >= 0 {
			cost += 2*b.lagOf(w) + crossing*b.s.CrossPrice*b.sizeOf(j)
		}
		if b.crowd {
			cost += (1 - b.odds(w)) * b.meanRun()
		} else if !free { // rather where a worker is taken for less than its weight tells
			cost += b.meanRun() * min(1, b.estimate(w)/max(1, b.slotsByWeight*w.Weight))
		}
		if j.ranAt(w) {
			cost += unwanted
		}
		if cost < least {
			best, least = w, cost
		}
	}
	return best
}

// send is the only place where work leaves.
func (b *Balancer) send(j *job, w *worker) {
	if !b.fits(j, w) {
		return
	}
	free := b.free(j, w)
	a := &attempt{j: j, no: len(j.attempts), w: w, sent: b.now, begun: b.now, noted: b.now}
	j.attempts = append(j.attempts, a)
	a.keyed = w.knows(j.Key)
	w.learnKey(j.Key)
	j.out++
	w.used += j.Slots
	w.usedMem += j.Memory
	if w.sign != signNone && b.now-w.sureAt < seconds(b.meanRun()/2) {
		a.sign = w.sign
	}
	w.sure, w.sureAt, w.sign = b.odds(w)*(1-1/(1+b.estimate(w))), b.now, signNone
	if b.s.TellsStart {
		w.waiting++
		b.starting = append(b.starting, a)
	} else {
		a.started = true
		w.running += j.Slots
	}
	if b.isCold(w) {
		w.spent = append(w.spent, spending{b.now, b.sizeOf(j) * b.slow(w)})
	}
	if !free {
		a.beyond = true
		w.nextTry = b.now + seconds(b.meanRun())
		// Only tries show that unseen dispatchers have left a worker. Waits of several runs
		// between them left the fleet idle and its work refused; each worker holds one at most.
		b.nextTry = b.now + seconds(b.meanRun()/16*math.Pow(2, float64(b.tries)))
		b.tries = min(b.tries+1, mostTries)
	}
	if j.out == 1 {
		b.running = append(b.running, j)
	}
	if len(j.attempts) == 1 && j.earlier == nil && b.shares != nil {
		b.shares.Sent()
	}
	b.host.Send(j.ID, w.ID, 0)
	b.mark(w)
}

// schedule is the one scheduling step, run whenever room or work may have come.
func (b *Balancer) schedule() {
	b.expire()
	b.weigh()
	b.watchStarts()
	for b.copyOverdue() {
	}
	b.drain()
	if len(b.queue) > 0 && b.now >= b.queue[0].hold {
		b.shed()
	}
	b.tellPeers()
	b.arm()
}

// expire answers queued jobs whose patience has run out.
func (b *Balancer) expire() {
	if b.askAgain > 0 && b.now >= b.askAgain {
		b.ask()
	}
	if b.now >= b.nextEnd {
		b.nextEnd = math.MaxInt64
		for _, j := range slices.Clone(b.queue) {
			if b.now >= j.end-margin {
				b.log("unserved", "job %d not served: its client's patience is over", j.ID)
				b.answer(j)
			} else {
				b.nextEnd = min(b.nextEnd, j.end-margin)
			}
		}
	}
}

// shed gives up the work of least worth while the queue is longer than it can bear:
// first-come order under overload would serve every job just too late. What is given up
// is answered at once, with the time that the queue ahead of it takes as the time to come
// back: held for its client's patience it would keep a terminal waiting for nothing. A job
// that may have run stays, since its client could not be told to come back.
func (b *Balancer) shed() {
	slots := 1.0
	for _, w := range b.workers {
		slots += w.used
	}
	ahead := 0.0
	for k := 0; k < len(b.queue); k++ {
		j := b.queue[k]
		wait := ahead * b.pace / slots
		if b.chance(j, bearable*wait) >= fair || j.firstRan() != nil {
			ahead += b.sizeOf(j)
			continue
		}
		victim, least := k, b.density(j, 0)
		for i, o := range b.queue[:k] {
			if d := b.density(o, 0); d < least && o.firstRan() == nil {
				victim, least = i, d
			}
		}
		o := b.queue[victim]
		b.log("shed", "job %d given up: the queue is too long by %.2f s", o.ID, wait)
		b.comeBack = seconds(wait)
		b.answer(o)
		b.comeBack = 0
		k--
		if victim <= k {
			ahead -= b.sizeOf(o)
			k--
		}
	}
}

// watchStarts looks for jobs whose start is overdue: unseen dispatchers hold the
// slots, or the worker stands still. A safe one is copied to known room, a keyed
// one withdrawn to be sent again; where none has room its place in the worker's
// queue is kept.
func (b *Balancer) watchStarts() {
	b.stuckJobs = 0
	for _, a := range b.starting {
		if a.stuck && !a.cancelled && a == a.j.newest() {
			b.stuckJobs++
		}
	}
	bar := hopeless
	if b.window < 1 { // under overload a likely failure stands in the way of likelier ones
		bar = fair
	}
	for i := 0; i < len(b.starting); i++ {
		a := b.starting[i]
		if a.cancelled || b.now < a.sent+b.startBound(a) {
			continue
		}
		if !a.stuck {
			a.stuck = true
			b.full(a.w)
			b.found(a, 0)
		}
		b.recall(a.j, a)
		// A job that no copy of has begun, and that would now be late, only stands in
		// the way of others in its workers' queues.
		if j := a.j; b.crowd && !j.over && j.c.LateWorth == 0 &&
			b.chance(j, 0) < bar && !j.begun() {
			b.log("hopeless", "job %d withdrawn: it can hardly be in time", j.ID)
			b.answer(j)
		}
	}
}

// full takes in that a job found no free slot: where peers tell what they hold, the
// worker is smaller than it was taken for; else unseen dispatchers hold the rest.
// Only evidence frees that again: forgetting it by time made room that was not there,
// and jobs were passed from worker to worker without end.
func (b *Balancer) full(w *worker) {
	switch {
	case b.crowd:
		w.sure, w.sureAt, w.sign = 0, b.now, signNone
	case b.s.Peers:
		b.setSlots(w, min(b.estimate(w), w.running+w.peerRunning))
	default:
		w.others = max(w.others, b.estimate(w)-w.running)
	}
}

func (b *Balancer) recall(j *job, a *attempt) {
	if j.over || j.out > 1 && !b.crowd || a != j.newest() ||
		j.spent(b.s.MaxAttempts) || !b.s.Cancel {
		return
	}
	switch {
	case j.c.Effect == Unsafe: // its place in the queue is all it can have
	case j.c.Effect == Safe && b.s.SecondCopies:
		b.stuckJobs-- // it waits already
		if w := b.pick(j, false); w != nil && b.mayCopy() {
			b.send(j, w)
			if w := b.pick(j, false); w != nil && b.crowd && b.mayCopy() {
				b.send(j, w)
			}
		}
	case (j.c.Effect == Safe || b.now < a.sent+j.c.Span/2) && b.otherRoom(j, a.w):
		if !a.cancelled && b.mayCopy() {
			j.paid = true
			b.cancel(j, a)
		}
	}
}

// otherRoom tells whether a worker that may be sent a withdrawn job has room.
func (b *Balancer) otherRoom(j *job, from *worker) bool {
	for _, w := range b.workers {
		if w == from || !b.open(w) || !b.free(j, w) {
			continue
		}
		if j.c.Group == GroupAll || j.c.Group == GroupZone && w.Zone == from.Zone || w.Cell == from.Cell {
			return true
		}
	}
	return false
}

// copyOverdue copies one running job that is past its threshold, if any.
func (b *Balancer) copyOverdue() bool {
	if !b.s.SecondCopies || !b.s.Cancel {
		return false
	}
	overdue := 0
	var late *job
	var to *worker
	for _, j := range b.running {
		if j.c.Effect != Safe || j.out != 1 || j.over || j.stream {
			continue
		}
		a := j.newest()
		if a == nil || !a.started {
			continue
		}
		if w := b.copyTo(j, a); w != nil {
			overdue++
			if late == nil {
				late, to = j, w
			}
		}
	}
	// When most are overdue the cause is common, and copies would only take the
	// room of first attempts.
	if late == nil || len(b.queue) > 0 && 2*overdue > len(b.running) {
		return false
	}
	if !b.mayCopy() {
		return false
	}
	b.send(late, to)
	return true
}

// copyTo returns the worker with room that a running job should be copied to.
func (b *Balancer) copyTo(j *job, a *attempt) *worker {
	elapsed := (b.now - a.begun).Seconds() / b.sizeOf(j)
	least := math.Inf(1)
	for _, l := range b.kinds[a.w.Kind].limit {
		least = min(least, l)
	}
	stalled := b.s.Progress > 0 && b.now-a.noted > 5*b.s.Progress/2
	if elapsed < least && !stalled {
		return nil
	}
	w := b.pick(j, false)
	if w == nil || !stalled && elapsed < b.kinds[a.w.Kind].limit[w.Kind] {
		return nil
	}
	// Progress tells a big job on a sound worker from a straggler.
	if !stalled && a.share > 0 {
		run := (a.noted - a.begun).Seconds() / a.share
		if run*(1-a.share) < b.sizeOf(j)*b.slow(w) || j.Hint <= 0 && 1-a.share < b.slow(w)/b.slow(a.w) {
			return nil
		}
	}
	return w
}

// keep reserves the worker with the most room among those that can fit a job.
func (b *Balancer) keep(j *job) {
	var best *worker
	for _, w := range b.workers {
		if b.estimate(w) >= j.Slots && !slices.Contains(b.kept, w) && b.fits(j, w) &&
			(best == nil || b.room(w) > b.room(best)) {
			best = w
		}
	}
	if best != nil {
		b.kept = append(b.kept, best)
	}
}

// drain sends the queue's heads while there is room.
func (b *Balancer) drain() {
	b.kept = b.kept[:0]
	for i := 0; i < min(len(b.queue), lookahead); {
		j := b.queue[i]
		if j.c.LateWorth == 0 && b.chance(j, 0) < hopeless {
			// Work that can no longer be in time would make the next late too.
			b.log("hopeless", "job %d refused: it can no longer be in time", j.ID)
			b.answer(j)
			continue
		}
		w := b.pick(j, false)
		if w == nil && b.now >= b.nextTry && b.now >= j.hold {
			w = b.pick(j, true)
		}
		if w == nil {
			if !j.bound() && j.Slots <= 1 && b.now >= j.hold {
				return
			}
			// Held back by its group or size: others may pass, but not into the
			// worker that is next to fit it, or a large job would wait for ever.
			if j.Slots > 1 {
				b.keep(j)
			}
			i++
			continue
		}
		b.queue = slices.Delete(b.queue, i, i+1)
		j.queued = false
		b.send(j, w)
	}
}

// probeOne asks the worker not asked for longest.
func (b *Balancer) probeOne() {
	var best *worker
	for _, w := range b.workers {
		if w.Condition == Serving && !w.probing && (best == nil || w.probed < best.probed) {
			best = w
		}
	}
	if best != nil && b.now-best.probed > 20*b.s.Tick {
		best.probing, best.probed = true, b.now
		b.host.Probe(best.ID)
	}
}

// scout asks a few workers by lot about their room or, where they may not be asked, a few
// dispatchers for a sign of room, so that a job need not be sent blindly.
func (b *Balancer) scout(j *job) {
	for range min(len(b.workers), scouted) {
		if !j.queued || len(b.queue) > 4 {
			return
		}
		if !b.s.Probes {
			b.host.Tell((b.s.Position+1+b.rng.IntN(b.s.Fleet-1))%b.s.Fleet, []byte{askMessage})
			b.host.Tell((b.s.Position+1+b.rng.IntN(b.s.Fleet-1))%b.s.Fleet, []byte{askMessage})
			continue
		}
		w := b.workers[b.rng.IntN(len(b.workers))]
		if w.Condition == Serving && !w.probing && b.now-w.probed > 10*b.s.Tick && b.now >= w.held {
			w.probing, w.probed = true, b.now
			b.host.Probe(w.ID)
		}
	}
}

// Probed takes the answer to a probe.
func (b *Balancer) Probed(now time.Duration, id WorkerID, st Status, _ time.Duration, r Report) {
	b.now = now
	w := b.byID[id]
	if w == nil {
		return
	}
	w.probing = false
	if st == StatusUnreachable || st == StatusReset {
		b.lost(w)
	}
	if st == StatusTimeout { // it waits like a job: no slot is free
		b.full(w)
	}
	if st == StatusOK {
		b.report(w, r)
		b.schedule()
	}
}

// arm sets one timer for the next instant at which time alone changes something.
func (b *Balancer) arm() {
	at := b.nextEnd
	soon := func(t time.Duration) {
		if t > b.now {
			at = min(at, t)
		}
	}
	if b.askAgain > 0 {
		soon(b.askAgain)
	}
	if len(b.dirty) > 0 {
		soon(b.tellAt)
	}
	if b.s.Peers && b.s.Progress == 0 && len(b.running) > 0 {
		soon(b.beatAt + beat) // with no notes to wake it, long work would pass for a dead peer's
	}
	for _, j := range b.queue[:min(len(b.queue), lookahead)] {
		soon(j.hold)
	}
	for _, a := range b.starting {
		if !a.stuck {
			soon(a.sent + b.startBound(a))
		} else if b.crowd {
			soon(b.now + seconds(b.meanRun()/8))
		}
	}
	if len(b.queue) > 0 {
		soon(b.now + seconds(b.meanRun()/8))
		soon(b.nextTry)
		if !b.crowd {
			for _, w := range b.workers {
				soon(w.held)
				soon(w.nextTry)
			}
		}
	}
	if at < b.armed && at < math.MaxInt64 {
		b.armed = at
		b.token++
		b.host.Wake(max(at-b.now, b.s.Tick), b.token)
	}
}
