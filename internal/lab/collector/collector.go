// Package collector is a stand-in for an OpenTelemetry collector: it takes OTLP over HTTP and gRPC,
// keeps what it took, and can be told to misbehave as collectors do. The tests export to it, and
// cmd/otlpview is built on it.
package collector

import (
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	logs "go.opentelemetry.io/proto/otlp/collector/logs/v1"
	metrics "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	traces "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	_ "google.golang.org/grpc/encoding/gzip" // what clients may send
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Mode is how a collector behaves.
type Mode string

// The modes. Stall takes a request and never answers; Trickle answers a byte a second; Late answers
// after Delay; Refuse turns away with Status and RetryAfter; Reset ends the connection; Half sends half
// of its answer and ends it; Cut closes in the middle of the request's body; Partial turns Rejected
// records down.
const (
	Accept  Mode = ""
	Stall   Mode = "stall"
	Trickle Mode = "trickle"
	Late    Mode = "late"
	Refuse  Mode = "refuse"
	Reset   Mode = "reset"
	Half    Mode = "half"
	Cut     Mode = "cut"
	Partial Mode = "partial"
)

// Script is a mode with its figures.
type Script struct {
	Mode       Mode
	Status     int           // Refuse
	RetryAfter string        // Refuse, over HTTP
	RetryInfo  time.Duration // Refuse, over gRPC: 0 for none
	Code       codes.Code    // Refuse, over gRPC
	Delay      time.Duration // Late
	Rejected   int64         // Partial
}

// Batch is one request that was taken.
type Batch struct {
	At      time.Time
	Traces  *traces.ExportTraceServiceRequest // one of the three
	Metrics *metrics.ExportMetricsServiceRequest
	Logs    *logs.ExportLogsServiceRequest
	Header  map[string][]string
}

// Collector is a stand-in. Take is called for each batch that it takes, one at a time.
type Collector struct {
	traces.UnimplementedTraceServiceServer
	Take func(Batch)

	mu     sync.Mutex
	script Script
	tries  int
	quit   chan struct{}
	once   sync.Once
}

// New returns a collector that accepts.
func New(take func(Batch)) *Collector { return &Collector{Take: take, quit: make(chan struct{})} }

// Play sets how it behaves from now on.
func (c *Collector) Play(s Script) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.script = s
}

// Tries is how many requests have come, taken or not.
func (c *Collector) Tries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tries
}

// Close ends what stalls.
func (c *Collector) Close() { c.once.Do(func() { close(c.quit) }) }

func (c *Collector) begin() Script {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries++
	return c.script
}

func (c *Collector) took(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.At = time.Now()
	if c.Take != nil {
		c.Take(b)
	}
}

func (c *Collector) wait(d time.Duration, done <-chan struct{}) {
	var after <-chan time.Time
	if d > 0 {
		after = time.After(d)
	}
	select {
	case <-after:
	case <-done:
	case <-c.quit:
	}
}

// parse reads a request of the path's signal.
func parse(path string, body []byte, header map[string][]string) (b Batch, answer func(rejected int64) proto.Message, err error) {
	b.Header = header
	switch path {
	case "/v1/traces":
		b.Traces = &traces.ExportTraceServiceRequest{}
		return b, func(n int64) proto.Message {
			return &traces.ExportTraceServiceResponse{PartialSuccess: &traces.ExportTracePartialSuccess{RejectedSpans: n}}
		}, proto.Unmarshal(body, b.Traces)
	case "/v1/metrics":
		b.Metrics = &metrics.ExportMetricsServiceRequest{}
		return b, func(n int64) proto.Message {
			return &metrics.ExportMetricsServiceResponse{PartialSuccess: &metrics.ExportMetricsPartialSuccess{RejectedDataPoints: n}}
		}, proto.Unmarshal(body, b.Metrics)
	}
	b.Logs = &logs.ExportLogsServiceRequest{}
	return b, func(n int64) proto.Message {
		return &logs.ExportLogsServiceResponse{PartialSuccess: &logs.ExportLogsPartialSuccess{RejectedLogRecords: n}}
	}, proto.Unmarshal(body, b.Logs)
}

// ServeHTTP takes OTLP over HTTP.
//
//revive:disable-next-line:function-length one switch over scripted faults
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := c.begin()
	hijack := func(first string) {
		if h, ok := w.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				_, _ = io.WriteString(conn, first)
				if t, ok := conn.(*net.TCPConn); ok && first == "" {
					_ = t.SetLinger(0)
				}
				_ = conn.Close()
			}
		}
	}
	if s.Mode == Cut {
		_, _ = io.ReadFull(r.Body, make([]byte, 8))
		hijack("")
		return
	}
	in := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		in = z
	}
	body, err := io.ReadAll(io.LimitReader(in, 64<<20))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b, answer, err := parse(r.URL.Path, body, r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch s.Mode {
	case Stall:
		c.wait(0, r.Context().Done())
		return
	case Trickle:
		w.Header().Set("Content-Length", "3600")
		for range 3600 {
			if _, err := w.Write([]byte{0}); err != nil {
				return
			}
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			c.wait(time.Second, r.Context().Done())
			select {
			case <-r.Context().Done():
				return
			case <-c.quit:
				return
			default:
			}
		}
		return
	case Late:
		c.wait(s.Delay, r.Context().Done())
	case Refuse:
		if s.RetryAfter != "" {
			w.Header().Set("Retry-After", s.RetryAfter)
		}
		w.WriteHeader(s.Status)
		return
	case Reset:
		hijack("")
		return
	case Half:
		hijack("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf")
		return
	}
	c.took(b)
	a := answer(0)
	if s.Mode == Partial {
		a = answer(s.Rejected)
	}
	out, _ := proto.Marshal(a)
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// Export takes spans over gRPC.
func (c *Collector) Export(ctx context.Context, r *traces.ExportTraceServiceRequest) (*traces.ExportTraceServiceResponse, error) {
	n, err := c.call(ctx, Batch{Traces: r})
	return &traces.ExportTraceServiceResponse{PartialSuccess: &traces.ExportTracePartialSuccess{RejectedSpans: n}}, err
}

type overMetrics struct {
	metrics.UnimplementedMetricsServiceServer
	c *Collector
}

func (m overMetrics) Export(ctx context.Context, r *metrics.ExportMetricsServiceRequest) (*metrics.ExportMetricsServiceResponse, error) {
	n, err := m.c.call(ctx, Batch{Metrics: r})
	return &metrics.ExportMetricsServiceResponse{PartialSuccess: &metrics.ExportMetricsPartialSuccess{RejectedDataPoints: n}}, err
}

type overLogs struct {
	logs.UnimplementedLogsServiceServer
	c *Collector
}

func (l overLogs) Export(ctx context.Context, r *logs.ExportLogsServiceRequest) (*logs.ExportLogsServiceResponse, error) {
	n, err := l.c.call(ctx, Batch{Logs: r})
	return &logs.ExportLogsServiceResponse{PartialSuccess: &logs.ExportLogsPartialSuccess{RejectedLogRecords: n}}, err
}

// call takes one request over gRPC. The modes that are about bytes end the call as unavailable.
func (c *Collector) call(ctx context.Context, b Batch) (rejected int64, err error) {
	s := c.begin()
	switch s.Mode {
	case Stall, Trickle:
		c.wait(0, ctx.Done())
		return 0, status.Error(codes.Unavailable, "stalled")
	case Late:
		c.wait(s.Delay, ctx.Done())
	case Refuse:
		st := status.New(s.Code, "refused")
		if s.RetryInfo > 0 {
			if st, err = st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(s.RetryInfo)}); err != nil {
				return 0, err
			}
		}
		return 0, st.Err()
	case Reset, Half, Cut:
		return 0, status.Error(codes.Unavailable, "reset")
	case Partial:
		rejected = s.Rejected
	}
	c.took(b)
	return rejected, nil
}

// GRPC returns a server for the collector.
func (c *Collector) GRPC(o ...grpc.ServerOption) *grpc.Server {
	s := grpc.NewServer(o...)
	traces.RegisterTraceServiceServer(s, c)
	metrics.RegisterMetricsServiceServer(s, overMetrics{c: c})
	logs.RegisterLogsServiceServer(s, overLogs{c: c})
	return s
}
