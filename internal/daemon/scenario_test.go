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

// The scenario language. The first line names the workers with their cells, and scripts. Each
// other line is a verb and who it concerns: a number is a client's
// request, a small letter a worker, a capital letter whichever worker got a task first,
// "table" discovery, "dispatcher" the daemon.
//
//	send 1 CLASS [half]        a client sends request 1, or the first half of its bytes
//	send 1 rest                ... and the rest
//	send a STATE 1             region a tells of request 1: accepted, started, running, done, failed, returned, lost
//	send a MODE                region a is from now on: normal, silent (takes bytes, says nothing), full, unfit (400),
//	                           late (connections come up after 200 ms; memory network only)
//	send table a STATE         discovery tells of region a
//	send table SILENT          open connections to discovery bring nothing any more; new ones do
//	send table DOWN|UP         discovery turns calls away, or answers them again
//	send dispatcher TERM       the daemon is told to end
//	send dispatcher START      it is started again, once it has ended, with the store that it had
//	send 1 PACKET ARGS ...     a Gearman client sends a packet, as internal/lab/conform writes it
//	expect 1 PACKET ARGS ...   ... and is sent one
//	send dispatcher HUP NAME [renamed]
//	                           ... to read its files again, which name this discovery, or are "faulty",
//	                           and may give every class another name;
//	                           "table" is this one from now on, and "old" the one before
//	send 1 raw "TEXT"          a connection of client 1 carries these bytes
//	expect 1 raw "TEXT"        ... and is answered with bytes that hold these
//	expect 1 closed            ... and ends
//	expect 1 served|refused|failed|unfit
//	expect a task 1            region a was given request 1
//	expect a cancel 1          ... and told to give it up
//	expect none                nothing has happened that no line expects
//	close 1 | a | a 1 | table  a client leaves, a region dies, one exchange is cut, discovery goes
//	wait 1s
type world struct {
	t       *testing.T
	net     network
	wire    wire
	fake    bool
	table   *table
	old     *table
	hangup  chan os.Signal
	reread  string // discovery that the files name
	renamed bool   // and they give every class another name
	workers map[string]*worker
	clients map[string]net.Conn
	bound   map[string]string
	rest    []byte
	raw     map[string]*strings.Builder // what came on raw connections; guarded by mu
	stop    context.CancelFunc
	ended   chan error
	log     *slog.Logger
	run     func()                   // starts the daemon (again)
	store   string                   // the job store's file, empty for none
	packets map[string]*conform.Conn // connections that carry packets of the conformance suite's language
	vars    conform.Vars
	most    int // connections of Gearman clients, 0 for what the settings say

	mu     sync.Mutex
	events []string
	counts map[string]int
}

// happened notes what a stand-in met.
func (w *world) happened(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := fmt.Sprintf(format, args...)
	w.events = append(w.events, e)
	w.counts[strings.Fields(e)[1]]++
}

// take finds the first event that a line expects and removes it.
func (w *world) take(who, what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, e := range w.events {
		actor, rest, _ := strings.Cut(e, " ")
		if rest != what {
			continue
		}
		if who == strings.ToUpper(who) && who != strings.ToLower(who) {
			if b, ok := w.bound[who]; ok && b != actor {
				continue
			}
			w.bound[who] = actor
		} else if actor != who {
			continue
		}
		w.events = slices.Delete(w.events, i, i+1)
		return true
	}
	return false
}

func (w *world) settle() {
	if w.fake {
		synctest.Wait()
	}
}

func (w *world) expect(line, who, what string) {
	w.settle()
	for until := time.Now().Add(5 * time.Second); !w.take(who, what); {
		if w.fake || time.Now().After(until) {
			w.mu.Lock()
			defer w.mu.Unlock()
			require.FailNow(w.t, "did not happen: "+line, "unexpected so far: %q", w.events)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (w *world) line(line string) {
	f := strings.Fields(line)
	for i, name := range f {
		if b, ok := w.bound[name]; ok && f[0] != "expect" {
			f[i] = b
		}
	}
	who := f[1]
	switch {
	case len(f) > 2 && f[0] != "wait" && w.workers[who] == nil && f[2] != "raw" && (conform.Known(f[2]) || w.packets[who] != nil):
		w.packet(line, who)
	case f[0] == "close" && w.packets[who] != nil:
		require.NoError(w.t, w.packets[who].Close(), line)
		delete(w.packets, who)
	case f[0] == "wait":
		d, err := time.ParseDuration(who)
		require.NoError(w.t, err, line)
		time.Sleep(d)
	case f[0] == "expect" && who == "none":
		w.settle()
		if !w.fake {
			time.Sleep(30 * time.Millisecond)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		require.Empty(w.t, w.events, line)
	case f[0] == "expect" && f[2] == "raw":
		w.expectRaw(line, who, quoted(w.t, line))
	case f[0] == "expect":
		w.expect(line, who, strings.Join(f[2:], " "))
	case f[0] == "send" && who == "table" && f[2] == "SILENT":
		w.table.fallSilent()
	case f[0] == "send" && who == "table" && (f[2] == "DOWN" || f[2] == "UP"):
		w.table.turnAway(f[2] == "DOWN")
	case f[0] == "send" && who == "table":
		w.table.tell(f[2], f[3])
	case f[0] == "send" && who == "old":
		w.old.tell(f[2], f[3])
	case f[0] == "send" && who == "dispatcher" && f[2] == "HUP":
		if w.reread = f[3]; f[3] != "faulty" {
			w.old, w.table = w.table, newTable(w, f[3])
		}
		w.renamed = len(f) > 4 && f[4] == "renamed"
		w.hangup <- syscall.SIGHUP
	case f[0] == "send" && who == "dispatcher" && f[2] == "START":
		w.run()
	case f[0] == "send" && who == "dispatcher":
		w.stop()
	case f[0] == "send" && w.workers[who] != nil:
		r := w.workers[who]
		if len(f) == 3 {
			r.setMode(f[2])
		} else {
			w.wire.tell(r, f[3], f[2])
		}
	case f[0] == "send" && f[2] == "raw":
		w.sendRaw(who, quoted(w.t, line))
	case f[0] == "send":
		w.request(who, f[2:])
	case f[0] == "close" && who == "table":
		w.table.close()
	case f[0] == "close" && who == "old":
		w.old.close()
	case f[0] == "close" && w.workers[who] != nil && len(f) == 3:
		w.workers[who].cut(f[2])
	case f[0] == "close" && w.workers[who] != nil:
		w.workers[who].close()
	case f[0] == "close":
		require.NoError(w.t, w.clients[who].Close(), line)
	default:
		require.FailNow(w.t, "no such line: "+line)
	}
	w.settle()
}

// packet plays a line in the conformance suite's language.
func (w *world) packet(line, who string) {
	words, err := conform.Words(line)
	require.NoError(w.t, err, line)
	n := w.packets[who]
	if n == nil {
		c, err := w.net.Dial(context.Background(), "tcp", w.wire.address())
		require.NoError(w.t, err, line)
		n = conform.NewConn(c, false)
		w.packets[who] = n
	}
	if words[0] == "send" {
		require.NoError(w.t, n.Say(words[2:], w.vars), line)
		return
	}
	w.settle()
	for until := time.Now().Add(5 * time.Second); !n.Heard(words[2:], w.vars); {
		if time.Now().After(until) {
			require.FailNow(w.t, "did not happen: "+line, "came: %v", n.Left())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (w *world) request(id string, f []string) {
	if f[0] == "rest" {
		_, err := w.clients[id].Write(w.rest)
		require.NoError(w.t, err)
		return
	}
	c, err := w.net.Dial(context.Background(), "tcp", w.wire.address())
	require.NoError(w.t, err)
	w.clients[id] = c
	data := w.wire.request(id, f[0])
	if len(f) > 1 && f[1] == "half" {
		w.rest, data = data[len(data)/2:], data[:len(data)/2]
	}
	go func() {
		if verdict, ok := w.wire.answer(c, id); ok {
			w.happened("%s %s", id, verdict)
		}
	}()
	_, err = c.Write(data)
	require.NoError(w.t, err)
}

func quoted(t *testing.T, line string) string {
	text, err := strconv.Unquote(line[strings.Index(line, `"`):])
	require.NoError(t, err, line)
	return text
}

func (w *world) sendRaw(id, text string) {
	c := w.clients[id]
	if c == nil {
		var err error
		c, err = w.net.Dial(context.Background(), "tcp", w.wire.address())
		require.NoError(w.t, err)
		b := &strings.Builder{}
		w.clients[id], w.raw[id] = c, b
		go func() {
			buf := make([]byte, 4096)
			for {
				n, err := c.Read(buf)
				w.mu.Lock()
				b.Write(buf[:n])
				w.mu.Unlock()
				if err != nil {
					w.happened("%s closed", id)
					return
				}
			}
		}()
	}
	go func() { _, _ = c.Write([]byte(text)) }() // the other side may close in the middle
}

func (w *world) expectRaw(line, id, text string) {
	w.settle()
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		w.mu.Lock()
		got := w.raw[id].String()
		w.mu.Unlock()
		if strings.Contains(got, text) {
			return
		}
		if w.fake || time.Now().After(until) {
			require.FailNow(w.t, "did not happen: "+line, "came: %q", got)
		}
	}
}

// play runs one scenario and returns how often each thing happened.
func play(t *testing.T, text string, n network, wr wire, fake bool) map[string]int {
	w := newWorld(t, n, wr, fake)
	lines := strings.Split(strings.TrimSpace(text), "\n")
	var hooks []string
	for _, name := range strings.Fields(strings.TrimPrefix(lines[0], "regions")) {
		if strings.HasSuffix(name, ".star") {
			hooks = append(hooks, name)
			continue
		}
		if name == "store" {
			w.store = filepath.Join(t.TempDir(), "jobs")
			continue
		}
		name, cell, _ := strings.Cut(name, "/")
		w.workers[name] = newWorker(w, name, cell)
	}
	w.launch(hooks)
	defer w.finish()
	for _, line := range lines[1:] {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			w.line(line)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.counts)
}

func newWorld(t *testing.T, n network, wr wire, fake bool) *world {
	return &world{t: t, net: n, wire: wr, fake: fake, counts: map[string]int{}, bound: map[string]string{},
		workers: map[string]*worker{}, clients: map[string]net.Conn{}, raw: map[string]*strings.Builder{},
		packets: map[string]*conform.Conn{}, vars: conform.Vars{}, hangup: make(chan os.Signal, 1)}
}

// launch starts the daemon, with the table and the workers that there are.
func (w *world) launch(hooks []string) {
	t := w.t
	w.table = newTable(w, "table")
	c, err := config.Parse([]byte(settings))
	require.NoError(t, err)
	c.Listen, c.Discovery = "http", "table"
	if w.log == nil {
		w.log = slog.New(slog.DiscardHandler)
	}
	d := &Daemon{Config: c, Log: w.log, Dial: w.net.Dial, Listen: w.net.Listen, ReloadSignals: w.hangup}
	w.wire.prepare(t, w, d)
	d.ReadFiles = func() (Files, error) {
		if w.reread == "faulty" {
			return Files{}, errors.New("discovery: missing")
		}
		c := *d.Config
		if w.renamed {
			other, err := config.Parse([]byte(strings.NewReplacer("price-read", "price-look", "price-fix", "price-mend").Replace(settings)))
			require.NoError(t, err)
			c.Settings, c.Names, c.Limits = other.Settings, other.Names, other.Limits
		}
		if c.Discovery = w.reread; d.Gearman == nil {
			return Files{Config: &c}, nil
		}
		g := *d.Gearman
		g.Discovery = w.reread
		return Files{Config: &c, Gearman: &g}, nil
	}
	if c.Hooks = hooks; d.Gearman != nil {
		d.Gearman.Hooks = hooks
	}
	w.run = func() {
		ctx, stop := context.WithCancel(context.Background())
		w.stop, w.ended = stop, make(chan error, 1)
		calls := w.table.called()
		go func(ended chan error) { ended <- d.Run(ctx); w.happened("dispatcher ended") }(w.ended)
		for w.settle(); w.table.called() < calls+2; w.settle() { // the daemon is up once it watches the table
			time.Sleep(time.Millisecond)
		}
	}
	w.run()
}

func (w *world) finish() {
	for _, c := range w.clients { // it would wait for those that stay
		_ = c.Close()
	}
	for _, c := range w.packets {
		_ = c.Close()
	}
	w.stop()
	require.NoError(w.t, <-w.ended)
	w.table.close()
	if w.old != nil {
		w.old.close()
	}
	for _, r := range w.workers {
		r.close()
	}
	w.settle()
}

// A file that names other classes, tenants and limits at SIGHUP changes nothing but discovery's
// address: a request that is open keeps the class it came with, and those that come are known by the
// names of the start.
func TestAReloadThatRenamesClassesChangesNothing(t *testing.T) {
	for name, wr := range map[string]func() wire{"http": func() wire { return &httpWire{} }, "gearman": func() wire { return &gearmanWire{} }} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				play(t, renaming, &memory{}, wr(), true)
			})
		})
	}
}

const renaming = `regions a/0
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
# Under the names of the file that was read again there is nothing.
send 3 price-look
wait 50ms
expect 3 unfit
expect none
`

// Each scenario is played on both fronts: on an in-memory network by a fake clock and, where
// it is short, over TCP on the loopback address by the real one. The same things must
// happen equally often.
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
			for _, wr := range []wire{&httpWire{}, &gearmanWire{}} {
				synctest.Test(t, func(t *testing.T) { counts = append(counts, play(t, string(text), &memory{}, wr, true)) })
			}
			require.Equal(t, counts[0], counts[1], "HTTP and Gearman")
			if strings.Contains(string(text), "# loopback") {
				for _, wr := range []wire{&httpWire{}, &gearmanWire{}} {
					require.Equal(t, counts[0], play(t, string(text), &loopback{}, wr, false), "loopback")
				}
			}
		})
	}
}

// What one protocol alone knows, and what is malformed in it.
func TestWireScenarios(t *testing.T) {
	for dir, wr := range map[string]func() wire{"http": func() wire { return &httpWire{} }, "gearman": func() wire { return &gearmanWire{} }} {
		files, err := filepath.Glob("testdata/" + dir + "/*.txt")
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			t.Run(dir+"/"+filepath.Base(file), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { play(t, string(text), &memory{}, wr(), true) })
			})
		}
	}
}
