package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// httpWorker is a stand-in for a worker of the platform, in a process of its own. It runs as many jobs at a time as it
// has slots, the others wait in order of arrival. It asks the judge about each job that arrives.
type httpWorker struct {
	name   string
	back   string // where it reports: the dispatcher's address
	judge  string
	room   chan struct{}
	client *http.Client

	mu   sync.Mutex
	jobs map[string]chan struct{} // by request id; closed by a DELETE
}

func runHTTPWorker(name, addr, judge, back string, slots int) error {
	w := &httpWorker{name: name, back: back, judge: judge, room: make(chan struct{}, slots),
		client: &http.Client{Timeout: 5 * time.Second}, jobs: map[string]chan struct{}{}}
	return http.ListenAndServe(addr, w)
}

// ask asks the judge what to do with a job and for how long.
func (w *httpWorker) ask(class, id, key string) (action string, work time.Duration) {
	conn, err := net.Dial("tcp", w.judge)
	if err != nil {
		return "run", 0
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%s %s %s %s\n", w.name, class, id, key)
	millis := 0
	_, _ = fmt.Fscan(conn, &action, &millis)
	return action, time.Duration(millis) * time.Millisecond
}

func (w *httpWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		id := strings.TrimPrefix(r.URL.Path, "/jobs/")
		w.mu.Lock()
		if stop := w.jobs[id]; stop != nil {
			close(stop)
			delete(w.jobs, id)
		}
		w.mu.Unlock()
		return
	}
	if r.Method != http.MethodPost { // a probe; the dispatcher sends none
		_, _ = io.WriteString(rw, "inflight=0,queue=0,util=0,x0=4\n")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id, class := r.Header.Get("Req-Id"), strings.SplitN(strings.Trim(r.URL.Path, "/"), "/", 2)[0]
	_, work := w.ask(class, id, r.Header.Get("Idempotency-Key"))
	stop := make(chan struct{})
	w.mu.Lock()
	w.jobs[id] = stop
	w.mu.Unlock()
	rw.WriteHeader(http.StatusAccepted)
	go func() {
		select {
		case w.room <- struct{}{}:
		case <-stop:
			return
		}
		defer func() { <-w.room }()
		w.tell(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, id, w.name))
		select {
		case <-time.After(work):
		case <-stop:
			return
		}
		w.mu.Lock()
		delete(w.jobs, id)
		w.mu.Unlock()
		w.tell(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"result of %s"}`, id, w.name, id))
	}()
}

// tell calls the dispatcher back, ten times at most.
func (w *httpWorker) tell(body string) {
	for range 10 {
		response, err := w.client.Post("http://"+w.back+"/v1/job-events", "application/json", bytes.NewReader([]byte(body)))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == 200 || response.StatusCode == 204 {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendJob sends one request as a client does, and returns the status and body of the answer.
func sendJob(client *http.Client, addr, class, id, owner, key string, deadline time.Duration) (int, string, error) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/"+class+"?k="+id, strings.NewReader("body of "+id))
	r.Header.Set("Req-Id", id)
	if owner != "" {
		r.Header.Set("Req-Owner", owner)
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	r.Header.Set("Req-Deadline", fmt.Sprintf("%dm", deadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	return response.StatusCode, string(body), err
}

// ready reports whether a dispatcher answers its readiness check with 200.
func ready(addr string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
