// Command conform runs the client cases of the conformance suite against the job server at an
// address, and exits with 1 if a case fails.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"time"

	"tinroute.example/tinroute/internal/lab/conform"
)

func main() {
	function := flag.String("function", "price-read", "a `function` that the server can run")
	tinrouteCases := flag.Bool("tinroute", false, "also run the cases that expect responses specific to tinroute")
	store := flag.Bool("store", false, "the server stores background jobs")
	wait := flag.Duration("wait", 3*time.Second, "how long to wait for an expected response")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: conform [flags] ADDRESS")
		flag.PrintDefaults()
		os.Exit(2)
	}
	cases, err := conform.Cases()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	runner := conform.Runner{Timeout: *wait, Vars: conform.Vars{"$f": *function}, Dial: func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", flag.Arg(0))
	}}
	passed, failed, skipped := 0, 0, 0
	for _, c := range cases {
		if c.HasTag("server") || c.HasTag("worker") || c.HasTag("ours") && !*tinrouteCases || c.HasTag("store") && !*store || c.HasTag("nostore") && *store {
			skipped++
			continue
		}
		if err := runner.Run(context.Background(), c); err != nil {
			failed++
			fmt.Printf("FAIL %s\n     %v\n", c.Name, err)
			continue
		}
		passed++
		fmt.Printf("ok   %s\n", c.Name)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	if failed > 0 {
		os.Exit(1)
	}
}
