package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/gearman"
	"tinroute.example/tinroute/internal/link"
)

// The classes of the crash test: their spans are short, so that a restart falls inside some and
// outside others.
const crashSettings = `{"name":"n0","listen":"127.0.0.1:0","discovery":"TABLE","seed":"5","limits":{"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"safe","repeat":"retryable","target_s":1,"deadline_s":2,"value":1},
 {"name":"cell","repeat":"dedup","group":"cell","memory_span_s":0.8,"target_s":1,"deadline_s":2,"value":1},
 {"name":"zone","repeat":"dedup","group":"zone","memory_span_s":2.5,"target_s":1,"deadline_s":2,"value":1},
 {"name":"unsafe","repeat":"fragile","target_s":1,"deadline_s":2,"value":1}],
"zones":["a","b"],"zone":"a","kinds":["large"],"fleet_size":1,"position":0,"discovery":"ask","tick_s":0.005,
"limits":{"max_attempts":3,"cancel":true,"second_copies":true,"dial_timeout_s":0.25,"conn_idle_s":15,"max_retry_after_s":1},
"rules":{"ask_within_s":10,"cold_from":1},"domain":{"tells_start":true}}}`

var spans = map[string]time.Duration{"cell": 800 * time.Millisecond, "zone": 2500 * time.Millisecond}

// ran is one execution at a stand-in region.
type ran struct {
	at     time.Time
	region int
	done   bool // it answered with the result
}

// fleet is four job servers, two zones of two cells, which note what they are given. Some jobs
// are slow, some are cut off, some turned away.
type crashFleet struct {
	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string][]ran
}

func (f *crashFleet) serve(region int, c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = link.ReadMessages(c, gearman.NewRequestFramer(), func(p *gearman.Packet) bool {
		args, err := p.Args(3)
		if err != nil {
			return false
		}
		key := string(args[0]) + "/" + string(args[1])
		f.mu.Lock()
		fate, nap := f.rng.IntN(100), time.Duration(f.rng.IntN(40))*time.Millisecond
		if fate < 4 {
			f.mu.Unlock()
			_, _ = c.Write(gearman.Response(gearman.Error, "full", ""))
			return true
		}
		f.runs[key] = append(f.runs[key], ran{at: time.Now(), region: region})
		n := len(f.runs[key]) - 1
		f.mu.Unlock()
		_, _ = c.Write(append(gearman.Response(gearman.JobCreated, "H"), gearman.Response(gearman.WorkStatus, "H", "0", "1")...))
		time.Sleep(nap)
		if fate < 8 {
			return false // reset
		}
		f.mu.Lock()
		f.runs[key][n].done = true
		f.mu.Unlock()
		_, err = c.Write(gearman.Response(gearman.WorkComplete, "H", "r"))
		return err == nil
	})
}

// TestCrash kills the real program at random instants while background jobs are submitted, sent
// and finished and its store is compacted, and starts it again each time. No job whose
// JOB_CREATED was read may be lost, and none may be repeated where its class forbids it.
// TINROUTE_KILLS sets how often; TINROUTE_SEED the instants.
func TestCrash(t *testing.T) {
	kills, seed := 8, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_KILLS")); err == nil {
		kills = n
	}
	if n, err := strconv.ParseUint(os.Getenv("TINROUTE_SEED"), 10, 64); err == nil {
		seed = n
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &crashFleet{rng: rand.New(rand.NewPCG(seed, 2)), runs: map[string][]ran{}}
	w := newShop(t, crashSettings, "[retry]\noffers = 100\nsends = 1000\nbackoff = '50ms'\nbackoff_most = '400ms'\n", f.serve)

	// Clients submit as fast as JOB_CREATED comes, and compaction is asked for all the time.
	accepted, mu := map[string]string{}, sync.Mutex{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	classes := []string{"safe", "cell", "zone", "unsafe"}
	for i := range 8 {
		clients.Go(func() {
			for n := 0; !stopped(); {
				c := w.dial()
				if c == nil {
					return
				}
				submit := func() (key string) {
					n++
					function, unique := classes[n%4], fmt.Sprintf("u%d-%d", i, n)
					_, _ = c.Write(gearman.Request(gearman.SubmitJobBG, function, unique, strings.Repeat("x", 200+n%1000)))
					return function + "/" + unique
				}
				key := submit()
				_ = link.ReadMessages(c, gearman.NewResponseFramer(), func(p *gearman.Packet) bool {
					if p.Type == gearman.JobCreated {
						mu.Lock()
						accepted[key] = string(p.Body)
						mu.Unlock()
					}
					time.Sleep(10 * time.Millisecond)
					if stopped() {
						return false
					}
					key = submit()
					return true
				})
				_ = c.Close()
			}
		})
	}
	clients.Go(func() {
		for !stopped() {
			if c := w.dial(); c != nil {
				_, _ = c.Write([]byte("store compact\n"))
				_, _ = bufio.NewReader(c).ReadString('\n')
				_ = c.Close()
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	p := w.start()
	for range kills {
		if c := w.dial(); c != nil {
			_ = c.Close()
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		require.NoError(t, p.Process.Kill())
		_ = p.Wait()
		p = w.start()
	}
	time.Sleep(200 * time.Millisecond)
	close(stop)
	clients.Wait()

	// The rest is run, or ends among the dead letters.
	require.Eventually(t, func() bool {
		lines, err := w.text("show jobs")
		return err == nil && len(lines) == 0
	}, 60*time.Second, 50*time.Millisecond, "jobs are left")
	dead := map[string]string{}
	lines, err := w.text("show dead")
	require.NoError(t, err)
	for _, l := range lines {
		w := strings.Split(l, "\t")
		dead[w[1]+"/"+w[2]] = w[3]
	}
	require.NoError(t, p.Process.Signal(os.Interrupt))
	require.NoError(t, p.Wait())
	log, err := os.ReadFile(w.log)
	require.NoError(t, err)
	require.NotContains(t, string(log), "panic")
	require.NotContains(t, string(log), "job store damaged")

	f.mu.Lock()
	defer f.mu.Unlock()
	repeated, reasons := 0, map[string]int{}
	for key, handle := range accepted {
		served := false
		for _, r := range f.runs[key] {
			served = served || r.done
		}
		if reason, isDead := dead[key]; isDead {
			reasons[reason]++
		} else {
			require.True(t, served, "job %s of %s is lost: it ran %d times", handle, key, len(f.runs[key]))
		}
	}
	for key, runs := range f.runs {
		class, _, _ := strings.Cut(key, "/")
		if len(runs) > 1 {
			repeated++
		}
		for _, r := range runs[1:] {
			first := runs[0]
			switch class {
			case "unsafe":
				require.Fail(t, "an unsafe job ran twice", key)
			case "cell":
				require.Equal(t, first.region, r.region, "%s ran in two cells", key)
			case "zone":
				require.Equal(t, first.region/2, r.region/2, "%s ran in two zones", key)
			}
			if span := spans[class]; span > 0 {
				require.Less(t, r.at.Sub(first.at), span, "%s ran again after its span", key)
			}
		}
	}
	require.Greater(t, len(accepted), 20)
	t.Logf("%d kills, %d jobs accepted, %d run more than once, dead letters %v", kills, len(accepted), repeated, reasons)
}
