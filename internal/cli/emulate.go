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

type emulateCmd struct {
	Nodes       int           `default:"10" help:"Number of nodes."`
	Dispatchers int           `default:"3" help:"Number of dispatchers."`
	Load        float64       `default:"0.7" help:"Offered load as a share of the nodes' capacity."`
	Length      time.Duration `default:"1m" help:"Virtual time during which requests arrive."`
	Seed        uint64        `default:"1" help:"Seed of all random numbers."`
	Fail        []string      `help:"A failure, as KIND,AT,FOR,SHARE[,SIZE], for example slow,10s,20s,0.2,5. Kinds: vanish, slow, hang, refuse, fail, reset, pause, drain, outage, cost, replace." placeholder:"F" sep:"none"`
	Trace       bool          `help:"Print the event log."`
	Policy      string        `help:"A comparison policy instead of tinroute's own: random, round-robin, least-outstanding, two-choices, shortest-queue (which sees the true state)." placeholder:"NAME"`
}

var errRulesViolated = errors.New("the dispatchers violated rules; see the lines beginning with broken")

// parseFailure parses a value of --fail.
func parseFailure(text string) (f emulate.Failure, err error) {
	fields := strings.Split(text, ",")
	if len(fields) < 4 || len(fields) > 5 {
		return f, fmt.Errorf("--fail %q: want KIND,AT,FOR,SHARE[,SIZE]", text)
	}
	f.Kind = emulate.FailureKind(fields[0])
	if !slices.Contains([]emulate.FailureKind{emulate.Vanish, emulate.Slow, emulate.Hang, emulate.Refuse, emulate.Fail, emulate.Reset, emulate.Pause, emulate.Drain,
		emulate.Outage, emulate.Cost, emulate.Replace}, f.Kind) {
		return f, fmt.Errorf("--fail %q: unknown kind of failure", text)
	}
	var errs [4]error
	f.At, errs[0] = time.ParseDuration(fields[1])
	f.Duration, errs[1] = time.ParseDuration(fields[2])
	f.Share, errs[2] = strconv.ParseFloat(fields[3], 64)
	f.Magnitude = 1
	if len(fields) == 5 {
		f.Magnitude, errs[3] = strconv.ParseFloat(fields[4], 64)
	}
	if err := errors.Join(errs[:]...); err != nil || f.At < 0 || f.Duration < 0 || f.Share < 0 || f.Share > 1 || f.Magnitude < 0 {
		return f, fmt.Errorf("--fail %q: invalid time, share or size", text)
	}
	return f, nil
}

// Run runs the emulation and prints its results. It fails if a rule was violated.
func (cmd *emulateCmd) Run(r *runContext) error {
	if cmd.Nodes < 1 || cmd.Load <= 0 {
		return errors.New("--nodes and --load must be above 0")
	}
	scenario := emulate.PricingScenario(cmd.Nodes, cmd.Dispatchers, cmd.Load)
	scenario.Seed, scenario.Duration, scenario.Policy = cmd.Seed, cmd.Length, cmd.Policy
	for _, text := range cmd.Fail {
		failure, err := parseFailure(text)
		if err != nil {
			return err
		}
		scenario.Failures = append(scenario.Failures, failure)
	}
	emulation, err := emulate.New(scenario)
	if err != nil {
		return err
	}
	if cmd.Trace {
		emulation.OnEvent = func(line string) { fmt.Fprintln(r.Out, line) }
	}
	began := time.Now()
	result := emulation.Run(2 * time.Minute)
	fmt.Fprintf(r.Out, "%d requests, %d sends, %d served in time, worth %.3f; %v played in %v; event log %016x\n", result.Requests, result.Sends, result.InTime, result.Worth,
		result.Elapsed.Round(time.Millisecond), time.Since(began).Round(time.Millisecond), result.LogHash)
	for _, key := range slices.Sorted(maps.Keys(result.Answers)) {
		fmt.Fprintf(r.Out, "  %-20s %6d\n", key, result.Answers[key])
	}
	for _, key := range slices.Sorted(maps.Keys(result.Latencies)) {
		times := slices.Sorted(slices.Values(result.Latencies[key]))
		fmt.Fprintf(r.Out, "  %-20s p50 %v  p99 %v\n", key, times[len(times)/2].Round(time.Millisecond), times[len(times)*99/100].Round(time.Millisecond))
	}
	if result.MaxColdLoad > 0 {
		fmt.Fprintf(r.Out, "  cold nodes: a second brought at most %.2f of what pushes one over\n", result.MaxColdLoad)
	}
	for _, violation := range result.Violations {
		fmt.Fprintln(r.Out, "  broken:", violation)
	}
	if len(result.Violations) > 0 {
		return errRulesViolated
	}
	return nil
}
