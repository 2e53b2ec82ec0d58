package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["salvage"] = salvage }

// salvage has a start with a truncated store, which is killed while it saves what is readable.
func salvage(l *lab) error {
	d := newDeployment(l, "", func(string, string, string) time.Duration { return 100 * time.Millisecond })
	p := d.start("n0", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	const jobs = 100_000
	due := fmt.Sprint(time.Now().Add(time.Hour).Unix())
	accepted := make(chan int)
	const clients = 20
	for k := range clients {
		go func() {
			c := dialGearman(l, "client", d.gearman)
			defer func() { _ = c.conn.Close() }()
			n := 0
			const window = 100
			sent := 0
			for n < jobs/clients {
				var all []byte
				for ; sent < min(n+window, jobs/clients); sent++ {
					all = append(all, encode("REQ", submitJobEpoch, "price-read", "", due, strings.Repeat("x", 100)+fmt.Sprint(k, ".", sent))...)
				}
				if _, err := c.conn.Write(all); err != nil {
					break
				}
				_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
				answer, err := readPacket(c.r)
				if err != nil || answer.kind != jobCreated {
					l.log("client: %v %v", answer, err)
					break
				}
				n++
			}
			accepted <- n
		}()
	}
	total := 0
	for range clients {
		total += <-accepted
	}
	l.log("%d jobs accepted, due in an hour", total)
	if total < jobs {
		return fmt.Errorf("%d of %d jobs accepted", total, jobs)
	}
	p.signal(syscall.SIGTERM)
	if !p.waitEnd(10 * time.Second) {
		return fmt.Errorf("not ended 10 s after SIGTERM")
	}
	info, err := os.Stat(d.store)
	if err != nil {
		return err
	}
	if err := os.Truncate(d.store, info.Size()*9/10); err != nil {
		return err
	}
	l.log("the store's file truncated from %d to %d bytes", info.Size(), info.Size()*9/10)
	text, err := os.ReadFile(d.store)
	if err != nil {
		return err
	}
	readable := strings.Count(string(text), "TRJJ\x01")
	l.log("%d job records lie in the file's bytes", readable)
	p = d.start("n0 again", "")
	if l.trouble {
		if !waitUntil(20*time.Second, func() bool { _, err := os.Stat(d.store + ".damaged"); return err == nil }) {
			return fmt.Errorf("no salvage was begun")
		}
		time.Sleep(100 * time.Millisecond)
		p.kill()
		d.start("n0 third", "")
	}
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	dead, stored := storeValue(l, d.gearman, "dead"), storeValue(l, d.gearman, "jobs")
	l.log("store: %d jobs, %d dead letters", stored, dead)
	if dead < readable*99/100 {
		return broken("%d of %d job records that lie in the damaged file did not come back", readable-dead, readable)
	}
	return nil
}
