package emulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/lab/compare"
)

// Result is the result of a simulation.
type Result struct {
	Requests    int                        // without those that clients submitted again
	Answers     map[string]int             // by class and verdict, including those to requests submitted again
	InTime      int                        // requests served within their target time, counted from the first submission
	Worth       float64                    // worth of the requests served in time over the worth of all requests
	Latencies   map[string][]time.Duration // of served requests by class, in the order of the answers
	Sends       int                        // attempts sent to nodes
	LogHash     uint64                     // of the event log
	MaxColdLoad float64                    // the most work that reached a cold node within a second, as a share of what crashes it
	Violations  []string                   // broken rules, each with the request or node that broke it
	Elapsed     time.Duration
	TimedOut    bool // requests were still open at the completion timeout
}

// request is one submission of a request by a client. A client that submits again after a refusal or a failure
// creates another one.
type request struct {
	class       int
	work        float64 // seconds at speed 1
	key         string
	submittedAt time.Duration // the time of the first submission
	request     *dispatch.Request
	dispatcher  *dispatcher
	try         int
	done        bool
	answerCount int
}

// settings returns the settings of the dispatcher at the given position.
func (s *Scenario) settings(position int) balance.Settings {
	set := balance.Settings{Seed: s.Seed + uint64(position), Position: position, FleetSize: s.Dispatchers, MaxAttempts: 3, AllowCancel: true, AllowCopies: true, PullMembers: true,
		ConnectTimeout: 250 * time.Millisecond, Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second, PullInterval: 10 * time.Second, ReportsStart: true,
		ColdCapacity: max(0.01, s.ColdCapacity), WarmUp: s.WarmUp, OverloadFactor: 2.5, OverloadWindow: time.Second, TotalWeight: 1}
	for _, c := range s.Classes {
		c.Class.WorkerKind = -1
		set.Classes = append(set.Classes, c.Class)
	}
	for _, spec := range s.Nodes {
		set.WorkerKinds = max(set.WorkerKinds, spec.Kind+1)
	}
	return set
}

// New prepares a simulation of a scenario.
func New(s Scenario) (*Simulation, error) {
	if s.Dispatchers < 1 || len(s.Nodes) == 0 || len(s.Classes) == 0 || s.Rate <= 0 || s.Duration <= 0 {
		return nil, fmt.Errorf("a scenario needs dispatchers, nodes, classes, a rate and a duration")
	}
	sim := &Simulation{scenario: s, now: epoch, rng: rand.New(rand.NewPCG(s.Seed, 0x656d756c617465)), costFactors: map[int]float64{},
		result: Result{Answers: map[string]int{}, Latencies: map[string][]time.Duration{}}, byID: map[balance.WorkerID]*node{}}
	sim.checker = &checker{sim: sim, attempts: map[string][]sentAttempt{}}
	for _, spec := range s.Nodes {
		if spec.Cores < 1 || spec.Slots < 1 || spec.Speed <= 0 {
			return nil, fmt.Errorf("node %s: cores, slots and speed must be above 0", spec.Name)
		}
		sim.addNode(spec)
	}
	for i := range s.Dispatchers {
		d := &dispatcher{sim: sim, index: i, executions: map[*dispatch.Attempt]*execution{}, nodes: map[balance.WorkerID]*node{}}
		var err error
		opts := dispatch.Options{Settings: s.settings(i), Clock: func() time.Duration { return sim.now }}
		if s.Policy != "" {
			opts.Policy = func(set balance.Settings, h balance.Host) (dispatch.Policy, error) {
				return compare.New(s.Policy, set, h, sim.jobCount)
			}
		}
		if d.core, err = dispatch.New(opts); err != nil {
			return nil, err
		}
		d.core.Connect(d, d)
		sim.dispatchers = append(sim.dispatchers, d)
		d.sendMemberUpdate(balance.UpdateFull)
	}
	return sim, nil
}

// addNode adds a node to the simulation.
func (sim *Simulation) addNode(spec NodeSpec) *node {
	n := &node{NodeSpec: spec, sim: sim, id: dispatch.WorkerIDFromName(spec.Name), slowdown: 1}
	sim.nodes, sim.byID[n.id] = append(sim.nodes, n), n
	return n
}

// jobCount returns the true number of running and waiting jobs at a node. Among the policies only
// compare.ShortestQueue, the upper bound for the others, may use it.
func (sim *Simulation) jobCount(id balance.WorkerID) int {
	if n := sim.byID[id]; n != nil {
		return len(n.running) + len(n.waiting)
	}
	return 0
}

// Run runs the scenario until every request is answered, or until completionTimeout of virtual time has passed after
// the end of the arrivals.
func (sim *Simulation) Run(completionTimeout time.Duration) *Result {
	for _, f := range sim.scenario.Failures {
		sim.schedule(f.At, func() { sim.startFailure(f) })
	}
	sim.scheduleArrival()
	last := epoch + sim.scenario.Duration + completionTimeout
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at > last {
			sim.result.TimedOut = sim.openRequests > 0
			break
		}
		sim.now = e.at
		e.run()
		if sim.openRequests == 0 && sim.now > epoch+sim.scenario.Duration {
			break
		}
	}
	sim.checker.finish()
	sim.result.Elapsed, sim.result.LogHash = sim.now-epoch, sim.logHash
	servedWorth, requestedWorth := 0.0, 0.0
	for i, c := range sim.scenario.Classes {
		requestedWorth += sim.checker.requests[i] * c.Worth
		servedWorth += sim.checker.inTime[i] * c.Worth
	}
	if requestedWorth > 0 {
		sim.result.Worth = servedWorth / requestedWorth
	}
	return &sim.result
}

// scheduleArrival schedules the next request of a new client. Arrivals do not depend on the answers.
func (sim *Simulation) scheduleArrival() {
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/sim.scenario.Rate*1e9), func() {
		if sim.now > epoch+sim.scenario.Duration {
			return
		}
		pick, class := sim.rng.Float64()*sim.totalShare(), 0
		for i, spec := range sim.scenario.Classes {
			if class = i; pick < spec.Share {
				break
			}
			pick -= spec.Share
		}
		spec := sim.scenario.Classes[class]
		work := spec.MeanWork.Seconds() * math.Exp(spec.Sigma*sim.rng.NormFloat64()-spec.Sigma*spec.Sigma/2)
		if factor := sim.costFactors[class]; factor > 0 {
			work *= factor
		}
		sim.result.Requests++
		sim.checker.countRequest(class)
		sim.openRequests++
		sim.submit(&request{class: class, work: work, key: fmt.Sprint("k", sim.result.Requests), submittedAt: sim.now, try: 1})
		sim.scheduleArrival()
	})
}

func (sim *Simulation) totalShare() (sum float64) {
	for _, c := range sim.scenario.Classes {
		sum += c.Share
	}
	return sum
}

// submit sends a request to a random dispatcher. The caller has counted it in openRequests.
func (sim *Simulation) submit(r *request) {
	sim.submitted++
	d := sim.dispatchers[sim.rng.IntN(len(sim.dispatchers))]
	class := sim.scenario.Classes[r.class]
	r.dispatcher = d
	r.request = &dispatch.Request{ID: fmt.Sprint("r", sim.submitted), Class: r.class, Tenant: -1, Key: r.key, Timeout: class.Deadline, ExpectedWork: time.Duration(r.work * 1e9),
		Slots: 1, Payload: r, Client: r}
	at := sim.now
	sim.schedule(sim.scenario.NetworkDelay, func() {
		d.core.Submit(r.request)
		d.scheduleTimer()
	})
	sim.schedule(class.Deadline+sim.scenario.NetworkDelay+100*time.Millisecond, func() {
		if !r.done {
			sim.checker.violation("request %s of %v has no answer", r.request.ID, at-epoch)
			r.done = true
			sim.openRequests--
		}
	})
}

// Answer receives the final answer to the request.
func (r *request) Answer(a dispatch.Answer) {
	sim := r.dispatcher.sim
	if r.answerCount++; r.answerCount > 1 {
		sim.checker.violation("request %s has %d answers", r.request.ID, r.answerCount)
		return
	}
	sim.schedule(sim.scenario.NetworkDelay, func() { sim.handleAnswer(r, a) })
}

func (sim *Simulation) handleAnswer(r *request, a dispatch.Answer) {
	if r.done {
		return
	}
	r.done = true
	sim.openRequests--
	class := sim.scenario.Classes[r.class]
	sim.result.Answers[class.Name+" "+a.Verdict.String()]++
	sim.note("%s %s %s", r.request.ID, class.Name, a.Verdict)
	sim.checker.requestAnswered(r, a)
	took := sim.now - r.submittedAt
	switch {
	case a.Verdict == dispatch.Served:
		sim.result.Latencies[class.Name] = append(sim.result.Latencies[class.Name], took)
		if took <= class.Target+time.Duration(class.Stretch*r.work*1e9) {
			sim.result.InTime++
			sim.checker.inTime[r.class]++
		}
	case (a.Verdict == dispatch.Refused || class.Idempotency == balance.Idempotent) && r.try < class.MaxTries && took < class.Deadline:
		// The client submits the request again.
		next := &request{class: r.class, work: r.work, key: r.key, submittedAt: r.submittedAt, try: r.try + 1}
		sim.openRequests++ // counted now, since the simulation could end before the client submits again
		sim.schedule(max(a.RetryAfter, 50*time.Millisecond), func() { sim.submit(next) })
	}
}
