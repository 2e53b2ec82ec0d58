package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["failed-start"] = failedStart
	cases["spool"] = spoolUpgrade
}

// failedStart has an upgrade whose new process cannot listen at the Gearman address of its settings.
func failedStart(l *lab) error {
	d := newDeployment(l, "", func(string, string, string) time.Duration { return time.Second })
	var members []member
	for i := range 4 {
		n := newPriceNode(l, fmt.Sprintf("s-0badcae%x", i), d.listen, 1500*time.Millisecond)
		members = append(members, member{n.id, n.addr, "agadir", i / 2, "SERVING"})
	}
	d.discovery.set(members...)
	d.start("old process", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	if l.trouble {
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = taken.Close() }()
		old := d.gearmanConfig
		d.gearmanConfig = l.file("gearman2.toml", fmt.Sprintf("listen = %q\ndiscovery = %q\n[store]\npath = %q\n", taken.Addr(), d.gearmanLister.addr, d.store))
		d.start("new process", freeAddr())
		d.gearmanConfig = old
	}
	var lost atomic.Int64
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			id := fmt.Sprintf("nav-%d", i)
			status, _, took, err := submit(d.listen, "nav-run", id, id, 25*time.Second, 26*time.Second)
			l.log("client: request %s: status %d after %.3f s, %v", id, status, took.Seconds(), err)
			if err != nil {
				lost.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	if n := lost.Load(); n > 0 {
		return broken("%d of 40 requests got no answer", n)
	}
	return nil
}

// spoolUpgrade has an upgrade while telemetry waits on disk for its collector.
func spoolUpgrade(l *lab) error {
	d := newHTTPDeployment(l, 4, 50*time.Millisecond)
	var up atomic.Bool
	var mu sync.Mutex
	var got strings.Builder
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if !up.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mu.Lock()
			got.Write(body)
			mu.Unlock()
		}))
	}()
	file := l.file("telemetry.toml", fmt.Sprintf("endpoint = \"http://%s\"\ncompression = \"none\"\nmetrics = false\nlogs = false\n[sampling]\nrate = 10000\n[spool]\ndir = %q\nbytes = 67108864\n", listener.Addr(), l.dir+"/spool"))
	start := func(name, ops string) *process {
		env := []string{"LB_CONFIG=" + d.config, "TMPDIR=" + d.folder}
		if ops != "" {
			env = append(env, "LB_OPS="+ops)
		}
		return l.start(name, env, "--telemetry", file)
	}
	old := start("old process", "")
	if !waitUntil(30*time.Second, func() bool { return ready(d.ops) }) {
		return fmt.Errorf("not ready")
	}
	submitSome := func(from, to int) {
		for i := from; i < to; i++ {
			_, _, _, _ = submit(d.listen, "price-read", fmt.Sprintf("spooled-%04d", i), "", 5*time.Second, 6*time.Second)
		}
	}
	submitSome(0, 60)
	time.Sleep(7 * time.Second)
	if l.trouble {
		ops := freeAddr()
		start("new process", ops)
		if !waitUntil(30*time.Second, func() bool { return ready(ops) }) {
			return fmt.Errorf("not ready")
		}
		submitSome(60, 120)
		time.Sleep(3 * time.Second)
		old.signal(15)
		old.waitEnd(6 * time.Second)
	} else {
		submitSome(60, 120)
	}
	submitSome(120, 180)
	time.Sleep(7 * time.Second)
	up.Store(true)
	l.log("the collector is up")
	time.Sleep(40 * time.Second)
	mu.Lock()
	text := got.String()
	mu.Unlock()
	missing, twice := 0, 0
	for i := range 180 {
		switch n := strings.Count(text, fmt.Sprintf("spooled-%04d", i)); {
		case n == 0:
			missing++
		case n > 1:
			twice++
		}
	}
	l.log("of 180 requests, %d are in no trace that the collector got, %d more than once", missing, twice)
	if missing > 0 {
		return broken("%d", missing)
	}
	return nil
}
