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

// fakeWorker is a fake worker that speaks the platform's protocol. It accepts each job with status
// 202 and reports the result in a callback to the dispatcher's address. Each callback uses a new
// connection, so that during an upgrade callbacks reach both processes.
type fakeWorker struct {
	name, addr     string
	forbiddenAfter atomic.Int64 // Unix nanoseconds; no request may arrive after this time; 0 if unset
	lateRequests   atomic.Int64 // number of requests that arrived later than that
	accepted       atomic.Int64
}

func startFakeWorker(t *testing.T, name, dispatcher string) *fakeWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &fakeWorker{name: name, addr: listener.Addr().String()}
	callbackClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			rw.WriteHeader(http.StatusOK)
			return
		}
		id := r.Header.Get("Req-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		if after := w.forbiddenAfter.Load(); after != 0 && time.Now().UnixNano() > after {
			w.lateRequests.Add(1)
		}
		w.accepted.Add(1)
		rw.WriteHeader(http.StatusAccepted)
		go func() {
			time.Sleep(20 * time.Millisecond)
			event := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r-%s"}`, id, name, id)
			for range 10 {
				resp, err := callbackClient.Post("http://"+dispatcher+"/v1/job-events", "application/json", strings.NewReader(event))
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
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	return w
}

func startDiscovery(t *testing.T, workers ...*fakeWorker) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var entries []string
	for _, w := range workers {
		entries = append(entries, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"agadir","kind":"large-fast","cell":0,"state":"SERVING","weight":1}`,
			w.name, w.addr))
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "" && r.URL.Query().Get("wait_ms") != "0" {
			time.Sleep(500 * time.Millisecond)
			_, _ = fmt.Fprint(rw, `{"version":1,"full":false,"servers":[]}`)
			return
		}
		_, _ = fmt.Fprintf(rw, `{"version":1,"full":true,"servers":[%s]}`, strings.Join(entries, ","))
	})}
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	return listener.Addr().String()
}

// adminRequest sends one request to the admin server.
func adminRequest(addr, method, path, body string) (int, string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: ops\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func waitReady(t *testing.T, adminAddr string) {
	require.Eventually(t, func() bool {
		code, _, _ := adminRequest(adminAddr, "GET", "/_ready", "")
		return code == 200
	}, 10*time.Second, 20*time.Millisecond, "not ready at %s", adminAddr)
}

// TestUpgrade replaces the process under load. A second process with the same addresses and $TMPDIR but
// another admin address becomes ready, then the first gets SIGTERM. Every request must get its worker's
// result and none may be dropped, a detached worker must stay detached in the new process, and the old
// process must exit before it would be killed.
func TestUpgrade(t *testing.T) {
	listen, oldAdmin, newAdmin := freeAddr(t), freeAddr(t), freeAddr(t)
	attachedWorker, detachedWorker := startFakeWorker(t, "s-00000001", listen), startFakeWorker(t, "s-00000002", listen)
	discovery := startDiscovery(t, attachedWorker, detachedWorker)
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	require.NoError(t, os.WriteFile(config, []byte(strings.NewReplacer(`"example/hooks.star"`, "").Replace(string(text))), 0o600))
	tempDir := filepath.Join(dir, "tmp")
	require.NoError(t, os.Mkdir(tempDir, 0o700))
	var logs [2]bytes.Buffer
	start := func(adminAddr string, log *bytes.Buffer) *exec.Cmd {
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+config, "LB_LISTEN="+listen,
			"LB_DISCOVERY="+discovery, "LB_OPS="+adminAddr, "TMPDIR="+tempDir)
		p.Stdout, p.Stderr = log, log
		require.NoError(t, p.Start())
		t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
		return p
	}
	oldCmd := start(oldAdmin, &logs[0])
	waitReady(t, oldAdmin)

	code, body, err := adminRequest(oldAdmin, "POST", "/_workers/detach", "s-00000009")
	require.NoError(t, err)
	require.Equal(t, 404, code, body)
	code, body, err = adminRequest(oldAdmin, "POST", "/_workers/detach", "s-00000002")
	require.NoError(t, err)
	require.Equal(t, 200, code, body)
	detachedWorker.forbiddenAfter.Store(time.Now().UnixNano())

	// Clients keep their connections open. If the connection is closed while a request is sent, they
	// resend it once on a new connection, as the platform's clients do.
	var stop atomic.Bool
	var served, refused, wrong, dropped, slowest atomic.Int64
	var wrongAnswers sync.Map
	var clients sync.WaitGroup
	var seq atomic.Int64
	for range 4 {
		clients.Go(func() {
			client := &http.Client{Timeout: 6 * time.Second}
			for !stop.Load() {
				answered := false
				for attempt := 0; attempt < 2 && !answered; attempt++ {
					id := fmt.Sprintf("%016x", seq.Add(1))
					req, _ := http.NewRequest("POST", "http://"+listen+"/price-read?k=7", strings.NewReader("fund=7"))
					req.Header.Set("Req-Id", id)
					req.Header.Set("Req-Owner", "argane-epargne")
					req.Header.Set("Req-Deadline", "5000m")
					sentAt := time.Now()
					resp, err := client.Do(req)
					if err != nil {
						continue
					}
					for took := int64(time.Since(sentAt)); ; {
						if previous := slowest.Load(); took <= previous || slowest.CompareAndSwap(previous, took) {
							break
						}
					}
					data, _ := io.ReadAll(resp.Body)
					resp.Body.Close()
					answered = true
					if resp.StatusCode == 503 { // a refusal is an answer: the client retries later
						refused.Add(1)
						time.Sleep(20 * time.Millisecond)
					} else if resp.StatusCode != 200 || string(data) != "r-"+id {
						wrong.Add(1)
						wrongAnswers.Store(fmt.Sprintf("%d %q", resp.StatusCode, data), true)
					} else {
						served.Add(1)
					}
				}
				if !answered {
					dropped.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	newCmd := start(newAdmin, &logs[1])
	waitReady(t, newAdmin)
	time.Sleep(300 * time.Millisecond) // both processes serve
	signalled := time.Now()
	require.NoError(t, oldCmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- oldCmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err, "the old process exits cleanly")
	case <-time.After(5 * time.Second):
		t.Fatalf("the old process did not exit\n%s", logs[0].String())
	}
	exitTime := time.Since(signalled)
	time.Sleep(500 * time.Millisecond)
	code, metrics, err := adminRequest(newAdmin, "GET", "/_vars", "")
	require.NoError(t, err)
	require.Equal(t, 200, code)
	var scrapes sync.WaitGroup // concurrent scrapes under load must be answered within a second
	var failedScrapes atomic.Int64
	for range 20 {
		scrapes.Go(func() {
			sentAt := time.Now()
			if code, _, err := adminRequest(newAdmin, "GET", "/_vars", ""); err != nil || code != 200 || time.Since(sentAt) > time.Second {
				failedScrapes.Add(1)
				t.Logf("scrape: %d %v after %v", code, err, time.Since(sentAt))
			}
		})
	}
	scrapes.Wait()
	require.Zero(t, failedScrapes.Load(), "scrapes that were late or failed")
	stop.Store(true)
	clients.Wait()

	require.Zero(t, dropped.Load(), "requests without an answer even after the resend")
	wrongAnswers.Range(func(k, _ any) bool { t.Log("answer: ", k); return true })
	require.Zero(t, wrong.Load(), "answers that are not the worker's result")
	require.Greater(t, served.Load(), int64(50))
	require.Less(t, time.Duration(slowest.Load()), 2*time.Second, "an answer was delayed, as by a lost callback")
	require.Zero(t, detachedWorker.lateRequests.Load(), "one of the processes sent work to the detached worker")
	require.Greater(t, attachedWorker.accepted.Load(), int64(0))
	require.Contains(t, metrics, "edge_lb.hosts_down:1|g", "the worker must stay detached in the new process\n%s", metrics)
	require.Contains(t, logs[1].String(), "adopted detached workers from the previous process")
	require.Less(t, exitTime, 3700*time.Millisecond, "the old process must exit before it would be killed")
	require.NoError(t, newCmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, newCmd.Wait())
	t.Logf("served %d, refused %d, old process ended %v after SIGTERM", served.Load(), refused.Load(), exitTime)
}
