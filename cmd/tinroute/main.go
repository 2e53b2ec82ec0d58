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
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := &daemon.Daemon{Log: slog.New(slog.NewTextHandler(os.Stderr, nil)), Getenv: os.Getenv}
	var err error
	if d.Config, err = config.Load(os.Getenv); err == nil && *file != "" {
		d.Gearman, err = config.LoadGearman(*file, d.Config.Settings, d.Config.Names)
	}
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		d.Log.Error("cannot serve", "err", err)
		os.Exit(1)
	}
}
