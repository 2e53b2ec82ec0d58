package balance

import (
	"testing"
	"time"
)

func TestNoJobsForDrainingOrGoneWorkers(t *testing.T) {
	for _, state := range []WorkerState{Draining, Gone} {
		b, r := fixture(t, settings(), 1)
		b.UpdateMembers(time.Second, UpdateDelta, []Member{{ID: 1, State: state}})
		submit(b, time.Second, 1, idempotent)
		if len(r.sends) != 0 {
			t.Fatalf("state %d: sends %v", state, r.sends)
		}
	}
	b, r := fixture(t, settings(), 2)
	b.UpdateMembers(time.Second, UpdateFull, []Member{{ID: 2}}) // worker 1 is not listed, so it is gone
	submit(b, time.Second, 1, idempotent)
	submit(b, time.Second, 2, idempotent)
	for _, s := range r.sends {
		if s.to == 1 {
			t.Fatal("sent to a worker missing from the full list")
		}
	}
}

// A worker that hangs and then drains gets no new jobs. The jobs that it has are still answered: an
// idempotent one by a copy, a non-idempotent one with a failure when its client gives up.
func TestDrainOfHungWorker(t *testing.T) {
	s := settings()
	s.ProgressInterval = time.Second
	b, r := fixture(t, s, 2)
	submit(b, time.Second, 1, idempotent)
	hung := r.lastSend()
	reportStart(b, 1004*ms, hung)
	b.byID[hung.to].slots = 2 // the second slot is for the non-idempotent job
	b.byID[3-hung.to].State = Gone
	submit(b, 1010*ms, 2, nonIdempotent)
	reportStart(b, 1014*ms, r.lastSend())
	b.UpdateMembers(1100*ms, UpdateDelta, []Member{{ID: hung.to, Weight: 1, State: Draining},
		{ID: 3 - hung.to, Weight: 1, State: Serving}})
	submit(b, 1200*ms, 3, dedupFleet)
	if r.lastSend().to == hung.to || r.attemptsOf(3) != 1 {
		t.Fatalf("sends %v after the drain of %d", r.sends, hung.to)
	}
	reportStart(b, 1204*ms, r.lastSend())
	reportResult(b, 1300*ms, r.lastSend(), StatusOK)
	advance(b, r, 1300*ms, 5*time.Second)
	if r.attemptsOf(1) != 2 || r.lastSend().to == hung.to {
		t.Fatalf("the idempotent job on the hung worker was not copied: %v", r.sends)
	}
	if r.attemptsOf(2) != 1 {
		t.Fatalf("a non-idempotent job that had started was sent again: %v", r.sends)
	}
	reportResult(b, 9009*ms, sentAttempt{2, hung.to, 0}, StatusTimeout)
	if r.answers[2] != "failed" {
		t.Fatalf("answer %q", r.answers[2])
	}
}

func TestFailedUpdateKeepsMembers(t *testing.T) {
	s := settings()
	s.PullMembers = true
	b, r := fixture(t, s, 2)
	b.UpdateMembers(time.Second, UpdateFailed, nil)
	submit(b, time.Second, 1, idempotent)
	if len(r.sends) != 1 {
		t.Fatal("a failed request for the list emptied the fleet")
	}
	for i, at := 0, time.Second; i < 4; i++ {
		at += r.timer
		b.TimerFired(at, r.token)
	}
	if r.watchCalls == 0 {
		t.Fatal("the request was not repeated")
	}
}

func TestMembersRequestBackoff(t *testing.T) {
	delaysOf := func(fleet int, seed uint64) []time.Duration {
		s := settings()
		s.PullMembers, s.Seed, s.FleetSize = true, seed, fleet
		b, r := fixture(t, s, 1)
		var delays []time.Duration
		at := time.Second
		for range 6 {
			b.UpdateMembers(at, UpdateFailed, nil)
			before := r.watchCalls
			from := at
			for r.watchCalls == before {
				at += 5 * ms
				b.TimerFired(at, r.token)
			}
			delays = append(delays, at-from)
		}
		return delays
	}
	// A change counts as known 6 s after discovery was reachable. A few dispatchers retry often enough for
	// that; many that did so could keep an overloaded discovery service overloaded.
	for fleet, longest := range map[int]time.Duration{1: time.Second, 25: time.Second, 50: 2 * time.Second, 300: 4 * time.Second} {
		delays := delaysOf(fleet, 1)
		for i, delay := range delays { // each is a random part of a delay that doubles up to the maximum
			nominal := min(firstMembersRetry<<i, longest, settings().PullInterval/2)
			if delay < nominal/2 || delay > nominal+5*ms {
				t.Fatalf("%d dispatchers: delay %d of %v is %v, want between half of %v and all of it", fleet, i, delays, delay, nominal)
			}
		}
	}
	delays := delaysOf(1, 1)
	// Dispatchers that fail together must not retry together, or they would overload a discovery service
	// that already rejects requests.
	same := 0
	for seed := uint64(2); seed < 12; seed++ {
		if other := delaysOf(1, seed); other[0] == delays[0] && other[1] == delays[1] {
			same++
		}
	}
	if same > 1 {
		t.Fatalf("%d of 10 dispatchers retried at the same times as another", same)
	}
}

func TestGoneWorkersAreRemoved(t *testing.T) {
	b, r := fixture(t, settings(), 2)
	submit(b, time.Second, 1, idempotent)
	busy := r.lastSend()
	b.UpdateMembers(time.Second, UpdateFull, []Member{{ID: 9}})
	if len(b.workers) != 3 {
		t.Fatalf("%d workers kept, want 3: one that is just gone may come back", len(b.workers))
	}
	b.UpdateMembers(2*time.Minute, UpdateFull, []Member{{ID: 9}})
	if len(b.workers) != 2 {
		t.Fatalf("%d workers kept, want the new one and the busy one", len(b.workers))
	}
	reportResult(b, 3*time.Minute, busy, StatusOK)
	b.UpdateMembers(3*time.Minute, UpdateFull, []Member{{ID: 9}})
	if len(b.workers) != 1 || len(b.byID) != 1 {
		t.Fatalf("%d workers kept", len(b.workers))
	}
}
