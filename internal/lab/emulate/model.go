// Package emulate simulates the environment of dispatchers: nodes, discovery, the network and clients. It runs
// many real dispatch cores in one process, on one virtual clock and with one random seed, so that the same
// scenario always produces the same events. It makes no decision on behalf of the dispatchers.
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

// Scenario describes one simulation.
type Scenario struct {
	Seed           uint64
	Duration       time.Duration // of the arrivals; the simulation continues until every request is answered
	Dispatchers    int
	Nodes          []NodeSpec
	Classes        []ClassSpec
	Rate           float64       // arrivals per second over all classes
	NetworkDelay   time.Duration // one way
	DiscoveryDelay time.Duration // from a change of the member list until dispatchers receive it
	Failures       []Failure
	WarmUp         time.Duration // in which a new node speeds up from ColdCapacity to its full speed
	ColdCapacity   float64       // speed of a new node as a share of its full speed
	// Policy names a policy of internal/lab/compare to use instead of tinroute's own; empty for tinroute's own.
	Policy string
}

// meanWork returns the mean work of a job over all classes, in seconds at speed 1.
func (s *Scenario) meanWork() float64 {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work, shares = work+c.Share*c.MeanWork.Seconds(), shares+c.Share
	}
	return work / shares
}

// NodeSpec describes one node.
type NodeSpec struct {
	Name       string
	Zone, Cell int
	Kind       int
	Cores      int
	Speed      float64 // of one core; at speed 1 a core does one second of work per second
	Slots      int     // jobs that run at the same time; if there are more than Cores, they share the cores
	Queue      int     // jobs that wait in arrival order; further ones are rejected as full without being run
}

// ClassSpec describes one class and its share of the arrivals.
type ClassSpec struct {
	balance.Class
	Share    float64
	MeanWork time.Duration // of the lognormal distribution of the work at speed 1
	Sigma    float64       // of the same distribution
	MaxTries int           // how often a client submits a request, the first time included
}

// FailureKind is a kind of failure.
type FailureKind string

// The failure kinds.
const (
	Vanish FailureKind = "vanish" // the node stops responding and later restarts cold
	Slow   FailureKind = "slow"   // the node runs Magnitude times slower
	Hang   FailureKind = "hang"   // the node accepts jobs and never answers
	Refuse FailureKind = "refuse" // the node rejects every job
	Fail   FailureKind = "fail"   // a share Magnitude of the node's answers are errors
	Reset  FailureKind = "reset"  // the node resets the connections of its jobs, once
	Pause  FailureKind = "pause"  // the node makes no progress
	Drain  FailureKind = "drain"  // discovery lists the node as draining
	Outage FailureKind = "outage" // discovery does not answer
	Cost   FailureKind = "cost"   // jobs of Class take Magnitude times the work

	// Replace replaces the nodes one after another over Duration: each is drained, a cold node is added in its
	// place after 2 s, and the old one is gone after 5 s.
	Replace FailureKind = "replace"
)

// Failure is one scripted failure.
type Failure struct {
	Kind         FailureKind
	At, Duration time.Duration
	Share        float64  // of the nodes, which are drawn at random
	Nodes        []string // names of the affected nodes; Share applies if it is empty
	Magnitude    float64  // see the failure kinds
	Class        int      // index of the class, for Cost
}

// event is a function to run at a point in virtual time. Events of the same time run in the order in which
// they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// epoch is the start of the virtual clock. It is not 0, since a start time of 0 marks a node that has long been warm.
const epoch = time.Hour

// Simulation is a scenario that is being run.
type Simulation struct {
	scenario      Scenario
	now           time.Duration
	seq           uint64
	events        eventHeap
	rng           *rand.Rand
	nodes         []*node
	byID          map[balance.WorkerID]*node
	dispatchers   []*dispatcher
	submitted     int // attempts of clients to get a request served
	openRequests  int // submitted and not answered yet
	discoveryDown bool
	costFactors   map[int]float64 // by class index
	logHash       uint64
	OnEvent       func(line string) // called with each line of the event log, if set
	result        Result
	checker       *checker
}

func (sim *Simulation) schedule(delay time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + max(0, delay), sim.seq, f})
}

// note adds a line to the event log. Only a hash of the log is kept.
func (sim *Simulation) note(format string, a ...any) {
	line := fmt.Sprintf("%d ", (sim.now-epoch).Microseconds()) + fmt.Sprintf(format, a...)
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d\n%s", sim.logHash, line) // writing to a hash never fails
	sim.logHash = h.Sum64()
	if sim.OnEvent != nil {
		sim.OnEvent(line)
	}
}

// node is the state of one simulated node.
type node struct {
	NodeSpec
	sim           *Simulation
	id            balance.WorkerID
	started       time.Duration // 0 for a node that has long been warm
	state         balance.WorkerState
	slowdown      float64
	silent        bool // neither accepts connections nor answers
	hanging       bool
	refusing      bool
	paused        bool
	crashed       bool // after an overload; it does not come back
	errorRate     float64
	running       []*execution
	waiting       []*execution
	progressAt    time.Duration // the time up to which the progress of the running jobs is accounted for
	completionSeq uint64        // identifies the latest scheduled completion; older ones are ignored
	coldArrivals  []coldArrival // within the last overloadWindow, while the node is cold
}

// coldArrival is a job that reached a cold node.
type coldArrival struct {
	at         time.Duration
	work       float64 // seconds at speed 1
	startKnown bool    // its dispatcher knew that the node had restarted
}

// The overload at which a cold node crashes; see overloadedBy.
const (
	overloadWindow = time.Second
	overloadFactor = 2.5
)

// overloadedBy records a job that reaches a node and reports whether the node crashes under it. Only a cold node
// crashes: when the work within overloadWindow exceeds overloadFactor times its current capacity. If that limit is
// n mean jobs, 2*sqrt(n) + 2 more are allowed for chance.
func (n *node) overloadedBy(exec *execution) bool {
	if n.started == 0 || n.sim.now-n.started >= n.sim.scenario.WarmUp {
		n.coldArrivals = nil
		return false
	}
	n.coldArrivals = append(n.coldArrivals, coldArrival{n.sim.now, exec.total, n.sim.checker.knowsStart(exec.dispatcher, n)})
	for n.coldArrivals[0].at <= n.sim.now-overloadWindow {
		n.coldArrivals = n.coldArrivals[1:]
	}
	sum, knownSum := 0.0, 0.0
	for _, arrival := range n.coldArrivals {
		sum += arrival.work
		if arrival.startKnown {
			knownSum += arrival.work
		}
	}
	age := float64(n.sim.now-n.started) / float64(n.sim.scenario.WarmUp)
	capacity := float64(n.Cores) * n.Speed * (n.sim.scenario.ColdCapacity + (1-n.sim.scenario.ColdCapacity)*age)
	meanWork := n.sim.scenario.meanWork()
	limit := overloadFactor * capacity * overloadWindow.Seconds()
	limit += 2*math.Sqrt(limit*meanWork) + 2*meanWork
	n.sim.result.MaxColdLoad = max(n.sim.result.MaxColdLoad, sum/limit)
	if sum <= limit {
		return false
	}
	n.sim.note("%s falls over", n.Name)
	if knownSum >= sum*2/3 {
		n.sim.checker.violation("%s was pushed over %v after its start: %.1f s of work in %v, its capacity is %.1f", n.Name, n.sim.now-n.started, sum, overloadWindow, capacity*overloadWindow.Seconds())
	}
	n.loseJobs(true)
	n.silent, n.crashed = true, true
	return true
}

// execution is an attempt at its node.
type execution struct {
	attempt    *dispatch.Attempt
	dispatcher *dispatcher
	request    *request
	remaining  float64 // work in seconds at speed 1
	total      float64
	ended      bool // at the node
	started    bool
}

// jobRate returns the speed at which each running job progresses.
func (n *node) jobRate() float64 {
	if len(n.running) == 0 || n.paused {
		return 0
	}
	rate := n.Speed / n.slowdown * min(1, float64(n.Cores)/float64(len(n.running)))
	if n.started > 0 && n.sim.scenario.WarmUp > 0 {
		age := float64(n.sim.now-n.started) / float64(n.sim.scenario.WarmUp)
		rate *= min(1, n.sim.scenario.ColdCapacity+(1-n.sim.scenario.ColdCapacity)*max(0, age))
	}
	return rate
}

// updateProgress accounts for the work done by now. It must be called before anything that changes jobRate.
func (n *node) updateProgress() {
	if elapsed := (n.sim.now - n.progressAt).Seconds(); elapsed > 0 {
		rate := n.jobRate()
		for _, exec := range n.running {
			exec.remaining = max(0, exec.remaining-rate*elapsed)
		}
	}
	n.progressAt = n.sim.now
}

// scheduleCompletion schedules the end of the next job. A node that is warming up is checked again earlier, since
// its rate grows.
func (n *node) scheduleCompletion() {
	n.completionSeq++
	seq, rate, minRemaining := n.completionSeq, n.jobRate(), math.Inf(1)
	for _, exec := range n.running {
		minRemaining = min(minRemaining, exec.remaining)
	}
	if rate <= 0 || math.IsInf(minRemaining, 1) {
		return
	}
	delay := time.Duration(minRemaining/rate*1e9) + time.Microsecond
	if n.started > 0 && n.sim.now-n.started < n.sim.scenario.WarmUp {
		delay = min(delay, n.sim.scenario.WarmUp/50)
	}
	n.sim.schedule(delay, func() {
		if seq == n.completionSeq {
			n.completeJobs()
		}
	})
}

func (n *node) completeJobs() {
	n.updateProgress()
	var done []*execution
	stillRunning := n.running[:0]
	for _, exec := range n.running {
		if exec.remaining <= 1e-9 {
			done = append(done, exec)
		} else {
			stillRunning = append(stillRunning, exec)
		}
	}
	n.running = stillRunning
	for _, exec := range done {
		if !n.hanging {
			n.finishJob(exec)
		}
	}
	n.startWaiting()
}

func (n *node) finishJob(exec *execution) {
	status := balance.StatusOK
	if n.errorRate > 0 && n.sim.rng.Float64() < n.errorRate {
		status = balance.StatusError
	}
	n.reportEnd(exec, status)
}

// reportEnd sends the status of a job to its dispatcher, unless the node is silent.
func (n *node) reportEnd(exec *execution, status balance.Status) {
	exec.ended = true
	if n.silent {
		return
	}
	n.sim.schedule(n.sim.scenario.NetworkDelay, func() { exec.dispatcher.attemptEnded(exec, status) })
}

// startWaiting starts waiting jobs in arrival order while slots are free.
func (n *node) startWaiting() {
	n.updateProgress()
	for len(n.running) < n.Slots && len(n.waiting) > 0 && !n.paused {
		exec := n.waiting[0]
		n.waiting = n.waiting[1:]
		exec.started = true
		n.running = append(n.running, exec)
		n.sim.checker.executionStarted(n, exec)
		if !n.silent && !n.hanging {
			n.sim.schedule(n.sim.scenario.NetworkDelay, func() { exec.dispatcher.attemptStarted(exec) })
		}
	}
	n.scheduleCompletion()
}

// accept handles the arrival of a job at the node.
func (n *node) accept(exec *execution) {
	switch {
	case exec.ended:
	case n.silent:
	case n.overloadedBy(exec):
		exec.ended = true // the crash resets its connection too
		n.sim.schedule(n.sim.scenario.NetworkDelay, func() { exec.dispatcher.attemptEnded(exec, balance.StatusReset) })
	case n.refusing || len(n.running)+len(n.waiting) >= n.Slots+n.Queue:
		n.reportEnd(exec, balance.StatusFull)
	default:
		n.waiting = append(n.waiting, exec)
		n.startWaiting()
	}
}

// remove removes a cancelled job.
func (n *node) remove(exec *execution) {
	n.updateProgress()
	isExec := func(other *execution) bool { return other == exec }
	n.waiting, n.running = slices.DeleteFunc(n.waiting, isExec), slices.DeleteFunc(n.running, isExec)
	n.startWaiting()
}

// loseJobs ends all jobs of the node. Any of them may have run. With report, their dispatchers see a reset.
func (n *node) loseJobs(report bool) {
	n.updateProgress()
	lost := append(n.running, n.waiting...)
	n.running, n.waiting = nil, nil
	for _, exec := range lost {
		if report {
			n.reportEnd(exec, balance.StatusReset)
		}
		exec.ended = true
	}
	n.scheduleCompletion()
}
