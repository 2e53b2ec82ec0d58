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

// Result is what came of a scenario.
type Result struct {
	Requests int                        // first tries
	Answers  map[string]int             // by class and verdict, of each try
	InTime   int                        // first tries whose request was served within its aim, by whichever try
	Worth    float64                    // served in time over asked for
	Took     map[string][]time.Duration // of what was served, by class, in the order of the answers
	Sends    int
	Log      uint64   // a hash of the event log
	Pushed   float64  // the most that reached a cold node within a second, as a share of what pushes it over
	Broken   []string // rules, with what broke them
	End      time.Duration
	Jammed   bool // the play met its bound
}

// request is one try of a client's.
type request struct {
	class   int
	work    float64
	key     string
	asked   time.Duration // the first try
	tx      *dispatch.Request
	core    *dispatcher
	try     int
	over    bool
	answers int
}

// settings are what a dispatcher of the scenario is told.
func (s *Scenario) settings(n int) balance.Settings {
	b := balance.Settings{Seed: s.Seed + uint64(n), Position: n, FleetSize: s.Dispatchers, MaxAttempts: 3, AllowCancel: true, AllowCopies: true, PullMembers: true,
		ConnectTimeout: 250 * time.Millisecond, Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second, PullInterval: 10 * time.Second, ReportsStart: true,
		ColdCapacity: max(0.01, s.ColdFrom), WarmUp: s.WarmUp, OverloadFactor: 2.5, OverloadWindow: time.Second, TotalWeight: 1}
	for _, c := range s.Classes {
		c.Class.WorkerKind = -1
		b.Classes = append(b.Classes, c.Class)
	}
	for _, x := range s.Nodes {
		b.WorkerKinds = max(b.WorkerKinds, x.Kind+1)
	}
	return b
}

// New sets a scenario up.
func New(s Scenario) (*World, error) {
	if s.Dispatchers < 1 || len(s.Nodes) == 0 || len(s.Classes) == 0 || s.Rate <= 0 || s.Length <= 0 {
		return nil, fmt.Errorf("a scenario wants dispatchers, nodes, classes, a rate and a length")
	}
	w := &World{s: s, now: epoch, rng: rand.New(rand.NewPCG(s.Seed, 0x656d756c617465)), cost: map[int]float64{},
		res: Result{Answers: map[string]int{}, Took: map[string][]time.Duration{}}, byID: map[balance.WorkerID]*node{}}
	w.rules = &rules{w: w, sends: map[string][]send{}}
	for _, x := range s.Nodes {
		if x.Cores < 1 || x.Slots < 1 || x.Speed <= 0 {
			return nil, fmt.Errorf("node %s: cores, slots and speed are above 0", x.Name)
		}
		w.add(x)
	}
	for i := range s.Dispatchers {
		d := &dispatcher{w: w, n: i, works: map[*dispatch.Attempt]*work{}, known: map[balance.WorkerID]*node{}}
		var err error
		o := dispatch.Options{Settings: s.settings(i), Clock: func() time.Duration { return w.now }}
		if s.Policy != "" {
			o.Policy = func(set balance.Settings, h balance.Host) (dispatch.Policy, error) {
				return compare.New(s.Policy, set, h, w.held)
			}
		}
		if d.core, err = dispatch.New(o); err != nil {
			return nil, err
		}
		d.core.Connect(d, d)
		w.cores = append(w.cores, d)
		d.list(balance.UpdateFull)
	}
	return w, nil
}

// add sets up a node of the scenario.
func (w *World) add(x NodeSpec) *node {
	n := &node{NodeSpec: x, w: w, id: dispatch.WorkerIDFromName(x.Name), slow: 1}
	w.nodes, w.byID[n.id] = append(w.nodes, n), n
	return n
}

// held is how many jobs a node holds, running and waiting: the true state that only the bound of
// the comparison policies is given.
func (w *World) held(id balance.WorkerID) int {
	if n := w.byID[id]; n != nil {
		return len(n.running) + len(n.waiting)
	}
	return 0
}

// Play runs the scenario to its end: until all is answered, or bound of virtual time has passed
// after the last arrival.
func (w *World) Play(bound time.Duration) *Result {
	for _, f := range w.s.Failures {
		w.after(f.At, func() { w.fail(f) })
	}
	w.arrive()
	last := epoch + w.s.Length + bound
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > last {
			w.res.Jammed = w.open > 0
			break
		}
		w.now = e.at
		e.f()
		if w.open == 0 && w.now > epoch+w.s.Length {
			break
		}
	}
	w.rules.end()
	w.res.End, w.res.Log = w.now-epoch, w.log
	worth, asked := 0.0, 0.0
	for i, c := range w.s.Classes {
		asked += w.rules.asked[i] * c.Worth
		worth += w.rules.inTime[i] * c.Worth
	}
	if asked > 0 {
		w.res.Worth = worth / asked
	}
	return &w.res
}

// arrive brings one request, and sets the next: arrivals are drawn ahead of what becomes of them.
func (w *World) arrive() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.s.Rate*1e9), func() {
		if w.now > epoch+w.s.Length {
			return
		}
		x, class := w.rng.Float64()*w.shares(), 0
		for i, c := range w.s.Classes {
			if class = i; x < c.Share {
				break
			}
			x -= c.Share
		}
		c := w.s.Classes[class]
		work := c.Mean.Seconds() * math.Exp(c.Sigma*w.rng.NormFloat64()-c.Sigma*c.Sigma/2)
		if f := w.cost[class]; f > 0 {
			work *= f
		}
		w.res.Requests++
		w.rules.ask(class)
		w.open++
		w.submit(&request{class: class, work: work, key: fmt.Sprint("k", w.res.Requests), asked: w.now, try: 1})
		w.arrive()
	})
}

func (w *World) shares() (sum float64) {
	for _, c := range w.s.Classes {
		sum += c.Share
	}
	return sum
}

// submit sends one try, which is counted as open, to a dispatcher.
func (w *World) submit(r *request) {
	w.jobs++
	d := w.cores[w.rng.IntN(len(w.cores))]
	c := w.s.Classes[r.class]
	r.core = d
	r.tx = &dispatch.Request{ID: fmt.Sprint("r", w.jobs), Class: r.class, Tenant: -1, Key: r.key, Timeout: c.Deadline, WorkHint: time.Duration(r.work * 1e9),
		Slots: 1, Payload: r, Client: r}
	at := w.now
	w.after(w.s.Network, func() {
		d.core.Submit(r.tx)
		d.settle()
	})
	w.after(c.Deadline+w.s.Network+100*time.Millisecond, func() {
		if !r.over {
			w.rules.broke("request %s of %v has no answer", r.tx.ID, at-epoch)
			r.over = true
			w.open--
		}
	})
}

// Answer takes a try's final answer.
func (r *request) Answer(a dispatch.Answer) {
	w := r.core.w
	if r.answers++; r.answers > 1 {
		w.rules.broke("request %s has %d answers", r.tx.ID, r.answers)
		return
	}
	w.after(w.s.Network, func() { w.answered(r, a) })
}

func (w *World) answered(r *request, a dispatch.Answer) {
	if r.over {
		return
	}
	r.over = true
	w.open--
	c := w.s.Classes[r.class]
	w.res.Answers[c.Name+" "+a.Verdict.String()]++
	w.note("%s %s %s", r.tx.ID, c.Name, a.Verdict)
	w.rules.answered(r, a)
	took := w.now - r.asked
	switch {
	case a.Verdict == dispatch.Served:
		w.res.Took[c.Name] = append(w.res.Took[c.Name], took)
		if took <= c.Target+time.Duration(c.Stretch*r.work*1e9) {
			w.res.InTime++
			w.rules.inTime[r.class]++
		}
	case (a.Verdict == dispatch.Refused || c.Idempotency == balance.Idempotent) && r.try < c.Tries && took < c.Deadline: // a client that may ask again does
		next := &request{class: r.class, work: r.work, key: r.key, asked: r.asked, try: r.try + 1}
		w.open++ // from now on, or the play could end before it asks again
		w.after(max(a.RetryAfter, 50*time.Millisecond), func() { w.submit(next) })
	}
}
