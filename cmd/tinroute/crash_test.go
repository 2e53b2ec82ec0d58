package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	_ = link.Read(c, gearman.NewRequestFramer(), func(p *gearman.Packet) bool {
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
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	var servers []string
	for i := range 4 {
		l := listen()
		servers = append(servers, fmt.Sprintf(`{"id":"s-0000000%d","addr":%q,"zone":%q,"kind":"large","cell":%d,"state":"SERVING","weight":1}`,
			i, l.Addr(), "ab"[i/2:i/2+1], i))
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go f.serve(i, c)
			}
		}()
	}
	table := listen()
	go func() {
		_ = http.Serve(table, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
			if r.URL.Query().Get("after") == "1" {
				time.Sleep(time.Duration(wait) * time.Millisecond)
				_, _ = fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
				return
			}
			_, _ = fmt.Fprintf(w, `{"version":1,"full":true,"servers":[%s]}`, strings.Join(servers, ","))
		}))
	}()
	front := listen()
	addr := front.Addr().String()
	require.NoError(t, front.Close())
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	config := file("config.json", strings.ReplaceAll(crashSettings, "TABLE", table.Addr().String()))
	second := file("gearman.toml", fmt.Sprintf("listen = %q\ndiscovery = %q\n[store]\npath = %q\n[retry]\noffers = 100\nsends = 1000\nbackoff = '50ms'\nbackoff_most = '400ms'\n",
		addr, table.Addr(), filepath.Join(dir, "jobs")))
	logs, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(t, err)
	start := func() *exec.Cmd {
		p := exec.Command(os.Args[0], "-gearman", second)
		p.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+config)
		p.Stderr = logs
		require.NoError(t, p.Start())
		return p
	}
	dial := func() net.Conn {
		for until := time.Now().Add(10 * time.Second); ; time.Sleep(3 * time.Millisecond) {
			if c, err := net.Dial("tcp", addr); err == nil {
				return c
			}
			if time.Now().After(until) {
				return nil
			}
		}
	}

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
				c := dial()
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
				_ = link.Read(c, gearman.NewResponseFramer(), func(p *gearman.Packet) bool {
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
			if c := dial(); c != nil {
				_, _ = c.Write([]byte("store compact\n"))
				_, _ = bufio.NewReader(c).ReadString('\n')
				_ = c.Close()
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	p := start()
	for range kills {
		if c := dial(); c != nil {
			_ = c.Close()
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		require.NoError(t, p.Process.Kill())
		_ = p.Wait()
		p = start()
	}
	time.Sleep(200 * time.Millisecond)
	close(stop)
	clients.Wait()

	// The rest is run, or ends among the dead letters.
	text := func(command string) (lines []string, err error) {
		c := dial()
		if c == nil {
			return nil, errors.New("not to be reached")
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = c.Write([]byte(command + "\n"))
		for in := bufio.NewScanner(c); in.Scan(); {
			if in.Text() == "." {
				return lines, nil
			}
			lines = append(lines, in.Text())
		}
		return lines, errors.New("cut short")
	}
	require.Eventually(t, func() bool {
		lines, err := text("show jobs")
		return err == nil && len(lines) == 0
	}, 60*time.Second, 50*time.Millisecond, "jobs are left")
	dead := map[string]string{}
	lines, err := text("show dead")
	require.NoError(t, err)
	for _, l := range lines {
		w := strings.Split(l, "\t")
		dead[w[1]+"/"+w[2]] = w[3]
	}
	require.NoError(t, p.Process.Signal(os.Interrupt))
	require.NoError(t, p.Wait())
	log, err := os.ReadFile(logs.Name())
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
