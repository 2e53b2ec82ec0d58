// Package emulate is a model of what a dispatcher serves: nodes, their discovery, the network and
// clients. In virtual time it runs many real dispatch cores on one clock, in one process and from one
// seed: the same scenario gives the same events. It decides nothing for the dispatchers.
package emulate

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

// Scenario is what is played.
type Scenario struct {
	Seed        uint64
	Length      time.Duration // of the arrivals; the play goes on until all is answered
	Dispatchers int
	Nodes       []NodeSpec
	Classes     []ClassSpec
	Rate        float64       // arrivals a second over all classes
	Network     time.Duration // one way
	Discovery   time.Duration // until a change of the list is known
	Failures    []Failure
	WarmUp      time.Duration // of a fresh node, from ColdFrom of its speed to the whole
	ColdFrom    float64
	// Policy names a comparison policy of internal/lab/compare that decides in place of tinroute's
	// own, which decides where it is empty.
	Policy string
}

// meanWork is the mean of a job's work in seconds at speed 1.
func (s *Scenario) meanWork() float64 {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work, shares = work+c.Share*c.Mean.Seconds(), shares+c.Share
	}
	return work / shares
}

// NodeSpec is one node.
type NodeSpec struct {
	Name       string
	Zone, Cell int
	Kind       int
	Cores      int
	Speed      float64 // of one core
	Slots      int     // run at once; more than cores share them
	Queue      int     // wait in arrival order; beyond it a job is turned away unseen
}

// ClassSpec is one class and its share of the arrivals.
type ClassSpec struct {
	balance.Class
	Share float64
	Mean  time.Duration // of the work at speed 1, lognormal
	Sigma float64
	Tries int // a client's, the first among them
}

// Kind is a kind of failure.
type Kind string

// The failures. Vanish: silent, comes back cold. Slow: Size times slower. Hang: takes jobs and answers
// nothing. Refuse: turns all away. Fail: answers with errors, a share of Size. Reset: breaks off what it
// runs, once. Pause: stands still. Drain: listed as draining. Outage: discovery tells nothing. Cost: the
// jobs of class Class cost Size times the work. Replace: one after another, over For, each is drained, a
// cold node takes its place after 2 s, and it is gone after 5.
const (
	Vanish Kind = "vanish"
	Slow   Kind = "slow"
	Hang   Kind = "hang"
	Refuse Kind = "refuse"
	Fail   Kind = "fail"
	Reset  Kind = "reset"
	Pause  Kind = "pause"
	Drain  Kind = "drain"
	Outage Kind = "outage"
	Cost   Kind = "cost"

	Replace Kind = "replace"
)

// Failure is a scripted one. Share is of the nodes, drawn by the seed; Nodes names them instead.
type Failure struct {
	Kind    Kind
	At, For time.Duration
	Share   float64
	Nodes   []string
	Size    float64
	Class   int
}

// event is something that happens at an instant; those of one instant happen in the order in which
// they were set.
type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// epoch is the virtual clock's start: past the time that a dispatcher holds its first window back.
const epoch = time.Hour

// World is a scenario in play.
type World struct {
	s     Scenario
	now   time.Duration
	seq   uint64
	queue events
	rng   *rand.Rand
	nodes []*node
	byID  map[balance.WorkerID]*node
	cores []*dispatcher
	jobs  int
	open  int
	out   bool // discovery tells nothing
	cost  map[int]float64
	log   uint64 // a hash over the event log
	Trace func(line string)
	res   Result
	rules *rules
}

func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, d), w.seq, f})
}

// note adds a line to the event log, of which the hash is kept.
func (w *World) note(format string, a ...any) {
	line := fmt.Sprintf("%d ", (w.now-epoch).Microseconds()) + fmt.Sprintf(format, a...)
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d\n%s", w.log, line) // a hash takes every byte
	w.log = h.Sum64()
	if w.Trace != nil {
		w.Trace(line)
	}
}

// node is one node in play.
type node struct {
	NodeSpec
	w       *World
	id      balance.WorkerID
	started time.Duration // 0 for long ago
	state   balance.WorkerState
	slow    float64
	silent  bool
	hang    bool
	refuse  bool
	paused  bool
	fallen  bool // it stays down
	failing float64
	running []*work
	waiting []*work
	at      time.Duration // until when the running jobs' progress is reckoned
	next    uint64        // the latest plan of an end
	pushes  []push        // what reached it lately, while it is cold
}

// push is work that reached a cold node.
type push struct {
	at   time.Duration
	work float64
	told bool // its dispatcher knew of the node's start
}

const (
	fallSpan   = time.Second
	fallFactor = 2.5
)

// pushed notes work that reaches a node, and tells whether it falls over: while it is cold, more
// than so many times what it can do at that moment, within so long, is too much. With n mean jobs of
// that, 2 x root of n + 2 more are allowed for chance.
func (n *node) pushed(j *work) bool {
	if n.started == 0 || n.w.now-n.started >= n.w.s.WarmUp {
		n.pushes = nil
		return false
	}
	n.pushes = append(n.pushes, push{n.w.now, j.whole, n.w.rules.knows(j.core, n)})
	for n.pushes[0].at <= n.w.now-fallSpan {
		n.pushes = n.pushes[1:]
	}
	sum, told := 0.0, 0.0
	for _, p := range n.pushes {
		sum += p.work
		if p.told {
			told += p.work
		}
	}
	age := float64(n.w.now-n.started) / float64(n.w.s.WarmUp)
	can := float64(n.Cores) * n.Speed * (n.w.s.ColdFrom + (1-n.w.s.ColdFrom)*age)
	mean := n.w.s.meanWork()
	safe := fallFactor * can * fallSpan.Seconds()
	safe += 2*math.Sqrt(safe*mean) + 2*mean
	n.w.res.Pushed = max(n.w.res.Pushed, sum/safe)
	if sum <= safe {
		return false
	}
	n.w.note("%s falls over", n.Name)
	if told >= sum*2/3 {
		n.w.rules.broke("%s was pushed over %v after its start: %.1f s of work in %v, it can do %.1f", n.Name, n.w.now-n.started, sum, fallSpan, can*fallSpan.Seconds())
	}
	n.lose(true)
	n.silent, n.fallen = true, true
	return true
}

// work is one attempt at a node.
type work struct {
	task    *dispatch.Attempt
	core    *dispatcher
	job     *request
	left    float64 // seconds at speed 1
	whole   float64
	gone    bool
	started bool
}

// rate is how fast each running job goes.
func (n *node) rate() float64 {
	if len(n.running) == 0 || n.paused {
		return 0
	}
	r := n.Speed / n.slow * min(1, float64(n.Cores)/float64(len(n.running)))
	if n.started > 0 && n.w.s.WarmUp > 0 {
		age := float64(n.w.now-n.started) / float64(n.w.s.WarmUp)
		r *= min(1, n.w.s.ColdFrom+(1-n.w.s.ColdFrom)*max(0, age))
	}
	return r
}

// reckon brings the running jobs' progress up to now. It must come before any change of the rate.
func (n *node) reckon() {
	if d := (n.w.now - n.at).Seconds(); d > 0 {
		r := n.rate()
		for _, j := range n.running {
			j.left = max(0, j.left-r*d)
		}
	}
	n.at = n.w.now
}

// plan sets when the next job ends. A node that warms up is looked at again soon, as its rate grows.
func (n *node) plan() {
	n.next++
	plan, r, least := n.next, n.rate(), math.Inf(1)
	for _, j := range n.running {
		least = min(least, j.left)
	}
	if r <= 0 || math.IsInf(least, 1) {
		return
	}
	d := time.Duration(least/r*1e9) + time.Microsecond
	if n.started > 0 && n.w.now-n.started < n.w.s.WarmUp {
		d = min(d, n.w.s.WarmUp/50)
	}
	n.w.after(d, func() {
		if plan == n.next {
			n.tick()
		}
	})
}

func (n *node) tick() {
	n.reckon()
	var done []*work
	left := n.running[:0]
	for _, j := range n.running {
		if j.left <= 1e-9 {
			done = append(done, j)
		} else {
			left = append(left, j)
		}
	}
	n.running = left
	for _, j := range done {
		if !n.hang {
			n.finish(j)
		}
	}
	n.fill()
}

func (n *node) finish(j *work) {
	status := balance.StatusOK
	if n.failing > 0 && n.w.rng.Float64() < n.failing {
		status = balance.StatusError
	}
	n.tell(j, status)
}

// tell brings an outcome to the dispatcher, unless the node is silent.
func (n *node) tell(j *work, s balance.Status) {
	j.gone = true
	if n.silent {
		return
	}
	n.w.after(n.w.s.Network, func() { j.core.ended(j, s) })
}

// fill starts waiting jobs in the order of their arrival.
func (n *node) fill() {
	n.reckon()
	for len(n.running) < n.Slots && len(n.waiting) > 0 && !n.paused {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		j.started = true
		n.running = append(n.running, j)
		n.w.rules.ran(n, j)
		if !n.silent && !n.hang {
			n.w.after(n.w.s.Network, func() { j.core.started(j) })
		}
	}
	n.plan()
}

// take is a job's arrival at the node.
func (n *node) take(j *work) {
	switch {
	case j.gone:
	case n.silent:
	case n.pushed(j):
		j.gone = true // its connection breaks off, as those of what was there
		n.w.after(n.w.s.Network, func() { j.core.ended(j, balance.StatusReset) })
	case n.refuse || len(n.running)+len(n.waiting) >= n.Slots+n.Queue:
		n.tell(j, balance.StatusFull)
	default:
		n.waiting = append(n.waiting, j)
		n.fill()
	}
}

// drop takes a cancelled job out.
func (n *node) drop(j *work) {
	n.reckon()
	is := func(o *work) bool { return o == j }
	n.waiting, n.running = slices.DeleteFunc(n.waiting, is), slices.DeleteFunc(n.running, is)
	n.fill()
}

// lose empties the node: what it had may have run.
func (n *node) lose(tell bool) {
	n.reckon()
	had := append(n.running, n.waiting...)
	n.running, n.waiting = nil, nil
	for _, j := range had {
		if tell {
			n.tell(j, balance.StatusReset)
		}
		j.gone = true
	}
	n.plan()
}
