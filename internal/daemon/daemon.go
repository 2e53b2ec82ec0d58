// Package daemon puts a dispatcher together from its configuration and runs it until it is
// told to end.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/platform"
)

// How the descriptors are shared: some are kept for discovery, the listener, standard
// streams and connections being closed.
const (
	reserve       = 48
	terminalShare = 0.6
)

// Run serves until the context ends, then drains.
func Run(ctx context.Context, c *config.Config, log *slog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 3 / 4)
	sockets := min(c.Limits.Sockets, 1024) - reserve
	terminals := int(float64(sockets) * terminalShare)

	core, err := dispatch.New(dispatch.Options{Settings: *c.Settings, Log: log})
	if err != nil {
		return err
	}
	dialer := &net.Dialer{KeepAlive: -1}
	regions := platform.NewRegions(core, log, dialer.DialContext, sockets-terminals)
	table := platform.NewTable(core, log, c.Names, dialer.DialContext, c.Discovery)
	core.Connect(regions, table)
	server := platform.NewServer(core, regions, log, c.Names, terminals)
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	go core.Run(inner)
	if err := table.Start(c.Known); err != nil {
		return err
	}
	go table.Run(inner)
	go regions.Run(inner)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	log.Info("serving", "name", c.Name, "listen", c.Listen, "discovery", c.Discovery, "terminals", terminals,
		"connections", sockets-terminals)

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	server.Drain(inner)
	_ = l.Close()
	time.Sleep(50 * time.Millisecond) // cancels of losers are on their way
	return nil
}
