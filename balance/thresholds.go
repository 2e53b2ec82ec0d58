package balance

import (
	"math"
	"slices"
)

// setLimits finds each pair's threshold anew.
func (b *Balancer) setLimits(hinted bool) {
	sizes := []float64{1}
	if !hinted { // the job's size is the copies' common factor (the paper's footnote 1)
		sizes = sizes[:0]
		for q := -1.5; q <= 1.6; q++ {
			sizes = append(sizes, math.Exp(q*math.Sqrt(b.classes[0].logVar)))
		}
	}
	windows := make([][]float64, len(b.kinds))
	for u := range b.kinds {
		windows[u] = slices.Clone(b.kinds[u].window)
	}
	for _, j := range b.running { // unfinished work is a sample too, or stragglers would not show
		a := j.attempts[len(j.attempts)-1]
		size := b.sizeOf(j)
		if j.ExpectedWork <= 0 { // only what is too long for a large job can be the worker's doing
			size = math.Exp(j.c.logMean + 2*math.Sqrt(j.c.logVar))
		}
		if x := (b.now - a.begun).Seconds() / size; !a.done && a.started && x > b.slow(a.w) {
			windows[a.w.Kind] = append(windows[a.w.Kind], x)
		}
	}
	for u := range windows {
		windows[u] = thin(windows[u])
	}
	for u := range b.kinds {
		for i := range u + 1 {
			b.kinds[u].limit[i], b.kinds[i].limit[u] = math.Inf(1), math.Inf(1)
			if len(windows[u]) >= thinned && len(windows[i]) >= thinned {
				out, back := CopyThresholds(windows[u], windows[i], sizes, b.lag)
				b.kinds[u].limit[i], b.kinds[i].limit[u] = out, back
			}
		}
	}
}

// CopyThresholds returns the elapsed times after which a job begun on a worker of the
// first kind (samples x1) is copied to one of the second (x2), and the reverse.
// Each is the best with the other at infinity, equation (27) of the paper; both
// stay finite only if equation (23) then promises more than either alone.
func CopyThresholds(x1, x2, sizes []float64, window float64) (out, back float64) {
	out, r1 := threshold(x1, x2, sizes, window)
	back, r2 := threshold(x2, x1, sizes, window)
	both := bothRate(x1, x2, sizes, window, out, back)
	if math.IsInf(out, 1) || math.IsInf(back, 1) || both >= max(r1, r2) {
		return out, back
	}
	if r1 >= r2 {
		return out, math.Inf(1)
	}
	return math.Inf(1), back
}

// threshold tries times at which work was seen to end, and infinity, which means
// never.
func threshold(from, to, sizes []float64, window float64) (best, rate float64) {
	best, rate = math.Inf(1), soloRate(from, to, sizes, window, math.Inf(1))
	for _, x := range from {
		if r := soloRate(from, to, sizes, window, x); r > rate*(1+1e-9) {
			best, rate = x, r
		}
	}
	return best, rate
}

// thin returns evenly spaced quantiles of a window; a short one it leaves alone.
func thin(window []float64) []float64 {
	slices.Sort(window)
	if len(window) <= thinned {
		return window
	}
	out := make([]float64, thinned)
	for i := range out {
		out[i] = window[i*(len(window)-1)/(thinned-1)]
	}
	return out
}

// spans returns E[min(X, t)] and Pr(X > t)(window + E[min(O, X-t | X > t)]) for a
// job that runs X = size x from and whose copy runs O = size x to: the two parts
// of the paper's equation (28).
func spans(from, to, sizes []float64, window, t float64) (head, tail float64) {
	for _, y := range sizes {
		for _, x := range from {
			head += min(y*x, t)
			if y*x <= t {
				continue
			}
			tail += window
			for _, o := range to {
				tail += min(y*o, y*x-t) / float64(len(to))
			}
		}
	}
	n := float64(len(sizes) * len(from))
	return head / n, tail / n
}

// soloRate is the throughput R(t) of a pair of workers when only jobs of the first
// are copied, after t: equation (27).
func soloRate(from, to, sizes []float64, window, t float64) float64 {
	head, tail := spans(from, to, sizes, window, t)
	return head/(head+tail)/(mean(to)*mean(sizes)) + 1/(head+tail)
}

// bothRate is the throughput with both thresholds finite: equations (23) to (25).
func bothRate(x1, x2, sizes []float64, window, t1, t2 float64) float64 {
	head1, tail1 := spans(x1, x2, sizes, window, t1)
	head2, tail2 := spans(x2, x1, sizes, window, t2)
	return (head1 + head2) / (head1 * head2 * (1 + tail1/head1 + tail2/head2))
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}
