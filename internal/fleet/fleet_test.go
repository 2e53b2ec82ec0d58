package fleet

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet/ledger"
)

func freeAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startSingleNode starts a fleet of one node, with a budget for tenant 0 of total thousandths a second
// (1,000,000 is 1,000 a second) and one of 50 repeats a second.
func startSingleNode(t testing.TB, total int64) *Node {
	cfg := &config.Fleet{Ledger: ledger.Settings{Fleet: "f", Generation: 1, MaxMembers: 4}, Timing: ledger.Timing{Lease: time.Second, GracePeriod: time.Second},
		Voters: map[string]config.Voter{"a": {RaftAddr: freeAddr(t), LedgerAddr: freeAddr(t)}}, VoterDir: t.TempDir(), Bootstrap: true, HeartbeatInterval: 200 * time.Millisecond, BudgetVersion: 1,
		Budgets: []ledger.Budget{{Name: "again", Kind: ledger.KindRate, Total: 50_000, Burst: 8000}, {Name: "x", Kind: ledger.KindRate, Total: total, Burst: total}},
		Tenants: map[int]config.TenantBudget{0: {Budget: "x"}}, Repeats: &config.RepeatBudget{Budget: "again", ShareMilli: 500, MaxSavedMilli: 1000}}
	node, err := Start(Options{Config: cfg, Name: "a", Log: slog.New(slog.DiscardHandler), Listen: net.Listen})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, node.Close()) })
	require.Eventually(t, func() bool { _, ok, _ := node.Admit(0, 1); return ok }, 20*time.Second, time.Millisecond)
	return node
}

// The measurements are consistent: the total, the share of the only holder, and what it has admitted.
func TestMeasurements(t *testing.T) {
	node := startSingleNode(t, 1_000_000)
	for range 10 {
		node.Admit(0, 1)
	}
	var seen map[string]float64
	require.Eventually(t, func() bool { // the grant is reported shortly after the lease starts
		seen = map[string]float64{}
		for _, m := range node.Measurements() {
			require.Contains(t, MetricDescriptions, m.Name)
			seen[m.Name+" "+m.Budget] += m.Value
		}
		return seen["tinroute.fleet.granted x"] == 1000
	}, 20*time.Second, 10*time.Millisecond)
	require.InDelta(t, 1, seen["tinroute.fleet.leased "], 0)
	require.InDelta(t, 1000, seen["tinroute.fleet.whole x"], 0)
	require.InDelta(t, 0, seen["tinroute.fleet.idle x"], 0)
	require.GreaterOrEqual(t, seen["tinroute.fleet.used x"], 1.0)
	require.Zero(t, seen["tinroute.fleet.used again"])
}

// A repeat that first sends have earned is not taken from the fleet's budget.
func TestEarnedRepeatsPrecedeFleetBudget(t *testing.T) {
	node := startSingleNode(t, 1_000_000)
	node.CountFirstSend()
	node.CountFirstSend()
	node.CountFirstSend() // two halves are saved, which is the limit
	require.True(t, node.AllowRepeat())
	used := func() float64 {
		for _, m := range node.Measurements() {
			if m.Name == "tinroute.fleet.used" && m.Budget == "again" {
				return m.Value
			}
		}
		return -1
	}
	require.Zero(t, used())
	require.Eventually(t, node.AllowRepeat, 20*time.Second, time.Millisecond)
	require.InDelta(t, 1, used(), 0)
}

// BenchmarkAdmit measures one admission as package balance requests it: the clock, the lock and the limiter.
func BenchmarkAdmit(b *testing.B) {
	node := startSingleNode(b, 1<<41)
	b.ReportAllocs()
	for b.Loop() {
		node.Admit(0, 1)
	}
}
