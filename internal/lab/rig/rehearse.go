package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// Plan is one rehearsal: faults drawn from a seed, over a fleet of real processes.
type Plan struct {
	Options
	Seed   uint64
	Length time.Duration // of the time in which faults begin
	Within time.Duration // in which the fleet has to be whole again after the last one
}

// Outcome is what a rehearsal came to. Broken is empty where every rule held.
type Outcome struct {
	Seed      uint64         `json:"seed"`
	Broken    string         `json:"broken,omitempty"`
	Faults    map[string]int `json:"faults"`
	Sent      int            `json:"sent"`
	Reached   int            `json:"reached"`   // nodes
	Used      float64        `json:"used"`      // of whole x time, by what reached nodes
	Recovered float64        `json:"recovered"` // leases from the end of the last fault until the whole was granted again
	Looks     int            `json:"looks"`     // at voters

	Repeats     int `json:"repeats,omitempty"`     // attempts that reached nodes beyond the first
	Connections int `json:"connections,omitempty"` // at one node, at most
}

// play is a rehearsal under way.
type play struct {
	*Rig
	Plan
	rng     *rand.Rand
	busy    map[*Process]bool // a fault holds it
	lost    map[*Process]bool // a voter without its folder
	version int
	out     Outcome

	mu    sync.Mutex
	load  map[*Process]func()
	fault error
}

// Rehearse starts a fleet, loads every door with more than the whole together, draws faults until Length is
// over, mends all, and judges the history. Only what the rig itself could not do is an error.
//
//revive:disable-next-line:function-length a scenario, step by step
func Rehearse(ctx context.Context, p Plan) (Outcome, *History, error) {
	r, err := New(p.Options)
	if err != nil {
		return Outcome{}, nil, err
	}
	defer r.Close()
	y := &play{Rig: r, Plan: p, rng: rand.New(rand.NewPCG(p.Seed, 26)), busy: map[*Process]bool{}, lost: map[*Process]bool{}, // #nosec
		version: 1, load: map[*Process]func(){}, out: Outcome{Seed: p.Seed, Faults: map[string]int{}}}
	var names []string
	for _, d := range r.disp {
		names = append(names, d.Name)
		if err := d.Start(); err != nil {
			return y.out, r.History, err
		}
	}
	for _, d := range r.disp {
		if err := d.Ready(ctx); err != nil {
			return y.out, r.History, fmt.Errorf("%s: %w", d.Name, err)
		}
		if err := d.Settings(1, p.Whole, false); err != nil {
			return y.out, r.History, err
		}
	}
	if _, err := r.Until(ctx, Divided(names...)); err != nil {
		return y.out, r.History, err
	}
	r.Fail(p.Repeats != nil)
	for _, d := range r.disp {
		y.ask(d, 1.3*p.Whole/float64(len(r.disp)))
	}
	began := time.Now()
	var faults sync.WaitGroup
	for time.Since(began) < p.Length {
		y.draw(ctx, &faults)
		time.Sleep(time.Duration(y.rng.Int64N(int64(p.Lease))))
		for i := range r.ledgers { // what is granted is looked at all along
			if _, err := r.Look(ctx, i); err == nil {
				y.out.Looks++
			}
		}
	}
	faults.Wait()
	healed := time.Now()
	if y.fault != nil {
		return y.out, r.History, y.fault
	}
	within, cancel := context.WithTimeout(ctx, p.Within)
	defer cancel()
	if _, err := r.Until(within, Divided(names...)); err != nil {
		y.out.Broken = fmt.Sprintf("not whole again within %v: %v", p.Within, err)
	}
	y.out.Recovered = time.Since(healed).Seconds() / p.Lease.Seconds()
	long := time.Since(began)
	y.mu.Lock()
	for _, end := range y.load {
		end()
	}
	y.mu.Unlock()
	events := r.History.Events()
	reached, over := Over(events, Limit{Rate: p.Whole, Burst: p.Burst})
	starts := 0
	for _, e := range events {
		if e.What == "start" {
			starts++
		}
	}
	var again, open error
	if p.Repeats != nil {
		y.out.Repeats, again = Repeats(events, *p.Repeats, starts)
	}
	if p.Connections > 0 {
		y.out.Connections, open = Connections(events, p.Connections)
	}
	if err := errors.Join(over, again, open, Answers(events), Granted(events), Crashes(events)); err != nil {
		y.out.Broken += err.Error()
	}
	for _, e := range events {
		if e.What == "sent" {
			y.out.Sent++
		}
	}
	y.out.Reached, y.out.Used = reached, float64(reached)/long.Seconds()/p.Whole
	return y.out, r.History, nil
}

// ask has a dispatcher's door asked so often a second, from now on.
func (y *play) ask(d *Process, rate float64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if end := y.load[d]; end != nil {
		go end()
	}
	y.load[d] = y.Load(d, time.Duration(float64(time.Second)/rate))
}

// draw begins one fault, which ends by itself.
//
//revive:disable-next-line:function-length a scenario, step by step
func (y *play) draw(ctx context.Context, faults *sync.WaitGroup) {
	d := y.disp[y.rng.IntN(len(y.disp))]
	hold := time.Duration(y.rng.Int64N(int64(3 * y.Lease)))
	silent, none := Way{Silent: true}, Way{}
	ways := [][2]Way{{silent, silent}, {silent, none}, {none, silent},
		{{Delay: y.Lease / 20, Jitter: y.Lease / 4}, {Jitter: y.Lease / 4}}, {none, {Delay: y.Lease / 1000, Trickle: 9}}}
	way := ways[y.rng.IntN(len(ways))]
	kind := y.rng.IntN(11)
	if kind == 0 { // demand moves to one door
		for _, other := range y.disp {
			rate := 0.3 * y.Whole / float64(len(y.disp))
			if other == d {
				rate = 1.2 * y.Whole
			}
			y.ask(other, rate)
		}
		y.out.Faults["demand moves"]++
		return
	}
	if kind == 1 { // the whole is made smaller, or large again; never over what is judged by
		y.version++
		whole := y.Whole * (0.4 + 0.6*y.rng.Float64())
		for _, v := range y.disp[:y.Voters] {
			if err := v.Settings(y.version, whole, false); err != nil {
				y.fail(err)
			}
			_ = v.Signal(syscall.SIGHUP) // one that is down reads it at its start
		}
		y.out.Faults["whole set anew"]++
		return
	}
	y.mu.Lock()
	held := y.busy[d]
	away := len(y.lost)
	for v := range y.busy {
		if v.votes && !y.lost[v] {
			away++
		}
	}
	// Most voters may be away for a while, but not because of lost folders.
	wipe := kind == 3 && d.votes && len(y.lost) < (y.Voters-1)/2 && y.rng.IntN(3) == 0
	if held || d.votes && away >= y.Voters-1 {
		y.mu.Unlock()
		return
	}
	y.busy[d] = true
	if wipe {
		y.lost[d] = true
	}
	y.mu.Unlock()
	name, begin, end := "", func() error { return nil }, func() error { return nil }
	switch kind {
	case 2, 3:
		name, begin, end = "killed", func() error {
			err := d.Signal(syscall.SIGKILL)
			if err == nil && wipe {
				err = d.Wipe()
			}
			return err
		}, func() error { return errors.Join(d.Start(), d.Ready(ctx)) }
		if wipe {
			name = "killed, its folder lost"
		}
	case 4:
		name, begin, end = "ended by SIGTERM", func() error { return d.Signal(syscall.SIGTERM) }, func() error { return errors.Join(d.Start(), d.Ready(ctx)) }
	case 5:
		name, begin, end = "stopped", func() error { return d.Signal(syscall.SIGSTOP) }, func() error { return d.Signal(syscall.SIGCONT) }
	case 6:
		name, begin = "upgraded", func() error { return d.Upgrade(ctx) }
	case 7:
		name, begin, end = "links to voters", func() error { d.Cut(way[0], way[1]); return nil }, func() error { d.Cut(none, none); return nil }
	case 9:
		name, begin = "started twice", func() error {
			end, err := d.Twice(ctx)
			if err != nil {
				return err
			}
			time.Sleep(hold)
			return end()
		}
	case 10:
		name, begin, end = "disk full", func() error { return d.Full(true) }, func() error { return d.Full(false) }
	case 8:
		if d.votes {
			name, begin, end = "voter's links to all", func() error { d.Isolate(way[0], way[1]); return nil }, func() error { d.Isolate(none, none); return nil }
		} else {
			name, begin, end = "links refused", func() error { d.refuse(true); return nil }, func() error { d.refuse(false); return nil }
		}
	}
	y.out.Faults[name]++
	faults.Go(func() {
		if err := begin(); err != nil {
			y.fail(fmt.Errorf("%s: %s: %w", d.Name, name, err))
		}
		time.Sleep(hold)
		if err := end(); err != nil {
			y.fail(fmt.Errorf("%s: %s: %w", d.Name, name, err))
		}
		y.mu.Lock()
		delete(y.busy, d)
		y.mu.Unlock()
	})
}

func (y *play) fail(err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.fault = errors.Join(y.fault, err)
}

func (p *Process) refuse(on bool) {
	p.rig.History.add(Event{What: "links refused", Who: p.Name, Note: fmt.Sprint(on)})
	for _, k := range p.Links {
		k.Raft.Refuse(on)
		k.Ledger.Refuse(on)
	}
}

// Divided tells whether live holders of the names have nearly all of the first budget, and each some.
func Divided(names ...string) func(ledger.Overview) bool {
	return func(o ledger.Overview) bool {
		if len(o.Budgets) == 0 {
			return false
		}
		b := o.Budgets[0]
		has := map[string]int64{}
		for _, h := range b.Holders {
			if !h.Expired {
				has[h.Name] += h.Granted
			}
		}
		sum := int64(0)
		for _, n := range names {
			if has[n] == 0 {
				return false
			}
			sum += has[n]
		}
		return sum >= b.Total*95/100
	}
}
