package gearman

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/background"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/jobindex"
	"tinroute.example/tinroute/internal/jobstore"
	"tinroute.example/tinroute/internal/link"
	"tinroute.example/tinroute/internal/recovery"
)

// recordingDriver records each attempt as sent and leaves its end to the test.
type recordingDriver struct{ sent chan *dispatch.Attempt }

func (d *recordingDriver) Start(attempt *dispatch.Attempt) {
	go func() {
		if _, err := attempt.Request.Payload.(*job).recordSend(context.Background(), attempt); err == nil {
			d.sent <- attempt
		}
	}()
}
func (*recordingDriver) Cancel(*dispatch.Attempt)        {}
func (*recordingDriver) UpdateMembers([]dispatch.Worker) {}

// staticDiscovery is for a core whose members the test sets.
type staticDiscovery struct{}

func (staticDiscovery) Watch() {}
func (staticDiscovery) Fetch() {}

// packetClient is a Gearman client that expects packets in their order.
type packetClient struct {
	t       *testing.T
	conn    net.Conn
	packets chan *Packet
}

func newPacketClient(t *testing.T, addr string) *packetClient {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &packetClient{t: t, conn: conn, packets: make(chan *Packet, 16)}
	go func() {
		_ = link.ReadMessages(conn, NewResponseFramer(), func(p *Packet) bool {
			c.packets <- p
			return true
		})
	}()
	return c
}

func (c *packetClient) submit(kind Type) {
	_, err := c.conn.Write(Request(kind, "fix", "u", "data"))
	require.NoError(c.t, err)
}

func (c *packetClient) expect(kind Type) {
	c.t.Helper()
	p := receive(c.t, c.packets)
	require.Equal(c.t, kind, p.Type, "%q", p.Body)
}

// receive returns the next value of a channel. It fails the test if there is none for 10 s.
func receive[V any](t *testing.T, values <-chan V) (v V) {
	t.Helper()
	select {
	case v = <-values:
	case <-time.After(10 * time.Second):
		require.FailNow(t, "nothing received")
	}
	return v
}

// Guards against a second run of a job that may have run: when a foreground job could not be stored, clients that
// had joined it meanwhile made it run again at any worker.
func TestJobThatCannotBeStoredIsNotRepeated(t *testing.T) {
	commits := make(chan error)
	store, err := jobstore.Open(jobstore.Options{Path: filepath.Join(t.TempDir(), "jobs"), Now: dispatch.NewClock().Now,
		BeforeCommit: func() error { return <-commits }})
	require.NoError(t, err)
	core, err := dispatch.New(dispatch.Options{Settings: balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 3,
		ConnectTimeout: time.Second, ColdCapacity: 1, Tick: time.Millisecond,
		Classes: []balance.Class{{Name: "fix", Target: time.Second, Deadline: 10 * time.Second, Worth: 1, Idempotency: balance.NonIdempotent, WorkerKind: -1}}},
		Observers: []dispatch.Observer{NewSendObserver()}})
	require.NoError(t, err)
	driver := &recordingDriver{sent: make(chan *dispatch.Attempt, 4)}
	core.Connect(driver, staticDiscovery{})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go core.Run(ctx)
	core.UpdateMembers(balance.UpdateFull, []dispatch.Worker{{Member: balance.Member{ID: 1, Weight: 1}, Name: "a"}, {Member: balance.Member{ID: 2, Weight: 1}, Name: "b"}})
	server := NewServer(core, Options{Log: slog.New(slog.DiscardHandler), DispatcherName: "n0", MaxConnections: 10,
		Config: &config.Gearman{Functions: map[string]config.FunctionDefaults{"fix": {Tenant: -1, Deadline: 10 * time.Second}},
			Limits: jobindex.Limits{PerClient: 4, PerFunction: map[string]int{}}},
		NewScheduler: func(jobServer background.JobServer) *background.Scheduler {
			return background.New(background.Options{Store: store, Clock: dispatch.NewClock(), RetryLimits: recovery.Limits{MaxOffers: 3, MaxSends: 10}}, jobServer)
		}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() { _ = server.Serve(listener) }()
	addr := listener.Addr().String()

	first, storing, joined := newPacketClient(t, addr), newPacketClient(t, addr), newPacketClient(t, addr)
	first.submit(SubmitJob)
	first.expect(JobCreated)
	attempt := receive(t, driver.sent)
	storing.submit(SubmitJobBG)
	require.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.index.ByKey("fix", "u").Background
	}, 10*time.Second, time.Millisecond, "its write to the store is pending")
	core.AttemptEnded(attempt, balance.StatusReset, nil)
	first.expect(WorkFail)
	joined.submit(SubmitJob)
	joined.expect(JobCreated)
	commits <- errors.New("no space left on device")
	storing.expect(Error)
	select {
	case <-driver.sent:
		require.Fail(t, "the job was sent again")
	case p := <-joined.packets:
		require.Equal(t, WorkFail, p.Type, "%q", p.Body)
	}
	close(commits)
	require.NoError(t, store.Close())
}
