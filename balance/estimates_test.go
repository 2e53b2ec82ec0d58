package balance

import (
	"testing"
	"time"
)

// Noise in the reported number of jobs made workers look larger than they were. In a full fleet, dispatchers
// then sent job after job into the workers' queues.
func TestNoisyReportsDoNotAddSlots(t *testing.T) {
	report := func(free, inFlight float64) LoadReport {
		return LoadReport{InFlight: inFlight, FreeSlots: free, Queue: -1, Util: -1, ErrorRate: -1, FreeMemory: -1}
	}
	for _, c := range []struct {
		name    string
		reports []LoadReport
		slots   float64
		free    float64
	}{
		{"reports no free slot", []LoadReport{report(5, 0), report(0, 3.8)}, 5, 0},
		{"one count too high", []LoadReport{report(5, 0), report(4.9, 0), report(6.2, 0), report(4.7, 0)}, 5, 5},
		{"half full", []LoadReport{report(5, 0), report(3.1, 2.2)}, 5, 3},
	} {
		s := settings()
		s.AllowProbes = true
		b, _ := fixture(t, s, 1)
		w := b.byID[1]
		for _, r := range c.reports {
			b.applyReport(w, r)
		}
		if b.estimatedSlots(w) != c.slots || b.freeSlots(w) != c.free {
			t.Errorf("%s: %v slots, %v free, want %v, %v", c.name, b.estimatedSlots(w), b.freeSlots(w), c.slots, c.free)
		}
	}
}

func TestUnobservedKindIsSizedByWeight(t *testing.T) {
	b, _ := fixture(t, settings(), 2)
	b.workers[1].Kind, b.workers[1].Weight = 1, 3
	b.setSlots(b.workers[0], 2)
	if got := b.estimatedSlots(b.workers[1]); got != 6 {
		t.Fatalf("three times the weight of a worker of two slots is estimated at %v slots", got)
	}
}

// One of many dispatchers has at most a job or two at a worker. When it took this number for the worker's size,
// every worker had one slot, and cold budgets were a third of what they should be.
func TestLargeFleetSizesWorkersByWeight(t *testing.T) {
	bs, rs := newLargeFleet(t, 80)
	b, r := bs[0], rs[0]
	w := b.byID[2]
	submit(b, 100*time.Second, 1, idempotent)
	if len(r.sends) == 0 {
		t.Fatal("nothing sent")
	}
	b.AttemptEvent(100*time.Second+10*ms, r.lastSend().job, r.lastSend().attempt, EventStarted, 0)
	if got := b.estimatedSlots(w); got != 3 {
		t.Fatalf("a worker of weight 3 with one started job is estimated at %v slots", got)
	}
	// A single dispatcher sees all jobs at a worker, so their number gives its size.
	single, _ := fixture(t, settings(), 2)
	single.byID[1].Weight = 3
	single.setSlots(single.byID[1], 1)
	if got := single.estimatedSlots(single.byID[1]); got != 1 {
		t.Fatalf("a single dispatcher estimates a worker that was full with one job at %v slots", got)
	}
}
