// Package collector implements an OpenTelemetry collector for tests: it accepts OTLP over HTTP and gRPC and can simulate
// the failures of real collectors. It also reads, checks and reports on the received spans; cmd/otlpview is built on it.
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
	_ "google.golang.org/grpc/encoding/gzip" // registers the decompressor for clients that send gzip
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Mode is how a collector answers requests.
type Mode string

// The modes.
const (
	Accept           Mode = ""        // accept every request
	Stall            Mode = "stall"   // read the request and never answer
	Trickle          Mode = "trickle" // answer with one byte per second
	Delay            Mode = "late"    // accept after Behavior.Delay
	Refuse           Mode = "refuse"  // reject with the status of the Behavior
	Reset            Mode = "reset"   // reset the connection after reading the request
	TruncateResponse Mode = "half"    // close the connection in the middle of the response
	CloseMidRequest  Mode = "cut"     // close the connection in the middle of the request body
	Partial          Mode = "partial" // accept, but report Behavior.Rejected records as rejected
)

// Behavior is a mode with its parameters.
type Behavior struct {
	Mode       Mode
	Status     int           // Refuse over HTTP
	RetryAfter string        // Refuse over HTTP: the Retry-After header; empty for none
	RetryInfo  time.Duration // Refuse over gRPC: the retry delay; 0 for none
	Code       codes.Code    // Refuse over gRPC
	Delay      time.Duration // Delay
	Rejected   int64         // Partial
}

// Batch is one accepted request. One of Traces, Metrics and Logs is set.
type Batch struct {
	At      time.Time
	Traces  *traces.ExportTraceServiceRequest
	Metrics *metrics.ExportMetricsServiceRequest
	Logs    *logs.ExportLogsServiceRequest
	Header  map[string][]string // over HTTP only
}

// Collector is the test collector. OnBatch is called for each accepted batch, one at a time.
type Collector struct {
	traces.UnimplementedTraceServiceServer
	OnBatch func(Batch)

	mu        sync.Mutex
	behavior  Behavior
	requests  int
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a collector that accepts every request.
func New(onBatch func(Batch)) *Collector {
	return &Collector{OnBatch: onBatch, closed: make(chan struct{})}
}

// SetBehavior sets the behavior for the following requests.
func (c *Collector) SetBehavior(behavior Behavior) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behavior = behavior
}

// RequestCount returns the number of requests received, accepted or not.
func (c *Collector) RequestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// Close ends all stalled and delayed requests.
func (c *Collector) Close() { c.closeOnce.Do(func() { close(c.closed) }) }

func (c *Collector) startRequest() Behavior {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return c.behavior
}

func (c *Collector) deliver(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.At = time.Now()
	if c.OnBatch != nil {
		c.OnBatch(b)
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
	case <-c.closed:
	}
}

// parseRequest decodes a request to one of the signal paths and returns a function that builds its response.
func parseRequest(path string, body []byte, header map[string][]string) (b Batch, newResponse func(rejected int64) proto.Message, err error) {
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

// ServeHTTP handles OTLP over HTTP.
//
//revive:disable-next-line:function-length one switch over the modes
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	behavior := c.startRequest()
	closeAfter := func(response string) { // an empty response: reset the connection
		if h, ok := w.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				_, _ = io.WriteString(conn, response)
				if t, ok := conn.(*net.TCPConn); ok && response == "" {
					_ = t.SetLinger(0)
				}
				_ = conn.Close()
			}
		}
	}
	if behavior.Mode == CloseMidRequest {
		_, _ = io.ReadFull(r.Body, make([]byte, 8))
		closeAfter("")
		return
	}
	in := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		gzipReader, err := gzip.NewReader(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		in = gzipReader
	}
	body, err := io.ReadAll(io.LimitReader(in, 64<<20))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	batch, newResponse, err := parseRequest(r.URL.Path, body, r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch behavior.Mode {
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
			case <-c.closed:
				return
			default:
			}
		}
		return
	case Delay:
		c.wait(behavior.Delay, r.Context().Done())
	case Refuse:
		if behavior.RetryAfter != "" {
			w.Header().Set("Retry-After", behavior.RetryAfter)
		}
		w.WriteHeader(behavior.Status)
		return
	case Reset:
		closeAfter("")
		return
	case TruncateResponse:
		closeAfter("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf")
		return
	}
	c.deliver(batch)
	response := newResponse(0)
	if behavior.Mode == Partial {
		response = newResponse(behavior.Rejected)
	}
	out, _ := proto.Marshal(response)
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// Export handles spans over gRPC.
func (c *Collector) Export(ctx context.Context, r *traces.ExportTraceServiceRequest) (*traces.ExportTraceServiceResponse, error) {
	n, err := c.handleGRPC(ctx, Batch{Traces: r})
	return &traces.ExportTraceServiceResponse{PartialSuccess: &traces.ExportTracePartialSuccess{RejectedSpans: n}}, err
}

type metricsServer struct {
	metrics.UnimplementedMetricsServiceServer
	collector *Collector
}

func (m metricsServer) Export(ctx context.Context, r *metrics.ExportMetricsServiceRequest) (*metrics.ExportMetricsServiceResponse, error) {
	n, err := m.collector.handleGRPC(ctx, Batch{Metrics: r})
	return &metrics.ExportMetricsServiceResponse{PartialSuccess: &metrics.ExportMetricsPartialSuccess{RejectedDataPoints: n}}, err
}

type logsServer struct {
	logs.UnimplementedLogsServiceServer
	collector *Collector
}

func (l logsServer) Export(ctx context.Context, r *logs.ExportLogsServiceRequest) (*logs.ExportLogsServiceResponse, error) {
	n, err := l.collector.handleGRPC(ctx, Batch{Logs: r})
	return &logs.ExportLogsServiceResponse{PartialSuccess: &logs.ExportLogsPartialSuccess{RejectedLogRecords: n}}, err
}

// handleGRPC handles one request over gRPC. In the modes that apply to bytes it fails the call as unavailable.
func (c *Collector) handleGRPC(ctx context.Context, batch Batch) (rejected int64, err error) {
	behavior := c.startRequest()
	switch behavior.Mode {
	case Stall, Trickle:
		c.wait(0, ctx.Done())
		return 0, status.Error(codes.Unavailable, "stalled")
	case Delay:
		c.wait(behavior.Delay, ctx.Done())
	case Refuse:
		refusal := status.New(behavior.Code, "refused")
		if behavior.RetryInfo > 0 {
			if refusal, err = refusal.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(behavior.RetryInfo)}); err != nil {
				return 0, err
			}
		}
		return 0, refusal.Err()
	case Reset, TruncateResponse, CloseMidRequest:
		return 0, status.Error(codes.Unavailable, "reset")
	case Partial:
		rejected = behavior.Rejected
	}
	c.deliver(batch)
	return rejected, nil
}

// NewGRPCServer returns a gRPC server for the collector.
func (c *Collector) NewGRPCServer(opts ...grpc.ServerOption) *grpc.Server {
	server := grpc.NewServer(opts...)
	traces.RegisterTraceServiceServer(server, c)
	metrics.RegisterMetricsServiceServer(server, metricsServer{collector: c})
	logs.RegisterLogsServiceServer(server, logsServer{collector: c})
	return server
}
