package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// member is one entry of the list of workers.
type member struct {
	id, addr, zone string
	cell           int
	state          string
}

// discovery is a stand-in for the service that maintains the list of workers. It answers with the whole list.
type discovery struct {
	addr    string
	mu      sync.Mutex
	version int
	members []member
	changed chan struct{}
}

// newDiscovery starts a discovery service that lists the members.
func newDiscovery(members ...member) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &discovery{addr: listener.Addr().String(), version: 1, members: members, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, d) }()
	return d
}

// set replaces the list.
func (d *discovery) set(members ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.members = members
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call for the list or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		version, changed := d.version, d.changed
		var list []string
		for _, m := range d.members {
			list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":"large-fast","cell":%d,"state":%q,"weight":1.0,"started_ms":0}`,
				m.id, m.addr, m.zone, m.cell, m.state))
		}
		d.mu.Unlock()
		if err != nil || version > after {
			_, _ = fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(list, ","))
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			_, _ = fmt.Fprintf(w, `{"version":%d,"full":false,"servers":[]}`, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
