package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/lab/collector"
)

// cpu is the processor time that a process has used.
func cpu(p *exec.Cmd) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond // in ticks of 1/100 s
}

// TestTelemetryCost runs the program with telemetry off, with a healthy collector and with ones that
// fail, in turn: every job is answered in each. With TINROUTE_PAIRS it measures so many rounds.
func TestTelemetryCost(t *testing.T) {
	rounds, lasts, rate := 1, time.Second, 100
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_PAIRS")); err == nil {
		rounds, lasts, rate = n, 6*time.Second, 400
	}
	scripts := []struct {
		name   string
		script collector.Script
	}{{"off", collector.Script{}}, {"healthy", collector.Script{}}, {"stall", collector.Script{Mode: collector.Stall}},
		{"trickle", collector.Script{Mode: collector.Trickle}}, {"reset", collector.Script{Mode: collector.Reset}}}
	w := newShop(t, crashSettings, "", quick())
	for round := range rounds {
		for i := range scripts {
			s := scripts[(i+round)%len(scripts)]
			c := collector.New(nil)
			c.Play(s.script)
			server, err := collector.Serve(c)
			require.NoError(t, err)
			w.env = nil
			if s.name != "off" {
				w.env = []string{"OTEL_EXPORTER_OTLP_ENDPOINT=" + server.HTTP, "OTEL_EXPORTER_OTLP_COMPRESSION=gzip"}
			}
			p := w.start()
			_, err = w.text("status")
			require.NoError(t, err)
			time.Sleep(300 * time.Millisecond)
			before := cpu(p)
			took := w.probe(rate, lasts)
			used := cpu(p) - before
			all, _ := memory(p)
			require.Greater(t, len(took), int(0.9*float64(rate)*lasts.Seconds()), "every job is answered")
			t.Logf("round %d %-8s p50 %v p99 %v cpu %v a request, %d MB", round, s.name, percentile(took, 0.5), percentile(took, 0.99),
				(used / time.Duration(len(took))).Round(time.Microsecond), all)
			require.NoError(t, p.Process.Signal(os.Interrupt))
			require.NoError(t, p.Wait())
			server.Stop()
		}
	}
}
