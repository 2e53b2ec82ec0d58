// Package load drives a dispatcher with clients of the platform's protocol, at a rate it is told
// (open loop) or with so many clients that each wait for their answer (closed loop), and measures
// what comes back. A request's time is counted from when it was due to be sent, not from when it
// was: a target that stalls holds up the sender too, and counting from the actual send would hide
// the stall (coordinated omission).
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
	Wave   = "wave"  // the rate swings by Swing around its mean, once every Period
	Burst  = "burst" // the rate is 1+Swing times as high for a tenth of every Period
	Ramp   = "ramp"  // the rate rises evenly from Swing times the rate to the rate
)

// Class is one kind of request in the mix.
type Class struct {
	Name     string
	Share    float64       // of the requests
	Deadline time.Duration // what the client tells it will wait
	Keyed    bool          // its requests carry an Idempotency-Key
}

// Options say what load to make. Target and Classes are needed; the rest has defaults.
type Options struct {
	Target  string // the dispatcher's clients' address, host:port
	Classes []Class
	Owner   string // Req-Owner of every request
	// Rate is requests a second for an open loop; Clients, where above 0, makes it a closed loop
	// of so many clients instead.
	Rate    float64
	Clients int
	For     time.Duration
	Shape   string        // Steady where empty
	Swing   float64       // of Wave and Burst, 0.5 where 0; a Ramp begins at Swing times the rate
	Period  time.Duration // of Wave and Burst; 10 s where 0
	Poisson bool          // arrivals at random, else evenly spaced
	// Connections bounds the connections that are open at once; a request that finds all busy
	// waits for one, and the time it waits counts. 256 where 0.
	Connections int
	Seed        uint64
	// Dial opens a connection; a net.Dialer's where nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Result is what a run measured. Latencies are in microseconds, from when each request was due.
type Result struct {
	Asked   int     // requests due in the run
	Sent    int     // of them, sent before the run's length had passed
	Wanted  float64 // requests a second that were asked for, over the run (open loop)
	Got     float64 // requests a second that were sent
	Held    bool    // the rate was held: sent within 1% of it, and no request waited past lagMost to be sent
	MostLag time.Duration
	Classes []ClassResult
	All     *hdrhistogram.Histogram
}

// ClassResult counts one class's answers by their kind.
type ClassResult struct {
	Name                    string
	Served, Refused, Failed int // 200; 429 or 503; any other answer
	Broken                  int // no answer: the connection failed or the client's time ran out
	Statuses                map[int]int
	Latency                 *hdrhistogram.Histogram // of the answers, not of what broke
}

// lagMost is the longest a request may wait past its time to be sent for the rate to count as held.
const lagMost = 10 * time.Millisecond

// The bounds of what the histograms hold: 1 µs to an hour, three significant figures.
const (
	leastUS = 1
	mostUS  = int64(time.Hour / time.Microsecond)
	figures = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(leastUS, mostUS, figures) }

// check gives the options their defaults and names what is wrong.
func (o *Options) check() error {
	switch {
	case o.Target == "":
		return errors.New("no target")
	case len(o.Classes) == 0:
		return errors.New("no class of request")
	case o.Clients <= 0 && o.Rate <= 0:
		return errors.New("neither a rate nor a number of clients")
	case o.For <= 0:
		return errors.New("no length")
	}
	total := 0.0
	for _, c := range o.Classes {
		if c.Share < 0 || c.Name == "" || strings.ContainsAny(c.Name, "/?# ") {
			return fmt.Errorf("class %q: a name and a share of at least 0 are wanted", c.Name)
		}
		total += c.Share
	}
	if total <= 0 {
		return errors.New("the shares of the classes add up to 0")
	}
	switch o.Shape {
	case "":
		o.Shape = Steady
	case Steady, Wave, Burst, Ramp:
	default:
		return fmt.Errorf("shape %q: steady, wave, burst or ramp", o.Shape)
	}
	if o.Swing == 0 && (o.Shape == Wave || o.Shape == Burst) { // a ramp from 0 is one from nothing
		o.Swing = 0.5
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

// rateAt is the rate due at a time since the start, in requests a second.
func (o *Options) rateAt(t time.Duration) float64 {
	phase := math.Mod(t.Seconds(), o.Period.Seconds()) / o.Period.Seconds()
	switch o.Shape {
	case Wave:
		return o.Rate * (1 + o.Swing*math.Sin(2*math.Pi*phase))
	case Burst:
		if phase < 0.1 {
			return o.Rate * (1 + o.Swing)
		}
		return o.Rate
	case Ramp:
		return o.Rate * (o.Swing + (1-o.Swing)*min(1, t.Seconds()/o.For.Seconds()))
	}
	return o.Rate
}

// Schedule draws the instants at which requests are due, from the start, and the class of each.
// The same options give the same schedule.
func (o *Options) Schedule() (at []time.Duration, class []int, err error) {
	if err := o.check(); err != nil {
		return nil, nil, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x6c6f6164))
	peak := 0.0 // thinning: draw at the highest rate, keep each in proportion to the rate then
	for t := time.Duration(0); t < o.For; t += o.For / 1000 {
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
		} else { // evenly from the start, each counted afresh: sums of steps drift
			t = float64(n) / peak
		}
		d := time.Duration(t * float64(time.Second))
		if d >= o.For {
			return at, class, nil
		}
		if !o.Poisson && o.Shape == Steady || rng.Float64() < o.rateAt(d)/peak {
			at = append(at, d)
			pick := rng.Float64() * sum
			k := 0
			for k < len(cumulative)-1 && cumulative[k] < pick {
				k++
			}
			class = append(class, k)
		}
	}
}
