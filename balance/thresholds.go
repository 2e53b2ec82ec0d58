package balance

import (
	"math"
	"slices"
)

// This file holds the copy thresholds of AdaRep.

// Number of quantiles that represent the samples of a kind in the search for thresholds.
const thresholdQuantiles = 12

// updateThresholds computes the copy threshold for each pair of worker kinds from the samples. workKnown is
// true if jobs arrive with an expected work.
func (b *Balancer) updateThresholds(workKnown bool) {
	sizes := []float64{1}
	if !workKnown { // the work is a common factor of a job's copies (the paper's footnote 1)
		sizes = sizes[:0]
		for q := -1.5; q <= 1.6; q++ {
			sizes = append(sizes, math.Exp(q*math.Sqrt(b.classes[0].logWorkVar)))
		}
	}
	samples := b.samplesByKind()
	for u := range b.kinds {
		for i := range u + 1 {
			forward, reverse := math.Inf(1), math.Inf(1)
			if len(samples[u]) >= thresholdQuantiles && len(samples[i]) >= thresholdQuantiles {
				forward, reverse = CopyThresholds(samples[u], samples[i], sizes, b.fleetStartLag)
			}
			b.kinds[u].copyThresholds[i], b.kinds[i].copyThresholds[u] = forward, reverse
		}
	}
}

// samplesByKind returns the quantiles of the slowness samples of each kind of worker.
func (b *Balancer) samplesByKind() [][]float64 {
	samples := make([][]float64, len(b.kinds))
	for u := range b.kinds {
		samples[u] = slices.Clone(b.kinds[u].samples)
	}
	for _, j := range b.running { // include running jobs, or stragglers would not show
		a := j.attempts[len(j.attempts)-1]
		work := b.expectedWork(j)
		if j.ExpectedWork <= 0 { // only a run too long even for a large job can be attributed to the worker
			work = math.Exp(j.class.logWorkMean + 2*math.Sqrt(j.class.logWorkVar))
		}
		slowness := (b.now - a.startedAt).Seconds() / work
		if !a.done && a.started && slowness > b.slowness(a.worker) {
			samples[a.worker.Kind] = append(samples[a.worker.Kind], slowness)
		}
	}
	for u := range samples {
		samples[u] = quantiles(samples[u])
	}
	return samples
}

// CopyThresholds returns the elapsed time after which a job that runs on a worker of the first kind, with
// samples x1, is copied to one of the second kind, with samples x2, and the time for the reverse direction.
// lag is the time from the send of a copy to its start. Each threshold is the best one while the other is
// infinite, by equation (27) of the paper. Both are finite only if equation (23) then promises at least the
// throughput of either alone.
func CopyThresholds(x1, x2, sizes []float64, lag float64) (forward, reverse float64) {
	forward, forwardRate := bestThreshold(x1, x2, sizes, lag)
	reverse, reverseRate := bestThreshold(x2, x1, sizes, lag)
	bothRate := twoWayThroughput(x1, x2, sizes, lag, forward, reverse)
	if math.IsInf(forward, 1) || math.IsInf(reverse, 1) || bothRate >= max(forwardRate, reverseRate) {
		return forward, reverse
	}
	if forwardRate >= reverseRate {
		return forward, math.Inf(1)
	}
	return math.Inf(1), reverse
}

// bestThreshold returns the threshold with the highest throughput among the times of the samples and
// infinity, which means never to copy. It also returns that throughput.
func bestThreshold(from, to, sizes []float64, lag float64) (best, rate float64) {
	best, rate = math.Inf(1), oneWayThroughput(from, to, sizes, lag, math.Inf(1))
	for _, t := range from {
		if r := oneWayThroughput(from, to, sizes, lag, t); r > rate*(1+1e-9) {
			best, rate = t, r
		}
	}
	return best, rate
}

// quantiles sorts the samples and returns evenly spaced quantiles, or all samples if there are few.
func quantiles(samples []float64) []float64 {
	slices.Sort(samples)
	if len(samples) <= thresholdQuantiles {
		return samples
	}
	out := make([]float64, thresholdQuantiles)
	for i := range out {
		out[i] = samples[i*(len(samples)-1)/(thresholdQuantiles-1)]
	}
	return out
}

// expectedSpans returns E[min(X, t)] and Pr(X > t)(lag + E[min(O, X-t | X > t)]) for a job that runs for
// X = size * from and whose copy runs for O = size * to. These are the two parts of the paper's equation
// (28).
func expectedSpans(from, to, sizes []float64, lag, t float64) (head, tail float64) {
	for _, size := range sizes {
		for _, x := range from {
			head += min(size*x, t)
			if size*x <= t {
				continue
			}
			tail += lag
			for _, o := range to {
				tail += min(size*o, size*x-t) / float64(len(to))
			}
		}
	}
	n := float64(len(sizes) * len(from))
	return head / n, tail / n
}

// oneWayThroughput returns the throughput R(t) of a pair of workers when only jobs of the first are copied,
// after t: equation (27).
func oneWayThroughput(from, to, sizes []float64, lag, t float64) float64 {
	head, tail := expectedSpans(from, to, sizes, lag, t)
	return head/(head+tail)/(mean(to)*mean(sizes)) + 1/(head+tail)
}

// twoWayThroughput returns the throughput with both thresholds finite: equations (23) to (25).
func twoWayThroughput(x1, x2, sizes []float64, lag, t1, t2 float64) float64 {
	head1, tail1 := expectedSpans(x1, x2, sizes, lag, t1)
	head2, tail2 := expectedSpans(x2, x1, sizes, lag, t2)
	return (head1 + head2) / (head1 * head2 * (1 + tail1/head1 + tail2/head2))
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
