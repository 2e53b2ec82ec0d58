package fleet

import (
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/member"
)

// countingListener counts the bytes that its connections carry.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMembers measures the cost of a fleet's budgets without failures: three voters and 5 to 200 members in
// one process for ten seconds, with a lease of 2 s and one budget. kB/s counts the bytes between members and
// voters. CPU time and memory are those of the whole process. leased is the fraction of checks that found a
// member's lease valid.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{5, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const duration = 10 * time.Second
			var bytes atomic.Int64
			listen := func(network, addr string) (net.Listener, error) {
				l, err := net.Listen(network, addr)
				return countingListener{l, &bytes}, err
			}
			cfg := config.Fleet{Ledger: ledger.Settings{Fleet: "f", Generation: 1, MaxMembers: 256}, Timing: ledger.Timing{Lease: 2 * time.Second, GracePeriod: 2 * time.Second, MaxDrift: 0.001},
				Voters: map[string]config.Voter{}, Bootstrap: true, HeartbeatInterval: time.Second, BudgetVersion: 1,
				Budgets: []ledger.Budget{{Name: "x", Kind: ledger.KindRate, Total: 1_000_000, Burst: 256_000}}}
			opts := member.Options{Fleet: "f", Timing: cfg.Timing, Voters: map[string]string{}, RateBudgets: []string{"x"}, Clock: Clock, Log: slog.New(slog.DiscardHandler)}
			for _, name := range []string{"v0", "v1", "v2"} {
				cfg.Voters[name] = config.Voter{RaftAddr: freeAddr(b), LedgerAddr: freeAddr(b)}
				opts.Voters[name] = cfg.Voters[name].LedgerAddr
			}
			for name := range cfg.Voters {
				nodeCfg := cfg
				nodeCfg.VoterDir = b.TempDir()
				node, err := Start(Options{Config: &nodeCfg, Name: name, Log: opts.Log, Listen: listen})
				require.NoError(b, err)
				defer func() { require.NoError(b, node.Close()) }()
			}
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var members []*member.Member
			for i := range n {
				opts.Name = fmt.Sprint("m", i)
				joined, err := member.Start(opts)
				require.NoError(b, err)
				defer func() { _ = joined.Close() }()
				members = append(members, joined)
			}
			allLeased := func() bool {
				for _, joined := range members {
					if ok, version := joined.LeaseStatus(); !ok || version == 0 {
						return false
					}
				}
				return true
			}
			began := time.Now()
			require.Eventually(b, allLeased, time.Minute, 10*time.Millisecond)
			b.ReportMetric(time.Since(began).Seconds(), "s-to-leased")
			runtime.GC()
			runtime.ReadMemStats(&after)
			checks, leased := 0, 0
			cpuBefore, bytesBefore := cpuTime(), bytes.Load()
			for b.Loop() {
				for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					for _, joined := range members {
						checks++
						if ok, _ := joined.LeaseStatus(); ok {
							leased++
						}
					}
				}
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric((cpuTime()-cpuBefore).Seconds()/seconds*1000, "cpu-ms/s")
			b.ReportMetric(float64(bytes.Load()-bytesBefore)/seconds/1000, "kB/s")
			b.ReportMetric(float64(leased)/float64(checks), "leased")
			b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/float64(n)/1000, "kB/member")
		})
	}
}
