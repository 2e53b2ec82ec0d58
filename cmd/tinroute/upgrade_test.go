package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// standinWorker is a price node of the platform's protocol: it takes a job with 202 and tells its
// end by a call-back to the dispatcher's address, each on a new connection, so that during an
// upgrade call-backs reach either process.
type standinWorker struct {
	name, addr string
	after      atomic.Int64 // Unix nanoseconds from which no request may come; 0 for none
	late       atomic.Int64 // requests that came after it
	taken      atomic.Int64
}

func startWorker(t *testing.T, name, dispatcher string) *standinWorker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &standinWorker{name: name, addr: l.Addr().String()}
	back := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			rw.WriteHeader(http.StatusOK)
			return
		}
		id := r.Header.Get("Req-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		if after := w.after.Load(); after != 0 && time.Now().UnixNano() > after {
			w.late.Add(1)
		}
		w.taken.Add(1)
		rw.WriteHeader(http.StatusAccepted)
		go func() {
			time.Sleep(20 * time.Millisecond)
			event := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r-%s"}`, id, name, id)
			for range 10 {
				resp, err := back.Post("http://"+dispatcher+"/v1/job-events", "application/json", strings.NewReader(event))
				if err == nil {
					resp.Body.Close()
					if resp.StatusCode/100 == 2 {
						return
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return w
}

func startDiscovery(t *testing.T, workers ...*standinWorker) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var list []string
	for _, w := range workers {
		list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"agadir","kind":"large-fast","cell":0,"state":"SERVING","weight":1}`,
			w.name, w.addr))
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "" && r.URL.Query().Get("wait_ms") != "0" {
			time.Sleep(500 * time.Millisecond)
			_, _ = fmt.Fprint(rw, `{"version":1,"full":false,"servers":[]}`)
			return
		}
		_, _ = fmt.Fprintf(rw, `{"version":1,"full":true,"servers":[%s]}`, strings.Join(list, ","))
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// call asks the operators' door once.
func call(addr, method, path, body string) (int, string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: ops\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, string(data), err
}

func waitReady(t *testing.T, ops string) {
	require.Eventually(t, func() bool {
		code, _, _ := call(ops, "GET", "/_ready", "")
		return code == 200
	}, 10*time.Second, 20*time.Millisecond, "not ready at %s", ops)
}

// An upgrade under load: a second process at the same addresses with a new door, in the same
// $TMPDIR, says yes; the first is told to end. Every request gets its worker's result, none is
// dropped at the door, a worker out by hand stays out in the new process, and the old one exits
// by itself before it could be killed.
func TestUpgrade(t *testing.T) {
	listen, opsOld, opsNew := freeAddr(t), freeAddr(t), freeAddr(t)
	one, two := startWorker(t, "s-00000001", listen), startWorker(t, "s-00000002", listen)
	discovery := startDiscovery(t, one, two)
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	require.NoError(t, os.WriteFile(config, []byte(strings.NewReplacer(`"example/hooks.star"`, "").Replace(string(text))), 0o600))
	shared := filepath.Join(dir, "tmp")
	require.NoError(t, os.Mkdir(shared, 0o700))
	var logs [2]bytes.Buffer
	start := func(ops string, log *bytes.Buffer) *exec.Cmd {
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+config, "LB_LISTEN="+listen,
			"LB_DISCOVERY="+discovery, "LB_OPS="+ops, "TMPDIR="+shared)
		p.Stdout, p.Stderr = log, log
		require.NoError(t, p.Start())
		t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
		return p
	}
	old := start(opsOld, &logs[0])
	waitReady(t, opsOld)

	code, body, err := call(opsOld, "POST", "/_workers/detach", "s-00000009")
	require.NoError(t, err)
	require.Equal(t, 404, code, body)
	code, body, err = call(opsOld, "POST", "/_workers/detach", "s-00000002")
	require.NoError(t, err)
	require.Equal(t, 200, code, body)
	two.after.Store(time.Now().UnixNano())

	// Clients keep their connections, and resend once on a new one where a close crosses a
	// request, as the platform's clients do.
	var stop atomic.Bool
	var served, refused, wrong, dropped, slowest atomic.Int64
	var wrongs sync.Map
	var clients sync.WaitGroup
	var seq atomic.Int64
	for range 4 {
		clients.Go(func() {
			client := &http.Client{Timeout: 6 * time.Second}
			for !stop.Load() {
				ok := false
				for try := 0; try < 2 && !ok; try++ {
					id := fmt.Sprintf("%016x", seq.Add(1))
					req, _ := http.NewRequest("POST", "http://"+listen+"/price-read?k=7", strings.NewReader("fund=7"))
					req.Header.Set("Req-Id", id)
					req.Header.Set("Req-Owner", "argane-epargne")
					req.Header.Set("Req-Deadline", "5000m")
					asked := time.Now()
					resp, err := client.Do(req)
					if err != nil {
						continue
					}
					for took := int64(time.Since(asked)); ; {
						if was := slowest.Load(); took <= was || slowest.CompareAndSwap(was, took) {
							break
						}
					}
					data, _ := io.ReadAll(resp.Body)
					resp.Body.Close()
					ok = true
					if resp.StatusCode == 503 { // a refusal is an answer: the client comes back later
						refused.Add(1)
						time.Sleep(20 * time.Millisecond)
					} else if resp.StatusCode != 200 || string(data) != "r-"+id {
						wrong.Add(1)
						wrongs.Store(fmt.Sprintf("%d %q", resp.StatusCode, data), true)
					} else {
						served.Add(1)
					}
				}
				if !ok {
					dropped.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	fresh := start(opsNew, &logs[1])
	waitReady(t, opsNew)
	time.Sleep(300 * time.Millisecond) // both serve
	began := time.Now()
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- old.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err, "the old process ends cleanly")
	case <-time.After(5 * time.Second):
		t.Fatalf("the old process did not end by itself\n%s", logs[0].String())
	}
	oldTook := time.Since(began)
	time.Sleep(500 * time.Millisecond)
	code, vars, err := call(opsNew, "GET", "/_vars", "")
	require.NoError(t, err)
	require.Equal(t, 200, code)
	var scrapes sync.WaitGroup // scrapers at once, beside the load: each is answered within a second
	var slowScrape atomic.Int64
	for range 20 {
		scrapes.Go(func() {
			asked := time.Now()
			if code, _, err := call(opsNew, "GET", "/_vars", ""); err != nil || code != 200 || time.Since(asked) > time.Second {
				slowScrape.Add(1)
				t.Logf("scrape: %d %v after %v", code, err, time.Since(asked))
			}
		})
	}
	scrapes.Wait()
	require.Zero(t, slowScrape.Load(), "scrapes late or not answered")
	stop.Store(true)
	clients.Wait()

	require.Zero(t, dropped.Load(), "requests that found no answer even when sent again")
	wrongs.Range(func(k, _ any) bool { t.Log("answer: ", k); return true })
	require.Zero(t, wrong.Load(), "answers that are not the worker's result")
	require.Greater(t, served.Load(), int64(50))
	require.Less(t, time.Duration(slowest.Load()), 2*time.Second, "an answer waited, as for a call-back that went astray")
	require.Zero(t, two.late.Load(), "a worker out by hand got work after the yes, in one process or the other")
	require.Greater(t, one.taken.Load(), int64(0))
	require.Contains(t, vars, "edge_lb.hosts_down:1|g", "the new process keeps the ban\n%s", vars)
	require.Contains(t, logs[1].String(), "workers out by hand, taken over")
	require.Less(t, oldTook, 3700*time.Millisecond, "the old process must end before it could be killed")
	require.NoError(t, fresh.Process.Signal(syscall.SIGTERM))
	require.NoError(t, fresh.Wait())
	t.Logf("served %d, refused %d, old process ended %v after SIGTERM", served.Load(), refused.Load(), oldTook)
}
