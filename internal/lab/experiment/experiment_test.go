package experiment

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func plan() Plan {
	return Plan{Days: Days, Policies: []string{Own, "random"}, Seeds: 2, Nodes: 6, Dispatchers: 2, Load: 0.6,
		Length: 10 * time.Second, Workers: 4}
}

// A play is the same from its cell: played twice, alone or among others, its event log is too.
func TestAPlayIsItsCell(t *testing.T) {
	p := plan()
	require.NoError(t, p.check())
	c := Cell{"vanish", Own, 2}
	a, err := p.Play(c)
	require.NoError(t, err)
	var b Outcome
	require.NoError(t, Run(context.Background(), p, nil, func(o Outcome) {
		if o.Cell == c {
			b = o
		}
	}))
	require.Equal(t, a.Log, b.Log)
	require.Equal(t, a.Worth, b.Worth)
}

// What was done is not played again, and the rest is: a matrix cut off goes on where it stopped.
func TestRunGoesOnWhereItStopped(t *testing.T) {
	p := plan()
	cells := p.Cells()
	done := map[Cell]bool{}
	for _, c := range cells[:len(cells)/2] {
		done[c] = true
	}
	var got []Cell
	require.NoError(t, Run(context.Background(), p, done, func(o Outcome) { got = append(got, o.Cell) }))
	require.ElementsMatch(t, cells[len(cells)/2:], got)
}

// A policy that cannot finish within the bound ends there, and the play says it jammed.
func TestAJamEndsAtItsBound(t *testing.T) {
	p := plan()
	p.Load, p.Bound = 4, time.Second // four times what the nodes can do
	require.NoError(t, p.check())
	began := time.Now()
	o, err := p.Play(Cell{"calm", "random", 1})
	require.NoError(t, err)
	require.True(t, o.Jammed)
	require.Less(t, time.Since(began), 30*time.Second)
}

// The interval is Student's: for 1, 2, 3 it is 2.4841 either side (t of 0.975 with 2 degrees is
// 4.3027, times 1 over the root of 3); one sample has none.
func TestInterval(t *testing.T) {
	m, h := interval([]float64{1, 2, 3})
	require.InDelta(t, 2, m, 1e-12)
	require.InDelta(t, 2.4841, h, 1e-4)
	_, h = interval([]float64{1})
	require.True(t, math.IsNaN(h))
}

// Summaries count plays that broke a rule or jammed, by day and policy.
func TestSummarize(t *testing.T) {
	s := Summarize([]Outcome{
		{Cell: Cell{"calm", Own, 1}, Worth: 0.9, Requests: 10, Sends: 12},
		{Cell: Cell{"calm", Own, 2}, Worth: 0.8, Requests: 10, Sends: 10, Broken: []string{"x"}, Jammed: true},
		{Cell: Cell{"slow", Own, 1}, Worth: 0.5},
	})
	require.Len(t, s, 2)
	require.Equal(t, 2, s[0].Plays)
	require.InDelta(t, 0.85, s[0].Worth, 1e-12)
	require.Equal(t, 1, s[0].Broken)
	require.Equal(t, 1, s[0].Jammed)
	require.InDelta(t, 1.1, s[0].SendsPerRequest, 1e-12)
	require.Equal(t, "slow", s[1].Day)
}

// A plan that names what is not there says so.
func TestPlanIsChecked(t *testing.T) {
	p := plan()
	p.Policies = []string{"fastest"}
	require.ErrorContains(t, Run(context.Background(), p, nil, func(Outcome) {}), "fastest")
}
