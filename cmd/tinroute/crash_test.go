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

// crashSettings defines the classes of the crash test. Their dedup windows are short, so that a restart
// falls within some windows and beyond others. DISCOVERY stands for the address of the discovery server.
const crashSettings = `{"name":"n0","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"5","limits":{"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"safe","repeat":"retryable","target_s":1,"deadline_s":2,"value":1},
 {"name":"cell","repeat":"dedup","group":"cell","memory_span_s":0.8,"target_s":1,"deadline_s":2,"value":1},
 {"name":"zone","repeat":"dedup","group":"zone","memory_span_s":2.5,"target_s":1,"deadline_s":2,"value":1},
 {"name":"unsafe","repeat":"fragile","target_s":1,"deadline_s":2,"value":1}],
"zones":["a","b"],"zone":"a","kinds":["large"],"fleet_size":1,"position":0,"discovery":"ask","tick_s":0.005,
"limits":{"max_attempts":3,"cancel":true,"second_copies":true,"dial_timeout_s":0.25,"conn_idle_s":15,"max_retry_after_s":1},
"rules":{"ask_within_s":10,"cold_from":1},"domain":{"tells_start":true}}}`

var dedupWindows = map[string]time.Duration{"cell": 800 * time.Millisecond, "zone": 2500 * time.Millisecond}

// execution is one execution of a job by a fake worker.
type execution struct {
	at     time.Time
	worker int
	done   bool // the worker has sent the result
}

// fakeWorkers is four fake job servers, in two zones of two cells each, that record their jobs. They
// delay some jobs, reset the connection during some, and reject some.
type fakeWorkers struct {
	mu         sync.Mutex
	rng        *rand.Rand
	executions map[string][]execution
}

func (f *fakeWorkers) serve(worker int, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = link.ReadMessages(conn, gearman.NewRequestFramer(), func(packet *gearman.Packet) bool {
		args, err := packet.Args(3)
		if err != nil {
			return false
		}
		key := string(args[0]) + "/" + string(args[1])
		f.mu.Lock()
		outcome, delay := f.rng.IntN(100), time.Duration(f.rng.IntN(40))*time.Millisecond
		if outcome < 4 {
			f.mu.Unlock()
			_, _ = conn.Write(gearman.Response(gearman.Error, "full", ""))
			return true
		}
		f.executions[key] = append(f.executions[key], execution{at: time.Now(), worker: worker})
		index := len(f.executions[key]) - 1
		f.mu.Unlock()
		_, _ = conn.Write(append(gearman.Response(gearman.JobCreated, "H"), gearman.Response(gearman.WorkStatus, "H", "0", "1")...))
		time.Sleep(delay)
		if outcome < 8 {
			return false // reset the connection
		}
		f.mu.Lock()
		f.executions[key][index].done = true
		f.mu.Unlock()
		_, err = conn.Write(gearman.Response(gearman.WorkComplete, "H", "r"))
		return err == nil
	})
}

// TestCrash repeatedly kills the real program at random times, while background jobs are submitted,
// sent and finished, the job store is compacted and job servers die and come back, and restarts it. No job whose JOB_CREATED was read
// may be lost, and no job may be repeated where its class forbids it. TINROUTE_KILLS sets the number of
// kills and TINROUTE_SEED the seed of their times.
func TestCrash(t *testing.T) {
	kills, seed := 8, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_KILLS")); err == nil {
		kills = n
	}
	if n, err := strconv.ParseUint(os.Getenv("TINROUTE_SEED"), 10, 64); err == nil {
		seed = n
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	workers := &fakeWorkers{rng: rand.New(rand.NewPCG(seed, 2)), executions: map[string][]execution{}}
	env := newTestEnv(t, crashSettings, "[retry]\noffers = 100\nsends = 1000\nbackoff = '50ms'\nbackoff_most = '400ms'\n", workers.serve)

	// Clients submit a job after each JOB_CREATED, and compaction is requested continuously.
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
				conn := env.dialGearman()
				if conn == nil {
					return
				}
				submit := func() (key string) {
					n++
					function, unique := classes[n%4], fmt.Sprintf("u%d-%d", i, n)
					_, _ = conn.Write(gearman.Request(gearman.SubmitJobBG, function, unique, strings.Repeat("x", 200+n%1000)))
					return function + "/" + unique
				}
				key := submit()
				_ = link.ReadMessages(conn, gearman.NewResponseFramer(), func(packet *gearman.Packet) bool {
					if packet.Type == gearman.JobCreated {
						mu.Lock()
						accepted[key] = string(packet.Body)
						mu.Unlock()
					}
					time.Sleep(10 * time.Millisecond)
					if stopped() {
						return false
					}
					key = submit()
					return true
				})
				_ = conn.Close()
			}
		})
	}
	clients.Go(func() {
		for !stopped() {
			if conn := env.dialGearman(); conn != nil {
				_, _ = conn.Write([]byte("store compact\n"))
				_, _ = bufio.NewReader(conn).ReadString('\n')
				_ = conn.Close()
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	outages := rand.New(rand.NewPCG(seed, 3))
	clients.Go(func() { // one job server at a time dies, and comes back within or after the dedup window of its cell
		for !stopped() {
			time.Sleep(time.Duration(50+outages.IntN(200)) * time.Millisecond)
			server := env.jobServers[outages.IntN(len(env.jobServers))]
			server.stop()
			time.Sleep(time.Duration(100+outages.IntN(900)) * time.Millisecond)
			if err := server.start(); err != nil {
				t.Error(err)
				return
			}
		}
	})
	cmd := env.startProgram()
	for range kills {
		if conn := env.dialGearman(); conn != nil {
			_ = conn.Close()
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		require.NoError(t, cmd.Process.Kill())
		_ = cmd.Wait()
		cmd = env.startProgram()
	}
	time.Sleep(200 * time.Millisecond)
	close(stop)
	clients.Wait()

	// The remaining jobs are run or become dead letters.
	require.Eventually(t, func() bool {
		lines, err := env.textCommand("show jobs")
		return err == nil && len(lines) == 0
	}, 60*time.Second, 50*time.Millisecond, "unfinished jobs remain")
	dead := map[string]string{}
	lines, err := env.textCommand("show dead")
	require.NoError(t, err)
	for _, l := range lines {
		fields := strings.Split(l, "\t")
		dead[fields[1]+"/"+fields[2]] = fields[3]
	}
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	require.NoError(t, cmd.Wait())
	log, err := os.ReadFile(env.logFile)
	require.NoError(t, err)
	require.NotContains(t, string(log), "panic")
	require.NotContains(t, string(log), "job store damaged")

	workers.mu.Lock()
	defer workers.mu.Unlock()
	repeated, reasons := 0, map[string]int{}
	for key, handle := range accepted {
		served := false
		for _, execution := range workers.executions[key] {
			served = served || execution.done
		}
		if reason, isDead := dead[key]; isDead {
			reasons[reason]++
		} else {
			require.True(t, served, "job %s of %s is lost; it was started %d times", handle, key, len(workers.executions[key]))
		}
	}
	for key, executions := range workers.executions {
		class, _, _ := strings.Cut(key, "/")
		if len(executions) > 1 {
			repeated++
		}
		for _, execution := range executions[1:] {
			first := executions[0]
			switch class {
			case "unsafe":
				require.Fail(t, "an unsafe job ran twice", key)
			case "cell":
				require.Equal(t, first.worker, execution.worker, "%s ran in two cells", key)
			case "zone":
				require.Equal(t, first.worker/2, execution.worker/2, "%s ran in two zones", key)
			}
			if dedupWindow := dedupWindows[class]; dedupWindow > 0 {
				require.Less(t, execution.at.Sub(first.at), dedupWindow, "%s ran again after its dedup window", key)
			}
		}
	}
	require.Greater(t, len(accepted), 20)
	t.Logf("%d kills, %d jobs accepted, %d run more than once, dead letters %v", kills, len(accepted), repeated, reasons)
}
