package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	metrics "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	traces "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// collector is a stand-in that decodes what it is sent.
type collector struct {
	mu      sync.Mutex
	spans   map[string]int  // by name and status
	parents map[string]bool // span ids of transactions
	orphans []string        // tasks under none
	sums    map[string]int64
}

func (c *collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path == "/v1/traces" {
		var q traces.ExportTraceServiceRequest
		if proto.Unmarshal(body, &q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, rs := range q.ResourceSpans {
			for _, ss := range rs.ScopeSpans {
				for _, s := range ss.Spans {
					what := s.Name
					for _, a := range s.Attributes {
						if a.Key == "status" || a.Key == "verdict" {
							what += " " + a.Value.GetStringValue()
						}
					}
					c.spans[what]++
					if s.Name == "transaction" {
						c.parents[string(s.SpanId)] = true
					} else {
						c.orphans = append(c.orphans, string(s.ParentSpanId))
					}
				}
			}
		}
		return
	}
	var q metrics.ExportMetricsServiceRequest
	if proto.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, rm := range q.ResourceMetrics {
		for _, sm := range rm.ScopeMetrics {
			for _, m := range sm.Metrics {
				c.sums[m.Name] = 0
				for _, p := range append(m.GetSum().GetDataPoints(), m.GetGauge().GetDataPoints()...) {
					c.sums[m.Name] += p.GetAsInt()
				}
			}
		}
	}
}

// A collector is told of every transaction, every routed task under its transaction, and
// of the counts, whichever front they came by.
func TestTelemetry(t *testing.T) {
	text, err := os.ReadFile("testdata/both/safe-lost.txt")
	require.NoError(t, err)
	for _, wr := range []wire{&httpWire{}, &gearmanWire{}} {
		c := &collector{spans: map[string]int{}, parents: map[string]bool{}, sums: map[string]int64{}}
		s := httptest.NewServer(c)
		t.Setenv("OTEL_EXPORTER_OTLP_ENDPOINT", s.URL)
		play(t, string(text), &loopback{}, &observed{wire: wr}, false)
		s.Close()
		require.Equal(t, map[string]int{"transaction served": 1, "task reset": 1, "task ok": 1}, c.spans)
		for _, parent := range c.orphans {
			require.True(t, c.parents[parent])
		}
		require.Equal(t, map[string]int64{"tinroute.answers": 1, "tinroute.tasks": 2, "tinroute.duration": 0, "tinroute.queue": 0}, c.sums)
	}
}

// A collector that takes connections and says nothing costs no request and holds up no
// end.
func TestDeadCollector(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	t.Setenv("OTEL_EXPORTER_OTLP_ENDPOINT", "http://"+l.Addr().String())
	t.Setenv("OTEL_BSP_SCHEDULE_DELAY", "1")
	text, err := os.ReadFile("testdata/both/safe-lost.txt")
	require.NoError(t, err)
	began := time.Now()
	play(t, string(text), &loopback{}, &observed{wire: &httpWire{}}, false)
	require.Less(t, time.Since(began), 8*time.Second)
}

// observed is a wire whose daemon reads the OTEL_ variables.
type observed struct{ wire }

func (o *observed) prepare(t *testing.T, w *world, d *Daemon) {
	o.wire.prepare(t, w, d)
	d.Getenv = os.Getenv
}
