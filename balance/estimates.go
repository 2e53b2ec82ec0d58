package balance

import (
	"math"
	"time"
)

// This file holds the estimates of the work of jobs, the speed and size of workers and the probability
// that a job finishes in time.

// recordRun updates the estimates from a job that ran for run seconds or, as its progress predicts, will.
func (b *Balancer) recordRun(j *job, a *attempt, run float64) {
	if a.sampled || run <= 0 {
		return
	}
	a.sampled = true
	w := a.worker
	slowness := b.slowness(w) // before this run
	logRatio := math.Log(run / (slowness * b.expectedWork(j)))
	if a.keyKnown {
		b.knownKeyLogRatio += (logRatio - b.knownKeyLogRatio) / 16
	} else if j.Key != "" {
		b.newKeyLogRatio += (logRatio - b.newKeyLogRatio) / 16
	}
	b.recordSlowness(j, w, run)
	j.class.recordWork(run / slowness)
	sample := run / b.expectedWork(j)
	if j.ExpectedWork <= 0 {
		sample = slowness
	}
	b.kinds[w.Kind].addSample(sample)
	b.runsRecorded++
	if b.runsRecorded%64 == 0 {
		b.updateThresholds(j.ExpectedWork > 0)
	}
}

// recordSlowness updates the slowness of a worker, of its kind and of the fleet from a run.
func (b *Balancer) recordSlowness(j *job, w *worker, run float64) {
	weight := 0.3
	logSlowness := math.Log(run) - j.class.logWorkMean
	if j.ExpectedWork > 0 {
		weight, logSlowness = 1, math.Log(run/j.ExpectedWork.Seconds())
	}
	fade := math.Exp2(-float64(b.now-w.sampledAt) / float64(speedHalfLife))
	w.logSlownessSum = w.logSlownessSum*fade + logSlowness*weight
	w.logSlownessWeight = w.logSlownessWeight*fade + weight
	w.sampledAt = b.now
	w.slownessValidUntil = 0
	k := &b.kinds[w.Kind]
	k.logSlownessSum = k.logSlownessSum*0.99 + logSlowness*weight
	k.logSlownessWeight = k.logSlownessWeight*0.99 + weight
	b.fleetSlowness += (b.slowness(w) - b.fleetSlowness) / 16
}

// recordWork updates the mean and the log-normal distribution of the work of the class, in seconds at
// slowness 1.
func (c *class) recordWork(work float64) {
	c.samples++
	gain := max(0.002, 1/(c.samples+2))
	deviation := math.Log(work) - c.logWorkMean
	c.logWorkMean += gain * deviation
	c.logWorkVar += gain * (deviation*deviation - c.logWorkVar)
	c.meanWork += gain * (work - c.meanWork)
}

// addSample adds a sample of the slowness, in place of the oldest one if there are maxSamples.
func (k *workerKind) addSample(slowness float64) {
	if len(k.samples) < maxSamples {
		k.samples = append(k.samples, slowness)
	} else {
		k.samples[k.nextSample%maxSamples] = slowness
	}
	k.nextSample++
}

// slowness returns a worker's run time relative to the fleet: the geometric mean of its own samples, pulled
// towards that of its kind while they are few. A sample without an expected work mostly reflects the size
// of the job, so it has less weight.
func (b *Balancer) slowness(w *worker) float64 {
	if b.now >= w.slownessValidUntil {
		k := &b.kinds[w.Kind]
		sum := w.logSlownessSum + 3*k.logSlownessSum/(k.logSlownessWeight+2)
		w.lastSlowness = math.Exp(sum / (w.logSlownessWeight + 3))
		w.slownessValidUntil = b.now + time.Second
	}
	return w.lastSlowness
}

// estimatedSlots returns the size of a worker: the observed size, or the mean of its kind, or, for a kind
// without observations, its weight times the mean slots per weight of the other workers.
func (b *Balancer) estimatedSlots(w *worker) float64 {
	kindMean := b.kinds[w.Kind].meanSlots
	switch {
	case b.largeFleet && !b.settings.IgnoreWeights && w.Weight >= 1:
		// One of many dispatchers has too few jobs at a worker to observe its size. What it
		// observes is only a lower bound, which made every worker look like one slot. The
		// weight in the membership list gives the size.
		return max(w.slots, math.Round(w.Weight))
	case w.slots > 0:
		return w.slots
	case kindMean > 0 || b.settings.IgnoreWeights:
		return max(1, kindMean)
	}
	return max(1, math.Floor(b.slotsPerWeight*w.Weight))
}

// setSlots records the observed size of a worker and updates the means that depend on it.
func (b *Balancer) setSlots(w *worker, slots float64) {
	slots = max(1, slots)
	if slots == w.slots {
		return
	}
	w.slots = slots
	// In a large fleet, visiting all workers for each change costs too much CPU.
	if b.largeFleet && b.now < b.nextMeanSlots {
		return
	}
	b.nextMeanSlots = b.now + time.Second
	kindSlots, kindWorkers, allSlots, allWeight := 0.0, 0.0, 0.0, 0.0
	for _, other := range b.workers {
		if other.slots <= 0 {
			continue
		}
		allSlots += other.slots
		allWeight += other.Weight
		if other.Kind == w.Kind {
			kindSlots += other.slots
			kindWorkers++
		}
	}
	b.kinds[w.Kind].meanSlots = math.Floor(kindSlots / kindWorkers)
	if allWeight > 0 {
		b.slotsPerWeight = allSlots / allWeight
	}
}

// applyReport updates a worker from its load report. The jobs that it reports beyond this dispatcher's own
// belong to other dispatchers. Reports are noisy, so the size is the mean of the reported sizes: the
// maximum would grow beyond the real size. A worker that reports no free slot counts as full whatever
// number of jobs it reports: in a full fleet the noise would otherwise lead every dispatcher to a slot that
// does not exist.
func (b *Balancer) applyReport(w *worker, report LoadReport) {
	if report.FreeSlots < 0 {
		return
	}
	if b.largeFleet {
		switch {
		case report.FreeSlots > 1.5:
			b.addEvidence(w, evidenceManyFree)
		case report.FreeSlots > 0.5:
			b.addEvidence(w, evidenceOneFree)
		default:
			w.setEvidence(noEvidence, 0, b.now)
		}
	}
	if report.InFlight >= 0 {
		if report.FreeSlots > 0.5 {
			w.reportCount = min(w.reportCount+1, maxSamples)
			w.meanReported += (report.FreeSlots + report.InFlight - w.meanReported) / w.reportCount
			b.setSlots(w, max(w.runningSlots, math.Round(w.meanReported)))
		}
		used := min(math.Round(report.InFlight), w.slots)
		if report.FreeSlots < 0.5 {
			used = w.slots
		}
		w.otherSlots = max(0, used-w.usedSlots)
	} else {
		b.setSlots(w, max(w.slots, math.Round(report.FreeSlots)))
	}
	if report.FreeMemory >= 0 {
		w.otherMemory = max(0, w.slots-report.FreeMemory-w.usedMemory)
	}
}

// startTimeout returns how long the start of an attempt may take at a worker with room. It depends on the
// shortest time seen, so that waits in the worker's queue do not extend it. In a large fleet, jobs of other
// dispatchers are always ahead of some attempts. There, half of the class's target is allowed: otherwise
// every dispatcher would copy jobs that are merely queued, and the copies would fill every queue.
func (b *Balancer) startTimeout(a *attempt) time.Duration {
	timeout := toDuration(3*b.startLag(a.worker)) + 3*b.settings.Tick
	if b.largeFleet {
		return max(timeout, time.Duration(float64(a.job.class.Target)*0.5))
	}
	return timeout
}

// startLag returns the shortest recent time between a send to a worker and the start, in seconds. In a large
// fleet a dispatcher sends to each worker too rarely to know more than the value of the worker's group.
func (b *Balancer) startLag(w *worker) float64 {
	if b.largeFleet {
		return w.group.startLag
	}
	return w.startLag
}

// freeSlots returns the estimated number of free slots of a worker.
func (b *Balancer) freeSlots(w *worker) float64 {
	return b.estimatedSlots(w) - w.usedSlots - max(w.otherSlots, w.peerSlots)
}

// meanRun returns the mean run time of a job over all classes, in seconds.
func (b *Balancer) meanRun() float64 {
	sum, n := 0.0, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		sum += c.meanWork * (c.samples + 1)
		n = n + c.samples + 1
	}
	return sum / n
}

// expectedWork returns the work of a job in seconds at slowness 1.
func (b *Balancer) expectedWork(j *job) float64 {
	if j.ExpectedWork > 0 {
		return j.ExpectedWork.Seconds()
	}
	return j.class.meanWork
}

// onTimeProbability returns how likely it is that a job is answered in time if it is sent after a further
// wait, in seconds. The work of a job without an expected work has a log-normal distribution.
func (b *Balancer) onTimeProbability(j *job, wait float64) float64 {
	// The job is in time if late <= gain * work: each second of work adds Stretch to the allowed time and the
	// fleet's slowness to the time taken.
	late := (b.now - j.arrivedAt).Seconds() + wait - j.class.Target.Seconds()
	gain := j.class.Stretch - b.fleetSlowness
	switch {
	case j.ExpectedWork > 0 && late > gain*j.ExpectedWork.Seconds():
		return 0
	case j.ExpectedWork > 0 || late <= 0 && gain >= 0:
		return 1
	case late > 0 && gain <= 0:
		return 0
	}
	z := (math.Log(late/gain) - j.class.logWorkMean) / math.Sqrt(2*j.class.logWorkVar+1e-9)
	if gain < 0 { // the fleet is slower than the targets allow: only short jobs are in time
		z = -z
	}
	return 0.5 * math.Erfc(z)
}
