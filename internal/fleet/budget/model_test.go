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

// world plays a ledger and its holders in virtual time: messages late, lost and doubled, the ledger
// away and led anew, clocks that drift, processes that stop, die, and start under a name that still
// runs. A meter behind them all counts what is admitted.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	queue  queue
	seq    int
	terms  ledger.Terms
	state  *ledger.State
	keeper ledger.Keeper
	away   time.Duration // the ledger answers nobody before this
	procs  []*proc
	defect string
	wild   bool // faults of every kind, else none

	whole, burst float64 // units a second, units
	level, peak  float64 // of the meter: a bucket that leaks at the whole
	at           time.Duration
	admitted     int
	asks         int
	calls        float64 // admitted by one bucket for all, asked by a call for each job that takes no time
	callLevel    float64
	callAt       time.Duration
	most, holds  int // pieces that may be held, and are
	worst        int
	broken       string
}

type proc struct {
	w      *world
	h      *Holder
	name   string
	fast   float64 // its clock's rate
	origin time.Duration
	until  time.Duration // stopped
	dead   bool
	want   float64 // units a second
}

type item struct {
	at  time.Duration
	seq int
	f   func()
}
type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, item{w.now + d, w.seq, f})
}

func (w *world) ms(lo, hi int) time.Duration {
	return time.Duration(lo*1000+w.rng.IntN((hi-lo)*1000+1)) * time.Microsecond
}

// run is for what a process does by itself: not while it is stopped, and not once it is dead.
func (p *proc) run(d time.Duration, f func()) {
	p.w.after(d, func() {
		switch {
		case p.dead:
		case p.until > p.w.now:
			p.run(p.until-p.w.now, f)
		default:
			f()
		}
	})
}

func (p *proc) clock() time.Duration {
	return p.origin + time.Duration(float64(p.w.now)*p.fast)
}

func (w *world) start(name string) *proc {
	p := &proc{w: w, name: name, fast: 1 + w.terms.Drift/2*(2*w.rng.Float64()-1), origin: time.Duration(w.rng.Int64N(1e15)), want: w.whole}
	if w.wild {
		p.want *= w.rng.Float64()
	}
	p.h = NewHolder("f", name, w.rng.Uint64(), w.terms)
	p.h.Rate("rate")
	p.h.Held("held")
	w.procs = append(w.procs, p)
	p.ask()
	p.admit()
	p.hold()
	return p
}

// send carries a command to the ledger, and its answer back, over a bad network.
func (p *proc) send(c ledger.Command) {
	w := p.w
	lost := func() bool { return w.wild && w.rng.Float64() < 0.15 }
	late := func() time.Duration {
		if w.wild && w.rng.Float64() < 0.1 {
			return w.ms(0, 3000)
		}
		return w.ms(1, 20)
	}
	for range 1 + w.rng.IntN(5)/4 { // some twice
		if lost() {
			continue
		}
		w.after(late(), func() {
			if w.now < w.away {
				return
			}
			if w.defect == "grow before shrink" && c.Ask != nil { // as if it had shrunk already
				c.Ask.Uses = map[string]ledger.Use{"rate": {Demand: c.Ask.Uses["rate"].Demand}, "held": {Demand: c.Ask.Uses["held"].Demand}}
			}
			a, err := w.state.Apply(c)
			if lost() {
				return
			}
			w.after(late(), func() {
				p.run(0, func() {
					if w.defect == "lease from the answer" && a.Seq == p.h.seq {
						p.h.asked = p.clock()
					}
					p.h.Answered(p.clock(), a, err)
				})
			})
		})
	}
}

// ask asks at the usual pace, and early where the holder says so.
func (p *proc) ask() {
	p.send(p.h.Next(p.clock()))
	p.w.asks++
	next := p.w.now + p.w.terms.Lease/4 + p.w.ms(0, 50)
	var wait func()
	wait = func() {
		if p.w.now >= next || p.h.Early(p.clock()) {
			p.ask()
			return
		}
		p.run(p.w.terms.Lease/20, wait)
	}
	p.run(p.w.terms.Lease/20, wait)
}

// admit asks its budget for units one by one, at the rate that it wants.
func (p *proc) admit() {
	w := p.w
	p.run(time.Duration(w.rng.ExpFloat64()/max(p.want, 0.5)*1e9), func() {
		w.callLevel = max(0, w.callLevel-w.whole*(w.now-w.callAt).Seconds())
		if w.callAt = w.now; w.callLevel+1 <= w.burst {
			w.callLevel++
			w.calls++
		}
		if ok, wait, never := p.h.Rate("rate").Take(p.clock(), Milli); ok {
			w.count()
		} else if !never && wait <= 0 {
			w.broken = "refused with no wait"
		}
		p.admit()
	})
}

// potential is what all that run could admit now, beside what is held already: the sharper test, as
// the meter behind them sees only what they do admit.
func (w *world) potential() {
	rate, burst, held := int64(0), int64(0), int64(w.holds)*Milli
	for _, p := range w.procs {
		if p.dead || p.until > w.now {
			continue
		}
		r, h, now := p.h.rates["rate"], p.h.Held("held"), p.clock()
		rate, burst = rate+r.Holding(now), burst+r.Burst(now)
		held += max(0, h.grant.at(now)-h.held)
	}
	if w.broken == "" && (rate > int64(w.whole*Milli) || burst > int64(w.burst*Milli) || held > int64(w.most)*Milli) {
		w.broken = fmt.Sprintf("%v: %d a second and a burst of %d could be admitted and %d held, in thousandths", w.now, rate, burst, held)
	}
}

// count is the meter: whatever the window, no more than whole x window + burst.
func (w *world) count() {
	w.level = max(0, w.level-w.whole*(w.now-w.at).Seconds()) + 1
	w.at = w.now
	w.admitted++
	w.peak = max(w.peak, w.level)
	if w.level > w.burst+0.01 && w.broken == "" {
		w.broken = fmt.Sprintf("%v: the meter stands at %.2f of a burst of %.0f", w.now, w.level, w.burst)
	}
}

// hold takes a piece and keeps it for a while; a piece outlives the process that took it.
func (p *proc) hold() {
	w := p.w
	p.run(w.ms(10, 400), func() {
		x := p.h.Held("held")
		if x.Take(p.clock()) {
			w.holds++
			w.worst = max(w.worst, w.holds)
			if w.holds > w.most && w.broken == "" {
				w.broken = fmt.Sprintf("%v: %d pieces held, of %d", w.now, w.holds, w.most)
			}
			w.after(time.Duration(float64(w.ms(50, int(w.terms.Linger/time.Millisecond)))*0.9), func() {
				w.holds--
				p.run(0, x.Give) // its process learns of it when it runs
			})
		}
		p.hold()
	})
}

// lead is the leader's round, by a clock of its own.
func (w *world) lead(fast float64) {
	w.after(w.terms.Lease/10, func() {
		if w.now >= w.away {
			for _, c := range w.keeper.Due(time.Duration(float64(w.now)*fast), w.state) {
				_, err := w.state.Apply(c)
				if err != nil && !errors.Is(err, ledger.ErrLapsed) {
					w.broken = err.Error()
				}
				if c.Lapse != nil && w.defect == "held freed at lapse" {
					_, _ = w.state.Apply(ledger.Command{Fleet: "f", Release: &ledger.Release{Incarnation: c.Lapse.Incarnation}})
				}
			}
		}
		w.lead(fast)
	})
}

// fault does one thing that goes wrong.
func (w *world) fault() {
	w.after(w.ms(200, 1500), func() {
		p := w.procs[w.rng.IntN(len(w.procs))]
		switch w.rng.IntN(8) {
		case 0: // killed, and started again
			p.dead = true
			w.start(p.name)
		case 1: // started twice, as in an upgrade
			if len(w.procs) < 40 {
				w.start(p.name)
			}
		case 2, 3: // stopped for up to three leases
			p.until = w.now + w.ms(0, int(3*w.terms.Lease/time.Millisecond))
		case 4: // led anew, after an outage
			w.away = w.now + w.ms(0, int(2*w.terms.Lease/time.Millisecond))
			w.keeper.Lead()
		case 5: // demand moves
			p.want = w.whole * w.rng.Float64()
		case 6: // a voter comes back with its snapshot
			data, err := w.state.Snapshot()
			if err == nil {
				err = w.state.Restore(data)
			}
			if err != nil {
				w.broken = err.Error()
			}
		case 7: // the wholes are set anew, never for less than the meter allows
			whole := int64(w.whole*Milli) - int64(w.rng.IntN(int(w.whole*Milli/2)))
			_, _ = w.state.Apply(w.set(w.state.Version()+1, whole))
		}
		w.fault()
	})
}

func (w *world) set(version uint64, whole int64) ledger.Command {
	return ledger.Command{Fleet: "f", Set: &ledger.Set{Version: version, Budgets: []ledger.Budget{
		{Name: "rate", Kind: ledger.Rate, Whole: whole, Burst: int64(w.burst) * Milli, Parts: map[string]ledger.Part{"a": {Weight: 2, Floor: whole / 10}, "b": {Floor: whole / 20}}},
		{Name: "held", Kind: ledger.Held, Whole: int64(w.most) * Milli, Parts: map[string]ledger.Part{"a": {Floor: 2 * Milli}}}}}}
}

// shift moves nearly all of the demand to another process, again and again.
func (w *world) shift(every time.Duration) {
	hot := w.rng.IntN(len(w.procs))
	for i, p := range w.procs {
		if p.want = 0.05 * w.whole; i == hot {
			p.want = 1.2 * w.whole
		}
	}
	w.after(every, func() { w.shift(every) })
}

func schedule(seed uint64, wild bool, defect string, length time.Duration) *world {
	return newWorld(seed, wild, defect).play(length)
}

func newWorld(seed uint64, wild bool, defect string) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 23)), wild: wild, defect: defect, whole: 100, burst: 30, most: 12,
		terms: ledger.Terms{Lease: time.Second, Linger: 1500 * time.Millisecond, Drift: 0.02}}
	w.state = ledger.New(ledger.Settings{Fleet: "f", Generation: 1, MostMembers: 20})
	w.keeper = ledger.Keeper{Terms: w.terms}
	_, err := w.state.Apply(w.set(1, int64(w.whole)*Milli))
	if err != nil {
		w.broken = err.Error()
	}
	for i := range 3 + w.rng.IntN(4) {
		w.start(string(rune('a' + i)))
	}
	w.lead(1 + w.terms.Drift/2*(2*w.rng.Float64()-1))
	if wild {
		w.fault()
	}
	return w
}

func (w *world) play(length time.Duration) *world {
	for len(w.queue) > 0 && w.now < length && w.broken == "" {
		i := heap.Pop(&w.queue).(item)
		w.now = i.at
		i.f()
		w.potential()
	}
	return w
}

// schedules is how many are played: TINROUTE_SCHEDULES where it is set.
func schedules(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_SCHEDULES")); err == nil {
		return n
	}
	return usual
}

// Whatever is lost, late, doubled, stopped, killed or started twice, no window admits more than its
// whole and burst, and no more pieces are held than there are.
func TestNeverOverTheWhole(t *testing.T) {
	n := schedules(300)
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	admitted, worst, peak := 0, 0, 0.0
	for range runtime.NumCPU() {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < int64(n); seed = next.Add(1) - 1 {
				w := schedule(uint64(seed), true, "", 20*time.Second)
				mu.Lock()
				if w.broken != "" {
					t.Errorf("seed %d: %s", seed, w.broken)
				}
				admitted, worst, peak = admitted+w.admitted, max(worst, w.worst), max(peak, w.peak)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	share := float64(admitted) / float64(n) / (100 * 20)
	t.Logf("%d schedules: %.2f of the whole used, the meter at most at %.1f of 30, %d of 12 pieces at most", n, share, peak, worst)
	require.Greater(t, share, 0.2, "too little is admitted for the bound to mean anything")
	require.Greater(t, worst, 9)
}

// With no fault and enough demand nearly all of the whole is used.
func TestTheWholeIsUsed(t *testing.T) {
	admitted := 0
	for seed := range uint64(10) {
		w := schedule(seed, false, "", 20*time.Second)
		require.Empty(t, w.broken, "seed %d", seed)
		admitted += w.admitted
	}
	share := float64(admitted) / (10 * 100 * 20)
	t.Logf("%.3f of the whole used", share)
	require.Greater(t, share, 0.9)
}

// Where the demand sits at one process of five and moves, a fixed split serves little of it. The time
// to divide anew bounds what moving it serves.
func TestMovingDemand(t *testing.T) {
	for _, c := range []struct {
		every time.Duration
		least float64
	}{{time.Second, 0.45}, {5 * time.Second, 0.75}, {20 * time.Second, 0.8}} {
		used, split, calls, asks, n := 0.0, 0.0, 0.0, 0.0, 0
		for seed := range uint64(10) {
			w := newWorld(seed, false, "")
			w.shift(c.every)
			w.play(60 * time.Second)
			require.Empty(t, w.broken, "seed %d", seed)
			others := 0.05 * w.whole * float64(len(w.procs)-1)
			used += float64(w.admitted) / 60 / w.whole
			calls += w.calls / 60 / w.whole
			asks += float64(w.asks) / 60 / float64(len(w.procs))
			split += (w.whole/float64(len(w.procs)) + others) / w.whole
			n++
		}
		t.Logf("moved every %v: %.3f of the whole used, %.3f with a fixed split, %.3f with a call for each, %.1f asks a lease of each", c.every, used/float64(n), split/float64(n), calls/float64(n), asks/float64(n))
		require.Greater(t, used/float64(n), c.least)
	}
}

// Each rule that is left out is found.
func TestDefectsAreFound(t *testing.T) {
	for _, defect := range []string{"grow before shrink", "lease from the answer", "held freed at lapse"} {
		t.Run(defect, func(t *testing.T) {
			for seed := range uint64(300) {
				if w := schedule(seed, true, defect, 20*time.Second); w.broken != "" {
					t.Logf("found by schedule %d: %s", seed, w.broken)
					return
				}
			}
			t.Fatal("not found in 300 schedules")
		})
	}
}
