package daemon

import (
	"fmt"
	"math"
	"sync"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/ops"
)

// workerCountTimeout is how long a scrape waits for a core to count its workers. If the core takes longer,
// or another scrape is waiting already, the last count is reported.
const workerCountTimeout = 200 * time.Millisecond

// startAdminServer starts the admin server. Its answers come from the cores, the set of detached workers and
// ready, and it never waits long for a core.
func (d *Daemon) startAdminServer(ready func() bool) (*ops.Server, error) {
	listener, err := d.Listen("tcp", d.Config.AdminListen)
	if err != nil {
		return nil, fmt.Errorf("admin server: listen: %w", err)
	}
	cores := d.cores
	var scrapeMu sync.Mutex // held by the one scrape that waits for the cores; others use the last counts
	var lastMu sync.Mutex   // guards last
	last := make([]dispatch.WorkerCounts, len(cores))
	stats := func() ops.Stats {
		result := ops.Stats{}
		for _, class := range d.Config.Settings.Classes {
			result.Classes = append(result.Classes, ops.ClassStats{Name: class.Name})
		}
		for _, core := range cores {
			for i, counts := range core.Counts() {
				result.Classes[i].Success += counts.Served
				result.Classes[i].Busy += counts.Refused
				result.Classes[i].Failure += counts.Failed
				result.Classes[i].BackendCalls += counts.AttemptsWritten
			}
			result.Inflight += core.OpenRequests()
		}
		if scrapeMu.TryLock() {
			for i, core := range cores {
				if counts, ok := core.WorkerCounts(workerCountTimeout); ok {
					lastMu.Lock()
					last[i] = counts
					lastMu.Unlock()
				}
			}
			scrapeMu.Unlock()
		}
		lastMu.Lock()
		defer lastMu.Unlock()
		for _, counts := range last {
			result.HostsListed += counts.Listed
			result.HostsDown += counts.Unavailable
		}
		return result
	}
	applied := func() uint64 {
		lowest := uint64(math.MaxUint64)
		for _, core := range cores {
			lowest = min(lowest, core.OverrideGeneration())
		}
		return lowest
	}
	server := ops.New(ops.Options{Log: d.Log.With("part", "ops"), Ready: ready, Stats: stats, Overrides: d.overrides, OverridesApplied: applied})
	go func() { _ = server.Serve(listener) }()
	d.Log.Info("admin server listening", "listen", d.Config.AdminListen)
	return server, nil
}
