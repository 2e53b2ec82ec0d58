package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/lab/load"
)

type loadWord struct {
	Target      string        `help:"The dispatcher's clients' address; $LB_LISTEN where empty." placeholder:"HOST:PORT"`
	Rate        float64       `default:"50" help:"Requests a second (open loop)."`
	Clients     int           `help:"Clients that each wait for their answer (closed loop), in place of a rate."`
	For         time.Duration `default:"10s" help:"How long to make load."`
	Shape       string        `default:"steady" enum:"steady,wave,burst,ramp" help:"How the rate runs over time: ${enum}."`
	Swing       float64       `help:"How far a wave or burst goes beyond the rate (0.5 where 0); where a ramp begins, as a share of it."`
	Period      time.Duration `default:"10s" help:"Of a wave or burst."`
	Poisson     bool          `help:"Arrivals at random, not evenly spaced."`
	Mix         string        `help:"Classes and their shares, as NAME=SHARE,...; those of $LB_CONFIG's settings, evenly, where empty." placeholder:"MIX"`
	Owner       string        `help:"Req-Owner of every request; the settings' first tenant where empty."`
	Connections int           `default:"256" help:"Connections open at once at most."`
	Seed        uint64        `default:"1" help:"Of the arrivals and their classes."`
	JSON        bool          `help:"Write the result as one JSON object."`
}

var errNotHeld = errors.New("the rate asked for was not held")

// classes are the mix: the settings' classes with their deadlines and repeats, and the shares the
// flag gives.
func (w *loadWord) classes(getenv func(string) string) ([]load.Class, string, error) {
	var known []balance.Class
	owner := w.Owner
	if getenv("LB_CONFIG") != "" {
		c, err := config.Load(getenv)
		if err != nil {
			return nil, "", err
		}
		known = c.Settings.Classes
		if owner == "" && len(c.Settings.Tenants) > 0 {
			owner = c.Settings.Tenants[0].Name
		}
		if w.Target == "" {
			w.Target = c.Listen
		}
	}
	deadline := func(name string) (time.Duration, bool, bool) {
		for _, k := range known {
			if k.Name == name {
				return k.Deadline, k.Idempotency != balance.Idempotent, true
			}
		}
		return 5 * time.Second, false, known == nil
	}
	var out []load.Class
	if w.Mix == "" {
		for _, k := range known {
			out = append(out, load.Class{Name: k.Name, Share: 1, Deadline: k.Deadline, Keyed: k.Idempotency != balance.Idempotent})
		}
		if out == nil {
			return nil, "", errors.New("--mix is wanted where LB_CONFIG names no settings")
		}
		return out, owner, nil
	}
	for _, part := range strings.Split(w.Mix, ",") {
		name, share, ok := strings.Cut(part, "=")
		n, err := strconv.ParseFloat(share, 64)
		if !ok || err != nil || n < 0 {
			return nil, "", fmt.Errorf("--mix %q: NAME=SHARE,... is wanted", w.Mix)
		}
		d, keyed, known := deadline(name)
		if !known {
			return nil, "", fmt.Errorf("--mix: no class %q in the settings", name)
		}
		out = append(out, load.Class{Name: name, Share: n, Deadline: d, Keyed: keyed})
	}
	return out, owner, nil
}

// Run makes the load and tells what came of it; it fails where the rate was not held.
func (w *loadWord) Run(r *run) error {
	classes, owner, err := w.classes(r.Getenv)
	if err != nil {
		return err
	}
	if w.Target == "" {
		w.Target = r.Getenv("LB_LISTEN")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := load.Options{Target: w.Target, Classes: classes, Owner: owner, Rate: w.Rate, Clients: w.Clients, For: w.For,
		Shape: w.Shape, Swing: w.Swing, Period: w.Period, Poisson: w.Poisson, Connections: w.Connections, Seed: w.Seed}
	res, err := load.Run(ctx, o, func(sent, due int) {
		switch { // a line rewritten in place on a terminal; in a log, lines
		case w.JSON:
		case r.IsTerminal:
			fmt.Fprintf(r.Err, "\rsent %d of %d", sent, due)
		default:
			fmt.Fprintf(r.Err, "sent %d of %d\n", sent, due)
		}
	})
	if err != nil {
		return err
	}
	if w.JSON {
		report(r.Out, res)
	} else {
		if r.IsTerminal {
			fmt.Fprint(r.Err, "\r")
		}
		summary(r.Out, res)
	}
	if !res.Held {
		return errNotHeld
	}
	return nil
}

// summary writes the result for people.
func summary(out io.Writer, res *load.Result) {
	p := func(format string, a ...any) { fmt.Fprintf(out, format+"\n", a...) }
	ms := func(us int64) string { return strconv.FormatFloat(float64(us)/1000, 'f', 1, 64) }
	p("sent %d of %d due; %.1f a second of %.1f asked; sent at most %v late", res.Sent, res.Asked, res.Got, res.Wanted,
		res.MostLag.Round(time.Microsecond))
	p("%-14s %8s %8s %8s %8s %8s %8s %8s %8s", "class", "served", "refused", "failed", "broken", "p50 ms", "p90", "p99", "max")
	for _, c := range res.Classes {
		h := c.Latency
		p("%-14s %8d %8d %8d %8d %8s %8s %8s %8s", c.Name, c.Served, c.Refused, c.Failed, c.Broken,
			ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99)), ms(h.Max()))
	}
	if !res.Held {
		p("the rate was not held: the target, or this machine, could not take it")
	}
}

// report writes the result as one JSON object.
func report(out io.Writer, res *load.Result) {
	type class struct {
		Name                            string
		Served, Refused, Failed, Broken int
		Statuses                        map[int]int
		P50, P90, P99, P999, Max        int64 // microseconds
	}
	v := struct {
		Asked, Sent     int
		Wanted, Got     float64
		Held            bool
		MostLagUS       int64
		Classes         []class
		P50, P99, MaxUS int64
	}{Asked: res.Asked, Sent: res.Sent, Wanted: res.Wanted, Got: res.Got, Held: res.Held, MostLagUS: res.MostLag.Microseconds(),
		P50: res.All.ValueAtQuantile(50), P99: res.All.ValueAtQuantile(99), MaxUS: res.All.Max()}
	for _, c := range res.Classes {
		h := c.Latency
		v.Classes = append(v.Classes, class{c.Name, c.Served, c.Refused, c.Failed, c.Broken, c.Statuses,
			h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()})
	}
	_ = json.NewEncoder(out).Encode(v)
}
