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

// counted counts the bytes that its connections carry.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func cpu() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMembers is what a fleet's budgets cost while nothing fails: three voters and so many members in one
// process for ten seconds, a lease of 2 s, one budget. Bytes are those between members and voters; processor
// time and memory are of all together. Leased is the share of looks at members that found their lease running.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{5, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const long = 10 * time.Second
			var bytes atomic.Int64
			listen := func(network, addr string) (net.Listener, error) {
				l, err := net.Listen(network, addr)
				return counted{l, &bytes}, err
			}
			f := config.Fleet{Ledger: ledger.Settings{Fleet: "f", Generation: 1, MostMembers: 256}, Terms: ledger.Terms{Lease: 2 * time.Second, Linger: 2 * time.Second, Drift: 0.001},
				Voters: map[string]config.Voter{}, Bootstrap: true, HeartbeatInterval: time.Second, BudgetVersion: 1,
				Budgets: []ledger.Budget{{Name: "x", Kind: ledger.Rate, Whole: 1_000_000, Burst: 256_000}}}
			m := member.Options{Fleet: "f", Terms: f.Terms, Voters: map[string]string{}, Rates: []string{"x"}, Clock: Clock, Log: slog.New(slog.DiscardHandler)}
			for _, name := range []string{"v0", "v1", "v2"} {
				f.Voters[name] = config.Voter{RaftAddr: freeAddr(b), LedgerAddr: freeAddr(b)}
				m.Voters[name] = f.Voters[name].LedgerAddr
			}
			for name := range f.Voters {
				own := f
				own.VoterDir = b.TempDir()
				p, err := Start(Options{File: &own, Name: name, Log: m.Log, Listen: listen})
				require.NoError(b, err)
				defer func() { require.NoError(b, p.Close()) }()
			}
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var members []*member.Member
			for i := range n {
				m.Name = fmt.Sprint("m", i)
				x, err := member.Start(m)
				require.NoError(b, err)
				defer func() { _ = x.Close() }()
				members = append(members, x)
			}
			all := func() bool {
				for _, x := range members {
					if ok, version := x.Leased(); !ok || version == 0 {
						return false
					}
				}
				return true
			}
			began := time.Now()
			require.Eventually(b, all, time.Minute, 10*time.Millisecond)
			b.ReportMetric(time.Since(began).Seconds(), "s-to-leased")
			runtime.GC()
			runtime.ReadMemStats(&after)
			looks, leased := 0, 0
			used, had := cpu(), bytes.Load()
			for b.Loop() {
				for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					for _, x := range members {
						looks++
						if ok, _ := x.Leased(); ok {
							leased++
						}
					}
				}
			}
			s := b.Elapsed().Seconds()
			b.ReportMetric((cpu()-used).Seconds()/s*1000, "cpu-ms/s")
			b.ReportMetric(float64(bytes.Load()-had)/s/1000, "kB/s")
			b.ReportMetric(float64(leased)/float64(looks), "leased")
			b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/float64(n)/1000, "kB/member")
		})
	}
}
