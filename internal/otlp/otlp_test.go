package otlp

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"log/slog"
	"math/big"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	logs "go.opentelemetry.io/proto/otlp/collector/logs/v1"
	metrics "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	traces "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	common "go.opentelemetry.io/proto/otlp/common/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	spans "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"

	"tinroute.example/tinroute/internal/lab/collector"
	"tinroute.example/tinroute/internal/spool"
)

func TestOutcomeFromHTTP(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for status, want := range map[int]Action{200: Accepted, 202: Accepted, 301: Drop, 400: Drop, 401: Drop, 404: Drop, 413: Drop, 429: Retry,
		500: Drop, 501: Drop, 502: Retry, 503: Retry, 504: Retry} {
		require.Equal(t, want, OutcomeFromHTTP(status, "", now).Action, status)
	}
	for text, want := range map[string]time.Duration{"": 0, "3": 3 * time.Second, "-1": 0, "86400": maxRetryAfter, "soon": 0,
		"Tue, 01 Dec 2026 12:00:20 GMT": 20 * time.Second, "Tue, 01 Dec 2026 11:00:00 GMT": 0} {
		require.Equal(t, want, OutcomeFromHTTP(503, text, now).RetryAfter, text)
	}
}

func TestOutcomeFromGRPC(t *testing.T) {
	for code := codes.OK; code <= codes.Unauthenticated; code++ {
		want := Drop
		switch code {
		case codes.OK:
			want = Accepted
		case codes.Canceled, codes.DeadlineExceeded, codes.Aborted, codes.OutOfRange, codes.Unavailable, codes.DataLoss:
			want = Retry
		}
		require.Equal(t, want, OutcomeFromGRPC(code, 0, false).Action, code)
	}
	outcome := OutcomeFromGRPC(codes.ResourceExhausted, 7*time.Second, true)
	require.Equal(t, Outcome{Action: Retry, RetryAfter: 7 * time.Second, Reason: "ResourceExhausted"}, outcome)
}

func TestBackoff(t *testing.T) {
	backoff := &Backoff{Initial: time.Second, Max: 20 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	for i := range 100 {
		bound := min(20*time.Second, time.Second<<min(i, 10))
		delay := backoff.NextDelay(0)
		require.LessOrEqual(t, delay, bound)
		require.GreaterOrEqual(t, delay, bound/2)
	}
	require.Equal(t, time.Minute, backoff.NextDelay(time.Minute), "a longer delay requested by the collector is used")
	backoff.Reset()
	require.LessOrEqual(t, backoff.NextDelay(0), time.Second)
}

// stubCollector is a collector on both transports that records the names of the spans it accepts.
type stubCollector struct {
	*collector.Collector
	mu        sync.Mutex
	names     []string
	endpoints [2]Endpoint // HTTP, gRPC
}

func newStubCollector(t *testing.T) *stubCollector {
	stub := &stubCollector{}
	stub.Collector = collector.New(func(b collector.Batch) {
		stub.mu.Lock()
		defer stub.mu.Unlock()
		for _, span := range collector.BatchSpans(b) {
			stub.names = append(stub.names, span.Name)
		}
	})
	server, err := collector.Serve(stub.Collector)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	stub.endpoints = [2]Endpoint{{URL: server.HTTPURL + "/v1/traces", Timeout: 300 * time.Millisecond, Gzip: true},
		{URL: server.GRPCURL, GRPC: true, Timeout: 300 * time.Millisecond, Gzip: true}}
	return stub
}

func (stub *stubCollector) receivedNames() []string {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	return append([]string{}, stub.names...)
}

// encodedBatch returns an encoded batch that consists of one span.
func encodedBatch(name string) []byte {
	b, _ := proto.Marshal(&traces.ExportTraceServiceRequest{ResourceSpans: []*spans.ResourceSpans{{Resource: &resource.Resource{},
		ScopeSpans: []*spans.ScopeSpans{{Scope: &common.InstrumentationScope{}, Spans: []*spans.Span{{Name: name, TraceId: make([]byte, 16), SpanId: make([]byte, 8)}}}}}}})
	return b
}

// startSender runs a Sender with short delays until the returned function is called or the test ends.
func startSender(t *testing.T, endpoint Endpoint, diskSpool *spool.Spool, maxQueueBytes int64) (*Sender, func()) {
	transport, err := NewTransport(Traces, endpoint)
	require.NoError(t, err)
	sender := NewSender(Options{Signal: Traces, Transport: transport, Log: slog.New(slog.DiscardHandler), MaxQueueBytes: maxQueueBytes, Spool: diskSpool,
		InitialBackoff: 20 * time.Millisecond, MaxBackoff: 100 * time.Millisecond, SpoolInterval: time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sender.Run(ctx, func() context.Context {
			finalCtx, f := context.WithTimeout(context.Background(), 200*time.Millisecond)
			_ = f
			return finalCtx
		})
	}()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	return sender, stop
}

// forEachTransport runs a test as a subtest over HTTP and over gRPC.
func forEachTransport(t *testing.T, test func(t *testing.T, stub *stubCollector, endpoint Endpoint)) {
	for i, name := range []string{"HTTP", "gRPC"} {
		t.Run(name, func(t *testing.T) {
			stub := newStubCollector(t)
			test(t, stub, stub.endpoints[i])
		})
	}
}

// After each kind of collector failure, the batches arrive in order once the collector has recovered.
func TestDeliveryResumesInOrderAfterFailure(t *testing.T) {
	for name, behavior := range map[string]collector.Behavior{"stall": {Mode: collector.Stall}, "trickle": {Mode: collector.Trickle}, "reset": {Mode: collector.Reset},
		"half": {Mode: collector.TruncateResponse}, "cut": {Mode: collector.CloseMidRequest}, "refuse": {Mode: collector.Refuse, Status: 503, Code: codes.Unavailable},
		"late": {Mode: collector.Delay, Delay: time.Second}} {
		t.Run(name, func(t *testing.T) {
			forEachTransport(t, func(t *testing.T, stub *stubCollector, endpoint Endpoint) {
				t.Parallel()
				stub.SetBehavior(behavior)
				sender, _ := startSender(t, endpoint, nil, 1<<20)
				for i := range 5 {
					sender.Enqueue(encodedBatch(fmt.Sprint(i)))
				}
				require.Eventually(t, func() bool { return stub.RequestCount() >= 2 }, 5*time.Second, time.Millisecond, "the batch is retried")
				stub.SetBehavior(collector.Behavior{})
				require.Eventually(t, func() bool { return sender.Stats().Sent == 5 }, 5*time.Second, time.Millisecond)
				var order []string
				for _, n := range stub.receivedNames() { // a batch whose response came late is received again
					if len(order) == 0 || order[len(order)-1] != n {
						order = append(order, n)
					}
				}
				require.Equal(t, []string{"0", "1", "2", "3", "4"}, order)
				require.Empty(t, sender.Stats().Dropped)
			})
		})
	}
}

// A batch that the collector rejects as invalid is not retried, the records of a partial success are
// counted, and Retry-After and RetryInfo delay the next attempt.
func TestCollectorResponses(t *testing.T) {
	forEachTransport(t, func(t *testing.T, stub *stubCollector, endpoint Endpoint) {
		sender, _ := startSender(t, endpoint, nil, 1<<20)
		stub.SetBehavior(collector.Behavior{Mode: collector.Refuse, Status: 400, Code: codes.InvalidArgument})
		sender.Enqueue(encodedBatch("bad"))
		require.Eventually(t, func() bool { return sender.Stats().Dropped["refused"] == 1 }, 5*time.Second, time.Millisecond)
		require.Equal(t, 1, stub.RequestCount())
		stub.SetBehavior(collector.Behavior{Mode: collector.Partial, Rejected: 3})
		sender.Enqueue(encodedBatch("part"))
		require.Eventually(t, func() bool { return sender.Stats().RejectedRecords == 3 }, 5*time.Second, time.Millisecond)
		stub.SetBehavior(collector.Behavior{Mode: collector.Refuse, Status: 429, RetryAfter: "1", Code: codes.ResourceExhausted, RetryInfo: time.Second})
		sender.Enqueue(encodedBatch("later"))
		require.Eventually(t, func() bool { return stub.RequestCount() == 3 }, 5*time.Second, time.Millisecond)
		stub.SetBehavior(collector.Behavior{})
		began := time.Now()
		require.Eventually(t, func() bool { return sender.Stats().Sent == 2 }, 5*time.Second, time.Millisecond)
		require.Greater(t, time.Since(began), 800*time.Millisecond)
		require.Equal(t, []string{"part", "later"}, stub.receivedNames())
	})
}

// While the collector does not respond, the queue stays within its limit and keeps the newest batches.
func TestQueueBoundedByBytes(t *testing.T) {
	forEachTransport(t, func(t *testing.T, stub *stubCollector, endpoint Endpoint) {
		stub.SetBehavior(collector.Behavior{Mode: collector.Stall})
		size := int64(len(encodedBatch("0000")))
		sender, _ := startSender(t, endpoint, nil, 10*size)
		began := time.Now()
		for i := range 10_000 {
			sender.Enqueue(encodedBatch(fmt.Sprintf("%04d", i)))
		}
		require.Less(t, time.Since(began), time.Second, "Enqueue does not block")
		require.LessOrEqual(t, sender.Stats().QueuedBytes, 10*size)
		sender.Enqueue(make([]byte, 11*size))
		require.EqualValues(t, 1, sender.Stats().Dropped["size"])
		stub.SetBehavior(collector.Behavior{})
		require.Eventually(t, func() bool { n := stub.receivedNames(); return len(n) > 0 && n[len(n)-1] == "9999" }, 5*time.Second, time.Millisecond)
		require.Greater(t, sender.Stats().Dropped["queue"], int64(9_900))
	})
}

// Batches that the collector refuses with a retryable status are written to the spool. After it recovers
// each is delivered once and in order, also by a Sender that opens the spool later.
func TestSpooledBatchesDeliveredOnceInOrder(t *testing.T) {
	forEachTransport(t, func(t *testing.T, stub *stubCollector, endpoint Endpoint) {
		stub.SetBehavior(collector.Behavior{Mode: collector.Refuse, Status: 503, Code: codes.Unavailable})
		dir := t.TempDir()
		open := func() *spool.Spool {
			sp, err := spool.Open(spool.Options{Dir: dir, MaxBytes: 1 << 20})
			require.NoError(t, err)
			return sp
		}
		sender, stop := startSender(t, endpoint, open(), 1<<20)
		for i := range 50 {
			sender.Enqueue(encodedBatch(fmt.Sprint(i)))
		}
		require.Eventually(t, func() bool { return sender.Stats().SpooledBatches == 50 && sender.Stats().QueuedBytes == 0 }, 5*time.Second, time.Millisecond)
		stop()
		sender, _ = startSender(t, endpoint, open(), 1<<20)
		sender.Enqueue(encodedBatch("50"))
		stub.SetBehavior(collector.Behavior{})
		require.Eventually(t, func() bool { return len(stub.receivedNames()) == 51 }, 5*time.Second, time.Millisecond)
		sender.Enqueue(encodedBatch("51"))
		require.Eventually(t, func() bool { return len(stub.receivedNames()) == 52 }, 5*time.Second, time.Millisecond)
		for i, n := range stub.receivedNames() {
			require.Equal(t, fmt.Sprint(i), n)
		}
		require.Eventually(t, func() bool { return sender.Stats().SpooledBatches == 0 }, 5*time.Second, time.Millisecond)
	})
}

// With an expired server certificate, one of an unknown authority, or no client certificate, the outcome
// is Retry, so that the batch is kept until the configuration is corrected. With valid certificates on
// both sides the batch is accepted.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	newCertificate := func(name string, until time.Time) (cert, key string, pair tls.Certificate) {
		privateKey, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
		require.NoError(t, err)
		template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-48 * time.Hour), NotAfter: until,
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign}
		der, err := x509.CreateCertificate(crand.Reader, template, template, &privateKey.PublicKey, privateKey)
		require.NoError(t, err)
		pk, err := x509.MarshalECPrivateKey(privateKey)
		require.NoError(t, err)
		cert, key = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
		require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
		require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: pk}), 0o600))
		pair, err = tls.LoadX509KeyPair(cert, key)
		require.NoError(t, err)
		return cert, key, pair
	}
	good, _, goodPair := newCertificate("good", time.Now().Add(time.Hour))
	expired, _, expiredPair := newCertificate("expired", time.Now().Add(-time.Hour))
	clientCert, clientKey, _ := newCertificate("client", time.Now().Add(time.Hour))
	clientCAs := x509.NewCertPool()
	text, err := os.ReadFile(clientCert)
	require.NoError(t, err)
	require.True(t, clientCAs.AppendCertsFromPEM(text))
	for name, testCase := range map[string]struct {
		served         tls.Certificate
		ca, clientCert string
		want           Action
	}{"good": {goodPair, good, clientCert, Accepted}, "expired": {expiredPair, expired, clientCert, Retry}, "unknown authority": {goodPair, expired, clientCert, Retry},
		"no client certificate": {goodPair, good, "", Retry}} {
		t.Run(name, func(t *testing.T) {
			stub := newStubCollector(t)
			config := &tls.Config{Certificates: []tls.Certificate{testCase.served}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: clientCAs}
			httpListener, err := tls.Listen("tcp", "127.0.0.1:0", config)
			require.NoError(t, err)
			httpServer := &http.Server{Handler: stub, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
			go func() { _ = httpServer.Serve(httpListener) }()
			grpcListener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			grpcServer := stub.NewGRPCServer(grpc.Creds(credentials.NewTLS(config)))
			go func() { _ = grpcServer.Serve(grpcListener) }()
			defer func() { _ = httpServer.Close(); grpcServer.Stop() }()
			for _, endpoint := range []Endpoint{{URL: "https://" + httpListener.Addr().String() + "/v1/traces"}, {URL: "https://" + grpcListener.Addr().String(), GRPC: true}} {
				endpoint.Timeout, endpoint.CAFile = 2*time.Second, testCase.ca
				if testCase.clientCert != "" {
					endpoint.CertFile, endpoint.KeyFile = testCase.clientCert, clientKey
				}
				transport, err := NewTransport(Traces, endpoint)
				require.NoError(t, err)
				outcome := transport.Send(t.Context(), encodedBatch("x"))
				require.Equal(t, testCase.want, outcome.Action, "%+v", outcome)
				require.NoError(t, transport.Close())
			}
		})
	}
}

// FuzzParsePartialSuccess checks that parsing an arbitrary response body does not panic and leaves the
// action Accepted.
func FuzzParsePartialSuccess(f *testing.F) {
	a, _ := proto.Marshal(&traces.ExportTraceServiceResponse{PartialSuccess: &traces.ExportTracePartialSuccess{RejectedSpans: 3, ErrorMessage: "x"}})
	b, _ := proto.Marshal(&metrics.ExportMetricsServiceResponse{})
	c, _ := proto.Marshal(&logs.ExportLogsServiceResponse{PartialSuccess: &logs.ExportLogsPartialSuccess{RejectedLogRecords: -1}})
	f.Add(a)
	f.Add(b)
	f.Add(c)
	f.Fuzz(func(t *testing.T, body []byte) {
		for signal := Traces; signal < signalCount; signal++ {
			require.Equal(t, Accepted, parsePartialSuccess(signal, body).Action)
		}
	})
}
