package cli

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

func TestWithChanges(t *testing.T) {
	b := ledger.Budget{Name: "jobs", Total: 40_000, Burst: 9000, Rules: map[string]ledger.AllocationRule{"a": {Weight: 2, Floor: 1000}}}
	got, err := withChanges(b, map[string]float64{"whole": 12.5, "part.a.floor": 3, "part.b.c.weight": 4})
	require.NoError(t, err)
	require.Equal(t, ledger.Budget{Name: "jobs", Total: 12_500, Burst: 9000,
		Rules: map[string]ledger.AllocationRule{"a": {Weight: 2, Floor: 3000}, "b.c": {Weight: 4}}}, got)
	require.Len(t, b.Rules, 1, "the original budget is unchanged")
	for _, key := range []string{"hole", "part.weight", "part.a.colour", "part..weight"} {
		_, err := withChanges(b, map[string]float64{key: 1})
		require.ErrorContains(t, err, key)
	}
	for _, c := range []map[string]float64{{"whole": -1}, {"whole": 1e12}, {"part.a.weight": 0.5}, {"part.a.weight": 0}} {
		_, err := withChanges(b, c)
		require.Error(t, err)
	}
}
