// Command tinroute is the dispatcher daemon. What it is told at its start is described in
// package config.
package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/daemon"
)

func main() {
	file := flag.String("gearman", "", "serve Gearman clients too, as this `file` says")
	spans := flag.String("telemetry", "", "export telemetry as this `file` says, beside the OTEL_ variables")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1) // one that waits stands for any that follow
	signal.Notify(hangup, syscall.SIGHUP)
	read := func(load func(func(string) string) (*config.Config, error)) (c *config.Config, g *config.Gearman, err error) {
		if c, err = load(os.Getenv); err == nil && *file != "" {
			g, err = config.LoadGearman(*file, c.Settings, c.Names)
		}
		return c, g, err
	}
	d := &daemon.Daemon{Log: slog.New(slog.NewTextHandler(os.Stderr, nil)), Hangup: hangup,
		Reread: func() (*config.Config, *config.Gearman, error) { return read(config.Reload) }}
	var err error
	if d.Config, d.Gearman, err = read(config.Load); err == nil {
		d.Telemetry, err = config.LoadTelemetry(*spans, os.Getenv)
	}
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		d.Log.Error("cannot serve", "err", err)
		os.Exit(1)
	}
}
