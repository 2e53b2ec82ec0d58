package daemon

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"

	"tinroute.example/tinroute/internal/fleet"
	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/handover"
	"tinroute.example/tinroute/internal/override"
	"tinroute.example/tinroute/internal/platform"
	"tinroute.example/tinroute/internal/telemetry"
)

// running is a daemon that runs: what its parts share, and how they are closed.
type running struct {
	*Daemon
	inner  context.Context // outlives the word to end: the parts are needed until the last answer
	stop   context.CancelFunc
	end    context.CancelFunc // is the word to end
	failed chan error         // a front can serve no more
	closes []func()

	sockets, terminals int // of one front; terminals are those of the sockets that are its clients'
	fronts             []front
	spans              *telemetry.Telemetry
	clients            *platform.Server
	table, second      *platform.DiscoveryClient
}

// begin starts the parts in their order: each may use what those before it have left. A part that the
// settings do not ask for starts nothing. Where one fails, those before it are closed by close.
func (r *running) begin() error {
	r.sockets = min(r.Config.Limits.Sockets, mostSockets) - reserve
	if r.Gearman != nil {
		r.sockets /= 2
	}
	r.terminals = int(terminalShare * float64(r.sockets))
	for _, part := range []func() error{r.telemetry, r.bans, r.member, r.http, r.gearman, r.operators} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

// close closes the parts that were started, the last one first.
func (r *running) close() {
	for _, f := range slices.Backward(r.closes) {
		f()
	}
}

func (r *running) onClose(f func()) { r.closes = append(r.closes, f) }

// open serves a front at an address.
func (r *running) open(addr string, f front) error {
	l, err := r.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	context.AfterFunc(r.inner, func() { _ = l.Close() })
	r.fronts = append(r.fronts, f)
	go func() {
		if err := f.Serve(l); err != nil {
			r.failed <- err
		}
	}()
	return nil
}

// telemetry is first to start and last to be closed: it hears of all others.
func (r *running) telemetry() (err error) {
	plain := r.Log
	if r.spans, err = telemetry.New(r.inner, r.Telemetry, r.Config.Name, plain); err != nil || r.spans == nil {
		return err
	}
	r.Log = slog.New(r.spans.Handler(plain.Handler()))
	r.onClose(func() {
		r.stop() // the cores tell nothing more
		if err := r.spans.Close(); err != nil {
			plain.Warn("telemetry", "err", err)
		}
		r.Log = plain
	})
	return nil
}

// bans are the workers out by hand, where there is an operators' door: what a predecessor left binds before
// anything is sent.
func (r *running) bans() error {
	if r.Config.AdminListen == "" {
		return nil
	}
	r.hand = override.New()
	keeper := handover.NewSyncer(handover.SyncerOptions{Dir: r.HandoverDir, Overrides: r.hand, Log: r.Log})
	keeper.Start()
	r.onClose(keeper.Close)
	return nil
}

// member is this dispatcher's part in its fleet. It is left after the last answer, and before telemetry ends.
func (r *running) member() (err error) {
	if r.Fleet == nil {
		return nil
	}
	if r.fleet, err = fleet.Start(fleet.Options{File: r.Fleet, Name: r.Config.Name, Log: r.Log.With("part", "fleet"), Listen: r.Listen}); err != nil {
		return err
	}
	r.onClose(func() {
		r.stop() // the cores admit nothing more
		if err := r.fleet.Close(); err != nil {
			r.Log.Warn("fleet", "err", err)
		}
	})
	if r.spans != nil {
		return r.spans.WatchFleet(r.fleet.Figures)
	}
	return nil
}

// http is the platform's front.
func (r *running) http() error {
	core, err := r.core(r.inner, "http", r.Config.Hooks, r.spans, r.Log)
	if err != nil {
		return err
	}
	workers := platform.NewWorkers(core, r.Log, r.Dial, r.sockets-r.terminals)
	if r.fleet != nil {
		if l := r.fleet.Connections(); l != nil {
			workers.SetConnLimit(l)
		}
	}
	if r.table, err = r.start(r.inner, core, workers, r.Config.Discovery, r.Config.KnownWorkers); err != nil {
		return err
	}
	r.clients = platform.NewServer(core, workers, r.Log, r.Config.Names, r.terminals)
	if r.Config.AdminListen != "" { // upgrades: a worker's call-back may reach the other process
		relay := handover.NewRelay(r.HandoverDir, r.Log, r.clients.HandleRelayed)
		if err := relay.Start(); err != nil {
			return err
		}
		r.onClose(relay.Close)
		r.clients.SetRelay(relay.Send)
	}
	if err := r.open(r.Config.Listen, r.clients); err != nil {
		return err
	}
	r.Log.Info("serving", "name", r.Config.Name, "listen", r.Config.Listen, "discovery", r.Config.Discovery,
		"terminals", r.terminals, "connections", r.sockets-r.terminals)
	return nil
}

// gearman is the second front, with a core of its own.
func (r *running) gearman() error {
	if r.Gearman == nil {
		return nil
	}
	log := r.Log.With("front", "gearman")
	core, err := r.core(r.inner, "gearman", r.Gearman.Hooks, r.spans, log, gearman.NewSendObserver())
	if err != nil {
		return err
	}
	connections := r.sockets - r.terminals
	workers := gearman.NewWorkers(core, log, r.Dial, connections)
	terminals := cmp.Or(r.Gearman.MaxConnections, r.terminals)
	o := gearman.Options{Log: log, Config: r.Gearman, DispatcherName: r.Config.Name, MaxConnections: terminals, Workers: workers.Serving, Shutdown: r.end}
	run, shut := r.background(r.inner, &o, log)
	server := gearman.NewServer(core, o)
	run()
	r.onClose(func() { // after the last answer, and with nothing more to be offered
		r.stop()
		shut()
	})
	if r.second, err = r.start(r.inner, core, workers, r.Gearman.Discovery, nil); err != nil {
		return err
	}
	if err := r.open(r.Gearman.Listen, server); err != nil {
		return err
	}
	log.Info("serving", "name", r.Config.Name, "listen", r.Gearman.Listen, "discovery", r.Gearman.Discovery,
		"terminals", terminals, "connections", connections)
	return nil
}

// operators is their door: with every core made, since it counts them all.
func (r *running) operators() error {
	if r.Config.AdminListen == "" {
		return nil
	}
	door, err := r.door(r.clients.Ready)
	if err != nil {
		return err
	}
	r.onClose(func() { _ = door.Close() })
	return nil
}
