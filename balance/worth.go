package balance

// This file holds the worth of jobs.

// worthDensity returns the worth that would be lost with a job, per second of a slot. The worth that a late
// answer still has is left out, since waiting does not reduce it.
func (b *Balancer) worthDensity(j *job, wait float64) float64 {
	worth := (j.worth*(1-j.class.LateWorth) + b.worstClassBonus(j.class)) * b.onTimeProbability(j, wait)
	if b.settings.WorthByWork { // the worth is per second of work already
		return worth
	}
	return worth / b.expectedWork(j)
}

// worstClassBonus returns the additional worth of a job of the class that has been served worst so far, if
// the goal counts that class. Shedding by worthDensity alone would starve one class.
func (b *Balancer) worstClassBonus(c *class) float64 {
	if b.settings.TotalWeight <= 0 || c.endedWeight <= 0 {
		return 0
	}
	total := 0.0
	for i := range b.classes {
		other := &b.classes[i]
		if other.endedWeight > 0 && other.onTimeWeight/other.endedWeight < c.onTimeWeight/c.endedWeight {
			return 0
		}
		total += other.endedWeight * other.Worth
	}
	return b.settings.WorstClassWeight / b.settings.TotalWeight * total / c.endedWeight
}

// countWeight returns the weight of a job in the statistics of its class.
func (b *Balancer) countWeight(j *job) float64 {
	if b.settings.WorthByWork {
		return b.expectedWork(j)
	}
	return 1
}

// quotaFactor takes a token from a tenant's bucket and returns the factor on the worth of its job: 1 within
// the quota, Settings.OverQuotaWorth beyond it.
func (b *Balancer) quotaFactor(tenant int) float64 {
	if tenant < 0 || tenant >= len(b.tenants) {
		return 1
	}
	rate := b.settings.Tenants[tenant].Quota / float64(b.settings.FleetSize)
	bucket := &b.tenants[tenant]
	bucket.tokens = min(bucket.tokens+rate*(b.now-bucket.filledAt).Seconds(), max(1, 2*rate))
	bucket.filledAt = b.now
	if bucket.tokens < 1 {
		return b.settings.OverQuotaWorth
	}
	bucket.tokens--
	return 1
}
