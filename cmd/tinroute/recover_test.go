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

// fill makes a job store with so many safe jobs that wait.
func (w *shop) fill(jobs int) {
	_ = os.Remove(w.store)
	s, err := jobstore.Open(jobstore.Options{Path: w.store, NoSync: true})
	require.NoError(w.t, err)
	failed := atomic.Int64{}
	now := time.Duration(time.Now().UnixNano())
	for range jobs {
		n := s.Number()
		s.Put(&jobstore.Job{ID: n, Handle: fmt.Sprint("H:n0:", n), Function: "safe", Data: []byte(strings.Repeat("d", 64)), Accepted: now},
			&jobstore.State{Due: now}, func(err error) {
				if err != nil {
					failed.Add(1)
				}
			})
	}
	require.NoError(w.t, s.Close())
	require.Zero(w.t, failed.Load())
}

// memory is what the process holds and held at most, in MB: all of it, and without the pages of
// files that it maps.
func memory(p *exec.Cmd) (all, own int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmHWM:":
			all = n / 1024
		case "RssAnon:":
			own = n / 1024
		}
	}
	return all, own
}

// probe submits foreground jobs, so many a second, and returns how long each took.
func (w *shop) probe(rate int, d time.Duration) []time.Duration {
	c := w.dial()
	require.NotNil(w.t, c)
	defer func() { _ = c.Close() }()
	sent := make(chan time.Time, 1<<16)
	var took []time.Duration
	done := make(chan struct{})
	go func() {
		defer close(done)
		began := map[string]time.Time{}
		_ = link.ReadMessages(c, gearman.NewResponseFramer(), func(p *gearman.Packet) bool {
			handle, _, _ := strings.Cut(string(p.Body), "\x00")
			switch p.Type {
			case gearman.JobCreated: // they come in the order of the submissions, the ends need not
				began[handle] = <-sent
			case gearman.WorkComplete, gearman.WorkFail:
				took = append(took, time.Since(began[handle]))
				delete(began, handle)
			}
			return true
		})
	}()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		at := <-tick.C
		sent <- at // the intended instant, so that a stall is not left out
		_, _ = c.Write(gearman.Request(gearman.SubmitJob, "safe", "", "probe"))
	}
	time.Sleep(300 * time.Millisecond)
	_ = c.Close()
	<-done
	return took
}

func percentile(d []time.Duration, p float64) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, int(p*float64(len(d))))].Round(10 * time.Microsecond)
}

// quick is a job server that runs a job in about 3 ms, eight at a time.
func quick() func(int, net.Conn) {
	slots := make([]chan struct{}, 4)
	for i := range slots {
		slots[i] = make(chan struct{}, 8)
	}
	return func(region int, c net.Conn) {
		defer func() { _ = c.Close() }()
		_ = link.ReadMessages(c, gearman.NewRequestFramer(), func(*gearman.Packet) bool {
			select {
			case slots[region] <- struct{}{}:
			default:
				_, _ = c.Write(gearman.Response(gearman.Error, "full", ""))
				return true
			}
			_, _ = c.Write(append(gearman.Response(gearman.JobCreated, "H"), gearman.Response(gearman.WorkStatus, "H", "0", "1")...))
			time.Sleep(3 * time.Millisecond)
			<-slots[region]
			_, err := c.Write(gearman.Response(gearman.WorkComplete, "H", "r"))
			return err == nil
		})
	}
}

// TestRecover starts the program on a store full of jobs: all of them are run, at the pace that
// the settings allow, and foreground jobs are served meanwhile. With TINROUTE_STORED, such as
// 1000000, it measures; TINROUTE_PAIRS sets how many pairs of runs with and without stored jobs.
func TestRecover(t *testing.T) {
	jobs, pairs := 600, 0
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_STORED")); err == nil {
		jobs, pairs = n, 5
	}
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_PAIRS")); err == nil {
		pairs = n
	}
	pace := "[pace]\nrate = 100000\nwindow = 256\n"
	if os.Getenv("TINROUTE_PACE") == "default" {
		pace = ""
	}
	w := newShop(t, crashSettings, pace, quick())
	stop := func(p *exec.Cmd) {
		require.NoError(t, p.Process.Signal(os.Interrupt))
		require.NoError(t, p.Wait())
	}
	w.fill(jobs)
	whole, err := os.ReadFile(w.store)
	require.NoError(t, err)

	begin := time.Now()
	p := w.start()
	_, err = w.text("store")
	require.NoError(t, err)
	up := time.Since(begin)
	took := w.probe(50, 2*time.Second)
	require.Greater(t, len(took), 80, "foreground jobs are served")
	left := jobs
	for until := time.Now().Add(10 * time.Minute); left > 0 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		lines, err := w.text("store")
		require.NoError(t, err)
		for _, l := range lines {
			if n, ok := strings.CutPrefix(l, "jobs\t"); ok {
				left, err = strconv.Atoi(n)
				require.NoError(t, err)
			}
		}
	}
	require.Zero(t, left)
	all, own := memory(p)
	t.Logf("%d stored jobs, a file of %d MB: up after %v, all run after %v; memory %d MB at most, %d MB of it its own at the end",
		jobs, len(whole)>>20, up.Round(time.Millisecond), time.Since(begin).Round(10*time.Millisecond), all, own)
	lines, err := w.text("show dead")
	require.NoError(t, err)
	require.Empty(t, lines)
	stop(p)

	for i := range pairs {
		for _, stored := range []bool{i%2 == 0, i%2 != 0} {
			_ = os.Remove(w.store)
			if stored {
				require.NoError(t, os.WriteFile(w.store, whole, 0o600))
			}
			p := w.start()
			_, err = w.text("store")
			require.NoError(t, err)
			time.Sleep(500 * time.Millisecond)
			took := w.probe(100, 8*time.Second)
			lines, err := w.text("store")
			require.NoError(t, err)
			t.Logf("pair %d, stored %t: %d foreground jobs, p50 %v, p99 %v; %s", i, stored, len(took), percentile(took, 0.5), percentile(took, 0.99),
				strings.Join(lines[9:], " "))
			stop(p)
		}
	}
}
