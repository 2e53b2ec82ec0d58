package balance

import (
	"math"
	"slices"
	"time"
)

// This file measures: sizes, speeds, slots, and the paper's throughput.

const (
	thinned = 12  // samples that stand for a window when thresholds are sought
	hopeful = 0.8 // share of sends that are taken to find a free slot before any did
)

// sample learns from a job that took, or by its progress will take, run seconds.
func (b *Balancer) sample(j *job, a *attempt, run float64) {
	if a.sampled || run <= 0 {
		return
	}
	a.sampled = true
	w, k := a.w, &b.kinds[a.w.Kind]
	slow := b.slow(w)
	if surprise := math.Log(run / (slow * b.sizeOf(j))); a.keyed {
		b.keyHit += (surprise - b.keyHit) / 16
	} else if j.Key != "" {
		b.keyMiss += (surprise - b.keyMiss) / 16
	}
	weight := 0.3
	x := math.Log(run) - j.c.logMean
	if j.ExpectedWork > 0 {
		weight, x = 1, math.Log(run/j.ExpectedWork.Seconds())
	}
	fade := math.Exp2(-float64(b.now-w.sized) / float64(memory))
	w.size, w.count, w.sized = w.size*fade+x*weight, w.count*fade+weight, b.now
	k.sum, k.n = k.sum*0.99+x*weight, k.n*0.99+weight
	w.slowUntil = 0
	b.pace += (b.slow(w) - b.pace) / 16
	c := j.c
	c.n++
	gain := max(0.002, 1/(c.n+2))
	d := math.Log(run/slow) - c.logMean
	c.logMean += gain * d
	c.logVar += gain * (d*d - c.logVar)
	c.mean += gain * (run/slow - c.mean)
	s := run / b.sizeOf(j)
	if j.ExpectedWork <= 0 {
		s = slow
	}
	if len(k.window) < windowLen {
		k.window = append(k.window, s)
	} else {
		k.window[k.next%windowLen] = s
	}
	k.next++
	if b.learned++; b.learned%64 == 0 {
		b.setLimits(j.ExpectedWork > 0)
	}
}

// slow is a worker's measured slowness: its own samples, drawn towards those of
// its kind while they are few. Without hints a sample is mostly the job's size.
func (b *Balancer) slow(w *worker) float64 {
	if b.now >= w.slowUntil {
		k := &b.kinds[w.Kind]
		w.slowness = math.Exp((w.size + 3*k.sum/(k.n+2)) / (w.count + 3))
		w.slowUntil = b.now + time.Second
	}
	return w.slowness
}

// estimate is the size of a worker: what was seen of it, or the mean of its kind, or,
// of a kind not met yet, the others' mean by the stated weight.
func (b *Balancer) estimate(w *worker) float64 {
	switch k := b.kinds[w.Kind].slots; {
	case b.largeFleet && !b.s.IgnoreWeights && w.Weight >= 1:
		// One of many holds too few jobs at any worker to see its size: its own there are a
		// floor, and took every worker for one slot. The list's weight tells the size.
		return max(w.slots, math.Round(w.Weight))
	case w.slots > 0:
		return w.slots
	case k > 0 || b.s.IgnoreWeights:
		return max(1, k)
	}
	return max(1, math.Floor(b.slotsByWeight*w.Weight))
}

func (b *Balancer) setSlots(w *worker, slots float64) {
	slots = max(1, slots)
	if slots == w.slots {
		return
	}
	w.slots = slots
	if b.largeFleet && b.now < b.sizedAt { // a look at each of a large fleet, for every slot found, costs CPU
		return
	}
	b.sizedAt = b.now + time.Second
	sum, n, all, weight := 0.0, 0.0, 0.0, 0.0
	for _, o := range b.workers {
		if o.slots > 0 {
			all, weight = all+o.slots, weight+o.Weight
			if o.Kind == w.Kind {
				sum, n = sum+o.slots, n+1
			}
		}
	}
	b.kinds[w.Kind].slots = math.Floor(sum / n)
	if weight > 0 {
		b.slotsByWeight = all / weight
	}
}

// report takes a worker's load report: what it holds beyond our own is others'.
// Reports are noisy. The most ever reported would grow slots that are not there, so
// their mean counts; and a worker that tells of no free slot has none, whatever its
// count of held jobs says: a full fleet's noise would draw every dispatcher to a slot
// that does not exist.
func (b *Balancer) report(w *worker, r LoadReport) {
	if r.FreeSlots < 0 {
		return
	}
	if b.largeFleet {
		switch {
		case r.FreeSlots > 1.5:
			b.freed(w, signMany)
		case r.FreeSlots > 0.5:
			b.freed(w, signOne)
		default:
			w.sure, w.sureAt, w.sign = 0, b.now, signNone
		}
	}
	if r.InFlight >= 0 {
		if r.FreeSlots > 0.5 {
			w.reports = min(w.reports+1, windowLen)
			w.reported += (r.FreeSlots + r.InFlight - w.reported) / w.reports
			b.setSlots(w, max(w.running, math.Round(w.reported)))
		}
		held := min(math.Round(r.InFlight), w.slots)
		if r.FreeSlots < 0.5 {
			held = w.slots
		}
		w.others = max(0, held-w.used)
	} else {
		b.setSlots(w, max(w.slots, math.Round(r.FreeSlots)))
	}
	if r.FreeMemory >= 0 {
		w.otherMem = max(0, w.slots-r.FreeMemory-w.usedMem)
	}
}

func (b *Balancer) isCold(w *worker) bool { return w.StartedAt > 0 && b.now-w.StartedAt < b.s.WarmUp }

// odds is how likely a job sent to a worker now starts at once, where most slots are in
// unseen hands: the last evidence, which fades to what is usual for its kind.
func (b *Balancer) odds(w *worker) float64 {
	usual := w.group.usual
	if b.isCold(w) {
		return 1 // in its turn at a cold worker a dispatcher is alone
	}
	age := float64(b.now-w.sureAt) / 1e9 / b.meanRun()
	if age > 6 {
		return usual
	}
	return usual + (w.sure-usual)*math.Exp(-age)
}

// found learns from an attempt what the sign that it went by, or none, is worth.
func (b *Balancer) found(a *attempt, x float64) {
	if a.sign != signNone {
		b.trust[a.sign] += (x - b.trust[a.sign]) / 8
	} else {
		a.w.group.usual += (x - a.w.group.usual) / 8
	}
}

// freed notes a sign of room at a worker.
func (b *Balancer) freed(w *worker, sign int) {
	w.sure, w.sureAt, w.sign = b.trust[sign], b.now, sign
	if !slices.Contains(b.fresh[:], w) {
		b.fresh[b.nextFresh%len(b.fresh)] = w
		b.nextFresh++
	}
}

// chance is the likelihood that a job sent after a further wait is answered in time.
func (b *Balancer) chance(j *job, wait float64) float64 {
	late := (b.now - j.born).Seconds() + wait - j.c.Target.Seconds()
	gain := j.c.Stretch - b.pace
	switch {
	case j.ExpectedWork > 0 && late > gain*j.ExpectedWork.Seconds():
		return 0
	case j.ExpectedWork > 0 || late <= 0 && gain >= 0:
		return 1
	case late > 0 && gain <= 0:
		return 0
	}
	z := (math.Log(late/gain) - j.c.logMean) / math.Sqrt(2*j.c.logVar+1e-9)
	if gain < 0 { // the fleet is slower than the aims allow: only small jobs are in time
		z = -z
	}
	return 0.5 * math.Erfc(z)
}

// density is what waiting on would lose with a job, for each second of a slot: a
// late answer's worth is left out, as it does not fall with time.
func (b *Balancer) density(j *job, wait float64) float64 {
	v := (j.worth*(1-j.c.LateWorth) + b.boost(j.c)) * b.chance(j, wait)
	if b.s.WorthByWork {
		return v
	}
	return v / b.sizeOf(j)
}

// boost is the further worth of a job of the class served worst so far, where the
// goal counts that class: shedding by density alone would starve one class.
func (b *Balancer) boost(c *class) float64 {
	if b.s.TotalWeight <= 0 || c.ended <= 0 {
		return 0
	}
	total := 0.0
	for i := range b.classes {
		o := &b.classes[i]
		if o.ended > 0 && o.inTime/o.ended < c.inTime/c.ended {
			return 0
		}
		total += o.ended * o.Worth
	}
	return b.s.WorstClassWeight / b.s.TotalWeight * total / c.ended
}

// startBound is how long the word of a start may take at a worker with room. It
// follows the least time seen: waits in the worker's queue must not stretch it. In a
// crowd, others' jobs are always ahead of some of ours: a wait that leaves the job its
// aim is none, or every dispatcher copies a job that merely queues, and all together
// fill every queue with copies.
func (b *Balancer) startBound(a *attempt) time.Duration {
	least := seconds(3*b.lagOf(a.w)) + 3*b.s.Tick
	if b.largeFleet {
		return max(least, time.Duration(float64(a.j.c.Target)*0.5))
	}
	return least
}

// lagOf is the least lag of a worker's starts, in seconds; a large fleet meets each worker too
// seldom to know more than its group's.
func (b *Balancer) lagOf(w *worker) float64 {
	if b.largeFleet {
		return w.group.lag
	}
	return w.lag
}

// room is how many slots of a worker this dispatcher takes for free.
func (b *Balancer) room(w *worker) float64 {
	return b.estimate(w) - w.used - max(w.others, w.peerHeld)
}

// meanRun is the mean run of a job over the classes seen, in seconds.
func (b *Balancer) meanRun() float64 {
	sum, n := 0.0, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		sum, n = sum+c.mean*(c.n+1), n+c.n+1
	}
	return sum / n
}

// sizeOf is the work of a job in seconds at slowness 1.
func (b *Balancer) sizeOf(j *job) float64 {
	if j.ExpectedWork > 0 {
		return j.ExpectedWork.Seconds()
	}
	return j.c.mean
}

// weight is what a job counts for in its class's share.
func (b *Balancer) weight(j *job) float64 {
	if b.s.WorthByWork {
		return b.sizeOf(j)
	}
	return 1
}
