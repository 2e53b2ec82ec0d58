package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// StartLoad sends a request to a dispatcher at every interval until stop is called. Requests do not wait for the
// answers to earlier ones.
func (r *Rig) StartLoad(p *Process, interval time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	client := &http.Client{Timeout: RequestDeadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var inFlight sync.WaitGroup
	inFlight.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			id := fmt.Sprintf("%s-%p-%d", p.Name, client, n)
			inFlight.Go(func() { r.sendRequest(client, p, id) })
		}
	})
	return func() {
		cancel()
		inFlight.Wait()
		client.CloseIdleConnections()
	}
}

func (r *Rig) sendRequest(client *http.Client, p *Process, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.Listen+"/job", strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", "t")
	req.Header.Set("Req-Deadline", fmt.Sprintf("%dm", RequestDeadline.Milliseconds()))
	r.History.add(Event{Kind: "sent", Name: p.Name, ID: id})
	resp, err := client.Do(req)
	if err != nil {
		r.History.add(Event{Kind: "lost", Name: p.Name, ID: id, Note: err.Error()})
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		r.History.add(Event{Kind: "lost", Name: p.Name, ID: id, Note: err.Error()})
		return
	}
	r.History.add(Event{Kind: "answered", Name: p.Name, ID: id, Status: resp.StatusCode, Note: string(body)})
}

// startEnvironment starts the nodes and discovery as one dispatcher sees them. Each node has a separate address for
// each dispatcher, so that it knows which dispatcher to call back.
func (r *Rig) startEnvironment(p *Process) (discoveryAddr string, err error) {
	callback := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var members []string
	for n := range r.opts.Nodes {
		node := fmt.Sprintf("s-%08x", n+1)
		addr, err := r.startServer(node, func(w http.ResponseWriter, req *http.Request) {
			id := req.Header.Get("Req-Id")
			_, _ = io.Copy(io.Discard, req.Body)
			if req.Method == http.MethodDelete {
				return
			}
			r.History.add(Event{Kind: "arrived", Name: node, ID: id})
			time.Sleep(r.opts.AcceptDelay)
			w.WriteHeader(http.StatusAccepted)
			r.background.Go(func() {
				sendEvent := func(event string) {
					for range 10 {
						resp, err := callback.Post("http://"+p.Listen+"/v1/job-events", "application/json", strings.NewReader(event))
						if err == nil {
							_ = resp.Body.Close()
							return
						}
						select {
						case <-r.ctx.Done():
							return
						case <-time.After(50 * time.Millisecond):
						}
					}
				}
				sendEvent(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, id, node))
				time.Sleep(r.opts.JobDuration)
				if r.jobsEnded.Add(1)%2 == 0 && r.jobsFailing.Load() {
					sendEvent(fmt.Sprintf(`{"id":%q,"from":%q,"state":"failed"}`, id, node))
				} else {
					sendEvent(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":%q}`, id, node, expectedResult(id)))
				}
			})
		})
		if err != nil {
			return "", err
		}
		members = append(members, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":"k","cell":0,"state":"SERVING","weight":8,"started_ms":0}`, node, addr))
	}
	return r.startServer("", func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("after") == "1" {
			wait, err := time.ParseDuration(req.URL.Query().Get("wait_ms") + "ms")
			if err != nil {
				wait = 0
			}
			select {
			case <-time.After(wait):
			case <-req.Context().Done():
			}
			_, _ = io.WriteString(w, `{"version":1,"full":false,"servers":[]}`)
			return
		}
		_, _ = fmt.Fprintf(w, `{"version":1,"full":true,"servers":[%s]}`, strings.Join(members, ","))
	})
}

// startServer starts an HTTP server. The parameter node is empty for discovery. With a connection budget, the server of
// a node records the states of its connections.
func (r *Rig) startServer(node string, handler http.HandlerFunc) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if node != "" && r.opts.ConnectionBudget > 0 {
		server.IdleTimeout = r.idleTimeout()
		server.ConnState = func(c net.Conn, state http.ConnState) {
			r.History.add(Event{Kind: "connection " + state.String(), Name: node, ID: listener.Addr().String() + "-" + c.RemoteAddr().String()})
		}
	}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
