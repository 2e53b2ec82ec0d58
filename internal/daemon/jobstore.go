package daemon

import (
	"context"
	"log/slog"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/background"
	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/jobstore"
)

// storeRetryInterval is how often the daemon tries again to open the job store. During an upgrade the old process has
// the file until it ends.
const storeRetryInterval = time.Second

// jobStoreOpener opens the job store of a Gearman server, and runs its stored jobs from then on.
type jobStoreOpener struct {
	*Daemon
	server    *gearman.Server
	clock     dispatch.Clock
	log       *slog.Logger
	lastError string // of the latest attempt to open the store
	store     *jobstore.Store
	scheduler *background.Scheduler
	ended     chan struct{} // closed when no further attempt is made
}

// startJobStore opens the job store, if one is configured, and runs its jobs until ctx is canceled. While the store
// cannot be opened the server rejects background jobs, and opening it is tried again. close blocks until the store is
// closed, and must be called after ctx has been canceled.
func (d *Daemon) startJobStore(ctx context.Context, server *gearman.Server, clock dispatch.Clock, log *slog.Logger) (closeStore func()) {
	if d.Gearman.Store == nil {
		return func() {}
	}
	o := &jobStoreOpener{Daemon: d, server: server, clock: clock, log: log, ended: make(chan struct{})}
	if o.open(ctx) {
		close(o.ended)
	} else {
		go o.retry(ctx)
	}
	return o.close
}

// retry tries to open the store until it succeeds, the server drains or ctx is canceled.
func (o *jobStoreOpener) retry(ctx context.Context) {
	defer close(o.ended)
	ticker := time.NewTicker(storeRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if o.server.Draining() || o.open(ctx) {
			return
		}
	}
}

// open opens the store and starts its jobs. It reports whether it succeeded. An error is logged unless it is the same
// as that of the attempt before.
func (o *jobStoreOpener) open(ctx context.Context) bool {
	settings := o.Gearman.Store
	store, err := jobstore.Open(jobstore.Options{Path: settings.Path, MaxJobs: settings.MaxJobs, MaxDataBytes: settings.MaxBytes,
		MaxFileBytes: settings.MaxFileBytes, Now: o.clock.Now, Log: o.log})
	if err != nil {
		if err.Error() != o.lastError {
			o.lastError = err.Error()
			o.log.Error("cannot open the job store; background jobs are unavailable", "file", settings.Path, "err", err, "retry_every", storeRetryInterval)
		}
		return false
	}
	counts := store.Counts()
	o.log.Info("job store opened", "file", settings.Path, "jobs", counts.Jobs-counts.Dead, "dead", counts.Dead, "damaged", counts.Damaged, "bytes", counts.FileBytes)
	if store.ClockSetBack() {
		o.log.Warn("system clock was set back", "file", settings.Path)
	}
	o.store = store
	scheduler := background.New(background.Options{Store: store, RetryLimits: o.Gearman.Retry, PacerLimits: o.Gearman.Pace,
		Seed: o.Config.Settings.Seed, Clock: o.clock, WallClock: o.Now, Log: o.log}, o.server)
	if o.server.SetScheduler(scheduler) {
		o.scheduler = scheduler
		go scheduler.Run(ctx)
	}
	return true
}

// close waits until the scheduler has recorded all ended offers, and closes the store.
func (o *jobStoreOpener) close() {
	<-o.ended
	if o.scheduler != nil {
		o.scheduler.Wait()
	}
	if o.store == nil {
		return
	}
	if err := o.store.Close(); err != nil {
		o.log.Error("cannot close the job store", "err", err)
	}
}
