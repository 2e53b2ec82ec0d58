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

// target is a fake dispatcher that answers every request after a service time, and does not answer while stall is set. It
// is reached over pipes, so that it can run in the virtual time of synctest, where the measured times do not depend on
// the speed of the machine.
type target struct {
	accept       chan net.Conn
	closed       chan struct{}
	stall        atomic.Bool
	requests     atomic.Int64
	mu           sync.Mutex
	serviceTimes []time.Duration // of each answer, as measured by the target
}

func (tg *target) Accept() (net.Conn, error) {
	select {
	case c := <-tg.accept:
		return c, nil
	case <-tg.closed:
		return nil, net.ErrClosed
	}
}

func (tg *target) Addr() net.Addr { return &net.TCPAddr{} }

func (tg *target) Close() error {
	close(tg.closed)
	return nil
}

func (tg *target) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case tg.accept <- there:
		return here, nil
	case <-tg.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runInVirtualTime runs f in virtual time with a target of the given service time.
func runInVirtualTime(t *testing.T, service time.Duration, f func(t *testing.T, tg *target, o Options)) {
	spinDuration = 0 // virtual time does not advance while a goroutine spins
	t.Cleanup(func() { spinDuration = wakeEarly })
	synctest.Test(t, func(t *testing.T) {
		tg := &target{accept: make(chan net.Conn), closed: make(chan struct{})}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			tg.requests.Add(1)
			for tg.stall.Load() {
				time.Sleep(time.Millisecond)
			}
			began := time.Now()
			time.Sleep(service)
			tg.mu.Lock()
			tg.serviceTimes = append(tg.serviceTimes, time.Since(began))
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

func microseconds(d time.Duration) float64 { return float64(d.Microseconds()) }

// The percentiles must be within 1% of those that the target measured.
func TestPercentiles(t *testing.T) {
	runInVirtualTime(t, 200*time.Millisecond, func(t *testing.T, tg *target, o Options) {
		o.Rate, o.Duration, o.Seed = 50, 20*time.Second, 1
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.True(t, res.RateHeld, "a rate of 50 per second must be held at a service time of 200 ms: lag %v", res.MaxLag)
		served := 0
		for _, c := range res.Classes {
			served += c.Served
			require.Zero(t, c.Unanswered+c.Failed+c.Refused)
		}
		require.Equal(t, res.Sent, served)
		tg.mu.Lock()
		measured := slices.Sorted(slices.Values(tg.serviceTimes))
		tg.mu.Unlock()
		for _, q := range []float64{50, 90, 99} {
			want := microseconds(measured[int(q/100*float64(len(measured)-1))])
			require.InDelta(t, want, float64(res.All.ValueAtQuantile(q)), 0.01*want, "p%v", q)
		}
	})
}

// A stall of the target that also delays the sender must show in the latencies, and the rate must count as not held.
func TestCoordinatedOmission(t *testing.T) {
	runInVirtualTime(t, 5*time.Millisecond, func(t *testing.T, tg *target, o Options) {
		go func() {
			time.Sleep(time.Second)
			tg.stall.Store(true)
			time.Sleep(time.Second)
			tg.stall.Store(false)
		}()
		o.Rate, o.Duration, o.Connections, o.Seed = 100, 3*time.Second, 4, 2
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.False(t, res.RateHeld, "requests were sent late because all connections were busy")
		slow := int64(0)
		for _, b := range res.All.Distribution() {
			if b.From >= 500_000 {
				slow += b.Count
			}
		}
		// Of the 100 requests due during the stall, those due in its first half waited more than 0.5 s.
		require.GreaterOrEqual(t, slow, int64(49), "the latencies do not show the stall: p99 %d us", res.All.ValueAtQuantile(99))
	})
}

// The result must say whether the target could take the rate.
func TestRateHeld(t *testing.T) {
	runInVirtualTime(t, 100*time.Millisecond, func(t *testing.T, _ *target, o Options) {
		o.Rate, o.Duration, o.Connections, o.Seed = 100, 2*time.Second, 2, 3
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.False(t, res.RateHeld)
		require.Less(t, res.SentRate, 0.5*res.TargetRate)

		o.Rate, o.Connections = 50, 0
		res, err = Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.True(t, res.RateHeld, "50 per second on 256 connections at 100 ms: lag %v", res.MaxLag)
		require.InDelta(t, res.TargetRate, res.SentRate, 0.01*res.TargetRate)
	})
}

// The same options must give the same schedule, with the given rate and shape.
func TestSchedule(t *testing.T) {
	o := Options{Target: "x", Classes: classes, Rate: 200, Duration: 20 * time.Second, Poisson: true, Seed: 7}
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

	o.Shape, o.Amplitude, o.Period = Burst, 2, 10*time.Second
	at, _, err = o.Schedule()
	require.NoError(t, err)
	first := 0
	for _, d := range at {
		if d%o.Period < o.Period/10 {
			first++
		}
	}
	// The burst lasts a tenth of the period at three times the rate, so its share is 0.3 / (0.9 + 0.3) of the requests.
	require.InDelta(t, 0.25, float64(first)/float64(len(at)), 0.03)

	o.Shape, o.Amplitude = Ramp, 0
	at, _, err = o.Schedule()
	require.NoError(t, err)
	late := 0
	for _, d := range at {
		if d > o.Duration/2 {
			late++
		}
	}
	require.InDelta(t, 0.75, float64(late)/float64(len(at)), 0.03, "three quarters of the requests of a ramp from 0 are in its second half")

	for _, bad := range []Options{{Classes: classes, Rate: 1, Duration: time.Second}, {Target: "x", Rate: 1, Duration: time.Second},
		{Target: "x", Classes: classes, Duration: time.Second}, {Target: "x", Classes: classes, Rate: 1, Duration: time.Second, Shape: "zigzag"}} {
		_, _, err := bad.Schedule()
		require.Error(t, err)
	}
}

// In a closed loop each client must send its next request right after the answer to the previous one.
func TestClosedLoop(t *testing.T) {
	runInVirtualTime(t, 20*time.Millisecond, func(t *testing.T, tg *target, o Options) {
		o.Clients, o.Duration, o.Seed = 4, time.Second, 4
		res, err := Run(t.Context(), o, nil)
		require.NoError(t, err)
		require.InDelta(t, 4/0.02, res.SentRate, 0.02*4/0.02)
		require.Equal(t, int64(res.Sent), tg.requests.Load())
	})
}
