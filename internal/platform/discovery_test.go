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

// fakeDiscovery is a fake discovery server on pipes. It answers each call with the next of its answers, a
// status and a body, and records the requested paths. Special answers are "silent" for none, "held"
// for an empty change at the end of the call's wait, "reset" for a close, "invalid" for an invalid list
// and "pieces" for an indented list in several writes.
type fakeDiscovery struct {
	mu        sync.Mutex
	answers   []string // "200 {...}" or "503"
	paths     []string
	times     []time.Time // when each path was requested
	conns     []net.Conn
	fleetSize int // number of dispatchers that use it; 0 stands for 1
}

func (d *fakeDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	d.mu.Lock()
	d.conns = append(d.conns, theirs)
	d.mu.Unlock()
	go d.serve(theirs)
	return ours, nil
}

func (d *fakeDiscovery) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.paths, d.times = append(d.paths, req.URL.RequestURI()), append(d.times, time.Now())
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
		case "invalid":
			answer = "200 nonsense"
		case "pieces":
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(indentedList), indentedList)
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

// noWorkers ignores worker lists and attempts.
type noWorkers struct{}

func (noWorkers) Start(*dispatch.Attempt)         {}
func (noWorkers) Cancel(*dispatch.Attempt)        {}
func (noWorkers) UpdateMembers([]dispatch.Worker) {}

func (d *fakeDiscovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}

func (d *fakeDiscovery) requested() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.paths...)
}

// runDiscovery runs a discovery client against d for the given duration.
func runDiscovery(t *testing.T, d *fakeDiscovery, duration time.Duration) {
	runDiscoveryWith(t, d, duration, nil)
}

// runDiscoveryWith does the same, and meanwhile runs the function concurrently, if not nil.
func runDiscoveryWith(t *testing.T, d *fakeDiscovery, duration time.Duration, concurrently func(*DiscoveryClient)) {
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{FleetSize: max(1, d.fleetSize), WorkerKinds: 1, MaxAttempts: 3, PullMembers: true, ConnectTimeout: 250 * time.Millisecond,
			Tick: 5 * time.Millisecond, PullInterval: 10 * time.Second,
			Classes: []balance.Class{{Name: "price-read", Deadline: 5 * time.Second, Worth: 1, WorkerKind: -1}}}
		core, err := dispatch.New(dispatch.Options{Settings: s})
		require.NoError(t, err)
		client := NewDiscoveryClient(core, slog.New(slog.DiscardHandler), &config.Names{}, d.dial, "discovery")
		core.Connect(noWorkers{}, client)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go core.Run(ctx)
		require.NoError(t, client.LoadCached(nil))
		go client.Run(ctx)
		if concurrently != nil {
			go concurrently(client)
		}
		time.Sleep(duration)
		synctest.Wait()
		cancel()
		synctest.Wait()
		d.close()
		time.Sleep(maxWatchAfterFailures) // let the fake's waits end
	})
}

const fullList = `200 {"version":0,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.1:5000","state":"SERVING","weight":1}]}`

const indentedList = `{
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

// A list may be indented and arrive in pieces.
func TestIndentedListInPieces(t *testing.T) {
	d := &fakeDiscovery{answers: []string{"pieces", "held", "held"}}
	runDiscovery(t, d, 3*time.Second)
	paths := d.requested()
	require.GreaterOrEqual(t, len(paths), 2)
	require.Contains(t, paths[1], "after=7&")
}

// waits returns the waits, in ms, of the watches among the calls.
func (d *fakeDiscovery) waits() (ms []int) {
	for _, p := range d.requested() {
		if _, wait, ok := strings.Cut(p, "wait_ms="); ok && wait != "0" {
			n, _ := strconv.Atoi(wait)
			ms = append(ms, n)
		}
	}
	return ms
}

// Guards against noticing a silent watch too late. When all watches went silent during a release, each
// dispatcher noticed it 22.5 s after opening its watch, and sent nothing to new workers until then.
func TestSilentWatchIsReopened(t *testing.T) {
	d := &fakeDiscovery{answers: []string{fullList, "held", "held", "silent", fullList, "held", "held"}}
	runDiscovery(t, d, 22*time.Second)
	require.GreaterOrEqual(t, len(d.times), 6, "calls: %q", d.paths)
	wait := time.Duration(d.waits()[2]+1) * time.Millisecond // the path has the wait in milliseconds, rounded down
	if gap := d.times[4].Sub(d.times[3]); gap > wait+watchSlack || wait+watchSlack > 5*time.Second {
		t.Errorf("a silent watch of %v is opened again after %v", wait, gap)
	}
}

// A watch whose connection is reset must be opened again at once: workers may start to drain just then.
func TestResetWatchIsReopenedAtOnce(t *testing.T) {
	d := &fakeDiscovery{answers: []string{fullList, "held", "reset", fullList, "held"}}
	runDiscovery(t, d, 10*time.Second)
	require.GreaterOrEqual(t, len(d.times), 5, "calls: %q", d.paths)
	require.Zero(t, d.times[3].Sub(d.times[2]))
}

// However long and in whichever way discovery fails, a dispatcher of a small fleet must make its next
// call early enough to learn of a change within 6 s of discovery's recovery. A silent watch is given up
// after its own wait and a second, 5 s at the latest; any other call is followed by the next within 4.5 s.
func TestNextCallSoonAfterDiscoveryRecovers(t *testing.T) {
	for _, failure := range []string{"503", "silent", "reset", "invalid"} {
		d := &fakeDiscovery{answers: append([]string{fullList}, slices.Repeat([]string{failure}, 100)...)}
		runDiscovery(t, d, time.Minute)
		require.Greater(t, len(d.times), 10, "calls: %q", d.paths)
		for i, at := range d.times[1:] {
			longest := callTimeout + 2*time.Second
			if wait := watchWaitOf(d.paths[i]); wait > 0 {
				longest = min(wait+watchSlack, 5*time.Second)
			}
			if gap := at.Sub(d.times[i]); gap > longest {
				t.Errorf("%s: gap of %v after %s, want at most %v", failure, gap, d.paths[i], longest)
			}
		}
	}
}

// watchWaitOf returns the wait of a watch by the path of its call, 0 if it is no watch. The path has it
// in milliseconds, rounded down.
func watchWaitOf(path string) time.Duration {
	_, wait, _ := strings.Cut(path, "wait_ms=")
	if ms, err := strconv.Atoi(wait); err == nil && ms > 0 {
		return time.Duration(ms+1) * time.Millisecond
	}
	return 0
}

// An invalid list must be dropped completely: the last valid one stays in use, and later calls ask for
// changes since its version.
func TestInvalidListIsDropped(t *testing.T) {
	for _, body := range []string{
		`{"version":9,"full":true}`,
		`{"version":9,"full":true,"servers":{}}`,
		`{"version":"9","full":true,"servers":[]}`,
		`{"full":true,"servers":[]}`,
		`{"version":9,"full":true,"servers":[{"id":"s-1","addr":"x","state":"SERVING"},{"id":"s-2","state":"DRUNK"}]}`,
		`{"version":9,"full":true,"servers":[{"id":"s-1"`,
	} {
		d := &fakeDiscovery{answers: []string{fullList, "200 " + body, "200 " + body}}
		runDiscovery(t, d, 3*time.Second)
		paths := d.requested()
		require.GreaterOrEqual(t, len(paths), 3, "paths: %q", paths)
		for _, p := range paths[1:] {
			require.Contains(t, p, "after=0&", "%s: %q", body, paths)
		}
	}
}

// Guards against a lost watch when the address is changed and changed back at once: the client
// cancelled its watch and opened no new one, so that it missed all later changes.
func TestWatchIsReopenedAfterAddrChangesBack(t *testing.T) {
	d := &fakeDiscovery{answers: []string{fullList, "held", "held", "held", "held", "held", "held", "held", "held"}}
	runDiscoveryWith(t, d, 10*time.Second, func(client *DiscoveryClient) {
		time.Sleep(time.Second)
		client.SetAddr("elsewhere")
		client.SetAddr("discovery")
	})
	at := d.times[len(d.times)-1]
	require.Greater(t, at.Sub(d.times[0]), 5*time.Second, "calls: %q", d.paths)
}

// Shorter watches mean more calls, so watches must become longer while discovery rejects calls. Their
// lengths must vary, so that dispatchers whose watches end together do not call again together.
func TestWatchesLengthenWhileDiscoveryFails(t *testing.T) {
	d := &fakeDiscovery{fleetSize: 324, answers: []string{fullList, "503", "503", "503", "503", fullList, "held", "held", "held", "held", "held", "held"}}
	runDiscovery(t, d, 2*time.Minute)
	ms := d.waits()
	require.GreaterOrEqual(t, len(ms), 6, "calls: %q", d.paths)
	require.Greater(t, ms[1], 4000, "after failures: %v", ms)
	last := ms[len(ms)-1]
	require.True(t, last >= 2000 && last <= 4000, "after answers again: %v", ms)
	require.NotEqual(t, ms[len(ms)-2], last, "with jitter: %v", ms)
}

// A few dispatchers cause little load, so their watches must stay short after failed calls: a long watch
// that goes silent would miss changes that count as known 6 s after they were available.
func TestSmallFleetKeepsShortWatchesAfterFailures(t *testing.T) {
	d := &fakeDiscovery{fleetSize: 30, answers: []string{fullList, "503", "503", "503", "503", fullList, "held", "held", "held"}}
	runDiscovery(t, d, time.Minute)
	require.GreaterOrEqual(t, len(d.waits()), 3, "calls: %q", d.paths)
	require.LessOrEqual(t, slices.Max(d.waits()), 4000)
}

// Discovery's first version may be 0. Guards against treating it as no list, and requesting the complete
// list after every failure: when an overloaded discovery rejected calls, 80 dispatchers kept requesting
// 60 entries each, and none received anything.
func TestVersionZeroIsAValidVersion(t *testing.T) {
	d := &fakeDiscovery{answers: []string{fullList, "503"}} // the watch is rejected
	runDiscovery(t, d, 5*time.Second)                       // the balancer asks again soon after a failure
	paths := d.requested()
	require.GreaterOrEqual(t, len(paths), 3, "paths: %q", paths)
	require.Equal(t, "/api/targets", paths[0], "the first call, without a list, must request the complete list")
	require.Contains(t, paths[1], "/api/targets?after=0&wait_ms=")
	for _, p := range paths[2:] {
		require.Contains(t, p, "after=0&", "with version 0 held, later calls must request changes: %q", paths)
	}
}
