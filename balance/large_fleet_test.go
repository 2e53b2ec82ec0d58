package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

// newLargeFleet returns n dispatchers that know a cold worker (1, started at 99 s) and a warm one (2),
// both of weight 3, as a large fleet's new and old workers.
func newLargeFleet(t *testing.T, n int) ([]*Balancer, []*recorder) {
	t.Helper()
	s := settings()
	s.FleetSize = n
	var bs []*Balancer
	var rs []*recorder
	for i := range n {
		s.Position = i
		r := newRecorder()
		b, err := New(s, r)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateMembers(90*time.Second, UpdateFull, []Member{{ID: 1, Weight: 3, StartedAt: 99 * time.Second},
			{ID: 2, Weight: 3}})
		bs, rs = append(bs, b), append(rs, r)
	}
	return bs, rs
}

// A large fleet's new workers stood idle while its old ones queued: each cold worker's
// budget was one dispatcher's of 80, and that one saw a job a second. The fleet together
// must fill much of the budget, and never go past it.
func TestLargeFleetFillsAColdWorkerWithinItsBudget(t *testing.T) {
	const fleet = 80
	bs, rs := newLargeFleet(t, fleet)
	type spent struct {
		when, cost float64
		by         int
	}
	var all []spent
	id := JobID(1)
	for now := 100 * time.Second; now < 108*time.Second; now += 20 * ms {
		step := int(now / (20 * ms))
		for i, b := range bs {
			if (step+i*5)%50 != 0 { // a job a second at each, spread over the second
				continue
			}
			before := len(rs[i].sends)
			request(b, now, id, unsafe)
			id++
			for _, s := range rs[i].sends[before:] {
				if s.to == 1 {
					all = append(all, spent{now.Seconds(), b.classes[unsafe].mean, i})
				}
				end(b, now, s, StatusError) // room comes back at once
				for _, w := range b.workers {
					w.held, w.errors = 0, 0
				}
			}
		}
	}
	// What pushes the worker over in a window of 2 s from a: its weight, the cold share
	// by then, the factor, and the slack for chance.
	over := func(a float64) float64 { return pushesOver(3*2*3*(0.3+0.7*(a-99)/10), bs[0].meanRun()) }
	most, owners := 0.0, map[int]bool{}
	for i, a := range all {
		owners[a.by] = true
		sum := 0.0
		for _, o := range all[i:] {
			if o.when < a.when+2 {
				sum += o.cost
			}
		}
		if sum > 0.75*over(a.when) {
			t.Fatalf("window from %.2f: %.2f s of work, safe is %.2f", a.when, sum, 0.75*over(a.when))
		}
		most = max(most, sum/over(a.when))
	}
	if most < 0.35 || len(owners) < 4 {
		t.Fatalf("at most %.2f of what would push the worker over in a window, from %d dispatchers",
			most, len(owners))
	}
}

// pushesOver is the work in a window that pushes a worker over which bears n by the settings.
func pushesOver(n, mean float64) float64 { return n + 2*math.Sqrt(n*mean) + 2*mean }

// Whatever the fleet's size, the worker's size and age, and however greedy all dispatchers are at
// once, with jobs of any sizes and with means learned apart: no window holds two thirds of what pushes
// a cold worker over, so that no fall, with what those send that were not told of its start, is mostly
// ours; and in none that is whole does most of the allowance have no owner.
func TestLargeFleetKeepsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.FleetSize = rapid.SampledFrom([]int{20, 24, 25, 30, 80, 300, 324}).Draw(t, "fleet")
		s.OverloadWindow = rapid.SampledFrom([]time.Duration{500 * ms, time.Second, 2 * time.Second}).Draw(t, "span")
		s.ColdCapacity = rapid.Float64Range(0.1, 0.9).Draw(t, "cold from")
		weight := float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		spread := rapid.Float64Range(0, 0.25).Draw(t, "spread")
		largest := rapid.Float64Range(0.2, 4).Draw(t, "largest") // in means
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		start := 100 * time.Second
		id := WorkerID(rng.Uint32())
		bs := make([]*Balancer, s.FleetSize)
		var mean float64
		for i := range bs {
			s.Position = i
			bs[i], _ = New(s, newRecorder())
			bs[i].UpdateMembers(90*time.Second, UpdateFull, []Member{{ID: id, Weight: weight, StartedAt: start}})
			mean = bs[i].meanRun()
			for c := range bs[i].classes {
				bs[i].classes[c].mean *= 1 + spread*(2*rng.Float64()-1)
			}
		}
		type spent struct{ at, cost float64 }
		var all []spent
		for now := start; now < start+s.WarmUp; now += s.OverloadWindow / 10 {
			for _, i := range rng.Perm(len(bs)) {
				b := bs[i]
				b.now = now
				w := b.byID[id]
				for range 20 { // greedy, but not for ever
					j := &job{Job: Job{ExpectedWork: seconds(mean * largest * rng.Float64())}, c: &b.classes[0]}
					if !b.coldAllows(j, w) {
						break
					}
					w.spent = append(w.spent, spending{now, b.sizeOf(j)})
					all = append(all, spent{now.Seconds(), b.sizeOf(j)})
				}
			}
		}
		span, most := s.OverloadWindow.Seconds(), 0.0
		for i, a := range all {
			sum := 0.0
			for _, o := range all[i:] {
				if o.at < a.at+span-1e-9 {
					sum += o.cost
				}
			}
			age := a.at - start.Seconds()
			over := pushesOver(s.OverloadFactor*weight*span*(s.ColdCapacity+(1-s.ColdCapacity)*age/s.WarmUp.Seconds()), mean)
			if sum > 2.0/3*over {
				t.Fatalf("window from %.2f s: %.2f of work, %.2f pushes it over", age, sum, over)
			}
			most = max(most, sum/over)
		}
		if s.FleetSize > largeFleetAbove && largest < 0.8 && most < 0.3 {
			t.Fatalf("all greedy, and at most %.2f of what pushes it over", most)
		}
	})
}

// A worker whose allowance held more usual jobs than there are dispatchers was cut into parts that
// no one could own: 25 dispatchers had 25 of 46. All parts but one have an owner.
func TestLargeFleetOwnsAllPartsButOne(t *testing.T) {
	for _, fleet := range []int{25, 80, 324} {
		s := settings()
		s.FleetSize, s.ColdCapacity = fleet, 0.9
		all, bears := 0.0, 0.0
		for s.Position = range fleet {
			b, err := New(s, newRecorder())
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateMembers(90*time.Second, UpdateFull, []Member{{ID: 7, Weight: 8, StartedAt: 100 * time.Second}})
			b.now = 106 * time.Second
			w := b.byID[7]
			all, bears = all+b.coldPart(w, 6*time.Second), b.coldBears(w, 6*time.Second, b.meanRun())
		}
		if all < 0.9*bears || all > 0.99*bears {
			t.Errorf("%d dispatchers own %.1f s of work of %.1f that a large cold worker bears", fleet, all, bears)
		}
	}
}

// One of many sees at most a job or two of its own at a worker; taken for the worker's
// size, that made every worker one slot, and its cold budget a third of what it is.
func TestLargeFleetTakesASizeFromTheList(t *testing.T) {
	bs, rs := newLargeFleet(t, 80)
	b, r := bs[0], rs[0]
	w := b.byID[2]
	request(b, 100*time.Second, 1, safe)
	if len(r.sends) == 0 {
		t.Fatal("nothing sent")
	}
	b.AttemptEvent(100*time.Second+10*ms, r.last().job, r.last().attempt, EventStarted, 0)
	if got := b.estimate(w); got != 3 {
		t.Fatalf("a worker of weight 3 with one job of ours started is taken for %v slots", got)
	}
	// Alone, a dispatcher sees what a worker holds, and learns it by the count.
	one, _ := fixture(t, settings(), 2)
	one.byID[1].Weight = 3
	one.setSlots(one.byID[1], 1)
	if got := one.estimate(one.byID[1]); got != 1 {
		t.Fatalf("a lone dispatcher takes a worker that it found full with one job for %v slots", got)
	}
}

// In a large fleet others' jobs are ahead of some of ours at every worker. Where a start that
// took three least lags counted as late, every dispatcher copied jobs that merely queued
// for tens of milliseconds, twice each, and all together filled every queue with copies.
func TestALargeFleetDoesNotCopyAJobThatMerelyQueues(t *testing.T) {
	for _, wait := range []time.Duration{40 * ms, 100 * ms, 200 * ms} {
		s := settings()
		s.FleetSize = 80
		b, r := fixture(t, s, 4)
		at := 10 * time.Second
		for i := range 20 { // starts after 4 ms teach the least lag
			request(b, at, JobID(100+i), safe)
			start(b, at+4*ms, r.last())
			end(b, at+30*ms, r.last(), StatusOK)
			at += 100 * ms
		}
		request(b, at, 1, safe)
		pass(b, r, at, at+wait)
		copied := r.sentTo(1) > 1
		// The class's aim is 300 ms: half of it may go by in a queue.
		if late := wait > 150*ms; copied != late {
			t.Fatalf("a job that waited %v to start: copied %v", wait, copied)
		}
	}
}

// Tries whose connection never came up are no attempts, but they are bounded too.
func TestUnreachedTriesAreBounded(t *testing.T) {
	b, r := fixture(t, settings(), 20)
	request(b, 10*time.Second, 1, safe)
	for i := 0; i < 30 && len(r.sends) > i; i++ {
		end(b, 10*time.Second+time.Duration(i)*ms, r.sends[i], StatusUnreachable)
	}
	if got := r.sentTo(1); got != 3*4 {
		t.Fatalf("%d tries, all unreached, at most 4 attempts: want 12", got)
	}
	if r.answers[1] != "refused" {
		t.Fatalf("answer %q", r.answers[1])
	}
}

// Among few, one dispatcher sees enough work to fill a cold worker's budget: it keeps all of
// it in its turn. Parts of it were too small for the larger jobs, and the hand day, where a
// worker taken back returns cold, lost by them.
func TestAFewKeepAColdBudgetWhole(t *testing.T) {
	s := settings()
	s.FleetSize = 2
	sent := 0
	for pos := range 2 {
		s.Position = pos
		b, r := fixture(t, s, 1)
		w := b.byID[1]
		w.StartedAt, w.slots = 99*time.Second, 4
		// Age 1 s: the budget is 0.7 x 3 x 0.3 x 4 x 2 s, about 5 s of work; this job is 3.5.
		b.SubmitJob(100*time.Second, Job{ID: 1, Class: unsafe, Tenant: -1, ClientTimeout: 8 * time.Second, Slots: 1,
			ExpectedWork: 3500 * ms})
		sent += len(r.sends)
	}
	if sent != 1 {
		t.Fatalf("a job of two thirds of a cold worker's budget sent by %d of 2 dispatchers", sent)
	}
}
