// Package experiment runs trials in the emulator for every combination of scenario, policy and seed, and summarizes the
// results with confidence intervals over the seeds. A trial is determined by its scenario, policy and seed, so that an
// interrupted experiment can be resumed: the caller passes the trials that are done.
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

// OwnPolicy is the name of tinroute's own policy in results.
const OwnPolicy = "tinroute"

// Scenario is a named set of failures. Their times are shares of the duration, so that a scenario fits any duration.
type Scenario struct {
	Name     string
	Failures []ScenarioFailure
}

// ScenarioFailure is a failure of a scenario. Share and Magnitude have the meaning that they have in emulate.Failure.
type ScenarioFailure struct {
	Kind             emulate.FailureKind
	At, Duration     float64 // as shares of the duration of the arrivals
	Share, Magnitude float64
}

// Scenarios are the standard scenarios: no failure, a fifth of the nodes slow, a tenth of the nodes vanishing and
// restarting cold, jobs of one class taking eight times the work, and a restart of 30% of the nodes.
var Scenarios = []Scenario{
	{Name: "calm"},
	{Name: "slow", Failures: []ScenarioFailure{{Kind: emulate.Slow, At: 0.25, Duration: 0.4, Share: 0.2, Magnitude: 5}}},
	{Name: "vanish", Failures: []ScenarioFailure{{Kind: emulate.Vanish, At: 0.25, Duration: 0.3, Share: 0.1, Magnitude: 1}}},
	{Name: "heavy-tail", Failures: []ScenarioFailure{{Kind: emulate.Cost, At: 0.25, Duration: 0.4, Share: 1, Magnitude: 8}}},
	{Name: "restart", Failures: []ScenarioFailure{{Kind: emulate.Vanish, At: 0.4, Duration: 0.03, Share: 0.3, Magnitude: 1}}},
}

// Plan describes an experiment.
type Plan struct {
	Scenarios         []Scenario
	Policies          []string // OwnPolicy and names of internal/lab/compare
	Seeds             int      // each trial runs with the seeds 1 to Seeds
	Nodes             int
	Dispatchers       int
	Load              float64       // arrival rate as a share of the capacity of the nodes
	Duration          time.Duration // of the arrivals
	CompletionTimeout time.Duration // virtual time after the arrivals at which a trial with open requests times out; 1 minute if 0
	Parallelism       int           // number of trials that run at the same time; 1 if 0
}

// Trial identifies one simulation.
type Trial struct {
	Scenario string `json:"day"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
}

// Outcome is the result of a trial. See emulate.Result for the fields of the same names.
type Outcome struct {
	Trial
	Worth       float64        `json:"worth"` // worth of the requests served in time over the worth of all requests
	Requests    int            `json:"requests"`
	Sends       int            `json:"sends"`
	P50         float64        `json:"p50_ms"` // latency of served requests over all classes
	P99         float64        `json:"p99_ms"`
	Answers     map[string]int `json:"answers"`
	Violations  []string       `json:"broken,omitempty"`
	TimedOut    bool           `json:"jammed"`
	LogHash     string         `json:"log"`    // hash of the event log in hexadecimal
	RealSeconds float64        `json:"real_s"` // duration of the trial in real time
}

// validate checks the plan and sets defaults.
func (p *Plan) validate() error {
	switch {
	case len(p.Scenarios) == 0 || len(p.Policies) == 0 || p.Seeds < 1:
		return fmt.Errorf("a plan needs scenarios, policies and seeds")
	case p.Nodes < 1 || p.Dispatchers < 1 || p.Load <= 0 || p.Duration <= 0:
		return fmt.Errorf("a plan needs nodes, dispatchers, a load and a duration")
	}
	for _, name := range p.Policies {
		if name != OwnPolicy && !slices.Contains(compare.Names, name) {
			return fmt.Errorf("unknown policy %q: must be %s or one of %v", name, OwnPolicy, compare.Names)
		}
	}
	if p.CompletionTimeout <= 0 {
		p.CompletionTimeout = time.Minute
	}
	p.Parallelism = max(1, p.Parallelism)
	return nil
}

// Trials lists the trials of the plan in the order of scenarios, policies and seeds.
func (p *Plan) Trials() []Trial {
	var trials []Trial
	for _, scenario := range p.Scenarios {
		for _, policy := range p.Policies {
			for seed := range p.Seeds {
				trials = append(trials, Trial{scenario.Name, policy, uint64(seed + 1)})
			}
		}
	}
	return trials
}

// emulatorScenario returns the emulator scenario of a trial.
func (p *Plan) emulatorScenario(trial Trial) (emulate.Scenario, error) {
	s := emulate.PricingScenario(p.Nodes, p.Dispatchers, p.Load)
	s.Seed, s.Duration = trial.Seed, p.Duration
	if trial.Policy != OwnPolicy {
		s.Policy = trial.Policy
	}
	i := slices.IndexFunc(p.Scenarios, func(scenario Scenario) bool { return scenario.Name == trial.Scenario })
	if i < 0 {
		return s, fmt.Errorf("scenario %q is not in the plan", trial.Scenario)
	}
	for _, failure := range p.Scenarios[i].Failures {
		s.Failures = append(s.Failures, emulate.Failure{Kind: failure.Kind, Share: failure.Share, Magnitude: failure.Magnitude,
			At: time.Duration(failure.At * float64(p.Duration)), Duration: time.Duration(failure.Duration * float64(p.Duration))})
	}
	return s, nil
}

// RunTrial runs one trial.
func (p *Plan) RunTrial(trial Trial) (Outcome, error) {
	s, err := p.emulatorScenario(trial)
	if err != nil {
		return Outcome{}, err
	}
	sim, err := emulate.New(s)
	if err != nil {
		return Outcome{}, err
	}
	started := time.Now()
	result := sim.Run(p.CompletionTimeout)
	outcome := Outcome{Trial: trial, Worth: result.Worth, Requests: result.Requests, Sends: result.Sends, Answers: result.Answers, Violations: result.Violations,
		TimedOut: result.TimedOut, LogHash: fmt.Sprintf("%016x", result.LogHash), RealSeconds: time.Since(started).Seconds()}
	var latencies []float64
	for _, classLatencies := range result.Latencies {
		for _, t := range classLatencies {
			latencies = append(latencies, float64(t)/float64(time.Millisecond))
		}
	}
	if len(latencies) > 0 {
		sort.Float64s(latencies)
		outcome.P50 = stat.Quantile(0.5, stat.Empirical, latencies, nil)
		outcome.P99 = stat.Quantile(0.99, stat.Empirical, latencies, nil)
	}
	return outcome, nil
}

// Run runs the trials of the plan that are not done. It calls report for each outcome, from one goroutine at a time. If
// ctx ends, it finishes the running trials and starts no more. It returns the first error.
func Run(ctx context.Context, plan Plan, done map[Trial]bool, report func(Outcome)) error {
	if err := plan.validate(); err != nil {
		return err
	}
	pending := make(chan Trial)
	var mu sync.Mutex
	var firstErr error
	var wg sync.WaitGroup
	for range plan.Parallelism {
		wg.Go(func() {
			for trial := range pending {
				outcome, err := plan.RunTrial(trial)
				mu.Lock()
				if err != nil && firstErr == nil {
					firstErr = err
				} else if err == nil {
					report(outcome)
				}
				mu.Unlock()
			}
		})
	}
	for _, trial := range plan.Trials() {
		if done[trial] {
			continue
		}
		select {
		case pending <- trial:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	close(pending)
	wg.Wait()
	return firstErr
}

// Summary summarizes the trials of one scenario and policy over all seeds.
type Summary struct {
	Scenario, Policy                string
	Trials                          int
	Worth, WorthCI                  float64 // mean, and half the width of its 95% confidence interval
	P50, P99                        float64 // means over the seeds, in milliseconds
	ViolatingTrials, TimedOutTrials int     // trials that broke a rule, and those that timed out
	SendsPerRequest                 float64
	MeanRealSeconds                 float64
}

// Summarize summarizes outcomes by scenario and policy, in the order in which these first occur.
func Summarize(outcomes []Outcome) []Summary {
	type key struct{ scenario, policy string }
	var order []key
	groups := map[key][]Outcome{}
	for _, o := range outcomes {
		k := key{o.Scenario, o.Policy}
		if _, ok := groups[k]; !ok {
			order = append(order, k)
		}
		groups[k] = append(groups[k], o)
	}
	var summaries []Summary
	for _, k := range order {
		group := groups[k]
		summary := Summary{Scenario: k.scenario, Policy: k.policy, Trials: len(group)}
		var worth []float64
		sends, requests := 0, 0
		for _, o := range group {
			worth = append(worth, o.Worth)
			summary.P50 += o.P50 / float64(len(group))
			summary.P99 += o.P99 / float64(len(group))
			summary.MeanRealSeconds += o.RealSeconds / float64(len(group))
			sends, requests = sends+o.Sends, requests+o.Requests
			if len(o.Violations) > 0 {
				summary.ViolatingTrials++
			}
			if o.TimedOut {
				summary.TimedOutTrials++
			}
		}
		summary.Worth, summary.WorthCI = confidenceInterval(worth)
		if requests > 0 {
			summary.SendsPerRequest = float64(sends) / float64(requests)
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

// confidenceInterval returns the mean and half the width of its 95% confidence interval. It uses Student's t-distribution,
// since the normal distribution would give too narrow an interval for a few seeds. For one sample the half width is NaN.
func confidenceInterval(samples []float64) (mean, halfWidth float64) {
	mean = stat.Mean(samples, nil)
	if len(samples) < 2 {
		return mean, math.NaN()
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(samples) - 1)}.Quantile(0.975)
	return mean, t * stat.StdDev(samples, nil) / math.Sqrt(float64(len(samples)))
}
