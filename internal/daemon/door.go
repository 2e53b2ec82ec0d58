package daemon

import (
	"fmt"
	"math"
	"sync"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/ops"
)

// hostsWithin is how long the door waits for a core to count its hosts; a busier core's last
// count is told, and so is the last count to scrapes that come while one asks.
const hostsWithin = 200 * time.Millisecond

// door opens the operators' door at its address. It answers from the cores, the book of hand
// bans and ready, and never waits on a core for long.
func (d *Daemon) door(ready func() bool) (*ops.Server, error) {
	l, err := d.Listen("tcp", d.Config.AdminListen)
	if err != nil {
		return nil, fmt.Errorf("ops: listen: %w", err)
	}
	cores := d.cores
	var asking sync.Mutex // one scrape at a time asks the cores; the others take the last counts
	var mu sync.Mutex     // guards last
	last := make([]dispatch.WorkerCounts, len(cores))
	figures := func() ops.Stats {
		f := ops.Stats{}
		for _, c := range d.Config.Settings.Classes {
			f.Classes = append(f.Classes, ops.ClassStats{Name: c.Name})
		}
		for _, core := range cores {
			for i, k := range core.Counts() {
				f.Classes[i].Success += k.Served
				f.Classes[i].Busy += k.Refused
				f.Classes[i].Failure += k.Failed
				f.Classes[i].BackendCalls += k.AttemptsWritten
			}
			f.Inflight += core.OpenRequests()
		}
		if asking.TryLock() {
			for i, core := range cores {
				if h, ok := core.WorkerCounts(hostsWithin); ok {
					mu.Lock()
					last[i] = h
					mu.Unlock()
				}
			}
			asking.Unlock()
		}
		mu.Lock()
		defer mu.Unlock()
		for _, h := range last {
			f.HostsListed += h.Listed
			f.HostsDown += h.Unavailable
		}
		return f
	}
	heard := func() uint64 {
		least := uint64(math.MaxUint64)
		for _, c := range cores {
			least = min(least, c.OverrideGeneration())
		}
		return least
	}
	door := ops.New(ops.Options{Log: d.Log.With("part", "ops"), Ready: ready, Stats: figures, Overrides: d.hand, OverridesApplied: heard})
	go func() { _ = door.Serve(l) }()
	d.Log.Info("operators' door", "listen", d.Config.AdminListen)
	return door, nil
}
