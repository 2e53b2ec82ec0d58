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

// BenchmarkFirst is one admission as balance asks for it: the clock, the lock and the share.
func BenchmarkFirst(b *testing.B) {
	addr := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	f := &config.Fleet{Ledger: ledger.Settings{Fleet: "f", Generation: 1, MostMembers: 4}, Terms: ledger.Terms{Lease: time.Second, Linger: time.Second},
		Voters: map[string]config.Voter{"a": {Raft: addr(), Ledger: addr()}}, Dir: b.TempDir(), Begin: true, Pace: 200 * time.Millisecond, Version: 1,
		Budgets: []ledger.Budget{{Name: "x", Kind: ledger.Rate, Whole: 1 << 41, Burst: 1 << 41}}, Tenants: map[int]config.TenantBudget{0: {Budget: "x"}}}
	p, err := Start(Options{File: f, Name: "a", Log: discard, Listen: net.Listen})
	require.NoError(b, err)
	defer func() { require.NoError(b, p.Close()) }()
	require.Eventually(b, func() bool { _, ok, _ := p.First(0, 1); return ok }, 20*time.Second, time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		p.First(0, 1)
	}
}

var discard = slog.New(slog.DiscardHandler)
