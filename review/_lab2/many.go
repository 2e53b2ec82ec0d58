package main

import (
	"fmt"
	"time"
)

func init() { cases["many"] = many }

// many has a client that waits for some jobs send many more commands at once, while it reads every answer.
func many(l *lab) error {
	d := newDeployment(l, "", func(string, string, string) time.Duration { return 1500 * time.Millisecond })
	d.start("n0", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	const waiting, queued = 4, 600
	c := dialGearman(l, "client", d.gearman)
	for i := range waiting {
		c.send(submitJob, "price-read", fmt.Sprintf("waiting-%d", i), fmt.Sprintf("waiting job %d", i))
	}
	for range waiting {
		if p, err := c.receive(5 * time.Second); err != nil || p.kind != jobCreated {
			return fmt.Errorf("a waiting job was not accepted: %v %v", p, err)
		}
	}
	go func() {
		var all []byte
		for i := range queued {
			packet := encode("REQ", submitJobBG, "price-read", fmt.Sprintf("queued-%d", i), fmt.Sprintf("queued job %d", i))
			if l.trouble {
				all = append(all, packet...)
				continue
			}
			if _, err := c.conn.Write(packet); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		if l.trouble {
			n, err := c.conn.Write(all)
			l.log("client: sent %d SUBMIT_JOB_BG, %d bytes, at once: %v", queued, n, err)
		}
	}()
	answered, created := 0, 0
	for end := time.Now().Add(20 * time.Second); answered < waiting || created < queued; {
		_ = c.conn.SetReadDeadline(end)
		p, err := readPacket(c.r)
		if err != nil {
			l.log("client: read: %v after %d JOB_CREATED of queued jobs and %d answers of waiting jobs", err, created, answered)
			break
		}
		switch p.kind {
		case jobCreated:
			created++
		case workComplete, workFail:
			l.log("client: got %v", p)
			answered++
		case workStatus:
		default:
			l.log("client: got %v", p)
		}
	}
	l.log("%d of %d queued jobs were accepted and %d of %d waiting jobs answered", created, queued, answered, waiting)
	if answered < waiting {
		return broken("%d of %d accepted jobs got no final answer, since the dispatcher closed the connection", waiting-answered, waiting)
	}
	return nil
}
