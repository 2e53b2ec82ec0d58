package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pushedDrain: on a site whose lists are pushed, one worker begins to drain, finishes what it has, and ends.
func pushedDrain(b *bench) {
	// The site's rules.drain_grace_s is 0.5 s and a limit on sockets is 50 ms longer. 200 ms are left for the way from
	// the dispatcher's first byte to the worker's record.
	const grace = 750 * time.Millisecond
	const drainFor = 6 * time.Second
	listen := freeAddr()
	type arrival struct {
		id, class string
		at        time.Time
	}
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	j := startJudge(func(worker, class, id, _ string) (string, time.Duration) {
		mu.Lock()
		arrivals[worker] = append(arrivals[worker], arrival{id, class, time.Now()})
		mu.Unlock()
		b.note("worker %s: %s %s arrived", worker, class, id)
		if class == "group-booking" {
			return "run", 1500 * time.Millisecond
		}
		return "run", 400 * time.Millisecond
	})
	self, err := os.Executable()
	cannotRun(err)
	workers := map[string]*proc{}
	var servers []server
	for i := range 9 {
		zone := "antwerpen"
		if i >= 5 {
			zone = "gent"
		}
		s := server{ID: fmt.Sprintf("s-%08x", 0xb00+i), Addr: freeAddr(), Zone: zone, Kind: "fast-4", Cell: 1 + i/5, State: "SERVING", Weight: 1}
		workers[s.ID] = b.startProc(s.ID, exec.Command(self, "httpworker", s.ID, s.Addr, j.addr, listen, "4"))
		servers = append(servers, s)
	}
	agent := startDiscovery(servers)
	known, _ := json.Marshal(map[string]any{"version": 41, "full": true, "servers": servers})
	path := b.writeConfig("config", listen, agent.addr, "", strings.Replace(veerSettings, "DISCOVERY", "push", 1))
	text, err := os.ReadFile(path)
	cannotRun(err)
	cannotRun(os.WriteFile(path, []byte(strings.Replace(string(text), `"seed":`, `"known":`+string(known)+`,"seed":`, 1)), 0o600))
	b.dispatcher("dispatcher", "", "LB_CONFIG="+path)
	require(waitFor(20*time.Second, func() bool { return ready(listen) }), "the dispatcher does not serve")

	stop := make(chan struct{})
	var clients sync.WaitGroup
	statusOf := map[string]int{}
	for c := range 6 { // about 10 requests a second
		clients.Go(func() {
			client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				class, key, deadline := "seat-sale", "", 5*time.Second
				if n%4 == 3 {
					class, key, deadline = "group-booking", fmt.Sprintf("key-%d-%d", c, n), 25*time.Second
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				status, _, err := sendJob(client, listen, class, id, "", key, deadline)
				mu.Lock()
				statusOf[id] = status
				mu.Unlock()
				b.note("client: %s %s answered %d %v", class, id, status, err)
			}
		})
	}
	time.Sleep(5 * time.Second)
	drained := servers[0].ID
	var told time.Time
	if b.trouble {
		agent.set(func(list []server) []server {
			list[0].State = "DRAINING"
			return list
		})
		told = time.Now()
		b.note("the agent has it that worker %s drains", drained)
		time.Sleep(drainFor)
		workers[drained].signal(syscall.SIGKILL)
		agent.set(func(list []server) []server { return list[1:] })
		b.note("the drain is over: the process of worker %s ends, and the agent has it that it is gone", drained)
		time.Sleep(4 * time.Second)
	} else {
		time.Sleep(drainFor + 4*time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, before, lost := 0, 0, 0
	for _, a := range arrivals[drained] {
		if !b.trouble || a.at.Sub(told) <= grace {
			before++
			continue
		}
		late++
		b.note("BROKEN: worker %s got %s %s %.2f s after the agent had it that it drains; its client's answer was %d", drained, a.class, a.id,
			a.at.Sub(told).Seconds(), statusOf[a.id])
		if statusOf[a.id] != 200 {
			lost++
		}
	}
	require(before > 0, "the worker got nothing before")
	agent.mu.Lock()
	b.note("the agent got %d calls", agent.calls)
	agent.mu.Unlock()
	b.note("worker %s: %d requests until the end of the grace, %d later, of which %d were not served", drained, before, late, lost)
	if late > 0 {
		exit(1)
	}
	exit(0)
}
