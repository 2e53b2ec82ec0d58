package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["doors"] = doors }

// operate makes one call at an operators' door.
func operate(l *lab, ops, call, id string) int {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+ops+"/_workers/"+call, "text/plain", strings.NewReader(id))
	if err != nil {
		l.log("operator: %s %s at %s: %v", call, id, ops, err)
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	l.log("operator: %s %s at %s: %d", call, id, ops, r.StatusCode)
	return r.StatusCode
}

// doors has two workers detached at the doors of both processes of an upgrade at the same time.
func doors(l *lab) error {
	d := newHTTPDeployment(l, 4, 100*time.Millisecond)
	old := d.start("old process", "")
	if !waitUntil(30*time.Second, func() bool { return ready(d.ops) }) {
		return fmt.Errorf("not ready")
	}
	ops := freeAddr()
	d.start("new process", ops)
	if !waitUntil(30*time.Second, func() bool { return ready(ops) }) {
		return fmt.Errorf("not ready")
	}
	time.Sleep(time.Second)
	first, second := d.nodes[0], d.nodes[1]
	var wg sync.WaitGroup
	ok := make([]int, 2)
	wg.Go(func() { ok[0] = operate(l, d.ops, "detach", first.id) })
	if !l.trouble {
		time.Sleep(500 * time.Millisecond)
	}
	wg.Go(func() { ok[1] = operate(l, ops, "detach", second.id) })
	wg.Wait()
	if ok[0] != 200 || ok[1] != 200 {
		return fmt.Errorf("not detached: %v", ok)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, n := range d.nodes {
		n.mu.Lock()
		clear(n.begun)
		n.mu.Unlock()
	}
	l.log("1.5 s after both were detached: what the two workers get from now on is counted")
	for i := range 60 {
		if i == 20 {
			old.signal(syscall.SIGTERM)
		}
		wg.Go(func() {
			_, _, _, _ = submit(d.listen, "price-read", fmt.Sprintf("r-%d", i), "", 5*time.Second, 6*time.Second)
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	for _, n := range d.nodes {
		l.log("%s began %d jobs", n.id, len(n.begun))
	}
	if n := len(first.begun) + len(second.begun); n > 0 {
		return broken("the detached workers got %d jobs", n)
	}
	return nil
}
