package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the state of a Balancer and functions that keep it consistent.

// Balancer is the dispatch policy of one dispatcher.
type Balancer struct {
	settings          Settings
	host              Host
	budget            FleetBudget   // nil if the fleet shares no budgets
	copiesDeniedUntil time.Duration // no copy is requested from the budget before this time
	rng               *rand.Rand
	now               time.Duration

	classes    []class       // by index in Settings.Classes
	tenants    []tokenBucket // by index in Settings.Tenants
	jobs       map[JobID]*job
	queue      []*job        // in order of arrival
	running    []*job        // with an attempt in flight
	starting   []*attempt    // in flight and not started
	nextExpiry time.Duration // time at which the first queued job expires
	retryAfter time.Duration // retry delay of a refusal; at least minRetryAfter is sent

	byID        map[WorkerID]*worker
	workers     []*worker // in the order in which they were first listed; a map has no fixed order
	groups      []*workerGroup
	kinds       []workerKind  // one per kind, and one for unknown kinds
	reserved    []*worker     // workers reserved for large jobs in the current step
	largeFleet  bool          // more than maxSmallFleet dispatchers, which send no messages about the slots that they use
	commonCause bool          // nearly all workers are held back, probably for a common cause
	lastHoldEnd time.Duration // all holds have ended at this time

	firstUpdateAt      time.Duration // time of the first membership update
	membersRequestedAt time.Duration // time of the last request for the membership list
	nextMembersRequest time.Duration // when to repeat the request for the membership list, 0 if no repeat is scheduled
	membersRetryDelay  time.Duration // delay before that request, 0 after a success

	fleetSlowness    float64       // smoothed slowness of all workers
	fleetStartLag    float64       // shortest recent time from send to start at any worker, in seconds
	slotsPerWeight   float64       // mean slots per weight
	nextMeanSlots    time.Duration // when to compute the mean sizes again
	knownKeyLogRatio float64       // smoothed log of actual over expected run time at workers that know the key ...
	newKeyLogRatio   float64       // ... and at those that do not
	runsRecorded     int

	overcommits    int           // since the last one that started in time, up to maxOvercommitDoublings
	nextOvercommit time.Duration // no overcommit before this time

	waitingLimit    float64                // in a large fleet: limit on jobs that wait in workers' queues
	waitingJobs     float64                // jobs that wait there
	recentEvidence  [8]*worker             // workers with the latest evidence of a free slot, a ring
	nextEvidence    int                    // workers added to recentEvidence so far
	evidenceHitRate [evidenceKinds]float64 // by kind of evidence: smoothed share of sends that found a free slot
	candidateBuffer []*worker              // buffer for candidates

	coldUntil      time.Duration // all listed workers are warm at this time
	ownedColdCache []*worker     // last result of ownedColdWorkers
	nextOwnedCold  time.Duration // when to compute it again

	nextHeartbeat      time.Duration   // time of the next heartbeat to peers
	nextPeerUpdate     time.Duration   // no message about changes before this time
	peerSeenAt         []time.Duration // time of the last message from each peer
	dirtyWorkers       []*worker       // workers whose slot byte may have changed
	messageBuffer      []byte          // buffer for messages to peers
	lastUpdateNonEmpty bool            // the last message to peers was not empty

	timerAt    time.Duration            // time of the latest timer
	timerToken uint64                   // token of the latest timer
	lastLogged map[string]time.Duration // time of the last line on each topic
}

// New returns a Balancer for the settings, or an error that names an invalid setting.
func New(s Settings, h Host) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b := &Balancer{
		settings:      s,
		host:          h,
		rng:           rand.New(rand.NewPCG(s.Seed, uint64(s.Position))), // #nosec
		tenants:       make([]tokenBucket, len(s.Tenants)),
		jobs:          map[JobID]*job{},
		nextExpiry:    math.MaxInt64,
		byID:          map[WorkerID]*worker{},
		kinds:         make([]workerKind, s.WorkerKinds+1),
		firstUpdateAt: math.MaxInt64,
		fleetSlowness: 1,
		fleetStartLag: s.ConnectTimeout.Seconds() / 4,
		waitingLimit:  2,
		peerSeenAt:    make([]time.Duration, s.FleetSize),
		timerAt:       math.MaxInt64,
		lastLogged:    map[string]time.Duration{},
	}
	for _, c := range s.Classes {
		// The logarithm of the work starts with a variance of 1 and the mean that gives meanWork.
		initial := c.initialRun()
		b.classes = append(b.classes, class{
			Class:       c,
			meanWork:    initial,
			logWorkMean: math.Log(initial) - 0.5,
			logWorkVar:  1,
		})
	}
	for i := range b.kinds {
		b.kinds[i].copyThresholds = slices.Repeat([]float64{math.Inf(1)}, len(b.kinds))
	}
	for i := range b.evidenceHitRate {
		b.evidenceHitRate[i] = initialFreeSlotRate
	}
	return b, nil
}

// SetBudget sets the fleet's budget, which the Balancer then checks before it admits new jobs and sends repeats.
func (b *Balancer) SetBudget(budget FleetBudget) { b.budget = budget }

// log writes a line, at most one per second and topic.
func (b *Balancer) log(topic, format string, args ...any) {
	if last, ok := b.lastLogged[topic]; ok && b.now-last < time.Second {
		return
	}
	b.lastLogged[topic] = b.now
	b.host.Log(fmt.Sprintf(format, args...))
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * 1e9) }

// enqueue inserts a job into the queue in order of arrival, so that a retry takes its old place.
func (b *Balancer) enqueue(j *job) {
	j.queued = true
	i := len(b.queue)
	for i > 0 && b.queue[i-1].arrivedAt > j.arrivedAt {
		i--
	}
	b.queue = slices.Insert(b.queue, i, j)
	b.nextExpiry = min(b.nextExpiry, j.expiresAt-answerMargin)
}

// releaseAttempt ends an attempt and frees its slots at the worker.
func (b *Balancer) releaseAttempt(j *job, a *attempt) {
	a.done = true
	j.inFlight--
	a.worker.usedSlots -= j.Slots
	a.worker.usedMemory -= j.Memory
	if a.started {
		a.worker.runningSlots -= j.Slots
	} else {
		b.removeStarting(a)
	}
	b.markDirty(a.worker)
}

// removeStarting removes an attempt that has started or ended from those that have not started.
func (b *Balancer) removeStarting(a *attempt) {
	a.worker.notStarted--
	if i := slices.Index(b.starting, a); i >= 0 {
		b.starting = slices.Delete(b.starting, i, i+1)
	}
}

// finishJob ends a job and cancels its attempts. The job is removed when the last of them has a result.
func (b *Balancer) finishJob(j *job) {
	j.finished = true
	if !j.invalid { // an invalid job says nothing about how its class is served
		j.class.endedWeight += b.countWeight(j)
	}
	if j.queued {
		j.queued = false
		b.queue = slices.DeleteFunc(b.queue, func(other *job) bool { return other == j })
	}
	b.removeRunning(j)
	b.cancelOthers(j, nil)
	if j.inFlight == 0 {
		delete(b.jobs, j.ID)
	}
}

// removeRunning removes a job from those with an attempt in flight.
func (b *Balancer) removeRunning(j *job) {
	if i := slices.Index(b.running, j); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
	}
}

// cancelOthers cancels the attempts in flight of a job except keep, which may be nil.
func (b *Balancer) cancelOthers(j *job, keep *attempt) {
	for _, a := range j.attempts {
		if a != keep && !a.done {
			b.cancelAttempt(j, a)
		}
	}
}

// cancelAttempt cancels an attempt unless it was cancelled before.
func (b *Balancer) cancelAttempt(j *job, a *attempt) {
	if !a.cancelled && b.settings.AllowCancel {
		a.cancelled = true
		b.host.Cancel(j.ID, a.number)
	}
}
