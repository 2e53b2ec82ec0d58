package load

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// target is a stand-in dispatcher that answers every request after a service time; while stall
// is set it answers nothing. It is reached over pipes, so that it can stand in a bubble of virtual time:
// what is measured is then the load's own arithmetic, and no busy machine moves it.
type target struct {
	accept chan net.Conn
	gone   chan struct{}
	stall  atomic.Bool
	asked  atomic.Int64
	mu     sync.Mutex
	took   []time.Duration // each answer's own service time, as the target measured it
}

func (tg *target) Accept() (net.Conn, error) {
	select {
	case c := <-tg.accept:
		return c, nil
	case <-tg.gone:
		return nil, net.ErrClosed
	}
}

func (tg *target) Addr() net.Addr { return &net.TCPAddr{} }

func (tg *target) Close() error {
	close(tg.gone)
	return nil
}

func (tg *target) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case tg.accept <- there:
		return here, nil
	case <-tg.gone:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// bubble runs f in virtual time with a target of this service time.
func bubble(t *testing.T, service time.Duration, f func(t *testing.T, tg *target, o Options)) {
	spin = 0 // a wait that spins never lets virtual time go on
	t.Cleanup(func() { spin = early })
	synctest.Test(t, func(t *testing.T) {
		tg := &target{accept: make(chan net.Conn), gone: make(chan struct{})}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			tg.asked.Add(1)
			for tg.stall.Load() {
				time.Sleep(time.Millisecond)
			}
			began := time.Now()
			time.Sleep(service)
			tg.mu.Lock()
			tg.took = append(tg.took, time.Since(began))
			tg.mu.Unlock()
			if r.Header.Get("Req-Id") == "" || r.Header.Get("Req-Deadline") == "" {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			_, _ = w.Write([]byte("r"))
		})}
		go func() { _ = srv.Serve(tg) }()
		f(t, tg, Options{Target: "target", Dial: tg.dial, Classes: classes})
		require.NoError(t, srv.Close())
	})
}

var classes = []Class{{Name: "price-read", Share: 0.8, Deadline: 5 * time.Second}, {Name: "price-fix", Share: 0.2, Deadline: 5 * time.Second, Keyed: true}}

func us(d time.Duration) float64 { return float64(d.Microseconds()) }

// At a known service time the percentiles are right within 1% of what the target itself measured.
func TestPercentilesAtKnownServiceTime(t *testing.T) {
	bubble(t, 200*time.Millisecond, func(t *testing.T, tg *target, o Options) {
		o.Rate, o.For, o.Seed = 50, 20*time.Second, 1
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.True(t, res.Held, "50 a second at 200 ms is within reach: lag %v", res.MostLag)
		served := 0
		for _, c := range res.Classes {
			served += c.Served
			require.Zero(t, c.Broken+c.Failed+c.Refused)
		}
		require.Equal(t, res.Sent, served)
		tg.mu.Lock()
		truth := slices.Sorted(slices.Values(tg.took))
		tg.mu.Unlock()
		for _, q := range []float64{50, 90, 99} {
			want := us(truth[int(q/100*float64(len(truth)-1))])
			require.InDelta(t, want, float64(res.All.ValueAtQuantile(q)), 0.01*want, "p%v", q)
		}
	})
}

// A target that stalls holds up the sender; counted from when each request was due, the stall
// shows in the latencies, and the rate is said not to be held.
func TestCoordinatedOmissionIsCorrected(t *testing.T) {
	bubble(t, 5*time.Millisecond, func(t *testing.T, tg *target, o Options) {
		go func() {
			time.Sleep(time.Second)
			tg.stall.Store(true)
			time.Sleep(time.Second)
			tg.stall.Store(false)
		}()
		o.Rate, o.For, o.Connections, o.Seed = 100, 3*time.Second, 4, 2
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.False(t, res.Held, "it waited for connections past the requests' times")
		slow := int64(0)
		for _, b := range res.All.Distribution() {
			if b.From >= 500_000 {
				slow += b.Count
			}
		}
		// Of 100 requests due during the stall, those due in its first half waited over 0.5 s.
		require.GreaterOrEqual(t, slow, int64(49), "the stall is hidden: p99 %d us", res.All.ValueAtQuantile(99))
	})
}

// The rate asked for is held where the target can bear it, and where it cannot the result says so.
func TestHoldsTheRateOrSaysSo(t *testing.T) {
	bubble(t, 100*time.Millisecond, func(t *testing.T, _ *target, o Options) {
		o.Rate, o.For, o.Connections, o.Seed = 100, 2*time.Second, 2, 3
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.False(t, res.Held)
		require.Less(t, res.Got, 0.5*res.Wanted)

		o.Rate, o.Connections = 50, 0
		res, err = Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.True(t, res.Held, "50 a second on 256 connections at 100 ms: lag %v", res.MostLag)
		require.InDelta(t, res.Wanted, res.Got, 0.01*res.Wanted)
	})
}

// The same options give the same schedule; its rate and shape are those asked for.
func TestSchedule(t *testing.T) {
	o := Options{Target: "x", Classes: classes, Rate: 200, For: 20 * time.Second, Poisson: true, Seed: 7}
	at, class, err := o.Schedule()
	require.NoError(t, err)
	again, _, _ := o.Schedule()
	require.Equal(t, at, again)
	require.InDelta(t, 4000, len(at), 200)
	fixes := 0
	for _, k := range class {
		fixes += k
	}
	require.InDelta(t, 0.2*float64(len(at)), fixes, 0.03*float64(len(at)))

	o.Shape, o.Swing, o.Period = Burst, 2, 10*time.Second
	at, _, err = o.Schedule()
	require.NoError(t, err)
	first := 0
	for _, d := range at {
		if d%o.Period < o.Period/10 {
			first++
		}
	}
	// A tenth of the time at three times the rate: 3 / (0.9 + 0.3) of a tenth of the requests.
	require.InDelta(t, 0.25, float64(first)/float64(len(at)), 0.03)

	o.Shape, o.Swing = Ramp, 0
	at, _, err = o.Schedule()
	require.NoError(t, err)
	late := 0
	for _, d := range at {
		if d > o.For/2 {
			late++
		}
	}
	require.InDelta(t, 0.75, float64(late)/float64(len(at)), 0.03, "a ramp from 0 has three quarters in its second half")

	for _, bad := range []Options{{Classes: classes, Rate: 1, For: time.Second}, {Target: "x", Rate: 1, For: time.Second},
		{Target: "x", Classes: classes, For: time.Second}, {Target: "x", Classes: classes, Rate: 1, For: time.Second, Shape: "zigzag"}} {
		_, _, err := bad.Schedule()
		require.Error(t, err)
	}
}

// A closed loop keeps so many clients busy: each sends its next request once it has its answer.
func TestClosedLoop(t *testing.T) {
	bubble(t, 20*time.Millisecond, func(t *testing.T, tg *target, o Options) {
		o.Clients, o.For, o.Seed = 4, time.Second, 4
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.InDelta(t, 4/0.02, res.Got, 0.02*4/0.02)
		require.Equal(t, int64(res.Sent), tg.asked.Load())
	})
}
