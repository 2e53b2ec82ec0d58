// Command tinroute is the dispatcher daemon. What it is told at its start is described in
// package config.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/daemon"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := config.Load(os.Getenv)
	if err == nil {
		err = daemon.Run(ctx, c, log)
	}
	if err != nil {
		log.Error("cannot serve", "err", err)
		os.Exit(1)
	}
}
