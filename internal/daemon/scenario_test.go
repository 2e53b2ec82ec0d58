package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/lab/conform"
)

// scenario runs a scenario. The first line of a scenario lists the workers with their cells, and
// scripts. Every other line is a verb followed by the party it applies to: a number is a client's
// request, a lowercase letter a worker, an uppercase letter the worker that is first to get an attempt,
// "table" the discovery server, and "dispatcher" the daemon.
//
//	send 1 CLASS [half]        a client sends request 1, or the first half of its bytes
//	send 1 rest                the client sends the rest
//	send a STATE 1             worker a reports on request 1: accepted, started, running, done, failed, returned, lost
//	send a MODE                worker a changes to the mode normal, silent (reads, but sends nothing), full, unfit
//	                           (answers 400) or late (connections are set up after 200 ms; memory network only)
//	send table a STATE         discovery reports a state of worker a
//	send table SILENT          open connections to discovery send nothing any more; new ones work
//	send table DOWN|UP         discovery rejects requests, or answers them again
//	send dispatcher TERM       the daemon is stopped, as by the signal
//	send dispatcher START      the daemon is started again after it has stopped, with the same job store
//	send 1 PACKET ARGS ...     a Gearman client sends a packet, in the language of internal/lab/conform
//	expect 1 PACKET ARGS ...   the client receives a packet
//	send dispatcher HUP NAME [renamed]
//	                           the daemon reloads its files, which now name this discovery server or are
//	                           "faulty", and may rename every class; from then on "table" is the new
//	                           discovery server and "old" the previous one
//	send 1 raw "TEXT"          client 1 sends these bytes on a connection
//	expect 1 raw "TEXT"        the client receives bytes that contain these
//	expect 1 closed            the connection is closed
//	expect 1 served|refused|failed|unfit
//	expect a task 1            worker a received an attempt at request 1
//	expect a cancel 1          worker a received a cancel of request 1
//	expect none                every recorded event was expected by a line
//	close 1 | a | a 1 | table  a client disconnects, worker a dies, the connection with request 1 at worker a is
//	                           closed, discovery stops
//	wait 1s
type scenario struct {
	t               *testing.T
	net             network
	protocol        protocol
	fakeClock       bool
	discovery       *fakeDiscovery
	oldDiscovery    *fakeDiscovery
	reloadSignals   chan os.Signal
	reloadDiscovery string // discovery address in the files for the next reload
	reloadRenamed   bool   // whether these files rename every class
	workers         map[string]*fakeWorker
	clients         map[string]net.Conn
	workerByLetter  map[string]string
	unsentBytes     []byte
	rawReceived     map[string]*strings.Builder // bytes received on raw connections; guarded by mu
	stopDaemon      context.CancelFunc
	daemonErr       chan error
	log             *slog.Logger
	startDaemon     func()                   // starts the daemon, also after it has stopped
	storeFile       string                   // file of the job store, empty for none
	packetConns     map[string]*conform.Conn // connections driven by the conformance suite's language
	vars            conform.Vars
	maxClientConns  int // maximum number of Gearman client connections, 0 for the default

	mu     sync.Mutex
	events []string
	counts map[string]int
}

// record records an event seen by a fake client, worker or discovery server.
func (s *scenario) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event := fmt.Sprintf(format, args...)
	s.events = append(s.events, event)
	s.counts[strings.Fields(event)[1]]++
}

// takeEvent removes the first event that matches and reports whether there was one. An uppercase letter
// matches any worker at first, and from then on the worker that matched.
func (s *scenario) takeEvent(who, what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, event := range s.events {
		actor, rest, _ := strings.Cut(event, " ")
		if rest != what {
			continue
		}
		if who == strings.ToUpper(who) && who != strings.ToLower(who) {
			if worker, ok := s.workerByLetter[who]; ok && worker != actor {
				continue
			}
			s.workerByLetter[who] = actor
		} else if actor != who {
			continue
		}
		s.events = slices.Delete(s.events, i, i+1)
		return true
	}
	return false
}

// waitIdle waits until all goroutines are blocked, on the fake clock only.
func (s *scenario) waitIdle() {
	if s.fakeClock {
		synctest.Wait()
	}
}

func (s *scenario) expectEvent(line, who, what string) {
	s.waitIdle()
	for deadline := time.Now().Add(5 * time.Second); !s.takeEvent(who, what); {
		if s.fakeClock || time.Now().After(deadline) {
			s.mu.Lock()
			defer s.mu.Unlock()
			require.FailNow(s.t, "did not happen: "+line, "unexpected so far: %q", s.events)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *scenario) runLine(line string) {
	fields := strings.Fields(line)
	for i, name := range fields {
		if worker, ok := s.workerByLetter[name]; ok && fields[0] != "expect" {
			fields[i] = worker
		}
	}
	who := fields[1]
	switch {
	case len(fields) > 2 && fields[0] != "wait" && s.workers[who] == nil && fields[2] != "raw" && (conform.IsPacketName(fields[2]) || s.packetConns[who] != nil):
		s.runPacketLine(line, who)
	case fields[0] == "close" && s.packetConns[who] != nil:
		require.NoError(s.t, s.packetConns[who].Close(), line)
		delete(s.packetConns, who)
	case fields[0] == "wait":
		d, err := time.ParseDuration(who)
		require.NoError(s.t, err, line)
		time.Sleep(d)
	case fields[0] == "expect" && who == "none":
		s.waitIdle()
		if !s.fakeClock {
			time.Sleep(30 * time.Millisecond)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		require.Empty(s.t, s.events, line)
	case fields[0] == "expect" && fields[2] == "raw":
		s.expectRaw(line, who, quotedText(s.t, line))
	case fields[0] == "expect":
		s.expectEvent(line, who, strings.Join(fields[2:], " "))
	case fields[0] == "send" && who == "table" && fields[2] == "SILENT":
		s.discovery.stopSending()
	case fields[0] == "send" && who == "table" && (fields[2] == "DOWN" || fields[2] == "UP"):
		s.discovery.setDown(fields[2] == "DOWN")
	case fields[0] == "send" && who == "table":
		s.discovery.setState(fields[2], fields[3])
	case fields[0] == "send" && who == "old":
		s.oldDiscovery.setState(fields[2], fields[3])
	case fields[0] == "send" && who == "dispatcher" && fields[2] == "HUP":
		if s.reloadDiscovery = fields[3]; fields[3] != "faulty" {
			s.oldDiscovery, s.discovery = s.discovery, newFakeDiscovery(s, fields[3])
		}
		s.reloadRenamed = len(fields) > 4 && fields[4] == "renamed"
		s.reloadSignals <- syscall.SIGHUP
	case fields[0] == "send" && who == "dispatcher" && fields[2] == "START":
		s.startDaemon()
	case fields[0] == "send" && who == "dispatcher":
		s.stopDaemon()
	case fields[0] == "send" && s.workers[who] != nil:
		w := s.workers[who]
		if len(fields) == 3 {
			w.setMode(fields[2])
		} else {
			s.protocol.report(w, fields[3], fields[2])
		}
	case fields[0] == "send" && fields[2] == "raw":
		s.sendRaw(who, quotedText(s.t, line))
	case fields[0] == "send":
		s.sendRequest(who, fields[2:])
	case fields[0] == "close" && who == "table":
		s.discovery.close()
	case fields[0] == "close" && who == "old":
		s.oldDiscovery.close()
	case fields[0] == "close" && s.workers[who] != nil && len(fields) == 3:
		s.workers[who].closeConn(fields[2])
	case fields[0] == "close" && s.workers[who] != nil:
		s.workers[who].close()
	case fields[0] == "close":
		require.NoError(s.t, s.clients[who].Close(), line)
	default:
		require.FailNow(s.t, "no such line: "+line)
	}
	s.waitIdle()
}

// runPacketLine runs a line in the conformance suite's language.
func (s *scenario) runPacketLine(line, who string) {
	words, err := conform.SplitWords(line)
	require.NoError(s.t, err, line)
	conn := s.packetConns[who]
	if conn == nil {
		c, err := s.net.Dial(context.Background(), "tcp", s.protocol.address())
		require.NoError(s.t, err, line)
		conn = conform.NewConn(c, false)
		s.packetConns[who] = conn
	}
	if words[0] == "send" {
		require.NoError(s.t, conn.Send(words[2:], s.vars), line)
		return
	}
	s.waitIdle()
	for deadline := time.Now().Add(5 * time.Second); !conn.TakeMatch(words[2:], s.vars); {
		if time.Now().After(deadline) {
			require.FailNow(s.t, "did not happen: "+line, "received: %v", conn.Unmatched())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *scenario) sendRequest(id string, fields []string) {
	if fields[0] == "rest" {
		_, err := s.clients[id].Write(s.unsentBytes)
		require.NoError(s.t, err)
		return
	}
	c, err := s.net.Dial(context.Background(), "tcp", s.protocol.address())
	require.NoError(s.t, err)
	s.clients[id] = c
	data := s.protocol.request(id, fields[0])
	if len(fields) > 1 && fields[1] == "half" {
		s.unsentBytes, data = data[len(data)/2:], data[:len(data)/2]
	}
	go func() {
		if verdict, ok := s.protocol.readAnswer(c, id); ok {
			s.record("%s %s", id, verdict)
		}
	}()
	_, err = c.Write(data)
	require.NoError(s.t, err)
}

func quotedText(t *testing.T, line string) string {
	text, err := strconv.Unquote(line[strings.Index(line, `"`):])
	require.NoError(t, err, line)
	return text
}

func (s *scenario) sendRaw(id, text string) {
	c := s.clients[id]
	if c == nil {
		var err error
		c, err = s.net.Dial(context.Background(), "tcp", s.protocol.address())
		require.NoError(s.t, err)
		received := &strings.Builder{}
		s.clients[id], s.rawReceived[id] = c, received
		go func() {
			buf := make([]byte, 4096)
			for {
				n, err := c.Read(buf)
				s.mu.Lock()
				received.Write(buf[:n])
				s.mu.Unlock()
				if err != nil {
					s.record("%s closed", id)
					return
				}
			}
		}()
	}
	go func() { _, _ = c.Write([]byte(text)) }() // fails if the daemon closes the connection during the write
}

func (s *scenario) expectRaw(line, id, text string) {
	s.waitIdle()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		got := s.rawReceived[id].String()
		s.mu.Unlock()
		if strings.Contains(got, text) {
			return
		}
		if s.fakeClock || time.Now().After(deadline) {
			require.FailNow(s.t, "did not happen: "+line, "received: %q", got)
		}
	}
}

// runScenario runs one scenario and returns the number of events of each kind.
func runScenario(t *testing.T, text string, n network, proto protocol, fakeClock bool) map[string]int {
	s := newScenario(t, n, proto, fakeClock)
	lines := strings.Split(strings.TrimSpace(text), "\n")
	var hooks []string
	for _, name := range strings.Fields(strings.TrimPrefix(lines[0], "regions")) {
		if strings.HasSuffix(name, ".star") {
			hooks = append(hooks, name)
			continue
		}
		if name == "store" {
			s.storeFile = filepath.Join(t.TempDir(), "jobs")
			continue
		}
		name, cell, _ := strings.Cut(name, "/")
		s.workers[name] = newFakeWorker(s, name, cell)
	}
	s.start(hooks)
	defer s.finish()
	for _, line := range lines[1:] {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			s.runLine(line)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

func newScenario(t *testing.T, n network, proto protocol, fakeClock bool) *scenario {
	return &scenario{t: t, net: n, protocol: proto, fakeClock: fakeClock, counts: map[string]int{}, workerByLetter: map[string]string{},
		workers: map[string]*fakeWorker{}, clients: map[string]net.Conn{}, rawReceived: map[string]*strings.Builder{},
		packetConns: map[string]*conform.Conn{}, vars: conform.Vars{}, reloadSignals: make(chan os.Signal, 1)}
}

// start starts discovery, listing the existing workers, and the daemon.
func (s *scenario) start(hooks []string) {
	t := s.t
	s.discovery = newFakeDiscovery(s, "table")
	cfg, err := config.Parse([]byte(settingsJSON))
	require.NoError(t, err)
	cfg.Listen, cfg.Discovery = "http", "table"
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	d := &Daemon{Config: cfg, Log: s.log, Dial: s.net.Dial, Listen: s.net.Listen, ReloadSignals: s.reloadSignals}
	s.protocol.configure(t, s, d)
	d.ReadFiles = func() (Files, error) {
		if s.reloadDiscovery == "faulty" {
			return Files{}, errors.New("discovery: missing")
		}
		cfg := *d.Config
		if s.reloadRenamed {
			other, err := config.Parse([]byte(strings.NewReplacer("price-read", "price-look", "price-fix", "price-mend").Replace(settingsJSON)))
			require.NoError(t, err)
			cfg.Settings, cfg.Names, cfg.Limits = other.Settings, other.Names, other.Limits
		}
		if cfg.Discovery = s.reloadDiscovery; d.Gearman == nil {
			return Files{Config: &cfg}, nil
		}
		g := *d.Gearman
		g.Discovery = s.reloadDiscovery
		return Files{Config: &cfg, Gearman: &g}, nil
	}
	if cfg.Hooks = hooks; d.Gearman != nil {
		d.Gearman.Hooks = hooks
	}
	s.startDaemon = func() {
		ctx, stop := context.WithCancel(context.Background())
		s.stopDaemon, s.daemonErr = stop, make(chan error, 1)
		calls := s.discovery.callCount()
		go func(ended chan error) { ended <- d.Run(ctx); s.record("dispatcher ended") }(s.daemonErr)
		for s.waitIdle(); s.discovery.callCount() < calls+2; s.waitIdle() { // the daemon is ready once it watches discovery
			time.Sleep(time.Millisecond)
		}
	}
	s.startDaemon()
}

func (s *scenario) finish() {
	for _, c := range s.clients { // the drain would wait for open connections
		_ = c.Close()
	}
	for _, c := range s.packetConns {
		_ = c.Close()
	}
	s.stopDaemon()
	require.NoError(s.t, <-s.daemonErr)
	s.discovery.close()
	if s.oldDiscovery != nil {
		s.oldDiscovery.close()
	}
	for _, w := range s.workers {
		w.close()
	}
	s.waitIdle()
}

// A reload of a file with other classes, tenants and limits changes only the address of discovery:
// an open request keeps its class, and new requests are matched to the classes of the first file.
func TestReloadKeepsClasses(t *testing.T) {
	for name, newProtocol := range map[string]func() protocol{"http": func() protocol { return &httpProtocol{} }, "gearman": func() protocol { return &gearmanProtocol{} }} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runScenario(t, renamedClassesScenario, &pipeNetwork{}, newProtocol(), true)
			})
		})
	}
}

const renamedClassesScenario = `regions a/0
send 1 price-fix
expect a task 1
send dispatcher HUP second renamed
wait 50ms
send a done 1
expect 1 served
send 2 price-read
expect a task 2
send a done 2
expect 2 served
# The class names of the reloaded file are unknown.
send 3 price-look
wait 50ms
expect 3 unfit
expect none
`

// Runs each scenario for both protocols, on an in-memory network with a fake clock and, if it is
// short, over TCP on the loopback interface with the real clock. The number of events of each kind
// has to be the same.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/both/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var counts []map[string]int
			for _, proto := range []protocol{&httpProtocol{}, &gearmanProtocol{}} {
				synctest.Test(t, func(t *testing.T) { counts = append(counts, runScenario(t, string(text), &pipeNetwork{}, proto, true)) })
			}
			require.Equal(t, counts[0], counts[1], "HTTP and Gearman")
			if strings.Contains(string(text), "# loopback") {
				for _, proto := range []protocol{&httpProtocol{}, &gearmanProtocol{}} {
					require.Equal(t, counts[0], runScenario(t, string(text), &loopbackNetwork{}, proto, false), "loopback")
				}
			}
		})
	}
}

// Runs the scenarios of a single protocol: its own features, and malformed input.
func TestProtocolScenarios(t *testing.T) {
	for dir, newProtocol := range map[string]func() protocol{"http": func() protocol { return &httpProtocol{} }, "gearman": func() protocol { return &gearmanProtocol{} }} {
		files, err := filepath.Glob("testdata/" + dir + "/*.txt")
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			t.Run(dir+"/"+filepath.Base(file), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runScenario(t, string(text), &pipeNetwork{}, newProtocol(), true) })
			})
		}
	}
}
