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

// Options configure a Sender.
type Options struct {
	Signal         Signal
	Transport      Transport
	Log            *slog.Logger
	MaxQueueBytes  int64         // limit on the batches queued in memory
	Spool          *spool.Spool  // on-disk queue, or nil for none
	SpoolInterval  time.Duration // minimum time between two batches sent from the spool
	InitialBackoff time.Duration // delay after the first failure; 0 means one second
	MaxBackoff     time.Duration // 0 means one minute
	Seed           uint64        // of the back-off's jitter
}

// Stats are a Sender's counters since its creation and the current size of its queues.
type Stats struct {
	Sent, Retried   int64            // batches
	RejectedRecords int64            // records that the collector rejected from batches it accepted
	Dropped         map[string]int64 // batches by reason
	QueuedBytes     int64            // in memory
	SpooledBatches  int64            // on disk
}

// Sender delivers the batches of one signal in order. It sends from memory while the collector accepts
// them. Otherwise they pass through the spool, if there is one.
type Sender struct {
	options     Options
	wake        chan struct{} // signals a new batch in the queue
	mu          sync.Mutex    // guards the fields below
	queue       [][]byte
	queuedBytes int64
	stats       Stats
	lastLogged  map[string]time.Time // by problem
}

// NewSender returns a Sender. It sends nothing before Run is called.
func NewSender(options Options) *Sender {
	if options.InitialBackoff <= 0 {
		options.InitialBackoff = time.Second
	}
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = time.Minute
	}
	return &Sender{options: options, wake: make(chan struct{}, 1), stats: Stats{Dropped: map[string]int64{}}, lastLogged: map[string]time.Time{}}
}

// Enqueue adds a batch to the queue in memory. It never blocks: if the queue is full, the oldest batches
// are dropped.
func (s *Sender) Enqueue(body []byte) {
	s.mu.Lock()
	size := int64(len(body))
	if size > s.options.MaxQueueBytes {
		s.stats.Dropped["size"]++
		s.mu.Unlock()
		return
	}
	for s.queuedBytes+size > s.options.MaxQueueBytes {
		s.queuedBytes -= int64(len(s.queue[0]))
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.stats.Dropped["queue"]++
	}
	s.queue, s.queuedBytes = append(s.queue, body), s.queuedBytes+size
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stats returns the current statistics.
func (s *Sender) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.QueuedBytes = s.queuedBytes
	stats.Dropped = map[string]int64{}
	for reason, count := range s.stats.Dropped {
		stats.Dropped[reason] = count
	}
	if s.options.Spool != nil {
		spoolStats := s.options.Spool.Stats()
		stats.SpooledBatches = spoolStats.Records
		stats.Dropped["spool"] += spoolStats.Dropped
	}
	return stats
}

// dequeue removes the oldest batch from the queue in memory. It returns nil if the queue is empty.
func (s *Sender) dequeue() (body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		body, s.queue = s.queue[0], s.queue[1:]
		s.queuedBytes -= int64(len(body))
	}
	return body
}

// requeue puts a batch back at the head of the queue. It drops the batch if newer ones have filled the
// queue meanwhile.
func (s *Sender) requeue(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size := int64(len(body)); s.queuedBytes+size <= s.options.MaxQueueBytes {
		s.queue, s.queuedBytes = append([][]byte{body}, s.queue...), s.queuedBytes+size
		return
	}
	s.stats.Dropped["queue"]++
}

// Run sends batches until ctx is cancelled. It then sends the remaining ones until the context that
// finalContext returns is cancelled.
func (s *Sender) Run(ctx context.Context, finalContext func() context.Context) {
	// A send in progress is not aborted when ctx is cancelled, because its batch would be sent again. It
	// may continue as long as the remaining batches are sent.
	deliveryCtx, cancelDelivery := context.WithCancel(context.Background())
	defer cancelDelivery()
	defer context.AfterFunc(ctx, func() { context.AfterFunc(finalContext(), cancelDelivery) })()
	backoff := &Backoff{Initial: s.options.InitialBackoff, Max: s.options.MaxBackoff, Rand: rand.New(rand.NewPCG(s.options.Seed, uint64(s.options.Signal)))}
	for ctx.Err() == nil {
		wait, more := s.deliverNext(deliveryCtx, backoff)
		switch {
		case wait > 0:
			s.wait(ctx, wait)
		case !more:
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
		}
	}
	if s.options.Spool != nil {
		s.spoolQueue()
	}
	finalCtx := finalContext()
	for finalCtx.Err() == nil {
		if wait, more := s.deliverNext(finalCtx, backoff); wait > 0 || !more {
			break
		}
	}
	if s.options.Spool != nil {
		s.spoolQueue()
		if err := s.options.Spool.Close(); err != nil {
			s.warnLimited("accessing the spool failed", err.Error())
		}
	}
	_ = s.options.Transport.Close()
}

// wait returns after the delay or when ctx is cancelled. Batches that are queued meanwhile move to the
// spool, if there is one.
func (s *Sender) wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-s.wake:
			if s.options.Spool != nil {
				s.spoolQueue()
			}
		}
	}
}

// spoolQueue moves all batches from memory to the spool.
func (s *Sender) spoolQueue() {
	for body := s.dequeue(); body != nil; body = s.dequeue() {
		s.spoolBatch(body)
	}
}

func (s *Sender) spoolBatch(body []byte) {
	if err := s.options.Spool.Append(byte(s.options.Signal), body); err != nil {
		s.countDropped("disk")
		s.warnLimited("accessing the spool failed", err.Error())
	}
}

func (s *Sender) countDropped(reason string) {
	s.mu.Lock()
	s.stats.Dropped[reason]++
	s.mu.Unlock()
}

// deliverNext sends the oldest batch. It returns how long to wait before the next one, either after a
// failure or between two batches of the spool, and whether there may be more batches.
func (s *Sender) deliverNext(ctx context.Context, backoff *Backoff) (wait time.Duration, more bool) {
	var token spool.Token
	var body []byte
	fromSpool := false
	if s.options.Spool != nil { // its batches are older than those in memory
		_, body, token, fromSpool = s.options.Spool.Next()
		if fromSpool {
			s.spoolQueue()
		}
	}
	if !fromSpool {
		if body = s.dequeue(); body == nil {
			return 0, false
		}
	}
	outcome := s.options.Transport.Send(ctx, body)
	switch {
	case outcome.Action == Retry && s.options.Spool != nil:
		if !fromSpool {
			s.spoolBatch(body)
		}
		s.spoolQueue()
	case outcome.Action == Retry:
		s.requeue(body)
	case fromSpool:
		if err := s.options.Spool.Ack(token); err != nil {
			s.warnLimited("accessing the spool failed", err.Error())
		}
	}
	s.mu.Lock()
	switch outcome.Action {
	case Accepted:
		s.stats.Sent++
		s.stats.RejectedRecords += outcome.RejectedRecords
	case Retry:
		s.stats.Retried++
	case Drop:
		s.stats.Dropped["refused"]++
	}
	s.mu.Unlock()
	switch {
	case outcome.Action == Retry:
		s.warnLimited("batch not delivered, will be retried", outcome.Reason)
		return backoff.NextDelay(outcome.RetryAfter), true
	case outcome.Action == Drop:
		s.warnLimited("collector rejected a batch, dropping it", outcome.Reason)
	case outcome.RejectedRecords > 0 || outcome.Reason != "":
		s.warnLimited("collector accepted a batch in part or with a warning", outcome.Reason)
	}
	backoff.Reset()
	if fromSpool {
		return s.options.SpoolInterval, true
	}
	return 0, true
}

// minLogInterval is the minimum time between two log lines about the same problem.
const minLogInterval = time.Minute

// warnLimited logs a problem, at most once per minLogInterval.
func (s *Sender) warnLimited(problem, detail string) {
	s.mu.Lock()
	now := time.Now()
	suppressed := now.Sub(s.lastLogged[problem]) < minLogInterval && !s.lastLogged[problem].IsZero()
	if !suppressed {
		s.lastLogged[problem] = now
	}
	s.mu.Unlock()
	if !suppressed {
		s.options.Log.Warn("telemetry delivery problem", "signal", s.options.Signal.String(), "what", problem, "why", detail)
	}
}

// RoundTrip implements http.RoundTripper for the SDK's HTTP exporters. It queues the request's body and
// returns status 200 at once. The Sender handles failures of the actual delivery itself.
func (s *Sender) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	_ = request.Body.Close()
	if err != nil {
		return nil, err
	}
	s.Enqueue(body)
	return &http.Response{Status: "200 OK", StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Type": {"application/x-protobuf"}}, Body: io.NopCloser(bytes.NewReader(nil)), Request: request}, nil
}

// grpcTarget returns the address to dial over gRPC for an endpoint's URL, and whether to use TLS.
func grpcTarget(endpointURL string) (addr string, secure bool, err error) {
	parsed, err := url.Parse(endpointURL)
	if err != nil || parsed.Host == "" {
		return "", false, fmt.Errorf("%q is not a URL", endpointURL)
	}
	hostPort := parsed.Host
	if parsed.Port() == "" {
		hostPort += ":4317"
	}
	return hostPort, parsed.Scheme == "https", nil
}
