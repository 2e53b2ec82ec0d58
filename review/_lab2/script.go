package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["script"] = script }

// script has a plug-in that does not end for one class.
func script(l *lab) error {
	d := newHTTPDeployment(l, 4, 100*time.Millisecond)
	file := l.file("loop.star", "def on_transaction(tx):\n    if tx.class_name == \"price-fix\":\n        max(range(1000000000000))\n")
	text := config("n0", d.listen, d.ops, d.discovery.addr)
	if l.trouble {
		text = strings.Replace(text, `"seed"`, fmt.Sprintf(`"hooks": [%q], "seed"`, file), 1)
	}
	l.file("config.json", text)
	p := d.start("n0", "")
	if !waitUntil(30*time.Second, func() bool { return ready(d.ops) }) {
		return fmt.Errorf("not ready")
	}
	lost := 0
	for _, class := range []string{"price-read", "price-fix", "price-read"} {
		status, body, took, err := submit(d.listen, class, "r-"+class+fmt.Sprint(time.Now().UnixNano()), "key", 5*time.Second, 9*time.Second)
		l.log("client: %s: status %d %q after %.3f s, %v", class, status, strings.TrimSpace(body), took.Seconds(), err)
		if err != nil || took > 5500*time.Millisecond {
			lost++
		}
	}
	p.signal(syscall.SIGTERM)
	ended := p.waitEnd(12 * time.Second)
	l.log("ended within 12 s after SIGTERM: %v", ended)
	if lost > 0 || !ended {
		return broken("%d of 3 requests got no final answer; the process ended after SIGTERM: %v", lost, ended)
	}
	return nil
}
