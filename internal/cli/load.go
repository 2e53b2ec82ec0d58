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

type loadCmd struct {
	Target      string        `help:"Address where the dispatcher serves clients; $LB_LISTEN if empty." placeholder:"HOST:PORT"`
	Rate        float64       `default:"50" help:"Requests a second (open loop)."`
	Clients     int           `help:"Number of clients that each wait for their answer (closed loop), instead of a rate."`
	For         time.Duration `default:"10s" help:"How long to generate load."`
	Shape       string        `default:"steady" enum:"steady,wave,burst,ramp" help:"How the rate changes over time: ${enum}."`
	Swing       float64       `help:"How far a wave or burst exceeds the rate (0.5 if 0), or where a ramp begins; both as a share of the rate."`
	Period      time.Duration `default:"10s" help:"Period of a wave or burst."`
	Poisson     bool          `help:"Random (Poisson) arrivals instead of evenly spaced ones."`
	Mix         string        `help:"Classes and their shares, as NAME=SHARE,...; if empty, all classes of the settings in $LB_CONFIG in equal shares." placeholder:"MIX"`
	Owner       string        `help:"Req-Owner header of every request; the first tenant of the settings if empty."`
	Connections int           `default:"256" help:"Maximum number of open connections."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals and their classes."`
	JSON        bool          `help:"Print the result as one JSON object."`
}

var errRateNotSustained = errors.New("the requested rate was not sustained")

// classes returns the classes to request, with their shares from the flag and their deadlines and
// repeat rules from the settings, and the value of the Req-Owner header.
func (cmd *loadCmd) classes(getenv func(string) string) ([]load.Class, string, error) {
	var known []balance.Class
	owner := cmd.Owner
	if getenv("LB_CONFIG") != "" {
		cfg, err := config.Load(getenv)
		if err != nil {
			return nil, "", err
		}
		known = cfg.Settings.Classes
		if owner == "" && len(cfg.Settings.Tenants) > 0 {
			owner = cfg.Settings.Tenants[0].Name
		}
		if cmd.Target == "" {
			cmd.Target = cfg.Listen
		}
	}
	classRules := func(name string) (time.Duration, bool, bool) {
		for _, class := range known {
			if class.Name == name {
				return class.Deadline, class.Idempotency != balance.Idempotent, true
			}
		}
		return 5 * time.Second, false, known == nil
	}
	var out []load.Class
	if cmd.Mix == "" {
		for _, class := range known {
			out = append(out, load.Class{Name: class.Name, Share: 1, Deadline: class.Deadline, Keyed: class.Idempotency != balance.Idempotent})
		}
		if out == nil {
			return nil, "", errors.New("--mix is required unless the settings in LB_CONFIG have classes")
		}
		return out, owner, nil
	}
	for _, part := range strings.Split(cmd.Mix, ",") {
		name, share, ok := strings.Cut(part, "=")
		weight, err := strconv.ParseFloat(share, 64)
		if !ok || err != nil || weight < 0 {
			return nil, "", fmt.Errorf("--mix %q: want NAME=SHARE pairs separated by commas", cmd.Mix)
		}
		deadline, keyed, known := classRules(name)
		if !known {
			return nil, "", fmt.Errorf("--mix: no class %q in the settings", name)
		}
		out = append(out, load.Class{Name: name, Share: weight, Deadline: deadline, Keyed: keyed})
	}
	return out, owner, nil
}

// Run generates the load and prints the results. It fails if the rate was not sustained.
func (cmd *loadCmd) Run(r *runContext) error {
	classes, owner, err := cmd.classes(r.Getenv)
	if err != nil {
		return err
	}
	if cmd.Target == "" {
		cmd.Target = r.Getenv("LB_LISTEN")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	options := load.Options{Target: cmd.Target, Classes: classes, Owner: owner, Rate: cmd.Rate, Clients: cmd.Clients, Duration: cmd.For,
		Shape: cmd.Shape, Amplitude: cmd.Swing, Period: cmd.Period, Poisson: cmd.Poisson, Connections: cmd.Connections, Seed: cmd.Seed}
	result, err := load.Run(ctx, options, func(sent, due int) {
		switch { // one line rewritten in place on a terminal, otherwise a line for each update
		case cmd.JSON:
		case r.IsTerminal:
			fmt.Fprintf(r.Err, "\rsent %d of %d", sent, due)
		default:
			fmt.Fprintf(r.Err, "sent %d of %d\n", sent, due)
		}
	})
	if err != nil {
		return err
	}
	if cmd.JSON {
		printJSON(r.Out, result)
	} else {
		if r.IsTerminal {
			fmt.Fprint(r.Err, "\r")
		}
		printSummary(r.Out, result)
	}
	if !result.RateHeld {
		return errRateNotSustained
	}
	return nil
}

// printSummary prints the result as a table.
func printSummary(out io.Writer, result *load.Result) {
	printf := func(format string, a ...any) { fmt.Fprintf(out, format+"\n", a...) }
	ms := func(us int64) string { return strconv.FormatFloat(float64(us)/1000, 'f', 1, 64) }
	printf("sent %d of %d due; %.1f a second of %.1f asked; sent at most %v late", result.Sent, result.Due, result.SentRate, result.TargetRate,
		result.MaxLag.Round(time.Microsecond))
	printf("%-14s %8s %8s %8s %8s %8s %8s %8s %8s", "class", "served", "refused", "failed", "broken", "p50 ms", "p90", "p99", "max")
	for _, c := range result.Classes {
		latency := c.Latency
		printf("%-14s %8d %8d %8d %8d %8s %8s %8s %8s", c.Name, c.Served, c.Refused, c.Failed, c.Unanswered,
			ms(latency.ValueAtQuantile(50)), ms(latency.ValueAtQuantile(90)), ms(latency.ValueAtQuantile(99)), ms(latency.Max()))
	}
	if !result.RateHeld {
		printf("the rate was not held: the target, or this machine, could not take it")
	}
}

// printJSON prints the result as one JSON object.
func printJSON(out io.Writer, result *load.Result) {
	type class struct {
		Name       string      `json:"Name"`
		Served     int         `json:"Served"`
		Refused    int         `json:"Refused"`
		Failed     int         `json:"Failed"`
		Unanswered int         `json:"Broken"`
		Statuses   map[int]int `json:"Statuses"`
		P50Micros  int64       `json:"P50"`
		P90Micros  int64       `json:"P90"`
		P99Micros  int64       `json:"P99"`
		P999Micros int64       `json:"P999"`
		MaxMicros  int64       `json:"Max"`
	}
	output := struct {
		Due          int     `json:"Asked"`
		Sent         int     `json:"Sent"`
		TargetRate   float64 `json:"Wanted"`
		SentRate     float64 `json:"Got"`
		RateHeld     bool    `json:"Held"`
		MaxLagMicros int64   `json:"MostLagUS"`
		Classes      []class `json:"Classes"`
		P50Micros    int64   `json:"P50"`
		P99Micros    int64   `json:"P99"`
		MaxMicros    int64   `json:"MaxUS"`
	}{Due: result.Due, Sent: result.Sent, TargetRate: result.TargetRate, SentRate: result.SentRate, RateHeld: result.RateHeld, MaxLagMicros: result.MaxLag.Microseconds(),
		P50Micros: result.All.ValueAtQuantile(50), P99Micros: result.All.ValueAtQuantile(99), MaxMicros: result.All.Max()}
	for _, c := range result.Classes {
		latency := c.Latency
		output.Classes = append(output.Classes, class{c.Name, c.Served, c.Refused, c.Failed, c.Unanswered, c.Statuses,
			latency.ValueAtQuantile(50), latency.ValueAtQuantile(90), latency.ValueAtQuantile(99), latency.ValueAtQuantile(99.9), latency.Max()})
	}
	_ = json.NewEncoder(out).Encode(output)
}
