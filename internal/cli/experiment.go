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

type experimentWord struct {
	Days        []string      `help:"Days to play: calm, slow, vanish, heavy-tail, restart; all where empty." sep:","`
	Policies    []string      `help:"Policies: tinroute and random, round-robin, least-outstanding, two-choices, shortest-queue; all where empty." sep:","`
	Seeds       int           `default:"5" help:"Seeds of each day and policy."`
	Nodes       int           `default:"10" help:"How many nodes."`
	Dispatchers int           `default:"3" help:"How many dispatchers."`
	Load        float64       `default:"0.7" help:"Share of what the nodes can do that is asked for."`
	Length      time.Duration `default:"1m" help:"Of each day's arrivals, in virtual time."`
	Bound       time.Duration `default:"1m" help:"Virtual time after the arrivals within which a play must end, else it counts as jammed."`
	Workers     int           `help:"Plays at once; the processors' count where 0."`
	Out         string        `default:"results.jsonl" help:"Outcomes, a JSON line each; what it holds already is not played again." placeholder:"FILE"`
	CSV         string        `help:"Write the summary as CSV too." placeholder:"FILE"`
}

var errOwnBroken = errors.New("tinroute's policy broke a rule")

// Run plays what of the matrix is not in the file yet, appends each outcome as it comes, and sums
// the whole file's matrix up. It fails where tinroute's own policy broke a rule; the comparison
// policies' breaks are findings, told in the summary.
//
//revive:disable-next-line:function-length one command's flags, play and tables
func (e *experimentWord) Run(r *run) error {
	plan := experiment.Plan{Seeds: e.Seeds, Nodes: e.Nodes, Dispatchers: e.Dispatchers, Load: e.Load,
		Length: e.Length, Bound: e.Bound, Workers: cmp.Or(max(0, e.Workers), runtime.NumCPU())}
	for _, d := range experiment.Days {
		if len(e.Days) == 0 || slices.Contains(e.Days, d.Name) {
			plan.Days = append(plan.Days, d)
		}
	}
	if len(plan.Days) < max(1, len(e.Days)) {
		return fmt.Errorf("--days %v: of calm, slow, vanish, heavy-tail, restart", e.Days)
	}
	plan.Policies = e.Policies
	if len(plan.Policies) == 0 {
		plan.Policies = append([]string{experiment.Own}, compare.Names...)
	}
	had, err := readOutcomes(e.Out)
	if err != nil {
		return err
	}
	done := map[experiment.Cell]bool{}
	for _, o := range had {
		done[o.Cell] = true
	}
	f, err := os.OpenFile(e.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	all, left := plan.Cells(), 0
	for _, c := range all {
		if !done[c] {
			left++
		}
	}
	fmt.Fprintf(r.Err, "%d plays, %d of them done before\n", len(all), len(all)-left)
	began, n := time.Now(), 0
	var werr error
	err = experiment.Run(ctx, plan, done, func(o experiment.Outcome) {
		line, _ := json.Marshal(o)
		if _, e := f.Write(append(line, '\n')); e != nil && werr == nil {
			werr = e
		}
		had = append(had, o)
		n++
		if r.IsTerminal {
			fmt.Fprintf(r.Err, "\r%d of %d played, %v", n, left, time.Since(began).Round(time.Second))
		}
	})
	if r.IsTerminal {
		fmt.Fprintln(r.Err)
	}
	if err = errors.Join(err, werr); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return fmt.Errorf("stopped after %d of %d plays; the same words go on from there", n, left)
	}
	at := map[experiment.Cell]int{} // the plan's order, not the order in which plays ended
	for i, c := range all {
		at[c] = i + 1
	}
	var mine []experiment.Outcome
	for _, o := range had {
		if at[o.Cell] > 0 {
			mine = append(mine, o)
		}
	}
	slices.SortStableFunc(mine, func(a, b experiment.Outcome) int { return at[a.Cell] - at[b.Cell] })
	sums := experiment.Summarize(mine)
	table(r.Out, sums)
	if e.CSV != "" {
		if err := writeCSV(e.CSV, sums); err != nil {
			return err
		}
	}
	for _, s := range sums {
		if s.Policy == experiment.Own && s.Broken > 0 {
			return errOwnBroken
		}
	}
	return nil
}

// readOutcomes reads a file of outcomes; one that is not there holds none. A last line cut short,
// as a kill in the midst of a write leaves it, is left out and the file cut back to the lines that
// are whole, so that what comes next is appended to them; a spoilt line before the last is named.
func readOutcomes(path string) ([]experiment.Outcome, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var out []experiment.Outcome
	whole := 0 // bytes of whole lines
	rest := data
	for line := 1; len(rest) > 0; line++ {
		text, after, ended := bytes.Cut(rest, []byte("\n"))
		var o experiment.Outcome
		if err := json.Unmarshal(text, &o); err != nil {
			if len(bytes.TrimSpace(text)) == 0 && ended {
				whole += len(text) + 1
				rest = after
				continue
			}
			if len(bytes.TrimSpace(after)) == 0 { // the last: cut short
				return out, os.Truncate(path, int64(whole))
			}
			return out, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		if !ended { // whole as JSON, but its line was not ended: the next would be appended to it
			return out, os.Truncate(path, int64(whole))
		}
		out = append(out, o)
		whole += len(text) + 1
		rest = after
	}
	return out, nil
}

func table(w io.Writer, sums []experiment.Summary) {
	fmt.Fprintf(w, "%-11s %-18s %5s %15s %8s %8s %6s %7s %7s\n", "day", "policy", "plays", "worth (95%)", "p50 ms",
		"p99 ms", "sends", "broken", "jammed")
	for _, s := range sums {
		ci := "±" + strconv.FormatFloat(s.WorthCI, 'f', 3, 64)
		if math.IsNaN(s.WorthCI) {
			ci = ""
		}
		fmt.Fprintf(w, "%-11s %-18s %5d %8.3f %-6s %8.0f %8.0f %6.2f %7d %7d\n", s.Day, s.Policy, s.Plays, s.Worth, ci,
			s.P50, s.P99, s.SendsPerRequest, s.Broken, s.Jammed)
	}
}

func writeCSV(path string, sums []experiment.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	c := csv.NewWriter(f)
	_ = c.Write([]string{"day", "policy", "plays", "worth", "worth_ci95", "p50_ms", "p99_ms", "sends_per_request",
		"plays_broken", "plays_jammed"})
	for _, s := range sums {
		g := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
		_ = c.Write([]string{s.Day, s.Policy, strconv.Itoa(s.Plays), g(s.Worth), g(s.WorthCI), g(s.P50), g(s.P99),
			g(s.SendsPerRequest), strconv.Itoa(s.Broken), strconv.Itoa(s.Jammed)})
	}
	c.Flush()
	return errors.Join(c.Error(), f.Close())
}
