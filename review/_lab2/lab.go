// Command lab2 runs the cases 6 to 10 of the review, and some faults that the report lists beside them. Each case starts the project's own program as a separate
// process with the command of the deploy file, and plays the clients, the servers and the platform itself, on
// loopback addresses.
//
//	lab2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errBroken is returned by a case when the rule was broken.
var errBroken = errors.New("the rule was broken")

// lab is what a case works with.
type lab struct {
	trouble bool
	dir     string // temporary folder
	run     string // the deploy file's command that starts one dispatcher
	started time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// cases are the cases by their numbers.
var cases = map[string]func(*lab) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs one case and returns its exit code.
func runCase(f func(*lab) error, folder string) int {
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = l.record.Close() }()
	if l.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(l.dir) }()
	defer l.killAll()
	done := make(chan error, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- fmt.Errorf("could not run: %v", p)
			}
		}()
		deploy, err := os.ReadFile("deploy/balancer.toml")
		if err != nil {
			done <- err
			return
		}
		command := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
		if command == nil {
			done <- errors.New("no run in the deploy file")
			return
		}
		l.run = string(command[1])
		done <- f(l)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		err = fmt.Errorf("stopped by signal %v", s)
	case err = <-done:
	case <-time.After(110 * time.Second):
		err = errors.New("not finished after 110 s")
	}
	switch {
	case err == nil:
		l.log("verdict: the rule held")
		return 0
	case errors.Is(err, errBroken):
		l.log("verdict: %v", err)
		return 1
	}
	l.log("verdict: the case could not run: %v", err)
	return 2
}

// log writes one line to the record.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		_, _ = os.Stderr.WriteString(line)
	}
}

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// process is a process of the project's program.
type process struct {
	l      *lab
	name   string
	cmd    *exec.Cmd
	output bytes.Buffer
	mu     sync.Mutex
	ended  chan struct{}
}

// Write collects the process's log.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(data)
}

// logText returns what the process has logged.
func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// start starts a dispatcher with the deploy file's command and further arguments.
func (l *lab) start(name string, env []string, args ...string) *process {
	p := &process{l: l, name: name, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", l.run+" "+strings.Join(args, " "))
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		panic(err)
	}
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.log("%s: started as process %d", name, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		l.log("%s: ended: %v", name, err)
		close(p.ended)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.l.log("%s: gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// waitEnd waits for the process's end and reports whether it came in time.
func (p *process) waitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// killAll ends all processes that still run and adds their logs to the record.
func (l *lab) killAll() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	for _, p := range procs {
		lines := strings.Split(strings.TrimSpace(p.logText()), "\n")
		if len(lines) > 60 {
			lines = append(append(lines[:30:30], "..."), lines[len(lines)-30:]...)
		}
		l.log("log of %s:\n    %s", p.name, strings.ReplaceAll(strings.Join(lines, "\n    "), l.dir, "FOLDER"))
	}
}

// freeAddr returns a loopback address on which nothing listens. Each run has an IP address of its own, and the ports
// are outside those that the system gives out.
func freeAddr() string {
	pid := os.Getpid()
	for port := 17000; port < 32000; port++ {
		portsMu.Lock()
		taken := ports[port]
		ports[port] = true
		portsMu.Unlock()
		if taken {
			continue
		}
		addr := fmt.Sprintf("127.10.%d.%d:%d", 1+pid/250%250, 2+pid%250, port)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	panic("no free port")
}

var (
	portsMu sync.Mutex
	ports   = map[int]bool{}
)

// file writes a file into the temporary folder and returns its path.
func (l *lab) file(name, text string) string {
	path := filepath.Join(l.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return path
}

// waitUntil waits until f returns true and reports whether it did in time.
func waitUntil(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// settings is the settings object of a small deployment. It is that of the project's example.
const settings = `{
    "position": 0, "fleet_size": 1, "tick_s": 0.005, "discovery": "ask", "weights": "rough", "counted_by": "work",
    "zone": "agadir", "zones": ["agadir"], "kinds": ["large-fast"],
    "accounts": [{"name": "argane-epargne", "quota_rps": 21}, {"name": "souss-actions", "quota_rps": 4}],
    "classes": [
      {"name": "price-read", "repeat": "retryable", "group": "all", "memory_span_s": 5, "target_s": 0.2, "deadline_s": 5, "value": 1, "late_worth": 0.25},
      {"name": "price-fix", "repeat": "dedup", "group": "cell", "memory_span_s": 7.5, "target_s": 0.2, "deadline_s": 5, "value": 2, "late_worth": 0.25},
      {"name": "nav-run", "repeat": "dedup", "group": "zone", "memory_span_s": 40, "target_s": 0.75, "deadline_s": 25, "value": 2, "late_worth": 0.5}
    ],
    "domain": {"tells_start": true, "progress_s": 1.0, "class_stretch": [2.5, 1.75, 1.75]},
    "limits": {"max_attempts": 3, "cancel": true, "second_copies": true, "dial_timeout_s": 0.25, "conn_idle_s": 15, "max_retry_after_s": 2, "max_open": 20000},
    "rules": {"ask_within_s": 10, "cold_from": 0.33, "warm_up_s": 8.8, "overload_factor": 2.5, "fall_s": 1, "drain_grace_s": 1}
  }`

// config returns the text of a dispatcher's configuration.
func config(name, listen, ops, discovery string) string {
	return fmt.Sprintf(`{"name": %q, "listen": %q, "ops": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": %s}`, name, listen, ops, discovery, settings)
}
