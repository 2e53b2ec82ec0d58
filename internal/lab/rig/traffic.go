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

// Load sends requests to a dispatcher's door, every so often, each by a client that waits for its answer,
// until the returned function is called.
func (r *Rig) Load(p *Process, every time.Duration) (end func()) {
	ctx, stop := context.WithCancel(r.ctx)
	client := &http.Client{Timeout: Deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var open sync.WaitGroup
	open.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			id := fmt.Sprintf("%s-%p-%d", p.Name, client, n)
			open.Go(func() { r.request(client, p, id) })
		}
	})
	return func() {
		stop()
		open.Wait()
		client.CloseIdleConnections()
	}
}

func (r *Rig) request(client *http.Client, p *Process, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.Listen+"/job", strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", "t")
	req.Header.Set("Req-Deadline", fmt.Sprintf("%dm", Deadline.Milliseconds()))
	r.History.add(Event{What: "sent", Who: p.Name, ID: id})
	resp, err := client.Do(req)
	if err != nil {
		r.History.add(Event{What: "lost", Who: p.Name, ID: id, Note: err.Error()})
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		r.History.add(Event{What: "lost", Who: p.Name, ID: id, Note: err.Error()})
		return
	}
	r.History.add(Event{What: "answered", Who: p.Name, ID: id, Status: resp.StatusCode, Note: string(body)})
}

// around starts what one dispatcher sees of nodes and discovery: a node has an address for each
// dispatcher, so that it knows whom to call back.
func (r *Rig) around(p *Process) (table string, err error) {
	back := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var list []string
	for n := range r.o.Nodes {
		node := fmt.Sprintf("s-%08x", n+1)
		addr, err := r.serve(node, func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Req-Id")
			_, _ = io.Copy(io.Discard, q.Body)
			if q.Method == http.MethodDelete {
				return
			}
			r.History.add(Event{What: "arrived", Who: node, ID: id})
			time.Sleep(r.o.Accept)
			w.WriteHeader(http.StatusAccepted)
			r.work.Go(func() {
				call := func(event string) {
					for range 10 {
						resp, err := back.Post("http://"+p.Listen+"/v1/job-events", "application/json", strings.NewReader(event))
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
				call(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, id, node))
				time.Sleep(r.o.Work)
				if r.ended.Add(1)%2 == 0 && r.failing.Load() {
					call(fmt.Sprintf(`{"id":%q,"from":%q,"state":"failed"}`, id, node))
				} else {
					call(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":%q}`, id, node, result(id)))
				}
			})
		})
		if err != nil {
			return "", err
		}
		list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":"k","cell":0,"state":"SERVING","weight":8,"started_ms":0}`, node, addr))
	}
	return r.serve("", func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("after") == "1" {
			wait, err := time.ParseDuration(q.URL.Query().Get("wait_ms") + "ms")
			if err != nil {
				wait = 0
			}
			select {
			case <-time.After(wait):
			case <-q.Context().Done():
			}
			_, _ = io.WriteString(w, `{"version":1,"full":false,"servers":[]}`)
			return
		}
		_, _ = fmt.Fprintf(w, `{"version":1,"full":true,"servers":[%s]}`, strings.Join(list, ","))
	})
}

// serve answers at an address; where it is a node's, its connections are written down.
func (r *Rig) serve(node string, f http.HandlerFunc) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: f, ReadHeaderTimeout: 10 * time.Second}
	if node != "" && r.o.Connections > 0 {
		s.IdleTimeout = r.idle()
		s.ConnState = func(c net.Conn, now http.ConnState) {
			r.History.add(Event{What: "connection " + now.String(), Who: node, ID: l.Addr().String() + "-" + c.RemoteAddr().String()})
		}
	}
	r.nodes = append(r.nodes, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}
