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

// Many clients on one unique id, some of whom never read, are one task at a worker. All that
// read get the one answer, and the core is not held up by the others.
func TestManyClientsOnOneJob(t *testing.T) {
	clients := 10_000
	if testing.Short() {
		clients = 1000
	}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, &memory{}, &gearmanWire{}, true)
		w.most = 2 * clients
		w.workers["a"] = newWorker(w, "a", "0")
		w.launch(nil)
		defer w.finish()
		var created, answered atomic.Int64
		var wg sync.WaitGroup
		var conns []net.Conn
		for i := range clients {
			c, err := w.net.Dial(context.Background(), "tcp", "gearman")
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
		w.line("expect a task same")
		synctest.Wait()
		require.EqualValues(t, clients-clients/100, created.Load())
		begin := time.Now()
		w.line("send a done same")
		synctest.Wait()
		require.EqualValues(t, clients-clients/100, answered.Load())
		require.Less(t, time.Since(begin), time.Second, "slow readers hold no one up")
		w.line("expect none")
		for _, c := range conns {
			_ = c.Close()
		}
	})
}

// BenchmarkCoalescing is a job with so many waiters, from its submission to the last answer.
func BenchmarkCoalescing(b *testing.B) {
	for _, waiters := range []int{1, 1000} {
		b.Run(fmt.Sprint(waiters), func(b *testing.B) {
			t := &testing.T{}
			w := newWorld(t, &memory{}, &gearmanWire{}, false)
			w.most = 2 * waiters
			w.workers["a"] = newWorker(w, "a", "0")
			w.launch(nil)
			conns := make([]net.Conn, waiters)
			framers := make([]link.Framer[gearman.Packet], waiters)
			for i := range conns {
				conns[i], _ = w.net.Dial(context.Background(), "tcp", "gearman")
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
				w.line("expect a task " + id)
				w.line("send a done " + id)
				done.Wait()
			}
		})
	}
}
