package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["twice"] = twice }

// twice has a script refuse a job for a while. Later its client submits it again, and an operator releases the dead
// letters.
func twice(l *lab) error {
	d := newDeployment(l, "[retry]\noffers = 2\nbackoff = \"200ms\"\n", func(string, string, string) time.Duration { return 4 * time.Second })
	open, err := os.ReadFile(d.gearmanConfig)
	if err != nil {
		return err
	}
	if l.trouble {
		script := l.file("closing.star", "def on_transaction(tx):\n    if tx.class_name == \"price-fix\":\n        return {\"refuse\": \"closing window\"}\n")
		l.file("gearman.toml", fmt.Sprintf("hooks = [%q]\n%s", script, open))
	}
	p := d.start("n0", "")
	if err := d.waitReady(d.ops); err != nil {
		return err
	}
	submitFix := func() error {
		c := dialGearman(l, "client", d.gearman)
		defer func() { _ = c.conn.Close() }()
		c.send(submitJobBG, "price-fix", "fix-7", "the correction")
		if a, err := c.receive(5 * time.Second); err != nil || a.kind != jobCreated {
			return fmt.Errorf("not accepted: %v %v", a, err)
		}
		return nil
	}
	if err := submitFix(); err != nil {
		return err
	}
	if l.trouble {
		if !waitUntil(20*time.Second, func() bool { return strings.Contains(command(l, d.gearman, "show dead"), "fix-7") }) {
			return fmt.Errorf("no dead letter")
		}
		l.log("dead letters: %s", command(l, d.gearman, "show dead"))
		l.file("gearman.toml", string(open))
		l.log("the closing window is over: the script is taken out of the settings, and the dispatcher restarted")
		p.signal(syscall.SIGTERM)
		if !p.waitEnd(10 * time.Second) {
			return fmt.Errorf("not ended 10 s after SIGTERM")
		}
		d.start("n0 again", "")
		if err := d.waitReady(d.ops); err != nil {
			return err
		}
	}
	if err := submitFix(); err != nil {
		return err
	}
	if !waitUntil(10*time.Second, func() bool { return d.runs("the correction") > 0 }) {
		return fmt.Errorf("not run")
	}
	l.log("operator: release job all: %s", command(l, d.gearman, "release job all"))
	time.Sleep(2 * time.Second)
	l.log("operator: show unique jobs: %q", command(l, d.gearman, "show unique jobs"))
	time.Sleep(10 * time.Second)
	for _, s := range d.servers {
		l.log("%s began it %d times", s.name, s.ran("the correction"))
	}
	if n := d.runs("the correction"); n != 1 {
		return broken("the job of one unique id was run %d times, as two open jobs", n)
	}
	return nil
}
