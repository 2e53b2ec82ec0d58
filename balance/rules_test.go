package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// referee is a Host that checks the rules after each action, from the events
// alone. It models no servers: outcomes are drawn at random.
type referee struct {
	*recorder
	t        *testing.T
	s        Settings
	now      time.Duration
	members  map[WorkerID]Member
	told     map[WorkerID]time.Duration // when a worker was said to drain or be gone
	jobs     map[JobID]*refJob
	timers   []refTimer
	open     []refAttempt
	finished int
}

type refJob struct {
	Job
	end      time.Duration
	attempts []refAttempt
	answer   string
}

type refAttempt struct {
	job       JobID
	no        int
	w         WorkerID
	sent      time.Duration
	over      bool
	ran       bool
	unreached bool
}

type refTimer struct {
	at    time.Duration
	token uint64
}

func (r *referee) fatal(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("at %v: "+format, append([]any{r.now}, args...)...)
}

func (r *referee) Send(id JobID, to WorkerID, d time.Duration) {
	r.recorder.Send(id, to, d)
	j, c := r.jobs[id], r.s.Classes[r.jobs[id].Class]
	if j.answer != "" {
		r.fatal("job %d sent after its answer %q", id, j.answer)
	}
	if at, told := r.told[to]; told && r.now > at+drainGrace {
		r.fatal("job %d sent to worker %d, told to drain at %v", id, to, at)
	}
	// An attempt counts once it has arrived: one whose connection never came up is none.
	// Tries of all kinds stay bounded.
	arrived := 0
	for _, a := range j.attempts {
		if !a.unreached {
			arrived++
		}
	}
	if arrived >= r.s.MaxAttempts || len(j.attempts) >= 3*r.s.MaxAttempts {
		r.fatal("job %d: attempt %d, %d of them arrived", id, len(j.attempts), arrived)
	}
	for _, a := range j.attempts {
		if a.w == to && !a.over {
			r.fatal("job %d sent again to worker %d, which is at attempt %d", id, to, a.no)
		}
	}
	var first *refAttempt
	out := 0
	for i, a := range j.attempts {
		if !a.over {
			out++
		}
		if (!a.over || a.ran) && first == nil {
			first = &j.attempts[i]
		}
	}
	if out > 0 && (!r.s.AllowCopies || c.Idempotency != Idempotent) {
		r.fatal("job %d has two attempts out", id)
	}
	if first != nil && c.Idempotency == NonIdempotent {
		r.fatal("unsafe job %d sent again", id)
	}
	if first != nil && c.Idempotency == Deduplicated {
		f, m := r.members[first.w], r.members[to]
		if c.DedupScope == ScopeZone && f.Zone != m.Zone || c.DedupScope == ScopeCell && f.Cell != m.Cell {
			r.fatal("keyed job %d left its group", id)
		}
		if r.now > first.sent+c.DedupWindow-r.s.ConnectTimeout {
			r.fatal("keyed job %d sent so late that a late connection would outlast its span", id)
		}
	}
	a := refAttempt{job: id, no: len(j.attempts), w: to, sent: r.now}
	j.attempts = append(j.attempts, a)
	r.open = append(r.open, a)
}

func (r *referee) Cancel(id JobID, no int) {
	r.recorder.Cancel(id, no)
	if !r.s.AllowCancel || no >= len(r.jobs[id].attempts) {
		r.fatal("cancelled attempt %d of job %d", no, id)
	}
}

func (r *referee) final(id JobID, answer string) {
	j := r.jobs[id]
	if j.answer != "" {
		r.fatal("job %d: second answer %q after %q", id, answer, j.answer)
	}
	if r.now > j.end+answerSlack {
		r.fatal("job %d answered %v late", id, r.now-j.end)
	}
	j.answer = answer
	r.finished++
}

func (r *referee) Refuse(id JobID, d time.Duration) {
	r.recorder.Refuse(id, d)
	j, c := r.jobs[id], r.s.Classes[r.jobs[id].Class]
	for _, a := range j.attempts {
		if (!a.over || a.ran) && c.Idempotency != Idempotent && !(c.Idempotency == Deduplicated && c.DedupScope == ScopeFleet) {
			r.fatal("job %d refused though attempt %d may have run", id, a.no)
		}
	}
	r.final(id, "refused")
}

func (r *referee) Fail(id JobID) {
	r.recorder.Fail(id)
	r.final(id, "failed")
}

func (r *referee) SetTimer(d time.Duration, token uint64) {
	r.recorder.SetTimer(d, token)
	r.timers = append(r.timers, refTimer{r.now + d, token})
}

// drive feeds seeded, odd but legal events and returns every action.
func drive(t *testing.T, s Settings, seed uint64, steps int) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &referee{recorder: newRecorder(), t: t, s: s, now: time.Hour, members: map[WorkerID]Member{},
		told: map[WorkerID]time.Duration{}, jobs: map[JobID]*refJob{}}
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

func (r *referee) step(b *Balancer, rng *rand.Rand, list []Member, id JobID) {
	r.now += time.Duration(rng.IntN(40)) * ms
	r.tick(b)
	switch rng.IntN(10) {
	case 0, 1, 2, 3:
		class := rng.IntN(len(r.s.Classes))
		j := Job{ID: id, Class: class, Tenant: rng.IntN(len(r.s.Tenants)+1) - 1, Slots: 1,
			ClientTimeout: time.Duration(1+rng.IntN(4000)) * ms}
		if rng.IntN(8) == 0 {
			j.Slots = 2
		}
		if rng.IntN(2) == 0 {
			j.ExpectedWork = time.Duration(1+rng.IntN(2000)) * ms
		}
		r.jobs[id] = &refJob{Job: j, end: r.now + j.ClientTimeout}
		b.SubmitJob(r.now, j)
	case 4, 5, 6:
		if len(r.open) > 0 {
			r.end(b, rng.IntN(len(r.open)), Status(rng.IntN(8)))
		}
	case 7:
		if len(r.open) > 0 {
			a := r.open[rng.IntN(len(r.open))]
			b.AttemptEvent(r.now, a.job, a.no, EventKind(1+rng.IntN(2)), rng.Float64()*1.1)
		}
	case 8:
		r.change(b, rng, list)
	case 9:
		switch rng.IntN(6) {
		case 0: // an impatient client
			for _, a := range r.open {
				if j := r.jobs[a.job]; j.answer == "" {
					j.answer = "gone"
					b.ClientGone(r.now, a.job)
					break
				}
			}
		case 1: // stale events are harmless
			b.ClientGone(r.now, 1<<40)
			b.AttemptDone(r.now, AttemptResult{Job: 1 << 40, Worker: 10})
			if old := r.jobs[id/2]; old != nil && old.answer != "" {
				for _, a := range old.attempts {
					if a.over {
						b.AttemptDone(r.now, AttemptResult{Job: old.ID, Attempt: a.no, Worker: a.w, Status: StatusNotSent})
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

// tick delivers what is due: timers, and time-outs at the end of patience.
func (r *referee) tick(b *Balancer) {
	for i := 0; i < len(r.timers); i++ {
		if tm := r.timers[i]; tm.at <= r.now {
			r.timers = slices.Delete(r.timers, i, i+1)
			now := r.now
			r.now = tm.at
			b.TimerFired(tm.at, tm.token)
			r.now = now
			i = -1
		}
	}
	for i := 0; i < len(r.open); i++ {
		if r.jobs[r.open[i].job].end <= r.now {
			now := r.now
			r.now = r.jobs[r.open[i].job].end
			r.end(b, i, StatusTimeout)
			r.now = now
			i = -1
		}
	}
	for id, j := range r.jobs {
		if j.answer == "" && r.now > j.end+answerSlack+ms {
			r.fatal("job %d has no answer %v after its end", id, r.now-j.end)
		}
	}
}

func (r *referee) end(b *Balancer, i int, st Status) {
	a := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	j := r.jobs[a.job]
	j.attempts[a.no].over, j.attempts[a.no].ran = true, !st.NeverRan()
	j.attempts[a.no].unreached = st == StatusUnreachable
	closed := j.answer != ""
	if st == StatusOK && !closed {
		r.final(a.job, "served")
		closed = true
	}
	b.AttemptDone(r.now, AttemptResult{Job: a.job, Attempt: a.no, Worker: a.w, Status: st, Elapsed: r.now - a.sent,
		JobDone: closed, Report: NoLoadReport()})
}

func (r *referee) change(b *Balancer, rng *rand.Rand, list []Member) {
	switch rng.IntN(4) {
	case 0:
		b.UpdateMembers(r.now, UpdateFailed, nil)
	case 1: // everything serves again; two at most have restarted
		for i := range list {
			list[i].State = Serving
			delete(r.told, list[i].ID)
			if rng.IntN(4) == 0 {
				list[i].StartedAt = r.now
			}
			r.members[list[i].ID] = list[i]
		}
		b.UpdateMembers(r.now, UpdateFull, list)
	default:
		m := list[rng.IntN(len(list))]
		m.State = WorkerState(rng.IntN(3))
		delete(r.told, m.ID)
		if m.State != Serving {
			r.told[m.ID] = r.now
		}
		b.UpdateMembers(r.now, UpdateDelta, []Member{m})
	}
}

// settle lets time pass until all is answered.
func (r *referee) settle(b *Balancer) {
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
		r.fatal("left over: %d jobs, %d queued, %d running, %d starting", len(b.jobs), len(b.queue),
			len(b.running), len(b.starting))
	}
	for _, w := range b.workers {
		if w.used != 0 || w.running != 0 || w.waiting != 0 || w.usedMem != 0 {
			r.fatal("worker %d left with used %v running %v waiting %d", w.ID, w.used, w.running, w.waiting)
		}
	}
}

// What the referee allows; the policy itself keeps drains from the first word of them.
const (
	drainGrace  = time.Second
	answerSlack = 16 * ms
)

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

func TestRulesHoldUnderOddEvents(t *testing.T) {
	for name, s := range variants() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				drive(t, s, seed, 1500)
			}
		})
	}
}

// FuzzRules lets the fuzzer choose the seed of the odd events, the length of the run
// and what the settings allow.
func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(300), uint8(0), uint8(3), uint8(4))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16, allow, fleet, attempts uint8) {
		s := variants()["base"]
		s.AllowPeerMessages, s.AllowProbes, s.TracksMemory = allow&1 > 0, allow&2 > 0, allow&4 > 0
		s.AllowCancel, s.AllowCopies, s.ReportsStart = allow&8 == 0, allow&16 == 0, allow&32 == 0
		s.WorthByWork, s.IgnoreWeights = allow&64 > 0, allow&128 > 0
		s.FleetSize, s.MaxAttempts = 1+int(fleet%24), 1+int(attempts%6)
		drive(t, s, seed, int(steps%2000))
	})
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for name, s := range variants() {
		a, b := drive(t, s, 99, 1500), drive(t, s, 99, 1500)
		if !slices.Equal(a, b) {
			t.Errorf("%s: actions differ", name)
		}
		if len(a) < 500 {
			t.Errorf("%s: only %d actions: the test shows little", name, len(a))
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	s := settings()
	bal, err := New(s, nullHost{})
	if err != nil {
		b.Fatal(err)
	}
	var list []Member
	for i := range 16 {
		list = append(list, Member{ID: WorkerID(i), Weight: 1})
	}
	bal.UpdateMembers(0, UpdateFull, list)
	b.ReportAllocs()
	for i := range b.N {
		oneRequest(bal, time.Duration(i)*100*ms, JobID(i))
	}
}

func oneRequest(bal *Balancer, now time.Duration, id JobID) {
	bal.SubmitJob(now, Job{ID: id, Tenant: -1, ClientTimeout: 8 * time.Second, Slots: 1})
	bal.AttemptEvent(now+ms, id, 0, EventStarted, 0)
	bal.AttemptDone(now+50*ms, AttemptResult{Job: id, Status: StatusOK, JobDone: true, Report: NoLoadReport()})
}

// A request's path allocates its job, its attempt and their slots, and no more.
func TestAllocationsOfARequest(t *testing.T) {
	bal, err := New(settings(), nullHost{})
	if err != nil {
		t.Fatal(err)
	}
	bal.UpdateMembers(0, UpdateFull, []Member{{ID: 0, Weight: 1}})
	i := 0
	n := testing.AllocsPerRun(500, func() {
		i++
		oneRequest(bal, time.Duration(i)*100*ms, JobID(i))
	})
	if n > 8 {
		t.Errorf("%v allocations a request", n)
	}
}

type nullHost struct{}

func (nullHost) Send(JobID, WorkerID, time.Duration) {}
func (nullHost) Cancel(JobID, int)                   {}
func (nullHost) Refuse(JobID, time.Duration)         {}
func (nullHost) Fail(JobID)                          {}
func (nullHost) SetTimer(time.Duration, uint64)      {}
func (nullHost) Watch()                              {}
func (nullHost) Fetch()                              {}
func (nullHost) SendToPeer(int, []byte)              {}
func (nullHost) Probe(WorkerID)                      {}
func (nullHost) Log(string)                          {}
