package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker is a Host that checks each action against the rules, using only the events. It does not model
// workers: results are random.
type ruleChecker struct {
	*recorder
	t             *testing.T
	settings      Settings
	now           time.Duration
	members       map[WorkerID]Member
	drainingSince map[WorkerID]time.Duration // when a worker was listed as draining or gone
	jobs          map[JobID]*checkedJob
	timers        []checkedTimer
	inFlight      []checkedAttempt
	answered      int
}

type checkedJob struct {
	Job
	expiresAt time.Duration
	attempts  []checkedAttempt
	answer    string
}

type checkedAttempt struct {
	job         JobID
	number      int
	worker      WorkerID
	sentAt      time.Duration
	done        bool
	mayHaveRun  bool
	unreachable bool
}

type checkedTimer struct {
	at    time.Duration
	token uint64
}

// fatal fails the test with the current time.
func (r *ruleChecker) fatal(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("at %v: "+format, append([]any{r.now}, args...)...)
}

func (r *ruleChecker) Send(id JobID, to WorkerID, d time.Duration) {
	r.recorder.Send(id, to, d)
	j, c := r.jobs[id], r.settings.Classes[r.jobs[id].Class]
	if j.answer != "" {
		r.fatal("job %d sent after its answer %q", id, j.answer)
	}
	if since, draining := r.drainingSince[to]; draining && r.now > since+drainGrace {
		r.fatal("job %d sent to worker %d, which has been draining since %v", id, to, since)
	}
	// An attempt without a connection does not count, but the number of all attempts is limited too.
	connected := 0
	for _, a := range j.attempts {
		if !a.unreachable {
			connected++
		}
	}
	if connected >= r.settings.MaxAttempts || len(j.attempts) >= 3*r.settings.MaxAttempts {
		r.fatal("job %d: attempt %d, %d earlier ones had a connection", id, len(j.attempts), connected)
	}
	for _, a := range j.attempts {
		if a.worker == to && !a.done {
			r.fatal("job %d sent to worker %d, where its attempt %d is in flight", id, to, a.number)
		}
	}
	var first *checkedAttempt
	inFlight := 0
	for i, a := range j.attempts {
		if !a.done {
			inFlight++
		}
		if (!a.done || a.mayHaveRun) && first == nil {
			first = &j.attempts[i]
		}
	}
	if inFlight > 0 && (!r.settings.AllowCopies || c.Idempotency != Idempotent) {
		r.fatal("job %d has two attempts in flight", id)
	}
	if first != nil && c.Idempotency == NonIdempotent {
		r.fatal("non-idempotent job %d sent again", id)
	}
	if first != nil && c.Idempotency == Deduplicated {
		f, m := r.members[first.worker], r.members[to]
		if c.DedupScope == ScopeZone && f.Zone != m.Zone || c.DedupScope == ScopeCell && f.Cell != m.Cell {
			r.fatal("deduplicated job %d left its scope", id)
		}
		if r.now > first.sentAt+c.DedupWindow-r.settings.ConnectTimeout {
			r.fatal("deduplicated job %d sent so late that a slow connection could end after its dedup window", id)
		}
	}
	a := checkedAttempt{job: id, number: len(j.attempts), worker: to, sentAt: r.now}
	j.attempts = append(j.attempts, a)
	r.inFlight = append(r.inFlight, a)
}

func (r *ruleChecker) Cancel(id JobID, attempt int) {
	r.recorder.Cancel(id, attempt)
	if !r.settings.AllowCancel || attempt >= len(r.jobs[id].attempts) {
		r.fatal("cancelled attempt %d of job %d", attempt, id)
	}
}

// recordAnswer checks and records the final answer to a job.
func (r *ruleChecker) recordAnswer(id JobID, answer string) {
	j := r.jobs[id]
	if j.answer != "" {
		r.fatal("job %d: second answer %q after %q", id, answer, j.answer)
	}
	if r.now > j.expiresAt+answerSlack {
		r.fatal("job %d answered %v after its timeout", id, r.now-j.expiresAt)
	}
	j.answer = answer
	r.answered++
}

func (r *ruleChecker) Refuse(id JobID, d time.Duration) {
	r.recorder.Refuse(id, d)
	j, c := r.jobs[id], r.settings.Classes[r.jobs[id].Class]
	for _, a := range j.attempts {
		if (!a.done || a.mayHaveRun) && c.Idempotency != Idempotent && !(c.Idempotency == Deduplicated && c.DedupScope == ScopeFleet) {
			r.fatal("job %d refused though attempt %d may have run", id, a.number)
		}
	}
	r.recordAnswer(id, "refused")
}

func (r *ruleChecker) Fail(id JobID) {
	r.recorder.Fail(id)
	r.recordAnswer(id, "failed")
}

func (r *ruleChecker) SetTimer(d time.Duration, token uint64) {
	r.recorder.SetTimer(d, token)
	r.timers = append(r.timers, checkedTimer{r.now + d, token})
}

// runRandomEvents delivers random but valid events to a Balancer and returns all actions.
func runRandomEvents(t *testing.T, s Settings, seed uint64, steps int) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &ruleChecker{recorder: newRecorder(), t: t, settings: s, now: time.Hour, members: map[WorkerID]Member{},
		drainingSince: map[WorkerID]time.Duration{}, jobs: map[JobID]*checkedJob{}}
	b, err := New(s, r)
	if err != nil {
		t.Fatal(err)
	}
	var list []Member
	for i := range 8 {
		m := Member{ID: WorkerID(i + 10), Weight: 1, Kind: i % 2, Zone: i % 2, Cell: i / 3}
		if i == 5 {
			m.StartedAt = r.now - time.Second
		}
		list = append(list, m)
		r.members[m.ID] = m
	}
	b.UpdateMembers(r.now, UpdateCached, list)
	for i := range steps {
		r.step(b, rng, list, JobID(i+1))
	}
	r.settle(b)
	return r.actions
}

// step advances the time and delivers a random event.
func (r *ruleChecker) step(b *Balancer, rng *rand.Rand, list []Member, id JobID) {
	r.now += time.Duration(rng.IntN(40)) * ms
	r.tick(b)
	switch rng.IntN(10) {
	case 0, 1, 2, 3:
		class := rng.IntN(len(r.settings.Classes))
		j := Job{ID: id, Class: class, Tenant: rng.IntN(len(r.settings.Tenants)+1) - 1, Slots: 1,
			ClientTimeout: time.Duration(1+rng.IntN(4000)) * ms}
		if rng.IntN(8) == 0 {
			j.Slots = 2
		}
		if rng.IntN(2) == 0 {
			j.ExpectedWork = time.Duration(1+rng.IntN(2000)) * ms
		}
		r.jobs[id] = &checkedJob{Job: j, expiresAt: r.now + j.ClientTimeout}
		b.SubmitJob(r.now, j)
	case 4, 5, 6:
		if len(r.inFlight) > 0 {
			r.endAttempt(b, rng.IntN(len(r.inFlight)), Status(rng.IntN(8)))
		}
	case 7:
		if len(r.inFlight) > 0 {
			a := r.inFlight[rng.IntN(len(r.inFlight))]
			b.AttemptEvent(r.now, a.job, a.number, EventKind(1+rng.IntN(2)), rng.Float64()*1.1)
		}
	case 8:
		r.changeMembers(b, rng, list)
	case 9:
		switch rng.IntN(6) {
		case 0: // a client leaves
			for _, a := range r.inFlight {
				if j := r.jobs[a.job]; j.answer == "" {
					j.answer = "gone"
					b.ClientGone(r.now, a.job)
					break
				}
			}
		case 1: // late and unknown events are harmless
			b.ClientGone(r.now, 1<<40)
			b.AttemptDone(r.now, AttemptResult{Job: 1 << 40, Worker: 10})
			if old := r.jobs[id/2]; old != nil && old.answer != "" {
				for _, a := range old.attempts {
					if a.done {
						b.AttemptDone(r.now, AttemptResult{Job: old.ID, Attempt: a.number, Worker: a.worker, Status: StatusNotSent})
					}
				}
			}
			b.AttemptEvent(r.now, id/2, 77, EventStarted, 0)
			b.TimerFired(r.now, 1<<50)
			b.StreamStarted(r.now, 1<<40, 0)
		case 2:
			b.PeerMessage(r.now, rng.IntN(5)-1, []byte{byte(rng.IntN(4)), 0, 0, 0, 12, byte(rng.IntN(256))})
		case 3:
			b.ProbeDone(r.now, 12, Status(rng.IntN(8)), ms, LoadReport{1, 0, 0.5, 0, 2, 2})
		}
	}
}

// tick fires due timers and ends attempts whose client has given up.
func (r *ruleChecker) tick(b *Balancer) {
	for i := 0; i < len(r.timers); i++ {
		if timer := r.timers[i]; timer.at <= r.now {
			r.timers = slices.Delete(r.timers, i, i+1)
			now := r.now
			r.now = timer.at
			b.TimerFired(timer.at, timer.token)
			r.now = now
			i = -1
		}
	}
	for i := 0; i < len(r.inFlight); i++ {
		if r.jobs[r.inFlight[i].job].expiresAt <= r.now {
			now := r.now
			r.now = r.jobs[r.inFlight[i].job].expiresAt
			r.endAttempt(b, i, StatusTimeout)
			r.now = now
			i = -1
		}
	}
	for id, j := range r.jobs {
		if j.answer == "" && r.now > j.expiresAt+answerSlack+ms {
			r.fatal("job %d has no answer %v after its timeout", id, r.now-j.expiresAt)
		}
	}
}

// endAttempt ends the attempt at an index of inFlight.
func (r *ruleChecker) endAttempt(b *Balancer, i int, status Status) {
	a := r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	j := r.jobs[a.job]
	j.attempts[a.number].done, j.attempts[a.number].mayHaveRun = true, !status.NeverRan()
	j.attempts[a.number].unreachable = status == StatusUnreachable
	answered := j.answer != ""
	if status == StatusOK && !answered {
		r.recordAnswer(a.job, "served")
		answered = true
	}
	b.AttemptDone(r.now, AttemptResult{Job: a.job, Attempt: a.number, Worker: a.worker, Status: status, Elapsed: r.now - a.sentAt,
		JobDone: answered, Report: NoLoadReport()})
}

// changeMembers delivers a random membership update.
func (r *ruleChecker) changeMembers(b *Balancer, rng *rand.Rand, list []Member) {
	switch rng.IntN(4) {
	case 0:
		b.UpdateMembers(r.now, UpdateFailed, nil)
	case 1: // all workers serve again, and some have restarted
		for i := range list {
			list[i].State = Serving
			delete(r.drainingSince, list[i].ID)
			if rng.IntN(4) == 0 {
				list[i].StartedAt = r.now
			}
			r.members[list[i].ID] = list[i]
		}
		b.UpdateMembers(r.now, UpdateFull, list)
	default:
		m := list[rng.IntN(len(list))]
		m.State = WorkerState(rng.IntN(3))
		delete(r.drainingSince, m.ID)
		if m.State != Serving {
			r.drainingSince[m.ID] = r.now
		}
		b.UpdateMembers(r.now, UpdateDelta, []Member{m})
	}
}

// settle advances the time until all jobs are answered and checks that no state is left.
func (r *ruleChecker) settle(b *Balancer) {
	for i := 0; i < 2000; i++ {
		r.now += 10 * ms
		r.tick(b)
	}
	for id, j := range r.jobs {
		if j.answer == "" {
			r.fatal("job %d never answered", id)
		}
	}
	if len(b.jobs) != 0 || len(b.queue)+len(b.running)+len(b.starting) != 0 {
		r.fatal("state left: %d jobs, %d queued, %d running, %d starting", len(b.jobs), len(b.queue),
			len(b.running), len(b.starting))
	}
	for _, w := range b.workers {
		if w.usedSlots != 0 || w.runningSlots != 0 || w.notStarted != 0 || w.usedMemory != 0 {
			r.fatal("worker %d still has %v slots used, %v running, %d attempts not started", w.ID, w.usedSlots, w.runningSlots, w.notStarted)
		}
	}
}

// Tolerances of the ruleChecker. The policy itself obeys a drain at once.
const (
	drainGrace  = time.Second
	answerSlack = 16 * ms
)

// variants returns settings under which the rules are checked.
func variants() map[string]Settings {
	base := settings()
	base.PullMembers = true
	base.Tenants = []Tenant{{Name: "a", Quota: 3}, {Name: "b", Quota: 1}}
	peers, plain, late := base, base, base
	peers.AllowPeerMessages, peers.FleetSize, peers.ProgressInterval = true, 3, time.Second
	plain.AllowCancel, plain.AllowCopies, plain.ReportsStart, plain.PullMembers = false, false, false, false
	late.Classes = slices.Clone(base.Classes)
	for i := range late.Classes {
		late.Classes[i].DedupWindow = time.Second
		late.Classes[i].LateWorth = 0.25
	}
	late.AllowProbes, late.TracksMemory, late.WorthByWork = true, true, true
	return map[string]Settings{"base": base, "peers": peers, "plain": plain, "late": late}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for name, s := range variants() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				runRandomEvents(t, s, seed, 1500)
			}
		})
	}
}

// FuzzRules has the fuzzer choose the seed of the random events, the length of the run and the settings.
func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(300), uint8(0), uint8(3), uint8(4))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16, allow, fleet, attempts uint8) {
		s := variants()["base"]
		s.AllowPeerMessages, s.AllowProbes, s.TracksMemory = allow&1 > 0, allow&2 > 0, allow&4 > 0
		s.AllowCancel, s.AllowCopies, s.ReportsStart = allow&8 == 0, allow&16 == 0, allow&32 == 0
		s.WorthByWork, s.IgnoreWeights = allow&64 > 0, allow&128 > 0
		s.FleetSize, s.MaxAttempts = 1+int(fleet%24), 1+int(attempts%6)
		runRandomEvents(t, s, seed, int(steps%2000))
	})
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for name, s := range variants() {
		a, b := runRandomEvents(t, s, 99, 1500), runRandomEvents(t, s, 99, 1500)
		if !slices.Equal(a, b) {
			t.Errorf("%s: actions differ", name)
		}
		if len(a) < 500 {
			t.Errorf("%s: only %d actions: too few for the test", name, len(a))
		}
	}
}
