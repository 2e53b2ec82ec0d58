package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// deployment is one dispatcher with the Gearman server, its discovery and its job servers.
type deployment struct {
	l                        *lab
	listen, ops, gearman     string
	store                    string
	discovery, gearmanLister *discovery
	servers                  []*jobServer
	config, gearmanConfig    string
}

// newDeployment writes the settings of a dispatcher with a job store, before two job servers of one zone.
func newDeployment(l *lab, extraGearman string, work func(function, unique, data string) time.Duration) *deployment {
	d := &deployment{l: l, listen: freeAddr(), ops: freeAddr(), gearman: freeAddr(), store: l.dir + "/jobs"}
	d.discovery = newDiscovery()
	var members []member
	for i := range 2 {
		s := newJobServer(l, fmt.Sprintf("server %d", i), work)
		d.servers = append(d.servers, s)
		members = append(members, member{fmt.Sprintf("s-0badcaf%d", i), s.addr, "agadir", i, "SERVING"})
	}
	d.gearmanLister = newDiscovery(members...)
	d.config = l.file("config.json", config("n0", d.listen, d.ops, d.discovery.addr))
	d.gearmanConfig = l.file("gearman.toml", fmt.Sprintf("listen = %q\ndiscovery = %q\n[store]\npath = %q\n%s",
		d.gearman, d.gearmanLister.addr, d.store, extraGearman))
	return d
}

// start starts a dispatcher process with the deployment's settings. An ops address other than the file's may be given.
func (d *deployment) start(name, ops string) *process {
	env := []string{"LB_CONFIG=" + d.config, "TMPDIR=" + d.l.dir}
	if ops != "" {
		env = append(env, "LB_OPS="+ops)
	}
	return d.l.start(name, env, "--gearman", d.gearmanConfig)
}

// ready reports whether the process whose operators' door is at ops takes clients.
func ready(ops string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + ops + "/_ready")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK
}

// runs returns how often a job was begun at all job servers.
func (d *deployment) runs(data string) (n int) {
	for _, s := range d.servers {
		n += s.ran(data)
	}
	return n
}

// waitReady waits until the dispatcher takes clients.
func (d *deployment) waitReady(ops string) error {
	if !waitUntil(30*time.Second, func() bool { return ready(ops) }) {
		return fmt.Errorf("not ready within 30 s")
	}
	return nil
}

func init() {
	cases["upgrade"] = upgrade
	cases["lost-state"] = lostState
}

// upgrade has an upgrade while a stored job waits for its time.
func upgrade(l *lab) error {
	d := newDeployment(l, "", func(string, string, string) time.Duration { return 100 * time.Millisecond })
	old := d.start("old process", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	client := dialGearman(l, "client", d.gearman)
	due := time.Now().Add(10 * time.Second)
	client.send(submitJobEpoch, "price-read", "fund-7", fmt.Sprint(due.Unix()), "a job at its time")
	if answer, err := client.receive(5 * time.Second); err != nil || answer.kind != jobCreated {
		return fmt.Errorf("not accepted: %v %v", answer, err)
	}
	_ = client.conn.Close()
	if l.trouble {
		ops := freeAddr()
		d.start("new process", ops)
		if err := d.waitReady(ops); err != nil {
			return err
		}
		l.log("the new process says yes")
		time.Sleep(3 * time.Second)
		old.signal(syscall.SIGTERM)
		if !old.waitEnd(6 * time.Second) {
			old.kill()
		}
	}
	waitUntil(time.Until(due)+60*time.Second, func() bool { return d.runs("a job at its time") > 0 })
	l.log("store: %s", strings.ReplaceAll(command(l, d.gearman, "store"), "\n", ", "))
	if d.runs("a job at its time") == 0 {
		client = dialGearman(l, "client", d.gearman)
		client.send(submitJobBG, "price-read", "fund-8", "a job after the upgrade")
		_, _ = client.receive(5 * time.Second)
		return broken("the job, due at %s, was not run until %.0f s after its time", due.Format(time.TimeOnly), time.Since(due).Seconds())
	}
	return nil
}

// lostState has a restart at which the state of one stored job cannot be read.
func lostState(l *lab) error {
	d := newDeployment(l, "", func(string, string, string) time.Duration { return 100 * time.Millisecond })
	p := d.start("n0", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	client := dialGearman(l, "client", d.gearman)
	due := time.Now().Add(8 * time.Second)
	client.send(submitJobEpoch, "price-read", "fund-7", fmt.Sprint(due.Unix()), "a job at its time")
	if answer, err := client.receive(5 * time.Second); err != nil || answer.kind != jobCreated {
		return fmt.Errorf("not accepted: %v %v", answer, err)
	}
	_ = client.conn.Close()
	p.signal(syscall.SIGTERM)
	if !p.waitEnd(10 * time.Second) {
		return fmt.Errorf("not ended 10 s after SIGTERM")
	}
	if l.trouble {
		data, err := os.ReadFile(d.store)
		if err != nil {
			return err
		}
		n := 0
		for at := 0; ; n++ { // one bit in the body of each copy of the state record
			i := bytes.Index(data[at:], []byte("TRJS\x01"))
			if i < 0 {
				break
			}
			at += i + 6
			data[at] ^= 1
		}
		if n == 0 {
			return fmt.Errorf("no state record in the store's file")
		}
		l.log("one bit changed in each of %d copies of state records in the store's file", n)
		if err := os.WriteFile(d.store, data, 0o600); err != nil {
			return err
		}
	}
	d.start("n0 again", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	waitUntil(time.Until(due)+40*time.Second, func() bool { return d.runs("a job at its time") > 0 })
	time.Sleep(time.Second)
	l.log("store: %s", strings.ReplaceAll(command(l, d.gearman, "store"), "\n", ", "))
	l.log("dead letters: %s", command(l, d.gearman, "show dead"))
	if d.runs("a job at its time") == 0 {
		return broken("the job of an idempotent class was not run until %.0f s after its time", time.Since(due).Seconds())
	}
	return nil
}
