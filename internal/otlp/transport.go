package otlp

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	logs "go.opentelemetry.io/proto/otlp/collector/logs/v1"
	metrics "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	traces "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	_ "google.golang.org/grpc/encoding/gzip" // named by UseCompressor
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// Endpoint is where a signal goes.
type Endpoint struct {
	URL     string // whole, with its path; for gRPC its scheme and host count
	GRPC    bool
	Headers map[string]string
	Timeout time.Duration
	Gzip    bool
	CA      string // files, empty for none
	Cert    string
	Key     string
}

// Transport carries one batch.
type Transport interface {
	Send(ctx context.Context, body []byte) Outcome
	Close() error
}

// mostAnswer bounds what is read of a collector's answer.
const mostAnswer = 64 << 10

// TLS reads the endpoint's files.
func (e *Endpoint) TLS() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if e.CA != "" {
		pem, err := os.ReadFile(e.CA)
		if err != nil {
			return nil, err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s: no certificate", e.CA)
		}
	}
	if e.Cert != "" {
		pair, err := tls.LoadX509KeyPair(e.Cert, e.Key)
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}

// NewTransport returns a transport; it connects when it first sends.
func NewTransport(s Signal, e Endpoint) (Transport, error) {
	config, err := e.TLS()
	if err != nil {
		return nil, err
	}
	if e.GRPC {
		return newGRPC(s, e, config)
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSClientConfig, t.MaxIdleConns, t.MaxConnsPerHost, t.MaxResponseHeaderBytes = config, 1, 1, mostAnswer
	return &overHTTP{e: e, signal: s, client: &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // it would carry the headers' secrets elsewhere
	}}, close: t.CloseIdleConnections}, nil
}

type overHTTP struct {
	e      Endpoint
	signal Signal
	client *http.Client
	close  func()
}

func (t *overHTTP) Close() error { t.close(); return nil }

// Send posts a batch. A collector that could not be reached, or has not answered in time, may have
// taken it: the protocol asks for a repeat all the same.
func (t *overHTTP) Send(ctx context.Context, body []byte) Outcome {
	ctx, stop := context.WithTimeout(ctx, t.e.Timeout)
	defer stop()
	if t.e.Gzip {
		body = zip(body)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.e.URL, bytes.NewReader(body))
	if err != nil {
		return Outcome{Do: Drop, Why: err.Error()}
	}
	r.Header.Set("Content-Type", "application/x-protobuf")
	if t.e.Gzip {
		r.Header.Set("Content-Encoding", "gzip")
	}
	for k, v := range t.e.Headers {
		r.Header.Set(k, v)
	}
	a, err := t.client.Do(r)
	if err != nil {
		return Outcome{Do: Retry, Why: reason(err)}
	}
	defer func() { _ = a.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(a.Body, mostAnswer))
	o := FromHTTP(a.StatusCode, a.Header.Get("Retry-After"), time.Now())
	if o.Do != Accepted {
		return o
	}
	if err != nil {
		return Outcome{Do: Retry, Why: "answer cut short"}
	}
	return partial(t.signal, answer)
}

// reason words an error without the address, so that repeated ones are alike.
func reason(err error) string {
	for u := errors.Unwrap(err); u != nil; u = errors.Unwrap(err) {
		err = u
	}
	return err.Error()
}

func zip(body []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(body) // a buffer takes every byte
	_ = w.Close()
	return b.Bytes()
}

// partial reads what the collector has not taken of a batch that it accepted.
func partial(s Signal, answer []byte) (o Outcome) {
	switch s {
	case Traces:
		var r traces.ExportTraceServiceResponse
		if proto.Unmarshal(answer, &r) == nil {
			o.Rejected, o.Why = r.GetPartialSuccess().GetRejectedSpans(), r.GetPartialSuccess().GetErrorMessage()
		}
	case Metrics:
		var r metrics.ExportMetricsServiceResponse
		if proto.Unmarshal(answer, &r) == nil {
			o.Rejected, o.Why = r.GetPartialSuccess().GetRejectedDataPoints(), r.GetPartialSuccess().GetErrorMessage()
		}
	case Logs:
		var r logs.ExportLogsServiceResponse
		if proto.Unmarshal(answer, &r) == nil {
			o.Rejected, o.Why = r.GetPartialSuccess().GetRejectedLogRecords(), r.GetPartialSuccess().GetErrorMessage()
		}
	}
	return o
}

// raw hands bytes through gRPC as they are: batches are encoded already.
type raw struct{}

func (raw) Name() string { return "proto" }
func (raw) Marshal(v any) ([]byte, error) {
	b, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("otlp: %T", v)
	}
	return *b, nil
}
func (raw) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = bytes.Clone(data)
	return nil
}

type overGRPC struct {
	e      Endpoint
	signal Signal
	conn   *grpc.ClientConn
	method string
}

var methods = [signals]string{"/opentelemetry.proto.collector.trace.v1.TraceService/Export",
	"/opentelemetry.proto.collector.metrics.v1.MetricsService/Export", "/opentelemetry.proto.collector.logs.v1.LogsService/Export"}

func newGRPC(s Signal, e Endpoint, config *tls.Config) (Transport, error) {
	u, secure, err := target(e.URL)
	if err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if secure {
		creds = credentials.NewTLS(config)
	}
	call := []grpc.CallOption{grpc.ForceCodec(raw{}), grpc.MaxCallRecvMsgSize(mostAnswer)}
	if e.Gzip {
		call = append(call, grpc.UseCompressor("gzip"))
	}
	conn, err := grpc.NewClient(u, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(call...), grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy())
	return &overGRPC{e: e, signal: s, conn: conn, method: methods[s]}, err
}

func (t *overGRPC) Close() error { return t.conn.Close() }

func (t *overGRPC) Send(ctx context.Context, body []byte) Outcome {
	ctx, stop := context.WithTimeout(ctx, t.e.Timeout)
	defer stop()
	for k, v := range t.e.Headers {
		ctx = metadata.AppendToOutgoingContext(ctx, k, v)
	}
	var answer []byte
	err := t.conn.Invoke(ctx, t.method, &body, &answer)
	st := status.Convert(err)
	var wait time.Duration
	info := false
	for _, d := range st.Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			wait, info = r.GetRetryDelay().AsDuration(), true
		}
	}
	if o := FromGRPC(st.Code(), wait, info); o.Do != Accepted {
		return o
	}
	return partial(t.signal, answer)
}
