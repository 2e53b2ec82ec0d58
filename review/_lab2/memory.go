package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

// anonymousMB returns the memory of a process without mapped files, in MB.
func anonymousMB(p *process) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n / 1024
		}
	}
	return 0
}

// memory has some clients that send much and read nothing.
func memory(l *lab) error {
	const limitMB, clients, packets = 192, 30, 250
	d := newDeployment(l, "", func(string, string, string) time.Duration { return 4 * time.Second })
	p := d.start("n0", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	c := dialGearman(l, "client", d.gearman)
	c.send(submitJob, "price-read", "fund-7", "a job that a client waits for")
	if answer, err := c.receive(5 * time.Second); err != nil || answer.kind != jobCreated {
		return fmt.Errorf("not accepted: %v %v", answer, err)
	}
	peak, killed := 0, false
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { // the platform
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mb := anonymousMB(p)
			peak = max(peak, mb)
			if mb > limitMB && !killed {
				killed = true
				l.log("platform: n0 holds %d MB, more than its %d MB", mb, limitMB)
				p.signal(syscall.SIGKILL)
			}
		}
	}()
	if l.trouble {
		data := strings.Repeat("x", 60_000)
		for i := range clients {
			go func() {
				bad := dialGearman(l, fmt.Sprintf("bad client %d", i), d.gearman)
				n := 0
				for ; n < packets; n++ {
					if _, err := bad.conn.Write(encode("REQ", echoReq, data)); err != nil {
						break
					}
				}
				l.log("bad client %d: sent %d ECHO_REQ of %d bytes and reads nothing", i, n, len(data))
				time.Sleep(3 * time.Second)
				_ = bad.conn.Close()
			}()
		}
	}
	answer, err := c.receive(12 * time.Second)
	close(stop)
	wg.Wait()
	l.log("platform: n0 held %d MB at most", peak)
	if err != nil || answer.kind != workComplete {
		return broken("an accepted job got no final answer: the platform has killed the dispatcher for its memory: %v", err)
	}
	return nil
}
