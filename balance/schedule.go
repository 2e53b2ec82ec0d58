package balance

import (
	"math"
	"slices"
	"time"
)

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

// drain sends the queue's heads while there is room.
func (b *Balancer) drain() {
	b.kept = b.kept[:0]
	for i := 0; i < min(len(b.queue), lookahead); {
		j := b.queue[i]
		if j.c.LateWorth == 0 && b.chance(j, 0) < minChance {
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
	if b.s.AllowPeerMessages && b.s.ProgressInterval == 0 && len(b.running) > 0 {
		soon(b.heartbeatAt + heartbeatInterval) // long work would pass for a dead peer's
	}
	for _, j := range b.queue[:min(len(b.queue), lookahead)] {
		soon(j.hold)
	}
	for _, a := range b.starting {
		if !a.stuck {
			soon(a.sent + b.startBound(a))
		} else if b.largeFleet {
			soon(b.now + seconds(b.meanRun()/8))
		}
	}
	if len(b.queue) > 0 {
		soon(b.now + seconds(b.meanRun()/8))
		soon(b.nextTry)
		if !b.largeFleet {
			for _, w := range b.workers {
				soon(w.held)
				soon(w.nextTry)
			}
		}
	}
	if at < b.armed && at < math.MaxInt64 {
		b.armed = at
		b.token++
		b.host.SetTimer(max(at-b.now, b.s.Tick), b.token)
	}
}
