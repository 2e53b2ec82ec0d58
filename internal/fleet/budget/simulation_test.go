package budget

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// simulation runs a ledger and its holders in virtual time. Messages are delayed, lost and duplicated, the
// ledger is unavailable and changes leaders, clocks drift, and processes pause, die, and start under a name
// that is still running. A leaky bucket behind all holders measures what they admit.
type simulation struct {
	rng             *rand.Rand
	now             time.Duration
	events          eventQueue
	seq             int
	timing          ledger.Timing
	state           *ledger.State
	monitor         ledger.LeaseMonitor
	ledgerDownUntil time.Duration // the ledger answers no requests before this
	processes       []*process
	defect          string
	withFaults      bool // inject faults of every kind

	total, burst    float64 // in units per second and in units
	level, maxLevel float64 // fill of a leaky bucket that drains at total
	levelAt         time.Duration
	admitted        int
	renewals        int
	centralAdmitted float64 // admitted by one central bucket that is called for each job without delay
	centralLevel    float64
	centralLevelAt  time.Duration
	maxInUse, inUse int // slots allowed, and slots in use
	peakInUse       int
	violation       string
}

// process is one simulated member process.
type process struct {
	sim          *simulation
	holder       *Holder
	name         string
	clockRate    float64 // of its own clock, relative to virtual time
	clockOrigin  time.Duration
	stoppedUntil time.Duration // paused until this time
	dead         bool
	demand       float64 // units per second
}

// event is an action at a virtual time. Events of the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events; it implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// schedule schedules f after a delay.
func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, f})
}

// randomDelay returns a random duration between lo and hi milliseconds.
func (sim *simulation) randomDelay(lo, hi int) time.Duration {
	return time.Duration(lo*1000+sim.rng.IntN((hi-lo)*1000+1)) * time.Microsecond
}

// scheduleWhileRunning schedules an action of the process itself. The action waits while the process is
// paused, and never runs once it is dead.
func (p *process) scheduleWhileRunning(d time.Duration, f func()) {
	p.sim.schedule(d, func() {
		switch {
		case p.dead:
		case p.stoppedUntil > p.sim.now:
			p.scheduleWhileRunning(p.stoppedUntil-p.sim.now, f)
		default:
			f()
		}
	})
}

// clock returns the time by the process's own clock.
func (p *process) clock() time.Duration {
	return p.clockOrigin + time.Duration(float64(p.sim.now)*p.clockRate)
}

// start starts a process of a name, which may already be running.
func (sim *simulation) start(name string) *process {
	p := &process{sim: sim, name: name, clockRate: 1 + sim.timing.MaxDrift/2*(2*sim.rng.Float64()-1), clockOrigin: time.Duration(sim.rng.Int64N(1e15)), demand: sim.total}
	if sim.withFaults {
		p.demand *= sim.rng.Float64()
	}
	p.holder = NewHolder("f", name, sim.rng.Uint64(), sim.timing)
	p.holder.RateLimiter("rate")
	p.holder.Semaphore("held")
	sim.processes = append(sim.processes, p)
	p.renewLoop()
	p.admitLoop()
	p.acquireLoop()
	return p
}

// send delivers a command to the ledger and its answer back over an unreliable network.
func (p *process) send(cmd ledger.Command) {
	sim := p.sim
	dropped := func() bool { return sim.withFaults && sim.rng.Float64() < 0.15 }
	delay := func() time.Duration {
		if sim.withFaults && sim.rng.Float64() < 0.1 {
			return sim.randomDelay(0, 3000)
		}
		return sim.randomDelay(1, 20)
	}
	for range 1 + sim.rng.IntN(5)/4 { // one in five is delivered twice
		if dropped() {
			continue
		}
		sim.schedule(delay(), func() {
			if sim.now < sim.ledgerDownUntil {
				return
			}
			if sim.defect == "grow before shrink" && cmd.Renew != nil { // reports that it has already given up its share
				cmd.Renew.Usage = map[string]ledger.Usage{"rate": {Demand: cmd.Renew.Usage["rate"].Demand}, "held": {Demand: cmd.Renew.Usage["held"].Demand}}
			}
			answer, err := sim.state.Apply(cmd)
			if dropped() {
				return
			}
			sim.schedule(delay(), func() {
				p.scheduleWhileRunning(0, func() {
					if sim.defect == "lease starts at the answer" && answer.Seq == p.holder.seq {
						p.holder.renewedAt = p.clock()
					}
					p.holder.HandleAnswer(p.clock(), answer, err)
				})
			})
		})
	}
}

// renewLoop renews at the usual interval, or earlier if the holder says so.
func (p *process) renewLoop() {
	p.send(p.holder.NextCommand(p.clock()))
	p.sim.renewals++
	nextRenewal := p.sim.now + p.sim.timing.Lease/4 + p.sim.randomDelay(0, 50)
	var poll func()
	poll = func() {
		if p.sim.now >= nextRenewal || p.holder.RenewEarly(p.clock()) {
			p.renewLoop()
			return
		}
		p.scheduleWhileRunning(p.sim.timing.Lease/20, poll)
	}
	p.scheduleWhileRunning(p.sim.timing.Lease/20, poll)
}

// admitLoop requests single units at random intervals, at the rate of the process's demand.
func (p *process) admitLoop() {
	sim := p.sim
	p.scheduleWhileRunning(time.Duration(sim.rng.ExpFloat64()/max(p.demand, 0.5)*1e9), func() {
		sim.centralLevel = max(0, sim.centralLevel-sim.total*(sim.now-sim.centralLevelAt).Seconds())
		if sim.centralLevelAt = sim.now; sim.centralLevel+1 <= sim.burst {
			sim.centralLevel++
			sim.centralAdmitted++
		}
		if ok, wait, unavailable := p.holder.RateLimiter("rate").Take(p.clock(), Unit); ok {
			sim.countAdmission()
		} else if !unavailable && wait <= 0 {
			sim.violation = "refused with no wait"
		}
		p.admitLoop()
	})
}

// checkUsable checks what all running processes could admit now, plus the slots in use. This is stricter
// than countAdmission, which sees only what they do admit.
func (sim *simulation) checkUsable() {
	rate, burst, slots := int64(0), int64(0), int64(sim.inUse)*Unit
	for _, p := range sim.processes {
		if p.dead || p.stoppedUntil > sim.now {
			continue
		}
		limiter, sem, now := p.holder.rateLimiters["rate"], p.holder.Semaphore("held"), p.clock()
		rate, burst = rate+limiter.MaxUse(now), burst+limiter.MaxBurst(now)
		slots += max(0, sem.grant.amountAt(now)-sem.inUse)
	}
	if sim.violation == "" && (rate > int64(sim.total*Unit) || burst > int64(sim.burst*Unit) || slots > int64(sim.maxInUse)*Unit) {
		sim.violation = fmt.Sprintf("%v: %d a second and a burst of %d could be admitted and %d held, in thousandths", sim.now, rate, burst, slots)
	}
}

// countAdmission checks that no window admits more than total * window + burst.
func (sim *simulation) countAdmission() {
	sim.level = max(0, sim.level-sim.total*(sim.now-sim.levelAt).Seconds()) + 1
	sim.levelAt = sim.now
	sim.admitted++
	sim.maxLevel = max(sim.maxLevel, sim.level)
	if sim.level > sim.burst+0.01 && sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: the bucket is filled to %.2f of a burst of %.0f", sim.now, sim.level, sim.burst)
	}
}

// acquireLoop acquires a slot and keeps it for a while. The slot stays in use if the process dies.
func (p *process) acquireLoop() {
	sim := p.sim
	p.scheduleWhileRunning(sim.randomDelay(10, 400), func() {
		sem := p.holder.Semaphore("held")
		if sem.TryAcquire(p.clock()) {
			sim.inUse++
			sim.peakInUse = max(sim.peakInUse, sim.inUse)
			if sim.inUse > sim.maxInUse && sim.violation == "" {
				sim.violation = fmt.Sprintf("%v: %d slots in use, of %d", sim.now, sim.inUse, sim.maxInUse)
			}
			sim.schedule(time.Duration(float64(sim.randomDelay(50, int(sim.timing.GracePeriod/time.Millisecond)))*0.9), func() {
				sim.inUse--
				p.scheduleWhileRunning(0, sem.Release) // a paused process sees the release when it resumes
			})
		}
		p.acquireLoop()
	})
}

// leaderLoop applies the lease monitor's commands periodically, by the leader's own clock.
func (sim *simulation) leaderLoop(clockRate float64) {
	sim.schedule(sim.timing.Lease/10, func() {
		if sim.now >= sim.ledgerDownUntil {
			for _, c := range sim.monitor.DueCommands(time.Duration(float64(sim.now)*clockRate), sim.state) {
				_, err := sim.state.Apply(c)
				if err != nil && !errors.Is(err, ledger.ErrExpired) {
					sim.violation = err.Error()
				}
				if c.Expire != nil && sim.defect == "slots freed at expiry" {
					_, _ = sim.state.Apply(ledger.Command{Fleet: "f", Release: &ledger.Release{Incarnation: c.Expire.Incarnation}})
				}
			}
		}
		sim.leaderLoop(clockRate)
	})
}

// injectFaults injects one random fault, and schedules the next.
func (sim *simulation) injectFaults() {
	sim.schedule(sim.randomDelay(200, 1500), func() {
		p := sim.processes[sim.rng.IntN(len(sim.processes))]
		switch sim.rng.IntN(8) {
		case 0: // a process is killed and restarted
			p.dead = true
			sim.start(p.name)
		case 1: // a second process of the same name, as in an upgrade
			if len(sim.processes) < 40 {
				sim.start(p.name)
			}
		case 2, 3: // a process is paused for up to three leases
			p.stoppedUntil = sim.now + sim.randomDelay(0, int(3*sim.timing.Lease/time.Millisecond))
		case 4: // an outage of the ledger, then a new leader
			sim.ledgerDownUntil = sim.now + sim.randomDelay(0, int(2*sim.timing.Lease/time.Millisecond))
			sim.monitor.Reset()
		case 5: // the demand of a process changes
			p.demand = sim.total * sim.rng.Float64()
		case 6: // a voter restarts from its snapshot
			data, err := sim.state.Snapshot()
			if err == nil {
				err = sim.state.Restore(data)
			}
			if err != nil {
				sim.violation = err.Error()
			}
		case 7: // new budgets, with a total of at most what countAdmission allows
			total := int64(sim.total*Unit) - int64(sim.rng.IntN(int(sim.total*Unit/2)))
			_, _ = sim.state.Apply(sim.setBudgets(sim.state.BudgetVersion()+1, total))
		}
		sim.injectFaults()
	})
}

// setBudgets returns the command that sets both budgets.
func (sim *simulation) setBudgets(version uint64, total int64) ledger.Command {
	return ledger.Command{Fleet: "f", SetBudgets: &ledger.SetBudgets{Version: version, Budgets: []ledger.Budget{
		{Name: "rate", Kind: ledger.KindRate, Total: total, Burst: int64(sim.burst) * Unit, Rules: map[string]ledger.AllocationRule{"a": {Weight: 2, Floor: total / 10}, "b": {Floor: total / 20}}},
		{Name: "held", Kind: ledger.KindConcurrency, Total: int64(sim.maxInUse) * Unit, Rules: map[string]ledger.AllocationRule{"a": {Floor: 2 * Unit}}}}}}
}

// shiftDemand periodically moves nearly all of the demand to another process.
func (sim *simulation) shiftDemand(every time.Duration) {
	hot := sim.rng.IntN(len(sim.processes))
	for i, p := range sim.processes {
		if p.demand = 0.05 * sim.total; i == hot {
			p.demand = 1.2 * sim.total
		}
	}
	sim.schedule(every, func() { sim.shiftDemand(every) })
}

// runSimulation runs a new simulation for length.
func runSimulation(seed uint64, withFaults bool, defect string, length time.Duration) *simulation {
	return newSimulation(seed, withFaults, defect).run(length)
}

// newSimulation returns a simulation of 3 to 6 processes. defect names a rule to violate, empty for none.
func newSimulation(seed uint64, withFaults bool, defect string) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 23)), withFaults: withFaults, defect: defect, total: 100, burst: 30, maxInUse: 12,
		timing: ledger.Timing{Lease: time.Second, GracePeriod: 1500 * time.Millisecond, MaxDrift: 0.02}}
	sim.state = ledger.New(ledger.Settings{Fleet: "f", Generation: 1, MaxMembers: 20})
	sim.monitor = ledger.LeaseMonitor{Timing: sim.timing}
	_, err := sim.state.Apply(sim.setBudgets(1, int64(sim.total)*Unit))
	if err != nil {
		sim.violation = err.Error()
	}
	for i := range 3 + sim.rng.IntN(4) {
		sim.start(string(rune('a' + i)))
	}
	sim.leaderLoop(1 + sim.timing.MaxDrift/2*(2*sim.rng.Float64()-1))
	if withFaults {
		sim.injectFaults()
	}
	return sim
}

// run runs events until length has passed or a violation is found.
func (sim *simulation) run(length time.Duration) *simulation {
	for len(sim.events) > 0 && sim.now < length && sim.violation == "" {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
		sim.checkUsable()
	}
	return sim
}

// scheduleCount returns how many simulations to run: TINROUTE_SCHEDULES if it is set, else fallback.
func scheduleCount(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_SCHEDULES")); err == nil {
		return n
	}
	return fallback
}

// With messages lost, delayed and duplicated, and processes paused, killed and started twice, no time window
// admits more than total * window + burst, and no more slots are in use than the total.
func TestNeverOverTheWhole(t *testing.T) {
	n := scheduleCount(300)
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	admitted, peakInUse, maxLevel := 0, 0, 0.0
	for range runtime.NumCPU() {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < int64(n); seed = next.Add(1) - 1 {
				sim := runSimulation(uint64(seed), true, "", 20*time.Second)
				mu.Lock()
				if sim.violation != "" {
					t.Errorf("seed %d: %s", seed, sim.violation)
				}
				admitted, peakInUse, maxLevel = admitted+sim.admitted, max(peakInUse, sim.peakInUse), max(maxLevel, sim.maxLevel)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	share := float64(admitted) / float64(n) / (100 * 20)
	t.Logf("%d schedules: %.2f of the total used, the bucket filled to at most %.1f of 30, at most %d of 12 slots in use", n, share, maxLevel, peakInUse)
	require.Greater(t, share, 0.2, "too little is admitted for the limit to be tested")
	require.Greater(t, peakInUse, 9)
}

// Without faults and with enough demand, nearly all of the total is used.
func TestTotalIsUsedWithoutFaults(t *testing.T) {
	admitted := 0
	for seed := range uint64(10) {
		sim := runSimulation(seed, false, "", 20*time.Second)
		require.Empty(t, sim.violation, "seed %d", seed)
		admitted += sim.admitted
	}
	share := float64(admitted) / (10 * 100 * 20)
	t.Logf("%.3f of the total used", share)
	require.Greater(t, share, 0.9)
}

// When the demand is concentrated at one of about five processes and moves to another, a fixed split serves
// little of it. How much shares that follow the demand serve is limited by the time that reallocation takes.
func TestSharesFollowMovingDemand(t *testing.T) {
	for _, c := range []struct {
		every time.Duration
		least float64
	}{{time.Second, 0.45}, {5 * time.Second, 0.75}, {20 * time.Second, 0.8}} {
		used, split, central, renewals, n := 0.0, 0.0, 0.0, 0.0, 0
		for seed := range uint64(10) {
			sim := newSimulation(seed, false, "")
			sim.shiftDemand(c.every)
			sim.run(60 * time.Second)
			require.Empty(t, sim.violation, "seed %d", seed)
			others := 0.05 * sim.total * float64(len(sim.processes)-1)
			used += float64(sim.admitted) / 60 / sim.total
			central += sim.centralAdmitted / 60 / sim.total
			renewals += float64(sim.renewals) / 60 / float64(len(sim.processes))
			split += (sim.total/float64(len(sim.processes)) + others) / sim.total
			n++
		}
		t.Logf("moved every %v: %.3f of the total used, %.3f with a fixed split, %.3f with a central limiter, %.1f renewals per lease and process", c.every, used/float64(n), split/float64(n), central/float64(n), renewals/float64(n))
		require.Greater(t, used/float64(n), c.least)
	}
}

// The simulation detects each violation of the ledger's rules.
func TestSimulationFindsInjectedDefects(t *testing.T) {
	for _, defect := range []string{"grow before shrink", "lease starts at the answer", "slots freed at expiry"} {
		t.Run(defect, func(t *testing.T) {
			for seed := range uint64(300) {
				if sim := runSimulation(seed, true, defect, 20*time.Second); sim.violation != "" {
					t.Logf("found by schedule %d: %s", seed, sim.violation)
					return
				}
			}
			t.Fatal("not found in 300 schedules")
		})
	}
}
