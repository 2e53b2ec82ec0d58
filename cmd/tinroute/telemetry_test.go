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

// cpuTime returns the CPU time that a process has used.
func cpuTime(cmd *exec.Cmd) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond // the unit is 1/100 s
}

// TestTelemetryCost runs the program with telemetry off, with a healthy collector and with failing
// collectors. Every job must be answered in each run. TINROUTE_PAIRS sets the number of rounds for a
// measurement.
func TestTelemetryCost(t *testing.T) {
	rounds, duration, rate := 1, time.Second, 100
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_PAIRS")); err == nil {
		rounds, duration, rate = n, 6*time.Second, 400
	}
	cases := []struct {
		name     string
		behavior collector.Behavior
	}{{"off", collector.Behavior{}}, {"healthy", collector.Behavior{}}, {"stall", collector.Behavior{Mode: collector.Stall}},
		{"trickle", collector.Behavior{Mode: collector.Trickle}}, {"reset", collector.Behavior{Mode: collector.Reset}}}
	env := newTestEnv(t, crashSettings, "", fastWorkers())
	for round := range rounds {
		for i := range cases {
			c := cases[(i+round)%len(cases)]
			sink := collector.New(nil)
			sink.SetBehavior(c.behavior)
			server, err := collector.Serve(sink)
			require.NoError(t, err)
			env.extraEnv = nil
			if c.name != "off" {
				env.extraEnv = []string{"OTEL_EXPORTER_OTLP_ENDPOINT=" + server.HTTPURL, "OTEL_EXPORTER_OTLP_COMPRESSION=gzip"}
			}
			cmd := env.startProgram()
			_, err = env.textCommand("status")
			require.NoError(t, err)
			time.Sleep(300 * time.Millisecond)
			before := cpuTime(cmd)
			latencies := env.measureLatencies(rate, duration)
			used := cpuTime(cmd) - before
			peak, _ := memoryMB(cmd)
			require.Greater(t, len(latencies), int(0.9*float64(rate)*duration.Seconds()), "every job is answered")
			t.Logf("round %d %-8s p50 %v p99 %v CPU time %v per request, %d MB peak", round, c.name, percentile(latencies, 0.5), percentile(latencies, 0.99),
				(used / time.Duration(len(latencies))).Round(time.Microsecond), peak)
			require.NoError(t, cmd.Process.Signal(os.Interrupt))
			require.NoError(t, cmd.Wait())
			server.Stop()
		}
	}
}
