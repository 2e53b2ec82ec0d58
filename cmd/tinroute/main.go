// Command tinroute is the dispatcher daemon. Its command line is implemented in package cli, its
// configuration in package config.
package main

import (
	"os"

	"tinroute.example/tinroute/internal/cli"
)

func main() {
	info, err := os.Stderr.Stat()
	isTerminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	os.Exit(cli.Main(cli.Env{Args: os.Args[1:], Getenv: os.Getenv, Out: os.Stdout, Err: os.Stderr, IsTerminal: isTerminal}))
}
