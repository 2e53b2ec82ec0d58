package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, or standin worker|httpworker ...")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "worker":
		slots, _ := strconv.Atoi(os.Args[5])
		cannotRun(runGearmanWorker(os.Args[2], os.Args[3], os.Args[4], slots))
		return
	case "httpworker":
		slots, _ := strconv.Atoi(os.Args[6])
		cannotRun(runHTTPWorker(os.Args[2], os.Args[3], os.Args[4], os.Args[5], slots))
		return
	}
	cases := map[string]func(*bench){"zoneloss": zoneLoss, "resubmit": resubmit, "pusheddrain": pushedDrain}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	dir, err := filepath.Abs(os.Args[2])
	cannotRun(err)
	current = newBench(dir)
	run(current)
	exit(2)
}
