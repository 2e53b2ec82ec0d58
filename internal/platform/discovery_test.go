package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
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

// discovery is a stand-in discovery on a pipe: it answers each call by the next of its
// answers, as status and body, and keeps the paths asked for. The answer "silent" is none, "held"
// an empty change when the call's wait is over, "reset" a close, "spoilt" no list, "pieces" an indented list in pieces.
type discovery struct {
	mu      sync.Mutex
	answers []string // "200 {...}" or "503"
	paths   []string
	at      []time.Time // of each path
	conns   []net.Conn
	fleet   int // dispatchers that ask it, 0 for one
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
		case "reset":
			return
		case "spoilt":
			answer = "200 nonsense"
		case "pieces":
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(indented), indented)
			for len(text) > 0 {
				n := min(7, len(text))
				if _, err := io.WriteString(c, text[:n]); err != nil {
					return
				}
				text = text[n:]
				time.Sleep(time.Millisecond)
			}
			continue
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

// noWorkers takes the lists and is sent nothing in these tests.
type noWorkers struct{}

func (noWorkers) Start(*dispatch.Attempt)         {}
func (noWorkers) Cancel(*dispatch.Attempt)        {}
func (noWorkers) UpdateMembers([]dispatch.Worker) {}

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
func play(t *testing.T, d *discovery, length time.Duration) { playWith(t, d, length, nil) }

// playWith does the same, and something to the table beside it.
func playWith(t *testing.T, d *discovery, length time.Duration, beside func(*DiscoveryClient)) {
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{FleetSize: max(1, d.fleet), WorkerKinds: 1, MaxAttempts: 3, PullMembers: true, ConnectTimeout: 250 * time.Millisecond,
			Tick: 5 * time.Millisecond, PullInterval: 10 * time.Second,
			Classes: []balance.Class{{Name: "price-read", Deadline: 5 * time.Second, Worth: 1, WorkerKind: -1}}}
		core, err := dispatch.New(dispatch.Options{Settings: s})
		require.NoError(t, err)
		table := NewDiscoveryClient(core, slog.New(slog.DiscardHandler), &config.Names{}, d.dial, "discovery")
		core.Connect(noWorkers{}, table)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go core.Run(ctx)
		require.NoError(t, table.Start(nil))
		go table.Run(ctx)
		if beside != nil {
			go beside(table)
		}
		time.Sleep(length)
		synctest.Wait()
		cancel()
		synctest.Wait()
		d.close()
		time.Sleep(watchLong) // the stand-in's own waits
	})
}

const whole = `200 {"version":0,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.1:5000","state":"SERVING","weight":1}]}`

const indented = `{
  "version": 7,
  "full": true,
  "servers": [
    {
      "id": "s-1",
      "addr": "10.1.0.1:5000",
      "state": "SERVING",
      "weight": 1.0
    }
  ]
}
`

// A list may come indented, and in pieces.
func TestDiscoveryTakesAnIndentedListInPieces(t *testing.T) {
	d := &discovery{answers: []string{"pieces", "held", "held"}}
	play(t, d, 3*time.Second)
	paths := d.asked()
	require.GreaterOrEqual(t, len(paths), 2)
	require.Contains(t, paths[1], "after=7&")
}

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
	wait := time.Duration(d.waits()[2]+1) * time.Millisecond // told in whole ones
	if gap := d.at[4].Sub(d.at[3]); gap > wait+watchSlack || wait+watchSlack > 5*time.Second {
		t.Errorf("a watch of %v that fell silent is opened anew after %v", wait, gap)
	}
}

// A watch whose connection is reset is opened anew at once: the workers begin to drain just then.
func TestTableOpensAResetWatchAnew(t *testing.T) {
	d := &discovery{answers: []string{whole, "held", "reset", whole, "held"}}
	play(t, d, 10*time.Second)
	require.GreaterOrEqual(t, len(d.at), 5, "calls: %q", d.paths)
	require.Zero(t, d.at[3].Sub(d.at[2]))
}

// However long discovery fails, and in whichever way, a small fleet's next call begins early enough
// for a change to be heard within 6 s of discovery's return.
func TestTableAsksSoonAfterDiscoveryReturns(t *testing.T) {
	for _, failure := range []string{"503", "silent", "reset", "spoilt"} {
		d := &discovery{answers: append([]string{whole}, slices.Repeat([]string{failure}, 100)...)}
		play(t, d, time.Minute)
		require.Greater(t, len(d.at), 10, "calls: %q", d.paths)
		for i, at := range d.at[1:] {
			if gap := at.Sub(d.at[i]); gap > callWait+2*time.Second {
				t.Errorf("%s: %v between two calls", failure, gap)
			}
		}
	}
}

// An answer that is no list is dropped whole: the last good one stands, and its version is asked for
// again.
func TestTableDropsASpoiltList(t *testing.T) {
	for _, spoilt := range []string{
		`{"version":9,"full":true}`,
		`{"version":9,"full":true,"servers":{}}`,
		`{"version":"9","full":true,"servers":[]}`,
		`{"full":true,"servers":[]}`,
		`{"version":9,"full":true,"servers":[{"id":"s-1","addr":"x","state":"SERVING"},{"id":"s-2","state":"DRUNK"}]}`,
		`{"version":9,"full":true,"servers":[{"id":"s-1"`,
	} {
		d := &discovery{answers: []string{whole, "200 " + spoilt, "200 " + spoilt}}
		play(t, d, 3*time.Second)
		paths := d.asked()
		require.GreaterOrEqual(t, len(paths), 3, "paths: %q", paths)
		for _, p := range paths[1:] {
			require.Contains(t, p, "after=0&", "%s: %q", spoilt, paths)
		}
	}
}

// Told of another discovery and at once of the old one again, a table gave up its watch and opened
// none: nothing that happened afterwards was heard.
func TestTableMovedThereAndBackWatchesAgain(t *testing.T) {
	d := &discovery{answers: []string{whole, "held", "held", "held", "held", "held", "held", "held", "held"}}
	playWith(t, d, 10*time.Second, func(table *DiscoveryClient) {
		time.Sleep(time.Second)
		table.SetAddr("elsewhere")
		table.SetAddr("discovery")
	})
	at := d.at[len(d.at)-1]
	require.Greater(t, at.Sub(d.at[0]), 5*time.Second, "calls: %q", d.paths)
}

// Shorter watches are more calls, which a discovery that turns callers away must not meet; and
// dispatchers whose watches end together must not come back together.
func TestTableWatchesLongerWhereDiscoveryFails(t *testing.T) {
	d := &discovery{fleet: 324, answers: []string{whole, "503", "503", "503", "503", whole, "held", "held", "held", "held", "held", "held"}}
	play(t, d, 2*time.Minute)
	ms := d.waits()
	require.GreaterOrEqual(t, len(ms), 6, "calls: %q", d.paths)
	require.Greater(t, ms[1], 4000, "after failures: %v", ms)
	last := ms[len(ms)-1]
	require.True(t, last >= 2000 && last <= 4000, "after answers again: %v", ms)
	require.NotEqual(t, ms[len(ms)-2], last, "by lot: %v", ms)
}

// The calls of a few dispatchers are no such load. A long watch of theirs that fell silent would miss
// what counts as told 6 s after it could have been had, since a call failed before.
func TestTableOfASmallFleetWatchesNoLongerAfterFailures(t *testing.T) {
	d := &discovery{fleet: 30, answers: []string{whole, "503", "503", "503", "503", whole, "held", "held", "held"}}
	play(t, d, time.Minute)
	require.GreaterOrEqual(t, len(d.waits()), 3, "calls: %q", d.paths)
	require.LessOrEqual(t, slices.Max(d.waits()), 4000)
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
