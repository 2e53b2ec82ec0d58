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

// alone starts a fleet of one, with a budget of 1,000 a second for tenant 0 and one of 50 repeats.
func alone(t testing.TB, whole int64) *Part {
	f := &config.Fleet{Ledger: ledger.Settings{Fleet: "f", Generation: 1, MostMembers: 4}, Terms: ledger.Terms{Lease: time.Second, Linger: time.Second},
		Voters: map[string]config.Voter{"a": {RaftAddr: freeAddr(t), LedgerAddr: freeAddr(t)}}, VoterDir: t.TempDir(), Bootstrap: true, HeartbeatInterval: 200 * time.Millisecond, BudgetVersion: 1,
		Budgets: []ledger.Budget{{Name: "again", Kind: ledger.Rate, Whole: 50_000, Burst: 8000}, {Name: "x", Kind: ledger.Rate, Whole: whole, Burst: whole}},
		Tenants: map[int]config.TenantBudget{0: {Budget: "x"}}, Repeats: &config.RepeatBudget{Budget: "again", ShareMilli: 500, MaxSavedMilli: 1000}}
	p, err := Start(Options{File: f, Name: "a", Log: slog.New(slog.DiscardHandler), Listen: net.Listen})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	require.Eventually(t, func() bool { _, ok, _ := p.Admit(0, 1); return ok }, 20*time.Second, time.Millisecond)
	return p
}

// What telemetry is told adds up: the whole, what the one holder has, and what it has admitted.
func TestFigures(t *testing.T) {
	p := alone(t, 1_000_000)
	for range 10 {
		p.Admit(0, 1)
	}
	var seen map[string]float64
	require.Eventually(t, func() bool { // the lease is told of a moment after it runs
		seen = map[string]float64{}
		for _, f := range p.Figures() {
			require.Contains(t, Figures, f.Name)
			seen[f.Name+" "+f.Budget] += f.Value
		}
		return seen["tinroute.fleet.granted x"] == 1000
	}, 20*time.Second, 10*time.Millisecond)
	require.InDelta(t, 1, seen["tinroute.fleet.leased "], 0)
	require.InDelta(t, 1000, seen["tinroute.fleet.whole x"], 0)
	require.InDelta(t, 0, seen["tinroute.fleet.idle x"], 0)
	require.GreaterOrEqual(t, seen["tinroute.fleet.used x"], 1.0)
	require.Zero(t, seen["tinroute.fleet.used again"])
}

// A repeat that first tries have earned leaves the fleet's budget alone.
func TestEarnedRepeatsGoFirst(t *testing.T) {
	p := alone(t, 1_000_000)
	p.CountFirstSend()
	p.CountFirstSend()
	p.CountFirstSend() // two halves are saved up, and no more
	require.True(t, p.AllowRepeat())
	used := func() float64 {
		for _, f := range p.Figures() {
			if f.Name == "tinroute.fleet.used" && f.Budget == "again" {
				return f.Value
			}
		}
		return -1
	}
	require.Zero(t, used())
	require.Eventually(t, p.AllowRepeat, 20*time.Second, time.Millisecond)
	require.InDelta(t, 1, used(), 0)
}

// BenchmarkFirst is one admission as balance asks for it: the clock, the lock and the share.
func BenchmarkFirst(b *testing.B) {
	p := alone(b, 1<<41)
	b.ReportAllocs()
	for b.Loop() {
		p.Admit(0, 1)
	}
}
