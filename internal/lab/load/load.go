// Package load generates load on a dispatcher over the platform's protocol and measures the answers. It sends requests
// at a given rate (open loop), or with a number of clients that each wait for their answer (closed loop). The latency of
// a request is measured from the time at which it was due, not from its actual sending: a target that stalls also delays
// the sender, and measuring from the sending would hide the stall (coordinated omission).
package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shapes of the rate over time.
const (
	Steady = "steady"
	Wave   = "wave"  // the rate follows a sine around Rate with the given Amplitude and Period
	Burst  = "burst" // the rate is 1+Amplitude times Rate for the first tenth of every Period
	Ramp   = "ramp"  // the rate rises linearly from Amplitude times Rate to Rate
)

// Class is a class of requests.
type Class struct {
	Name     string
	Share    float64       // of the requests
	Deadline time.Duration // sent in Req-Deadline
	Keyed    bool          // requests carry an Idempotency-Key
}

// Options describe the load. Target, Classes, Duration and one of Rate and Clients are required.
type Options struct {
	Target  string // host:port at which the dispatcher accepts clients
	Classes []Class
	Owner   string // Req-Owner of every request
	// Rate is the number of requests per second of an open loop. If Clients is above 0, it is the number of clients of a
	// closed loop, and Rate is ignored.
	Rate      float64
	Clients   int
	Duration  time.Duration
	Shape     string        // Steady if empty
	Amplitude float64       // relative to Rate; 0.5 for Wave and Burst if 0
	Period    time.Duration // of Wave and Burst; 10 s if 0
	Poisson   bool          // Poisson arrivals instead of evenly spaced ones
	// Connections limits the open connections; 256 if 0. A request waits if all are busy, and this time is part of its
	// latency.
	Connections int
	Seed        uint64
	// Dial opens a connection. If nil, a net.Dialer with a timeout of 2 s is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Result is the result of a run. Latencies are in microseconds from the time at which each request was due.
type Result struct {
	Due        int           // requests that were due
	Sent       int           // requests sent before the end of the run
	TargetRate float64       // due requests per second (open loop)
	SentRate   float64       // sent requests per second
	RateHeld   bool          // SentRate was within 1% of TargetRate, and no request was sent later than maxSendLag
	MaxLag     time.Duration // the longest time from when a request was due until it was sent
	Classes    []ClassResult
	All        *hdrhistogram.Histogram
}

// ClassResult counts the answers to the requests of one class.
type ClassResult struct {
	Name                    string
	Served, Refused, Failed int // 200; 429 or 503; any other answer
	Unanswered              int // the connection failed, or the client timed out
	Statuses                map[int]int
	Latency                 *hdrhistogram.Histogram // of answered requests only
}

// maxSendLag is the longest delay of a sending with which the rate still counts as held.
const maxSendLag = 10 * time.Millisecond

// The range and precision of the histograms: 1 µs to an hour with three significant figures.
const (
	minLatencyUS       = 1
	maxLatencyUS       = int64(time.Hour / time.Microsecond)
	significantFigures = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)
}

// validate checks the options and sets defaults.
func (o *Options) validate() error {
	switch {
	case o.Target == "":
		return errors.New("no target address")
	case len(o.Classes) == 0:
		return errors.New("no request class")
	case o.Clients <= 0 && o.Rate <= 0:
		return errors.New("either a rate or a number of clients is required")
	case o.Duration <= 0:
		return errors.New("no duration")
	}
	total := 0.0
	for _, c := range o.Classes {
		if c.Share < 0 || c.Name == "" || strings.ContainsAny(c.Name, "/?# ") {
			return fmt.Errorf("class %q: needs a valid name and a share of at least 0", c.Name)
		}
		total += c.Share
	}
	if total <= 0 {
		return errors.New("the class shares add up to 0")
	}
	switch o.Shape {
	case "":
		o.Shape = Steady
	case Steady, Wave, Burst, Ramp:
	default:
		return fmt.Errorf("unknown shape %q: must be steady, wave, burst or ramp", o.Shape)
	}
	if o.Amplitude == 0 && (o.Shape == Wave || o.Shape == Burst) { // an amplitude of 0 is valid for a ramp, which then starts at 0
		o.Amplitude = 0.5
	}
	if o.Period <= 0 {
		o.Period = 10 * time.Second
	}
	if o.Connections <= 0 {
		o.Connections = 256
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	return nil
}

// rateAt returns the rate at a time since the start, in requests per second.
func (o *Options) rateAt(t time.Duration) float64 {
	phase := math.Mod(t.Seconds(), o.Period.Seconds()) / o.Period.Seconds()
	switch o.Shape {
	case Wave:
		return o.Rate * (1 + o.Amplitude*math.Sin(2*math.Pi*phase))
	case Burst:
		if phase < 0.1 {
			return o.Rate * (1 + o.Amplitude)
		}
		return o.Rate
	case Ramp:
		return o.Rate * (o.Amplitude + (1-o.Amplitude)*min(1, t.Seconds()/o.Duration.Seconds()))
	}
	return o.Rate
}

// Schedule returns when each request is due, as the time since the start, and the index of its class. The same options
// always give the same schedule.
func (o *Options) Schedule() (due []time.Duration, classes []int, err error) {
	if err := o.validate(); err != nil {
		return nil, nil, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x6c6f6164))
	// Thinning: draw arrivals at the peak rate and keep each with the probability rateAt(t)/peak.
	peak := 0.0
	for t := time.Duration(0); t < o.Duration; t += o.Duration / 1000 {
		peak = max(peak, o.rateAt(t))
	}
	if peak <= 0 {
		return nil, nil, errors.New("the rate is 0 throughout")
	}
	cumulative := make([]float64, len(o.Classes))
	sum := 0.0
	for i, c := range o.Classes {
		sum += c.Share
		cumulative[i] = sum
	}
	for n, t := 0, 0.0; ; n++ {
		if o.Poisson {
			t += rng.ExpFloat64() / peak
		} else { // not a sum of steps, which would accumulate rounding errors
			t = float64(n) / peak
		}
		at := time.Duration(t * float64(time.Second))
		if at >= o.Duration {
			return due, classes, nil
		}
		if !o.Poisson && o.Shape == Steady || rng.Float64() < o.rateAt(at)/peak {
			due = append(due, at)
			pick := rng.Float64() * sum
			classIndex := 0
			for classIndex < len(cumulative)-1 && cumulative[classIndex] < pick {
				classIndex++
			}
			classes = append(classes, classIndex)
		}
	}
}
