package daemon

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/fleet"
	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/handover"
	"tinroute.example/tinroute/internal/link"
	"tinroute.example/tinroute/internal/override"
	"tinroute.example/tinroute/internal/platform"
	"tinroute.example/tinroute/internal/telemetry"
)

// instance is the state of a running daemon: its components and how to close them.
type instance struct {
	*Daemon
	runCtx    context.Context // canceled only after draining, which needs the components
	cancelRun context.CancelFunc
	shutdown  context.CancelFunc // begins the shutdown
	serveErrs chan error         // receives the error of a client server that has failed
	closers   []func()

	sockets, clientSockets          int // descriptors of each client server, and how many of them are for clients
	inputLimit                      *link.InputLimit
	servers                         []clientServer
	exporter                        *telemetry.Telemetry
	httpServer                      *platform.Server
	httpDiscovery, gearmanDiscovery *platform.DiscoveryClient
}

// startComponents starts the components that the settings enable. Their order matters, as each may use those
// started before it. If one fails, closeComponents closes those before it.
func (inst *instance) startComponents() error {
	inst.sockets = min(inst.Config.Limits.Sockets, maxSockets) - reservedSockets
	if inst.Gearman != nil {
		inst.sockets /= 2
	}
	inst.clientSockets = int(clientSocketShare * float64(inst.sockets))
	inst.inputLimit = link.NewInputLimit(int64(inputMemoryShare * float64(inst.Config.Limits.MemoryMB<<20)))
	for _, startComponent := range []func() error{inst.startTelemetry, inst.startOverrides, inst.joinFleet, inst.startHTTP, inst.startGearman, inst.startAdmin} {
		if err := startComponent(); err != nil {
			return err
		}
	}
	return nil
}

// closeComponents closes the started components in reverse order.
func (inst *instance) closeComponents() {
	for _, f := range slices.Backward(inst.closers) {
		f()
	}
}

func (inst *instance) onClose(f func()) { inst.closers = append(inst.closers, f) }

// serve listens at an address and serves clients there until runCtx is canceled.
func (inst *instance) serve(addr string, server clientServer) error {
	listener, err := inst.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	context.AfterFunc(inst.runCtx, func() { _ = listener.Close() })
	inst.servers = append(inst.servers, server)
	go func() {
		if err := server.Serve(listener); err != nil {
			inst.serveErrs <- err
		}
	}()
	return nil
}

// startTelemetry starts the export of telemetry. It is started first and closed last, as every other
// component reports to it.
func (inst *instance) startTelemetry() (err error) {
	localLog := inst.Log
	if inst.exporter, err = telemetry.New(inst.runCtx, inst.Telemetry, inst.Config.Name, localLog); err != nil || inst.exporter == nil {
		return err
	}
	inst.Log = slog.New(inst.exporter.LogHandler(localLog.Handler()))
	inst.onClose(func() {
		inst.cancelRun() // the cores stop reporting
		if err := inst.exporter.Close(); err != nil {
			localLog.Warn("telemetry was not closed cleanly", "err", err)
		}
		inst.Log = localLog
	})
	return nil
}

// startOverrides creates the set of detached workers, if there is an admin server, and syncs it with other processes.
// The state that a predecessor left applies before anything is sent.
func (inst *instance) startOverrides() error {
	if inst.Config.AdminListen == "" {
		return nil
	}
	inst.overrides = override.New()
	syncer := handover.NewSyncer(handover.SyncerOptions{Dir: inst.HandoverDir, Overrides: inst.overrides, Log: inst.Log})
	syncer.Start()
	inst.onClose(syncer.Close)
	return nil
}

// joinFleet joins the fleet, if one is configured. It is left after the last answer and before telemetry is closed.
func (inst *instance) joinFleet() (err error) {
	if inst.Fleet == nil {
		return nil
	}
	if inst.fleet, err = fleet.Start(fleet.Options{Config: inst.Fleet, Name: inst.Config.Name, Log: inst.Log.With("part", "fleet"), Listen: inst.Listen}); err != nil {
		return err
	}
	inst.onClose(func() {
		inst.cancelRun() // the cores stop admitting jobs
		if err := inst.fleet.Close(); err != nil {
			inst.Log.Warn("fleet membership was not closed cleanly", "err", err)
		}
	})
	if inst.exporter != nil {
		return inst.exporter.RegisterFleetGauges(inst.fleet.Measurements)
	}
	return nil
}

// startHTTP starts the HTTP server and its core.
func (inst *instance) startHTTP() error {
	core, err := inst.newCore(inst.runCtx, "http", inst.Config.Hooks, inst.exporter, inst.Log)
	if err != nil {
		return err
	}
	workers := platform.NewWorkers(core, inst.Log, inst.Dial, inst.sockets-inst.clientSockets)
	if inst.fleet != nil {
		if connections := inst.fleet.ConnLimit(); connections != nil {
			workers.SetConnLimit(connections)
		}
	}
	if inst.httpDiscovery, err = inst.startCore(inst.runCtx, core, workers, inst.Config.Discovery, inst.Config.KnownWorkers); err != nil {
		return err
	}
	inst.httpServer = platform.NewServer(core, workers, inst.Log, inst.Config.Names, inst.clientSockets)
	inst.httpServer.SetInputLimit(inst.inputLimit)
	if inst.Config.AdminListen != "" { // during an upgrade a worker's callback may reach the other process
		relay := handover.NewRelay(inst.HandoverDir, inst.Log, inst.httpServer.HandleRelayed)
		if err := relay.Start(); err != nil {
			return err
		}
		inst.onClose(relay.Close)
		inst.httpServer.SetRelay(relay.Send)
	}
	if err := inst.serve(inst.Config.Listen, inst.httpServer); err != nil {
		return err
	}
	inst.Log.Info("serving", "name", inst.Config.Name, "listen", inst.Config.Listen, "discovery", inst.Config.Discovery,
		"terminals", inst.clientSockets, "connections", inst.sockets-inst.clientSockets)
	return nil
}

// startGearman starts the Gearman server, if one is configured, and its core.
func (inst *instance) startGearman() error {
	if inst.Gearman == nil {
		return nil
	}
	log := inst.Log.With("front", "gearman")
	core, err := inst.newCore(inst.runCtx, "gearman", inst.Gearman.Hooks, inst.exporter, log, gearman.NewSendObserver())
	if err != nil {
		return err
	}
	workerSockets := inst.sockets - inst.clientSockets
	workers := gearman.NewWorkers(core, log, inst.Dial, workerSockets)
	maxClients := cmp.Or(inst.Gearman.MaxConnections, inst.clientSockets)
	clock := dispatch.NewClock()
	server := gearman.NewServer(core, gearman.Options{Log: log, Config: inst.Gearman, DispatcherName: inst.Config.Name, MaxConnections: maxClients,
		InputLimit: inst.inputLimit, Workers: workers.Serving, Now: clock.Now, Shutdown: inst.shutdown})
	closeStore := inst.startJobStore(inst.runCtx, server, clock, log)
	inst.onClose(func() { // after the last answer, when no more stored jobs are offered
		inst.cancelRun()
		closeStore()
	})
	if inst.gearmanDiscovery, err = inst.startCore(inst.runCtx, core, workers, inst.Gearman.Discovery, nil); err != nil {
		return err
	}
	if err := inst.serve(inst.Gearman.Listen, server); err != nil {
		return err
	}
	log.Info("serving", "name", inst.Config.Name, "listen", inst.Gearman.Listen, "discovery", inst.Gearman.Discovery,
		"terminals", maxClients, "connections", workerSockets)
	return nil
}

// startAdmin starts the admin server, if one is configured. It is started last, as it reads all cores.
func (inst *instance) startAdmin() error {
	if inst.Config.AdminListen == "" {
		return nil
	}
	server, err := inst.startAdminServer(inst.httpServer.Ready)
	if err != nil {
		return err
	}
	inst.onClose(func() { _ = server.Close() })
	return nil
}
