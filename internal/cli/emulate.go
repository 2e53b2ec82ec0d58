package cli

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"tinroute.example/tinroute/internal/lab/emulate"
)

type emulateWord struct {
	Nodes       int           `default:"10" help:"How many nodes."`
	Dispatchers int           `default:"3" help:"How many dispatchers."`
	Load        float64       `default:"0.7" help:"Share of what the nodes can do that is asked for."`
	Length      time.Duration `default:"1m" help:"Of the arrivals."`
	Seed        uint64        `default:"1" help:"Of everything that is drawn."`
	Fail        []string      `help:"A failure, as KIND,AT,FOR,SHARE[,SIZE]: slow,10s,20s,0.2,5. Kinds: vanish, slow, hang, refuse, fail, reset, pause, drain, outage, cost, replace." placeholder:"F" sep:"none"`
	Trace       bool          `help:"Write the event log."`
	Policy      string        `help:"A comparison policy in place of tinroute's own: random, round-robin, least-outstanding, two-choices, shortest-queue (with the true state)." placeholder:"NAME"`
}

var errRules = errors.New("rules were broken")

// failure reads one failure's text.
func failure(text string) (f emulate.Failure, err error) {
	p := strings.Split(text, ",")
	if len(p) < 4 || len(p) > 5 {
		return f, fmt.Errorf("--fail %q: KIND,AT,FOR,SHARE[,SIZE] is wanted", text)
	}
	f.Kind = emulate.Kind(p[0])
	if !slices.Contains([]emulate.Kind{emulate.Vanish, emulate.Slow, emulate.Hang, emulate.Refuse, emulate.Fail, emulate.Reset, emulate.Pause, emulate.Drain,
		emulate.Outage, emulate.Cost, emulate.Replace}, f.Kind) {
		return f, fmt.Errorf("--fail %q: no such kind", text)
	}
	var errs [4]error
	f.At, errs[0] = time.ParseDuration(p[1])
	f.For, errs[1] = time.ParseDuration(p[2])
	f.Share, errs[2] = strconv.ParseFloat(p[3], 64)
	f.Size = 1
	if len(p) == 5 {
		f.Size, errs[3] = strconv.ParseFloat(p[4], 64)
	}
	if err := errors.Join(errs[:]...); err != nil || f.At < 0 || f.For < 0 || f.Share < 0 || f.Share > 1 || f.Size < 0 {
		return f, fmt.Errorf("--fail %q: a time, share or size makes no sense", text)
	}
	return f, nil
}

// Run plays the shop and tells what came of it. It fails where a rule was broken.
func (e *emulateWord) Run(r *run) error {
	if e.Nodes < 1 || e.Load <= 0 {
		return errors.New("--nodes and --load are above 0")
	}
	s := emulate.Shop(e.Nodes, e.Dispatchers, e.Load)
	s.Seed, s.Length, s.Policy = e.Seed, e.Length, e.Policy
	for _, text := range e.Fail {
		f, err := failure(text)
		if err != nil {
			return err
		}
		s.Failures = append(s.Failures, f)
	}
	w, err := emulate.New(s)
	if err != nil {
		return err
	}
	if e.Trace {
		w.Trace = func(line string) { fmt.Fprintln(r.Out, line) }
	}
	began := time.Now()
	res := w.Play(2 * time.Minute)
	fmt.Fprintf(r.Out, "%d requests, %d sends, %d served in time, worth %.3f; %v played in %v; event log %016x\n", res.Requests, res.Sends, res.InTime, res.Worth,
		res.End.Round(time.Millisecond), time.Since(began).Round(time.Millisecond), res.Log)
	for _, k := range slices.Sorted(maps.Keys(res.Answers)) {
		fmt.Fprintf(r.Out, "  %-20s %6d\n", k, res.Answers[k])
	}
	for _, k := range slices.Sorted(maps.Keys(res.Took)) {
		t := slices.Sorted(slices.Values(res.Took[k]))
		fmt.Fprintf(r.Out, "  %-20s p50 %v  p99 %v\n", k, t[len(t)/2].Round(time.Millisecond), t[len(t)*99/100].Round(time.Millisecond))
	}
	if res.Pushed > 0 {
		fmt.Fprintf(r.Out, "  cold nodes: a second brought at most %.2f of what pushes one over\n", res.Pushed)
	}
	for _, b := range res.Broken {
		fmt.Fprintln(r.Out, "  broken:", b)
	}
	if len(res.Broken) > 0 {
		return errRules
	}
	return nil
}
