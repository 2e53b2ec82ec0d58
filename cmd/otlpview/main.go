// Command otlpview writes received OTLP batches to a file, and reports from such a file how requests
// spent their time.
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

type receiveCommand struct {
	HTTP string `default:"127.0.0.1:4318" help:"Address to receive OTLP over HTTP on."`
	GRPC string `default:"127.0.0.1:4317" help:"Address to receive OTLP over gRPC on."`
	File string `arg:"" help:"File to append the batches to, one per line."`
}

// Run receives batches until a signal ends the process or a server or the file fails.
func (r *receiveCommand) Run() error {
	f, err := os.OpenFile(r.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	failures := make(chan error, 3)
	sink := collector.New(func(batch collector.Batch) {
		if err := collector.WriteBatch(f, batch); err != nil {
			failures <- err
		}
	})
	httpListener, err := net.Listen("tcp", r.HTTP)
	if err != nil {
		return err
	}
	grpcListener, err := net.Listen("tcp", r.GRPC)
	if err != nil {
		return err
	}
	go func() {
		failures <- (&http.Server{Handler: sink, ReadHeaderTimeout: 10 * time.Second}).Serve(httpListener)
	}()
	grpcServer := sink.NewGRPCServer()
	go func() { failures <- grpcServer.Serve(grpcListener) }()
	fmt.Fprintf(os.Stderr, "receiving OTLP over HTTP on %s and over gRPC on %s\n", httpListener.Addr(), grpcListener.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case err := <-failures:
		return err
	case <-signals:
		grpcServer.GracefulStop()
		return f.Close()
	}
}

type reportCommand struct {
	Class   string    `help:"Include only requests of this class."`
	From    time.Time `help:"Include only requests from this time on (RFC 3339)."`
	To      time.Time `help:"Include only requests before this time (RFC 3339)."`
	Slowest int       `default:"3" help:"Number of slowest requests to show as timelines."`
	Check   bool      `help:"Also check the spans, list their faults, and exit with 1 if there are any."`
	File    string    `arg:"" type:"existingfile" help:"File written by the receive command."`
}

// Run writes the report to standard output.
func (r *reportCommand) Run() error {
	f, err := os.Open(r.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return r.write(f, os.Stdout)
}

func (r *reportCommand) write(in io.Reader, out io.Writer) error {
	var spans []*collector.Span
	if err := collector.ReadBatches(in, func(batch collector.Batch) { spans = append(spans, collector.BatchSpans(batch)...) }); err != nil {
		return err
	}
	if err := collector.WriteReport(out, spans, collector.ReportOptions{Class: r.Class, From: r.From, To: r.To, Slowest: r.Slowest}); err != nil {
		return err
	}
	if r.Check {
		if faults := collector.Check(spans); len(faults) > 0 {
			for _, f := range faults {
				fmt.Fprintln(out, f)
			}
			return fmt.Errorf("%d faults in the spans", len(faults))
		}
	}
	return nil
}

func main() {
	var cli struct {
		Receive receiveCommand `cmd:"" help:"Write received OTLP batches to a file."`
		Report  reportCommand  `cmd:"" help:"Report how requests spent their time."`
	}
	parsed := kong.Parse(&cli, kong.Description("Receives OTLP into a file, and reports how requests spent their time."), kong.UsageOnError())
	parsed.FatalIfErrorf(parsed.Run())
}
