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

// Endpoint describes how to reach the collector for one signal.
type Endpoint struct {
	URL      string // includes the path; gRPC uses only the scheme and the host
	GRPC     bool   // false for HTTP
	Headers  map[string]string
	Timeout  time.Duration // of each attempt
	Gzip     bool
	CAFile   string // PEM file of trusted certificates; empty for the system's
	CertFile string // PEM file of the client certificate; empty for none
	KeyFile  string // PEM file of the client certificate's key
}

// Transport sends batches to a collector.
type Transport interface {
	Send(ctx context.Context, body []byte) Outcome
	Close() error
}

// maxResponseBytes is the size up to which a collector's response is read.
const maxResponseBytes = 64 << 10

// TLSConfig returns a TLS configuration with the certificates in the endpoint's files.
func (e *Endpoint) TLSConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if e.CAFile != "" {
		pem, err := os.ReadFile(e.CAFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s: contains no valid PEM certificate", e.CAFile)
		}
	}
	if e.CertFile != "" {
		certificate, err := tls.LoadX509KeyPair(e.CertFile, e.KeyFile)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return config, nil
}

// NewTransport returns a Transport to the endpoint. It connects on the first Send.
func NewTransport(signal Signal, endpoint Endpoint) (Transport, error) {
	config, err := endpoint.TLSConfig()
	if err != nil {
		return nil, err
	}
	if endpoint.GRPC {
		return newGRPCTransport(signal, endpoint, config)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig, transport.MaxIdleConns, transport.MaxConnsPerHost, transport.MaxResponseHeaderBytes = config, 1, 1, maxResponseBytes
	return &httpTransport{endpoint: endpoint, signal: signal, client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // a redirect would send the secrets in the headers to another host
	}}, closeIdle: transport.CloseIdleConnections}, nil
}

// httpTransport sends batches by HTTP POST.
type httpTransport struct {
	endpoint  Endpoint
	signal    Signal
	client    *http.Client
	closeIdle func()
}

func (t *httpTransport) Close() error { t.closeIdle(); return nil }

// Send posts a batch. After a connection error or a timeout the collector may have received the batch.
// The OTLP specification requires a retry even so.
func (t *httpTransport) Send(ctx context.Context, body []byte) Outcome {
	ctx, cancel := context.WithTimeout(ctx, t.endpoint.Timeout)
	defer cancel()
	if t.endpoint.Gzip {
		body = compress(body)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.endpoint.URL, bytes.NewReader(body))
	if err != nil {
		return Outcome{Action: Drop, Reason: err.Error()}
	}
	request.Header.Set("Content-Type", "application/x-protobuf")
	if t.endpoint.Gzip {
		request.Header.Set("Content-Encoding", "gzip")
	}
	for name, value := range t.endpoint.Headers {
		request.Header.Set(name, value)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return Outcome{Action: Retry, Reason: rootCause(err)}
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	outcome := OutcomeFromHTTP(response.StatusCode, response.Header.Get("Retry-After"), time.Now())
	if outcome.Action != Accepted {
		return outcome
	}
	if err != nil {
		return Outcome{Action: Retry, Reason: "response body truncated"}
	}
	return parsePartialSuccess(t.signal, responseBody)
}

// rootCause returns the text of the innermost error. Unlike the complete text it contains no address, so
// repeated errors read the same.
func rootCause(err error) string {
	for cause := errors.Unwrap(err); cause != nil; cause = errors.Unwrap(err) {
		err = cause
	}
	return err.Error()
}

func compress(body []byte) []byte {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(body) // writing to a bytes.Buffer cannot fail
	_ = writer.Close()
	return compressed.Bytes()
}

// parsePartialSuccess extracts from a successful response the number of records that the collector
// rejected, and its message.
func parsePartialSuccess(signal Signal, body []byte) (outcome Outcome) {
	switch signal {
	case Traces:
		var response traces.ExportTraceServiceResponse
		if proto.Unmarshal(body, &response) == nil {
			outcome.RejectedRecords, outcome.Reason = response.GetPartialSuccess().GetRejectedSpans(), response.GetPartialSuccess().GetErrorMessage()
		}
	case Metrics:
		var response metrics.ExportMetricsServiceResponse
		if proto.Unmarshal(body, &response) == nil {
			outcome.RejectedRecords, outcome.Reason = response.GetPartialSuccess().GetRejectedDataPoints(), response.GetPartialSuccess().GetErrorMessage()
		}
	case Logs:
		var response logs.ExportLogsServiceResponse
		if proto.Unmarshal(body, &response) == nil {
			outcome.RejectedRecords, outcome.Reason = response.GetPartialSuccess().GetRejectedLogRecords(), response.GetPartialSuccess().GetErrorMessage()
		}
	}
	return outcome
}

// rawCodec is a gRPC codec that passes bytes unchanged, because batches are already encoded.
type rawCodec struct{}

func (rawCodec) Name() string { return "proto" }
func (rawCodec) Marshal(v any) ([]byte, error) {
	b, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("otlp: cannot marshal a %T, want *[]byte", v)
	}
	return *b, nil
}
func (rawCodec) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = bytes.Clone(data)
	return nil
}

// grpcTransport sends batches by calls of a collector's Export method.
type grpcTransport struct {
	endpoint Endpoint
	signal   Signal
	conn     *grpc.ClientConn
	method   string
}

// exportMethods holds the gRPC method of each signal.
var exportMethods = [signalCount]string{"/opentelemetry.proto.collector.trace.v1.TraceService/Export",
	"/opentelemetry.proto.collector.metrics.v1.MetricsService/Export", "/opentelemetry.proto.collector.logs.v1.LogsService/Export"}

func newGRPCTransport(signal Signal, endpoint Endpoint, config *tls.Config) (Transport, error) {
	target, secure, err := grpcTarget(endpoint.URL)
	if err != nil {
		return nil, err
	}
	transportCredentials := insecure.NewCredentials()
	if secure {
		transportCredentials = credentials.NewTLS(config)
	}
	callOptions := []grpc.CallOption{grpc.ForceCodec(rawCodec{}), grpc.MaxCallRecvMsgSize(maxResponseBytes)}
	if endpoint.Gzip {
		callOptions = append(callOptions, grpc.UseCompressor("gzip"))
	}
	conn, err := grpc.NewClient(target, grpc.WithTransportCredentials(transportCredentials), grpc.WithDefaultCallOptions(callOptions...), grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy())
	return &grpcTransport{endpoint: endpoint, signal: signal, conn: conn, method: exportMethods[signal]}, err
}

func (t *grpcTransport) Close() error { return t.conn.Close() }

func (t *grpcTransport) Send(ctx context.Context, body []byte) Outcome {
	ctx, cancel := context.WithTimeout(ctx, t.endpoint.Timeout)
	defer cancel()
	for name, value := range t.endpoint.Headers {
		ctx = metadata.AppendToOutgoingContext(ctx, name, value)
	}
	var responseBody []byte
	err := t.conn.Invoke(ctx, t.method, &body, &responseBody)
	callStatus := status.Convert(err)
	var retryDelay time.Duration
	hasRetryInfo := false
	for _, detail := range callStatus.Details() {
		if retryInfo, ok := detail.(*errdetails.RetryInfo); ok {
			retryDelay, hasRetryInfo = retryInfo.GetRetryDelay().AsDuration(), true
		}
	}
	if outcome := OutcomeFromGRPC(callStatus.Code(), retryDelay, hasRetryInfo); outcome.Action != Accepted {
		return outcome
	}
	return parsePartialSuccess(t.signal, responseBody)
}
