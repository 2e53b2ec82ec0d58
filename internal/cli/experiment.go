package cli

import (
	"bytes"
	"cmp"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"time"

	"tinroute.example/tinroute/internal/lab/compare"
	"tinroute.example/tinroute/internal/lab/experiment"
)

type experimentCmd struct {
	Days        []string      `help:"Days (workloads) to run: calm, slow, vanish, heavy-tail, restart; all if empty." sep:","`
	Policies    []string      `help:"Policies: tinroute and random, round-robin, least-outstanding, two-choices, shortest-queue; all if empty." sep:","`
	Seeds       int           `default:"5" help:"Number of seeds for each day and policy."`
	Nodes       int           `default:"10" help:"Number of nodes."`
	Dispatchers int           `default:"3" help:"Number of dispatchers."`
	Load        float64       `default:"0.7" help:"Offered load as a share of the nodes' capacity."`
	Length      time.Duration `default:"1m" help:"Virtual time during which requests arrive, for each day."`
	Bound       time.Duration `default:"1m" help:"Virtual time after the arrivals within which a run must end; otherwise it counts as jammed."`
	Workers     int           `help:"Runs in parallel; the number of processors if 0."`
	Out         string        `default:"results.jsonl" help:"File for the results, one JSON line each; runs that it already holds are skipped." placeholder:"FILE"`
	CSV         string        `help:"Also write the summary as CSV." placeholder:"FILE"`
}

var errOwnPolicyViolation = errors.New("tinroute's own policy violated a rule")

// Run runs the combinations of day, policy and seed that are not in the results file yet, appends
// each result as its run ends, and prints a summary of all of them. It fails if tinroute's own policy
// violated a rule; violations by the comparison policies are only counted in the summary.
//
//revive:disable-next-line:function-length handles one command's flags, runs and tables in sequence
func (cmd *experimentCmd) Run(r *runContext) error {
	plan := experiment.Plan{Seeds: cmd.Seeds, Nodes: cmd.Nodes, Dispatchers: cmd.Dispatchers, Load: cmd.Load,
		Duration: cmd.Length, CompletionTimeout: cmd.Bound, Parallelism: cmp.Or(max(0, cmd.Workers), runtime.NumCPU())}
	for _, d := range experiment.Scenarios {
		if len(cmd.Days) == 0 || slices.Contains(cmd.Days, d.Name) {
			plan.Scenarios = append(plan.Scenarios, d)
		}
	}
	if len(plan.Scenarios) < max(1, len(cmd.Days)) {
		return fmt.Errorf("--days %v: only calm, slow, vanish, heavy-tail and restart are known", cmd.Days)
	}
	plan.Policies = cmd.Policies
	if len(plan.Policies) == 0 {
		plan.Policies = append([]string{experiment.OwnPolicy}, compare.Names...)
	}
	outcomes, err := readOutcomes(cmd.Out)
	if err != nil {
		return err
	}
	done := map[experiment.Trial]bool{}
	for _, outcome := range outcomes {
		done[outcome.Trial] = true
	}
	file, err := os.OpenFile(cmd.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trials, remaining := plan.Trials(), 0
	for _, trial := range trials {
		if !done[trial] {
			remaining++
		}
	}
	fmt.Fprintf(r.Err, "%d plays, %d of them done before\n", len(trials), len(trials)-remaining)
	began, finished := time.Now(), 0
	var writeErr error
	err = experiment.Run(ctx, plan, done, func(outcome experiment.Outcome) {
		line, _ := json.Marshal(outcome)
		if _, e := file.Write(append(line, '\n')); e != nil && writeErr == nil {
			writeErr = e
		}
		outcomes = append(outcomes, outcome)
		finished++
		if r.IsTerminal {
			fmt.Fprintf(r.Err, "\r%d of %d played, %v", finished, remaining, time.Since(began).Round(time.Second))
		}
	})
	if r.IsTerminal {
		fmt.Fprintln(r.Err)
	}
	if err = errors.Join(err, writeErr); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return fmt.Errorf("stopped after %d of %d runs; repeat the same command to continue", finished, remaining)
	}
	order := map[experiment.Trial]int{} // position in the plan, as the results are in the order in which runs ended
	for i, trial := range trials {
		order[trial] = i + 1
	}
	var planned []experiment.Outcome
	for _, outcome := range outcomes {
		if order[outcome.Trial] > 0 {
			planned = append(planned, outcome)
		}
	}
	slices.SortStableFunc(planned, func(a, b experiment.Outcome) int { return order[a.Trial] - order[b.Trial] })
	summaries := experiment.Summarize(planned)
	printTable(r.Out, summaries)
	if cmd.CSV != "" {
		if err := writeCSV(cmd.CSV, summaries); err != nil {
			return err
		}
	}
	for _, s := range summaries {
		if s.Policy == experiment.OwnPolicy && s.ViolatingTrials > 0 {
			return errOwnPolicyViolation
		}
	}
	return nil
}

// readOutcomes reads a results file; a file that does not exist has none. A truncated last line,
// as a process killed during a write leaves it, is ignored and cut off the file, so that the next
// result is appended after a complete line. An invalid line before the last is an error.
func readOutcomes(path string) ([]experiment.Outcome, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var outcomes []experiment.Outcome
	completeBytes := 0 // bytes of the complete lines
	rest := data
	for line := 1; len(rest) > 0; line++ {
		text, after, hasNewline := bytes.Cut(rest, []byte("\n"))
		var outcome experiment.Outcome
		if err := json.Unmarshal(text, &outcome); err != nil {
			if len(bytes.TrimSpace(text)) == 0 && hasNewline {
				completeBytes += len(text) + 1
				rest = after
				continue
			}
			if len(bytes.TrimSpace(after)) == 0 { // truncated last line
				return outcomes, os.Truncate(path, int64(completeBytes))
			}
			return outcomes, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		if !hasNewline { // valid JSON without a newline: the next result would be appended to the same line
			return outcomes, os.Truncate(path, int64(completeBytes))
		}
		outcomes = append(outcomes, outcome)
		completeBytes += len(text) + 1
		rest = after
	}
	return outcomes, nil
}

// printTable prints the summaries as a table.
func printTable(w io.Writer, summaries []experiment.Summary) {
	fmt.Fprintf(w, "%-11s %-18s %5s %15s %8s %8s %6s %7s %7s\n", "day", "policy", "plays", "worth (95%)", "p50 ms",
		"p99 ms", "sends", "broken", "jammed")
	for _, s := range summaries {
		interval := "±" + strconv.FormatFloat(s.WorthCI, 'f', 3, 64)
		if math.IsNaN(s.WorthCI) {
			interval = ""
		}
		fmt.Fprintf(w, "%-11s %-18s %5d %8.3f %-6s %8.0f %8.0f %6.2f %7d %7d\n", s.Scenario, s.Policy, s.Trials, s.Worth, interval,
			s.P50, s.P99, s.SendsPerRequest, s.ViolatingTrials, s.TimedOutTrials)
	}
}

func writeCSV(path string, summaries []experiment.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	_ = w.Write([]string{"day", "policy", "plays", "worth", "worth_ci95", "p50_ms", "p99_ms", "sends_per_request",
		"plays_broken", "plays_jammed"})
	for _, s := range summaries {
		format := func(value float64) string { return strconv.FormatFloat(value, 'f', 4, 64) }
		_ = w.Write([]string{s.Scenario, s.Policy, strconv.Itoa(s.Trials), format(s.Worth), format(s.WorthCI), format(s.P50), format(s.P99),
			format(s.SendsPerRequest), strconv.Itoa(s.ViolatingTrials), strconv.Itoa(s.TimedOutTrials)})
	}
	w.Flush()
	return errors.Join(w.Error(), f.Close())
}
