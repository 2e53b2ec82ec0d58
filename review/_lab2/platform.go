package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// priceNode is a stand-in for a worker of the platform's protocol. It answers 202, runs the job for a time and
// reports its start and its end to the dispatcher.
type priceNode struct {
	l              *lab
	id, addr, back string
	work           time.Duration
	client         *http.Client

	mu      sync.Mutex
	cancels map[string]chan struct{}
	begun   map[string]int
}

// newPriceNode starts a worker that calls the dispatcher back at an address.
func newPriceNode(l *lab, id, back string, work time.Duration) *priceNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	n := &priceNode{l: l, id: id, addr: listener.Addr().String(), back: back, work: work, cancels: map[string]chan struct{}{}, begun: map[string]int{},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	go func() { _ = http.Serve(listener, n) }()
	return n
}

// ServeHTTP takes or cancels a job.
func (n *priceNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if id, ok := strings.CutPrefix(r.URL.Path, "/jobs/"); ok && r.Method == http.MethodDelete {
		n.mu.Lock()
		if stop := n.cancels[id]; stop != nil {
			close(stop)
			delete(n.cancels, id)
		}
		n.mu.Unlock()
		n.l.log("%s: job %s given up by the dispatcher", n.id, id)
		return
	}
	id := r.Header.Get("Req-Id")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	stop := make(chan struct{})
	n.mu.Lock()
	n.cancels[id] = stop
	n.begun[id]++
	n.mu.Unlock()
	n.l.log("%s: begins job %s", n.id, id)
	w.WriteHeader(http.StatusAccepted)
	go func() {
		n.report(map[string]any{"id": id, "state": "started"})
		select {
		case <-stop:
			return
		case <-time.After(n.work):
		}
		n.mu.Lock()
		delete(n.cancels, id)
		n.mu.Unlock()
		n.report(map[string]any{"id": id, "state": "done", "result": "result of " + id})
	}()
}

// report makes one call-back, ten times at most.
func (n *priceNode) report(event map[string]any) {
	event["from"] = n.id
	body, _ := json.Marshal(event)
	for range 10 {
		r, err := n.client.Post("http://"+n.back+"/v1/job-events", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == 200 || r.StatusCode == 204 {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	n.l.log("%s: call-back %s never answered", n.id, body)
}

// httpDeployment is a dispatcher with its discovery and its workers.
type httpDeployment struct {
	l              *lab
	listen, ops    string
	discovery      *discovery
	nodes          []*priceNode
	config, folder string
}

// newHTTPDeployment writes the settings of a dispatcher before some workers.
func newHTTPDeployment(l *lab, nodes int, work time.Duration) *httpDeployment {
	d := &httpDeployment{l: l, listen: freeAddr(), ops: freeAddr(), folder: l.dir}
	var members []member
	for i := range nodes {
		n := newPriceNode(l, fmt.Sprintf("s-0badcaf%x", i), d.listen, work)
		d.nodes = append(d.nodes, n)
		members = append(members, member{n.id, n.addr, "agadir", i / 2, "SERVING"})
	}
	d.discovery = newDiscovery(members...)
	d.config = l.file("config.json", config("n0", d.listen, d.ops, d.discovery.addr))
	return d
}

// start starts a dispatcher process.
func (d *httpDeployment) start(name, ops string) *process {
	env := []string{"LB_CONFIG=" + d.config, "TMPDIR=" + d.folder}
	if ops != "" {
		env = append(env, "LB_OPS="+ops)
	}
	return d.l.start(name, env)
}

// errNotTaken is returned by submit for a request whose last byte was not written.
var errNotTaken = errors.New("not written to the dispatcher")

// submit sends one request on a connection of its own and waits for the whole answer until limit after its last
// byte. It returns the status, and how long after that byte the answer was complete.
func submit(addr, class, id, key string, deadline, limit time.Duration) (status int, body string, took time.Duration, err error) {
	conn, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return 0, "", 0, fmt.Errorf("%w: %w", errNotTaken, err)
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: argane-epargne\r\nReq-Deadline: %dm\r\n", class, id, deadline.Milliseconds())
	if key != "" {
		head += "Idempotency-Key: " + key + "\r\n"
	}
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(limit))
	if _, err = conn.Write([]byte(head + "Content-Length: 6\r\n\r\nfund=7")); err != nil {
		return 0, "", time.Since(sent), fmt.Errorf("%w: %w", errNotTaken, err)
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", time.Since(sent), err
	}
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, string(data), time.Since(sent), err
}
