// Package experiment plays a matrix of days, policies and seeds in the emulator's virtual time and
// sums up what came of each cell, with the spread between seeds. A play is deterministic from its
// day, policy and seed, so a matrix that was cut off goes on where it stopped: the plays already
// done are handed in and not played again.
package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"tinroute.example/tinroute/internal/lab/compare"
	"tinroute.example/tinroute/internal/lab/emulate"
)

// Own is the name of tinroute's own policy in results.
const Own = "tinroute"

// Day is a kind of day: failures at times given as shares of its length, so that one day serves
// every length.
type Day struct {
	Name     string
	Failures []Trouble
}

// Trouble is a failure whose time and length are shares of the day's length.
type Trouble struct {
	Kind        emulate.Kind
	At, For     float64 // of the day's length
	Share, Size float64
}

// Days are the days that results pages show: calm, a slow fifth, a vanished tenth that comes back
// cold, a heavy tail of one class, and a restart of a third of the nodes in mid-burst.
var Days = []Day{
	{Name: "calm"},
	{Name: "slow", Failures: []Trouble{{Kind: emulate.Slow, At: 0.25, For: 0.4, Share: 0.2, Size: 5}}},
	{Name: "vanish", Failures: []Trouble{{Kind: emulate.Vanish, At: 0.25, For: 0.3, Share: 0.1, Size: 1}}},
	{Name: "heavy-tail", Failures: []Trouble{{Kind: emulate.Cost, At: 0.25, For: 0.4, Share: 1, Size: 8}}},
	{Name: "restart", Failures: []Trouble{{Kind: emulate.Vanish, At: 0.4, For: 0.03, Share: 0.3, Size: 1}}},
}

// Plan is a matrix to play.
type Plan struct {
	Days        []Day
	Policies    []string // Own and the names of internal/lab/compare
	Seeds       int      // 1 to Seeds
	Nodes       int
	Dispatchers int
	Load        float64       // share of what the nodes can do
	Length      time.Duration // of a day's arrivals
	Bound       time.Duration // of virtual time after the arrivals: a play that has not ended by then is jammed
	Workers     int           // plays at once; 1 where 0
}

// Cell names one play.
type Cell struct {
	Day    string `json:"day"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
}

// Outcome is what one play gave.
type Outcome struct {
	Cell
	Worth    float64        `json:"worth"` // served in time over asked for
	Requests int            `json:"requests"`
	Sends    int            `json:"sends"`
	P50      float64        `json:"p50_ms"` // of what was served, over all classes
	P99      float64        `json:"p99_ms"`
	Answers  map[string]int `json:"answers"`
	Broken   []string       `json:"broken,omitempty"`
	Jammed   bool           `json:"jammed"`
	Log      string         `json:"log"`    // the event log's hash
	Played   float64        `json:"real_s"` // seconds of real time the play took
}

// check names what is wrong with a plan, and gives it its defaults.
func (p *Plan) check() error {
	switch {
	case len(p.Days) == 0 || len(p.Policies) == 0 || p.Seeds < 1:
		return fmt.Errorf("a plan wants days, policies and seeds")
	case p.Nodes < 1 || p.Dispatchers < 1 || p.Load <= 0 || p.Length <= 0:
		return fmt.Errorf("a plan wants nodes, dispatchers, a load and a length")
	}
	for _, name := range p.Policies {
		if name != Own && !slices.Contains(compare.Names, name) {
			return fmt.Errorf("policy %q: %s or one of %v", name, Own, compare.Names)
		}
	}
	if p.Bound <= 0 {
		p.Bound = time.Minute
	}
	p.Workers = max(1, p.Workers)
	return nil
}

// Cells lists the plays of a plan in the order of days, policies and seeds.
func (p *Plan) Cells() []Cell {
	var cells []Cell
	for _, d := range p.Days {
		for _, pol := range p.Policies {
			for s := range p.Seeds {
				cells = append(cells, Cell{d.Name, pol, uint64(s + 1)})
			}
		}
	}
	return cells
}

// scenario is the emulator's scenario of a cell.
func (p *Plan) scenario(c Cell) (emulate.Scenario, error) {
	s := emulate.Shop(p.Nodes, p.Dispatchers, p.Load)
	s.Seed, s.Length = c.Seed, p.Length
	if c.Policy != Own {
		s.Policy = c.Policy
	}
	i := slices.IndexFunc(p.Days, func(d Day) bool { return d.Name == c.Day })
	if i < 0 {
		return s, fmt.Errorf("day %q: not in the plan", c.Day)
	}
	for _, t := range p.Days[i].Failures {
		s.Failures = append(s.Failures, emulate.Failure{Kind: t.Kind, Share: t.Share, Size: t.Size,
			At: time.Duration(t.At * float64(p.Length)), For: time.Duration(t.For * float64(p.Length))})
	}
	return s, nil
}

// Play plays one cell.
func (p *Plan) Play(c Cell) (Outcome, error) {
	s, err := p.scenario(c)
	if err != nil {
		return Outcome{}, err
	}
	w, err := emulate.New(s)
	if err != nil {
		return Outcome{}, err
	}
	began := time.Now()
	r := w.Play(p.Bound)
	o := Outcome{Cell: c, Worth: r.Worth, Requests: r.Requests, Sends: r.Sends, Answers: r.Answers, Broken: r.Broken,
		Jammed: r.Jammed, Log: fmt.Sprintf("%016x", r.Log), Played: time.Since(began).Seconds()}
	var took []float64
	for _, ts := range r.Took {
		for _, t := range ts {
			took = append(took, float64(t)/float64(time.Millisecond))
		}
	}
	if len(took) > 0 {
		sort.Float64s(took)
		o.P50 = stat.Quantile(0.5, stat.Empirical, took, nil)
		o.P99 = stat.Quantile(0.99, stat.Empirical, took, nil)
	}
	return o, nil
}

// Run plays the cells of the plan that are not done, Workers at a time, and tells each outcome
// as it comes, from one goroutine at a time. It stops early where ctx ends; what was told is
// whole.
func Run(ctx context.Context, p Plan, done map[Cell]bool, each func(Outcome)) error {
	if err := p.check(); err != nil {
		return err
	}
	todo := make(chan Cell)
	var mu sync.Mutex
	var first error
	var wg sync.WaitGroup
	for range p.Workers {
		wg.Go(func() {
			for c := range todo {
				o, err := p.Play(c)
				mu.Lock()
				if err != nil && first == nil {
					first = err
				} else if err == nil {
					each(o)
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range p.Cells() {
		if done[c] {
			continue
		}
		select {
		case todo <- c:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	close(todo)
	wg.Wait()
	return first
}

// Summary is one day and policy over its seeds.
type Summary struct {
	Day, Policy      string
	Plays            int
	Worth, WorthCI   float64 // mean, and half the width of its 95% confidence interval
	P50, P99         float64 // means over the seeds, milliseconds
	Broken, Jammed   int     // plays
	SendsPerRequest  float64
	RealSecondsAPlay float64
}

// Summarize sums outcomes up by day and policy, in the order in which they first come.
func Summarize(outcomes []Outcome) []Summary {
	type key struct{ day, policy string }
	var order []key
	by := map[key][]Outcome{}
	for _, o := range outcomes {
		k := key{o.Day, o.Policy}
		if _, ok := by[k]; !ok {
			order = append(order, k)
		}
		by[k] = append(by[k], o)
	}
	var out []Summary
	for _, k := range order {
		os := by[k]
		s := Summary{Day: k.day, Policy: k.policy, Plays: len(os)}
		var worth []float64
		sends, requests := 0, 0
		for _, o := range os {
			worth = append(worth, o.Worth)
			s.P50 += o.P50 / float64(len(os))
			s.P99 += o.P99 / float64(len(os))
			s.RealSecondsAPlay += o.Played / float64(len(os))
			sends, requests = sends+o.Sends, requests+o.Requests
			if len(o.Broken) > 0 {
				s.Broken++
			}
			if o.Jammed {
				s.Jammed++
			}
		}
		s.Worth, s.WorthCI = interval(worth)
		if requests > 0 {
			s.SendsPerRequest = float64(sends) / float64(requests)
		}
		out = append(out, s)
	}
	return out
}

// interval is a sample's mean and half the width of the 95% confidence interval of the mean, by
// Student's t: with a few seeds the normal law would claim too much. One sample has none (NaN).
func interval(x []float64) (mean, half float64) {
	mean = stat.Mean(x, nil)
	if len(x) < 2 {
		return mean, math.NaN()
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return mean, t * stat.StdDev(x, nil) / math.Sqrt(float64(len(x)))
}
