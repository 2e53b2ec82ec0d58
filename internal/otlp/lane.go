package otlp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"tinroute.example/tinroute/internal/spool"
)

// Options of a lane.
type Options struct {
	Signal    Signal
	Transport Transport
	Log       *slog.Logger
	Bytes     int64         // of batches that wait in memory
	Spool     *spool.Spool  // nil for none
	Pace      time.Duration // least time between two batches from the spool
	Base      time.Duration // of the back-off; a second where 0
	Most      time.Duration // a minute where 0
	Seed      uint64
}

// Stats of a lane since its start.
type Stats struct {
	Sent, Retried    int64 // batches
	Rejected         int64 // records that the collector turned down of accepted batches
	Dropped          map[string]int64
	Waiting, Spooled int64 // bytes in memory, records on disk
}

// Lane delivers one signal's batches in their order: from memory while the collector takes them,
// and by way of the spool, where there is one, while it does not.
type Lane struct {
	o     Options
	wake  chan struct{}
	mu    sync.Mutex
	queue [][]byte
	bytes int64
	stats Stats
	told  map[string]time.Time
}

// NewLane returns a lane that delivers nothing until Run.
func NewLane(o Options) *Lane {
	if o.Base <= 0 {
		o.Base = time.Second
	}
	if o.Most <= 0 {
		o.Most = time.Minute
	}
	return &Lane{o: o, wake: make(chan struct{}, 1), stats: Stats{Dropped: map[string]int64{}}, told: map[string]time.Time{}}
}

// Put hands over a batch. It never waits: where there is no room the oldest batch in memory gives
// way.
func (l *Lane) Put(body []byte) {
	l.mu.Lock()
	n := int64(len(body))
	if n > l.o.Bytes {
		l.stats.Dropped["size"]++
		l.mu.Unlock()
		return
	}
	for l.bytes+n > l.o.Bytes {
		l.bytes -= int64(len(l.queue[0]))
		l.queue[0] = nil
		l.queue = l.queue[1:]
		l.stats.Dropped["queue"]++
	}
	l.queue, l.bytes = append(l.queue, body), l.bytes+n
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Stats tells what was done.
func (l *Lane) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Waiting = l.bytes
	s.Dropped = map[string]int64{}
	for k, v := range l.stats.Dropped {
		s.Dropped[k] = v
	}
	if l.o.Spool != nil {
		st := l.o.Spool.Stats()
		s.Spooled = st.Records
		s.Dropped["spool"] += st.Dropped
	}
	return s
}

func (l *Lane) take() (body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 {
		body, l.queue = l.queue[0], l.queue[1:]
		l.bytes -= int64(len(body))
	}
	return body
}

// back returns a batch to the head of the queue, unless newer ones have taken its room.
func (l *Lane) back(body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := int64(len(body)); l.bytes+n <= l.o.Bytes {
		l.queue, l.bytes = append([][]byte{body}, l.queue...), l.bytes+n
		return
	}
	l.stats.Dropped["queue"]++
}

// Run delivers until the context ends, and then what is left for as long as last lasts.
func (l *Lane) Run(ctx context.Context, last func() context.Context) {
	// What is under way when the context ends is not broken off, since it would be sent again: it has
	// as long as all that is left.
	alive, kill := context.WithCancel(context.Background())
	defer kill()
	defer context.AfterFunc(ctx, func() { context.AfterFunc(last(), kill) })()
	pause := &Backoff{Base: l.o.Base, Most: l.o.Most, Rand: rand.New(rand.NewPCG(l.o.Seed, uint64(l.o.Signal)))}
	for ctx.Err() == nil {
		wait, more := l.step(alive, pause)
		switch {
		case wait > 0:
			l.sleep(ctx, wait)
		case !more:
			select {
			case <-l.wake:
			case <-ctx.Done():
			}
		}
	}
	if l.o.Spool != nil {
		l.toDisk()
	}
	end := last()
	for end.Err() == nil {
		if wait, more := l.step(end, pause); wait > 0 || !more {
			break
		}
	}
	if l.o.Spool != nil {
		l.toDisk()
		if err := l.o.Spool.Close(); err != nil {
			l.say("spool", err.Error())
		}
	}
	_ = l.o.Transport.Close()
}

// sleep waits, and brings what comes meanwhile to disk where it can.
func (l *Lane) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return
		case <-ctx.Done():
			return
		case <-l.wake:
			if l.o.Spool != nil {
				l.toDisk()
			}
		}
	}
}

// toDisk moves what waits in memory to the spool.
func (l *Lane) toDisk() {
	for body := l.take(); body != nil; body = l.take() {
		l.store(body)
	}
}

func (l *Lane) store(body []byte) {
	if err := l.o.Spool.Append(byte(l.o.Signal), body); err != nil {
		l.count("disk")
		l.say("spool", err.Error())
	}
}

func (l *Lane) count(why string) {
	l.mu.Lock()
	l.stats.Dropped[why]++
	l.mu.Unlock()
}

// step delivers one batch. It returns how long to wait after a failure or between two batches of
// the spool, and else whether there may be more.
func (l *Lane) step(ctx context.Context, pause *Backoff) (wait time.Duration, more bool) {
	var token spool.Token
	var body []byte
	spooled := false
	if l.o.Spool != nil { // what is older goes first
		_, body, token, spooled = l.o.Spool.Next()
		if spooled {
			l.toDisk()
		}
	}
	if !spooled {
		if body = l.take(); body == nil {
			return 0, false
		}
	}
	o := l.o.Transport.Send(ctx, body)
	switch {
	case o.Do == Retry && l.o.Spool != nil:
		if !spooled {
			l.store(body)
		}
		l.toDisk()
	case o.Do == Retry:
		l.back(body)
	case spooled:
		if err := l.o.Spool.Ack(token); err != nil {
			l.say("spool", err.Error())
		}
	}
	l.mu.Lock()
	switch o.Do {
	case Accepted:
		l.stats.Sent++
		l.stats.Rejected += o.Rejected
	case Retry:
		l.stats.Retried++
	case Drop:
		l.stats.Dropped["refused"]++
	}
	l.mu.Unlock()
	switch {
	case o.Do == Retry:
		l.say("not delivered", o.Why)
		return pause.Next(o.After), true
	case o.Do == Drop:
		l.say("turned down", o.Why)
	case o.Rejected > 0 || o.Why != "":
		l.say("partly turned down", o.Why)
	}
	pause.Reset()
	if spooled {
		return l.o.Pace, true
	}
	return 0, true
}

// again is the least time between two log lines of one kind.
const again = time.Minute

func (l *Lane) say(what, why string) {
	l.mu.Lock()
	now := time.Now()
	silent := now.Sub(l.told[what]) < again && !l.told[what].IsZero()
	if !silent {
		l.told[what] = now
	}
	l.mu.Unlock()
	if !silent {
		l.o.Log.Warn("telemetry", "signal", l.o.Signal.String(), "what", what, "why", why)
	}
}

// RoundTrip lets an SDK's HTTP exporter hand its batches over: the lane takes the request's body and
// answers at once that all is well. What becomes of it is the lane's matter.
func (l *Lane) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, err
	}
	l.Put(body)
	return &http.Response{Status: "200 OK", StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Type": {"application/x-protobuf"}}, Body: io.NopCloser(bytes.NewReader(nil)), Request: r}, nil
}

// target is what gRPC dials for an endpoint's URL, and whether by TLS.
func target(raw string) (addr string, secure bool, err error) {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" {
		return "", false, fmt.Errorf("%q is not a URL", raw)
	}
	host := u.Host
	if u.Port() == "" {
		host += ":4317"
	}
	return host, u.Scheme == "https", nil
}
