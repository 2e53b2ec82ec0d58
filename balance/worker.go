package balance

import (
	"slices"
	"time"
)

// worker is the state of a worker.
type worker struct {
	Member
	group *workerGroup

	slots          float64       // observed size, 0 before any observation
	meanReported   float64       // mean of the reported sizes ...
	reportCount    float64       // ... and the number of reports in it
	nextOvercommit time.Duration // no overcommit before this time

	usedSlots    float64 // slots of this dispatcher's attempts
	usedMemory   float64
	runningSlots float64 // part of usedSlots whose attempts have started
	notStarted   int     // attempts of this dispatcher that have not started
	otherSlots   float64 // slots of other dispatchers, as far as load reports show them
	otherMemory  float64

	peerSlotBytes    []byte  // last slot byte of each peer; see slotByte
	peerRunningSlots float64 // running slots of peers ...
	peerSlots        float64 // ... and all their slots
	sentSlotByte     byte    // slot byte last sent to peers
	dirty            bool    // listed in Balancer.dirtyWorkers

	logSlownessSum     float64       // decayed sum of log slowness ...
	logSlownessWeight  float64       // ... and its weight
	sampledAt          time.Duration // time of the last speed sample
	lastSlowness       float64       // last result of Balancer.slowness ...
	slownessValidUntil time.Duration // ... which is valid until this time
	startLag           float64       // shortest recent time from send to start, in seconds

	errorRate float64       // smoothed error rate
	timesHeld int           // consecutive times held back
	heldUntil time.Duration // gets no ordinary jobs before this time

	probedAt            time.Duration
	probing             bool
	evidence            int           // kind of the last evidence, noEvidence once it is used
	evidenceProbability float64       // probability of a free slot by the last evidence ...
	evidenceAt          time.Duration // ... at this time

	coldSends  []coldSend    // while cold: recent sends
	recentKeys [8]string     // keys of recent jobs, a ring
	nextKey    int           // keys added so far
	lastListed time.Duration // time of the last list that contained it
}

// hasKey reports whether the worker recently had a job with the key, and so may have cached the data that
// the key needs.
func (w *worker) hasKey(key string) bool { return key != "" && slices.Contains(w.recentKeys[:], key) }

// addKey records that the worker had a job with the key.
func (w *worker) addKey(key string) {
	if key != "" && !w.hasKey(key) {
		w.recentKeys[w.nextKey%len(w.recentKeys)] = key
		w.nextKey++
	}
}

// setEvidence records evidence at a time and the probability of a free slot that follows from it. With
// noEvidence, no job is sent on this probability alone.
func (w *worker) setEvidence(kind int, probability float64, at time.Duration) {
	w.evidence, w.evidenceProbability, w.evidenceAt = kind, probability, at
}

// coldSend is work sent to a cold worker.
type coldSend struct {
	at   time.Duration
	work float64 // in seconds at the worker
}

// workerGroup is the state that is shared by the workers of one kind in one zone.
type workerGroup struct {
	kind, zone   int
	freeSlotRate float64 // smoothed share of sends that found a free slot
	startLag     float64 // shortest recent time from send to start, in seconds
}

// groupOf returns the group of a worker and creates it if necessary.
func (b *Balancer) groupOf(m *Member) *workerGroup {
	for _, g := range b.groups {
		if g.kind == m.Kind && g.zone == m.Zone {
			return g
		}
	}
	g := &workerGroup{
		kind:         m.Kind,
		zone:         m.Zone,
		freeSlotRate: initialFreeSlotRate,
		startLag:     b.settings.ConnectTimeout.Seconds() / 4,
	}
	b.groups = append(b.groups, g)
	return g
}

// workerKind is the state that is shared by the workers of one kind.
type workerKind struct {
	meanSlots                         float64   // mean size of the workers with an observed size
	logSlownessSum, logSlownessWeight float64   // decayed sum of log slowness, and its weight
	samples                           []float64 // slowness samples, a ring
	nextSample                        int       // samples so far
	copyThresholds                    []float64 // copy threshold for each kind, as a multiple of the expected work
}
