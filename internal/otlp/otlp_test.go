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

func TestFromHTTP(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for status, want := range map[int]Action{200: Accepted, 202: Accepted, 301: Drop, 400: Drop, 401: Drop, 404: Drop, 413: Drop, 429: Retry,
		500: Drop, 501: Drop, 502: Retry, 503: Retry, 504: Retry} {
		require.Equal(t, want, FromHTTP(status, "", now).Do, status)
	}
	for text, want := range map[string]time.Duration{"": 0, "3": 3 * time.Second, "-1": 0, "86400": maxAfter, "soon": 0,
		"Tue, 01 Dec 2026 12:00:20 GMT": 20 * time.Second, "Tue, 01 Dec 2026 11:00:00 GMT": 0} {
		require.Equal(t, want, FromHTTP(503, text, now).After, text)
	}
}

func TestFromGRPC(t *testing.T) {
	for code := codes.OK; code <= codes.Unauthenticated; code++ {
		want := Drop
		switch code {
		case codes.OK:
			want = Accepted
		case codes.Canceled, codes.DeadlineExceeded, codes.Aborted, codes.OutOfRange, codes.Unavailable, codes.DataLoss:
			want = Retry
		}
		require.Equal(t, want, FromGRPC(code, 0, false).Do, code)
	}
	o := FromGRPC(codes.ResourceExhausted, 7*time.Second, true)
	require.Equal(t, Outcome{Do: Retry, After: 7 * time.Second, Why: "ResourceExhausted"}, o)
}

func TestBackoff(t *testing.T) {
	b := &Backoff{Base: time.Second, Most: 20 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	for i := range 100 {
		bound := min(20*time.Second, time.Second<<min(i, 10))
		d := b.Next(0)
		require.LessOrEqual(t, d, bound)
		require.GreaterOrEqual(t, d, bound/2)
	}
	require.Equal(t, time.Minute, b.Next(time.Minute), "the collector's word counts")
	b.Reset()
	require.LessOrEqual(t, b.Next(0), time.Second)
}

// stand is a collector on both transports that notes the names of the spans it takes.
type stand struct {
	*collector.Collector
	mu    sync.Mutex
	names []string
	ends  [2]Endpoint // HTTP, gRPC
}

func newStand(t *testing.T) *stand {
	s := &stand{}
	s.Collector = collector.New(func(b collector.Batch) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, x := range collector.Spans(b) {
			s.names = append(s.names, x.Name)
		}
	})
	r, err := collector.Serve(s.Collector)
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	s.ends = [2]Endpoint{{URL: r.HTTP + "/v1/traces", Timeout: 300 * time.Millisecond, Gzip: true},
		{URL: r.GRPC, GRPC: true, Timeout: 300 * time.Millisecond, Gzip: true}}
	return s
}

func (s *stand) got() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.names...)
}

func batch(name string) []byte {
	b, _ := proto.Marshal(&traces.ExportTraceServiceRequest{ResourceSpans: []*spans.ResourceSpans{{Resource: &resource.Resource{},
		ScopeSpans: []*spans.ScopeSpans{{Scope: &common.InstrumentationScope{}, Spans: []*spans.Span{{Name: name, TraceId: make([]byte, 16), SpanId: make([]byte, 8)}}}}}}})
	return b
}

func runLane(t *testing.T, e Endpoint, sp *spool.Spool, bytes int64) (*Lane, func()) {
	tr, err := NewTransport(Traces, e)
	require.NoError(t, err)
	l := NewLane(Options{Signal: Traces, Transport: tr, Log: slog.New(slog.DiscardHandler), Bytes: bytes, Spool: sp, Base: 20 * time.Millisecond,
		Most: 100 * time.Millisecond, Pace: time.Millisecond})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, func() context.Context {
			c, f := context.WithTimeout(context.Background(), 200*time.Millisecond)
			_ = f
			return c
		})
	}()
	var once sync.Once
	end := func() { once.Do(func() { stop(); <-done }) }
	t.Cleanup(end)
	return l, end
}

func both(t *testing.T, f func(t *testing.T, s *stand, e Endpoint)) {
	for i, name := range []string{"HTTP", "gRPC"} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t)
			f(t, s, s.ends[i])
		})
	}
}

// However a collector fails, batches come when it is well again, in their order.
func TestComesBack(t *testing.T) {
	for name, script := range map[string]collector.Script{"stall": {Mode: collector.Stall}, "trickle": {Mode: collector.Trickle}, "reset": {Mode: collector.Reset},
		"half": {Mode: collector.Half}, "cut": {Mode: collector.Cut}, "refuse": {Mode: collector.Refuse, Status: 503, Code: codes.Unavailable},
		"late": {Mode: collector.Late, Delay: time.Second}} {
		t.Run(name, func(t *testing.T) {
			both(t, func(t *testing.T, s *stand, e Endpoint) {
				t.Parallel()
				s.Play(script)
				l, _ := runLane(t, e, nil, 1<<20)
				for i := range 5 {
					l.Put(batch(fmt.Sprint(i)))
				}
				require.Eventually(t, func() bool { return s.Tries() >= 2 }, 5*time.Second, time.Millisecond, "it is tried again")
				s.Play(collector.Script{})
				require.Eventually(t, func() bool { return l.Stats().Sent == 5 }, 5*time.Second, time.Millisecond)
				var order []string
				for _, n := range s.got() { // a late answer may have been a taken batch
					if len(order) == 0 || order[len(order)-1] != n {
						order = append(order, n)
					}
				}
				require.Equal(t, []string{"0", "1", "2", "3", "4"}, order)
				require.Empty(t, l.Stats().Dropped)
			})
		})
	}
}

// What would be turned down again is not repeated; a partial success is counted; Retry-After and
// RetryInfo are honoured.
func TestAnswers(t *testing.T) {
	both(t, func(t *testing.T, s *stand, e Endpoint) {
		l, _ := runLane(t, e, nil, 1<<20)
		s.Play(collector.Script{Mode: collector.Refuse, Status: 400, Code: codes.InvalidArgument})
		l.Put(batch("bad"))
		require.Eventually(t, func() bool { return l.Stats().Dropped["refused"] == 1 }, 5*time.Second, time.Millisecond)
		require.Equal(t, 1, s.Tries())
		s.Play(collector.Script{Mode: collector.Partial, Rejected: 3})
		l.Put(batch("part"))
		require.Eventually(t, func() bool { return l.Stats().Rejected == 3 }, 5*time.Second, time.Millisecond)
		s.Play(collector.Script{Mode: collector.Refuse, Status: 429, RetryAfter: "1", Code: codes.ResourceExhausted, RetryInfo: time.Second})
		l.Put(batch("later"))
		require.Eventually(t, func() bool { return s.Tries() == 3 }, 5*time.Second, time.Millisecond)
		s.Play(collector.Script{})
		began := time.Now()
		require.Eventually(t, func() bool { return l.Stats().Sent == 2 }, 5*time.Second, time.Millisecond)
		require.Greater(t, time.Since(began), 800*time.Millisecond)
		require.Equal(t, []string{"part", "later"}, s.got())
	})
}

// Memory is bounded while the collector is dead; what is newest stays.
func TestBounded(t *testing.T) {
	both(t, func(t *testing.T, s *stand, e Endpoint) {
		s.Play(collector.Script{Mode: collector.Stall})
		size := int64(len(batch("0000")))
		l, _ := runLane(t, e, nil, 10*size)
		began := time.Now()
		for i := range 10_000 {
			l.Put(batch(fmt.Sprintf("%04d", i)))
		}
		require.Less(t, time.Since(began), time.Second, "no one waits")
		require.LessOrEqual(t, l.Stats().Waiting, 10*size)
		l.Put(make([]byte, 11*size))
		require.EqualValues(t, 1, l.Stats().Dropped["size"])
		s.Play(collector.Script{})
		require.Eventually(t, func() bool { n := s.got(); return len(n) > 0 && n[len(n)-1] == "9999" }, 5*time.Second, time.Millisecond)
		require.Greater(t, l.Stats().Dropped["queue"], int64(9_900))
	})
}

// What the collector does not take goes to disk, and from there in order when it is back: within
// the process's life or a later one's, each batch once.
func TestSpool(t *testing.T) {
	both(t, func(t *testing.T, s *stand, e Endpoint) {
		s.Play(collector.Script{Mode: collector.Refuse, Status: 503, Code: codes.Unavailable})
		dir := t.TempDir()
		open := func() *spool.Spool {
			sp, err := spool.Open(spool.Options{Dir: dir, MaxBytes: 1 << 20})
			require.NoError(t, err)
			return sp
		}
		l, end := runLane(t, e, open(), 1<<20)
		for i := range 50 {
			l.Put(batch(fmt.Sprint(i)))
		}
		require.Eventually(t, func() bool { return l.Stats().Spooled == 50 && l.Stats().Waiting == 0 }, 5*time.Second, time.Millisecond)
		end()
		l, _ = runLane(t, e, open(), 1<<20)
		l.Put(batch("50"))
		s.Play(collector.Script{})
		require.Eventually(t, func() bool { return len(s.got()) == 51 }, 5*time.Second, time.Millisecond)
		l.Put(batch("51"))
		require.Eventually(t, func() bool { return len(s.got()) == 52 }, 5*time.Second, time.Millisecond)
		for i, n := range s.got() {
			require.Equal(t, fmt.Sprint(i), n)
		}
		require.Eventually(t, func() bool { return l.Stats().Spooled == 0 }, 5*time.Second, time.Millisecond)
	})
}

// A certificate that has run out, or that another authority signed, is told as what it is, and the
// batch is kept for when it is mended; with the right one it goes, over TLS with a key of ours.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	pair := func(name string, until time.Time) (cert, key string, c tls.Certificate) {
		private, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
		require.NoError(t, err)
		x := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-48 * time.Hour), NotAfter: until,
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign}
		der, err := x509.CreateCertificate(crand.Reader, x, x, &private.PublicKey, private)
		require.NoError(t, err)
		pk, err := x509.MarshalECPrivateKey(private)
		require.NoError(t, err)
		cert, key = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
		require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
		require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: pk}), 0o600))
		c, err = tls.LoadX509KeyPair(cert, key)
		require.NoError(t, err)
		return cert, key, c
	}
	good, _, goodPair := pair("good", time.Now().Add(time.Hour))
	old, _, oldPair := pair("old", time.Now().Add(-time.Hour))
	ours, oursKey, _ := pair("ours", time.Now().Add(time.Hour))
	clients := x509.NewCertPool()
	text, err := os.ReadFile(ours)
	require.NoError(t, err)
	require.True(t, clients.AppendCertsFromPEM(text))
	for name, c := range map[string]struct {
		served   tls.Certificate
		ca, ours string
		want     Action
	}{"good": {goodPair, good, ours, Accepted}, "run out": {oldPair, old, ours, Retry}, "another authority": {goodPair, old, ours, Retry},
		"without our key": {goodPair, good, "", Retry}} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t)
			config := &tls.Config{Certificates: []tls.Certificate{c.served}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: clients}
			web, err := tls.Listen("tcp", "127.0.0.1:0", config)
			require.NoError(t, err)
			h := &http.Server{Handler: s, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
			go func() { _ = h.Serve(web) }()
			rpc, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			g := s.GRPC(grpc.Creds(credentials.NewTLS(config)))
			go func() { _ = g.Serve(rpc) }()
			defer func() { _ = h.Close(); g.Stop() }()
			for _, e := range []Endpoint{{URL: "https://" + web.Addr().String() + "/v1/traces"}, {URL: "https://" + rpc.Addr().String(), GRPC: true}} {
				e.Timeout, e.CA = 2*time.Second, c.ca
				if c.ours != "" {
					e.Cert, e.Key = c.ours, oursKey
				}
				tr, err := NewTransport(Traces, e)
				require.NoError(t, err)
				o := tr.Send(t.Context(), batch("x"))
				require.Equal(t, c.want, o.Do, "%+v", o)
				require.NoError(t, tr.Close())
			}
		})
	}
}

// FuzzPartial: whatever a collector answers, reading it does no harm.
func FuzzPartial(f *testing.F) {
	a, _ := proto.Marshal(&traces.ExportTraceServiceResponse{PartialSuccess: &traces.ExportTracePartialSuccess{RejectedSpans: 3, ErrorMessage: "x"}})
	b, _ := proto.Marshal(&metrics.ExportMetricsServiceResponse{})
	c, _ := proto.Marshal(&logs.ExportLogsServiceResponse{PartialSuccess: &logs.ExportLogsPartialSuccess{RejectedLogRecords: -1}})
	f.Add(a)
	f.Add(b)
	f.Add(c)
	f.Fuzz(func(t *testing.T, answer []byte) {
		for s := Traces; s < signals; s++ {
			require.Equal(t, Accepted, partial(s, answer).Do)
		}
	})
}
