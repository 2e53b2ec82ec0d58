package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/link"
)

// BenchmarkJobCreated measures the time from submitting a background job until JOB_CREATED is read,
// with 64 concurrent clients over TCP. The jobs are scheduled for later, so that none runs meanwhile.
func BenchmarkJobCreated(b *testing.B) {
	s := newScenario(&testing.T{}, &loopbackNetwork{}, &gearmanProtocol{}, false)
	s.storeFile = filepath.Join(b.TempDir(), "jobs")
	s.workers["a"] = newFakeWorker(s, "a", "0")
	s.start(nil)
	defer s.finish()
	due := fmt.Sprint(time.Now().Add(time.Hour).Unix())
	var mu sync.Mutex
	var allLatencies []time.Duration
	b.ResetTimer()
	defer b.StopTimer()  // before the daemon drains
	b.SetParallelism(64) // per processor, and the daemon sets GOMAXPROCS to 1
	b.RunParallel(func(p *testing.PB) {
		c, err := s.net.Dial(context.Background(), "tcp", "gearman")
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		framer := gearman.NewResponseFramer()
		var latencies []time.Duration
		for p.Next() {
			begin := time.Now()
			_, _ = c.Write(gearman.Request(gearman.SubmitJobEpoch, "price-read", "", due, "some data of a job"))
			_ = link.ReadMessages(c, framer, func(packet *gearman.Packet) bool {
				if packet.Type != gearman.JobCreated {
					b.Errorf("packet %d %q", packet.Type, packet.Body)
				}
				return false
			})
			latencies = append(latencies, time.Since(begin))
		}
		mu.Lock()
		allLatencies = append(allLatencies, latencies...)
		mu.Unlock()
	})
	slices.Sort(allLatencies)
	b.ReportMetric(float64(allLatencies[len(allLatencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(allLatencies[len(allLatencies)*99/100].Microseconds()), "p99-µs")
}

// If the job store cannot be opened, only background jobs fail: they get ERROR at once, foreground
// jobs are served, and the failure is logged once.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logBuffer{}
		s := newScenario(t, &pipeNetwork{}, &gearmanProtocol{}, true)
		s.log = slog.New(slog.NewTextHandler(log, nil))
		s.storeFile = filepath.Join(t.TempDir(), "no", "such", "jobs")
		s.workers["a"] = newFakeWorker(s, "a", "0")
		s.start(nil)
		defer s.finish()
		for _, line := range []string{`send 1 SUBMIT_JOB_BG price-read u1 j1`, `expect 1 ERROR store_unavailable *`,
			`send 1 SUBMIT_JOB_EPOCH price-read u1 0 j1`, `expect 1 ERROR store_unavailable *`,
			`send 1 SUBMIT_JOB price-read u1 j1`, `expect 1 JOB_CREATED $h`, `expect a task j1`, `send a done j1`, `expect 1 WORK_COMPLETE $h rj1`,
			`send 2 text store`, `expect 2 text "ERR NO_STORE*"`, `expect none`} {
			s.runLine(line)
		}
		require.Equal(t, 1, log.count("cannot open the job store; background jobs are unavailable"))
	})
}
