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

// BenchmarkJobCreated is a background job's submission until its JOB_CREATED is read, by 64 clients at
// once over TCP; the jobs are timed, so that none is run meanwhile.
func BenchmarkJobCreated(b *testing.B) {
	w := newWorld(&testing.T{}, &loopback{}, &gearmanWire{}, false)
	w.store = filepath.Join(b.TempDir(), "jobs")
	w.workers["a"] = newWorker(w, "a", "0")
	w.launch(nil)
	defer w.finish()
	due := fmt.Sprint(time.Now().Add(time.Hour).Unix())
	var mu sync.Mutex
	var took []time.Duration
	b.ResetTimer()
	defer b.StopTimer()  // before the daemon drains
	b.SetParallelism(64) // the daemon keeps to one processor
	b.RunParallel(func(p *testing.PB) {
		c, err := w.net.Dial(context.Background(), "tcp", "gearman")
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		f := gearman.NewResponseFramer()
		var mine []time.Duration
		for p.Next() {
			begin := time.Now()
			_, _ = c.Write(gearman.Request(gearman.SubmitJobEpoch, "price-read", "", due, "some data of a job"))
			_ = link.ReadMessages(c, f, func(x *gearman.Packet) bool {
				if x.Type != gearman.JobCreated {
					b.Errorf("packet %d %q", x.Type, x.Body)
				}
				return false
			})
			mine = append(mine, time.Since(begin))
		}
		mu.Lock()
		took = append(took, mine...)
		mu.Unlock()
	})
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}

// A job store that cannot be opened costs background jobs alone: they get ERROR at once, foreground
// jobs are served, and one log line says so.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &lines{}
		w := newWorld(t, &memory{}, &gearmanWire{}, true)
		w.log = slog.New(slog.NewTextHandler(log, nil))
		w.store = filepath.Join(t.TempDir(), "no", "such", "jobs")
		w.workers["a"] = newWorker(w, "a", "0")
		w.launch(nil)
		defer w.finish()
		for _, line := range []string{`send 1 SUBMIT_JOB_BG price-read u1 j1`, `expect 1 ERROR store_unavailable *`,
			`send 1 SUBMIT_JOB_EPOCH price-read u1 0 j1`, `expect 1 ERROR store_unavailable *`,
			`send 1 SUBMIT_JOB price-read u1 j1`, `expect 1 JOB_CREATED $h`, `expect a task j1`, `send a done j1`, `expect 1 WORK_COMPLETE $h rj1`,
			`send 2 text store`, `expect 2 text "ERR NO_STORE*"`, `expect none`} {
			w.line(line)
		}
		require.Equal(t, 1, log.count("job store not opened"))
	})
}
