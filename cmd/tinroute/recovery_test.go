package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/link"
)

// fillStore creates a job store with the given number of waiting jobs of class safe.
func (e *testEnv) fillStore(jobs int) {
	_ = os.Remove(e.storeFile)
	store, err := jobstore.Open(jobstore.Options{Path: e.storeFile, NoSync: true})
	require.NoError(e.t, err)
	failed := atomic.Int64{}
	now := time.Duration(time.Now().UnixNano())
	for range jobs {
		id := store.NextID()
		store.Put(&jobstore.Job{ID: id, Handle: fmt.Sprint("H:n0:", id), Function: "safe", Data: []byte(strings.Repeat("d", 64)), AcceptedAt: now},
			&jobstore.State{Due: now}, func(err error) {
				if err != nil {
					failed.Add(1)
				}
			})
	}
	require.NoError(e.t, store.Close())
	require.Zero(e.t, failed.Load())
}

// memoryMB returns the peak resident memory of the process and its present anonymous memory, which
// excludes mapped files, both in MB.
func memoryMB(cmd *exec.Cmd) (peak, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmHWM:":
			peak = n / 1024
		case "RssAnon:":
			anonymous = n / 1024
		}
	}
	return peak, anonymous
}

// measureLatencies submits foreground jobs at the given rate per second and returns their latencies.
func (e *testEnv) measureLatencies(rate int, duration time.Duration) []time.Duration {
	conn := e.dialGearman()
	require.NotNil(e.t, conn)
	defer func() { _ = conn.Close() }()
	submissions := make(chan time.Time, 1<<16)
	var latencies []time.Duration
	done := make(chan struct{})
	go func() {
		defer close(done)
		submittedAt := map[string]time.Time{}
		_ = link.ReadMessages(conn, gearman.NewResponseFramer(), func(packet *gearman.Packet) bool {
			handle, _, _ := strings.Cut(string(packet.Body), "\x00")
			switch packet.Type {
			case gearman.JobCreated: // JOB_CREATED comes in the order of the submissions, results need not
				submittedAt[handle] = <-submissions
			case gearman.WorkComplete, gearman.WorkFail:
				latencies = append(latencies, time.Since(submittedAt[handle]))
				delete(submittedAt, handle)
			}
			return true
		})
	}()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		scheduled := <-tick.C
		submissions <- scheduled // the scheduled time, so that the latency includes a stall of the client
		_, _ = conn.Write(gearman.Request(gearman.SubmitJob, "safe", "", "probe"))
	}
	time.Sleep(300 * time.Millisecond)
	_ = conn.Close()
	<-done
	return latencies
}

func percentile(d []time.Duration, p float64) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, int(p*float64(len(d))))].Round(10 * time.Microsecond)
}

// fastWorkers returns a handler for four job servers that run each job in about 3 ms, eight at a time each.
func fastWorkers() func(int, net.Conn) {
	slots := make([]chan struct{}, 4)
	for i := range slots {
		slots[i] = make(chan struct{}, 8)
	}
	return func(worker int, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_ = link.ReadMessages(conn, gearman.NewRequestFramer(), func(*gearman.Packet) bool {
			select {
			case slots[worker] <- struct{}{}:
			default:
				_, _ = conn.Write(gearman.Response(gearman.Error, "full", ""))
				return true
			}
			_, _ = conn.Write(append(gearman.Response(gearman.JobCreated, "H"), gearman.Response(gearman.WorkStatus, "H", "0", "1")...))
			time.Sleep(3 * time.Millisecond)
			<-slots[worker]
			_, err := conn.Write(gearman.Response(gearman.WorkComplete, "H", "r"))
			return err == nil
		})
	}
}

// TestRecover starts the program with a full job store. All stored jobs must be run, at the pace of the
// settings, while foreground jobs are served. TINROUTE_STORED, such as 1000000, sets the number of jobs
// for a measurement, TINROUTE_PAIRS the number of pairs of runs with and without stored jobs.
func TestRecover(t *testing.T) {
	jobs, pairs := 600, 0
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_STORED")); err == nil {
		jobs, pairs = n, 5
	}
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_PAIRS")); err == nil {
		pairs = n
	}
	paceSettings := "[pace]\nrate = 100000\nwindow = 256\n"
	if os.Getenv("TINROUTE_PACE") == "default" {
		paceSettings = ""
	}
	env := newTestEnv(t, crashSettings, paceSettings, fastWorkers())
	stop := func(cmd *exec.Cmd) {
		require.NoError(t, cmd.Process.Signal(os.Interrupt))
		require.NoError(t, cmd.Wait())
	}
	env.fillStore(jobs)
	storeContent, err := os.ReadFile(env.storeFile)
	require.NoError(t, err)

	start := time.Now()
	cmd := env.startProgram()
	_, err = env.textCommand("store")
	require.NoError(t, err)
	readyAfter := time.Since(start)
	latencies := env.measureLatencies(50, 2*time.Second)
	require.Greater(t, len(latencies), 80, "foreground jobs are served")
	remaining := jobs
	for deadline := time.Now().Add(10 * time.Minute); remaining > 0 && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		lines, err := env.textCommand("store")
		require.NoError(t, err)
		for _, l := range lines {
			if n, ok := strings.CutPrefix(l, "jobs\t"); ok {
				remaining, err = strconv.Atoi(n)
				require.NoError(t, err)
			}
		}
	}
	require.Zero(t, remaining)
	peak, anonymous := memoryMB(cmd)
	t.Logf("%d stored jobs, a file of %d MB: ready after %v, all jobs run after %v; peak memory %d MB, anonymous memory at the end %d MB",
		jobs, len(storeContent)>>20, readyAfter.Round(time.Millisecond), time.Since(start).Round(10*time.Millisecond), peak, anonymous)
	lines, err := env.textCommand("show dead")
	require.NoError(t, err)
	require.Empty(t, lines)
	stop(cmd)

	for i := range pairs {
		for _, stored := range []bool{i%2 == 0, i%2 != 0} {
			_ = os.Remove(env.storeFile)
			if stored {
				require.NoError(t, os.WriteFile(env.storeFile, storeContent, 0o600))
			}
			cmd := env.startProgram()
			_, err = env.textCommand("store")
			require.NoError(t, err)
			time.Sleep(500 * time.Millisecond)
			latencies := env.measureLatencies(100, 8*time.Second)
			lines, err := env.textCommand("store")
			require.NoError(t, err)
			t.Logf("pair %d, stored %t: %d foreground jobs, p50 %v, p99 %v; %s", i, stored, len(latencies), percentile(latencies, 0.5), percentile(latencies, 0.99),
				strings.Join(lines[9:], " "))
			stop(cmd)
		}
	}
}
