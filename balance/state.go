package balance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the state that the policy keeps, and plain arithmetic on it.

// guess is the mean of the classes' guesses, in seconds.
func (b *Balancer) guess() (mean float64) {
	for i := range b.s.Classes {
		mean += b.s.Classes[i].guess() / float64(len(b.s.Classes))
	}
	return mean
}

// purge forgets workers that are long gone and have nothing of ours. One that comes
// back sooner is known again by its way: its zone, its lag, what peers hold there.
func (b *Balancer) purge() {
	b.workers = slices.DeleteFunc(b.workers, func(w *worker) bool {
		if w.State != Gone {
			w.gone = b.now
		}
		if b.now-w.gone < time.Minute || w.used > 0 || w.dirty {
			return false
		}
		delete(b.byID, w.ID)
		return true
	})
}

// Balancer decides for one dispatcher.
type Balancer struct {
	s             Settings
	host          Host
	shares        FleetBudget   // nil without a fleet's budgets
	copiesDenied  time.Duration // until then no copy is asked for
	rng           *rand.Rand
	now           time.Duration
	since         time.Duration // its first list came
	classes       []class
	byID          map[WorkerID]*worker
	workers       []*worker // in order of first mention, so that nothing hangs on map order
	jobs          map[JobID]*job
	queue         []*job
	pace          float64 // smoothed slowness of the whole fleet
	running       []*job
	starting      []*attempt // out, and not told to have started
	kinds         []kind
	tenants       []tenant
	kept          []*worker // for jobs held back
	lag           float64
	armed         time.Duration
	token         uint64
	nextEnd       time.Duration
	askedAt       time.Duration
	askAgain      time.Duration
	askGap        time.Duration
	heartbeatAt   time.Duration
	peerSeen      []time.Duration
	dirty         []*worker
	message       []byte
	tellAt        time.Duration
	slotsByWeight float64
	keyHit        float64 // smoothed log of run over expectation where the key was met ...
	keyMiss       float64 // ... and where it was not
	doubt         bool    // nearly all workers look bad
	tries         int     // tries beyond an estimate since one was answered by a start
	nextTry       time.Duration
	telling       bool // the last message held something
	learned       int
	largeFleet    bool // most slots are in the hands of dispatchers that tell nothing
	heldMost      time.Duration
	turns         []*worker // cold workers in our turn; see ownTurns
	turnsAt       time.Duration
	sizedAt       time.Duration // kinds' sizes are due
	coldUntil     time.Duration // the last of those listed is warm
	fresh         [8]*worker    // evidence of room, latest
	nextFresh     int
	window        float64 // how many jobs may wait in workers' queues
	stuckJobs     float64 // how many do
	groups        []*group
	trust         [signs]float64 // smoothed share of sends by a sign that find a free slot
	chosen        []*worker
	comeBack      time.Duration // what a refusal advises, 0 for the least
	logged        map[string]time.Duration
}

// share is 1 for a job within its tenant's quota, else what is left of its worth.
func (b *Balancer) share(t int) float64 {
	if t < 0 || t >= len(b.tenants) {
		return 1
	}
	rate := b.s.Tenants[t].Quota / float64(b.s.FleetSize)
	bucket := &b.tenants[t]
	bucket.tokens = min(bucket.tokens+rate*(b.now-bucket.at).Seconds(), max(1, 2*rate))
	bucket.at = b.now
	if bucket.tokens < 1 {
		return b.s.OverQuotaWorth
	}
	bucket.tokens--
	return 1
}

// groupOf returns the group of a worker.
func (b *Balancer) groupOf(m *Member) *group {
	for _, g := range b.groups {
		if g.kind == m.Kind && g.zone == m.Zone {
			return g
		}
	}
	g := &group{m.Kind, m.Zone, hopeful, b.s.ConnectTimeout.Seconds() / 4}
	b.groups = append(b.groups, g)
	return g
}

// New returns a Balancer for the settings, or an error that names the setting
// that makes no sense.
func New(s Settings, h Host) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b := &Balancer{s: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, uint64(s.Position))), // #nosec
		byID: map[WorkerID]*worker{}, jobs: map[JobID]*job{}, pace: 1, since: math.MaxInt64, nextEnd: math.MaxInt64, armed: math.MaxInt64,
		kinds: make([]kind, s.WorkerKinds+1), tenants: make([]tenant, len(s.Tenants)), peerSeen: make([]time.Duration, s.FleetSize), logged: map[string]time.Duration{}}
	for _, c := range s.Classes {
		// A class not yet seen is taken for small beside its clients' patience.
		guess := c.guess()
		b.classes = append(b.classes, class{Class: c, logMean: math.Log(guess) - 0.5, logVar: 1, mean: guess})
	}
	for i := range b.kinds {
		b.kinds[i].limit = slices.Repeat([]float64{math.Inf(1)}, len(b.kinds))
	}
	for i := range b.trust {
		b.trust[i] = hopeful
	}
	b.lag, b.window = s.ConnectTimeout.Seconds()/4, 2
	return b, nil
}

// SetBudget has new jobs admitted by a fleet's budgets from now on.
func (b *Balancer) SetBudget(s FleetBudget) { b.shares = s }

// mayCopy asks the fleet's budget for a second copy. Copies are wanted at every step for as long as their
// job is late, so after a no none is asked for a while.
func (b *Balancer) mayCopy() bool {
	if b.shares == nil {
		return true
	}
	if b.now < b.copiesDenied {
		return false
	}
	if !b.shares.AllowRepeat() {
		b.copiesDenied = b.now + seconds(b.meanRun()/4)
		return false
	}
	return true
}

func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("no Classes")
	case s.FleetSize < 1 || s.Position < 0 || s.Position >= s.FleetSize:
		return fmt.Errorf("bad Position, Fleet: %d of %d", s.Position, s.FleetSize)
	case s.MaxAttempts < 1:
		return fmt.Errorf("bad MaxAttempts: %d", s.MaxAttempts)
	case s.WorkerKinds < 0:
		return fmt.Errorf("negative Kinds: %d", s.WorkerKinds)
	case s.ColdCapacity < 0 || s.ColdCapacity > 1 || s.OverloadFactor < 0:
		return fmt.Errorf("bad ColdFrom, FallFactor: %v, %v", s.ColdCapacity, s.OverloadFactor)
	}
	for _, d := range []struct {
		name string
		v    time.Duration
	}{{"ConnectTimeout", s.ConnectTimeout}, {"Tick", s.Tick}, {"WarmUp", s.WarmUp},
		{"AskWithin", s.PullInterval}, {"FallSpan", s.OverloadWindow}, {"Progress", s.ProgressInterval}} {
		if d.v < 0 {
			return fmt.Errorf("%s: negative: %v", d.name, d.v)
		}
	}
	for i, c := range s.Classes {
		if c.Idempotency > NonIdempotent || c.DedupScope > ScopeCell || c.WorkerKind >= s.WorkerKinds {
			return fmt.Errorf("bad Classes[%d]: Effect %d, Group %d, Kind %d", i, c.Idempotency, c.DedupScope, c.WorkerKind)
		}
		if c.Deadline <= 0 || c.Target < 0 || c.DedupWindow < 0 || c.Stretch < 0 {
			return fmt.Errorf("bad Classes[%d]: Deadline %v, Aim %v, Span %v, Stretch %v", i, c.Deadline, c.Target,
				c.DedupWindow, c.Stretch)
		}
	}
	return nil
}

// log writes at most one line a second about one matter.
func (b *Balancer) log(matter, format string, args ...any) {
	if last, ok := b.logged[matter]; ok && b.now-last < time.Second {
		return
	}
	b.logged[matter] = b.now
	b.host.Log(fmt.Sprintf(format, args...))
}

func seconds(x float64) time.Duration { return time.Duration(x * 1e9) }

// enqueue keeps the queue in order of arrival, so that a job that comes back
// from a failed attempt takes its old place.
func (b *Balancer) enqueue(j *job) {
	j.queued = true
	i := len(b.queue)
	for i > 0 && b.queue[i-1].born > j.born {
		i--
	}
	b.queue = slices.Insert(b.queue, i, j)
	b.nextEnd = min(b.nextEnd, j.end-margin)
}

func (b *Balancer) release(j *job, a *attempt) {
	a.done = true
	j.out--
	a.w.used -= j.Slots
	a.w.usedMem -= j.Memory
	if a.started {
		a.w.running -= j.Slots
	} else {
		b.unwait(a)
	}
	b.mark(a.w)
}

func (b *Balancer) unwait(a *attempt) {
	a.w.waiting--
	if i := slices.Index(b.starting, a); i >= 0 {
		b.starting = slices.Delete(b.starting, i, i+1)
	}
}

// finish forgets an ended job once its attempts are in, and cancels them.
func (b *Balancer) finish(j *job) {
	j.over = true
	if !j.unfit { // it tells nothing of how its class is served
		j.c.ended += b.weight(j)
	}
	if j.queued {
		j.queued = false
		gone := func(o *job) bool { return o == j }
		b.queue = slices.DeleteFunc(b.queue, gone)
	}
	b.unlist(j)
	b.cancelOthers(j, nil)
	if j.out == 0 {
		delete(b.jobs, j.ID)
	}
}

func (b *Balancer) unlist(j *job) {
	if i := slices.Index(b.running, j); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
	}
}

func (b *Balancer) cancelOthers(j *job, keep *attempt) {
	for _, a := range j.attempts {
		if a != keep && !a.done {
			b.cancel(j, a)
		}
	}
}

func (b *Balancer) cancel(j *job, a *attempt) {
	if !a.cancelled && b.s.AllowCancel {
		a.cancelled = true
		b.host.Cancel(j.ID, a.no)
	}
}

func (b *Balancer) member(m Member) {
	if m.Kind < 0 || m.Kind >= b.s.WorkerKinds {
		m.Kind = b.s.WorkerKinds
	}
	w := b.byID[m.ID]
	if w == nil {
		w = &worker{peers: make([]byte, b.s.FleetSize), lag: b.s.ConnectTimeout.Seconds() / 4}
		b.byID[m.ID] = w
		b.workers = append(b.workers, w)
	} else if m.StartedAt != w.StartedAt {
		// A restarted worker is another machine but for its name: old health,
		// speed and size would mislead.
		w.slots, w.size, w.count, w.errors, w.strikes, w.held = 0, 0, 0, 0, 0, 0
		w.others, w.reports = 0, 0
	}
	w.Member, w.group = m, b.groupOf(&m)
	if m.StartedAt > 0 {
		b.coldUntil = max(b.coldUntil, m.StartedAt+b.s.WarmUp)
	}
}

// ownTurns returns the cold workers whose turn is ours, looked up twice in a window: a
// release makes hundreds of workers cold, and looking at each for every choice costs CPU.
func (b *Balancer) ownTurns() []*worker {
	if b.now >= b.turnsAt {
		b.turnsAt = b.now + b.s.OverloadWindow/2
		b.turns = b.turns[:0]
		for _, w := range b.workers {
			if b.now >= b.coldUntil {
				break
			}
			if age := max(0, b.now-w.StartedAt); b.isCold(w) && b.coldPart(w, age) > 0 {
				b.turns = append(b.turns, w)
			}
		}
	}
	return b.turns
}

// askMost is the longest gap between inquiries that fail. Whatever discovery has had for 6 s while it
// could be reached counts as told, heard or not, so a gap must leave time for a call that is under way
// as discovery returns and for the next one. Calls of a large fleet would keep an overbooked discovery
// overbooked: its gaps grow with it.
func (b *Balancer) askMost() time.Duration {
	most := min(max(time.Second, time.Duration(b.s.FleetSize)*40*time.Millisecond), 4*time.Second)
	if b.s.PullInterval > 0 {
		return min(most, b.s.PullInterval/2)
	}
	return most
}
