// Command conform plays the client's side of the conformance suite against the job server at an
// address, and exits with 1 if it fails a case.
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
	function := flag.String("function", "price-read", "a `function` that the server knows")
	ours := flag.Bool("tinroute", false, "play the cases, too, whose answers are tinroute's own")
	store := flag.Bool("store", false, "background jobs are kept there")
	wait := flag.Duration("wait", 3*time.Second, "how long to wait for what is expected")
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
	p := conform.Player{Wait: *wait, Vars: conform.Vars{"$f": *function}, Dial: func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", flag.Arg(0))
	}}
	passed, failed, skipped := 0, 0, 0
	for _, c := range cases {
		if c.Needs("server") || c.Needs("worker") || c.Needs("ours") && !*ours || c.Needs("store") && !*store || c.Needs("nostore") && *store {
			skipped++
			continue
		}
		if err := p.Play(context.Background(), c); err != nil {
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
