package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

// A cold worker has little capacity. The work from all dispatchers together must stay within its budget in
// every window, including work that it refuses. Equal parts for all dispatchers left the worker idle in
// large fleets, since no job fitted a part.
func TestColdBudgetHoldsInEveryWindow(t *testing.T) {
	type coldWork struct{ at, work float64 }
	for i, fleet := range []int{1, 2, 3, 20, 80, 1, 2, 3, 20, 80} {
		restarts := i > 4
		s := settings()
		s.FleetSize = fleet
		var balancers []*Balancer
		var recorders []*recorder
		for range fleet {
			balancers, recorders = append(balancers, nil), append(recorders, newRecorder())
		}
		startAll := func(at time.Duration) {
			for i := range balancers {
				s.Position = i
				b, err := New(s, recorders[i])
				if err != nil {
					t.Fatal(err)
				}
				b.UpdateMembers(at, UpdateFull, []Member{{ID: 1, Weight: 1, StartedAt: 99 * time.Second}})
				b.byID[1].slots = 4
				balancers[i] = b
			}
		}
		startAll(90 * time.Second)
		var sends []coldWork
		id := JobID(1)
		for now := 100 * time.Second; now < 108*time.Second; now += 20 * ms {
			if restarts && (now == 100*time.Second+600*ms || now == 106*time.Second) {
				startAll(now) // a restarted dispatcher does not know what it sent
			}
			for i, b := range balancers {
				before := len(recorders[i].sends)
				submit(b, now, id, nonIdempotent)
				id++
				for _, s := range recorders[i].sends[before:] {
					sends = append(sends, coldWork{now.Seconds(), b.classes[nonIdempotent].meanWork})
					reportResult(b, now, s, StatusError) // the slot is free again at once
					b.workers[0].heldUntil, b.workers[0].errorRate = 0, 0
				}
			}
		}
		for i, first := range sends {
			work := 0.0
			for _, send := range sends[i:] {
				if send.at <= first.at+2 {
					work += send.work
				}
			}
			budget := 3 * 2 * 4 * (0.3 + 0.7*(first.at-99)/10)
			if fleet > maxSmallFleet { // a large fleet uses the allowance for random variation
				budget += 3*math.Sqrt(budget*balancers[0].meanRun()) + 3*balancers[0].meanRun()
			}
			if budget *= 0.75; work > budget {
				t.Fatalf("%d dispatchers, window from %.2f s: %.2f s of work, limit %.2f s", fleet, first.at, work, budget)
			}
		}
		if len(sends) == 0 || sends[0].at > 103 {
			t.Fatalf("%d dispatchers: %d sends, but none in the first seconds", fleet, len(sends))
		}
	}
}

// In a small fleet one dispatcher has enough jobs to use a cold worker's budget, so it owns all of it in its turn.
// Parts of the budget were too small for large jobs, which scored lower where a worker that had been taken away
// returned cold.
func TestSmallFleetColdBudgetHasOneOwner(t *testing.T) {
	s := settings()
	s.FleetSize = 2
	sent := 0
	for pos := range 2 {
		s.Position = pos
		b, r := fixture(t, s, 1)
		w := b.byID[1]
		w.StartedAt, w.slots = 99*time.Second, 4
		// Age 1 s: the budget is 0.7 x 3 x 0.3 x 4 x 2 s, about 5 s of work; this job is 3.5.
		b.SubmitJob(100*time.Second, Job{ID: 1, Class: nonIdempotent, Tenant: -1, ClientTimeout: 8 * time.Second, Slots: 1,
			ExpectedWork: 3500 * ms})
		sent += len(r.sends)
	}
	if sent != 1 {
		t.Fatalf("a job of two thirds of a cold worker's budget was sent by %d of 2 dispatchers", sent)
	}
}

// newLargeFleet returns n dispatchers that know two workers of weight 3: worker 1, which is cold since 99 s,
// and worker 2, which is warm.
func newLargeFleet(t *testing.T, n int) ([]*Balancer, []*recorder) {
	t.Helper()
	s := settings()
	s.FleetSize = n
	var balancers []*Balancer
	var recorders []*recorder
	for i := range n {
		s.Position = i
		r := newRecorder()
		b, err := New(s, r)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateMembers(90*time.Second, UpdateFull, []Member{{ID: 1, Weight: 3, StartedAt: 99 * time.Second},
			{ID: 2, Weight: 3}})
		balancers, recorders = append(balancers, b), append(recorders, r)
	}
	return balancers, recorders
}

// In a large fleet cold workers stood idle while jobs queued at the warm ones: the whole budget of a cold
// worker was owned by one of 80 dispatchers, which had one job per second. The dispatchers together must use
// much of the budget and never exceed it.
func TestLargeFleetUsesColdBudget(t *testing.T) {
	const fleet = 80
	balancers, recorders := newLargeFleet(t, fleet)
	type coldWork struct {
		at, work float64
		by       int
	}
	var sends []coldWork
	id := JobID(1)
	for now := 100 * time.Second; now < 108*time.Second; now += 20 * ms {
		step := int(now / (20 * ms))
		for i, b := range balancers {
			if (step+i*5)%50 != 0 { // one job per second at each dispatcher, spread over the second
				continue
			}
			before := len(recorders[i].sends)
			submit(b, now, id, nonIdempotent)
			id++
			for _, s := range recorders[i].sends[before:] {
				if s.to == 1 {
					sends = append(sends, coldWork{now.Seconds(), b.classes[nonIdempotent].meanWork, i})
				}
				reportResult(b, now, s, StatusError) // the slot is free again at once
				for _, w := range b.workers {
					w.heldUntil, w.errorRate = 0, 0
				}
			}
		}
	}
	// The work that overloads the worker in a window of 2 s from start: from its weight, its cold capacity at
	// that time, the overload factor and the allowance for random variation.
	overload := func(start float64) float64 {
		return overloadWork(3*2*3*(0.3+0.7*(start-99)/10), balancers[0].meanRun())
	}
	largestPart, owners := 0.0, map[int]bool{}
	for i, first := range sends {
		owners[first.by] = true
		work := 0.0
		for _, send := range sends[i:] {
			if send.at < first.at+2 {
				work += send.work
			}
		}
		if work > 0.75*overload(first.at) {
			t.Fatalf("window from %.2f s: %.2f s of work, limit %.2f s", first.at, work, 0.75*overload(first.at))
		}
		largestPart = max(largestPart, work/overload(first.at))
	}
	if largestPart < 0.35 || len(owners) < 4 {
		t.Fatalf("at most %.2f of an overload in a window, from %d dispatchers",
			largestPart, len(owners))
	}
}

// overloadWork returns the work in a window that overloads a worker with a limit by the settings.
func overloadWork(limit, meanRun float64) float64 {
	return limit + 2*math.Sqrt(limit*meanRun) + 2*meanRun
}

// All dispatchers send as much as they may to a cold worker, for random sizes of the fleet, of the worker and of
// the jobs, and with different estimates of the mean run. No window may hold two thirds of the work that
// overloads the worker, so that no failure is attributed to these dispatchers even if others that have not
// heard of its start send too. In a large fleet, most of the budget must have an owner.
func TestLargeFleetKeepsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.FleetSize = rapid.SampledFrom([]int{20, 24, 25, 30, 80, 300, 324}).Draw(t, "fleet")
		s.OverloadWindow = rapid.SampledFrom([]time.Duration{500 * ms, time.Second, 2 * time.Second}).Draw(t, "span")
		s.ColdCapacity = rapid.Float64Range(0.1, 0.9).Draw(t, "cold from")
		weight := float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		spread := rapid.Float64Range(0, 0.25).Draw(t, "spread")
		largest := rapid.Float64Range(0.2, 4).Draw(t, "largest") // in mean runs
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		start := 100 * time.Second
		id := WorkerID(rng.Uint32())
		balancers := make([]*Balancer, s.FleetSize)
		var mean float64
		for i := range balancers {
			s.Position = i
			balancers[i], _ = New(s, newRecorder())
			balancers[i].UpdateMembers(90*time.Second, UpdateFull, []Member{{ID: id, Weight: weight, StartedAt: start}})
			mean = balancers[i].meanRun()
			for c := range balancers[i].classes {
				balancers[i].classes[c].meanWork *= 1 + spread*(2*rng.Float64()-1)
			}
		}
		type coldWork struct{ at, work float64 }
		var sends []coldWork
		for now := start; now < start+s.WarmUp; now += s.OverloadWindow / 10 {
			for _, i := range rng.Perm(len(balancers)) {
				b := balancers[i]
				b.now = now
				w := b.byID[id]
				for range 20 { // as much as allowed, but with a limit
					j := &job{Job: Job{ExpectedWork: toDuration(mean * largest * rng.Float64())}, class: &b.classes[0]}
					if !b.coldBudgetAllows(j, w) {
						break
					}
					w.coldSends = append(w.coldSends, coldSend{now, b.expectedWork(j)})
					sends = append(sends, coldWork{now.Seconds(), b.expectedWork(j)})
				}
			}
		}
		window, largestPart := s.OverloadWindow.Seconds(), 0.0
		for i, first := range sends {
			work := 0.0
			for _, send := range sends[i:] {
				if send.at < first.at+window-1e-9 {
					work += send.work
				}
			}
			age := first.at - start.Seconds()
			overload := overloadWork(s.OverloadFactor*weight*window*(s.ColdCapacity+(1-s.ColdCapacity)*age/s.WarmUp.Seconds()), mean)
			if work > 2.0/3*overload {
				t.Fatalf("window from %.2f s: %.2f s of work, %.2f s overloads the worker", age, work, overload)
			}
			largestPart = max(largestPart, work/overload)
		}
		if s.FleetSize > maxSmallFleet && largest < 0.8 && largestPart < 0.3 {
			t.Fatalf("at most %.2f of an overload although all dispatchers send as much as they may", largestPart)
		}
	})
}

// When a cold worker's budget fitted more typical jobs than there were dispatchers, it was divided into parts
// without an owner: 25 dispatchers owned 25 of 46 parts. All parts but one must have an owner.
func TestLargeFleetOwnsAllPartsButOne(t *testing.T) {
	for _, fleet := range []int{25, 80, 324} {
		s := settings()
		s.FleetSize, s.ColdCapacity = fleet, 0.9
		owned, budget := 0.0, 0.0
		for s.Position = range fleet {
			b, err := New(s, newRecorder())
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateMembers(90*time.Second, UpdateFull, []Member{{ID: 7, Weight: 8, StartedAt: 100 * time.Second}})
			b.now = 106 * time.Second
			w := b.byID[7]
			owned += b.coldAllowance(w, 6*time.Second)
			budget = b.coldBudget(w, 6*time.Second, b.meanRun())
		}
		if owned < 0.9*budget || owned > 0.99*budget {
			t.Errorf("%d dispatchers own %.1f s of the budget of %.1f s of a large cold worker", fleet, owned, budget)
		}
	}
}
