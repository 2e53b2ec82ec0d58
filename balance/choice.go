package balance

import (
	"math"
	"slices"
	"time"
)

// open tells whether a worker takes ordinary work: one that is not held back.
func (b *Balancer) open(w *worker) bool {
	return w.State == Serving && (b.now >= w.held || b.doubt)
}

// weigh tells whether nearly all workers look bad: the doubt then falls on a common
// cause, and dispatch goes on as if none did.
func (b *Balancer) weigh() {
	if b.doubt = false; b.now >= b.heldMost {
		return
	}
	bad, all := 0, 0
	for _, w := range b.workers {
		if w.State == Serving {
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
	if b.s.TracksMemory && b.estimate(w)-w.usedMem-w.otherMem < j.Memory {
		return false
	}
	if b.largeFleet {
		blind := b.stuckJobs < b.window && b.now >= j.hold // those asked have answered by now
		blind = blind || b.isCold(w)                       // its room in our turn is ours
		return b.estimate(w)-w.used >= j.Slots && (blind || w.sign != signNone && b.odds(w) >= 0.5)
	}
	return b.room(w) >= j.Slots
}

// grantSlot hands the best sign of room to a dispatcher that asks for one. A sign is one slot, so
// it is ours no more.
func (b *Balancer) grantSlot(to int) {
	var best *worker
	for _, w := range b.fresh {
		if w != nil && w.sign != signNone && b.open(w) && (best == nil || b.odds(w) > b.odds(best)) {
			best = w
		}
	}
	if best != nil && b.odds(best) >= 0.5 && len(b.queue) == 0 {
		best.sure, best.sureAt, best.sign = 0, b.now, signNone
		id := best.ID
		b.host.SendToPeer(to, []byte{slotMessage, byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id), 0})
	}
}

// candidates are the workers to choose from: all of a small fleet; of a large one those
// with fresh evidence, cold ones, and some by lot, so that many dispatchers that see
// alike do not choose alike, and a choice costs the same in every fleet.
func (b *Balancer) candidates() []*worker {
	if !b.largeFleet || len(b.workers) <= looked {
		return b.workers
	}
	b.chosen = append(b.chosen[:0], b.ownTurns()...)
	for _, w := range b.fresh {
		if w != nil && w.State == Serving && !slices.Contains(b.chosen, w) {
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
			cost += 2*b.lagOf(w) + crossing*b.s.CrossZonePrice*b.sizeOf(j)
		}
		if b.largeFleet {
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
	if b.s.ReportsStart {
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
		b.shares.CountFirstSend()
	}
	b.host.Send(j.ID, w.ID, 0)
	b.mark(w)
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

// probeOne asks the worker not asked for longest.
func (b *Balancer) probeOne() {
	var best *worker
	for _, w := range b.workers {
		if w.State == Serving && !w.probing && (best == nil || w.probed < best.probed) {
			best = w
		}
	}
	if best != nil && b.now-best.probed > 20*b.s.Tick {
		best.probing, best.probed = true, b.now
		b.host.Probe(best.ID)
	}
}

// probeSome asks a few workers by lot about their room or, where they may not be asked, a few
// dispatchers for a sign of room, so that a job need not be sent blindly.
func (b *Balancer) probeSome(j *job) {
	for range min(len(b.workers), probesPerRequest) {
		if !j.queued || len(b.queue) > 4 {
			return
		}
		if !b.s.AllowProbes {
			b.host.SendToPeer((b.s.Position+1+b.rng.IntN(b.s.FleetSize-1))%b.s.FleetSize, []byte{askMessage})
			b.host.SendToPeer((b.s.Position+1+b.rng.IntN(b.s.FleetSize-1))%b.s.FleetSize, []byte{askMessage})
			continue
		}
		w := b.workers[b.rng.IntN(len(b.workers))]
		if w.State == Serving && !w.probing && b.now-w.probed > 10*b.s.Tick && b.now >= w.held {
			w.probing, w.probed = true, b.now
			b.host.Probe(w.ID)
		}
	}
}

// ProbeDone takes the answer to a probe.
func (b *Balancer) ProbeDone(now time.Duration, id WorkerID, st Status, _ time.Duration, r LoadReport) {
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
