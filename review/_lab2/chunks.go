package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["chunks"] = chunks }

// chunks has many bad clients that send a large body in many small chunks, and go.
func chunks(l *lab) error {
	const bad = 100
	d := newHTTPDeployment(l, 4, 200*time.Millisecond)
	d.start("n0", "")
	if !waitUntil(30*time.Second, func() bool { return ready(d.ops) }) {
		return fmt.Errorf("not ready")
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if l.trouble {
		head := "POST /price-read HTTP/1.1\r\nHost: api.internal\r\nReq-Id: bad\r\nTransfer-Encoding: chunked\r\n\r\n"
		message := []byte(head + strings.Repeat("1\r\nx\r\n", 42_000))
		if os.Getenv("CONTROL") != "" { // as many bytes in larger chunks, for comparison
			message = []byte(head + strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 60))
		}
		for i := range bad {
			wg.Go(func() {
				time.Sleep(time.Second)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					conn, err := net.DialTimeout("tcp", d.listen, 5*time.Second)
					if err != nil {
						continue
					}
					_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
					sent, err := conn.Write(message)
					if i == 0 {
						l.log("bad client %d: sent %d of %d bytes of a body in chunks: %v", i, sent, len(message), err)
					}
					time.Sleep(500 * time.Millisecond)
					_ = conn.Close()
				}
			})
		}
	}
	const requests, deadline = 100, 5 * time.Second
	var lost, served, failed, untaken atomic.Int64
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() {
			id := fmt.Sprintf("good-%d", i)
			status, body, took, err := submit(d.listen, "price-read", id, "", deadline, deadline+5*time.Second)
			l.log("client: request %s: status %d %q after %.3f s, %v", id, status, strings.TrimSpace(body), took.Seconds(), err)
			switch {
			case errors.Is(err, errNotTaken):
				untaken.Add(1)
			case err != nil || took > deadline+500*time.Millisecond:
				lost.Add(1)
			case status == 200:
				served.Add(1)
			default:
				failed.Add(1)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	close(stop)
	wg.Wait()
	l.log("%d requests: %d served, %d refused or failed in time, %d not taken, %d with no answer within 0.5 s after their time",
		requests, served.Load(), failed.Load(), untaken.Load(), lost.Load())
	if lost.Load() > 0 {
		return broken("%d of %d requests got no final answer within half a second after their time", lost.Load(), requests)
	}
	return nil
}
