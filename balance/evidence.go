package balance

import (
	"math"
	"slices"
)

// This file holds the evidence of free slots, which replaces their count in large fleets. There, most slots
// are used by dispatchers that send no messages about them.

// The kinds of evidence of a free slot at a worker of a large fleet.
const (
	noEvidence       = iota
	evidenceJobEnded // a job of this dispatcher ended there
	evidenceOneFree  // the worker reported one free slot
	evidenceManyFree // the worker reported several free slots
	evidenceGranted  // another dispatcher passed on its evidence
	evidenceKinds
)

// freeSlotProbability returns how likely it is, in a large fleet, that a job sent to a worker now starts at
// once. The last evidence counts less with its age, in favour of the mean of the worker's group.
func (b *Balancer) freeSlotProbability(w *worker) float64 {
	groupRate := w.group.freeSlotRate
	if b.isCold(w) {
		return 1 // a dispatcher has its turn at a cold worker alone
	}
	age := float64(b.now-w.evidenceAt) / 1e9 / b.meanRun() // in mean runs
	if age > 6 {
		return groupRate
	}
	return groupRate + (w.evidenceProbability-groupRate)*math.Exp(-age)
}

// recordFreeSlot records whether an attempt found a free slot, as 1 or 0, for the kind of evidence that it
// was sent on or, without evidence, for the worker's group.
func (b *Balancer) recordFreeSlot(a *attempt, found float64) {
	if a.evidence != noEvidence {
		b.evidenceHitRate[a.evidence] += (found - b.evidenceHitRate[a.evidence]) / 8
	} else {
		a.worker.group.freeSlotRate += (found - a.worker.group.freeSlotRate) / 8
	}
}

// addEvidence records evidence of a free slot at a worker.
func (b *Balancer) addEvidence(w *worker, kind int) {
	w.setEvidence(kind, b.evidenceHitRate[kind], b.now)
	if !slices.Contains(b.recentEvidence[:], w) {
		b.recentEvidence[b.nextEvidence%len(b.recentEvidence)] = w
		b.nextEvidence++
	}
}
