package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/link"
)

// Many clients that submit one unique id share one attempt at a worker, even if some of them never
// read. All that read get the answer, and the others do not block the core.
func TestManyClientsShareOneJob(t *testing.T) {
	clients := 10_000
	if testing.Short() {
		clients = 1000
	}
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(t, &pipeNetwork{}, &gearmanProtocol{}, true)
		s.maxClientConns = 2 * clients
		s.workers["a"] = newFakeWorker(s, "a", "0")
		s.start(nil)
		defer s.finish()
		var created, answered atomic.Int64
		var wg sync.WaitGroup
		var conns []net.Conn
		for i := range clients {
			c, err := s.net.Dial(context.Background(), "tcp", "gearman")
			require.NoError(t, err)
			conns = append(conns, c)
			go func() {
				_, _ = c.Write(gearman.Request(gearman.SubmitJob, "price-fix", "same", "same"))
				if i%100 == 99 { // never reads
					return
				}
				wg.Go(func() {
					_ = link.ReadMessages(c, gearman.NewResponseFramer(), func(p *gearman.Packet) bool {
						switch p.Type {
						case gearman.JobCreated:
							created.Add(1)
						case gearman.WorkComplete:
							answered.Add(1)
						}
						return p.Type != gearman.WorkComplete
					})
				})
			}()
		}
		s.runLine("expect a task same")
		synctest.Wait()
		require.EqualValues(t, clients-clients/100, created.Load())
		begin := time.Now()
		s.runLine("send a done same")
		synctest.Wait()
		require.EqualValues(t, clients-clients/100, answered.Load())
		require.Less(t, time.Since(begin), time.Second, "clients that do not read delay the others")
		s.runLine("expect none")
		for _, c := range conns {
			_ = c.Close()
		}
	})
}

// BenchmarkCoalescing measures a job with a number of waiting clients, from its submission to the
// last answer.
func BenchmarkCoalescing(b *testing.B) {
	for _, waiters := range []int{1, 1000} {
		b.Run(fmt.Sprint(waiters), func(b *testing.B) {
			t := &testing.T{}
			s := newScenario(t, &pipeNetwork{}, &gearmanProtocol{}, false)
			s.maxClientConns = 2 * waiters
			s.workers["a"] = newFakeWorker(s, "a", "0")
			s.start(nil)
			conns := make([]net.Conn, waiters)
			framers := make([]link.Framer[gearman.Packet], waiters)
			for i := range conns {
				conns[i], _ = s.net.Dial(context.Background(), "tcp", "gearman")
				framers[i] = gearman.NewResponseFramer()
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				id := fmt.Sprint("job", n)
				var joined, done sync.WaitGroup
				joined.Add(waiters)
				for i, c := range conns {
					done.Go(func() {
						_, _ = c.Write(gearman.Request(gearman.SubmitJob, "price-read", id, id))
						_ = link.ReadMessages(c, framers[i], func(p *gearman.Packet) bool {
							if p.Type == gearman.JobCreated {
								joined.Done()
							}
							return p.Type != gearman.WorkComplete
						})
					})
				}
				joined.Wait()
				s.runLine("expect a task " + id)
				s.runLine("send a done " + id)
				done.Wait()
			}
		})
	}
}
