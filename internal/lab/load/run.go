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

// runner is one run's state; mu guards the counts.
type runner struct {
	o      *Options
	client *http.Client
	mu     sync.Mutex
	res    Result
	seq    uint64
}

// Run makes the load until its length has passed and every request sent has its answer or has
// broken, or until ctx ends. Progress, where not nil, is told the requests sent so far about once
// a second.
func Run(ctx context.Context, o Options, progress func(sent, due int)) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	longest := time.Duration(0)
	for _, c := range o.Classes {
		longest = max(longest, c.Deadline)
	}
	r := &runner{o: &o, client: &http.Client{
		Timeout: longest + time.Second,
		Transport: &http.Transport{DialContext: o.Dial, MaxConnsPerHost: o.Connections,
			MaxIdleConnsPerHost: o.Connections, DisableCompression: true},
	}}
	defer r.client.CloseIdleConnections()
	r.res.All = newHistogram()
	for _, c := range o.Classes {
		r.res.Classes = append(r.res.Classes, ClassResult{Name: c.Name, Statuses: map[int]int{}, Latency: newHistogram()})
	}
	seed := rand.New(rand.NewPCG(o.Seed, 0x6b657973))
	r.seq = seed.Uint64()
	var err error
	if o.Clients > 0 {
		r.closed(ctx, progress)
	} else {
		err = r.open(ctx, progress)
	}
	return &r.res, err
}

// open sends each request at its time, or as soon after as a connection is free.
func (r *runner) open(ctx context.Context, progress func(sent, due int)) error {
	at, class, err := r.o.Schedule()
	if err != nil {
		return err
	}
	r.res.Asked = len(at)
	r.res.Wanted = float64(len(at)) / r.o.For.Seconds()
	free := make(chan struct{}, r.o.Connections)
	for range r.o.Connections {
		free <- struct{}{}
	}
	var out sync.WaitGroup
	start := time.Now()
	told := start
	sent := 0
	for i, d := range at {
		due := start.Add(d)
		if d >= r.o.For || !until(ctx, due) { // what is due after the end, or after ctx, is not sent
			break
		}
		// The run ends at its length, and what waits for a connection then is not sent; one that is
		// due at the very end is sent within the bound of lateness.
		end := time.NewTimer(time.Until(start.Add(r.o.For + lagMost)))
		select { // a request waits for a connection, and its wait counts
		case <-free:
		case <-ctx.Done():
		case <-end.C:
		}
		end.Stop()
		if ctx.Err() != nil || time.Since(start) >= r.o.For+lagMost {
			break
		}
		r.res.MostLag = max(r.res.MostLag, time.Since(due))
		sent++
		out.Go(func() {
			defer func() { free <- struct{}{} }()
			r.one(ctx, class[i], due)
		})
		if progress != nil && time.Since(told) >= time.Second {
			told = time.Now()
			progress(sent, len(at))
		}
	}
	r.res.Sent = sent
	r.res.Got = float64(sent) / max(r.o.For, time.Since(start)).Seconds()
	r.res.Held = sent == len(at) && r.res.Got >= 0.99*r.res.Wanted && r.res.MostLag <= lagMost
	out.Wait()
	return nil
}

// until waits for an instant, and tells false where ctx ended first. A timer wakes a millisecond
// or more late, and that lateness would count in every request's time: so it sleeps until shortly
// before, and yields from then on until the instant has come.
func until(ctx context.Context, at time.Time) bool {
	if d := time.Until(at) - spin; d > 0 {
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

// early is how long before an instant until stops sleeping.
const early = 2 * time.Millisecond

// spin is early, but in tests that run in virtual time.
var spin = early

// closed keeps so many clients busy, each sending its next request once it has its answer.
func (r *runner) closed(ctx context.Context, progress func(sent, due int)) {
	ctx, stop := context.WithTimeout(ctx, r.o.For)
	defer stop()
	var sent sync.WaitGroup
	var mu sync.Mutex
	count := 0
	for c := range r.o.Clients {
		rng := rand.New(rand.NewPCG(r.o.Seed, uint64(c)))
		sent.Go(func() {
			for ctx.Err() == nil {
				pick := rng.Float64()
				k, sum, total := 0, 0.0, 0.0
				for _, cl := range r.o.Classes {
					total += cl.Share
				}
				for k = range r.o.Classes {
					if sum += r.o.Classes[k].Share / total; pick < sum {
						break
					}
				}
				r.one(context.WithoutCancel(ctx), k, time.Now())
				mu.Lock()
				count++
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
					n := count
					mu.Unlock()
					progress(n, 0)
				}
			}
		}()
	}
	sent.Wait()
	r.res.Asked, r.res.Sent = count, count
	r.res.Got = float64(count) / r.o.For.Seconds()
	r.res.Wanted, r.res.Held = r.res.Got, true
}

// one sends one request that was due at the instant given, and counts its answer.
func (r *runner) one(ctx context.Context, class int, due time.Time) {
	c := r.o.Classes[class]
	r.mu.Lock()
	r.seq++
	id := fmt.Sprintf("%016x", r.seq)
	r.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+r.o.Target+"/"+c.Name+"?k="+id[12:], strings.NewReader("fund="+id[14:]))
	if err != nil {
		r.broken(class, err)
		return
	}
	req.Header.Set("Req-Id", id)
	if r.o.Owner != "" {
		req.Header.Set("Req-Owner", r.o.Owner)
	}
	req.Header.Set("Req-Deadline", strconv.FormatInt(c.Deadline.Milliseconds(), 10)+"m")
	if c.Keyed {
		req.Header.Set("Idempotency-Key", id+id)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.broken(class, err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		r.broken(class, err)
		return
	}
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := &r.res.Classes[class]
	switch s := resp.StatusCode; {
	case s == http.StatusOK:
		k.Served++
	case s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable:
		k.Refused++
	default:
		k.Failed++
	}
	k.Statuses[resp.StatusCode]++
	us := max(leastUS, min(mostUS, took.Microseconds()))
	_ = k.Latency.RecordValue(us)
	_ = r.res.All.RecordValue(us)
}

func (r *runner) broken(class int, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Classes[class].Broken++
}
