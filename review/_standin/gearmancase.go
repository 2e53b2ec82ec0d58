package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gearmanSite is a small deployment with the Gearman server and a job store on: one dispatcher, nine workers in
// processes of their own, three in each of three cells.
type gearmanSite struct {
	*bench
	listen    string
	judge     *judge
	discovery *discovery
	flags     string
	config    string
	workers   map[string]*proc
	servers   []server

	mu   sync.Mutex
	runs []run
}

// run is one run of a job at a worker.
type run struct {
	worker, function, unique, data, action string
	at                                     time.Time
}

// startGearmanSite starts everything. decide chooses what a worker does with a job; it is called under the site's lock.
func startGearmanSite(b *bench, settings string, zones []string, perCell int, kind string, functions string,
	decide func(s *gearmanSite, w server, function, unique, data string) (string, time.Duration)) *gearmanSite {
	s := &gearmanSite{bench: b, listen: freeAddr(), workers: map[string]*proc{}}
	for cell, zone := range zones {
		for i := range perCell {
			s.servers = append(s.servers, server{ID: fmt.Sprintf("s-%08x", 0xa00+cell*16+i), Addr: freeAddr(), Zone: zone, Kind: kind,
				Cell: cell + 1, State: "SERVING", Weight: 1})
		}
	}
	s.judge = startJudge(func(name, function, unique, data string) (string, time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		action, work := decide(s, s.server(name), function, unique, data)
		s.runs = append(s.runs, run{name, function, unique, data, action, time.Now()})
		b.note("worker %s (cell %d): %s %s %s -> %s", name, s.server(name).Cell, function, unique, data, action)
		return action, work
	})
	for _, w := range s.servers {
		s.startWorker(w)
	}
	s.discovery = startDiscovery(s.servers)
	s.config = b.writeConfig("config", freeAddr(), startDiscovery(nil).addr, "", settings)
	file := filepath.Join(b.tmp, "gearman.toml")
	cannotRun(os.WriteFile(file, []byte(fmt.Sprintf("listen = %q\ndiscovery = %q\n[store]\npath = %q\n%s",
		s.listen, s.discovery.addr, filepath.Join(b.tmp, "jobs"), functions)), 0o600))
	s.flags = "--gearman " + file
	return s
}

func (s *gearmanSite) server(name string) server {
	for _, w := range s.servers {
		if w.ID == name {
			return w
		}
	}
	return server{}
}

func (s *gearmanSite) startWorker(w server) {
	self, err := os.Executable()
	cannotRun(err)
	s.workers[w.ID] = s.startProc(w.ID, exec.Command(self, "worker", w.ID, w.Addr, s.judge.addr, "2"))
}

// startDispatcher starts the program and waits until it serves Gearman clients and knows its workers.
func (s *gearmanSite) startDispatcher() *proc {
	p := s.dispatcher("dispatcher", s.flags, "LB_CONFIG="+s.config)
	require(waitFor(20*time.Second, func() bool {
		lines, err := textCommand(s.listen, "workers", true, time.Second)
		return err == nil && len(lines) == len(s.servers)
	}), "the dispatcher does not serve")
	return p
}

// submitBG submits a background job on a connection and returns its handle.
func submitBG(c *gearmanClient, function, unique, data string) (string, error) {
	if err := c.submit(submitJobBG, function, unique, data); err != nil {
		return "", err
	}
	p, err := c.next(5 * time.Second)
	if err != nil {
		return "", err
	}
	if p.kind != jobCreated {
		return "", fmt.Errorf("answer %d %v", p.kind, p.args)
	}
	return p.args[0], nil
}

// idle waits until no job is open or stored, other than dead letters.
func (s *gearmanSite) idle(limit time.Duration) bool {
	return waitFor(limit, func() bool {
		lines, err := textCommand(s.listen, "show jobs", true, 2*time.Second)
		return err == nil && len(lines) == 0
	})
}

// dead returns the dead letters: function/unique to reason.
func (s *gearmanSite) dead() map[string]string {
	lines, err := textCommand(s.listen, "show dead", true, 2*time.Second)
	cannotRun(err)
	dead := map[string]string{}
	for _, l := range lines {
		if f := strings.Split(l, "\t"); len(f) > 3 {
			dead[f[1]+"/"+f[2]] = f[3]
		}
	}
	return dead
}

// zoneLoss: a zone is lost while background jobs of a deduplicated class run there.
func zoneLoss(b *bench) {
	const window = 7500 * time.Millisecond
	type memory struct {
		cell   int
		unique string
	}
	seen := map[memory]time.Time{} // the key memory of each cell
	s := startGearmanSite(b, agadirSettings, []string{"agadir", "marrakech", "casablanca"}, 3, "large-fast", "",
		func(_ *gearmanSite, w server, _, unique, _ string) (string, time.Duration) {
			m := memory{w.Cell, unique}
			if at, ok := seen[m]; ok && time.Since(at) < window {
				return "drop", 0
			}
			seen[m] = time.Now()
			return "run", 400 * time.Millisecond
		})
	s.startDispatcher()
	c, err := dialGearman(s.listen)
	cannotRun(err)
	accepted := 0
	for i := range 150 {
		handle, err := submitBG(c, "price-fix", fmt.Sprintf("fix-%d", i), "correction")
		cannotRun(err)
		accepted++
		b.note("client: fix-%d accepted as %s", i, handle)
	}
	lostZone := "casablanca"
	running := func() (n int) { // jobs that started in the zone less than 200 ms ago
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.runs {
			if s.server(r.worker).Zone == lostZone && time.Since(r.at) < 200*time.Millisecond {
				n++
			}
		}
		return n
	}
	found := waitFor(20*time.Second, func() bool { return running() >= 5 })
	require(found, "too few jobs ran in %s", lostZone)
	if b.trouble {
		for _, w := range s.servers {
			if w.Zone == lostZone {
				s.workers[w.ID].signal(syscall.SIGKILL)
			}
		}
		b.note("zone %s is lost", lostZone)
		time.Sleep(3 * time.Second)
		s.discovery.set(func([]server) []server {
			left := []server{}
			for _, w := range s.servers {
				if w.Zone != lostZone {
					left = append(left, w)
				}
			}
			return left
		})
		b.note("discovery tells that the workers of %s have gone", lostZone)
		time.Sleep(15 * time.Second)
		for i, w := range s.servers {
			if w.Zone == lostZone {
				s.startWorker(w)
				s.servers[i].Started = time.Now().UnixMilli()
			}
		}
		s.discovery.set(func([]server) []server { return s.servers })
		b.note("zone %s is back", lostZone)
	}
	require(s.idle(60*time.Second), "jobs remain open")
	b.keepLog("dispatcher")
	dead := s.dead()
	s.mu.Lock()
	defer s.mu.Unlock()
	runsOf := map[string][]run{}
	for _, r := range s.runs {
		if r.action == "run" {
			runsOf[r.unique] = append(runsOf[r.unique], r)
		}
	}
	broken := 0
	for unique, runs := range runsOf {
		if len(runs) > 1 {
			broken++
			for _, r := range runs[1:] {
				b.note("BROKEN: %s ran first in cell %d and again, %.1f s later, in cell %d", unique, s.server(runs[0].worker).Cell,
					r.at.Sub(runs[0].at).Seconds(), s.server(r.worker).Cell)
			}
		}
	}
	b.note("%d jobs accepted, %d have run, %d applied more than once, dead letters %v", accepted, len(runsOf), broken, dead)
	if broken > 0 {
		exit(1)
	}
	exit(0)
}

// resubmit: a job is submitted again, with new data, right after its end; every second time in the foreground.
func resubmit(b *bench) {
	s := startGearmanSite(b, agadirSettings, []string{"agadir", "marrakech", "casablanca"}, 3, "large-fast", "",
		func(*gearmanSite, server, string, string, string) (string, time.Duration) {
			return "run", 300 * time.Millisecond
		})
	s.startDispatcher()
	type second struct {
		unique, handle string
		at             time.Time
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var seconds []second // accepted in the background
	foreground, wrong := 0, 0
	// result waits for the final answer to a foreground job.
	result := func(c *gearmanClient, unique string) gearmanPacket {
		for {
			p, err := c.next(20 * time.Second)
			cannotRun(err)
			if p.kind != jobCreated {
				b.note("client: %s, final answer %d %q", unique, p.kind, p.args)
				return p
			}
		}
	}
	for i := range 60 {
		wg.Go(func() {
			unique := fmt.Sprintf("read-%d", i)
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			background, err := dialGearman(s.listen)
			cannotRun(err)
			waiting, err := dialGearman(s.listen)
			cannotRun(err)
			handle, err := submitBG(background, "price-read", unique, "first")
			cannotRun(err)
			cannotRun(waiting.submit(submitJob, "price-read", unique, "first"))
			if p := result(waiting, unique); p.kind != workComplete {
				return
			}
			if !b.trouble {
				time.Sleep(time.Second)
			}
			at := time.Now()
			if i%2 == 1 {
				cannotRun(waiting.submit(submitJob, "price-read", unique, "second"))
				p := result(waiting, unique)
				mu.Lock()
				defer mu.Unlock()
				foreground++
				if p.kind == workComplete && p.args[1] != "result of "+unique+" second" {
					wrong++
					b.note("BROKEN: %s was submitted again with new data after its first job had ended, and got %q", unique, p.args[1])
				}
				return
			}
			again, err := submitBG(background, "price-read", unique, "second")
			if err != nil {
				b.note("client: %s was not accepted again: %v", unique, err)
				return
			}
			b.note("client: %s accepted again as %s, first as %s", unique, again, handle)
			mu.Lock()
			defer mu.Unlock()
			seconds = append(seconds, second{unique, again, at})
		})
	}
	wg.Wait()
	require(s.idle(60*time.Second), "jobs remain open")
	time.Sleep(2 * time.Second)
	require(s.idle(60*time.Second), "jobs remain open")
	dead := s.dead()
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for _, a := range seconds {
		ran := dead["price-read/"+a.unique] != ""
		for _, r := range s.runs {
			ran = ran || r.unique == a.unique && r.at.After(a.at)
		}
		if !ran {
			lost++
			b.note("BROKEN: %s was accepted again as %s after its first job had ended, and never ran", a.unique, a.handle)
		}
	}
	b.note("after the end: %d accepted in the background, %d of them never ran; %d in the foreground, %d of them got the old data's result; dead letters %v",
		len(seconds), lost, foreground, wrong, dead)
	if lost+wrong > 0 {
		exit(1)
	}
	exit(0)
}
