package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
)

// discovery is a stand-in service table on a pipe: it answers each call by the next of its
// answers, as status and body, and keeps the paths asked for. The answer "silent" is none, "held"
// an empty change when the call's wait is over.
type discovery struct {
	mu      sync.Mutex
	answers []string // "200 {...}" or "503"
	paths   []string
	at      []time.Time // of each path
	conns   []net.Conn
}

func (d *discovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	d.mu.Lock()
	d.conns = append(d.conns, theirs)
	d.mu.Unlock()
	go d.serve(theirs)
	return ours, nil
}

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.paths, d.at = append(d.paths, req.URL.RequestURI()), append(d.at, time.Now())
		answer := "503"
		if len(d.answers) > 0 {
			answer, d.answers = d.answers[0], d.answers[1:]
		}
		d.mu.Unlock()
		switch answer {
		case "silent":
			_, _ = io.Copy(io.Discard, c)
			return
		case "held":
			ms, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
			time.Sleep(time.Duration(ms) * time.Millisecond)
			answer = `200 {"version":0,"full":false,"servers":[]}`
		}
		var status int
		var body string
		_, _ = fmt.Sscanf(answer, "%d", &status)
		if len(answer) > 4 {
			body = answer[4:]
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body); err != nil {
			return
		}
	}
}

// noRegions takes the lists and is sent nothing in these tests.
type noRegions struct{}

func (noRegions) Start(*dispatch.Task)     {}
func (noRegions) Cancel(*dispatch.Task)    {}
func (noRegions) Listed([]dispatch.Region) {}

func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}

func (d *discovery) asked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.paths...)
}

// play runs a table against a discovery with these answers for so long, and returns it.
func play(t *testing.T, d *discovery, length time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{Fleet: 1, Kinds: 1, MaxAttempts: 3, AskList: true, ConnectTimeout: 250 * time.Millisecond,
			Tick: 5 * time.Millisecond, AskWithin: 10 * time.Second,
			Classes: []balance.Class{{Name: "price-read", Deadline: 5 * time.Second, Worth: 1, Kind: -1}}}
		core, err := dispatch.New(dispatch.Options{Settings: s})
		require.NoError(t, err)
		table := NewTable(core, slog.New(slog.DiscardHandler), &config.Names{}, d.dial, "discovery")
		core.Connect(noRegions{}, table)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go core.Run(ctx)
		require.NoError(t, table.Start(nil))
		go table.Run(ctx)
		time.Sleep(length)
		synctest.Wait()
		cancel()
		synctest.Wait()
		d.close()
	})
}

const whole = `200 {"version":0,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.1:5000","state":"SERVING","weight":1}]}`

// waits are the waits, in ms, of the watches among the calls.
func (d *discovery) waits() (ms []int) {
	for _, p := range d.asked() {
		if _, wait, ok := strings.Cut(p, "wait_ms="); ok && wait != "0" {
			n, _ := strconv.Atoi(wait)
			ms = append(ms, n)
		}
	}
	return ms
}

// On a day when all watches fell silent in mid-release, each dispatcher noticed 22.5 s after it
// had opened its watch, and sent nothing to the new workers until then.
func TestTableOpensASilentWatchAnew(t *testing.T) {
	d := &discovery{answers: []string{whole, "held", "held", "silent", whole, "held", "held"}}
	play(t, d, 22*time.Second)
	require.GreaterOrEqual(t, len(d.at), 6, "calls: %q", d.paths)
	if gap := d.at[4].Sub(d.at[3]); gap > 7*time.Second {
		t.Errorf("a watch that fell silent is opened anew after %v", gap)
	}
}

// Shorter watches are more calls, which a discovery that turns callers away must not meet; and
// dispatchers whose watches end together must not come back together.
func TestTableWatchesLongerWhereDiscoveryFails(t *testing.T) {
	d := &discovery{answers: []string{whole, "503", "503", "503", "503", whole, "held", "held", "held", "held", "held", "held"}}
	play(t, d, 2*time.Minute)
	ms := d.waits()
	require.GreaterOrEqual(t, len(ms), 6, "calls: %q", d.paths)
	require.Greater(t, ms[1], 4000, "after failures: %v", ms)
	last := ms[len(ms)-1]
	require.True(t, last >= 2000 && last <= 4000, "after answers again: %v", ms)
	require.NotEqual(t, ms[len(ms)-2], last, "by lot: %v", ms)
}

// Discovery's first version may be 0. A table that took 0 for no list asked for the whole
// list again after every failure: on a day when an overbooked discovery turned callers away,
// 80 dispatchers asked it for 60 lines each, time after time, and none was told anything.
func TestTableAsksForChangesAfterVersionZero(t *testing.T) {
	d := &discovery{answers: []string{whole, "503"}} // the watch is turned away
	play(t, d, 5*time.Second)                        // the balancer asks again after a failure, within its gap
	paths := d.asked()
	require.GreaterOrEqual(t, len(paths), 3, "paths: %q", paths)
	require.Equal(t, "/api/targets", paths[0], "the first call, with no list, asks for all of it")
	require.Contains(t, paths[1], "/api/targets?after=0&wait_ms=")
	for _, p := range paths[2:] {
		require.Contains(t, p, "after=0&", "with version 0 held, later calls ask for what changed: %q", paths)
	}
}
