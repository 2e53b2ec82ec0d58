package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is the state of one run. mu guards the counts in result, and nextID.
type runner struct {
	opts   *Options
	client *http.Client
	mu     sync.Mutex
	result Result
	nextID uint64
}

// Run generates load for the given duration, or until ctx ends, and waits until every sent request has been answered or
// has failed. Progress, if not nil, is called about once per second with the number of requests sent so far and due.
func Run(ctx context.Context, opts Options, progress func(sent, due int)) (*Result, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	maxDeadline := time.Duration(0)
	for _, c := range opts.Classes {
		maxDeadline = max(maxDeadline, c.Deadline)
	}
	r := &runner{opts: &opts, client: &http.Client{
		Timeout: maxDeadline + time.Second,
		Transport: &http.Transport{DialContext: opts.Dial, MaxConnsPerHost: opts.Connections,
			MaxIdleConnsPerHost: opts.Connections, DisableCompression: true},
	}}
	defer r.client.CloseIdleConnections()
	r.result.All = newHistogram()
	for _, c := range opts.Classes {
		r.result.Classes = append(r.result.Classes, ClassResult{Name: c.Name, Statuses: map[int]int{}, Latency: newHistogram()})
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0x6b657973))
	r.nextID = rng.Uint64()
	var err error
	if opts.Clients > 0 {
		r.runClosedLoop(ctx, progress)
	} else {
		err = r.runOpenLoop(ctx, progress)
	}
	return &r.result, err
}

// runOpenLoop sends each request when it is due, or later as soon as a connection is free.
func (r *runner) runOpenLoop(ctx context.Context, progress func(sent, due int)) error {
	dueTimes, classes, err := r.opts.Schedule()
	if err != nil {
		return err
	}
	r.result.Due = len(dueTimes)
	r.result.TargetRate = float64(len(dueTimes)) / r.opts.Duration.Seconds()
	freeConns := make(chan struct{}, r.opts.Connections)
	for range r.opts.Connections {
		freeConns <- struct{}{}
	}
	var inFlight sync.WaitGroup
	start := time.Now()
	lastProgress := start
	sent := 0
	for i, offset := range dueTimes {
		due := start.Add(offset)
		if offset >= r.opts.Duration || !waitUntil(ctx, due) { // stop at the end of the run or of ctx
			break
		}
		// A request that still waits for a connection at the end of the run is not sent. The end is extended by maxSendLag
		// for requests that are due just before it.
		end := time.NewTimer(time.Until(start.Add(r.opts.Duration + maxSendLag)))
		select { // wait for a free connection; the latency includes this time
		case <-freeConns:
		case <-ctx.Done():
		case <-end.C:
		}
		end.Stop()
		if ctx.Err() != nil || time.Since(start) >= r.opts.Duration+maxSendLag {
			break
		}
		r.result.MaxLag = max(r.result.MaxLag, time.Since(due))
		sent++
		inFlight.Go(func() {
			defer func() { freeConns <- struct{}{} }()
			r.sendRequest(ctx, classes[i], due)
		})
		if progress != nil && time.Since(lastProgress) >= time.Second {
			lastProgress = time.Now()
			progress(sent, len(dueTimes))
		}
	}
	r.result.Sent = sent
	r.result.SentRate = float64(sent) / max(r.opts.Duration, time.Since(start)).Seconds()
	r.result.RateHeld = sent == len(dueTimes) && r.result.SentRate >= 0.99*r.result.TargetRate && r.result.MaxLag <= maxSendLag
	inFlight.Wait()
	return nil
}

// waitUntil waits until the given time and reports whether ctx had not ended by then. A timer fires a millisecond or
// more late, which would add to the latency of every request. Therefore it sleeps until spinDuration before the time and
// spins from then on.
func waitUntil(ctx context.Context, at time.Time) bool {
	if d := time.Until(at) - spinDuration; d > 0 {
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
	for time.Now().Before(at) {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

// wakeEarly is how long before the given time waitUntil stops sleeping.
const wakeEarly = 2 * time.Millisecond

// spinDuration is wakeEarly, except in tests that run in virtual time.
var spinDuration = wakeEarly

// runClosedLoop runs the clients, each of which sends its next request after the answer to the previous one.
func (r *runner) runClosedLoop(ctx context.Context, progress func(sent, due int)) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var clients sync.WaitGroup
	var mu sync.Mutex
	sentCount := 0
	for client := range r.opts.Clients {
		rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(client)))
		clients.Go(func() {
			for ctx.Err() == nil {
				pick := rng.Float64()
				classIndex, sum, total := 0, 0.0, 0.0
				for _, class := range r.opts.Classes {
					total += class.Share
				}
				for classIndex = range r.opts.Classes {
					if sum += r.opts.Classes[classIndex].Share / total; pick < sum {
						break
					}
				}
				r.sendRequest(context.WithoutCancel(ctx), classIndex, time.Now())
				mu.Lock()
				sentCount++
				mu.Unlock()
			}
		})
	}
	if progress != nil {
		go func() {
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					mu.Lock()
					n := sentCount
					mu.Unlock()
					progress(n, 0)
				}
			}
		}()
	}
	clients.Wait()
	r.result.Due, r.result.Sent = sentCount, sentCount
	r.result.SentRate = float64(sentCount) / r.opts.Duration.Seconds()
	r.result.TargetRate, r.result.RateHeld = r.result.SentRate, true
}

// sendRequest sends a request that was due at the given time and counts its answer.
func (r *runner) sendRequest(ctx context.Context, class int, due time.Time) {
	spec := r.opts.Classes[class]
	r.mu.Lock()
	r.nextID++
	id := fmt.Sprintf("%016x", r.nextID)
	r.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+r.opts.Target+"/"+spec.Name+"?k="+id[12:], strings.NewReader("fund="+id[14:]))
	if err != nil {
		r.recordUnanswered(class, err)
		return
	}
	req.Header.Set("Req-Id", id)
	if r.opts.Owner != "" {
		req.Header.Set("Req-Owner", r.opts.Owner)
	}
	req.Header.Set("Req-Deadline", strconv.FormatInt(spec.Deadline.Milliseconds(), 10)+"m")
	if spec.Keyed {
		req.Header.Set("Idempotency-Key", id+id)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.recordUnanswered(class, err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		r.recordUnanswered(class, err)
		return
	}
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &r.result.Classes[class]
	switch status := resp.StatusCode; {
	case status == http.StatusOK:
		result.Served++
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		result.Refused++
	default:
		result.Failed++
	}
	result.Statuses[resp.StatusCode]++
	latencyUS := max(minLatencyUS, min(maxLatencyUS, took.Microseconds()))
	_ = result.Latency.RecordValue(latencyUS)
	_ = r.result.All.RecordValue(latencyUS)
}

func (r *runner) recordUnanswered(class int, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Classes[class].Unanswered++
}
