package balance

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Each test here shows a failure that was met, or feared, and the answer to it.

func start(b *Balancer, at time.Duration, s sent) {
	b.AttemptEvent(at, s.job, s.attempt, EventStarted, 0)
}

// pass lets time go by in small steps, delivering the latest timer.
func pass(b *Balancer, r *recorder, from, to time.Duration) {
	for at := from; at <= to; at += 5 * ms {
		b.TimerFired(at, r.token)
	}
}

// Starts that waited in a worker's queue once stretched the bound on a start's lag
// until no start counted as late.
func TestQueueWaitsDoNotStretchTheStartBound(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	w := b.byID[1]
	at := time.Second
	for i := range 40 {
		request(b, at, JobID(i+1), safe)
		lag := 4 * ms
		if i%2 == 1 {
			lag = 200 * ms
		}
		start(b, at+lag, r.last())
		end(b, at+lag+10*ms, r.last(), StatusOK)
		at += time.Second
	}
	if got := b.startBound(&attempt{j: &job{c: &b.classes[safe]}, w: w}); got > 50*ms {
		t.Fatalf("bound %v after every other start waited", got)
	}
}

// A start that fails to come shows unseen work at the worker: the job is copied to
// known room, and the worker gets no more until it speaks.
func TestLateStartIsCopiedAndWorkerAvoided(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	request(b, time.Second, 1, safe)
	first := r.last()
	pass(b, r, time.Second, 2*time.Second)
	if r.sentTo(1) != 2 || r.last().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
	start(b, 2100*ms, r.last())
	if len(r.cancels) != 1 || r.cancels[0] != (attemptKey{1, 0}) {
		t.Fatalf("first start did not win: cancels %v", r.cancels)
	}
}

// A keyed job may not have two attempts out: it is withdrawn, and goes again only
// inside its cell.
func TestLateStartOfKeyedJobIsWithdrawn(t *testing.T) {
	b, r := fixture(t, settings(), 8)
	request(b, time.Second, 1, keyedCell)
	first := r.last()
	pass(b, r, time.Second, 2*time.Second)
	if r.sentTo(1) != 1 || len(r.cancels) != 1 {
		t.Fatalf("sent %d times, cancels %v", r.sentTo(1), r.cancels)
	}
	end(b, 2*time.Second, first, StatusCancelled)
	if r.sentTo(1) != 2 || (r.last().to-1)/2 != (first.to-1)/2 || r.last().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
}

func TestUnsafeJobIsNeverWithdrawn(t *testing.T) {
	b, r := fixture(t, settings(), 8)
	request(b, time.Second, 1, unsafe)
	pass(b, r, time.Second, 4*time.Second)
	if r.sentTo(1) != 1 || len(r.cancels) != 0 {
		t.Fatalf("sends %v, cancels %v", r.sends, r.cancels)
	}
}

func withPeers() Settings {
	s := settings()
	s.AllowPeerMessages, s.FleetSize = true, 3
	return s
}

func held(id byte, running, waiting byte) []byte {
	return []byte{changeMessage, 0, 0, 0, id, running | waiting<<4}
}

// Slots that peers hold are not free, and their waiting jobs are not slots.
func TestPeersWorkIsSeenAndItsQueueIsNotSlots(t *testing.T) {
	b, r := fixture(t, withPeers(), 2)
	b.PeerMessage(time.Second, 1, held(1, 1, 0))
	request(b, time.Second, 1, safe)
	if r.last().to != 2 {
		t.Fatalf("sent to the worker that a peer holds: %v", r.sends)
	}
	b.PeerMessage(time.Second, 1, held(2, 0, 5))
	start(b, 1005*ms, r.last())
	if got := b.byID[2].slots; got != 1 {
		t.Fatalf("five jobs waiting at a worker made it %v slots", got)
	}
}

func TestSilentPeerHoldsNothing(t *testing.T) {
	b, r := fixture(t, withPeers(), 1)
	b.PeerMessage(time.Second, 1, held(1, 1, 0))
	request(b, time.Second, 1, safe)
	pass(b, r, time.Second, time.Second+4*heartbeatInterval)
	request(b, time.Second+4*heartbeatInterval, 2, safe)
	if b.byID[1].peerHeld != 0 {
		t.Fatal("a dead peer still holds a slot")
	}
}

func TestRestartedPeerSaysHello(t *testing.T) {
	b, _ := fixture(t, withPeers(), 1)
	b.PeerMessage(time.Second, 1, held(1, 1, 0))
	b.PeerMessage(time.Second, 1, []byte{helloMessage})
	if b.byID[1].peerHeld != 0 {
		t.Fatal("a restarted peer still holds a slot")
	}
}

// In a full fleet each try past the estimate waits at a worker, so tries back off;
// the refill of an own slot says nothing about others and must not reset that.
func TestRefillsDoNotResetTheBackOffOfTries(t *testing.T) {
	b, r := fixture(t, withPeers(), 1)
	request(b, time.Second, 1, safe)
	first := r.last()
	start(b, 1004*ms, first)
	for i := range 6 {
		request(b, 1100*ms, JobID(i+2), safe)
	}
	pass(b, r, 1100*ms, 1300*ms)
	if b.tries == 0 {
		t.Fatal("no try was made: the test shows nothing")
	}
	tried := b.tries
	refill := &attempt{j: b.jobs[1], w: b.byID[1], sent: 1300 * ms}
	b.now = 1304 * ms
	b.byID[1].waiting++
	b.begin(b.jobs[1], refill)
	if b.tries != tried {
		t.Fatalf("tries %d -> %d", tried, b.tries)
	}
}

// Where unseen dispatchers were found to hold the slots, only a try beyond that view can show
// that they have left. Long waits between tries left the fleet idle and refused its work.
func TestTriesFindRoomThatOthersLeft(t *testing.T) {
	s := settings()
	s.Classes[unsafe].Target = s.Classes[unsafe].Deadline // none is given up here
	b, r := fixture(t, s, 8)
	for _, w := range b.workers {
		w.others = b.estimate(w)
	}
	run := seconds(b.meanRun())
	for id := range JobID(8) {
		request(b, time.Second, id+1, unsafe)
	}
	pass(b, r, time.Second, time.Second+3*run/2)
	if len(r.sends) < 8 {
		t.Fatalf("%d of 8 workers were tried in one and a half mean runs (%v)", len(r.sends), run)
	}
}

// Work that the queue could not bear was held for its client's whole patience, so that the
// terminal waited for nothing. It is given up by least worth, refused at once, and told
// when to come back; the densest job, once given up for its own predicted wait, stays.
func TestWhatIsGivenUpIsRefusedAtOnce(t *testing.T) {
	s := settings()
	s.Classes[unsafe].Worth = 50
	s.MaxRetryAfter = 2 * time.Second
	b, r := fixture(t, s, 0)
	for i := range 6 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: safe, ClientTimeout: 8 * time.Second, Slots: 1,
			ExpectedWork: time.Second})
	}
	b.SubmitJob(time.Second, Job{ID: 7, Class: unsafe, ClientTimeout: 8 * time.Second, Slots: 1, ExpectedWork: 500 * ms})
	if len(r.answers) == 0 || r.answers[7] != "" {
		t.Fatalf("answers %v", r.answers)
	}
	for id, a := range r.answers {
		if a != "refused" || r.backoffs[id] < leastBack || r.backoffs[id] > s.MaxRetryAfter {
			t.Fatalf("job %d %s, back in %v", id, a, r.backoffs[id])
		}
	}
}

// A job that may have run cannot be told to come back: it is not given up for the queue's
// length.
func TestWhatMayHaveRunIsNotShed(t *testing.T) {
	b, r := fixture(t, settings(), 0)
	for i := range 8 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: unsafe, ClientTimeout: 8 * time.Second, Slots: 1,
			ExpectedWork: time.Second})
		if j := b.jobs[JobID(i+1)]; j != nil && i == 0 {
			j.attempts = []*attempt{{j: j, w: &worker{}, done: true, ran: true}}
		}
	}
	if len(r.answers) == 0 || r.answers[1] != "" {
		t.Fatalf("answers %v", r.answers)
	}
}

// Shedding by density alone starves the least dense class, and the goal counts it.
func TestClassServedWorstWeighsMore(t *testing.T) {
	s := settings()
	s.TotalWeight, s.WorstClassWeight = 0.7, 0.2
	b, _ := fixture(t, s, 0)
	b.classes[0].ended, b.classes[0].inTime = 10, 2
	b.classes[1].ended, b.classes[1].inTime = 10, 9
	if b.boost(&b.classes[0]) <= 0 || b.boost(&b.classes[1]) != 0 {
		t.Fatalf("boosts %v, %v", b.boost(&b.classes[0]), b.boost(&b.classes[1]))
	}
}

func TestHopelessWorkIsRefusedEarly(t *testing.T) {
	b, r := fixture(t, settings(), 0)
	b.SubmitJob(time.Second, Job{ID: 1, Class: safe, ClientTimeout: 8 * time.Second, Slots: 1, ExpectedWork: 100 * ms})
	pass(b, r, time.Second, 3*time.Second)
	if r.answers[1] != "refused" {
		t.Fatalf("answer %q", r.answers[1])
	}
}

// Staff must see why work is shed, and still find the line among others.
func TestLogSaysWhyWithoutFlooding(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	for i := range 200 {
		b.SubmitJob(time.Second+time.Duration(i)*ms, Job{ID: JobID(i + 1), Class: unsafe, ClientTimeout: 8 * time.Second,
			Slots: 1, ExpectedWork: time.Second})
	}
	pass(b, r, 1200*ms, 4*time.Second)
	lines := map[string]int{}
	for _, l := range r.logs {
		for _, why := range []string{"given up", "no longer be in time"} {
			if strings.Contains(l, why) {
				lines[why]++
			}
		}
	}
	if len(lines) != 2 || lines["given up"] > 4 || lines["no longer be in time"] > 4 {
		t.Fatalf("lines %v of %d", lines, len(r.logs))
	}
}

// Fast failures free slots and would attract ever more work.
func TestFastErrorsAreHeldBack(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	at := time.Second
	for i := range 12 {
		before := len(r.sends)
		request(b, at, JobID(i+1), unsafe)
		if len(r.sends) > before {
			end(b, at+5*ms, r.last(), StatusError)
		}
		at += 20 * ms
	}
	if len(r.sends) > 3 {
		t.Fatalf("%d jobs of 12 went to a worker that fails all", len(r.sends))
	}
	if len(r.logs) == 0 || !strings.Contains(r.logs[0], "errors") {
		t.Fatalf("logs %v", r.logs)
	}
}

// A worker that begins jobs and then fails them is held back ever longer: its starts are no
// sign of health, or each short hold would end in another lost job.
func TestStartsDoNotExcuseErrors(t *testing.T) {
	b, r := fixture(t, settings(), 1)
	for id, at := JobID(1), time.Second; at < 21*time.Second; id, at = id+1, at+100*ms {
		before := len(r.sends)
		request(b, at, id, unsafe)
		if len(r.sends) > before {
			start(b, at+5*ms, r.last())
			end(b, at+20*ms, r.last(), StatusError)
		}
	}
	if len(r.sends) > 8 {
		t.Fatalf("%d jobs went to a worker that fails all", len(r.sends))
	}
	w := b.byID[1]
	for w.errors > failing { // one that has mended is trusted again
		w.held = 0
		request(b, 30*time.Second, 1000+JobID(len(r.sends)), unsafe)
		start(b, 30*time.Second, r.last())
		end(b, 30*time.Second, r.last(), StatusOK)
	}
	if w.strikes != 0 {
		t.Fatalf("%d strikes", w.strikes)
	}
}

// A restarted worker is another machine but for its name.
func TestRestartForgetsOldHealth(t *testing.T) {
	b, _ := fixture(t, settings(), 1)
	w := b.byID[1]
	w.slots, w.errors, w.strikes, w.held, w.count = 4, 0.9, 3, time.Hour, 5
	b.UpdateMembers(2*time.Second, UpdateDelta, []Member{{ID: 1, StartedAt: 2 * time.Second}})
	if w.slots != 0 || w.errors != 0 || w.strikes != 0 || w.held != 0 || w.count != 0 {
		t.Fatalf("kept %+v", w)
	}
}

// Jobs of one slot passed a job of two for ever.
func TestLargeJobIsNotStarved(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	for _, w := range b.workers {
		w.slots = 2
	}
	for i := range 4 {
		request(b, time.Second, JobID(i+1), safe)
	}
	running := append([]sent(nil), r.sends...)
	for _, s := range running {
		start(b, 1004*ms, s)
	}
	b.nextTry = time.Hour
	b.SubmitJob(1010*ms, Job{ID: 9, Class: safe, ClientTimeout: 8 * time.Second, Slots: 2})
	for i := range 4 {
		request(b, 1020*ms, JobID(i+20), safe)
	}
	for _, s := range running {
		end(b, 1100*ms, s, StatusOK)
	}
	if r.sentTo(9) == 0 {
		t.Fatalf("the large job still waits: %v", r.sends)
	}
}

func TestWorkBeyondAQuotaIsWorthLess(t *testing.T) {
	s := settings()
	s.Tenants, s.OverQuotaWorth = []Tenant{{Name: "a", Quota: 1}}, 0.1
	s.Classes[safe].Target = time.Hour // or the queue would be too long for some
	b, _ := fixture(t, s, 0)
	var worths []float64
	for i := range 4 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: safe, ClientTimeout: 8 * time.Second, Slots: 1})
		worths = append(worths, b.jobs[JobID(i+1)].worth)
	}
	if worths[0] != 1 || worths[3] != 0.1 {
		t.Fatalf("worths %v", worths)
	}
}

// overdueFixture has one long job on worker 1 that is past its threshold, and idle
// workers beside it.
func overdueFixture(t *testing.T, s Settings) (*Balancer, *recorder) {
	t.Helper()
	b, r := fixture(t, s, 3)
	request(b, time.Second, 1, safe)
	start(b, 1004*ms, r.last())
	b.kinds[0].limit[0] = 1
	return b, r
}

func TestOverdueJobIsCopiedAndLoserCancelled(t *testing.T) {
	b, r := overdueFixture(t, settings())
	first := r.last()
	pass(b, r, 1005*ms, 1200*ms)
	if r.sentTo(1) != 1 {
		t.Fatal("copied before its threshold")
	}
	b.now = 3 * time.Second
	b.schedule()
	if r.sentTo(1) != 2 || r.last().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
	end(b, 3100*ms, r.last(), StatusOK)
	if len(r.cancels) != 1 || r.cancels[0].attempt != 0 {
		t.Fatalf("loser not cancelled: %v", r.cancels)
	}
}

// Elapsed time alone takes a big job on a sound worker for a straggler.
func TestProgressTellsABigJobFromAStraggler(t *testing.T) {
	s := settings()
	s.ProgressInterval = time.Second
	b, r := overdueFixture(t, s)
	b.AttemptEvent(2900*ms, 1, 0, EventProgress, 0.9)
	b.now = 3 * time.Second
	b.schedule()
	if r.sentTo(1) != 1 {
		t.Fatalf("a job nine tenths done was copied: %v", r.sends)
	}
}

// A worker that stands still tells no progress.
func TestStalledJobIsCopied(t *testing.T) {
	s := settings()
	s.ProgressInterval = 100 * ms
	b, r := overdueFixture(t, s)
	b.kinds[0].limit[0] = math.Inf(1)
	b.now = 2 * time.Second
	b.schedule()
	if r.sentTo(1) != 2 {
		t.Fatalf("sends %v", r.sends)
	}
}

// A common slowdown trips every timer: copies must not displace first attempts.
func TestCommonSlowdownMakesNoCopies(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	for i := range 3 {
		request(b, time.Second, JobID(i+1), safe)
		start(b, 1004*ms, r.last())
	}
	b.kinds[0].limit[0] = 1
	b.now = 3 * time.Second
	waits := &job{Job: Job{ID: 9, Slots: 1}, c: &b.classes[safe], queued: true, born: b.now, end: 9 * time.Second}
	b.queue = append(b.queue, waits)
	if b.copyOverdue() {
		t.Fatalf("copied though most are overdue and a job waits: %v", r.sends)
	}
}

func TestListIsAskedAgainWithGrowingGaps(t *testing.T) {
	gapsOf := func(fleet int, seed uint64) []time.Duration {
		s := settings()
		s.PullMembers, s.Seed, s.FleetSize = true, seed, fleet
		b, r := fixture(t, s, 1)
		var gaps []time.Duration
		at := time.Second
		for range 6 {
			b.UpdateMembers(at, UpdateFailed, nil)
			before := r.watches
			from := at
			for r.watches == before {
				at += 5 * ms
				b.TimerFired(at, r.token)
			}
			gaps = append(gaps, at-from)
		}
		return gaps
	}
	// A change counts as told 6 s after discovery could be reached: few dispatchers ask often enough
	// for that; many keep an overbooked discovery from ever answering if they do.
	for fleet, most := range map[int]time.Duration{1: time.Second, 25: time.Second, 50: 2 * time.Second, 300: 4 * time.Second} {
		gaps := gapsOf(fleet, 1)
		for i, gap := range gaps { // each is its own share of a doubling gap, up to the most
			nominal := min(firstRetry<<i, most, settings().PullInterval/2)
			if gap < nominal/2 || gap > nominal+5*ms {
				t.Fatalf("%d dispatchers: gap %d of %v, %v: not from half of %v to all of it", fleet, i, gaps, gap, nominal)
			}
		}
	}
	gaps := gapsOf(1, 1)
	// Dispatchers that fail together must not ask again together: a list service that turns
	// callers away would meet the same herd each time.
	same := 0
	for seed := uint64(2); seed < 12; seed++ {
		if other := gapsOf(1, seed); other[0] == gaps[0] && other[1] == gaps[1] {
			same++
		}
	}
	if same > 1 {
		t.Fatalf("%d of 10 dispatchers asked again at the same instants as another", same)
	}
}

// Forgetting hidden holders by time made room that was not there; jobs were passed
// from worker to worker long after a surge.
func TestHiddenHoldersAreForgottenOnEvidenceOnly(t *testing.T) {
	s := settings()
	s.AllowProbes = true
	b, r := fixture(t, s, 1)
	w := b.byID[1]
	b.report(w, LoadReport{InFlight: 1, FreeSlots: 3, Queue: -1, Util: -1, ErrorRate: -1, FreeMemory: -1})
	request(b, time.Second, 1, keyedAll)
	pass(b, r, time.Second, 1500*ms)
	full := b.room(w)
	b.now = 20 * time.Second
	if got := b.room(w); full > 0 || got != full {
		t.Fatalf("room %v after a late start, %v much later", full, got)
	}
	b.ProbeDone(b.now, 1, StatusOK, ms, LoadReport{InFlight: 1, FreeSlots: 3, Queue: -1, Util: -1, ErrorRate: -1,
		FreeMemory: -1})
	if got := b.room(w); got != 3 {
		t.Fatalf("room %v after a probe that shows three free", got)
	}
}

// A worker that hangs and is then told to drain gets nothing new, and what it holds is
// answered all the same: a safe job by a copy, an unsafe one by a failure at the end.
func TestDrainDuringAHang(t *testing.T) {
	s := settings()
	s.ProgressInterval = time.Second
	b, r := fixture(t, s, 2)
	request(b, time.Second, 1, safe)
	hung := r.last()
	start(b, 1004*ms, hung)
	b.byID[hung.to].slots = 2 // its second slot takes the unsafe job
	b.byID[3-hung.to].State = Gone
	request(b, 1010*ms, 2, unsafe)
	start(b, 1014*ms, r.last())
	b.UpdateMembers(1100*ms, UpdateDelta, []Member{{ID: hung.to, Weight: 1, State: Draining},
		{ID: 3 - hung.to, Weight: 1, State: Serving}})
	request(b, 1200*ms, 3, keyedAll)
	if r.last().to == hung.to || r.sentTo(3) != 1 {
		t.Fatalf("sends %v after the drain of %d", r.sends, hung.to)
	}
	start(b, 1204*ms, r.last())
	end(b, 1300*ms, r.last(), StatusOK)
	pass(b, r, 1300*ms, 5*time.Second)
	if r.sentTo(1) != 2 || r.last().to == hung.to {
		t.Fatalf("the hung safe job was not copied: %v", r.sends)
	}
	if r.sentTo(2) != 1 {
		t.Fatalf("an unsafe job that had started was sent again: %v", r.sends)
	}
	end(b, 9009*ms, sent{2, hung.to, 0}, StatusTimeout)
	if r.answers[2] != "failed" {
		t.Fatalf("answer %q", r.answers[2])
	}
}

// A crossing was paid for every run that promised to be a few percent faster, though
// local workers were free and the answer was in time anyway.
func TestZonesAreNotCrossedForAFewPercent(t *testing.T) {
	s := settings()
	s.CrossZonePrice = 0.02
	for _, c := range []struct {
		slow float64 // how much slower the local worker is, as a logarithm
		to   WorkerID
	}{{0.05, 1}, {0.7, 2}} {
		b, r := fixture(t, s, 0)
		b.UpdateMembers(time.Second, UpdateFull, []Member{{ID: 1, Zone: 0}, {ID: 2, Zone: 1}})
		for _, w := range b.workers {
			w.lag, w.count, w.sized = 0.001, 1000, b.now
		}
		b.byID[1].size = 1000 * c.slow
		request(b, time.Second, 1, safe)
		if r.last().to != c.to {
			t.Errorf("local worker slower by e^%v: sent to %d, want %d", c.slow, r.last().to, c.to)
		}
	}
}

// A worker once taken for too small was never tried while faster ones were full too:
// its free slot stayed idle through an overload.
func TestTriesGoFirstToWorkersTakenForTooSmall(t *testing.T) {
	b, r := fixture(t, settings(), 3)
	for i, slots := range []float64{2, 1, 2} {
		w := b.workers[i]
		w.Weight, w.slots = 2, slots
		b.slotsByWeight = 0.9
	}
	b.byID[2].size, b.byID[2].count = 0.5, 3 // and it is slow
	for i := range 6 {
		request(b, time.Second, JobID(i+1), unsafe)
		if len(r.sends) == i+1 && i < 5 {
			start(b, time.Second+4*ms, r.last())
		}
	}
	if len(r.sends) != 6 || r.last().to != 2 {
		t.Fatalf("sends %v, want the sixth at worker 2", r.sends)
	}
}

// Noisy counts of held jobs made slots that no worker had: dispatchers of a full fleet
// sent work after work there, and each waited in the worker's queue.
func TestNoisyReportsMakeNoSlots(t *testing.T) {
	report := func(free, held float64) LoadReport {
		return LoadReport{InFlight: held, FreeSlots: free, Queue: -1, Util: -1, ErrorRate: -1, FreeMemory: -1}
	}
	for _, c := range []struct {
		name    string
		reports []LoadReport
		size    float64
		room    float64
	}{
		{"full by its own word", []LoadReport{report(5, 0), report(0, 3.8)}, 5, 0},
		{"one count too high", []LoadReport{report(5, 0), report(4.9, 0), report(6.2, 0), report(4.7, 0)}, 5, 5},
		{"half full", []LoadReport{report(5, 0), report(3.1, 2.2)}, 5, 3},
	} {
		s := settings()
		s.AllowProbes = true
		b, _ := fixture(t, s, 1)
		w := b.byID[1]
		for _, r := range c.reports {
			b.report(w, r)
		}
		if b.estimate(w) != c.size || b.room(w) != c.room {
			t.Errorf("%s: size %v, room %v, want %v, %v", c.name, b.estimate(w), b.room(w), c.size, c.room)
		}
	}
}

// Where a worker must fetch what a key needs, a job goes where its key was met.
func TestKeyedDataDrawsJobs(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	b.keyMiss = 0.7
	homes := map[WorkerID]bool{}
	at := time.Second
	for i := range 6 {
		b.SubmitJob(at, Job{ID: JobID(i + 1), Class: unsafe, ClientTimeout: 8 * time.Second, Slots: 1, Key: "k"})
		homes[r.last().to] = true
		start(b, at+4*ms, r.last())
		b.ClientGone(at+10*ms, JobID(i+1)) // an end that teaches nothing of speed
		end(b, at+10*ms, r.last(), StatusTimeout)
		at += time.Second
	}
	if len(homes) > 2 {
		t.Fatalf("one key met at %d workers", len(homes))
	}
}

// An attempt that is still out may yet have its effect: a refusal would tell the
// client that a repeat is harmless.
func TestNoRefusalWhileAnUnsafeAttemptIsOut(t *testing.T) {
	for class, want := range map[int]string{unsafe: "failed", keyedCell: "failed", keyedAll: "refused", safe: "refused"} {
		b, r := fixture(t, settings(), 2)
		request(b, time.Second, 1, class)
		b.answer(b.jobs[1])
		if r.answers[1] != want {
			t.Errorf("class %d: %q", class, r.answers[1])
		}
	}
}

func TestUnmetKindIsSizedByItsWeight(t *testing.T) {
	b, _ := fixture(t, settings(), 2)
	b.workers[1].Kind, b.workers[1].Weight = 1, 3
	b.setSlots(b.workers[0], 2)
	if got := b.estimate(b.workers[1]); got != 6 {
		t.Fatalf("three times the weight of two slots: %v", got)
	}
}

func TestGoneWorkersAreForgotten(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	request(b, time.Second, 1, safe)
	busy := r.last()
	b.UpdateMembers(time.Second, UpdateFull, []Member{{ID: 9}})
	if len(b.workers) != 3 {
		t.Fatalf("%d workers kept at once: one may come back", len(b.workers))
	}
	b.UpdateMembers(2*time.Minute, UpdateFull, []Member{{ID: 9}})
	if len(b.workers) != 2 {
		t.Fatalf("%d workers kept, the new and the busy one wanted", len(b.workers))
	}
	end(b, 3*time.Minute, busy, StatusOK)
	b.UpdateMembers(3*time.Minute, UpdateFull, []Member{{ID: 9}})
	if len(b.workers) != 1 || len(b.byID) != 1 {
		t.Fatalf("%d workers kept", len(b.workers))
	}
}

// Where second copies are not allowed a safe job is withdrawn like a keyed one.
func TestLateStartWithoutSecondCopies(t *testing.T) {
	s := settings()
	s.AllowCopies = false
	b, r := fixture(t, s, 2)
	request(b, time.Second, 1, safe)
	first := r.last()
	pass(b, r, time.Second, 2*time.Second)
	if r.sentTo(1) != 1 || len(r.cancels) != 1 {
		t.Fatalf("sends %v, cancels %v", r.sends, r.cancels)
	}
	end(b, 2*time.Second, first, StatusCancelled)
	if r.last().to == first.to {
		t.Fatalf("sends %v", r.sends)
	}
}

// A dispatcher with one long job and nothing else to do still says that it lives.
func TestLongWorkIsRepeatedToPeers(t *testing.T) {
	b, r := fixture(t, withPeers(), 1)
	request(b, time.Second, 1, safe)
	start(b, 1004*ms, r.last())
	before, at := len(r.told), 1004*ms
	for at < 6*time.Second {
		at += max(r.wake, ms)
		b.TimerFired(at, r.token)
	}
	if len(r.told) < before+2 {
		t.Fatalf("%d messages in five seconds", len(r.told)-before)
	}
}

// Once a stream has begun the attempt is the client's: copies go, no deadline runs.
func TestStreamBelongsToTheClient(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	request(b, time.Second, 1, safe)
	pass(b, r, time.Second, 1500*ms) // a late start is copied
	if r.sentTo(1) != 2 {
		t.Fatal("no copy was made: the test shows nothing")
	}
	b.StreamStarted(1600*ms, 1, 0)
	if len(r.cancels) != 1 || r.cancels[0].attempt != 1 {
		t.Fatalf("cancels %v", r.cancels)
	}
	pass(b, r, 9*time.Second, 12*time.Second)
	if r.answers[1] != "" || r.sentTo(1) != 2 {
		t.Fatalf("answer %q, sent %d times", r.answers[1], r.sentTo(1))
	}
}

func TestJobsGoOnlyWhereTheyFit(t *testing.T) {
	s := settings()
	s.TracksMemory = true
	s.Classes[safe].WorkerKind = 1
	b, r := fixture(t, s, 2)
	b.workers[1].Kind = 1
	b.workers[1].slots = 2
	for i := range 2 {
		b.SubmitJob(time.Second, Job{ID: JobID(i + 1), Class: safe, ClientTimeout: 8 * time.Second, Slots: 1, Memory: 1.5})
	}
	if len(r.sends) != 1 || r.last().to != 2 {
		t.Fatalf("sends %v, want one to the worker of kind 1, whose memory holds one job", r.sends)
	}
}

// When nearly all workers look bad the cause is common, and dispatch goes on.
func TestDoubtFallsOnACommonCause(t *testing.T) {
	b, r := fixture(t, settings(), 4)
	for _, w := range b.workers {
		b.hold(w, 3600, "connections")
	}
	request(b, time.Second, 1, safe)
	if len(r.sends) != 1 {
		t.Fatalf("all workers held back: sends %v", r.sends)
	}
	b.workers[0].held, b.workers[1].held = 0, 0
	for i := range 4 {
		request(b, time.Second, JobID(i+2), safe)
	}
	for _, s := range r.sends[1:] {
		if s.to > 2 {
			t.Fatalf("half of the workers held back: sends %v", r.sends)
		}
	}
}

func largeFleetFixture(t *testing.T, workers int) (*Balancer, *recorder) {
	t.Helper()
	s := withPeers()
	s.FleetSize = 200
	return fixture(t, s, workers)
}

// Messages to all cost the square of the dispatchers: a large fleet says nothing.
func TestALargeFleetSendsNoMessages(t *testing.T) {
	b, r := largeFleetFixture(t, 4)
	request(b, time.Second, 1, safe)
	pass(b, r, time.Second, 5*time.Second)
	if len(r.told) > 0 {
		t.Fatalf("told %d messages to 199 peers", len(r.told))
	}
}

// Dispatchers that see alike must not choose alike.
func TestALargeFleetSpreads(t *testing.T) {
	got := map[WorkerID]int{}
	for seed := range 40 {
		s := withPeers()
		s.FleetSize, s.Seed = 200, uint64(seed)
		b, r := fixture(t, s, 100)
		b.byID[7].size, b.byID[7].count = -5, 10 // all know one fast worker
		request(b, 20*time.Second, 1, safe)
		got[r.last().to]++
	}
	if got[7] > 20 || len(got) < 10 {
		t.Fatalf("40 dispatchers chose %v", got)
	}
}

// A late start says that a worker is full now, not for ever.
func TestALargeFleetForgetsFullWorkers(t *testing.T) {
	b, r := largeFleetFixture(t, 1)
	request(b, time.Second, 1, unsafe)
	pass(b, r, time.Second, 2*time.Second)
	w := b.byID[1]
	if odds := b.odds(w); odds > 0.5 {
		t.Fatalf("odds %v right after a late start", odds)
	}
	b.now = 10 * time.Second
	if odds := b.odds(w); odds < 0.6 {
		t.Fatalf("odds %v long after a late start", odds)
	}
}

// Unseen dispatchers fill the slots, so a safe job stands in several queues; the first
// start wins and the others are withdrawn.
func TestALargeFleetsJobWaitsAtSeveralWorkers(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	request(b, time.Second, 1, safe)
	pass(b, r, time.Second, 1400*ms)
	if r.sentTo(1) < 3 {
		t.Fatalf("no start came, and the job waits at %d workers only", r.sentTo(1))
	}
	start(b, 1410*ms, r.sends[1])
	if len(r.cancels) != r.sentTo(1)-1 {
		t.Fatalf("%d sends, one start, %d cancelled", r.sentTo(1), len(r.cancels))
	}
}

// A job that nobody has begun and that can no longer be in time only stands in others' way.
func TestALargeFleetWithdrawsLateWaitingWork(t *testing.T) {
	b, r := largeFleetFixture(t, 2)
	b.pace = 3 // no size is in time any more once the aim has passed
	request(b, time.Second, 1, safe)
	pass(b, r, time.Second, 3*time.Second)
	if r.answers[1] != "refused" || len(r.cancels) != r.sentTo(1) {
		t.Fatalf("answers %v, cancels %v of %d sends", r.answers, r.cancels, r.sentTo(1))
	}
}

// Where the own zone's workers are full others' are tried, as each zone's odds are its own.
func TestALargeFleetLearnsToCross(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	b.byID[1].group.usual = 0.05
	request(b, 20*time.Second, 1, safe)
	if b.byID[r.last().to].Zone != 1 {
		t.Fatalf("sent to a full zone: %v", r.sends)
	}
}

// Where workers tell of their room when asked, a large fleet's job is sent on a worker's word.
func TestALargeFleetAsksBeforeItSends(t *testing.T) {
	s := settings()
	s.FleetSize, s.AllowProbes = 200, true
	b, r := fixture(t, s, 40)
	b.window = 0
	request(b, time.Second, 1, safe)
	if len(r.probes) == 0 || len(r.sends) > 0 {
		t.Fatalf("probes %v, sends %v", r.probes, r.sends)
	}
	free := NoLoadReport()
	free.InFlight, free.FreeSlots = 0, 4
	b.ProbeDone(1004*ms, r.probes[0], StatusOK, 4*ms, free)
	if len(r.sends) != 1 || r.last().to != r.probes[0] {
		t.Fatalf("worker %d has room, sends %v", r.probes[0], r.sends)
	}
}

// Each of many dispatchers meets a worker of a lost zone once at most: the first few losses
// speak for the zone.
func TestALargeFleetLeavesALostZone(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	for i := range 4 {
		b.lost(b.byID[WorkerID(i+1)])
		b.byID[WorkerID(i+1)].held = 0
	}
	request(b, 20*time.Second, 1, safe)
	if b.byID[r.last().to].Zone != 1 {
		t.Fatalf("sent to a lost zone: %v", r.sends)
	}
}

// Late starts close the window on jobs that wait in workers' queues, or an overload would
// stand there, out of reach of shedding.
func TestLateStartsCloseTheWindow(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	b.pace = 1.5
	before := b.window
	request(b, time.Second, 1, unsafe)
	pass(b, r, time.Second, 1800*ms)
	start(b, 1800*ms, r.last())
	if b.window > before/2 {
		t.Fatalf("window %v, before %v", b.window, before)
	}
}

// An attempt that failed at once must not hide the job's others, which still wait.
func TestAFailedAttemptHidesNoWaitingOne(t *testing.T) {
	b, r := largeFleetFixture(t, 8)
	b.pace = 3
	request(b, time.Second, 1, safe)
	b.s.MaxAttempts = 2
	pass(b, r, time.Second, 1250*ms)
	end(b, 1260*ms, r.last(), StatusFull)
	pass(b, r, 1260*ms, 3*time.Second)
	if r.answers[1] != "refused" {
		t.Fatalf("answers %v", r.answers)
	}
}

// An unsafe job that waits in one worker's queue can go nowhere else: before it is sent
// blindly a few dispatchers are asked for a sign of room, and one sign serves one job.
func TestALargeFleetAsksForSignsOfRoom(t *testing.T) {
	b, r := largeFleetFixture(t, 40)
	request(b, time.Second, 1, unsafe)
	if len(r.sends) > 0 || len(r.told) == 0 || r.told[0][0] != askMessage {
		t.Fatalf("sends %v, told %v", r.sends, r.told)
	}
	b.PeerMessage(1010*ms, 7, []byte{slotMessage, 0, 0, 0, 9, 0})
	if len(r.sends) != 1 || r.last().to != 9 {
		t.Fatalf("a sign of room at worker 9, sends %v", r.sends)
	}
	request(b, 2*time.Second, 2, unsafe)
	pass(b, r, 2*time.Second, 2100*ms)
	if r.sentTo(2) != 1 {
		t.Fatal("no sign came, and the job is held for ever")
	}
}

func TestALargeFleetLendsASignOnce(t *testing.T) {
	b, r := largeFleetFixture(t, 40)
	request(b, time.Second, 1, safe)
	start(b, 1004*ms, r.last())
	end(b, 1500*ms, r.last(), StatusOK)
	b.PeerMessage(1510*ms, 3, []byte{askMessage})
	b.PeerMessage(1511*ms, 4, []byte{askMessage})
	if len(r.told) != 1 || r.told[0][0] != slotMessage || WorkerID(r.told[0][4]) != r.last().to {
		t.Fatalf("one slot came free, told %v", r.told)
	}
}

// A report that comes with an end is older than the end, and still counts the job.
func TestAnEndIsASignOfRoomWhateverTheReport(t *testing.T) {
	b, r := largeFleetFixture(t, 40)
	request(b, time.Second, 1, safe)
	start(b, 1004*ms, r.last())
	full := NoLoadReport()
	full.FreeSlots = 0
	b.AttemptDone(1500*ms, AttemptResult{Job: 1, Worker: r.last().to, Status: StatusOK, JobDone: true, Report: full})
	if w := b.byID[r.last().to]; w.sign != signEnd {
		t.Fatalf("sign %d, odds %v", w.sign, b.odds(w))
	}
}

// Under overload a waiting job that will likely be late stands before likelier ones.
func TestOverloadWithdrawsUnlikelyWaitingWork(t *testing.T) {
	for _, c := range []struct {
		window float64
		want   string
	}{{2, ""}, {0, "refused"}} {
		b, r := largeFleetFixture(t, 2)
		request(b, time.Second, 1, safe)
		b.window, b.pace = c.window, 1.5
		pass(b, r, time.Second, 1700*ms)
		if r.answers[1] != c.want {
			t.Errorf("window %v: answer %q, want %q", c.window, r.answers[1], c.want)
		}
	}
}

// A release makes most of a large fleet cold; a choice must not look at them all.
func TestAChoiceCostsTheSameInEveryFleet(t *testing.T) {
	b, _ := largeFleetFixture(t, 1)
	var list []Member
	for i := range 1000 {
		list = append(list, Member{ID: WorkerID(i + 1), Weight: 1, StartedAt: 100 * time.Second})
	}
	b.UpdateMembers(101*time.Second, UpdateFull, list)
	if n := len(b.candidates()); n > 3*looked {
		t.Fatalf("%d of 1000 workers looked at for a choice", n)
	}
}

// Where few dispatchers meet each worker often, a worker's lag is its own: one far worker
// must not be taken for as near as the nearest of its group.
func TestLagsAreAWorkersOwnOutsideACrowd(t *testing.T) {
	b, _ := fixture(t, settings(), 2)
	far := b.byID[1]
	far.group.lag, far.lag = 0.001, 0.2
	if got := b.startBound(&attempt{j: &job{c: &b.classes[safe]}, w: far}); got < 600*ms {
		t.Fatalf("bound %v", got)
	}
	if b.lagOf(far) != far.lag {
		t.Fatal("a group's lag outside a large fleet")
	}
}
