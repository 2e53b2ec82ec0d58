// Command otlpview receives OTLP into a file, and reports from one where requests' time went.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"tinroute.example/tinroute/internal/lab/collector"
)

type receive struct {
	HTTP string `default:"127.0.0.1:4318" help:"Where to take OTLP over HTTP."`
	GRPC string `default:"127.0.0.1:4317" help:"Where to take OTLP over gRPC."`
	File string `arg:"" help:"The file that batches are added to, a line each."`
}

// Run takes batches until it is told to end.
func (r *receive) Run() error {
	f, err := os.OpenFile(r.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	failed := make(chan error, 3)
	c := collector.New(func(b collector.Batch) {
		if err := collector.Write(f, b); err != nil {
			failed <- err
		}
	})
	web, err := net.Listen("tcp", r.HTTP)
	if err != nil {
		return err
	}
	rpc, err := net.Listen("tcp", r.GRPC)
	if err != nil {
		return err
	}
	go func() { failed <- (&http.Server{Handler: c, ReadHeaderTimeout: 10 * time.Second}).Serve(web) }()
	server := c.GRPC()
	go func() { failed <- server.Serve(rpc) }()
	fmt.Fprintf(os.Stderr, "taking OTLP over HTTP at %s and over gRPC at %s\n", web.Addr(), rpc.Addr())
	end := make(chan os.Signal, 1)
	signal.Notify(end, os.Interrupt, syscall.SIGTERM)
	select {
	case err := <-failed:
		return err
	case <-end:
		server.GracefulStop()
		return f.Close()
	}
}

type report struct {
	Class   string    `help:"Only requests of this class."`
	From    time.Time `help:"Only requests from this time on (RFC 3339)."`
	To      time.Time `help:"Only requests before this time (RFC 3339)."`
	Slowest int       `default:"3" help:"How many of the slowest to show as timelines."`
	Check   bool      `help:"Tell what is wrong with the spans too, and exit with 1 if anything is."`
	File    string    `arg:"" type:"existingfile" help:"What receive has written."`
}

// Run writes the report.
func (r *report) Run() error {
	f, err := os.Open(r.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return r.write(f, os.Stdout)
}

func (r *report) write(in io.Reader, out io.Writer) error {
	var all []*collector.Span
	if err := collector.Read(in, func(b collector.Batch) { all = append(all, collector.Spans(b)...) }); err != nil {
		return err
	}
	if err := collector.Report(out, all, collector.Question{Class: r.Class, From: r.From, To: r.To, Slowest: r.Slowest}); err != nil {
		return err
	}
	if r.Check {
		if faults := collector.Check(all); len(faults) > 0 {
			for _, f := range faults {
				fmt.Fprintln(out, f)
			}
			return fmt.Errorf("%d faults", len(faults))
		}
	}
	return nil
}

func main() {
	var cli struct {
		Receive receive `cmd:"" help:"Receive OTLP into a file."`
		Report  report  `cmd:"" help:"Report where requests' time went."`
	}
	k := kong.Parse(&cli, kong.Description("Receives OTLP into a file, and reports where requests' time went."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
