package platform

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
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
// answers, as status and body, and keeps the paths asked for.
type discovery struct {
	mu      sync.Mutex
	answers []string // "200 {...}" or "503"
	paths   []string
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
		d.paths = append(d.paths, req.URL.RequestURI())
		answer := "503"
		if len(d.answers) > 0 {
			answer, d.answers = d.answers[0], d.answers[1:]
		}
		d.mu.Unlock()
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

// Discovery's first version may be 0. A table that took 0 for no list asked for the whole
// list again after every failure: on a day when an overbooked discovery turned callers away,
// 80 dispatchers asked it for 60 lines each, time after time, and none was told anything.
func TestTableAsksForChangesAfterVersionZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{Fleet: 1, Kinds: 1, MaxAttempts: 3, AskList: true, ConnectTimeout: 250 * time.Millisecond,
			Tick: 5 * time.Millisecond, AskWithin: 10 * time.Second,
			Classes: []balance.Class{{Name: "price-read", Deadline: 5 * time.Second, Worth: 1, Kind: -1}}}
		core, err := dispatch.New(dispatch.Options{Settings: s})
		require.NoError(t, err)
		d := &discovery{answers: []string{
			`200 {"version":0,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.1:5000","state":"SERVING","weight":1}]}`,
			"503", // the watch is turned away
		}}
		table := NewTable(core, slog.New(slog.DiscardHandler), &config.Names{}, d.dial, "discovery")
		core.Connect(noRegions{}, table)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go core.Run(ctx)
		require.NoError(t, table.Start(nil))
		go table.Run(ctx)
		time.Sleep(5 * time.Second) // the balancer asks again after a failure, within its gap
		synctest.Wait()
		paths := d.asked()
		require.GreaterOrEqual(t, len(paths), 3, "paths: %q", paths)
		require.Equal(t, "/api/targets", paths[0], "the first call, with no list, asks for all of it")
		require.Equal(t, "/api/targets?after=0&wait_ms=20000", paths[1])
		for _, p := range paths[2:] {
			require.Contains(t, p, "after=0&", "with version 0 held, later calls ask for what changed: %q", paths)
		}
		cancel()
		synctest.Wait()
		d.close()
	})
}
