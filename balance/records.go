package balance

import (
	"slices"
	"time"
)

type worker struct {
	Member
	slots       float64 // estimated size
	used        float64 // slots of own attempts out
	usedMem     float64
	running     float64 // of used: told to have started
	waiting     int     // own attempts not told to have started
	peers       []byte  // what each peer holds here; see tellPeers
	told        byte
	dirty       bool
	others      float64 // slots held by unseen dispatchers, where reports show them
	otherMem    float64
	reported    float64 // mean size by reports ...
	reports     float64 // ... and how many of them count
	size        float64 // decayed sum of log slowness ...
	count       float64 // ... and its weight
	slowness    float64 // the mean of them as it was at the last look
	slowUntil   time.Duration
	peerRunning float64 // slots that peers told of: running ...
	peerHeld    float64 // ... and all
	sized       time.Duration
	lag         float64 // least recent time from send to start, seconds
	errors      float64 // smoothed share of errors
	strikes     int
	held        time.Duration // no ordinary work before this
	nextTry     time.Duration // when room may be tried for beyond the estimate
	spent       []spending
	probed      time.Duration
	probing     bool
	sure        float64 // odds of a free slot by the last evidence ...
	sureAt      time.Duration
	sign        int
	group       *group
	keys        [8]string // met last
	nextKey     int
	gone        time.Duration // last listed as there
}

// knows tells whether a worker lately had a job of the key, and so may hold what the
// key needs.
func (w *worker) knows(key string) bool { return key != "" && slices.Contains(w.keys[:], key) }

func (w *worker) learnKey(key string) {
	if key != "" && !w.knows(key) {
		w.keys[w.nextKey%len(w.keys)] = key
		w.nextKey++
	}
}

// The signs of room where most slots are in unseen hands.
const (
	signNone    = iota
	signEnd     // a job of ours ended there
	signOne     // the worker tells of a free slot
	signMany    // ... of more
	signGranted // another dispatcher gave its sign
	signs
)

type spending struct {
	at   time.Duration
	cost float64
}

type attempt struct {
	j           *job
	no          int
	w           *worker
	sent, begun time.Duration
	noted       time.Duration // last sign of progress
	share       float64
	started     bool
	stuck       bool
	sign        int // of room, that it was sent by
	cancelled   bool
	done        bool
	ran         bool // may have had an effect
	sampled     bool
	keyed       bool // the worker had met the job's key
	beyond      bool // sent past the worker's estimate
	unreached   bool // no connection came up: nothing of it arrived
}

type job struct {
	Job
	c        *class
	born     time.Duration // when the client first asked, as far as patience tells
	end      time.Duration // patience ends
	attempts []*attempt
	out      int
	queued   bool
	worth    float64 // of an answer in time
	over     bool
	stream   bool
	hold     time.Duration // not sent blindly before
	unfit    bool          // no job that any worker could serve
	paid     bool          // the budget of repeats has been asked for the next attempt
	earlier  *attempt      // from before the Request; see Job.Earlier
}

type class struct {
	Class
	logMean, logVar, mean, n float64
	ended, inTime            float64 // jobs, or work, answered; and served in time
}

// guess is what a job of the class is taken for before any was seen: small beside its clients'
// patience. All dispatchers guess alike.
func (c *Class) guess() float64 { return c.Deadline.Seconds() / 12 }

// tenant is a bucket that fills at this dispatcher's part of the tenant's quota.
type tenant struct {
	tokens float64
	at     time.Duration
}

// group is what is known of all workers of one kind in one zone.
type group struct {
	kind, zone int
	usual      float64 // smoothed share of sends that find a free slot
	lag        float64 // least recent time from send to start, seconds
}

type kind struct {
	slots  float64   // mean size, of those seen
	sum, n float64   // log slowness over the kind
	window []float64 // slowness samples
	next   int
	limit  []float64 // threshold of copies to each kind, in job sizes
}

// spent tells whether a job has had its attempts. One whose connection never came up is
// none, as nothing of it arrived: where most of a list that could not be renewed had gone,
// jobs were refused after three such tries while live workers were there. Tries of all
// kinds stop at three times as many.
func (j *job) spent(most int) bool {
	n := 0
	for _, a := range j.attempts {
		if !a.unreached {
			n++
		}
	}
	return n >= most || len(j.attempts) >= 3*most
}

// firstRan is the earliest attempt that may have run, or nil.
func (j *job) firstRan() *attempt {
	if j.earlier != nil {
		return j.earlier
	}
	for _, a := range j.attempts {
		if a.ran {
			return a
		}
	}
	return nil
}

// ranAt tells whether an attempt at the worker has ended that may have run: though it is over, what
// is left of it there is rather not met.
func (j *job) ranAt(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.w == w && a.ran })
}

// newest is the last attempt that is still out, or nil. The last of all may have failed at
// once, and must not hide those that wait.
func (j *job) newest() *attempt {
	for i := len(j.attempts) - 1; i >= 0; i-- {
		if !j.attempts[i].done {
			return j.attempts[i]
		}
	}
	return nil
}

// begun tells whether an attempt that is out has started.
func (j *job) begun() bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return !a.done && a.started })
}

// movable tells whether a job that waits at one worker may wait at any other too.
func (j *job) movable() bool {
	return j.c.Idempotency == Idempotent || j.c.Idempotency == Deduplicated && j.c.DedupScope == ScopeFleet
}

// bound tells whether a job may go to part of the fleet only.
func (j *job) bound() bool {
	return j.c.WorkerKind >= 0 || j.c.Idempotency == Deduplicated && j.c.DedupScope != ScopeFleet && j.firstRan() != nil
}
