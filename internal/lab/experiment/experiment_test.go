package experiment

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testPlan() Plan {
	return Plan{Scenarios: Scenarios, Policies: []string{OwnPolicy, "random"}, Seeds: 2, Nodes: 6, Dispatchers: 2, Load: 0.6,
		Duration: 10 * time.Second, Parallelism: 4}
}

// A trial must give the same event log whether it runs alone or concurrently with others.
func TestTrialIsDeterministic(t *testing.T) {
	p := testPlan()
	require.NoError(t, p.validate())
	trial := Trial{"vanish", OwnPolicy, 2}
	a, err := p.RunTrial(trial)
	require.NoError(t, err)
	var b Outcome
	require.NoError(t, Run(context.Background(), p, nil, func(o Outcome) {
		if o.Trial == trial {
			b = o
		}
	}))
	require.Equal(t, a.LogHash, b.LogHash)
	require.Equal(t, a.Worth, b.Worth)
}

// A resumed experiment must run exactly the trials that are not done.
func TestRunSkipsDoneTrials(t *testing.T) {
	p := testPlan()
	trials := p.Trials()
	done := map[Trial]bool{}
	for _, trial := range trials[:len(trials)/2] {
		done[trial] = true
	}
	var got []Trial
	require.NoError(t, Run(context.Background(), p, done, func(o Outcome) { got = append(got, o.Trial) }))
	require.ElementsMatch(t, trials[len(trials)/2:], got)
}

// A trial that cannot answer all requests must end at the completion timeout and be reported as timed out.
func TestTrialTimesOut(t *testing.T) {
	p := testPlan()
	p.Load, p.CompletionTimeout = 4, time.Second // four times the capacity of the nodes
	require.NoError(t, p.validate())
	began := time.Now()
	o, err := p.RunTrial(Trial{"calm", "random", 1})
	require.NoError(t, err)
	require.True(t, o.TimedOut)
	require.Less(t, time.Since(began), 30*time.Second)
}

// The half width for 1, 2, 3 is 2.4841: the 0.975 quantile of Student's t-distribution with 2 degrees of freedom, 4.3027,
// times the standard deviation 1 over the square root of 3. One sample has no interval.
func TestConfidenceInterval(t *testing.T) {
	m, h := confidenceInterval([]float64{1, 2, 3})
	require.InDelta(t, 2, m, 1e-12)
	require.InDelta(t, 2.4841, h, 1e-4)
	_, h = confidenceInterval([]float64{1})
	require.True(t, math.IsNaN(h))
}

// Summaries must count the trials that broke a rule or timed out, by scenario and policy.
func TestSummarize(t *testing.T) {
	s := Summarize([]Outcome{
		{Trial: Trial{"calm", OwnPolicy, 1}, Worth: 0.9, Requests: 10, Sends: 12},
		{Trial: Trial{"calm", OwnPolicy, 2}, Worth: 0.8, Requests: 10, Sends: 10, Violations: []string{"x"}, TimedOut: true},
		{Trial: Trial{"slow", OwnPolicy, 1}, Worth: 0.5},
	})
	require.Len(t, s, 2)
	require.Equal(t, 2, s[0].Trials)
	require.InDelta(t, 0.85, s[0].Worth, 1e-12)
	require.Equal(t, 1, s[0].ViolatingTrials)
	require.Equal(t, 1, s[0].TimedOutTrials)
	require.InDelta(t, 1.1, s[0].SendsPerRequest, 1e-12)
	require.Equal(t, "slow", s[1].Scenario)
}

// A plan with an unknown policy must be rejected.
func TestRunRejectsUnknownPolicy(t *testing.T) {
	p := testPlan()
	p.Policies = []string{"fastest"}
	require.ErrorContains(t, Run(context.Background(), p, nil, func(Outcome) {}), "fastest")
}
