package collector

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	logs "go.opentelemetry.io/proto/otlp/collector/logs/v1"
	metrics "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	traces "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// line is one batch in a file: a JSON object a line, in protobuf's JSON form.
type line struct {
	At      time.Time       `json:"at"`
	Traces  json.RawMessage `json:"traces,omitempty"`
	Metrics json.RawMessage `json:"metrics,omitempty"`
	Logs    json.RawMessage `json:"logs,omitempty"`
}

// Write writes a batch as one line.
func Write(w io.Writer, b Batch) error {
	l := line{At: b.At}
	var err error
	set := func(to *json.RawMessage, m proto.Message) {
		if err == nil {
			*to, err = protojson.Marshal(m)
		}
	}
	if b.Traces != nil {
		set(&l.Traces, b.Traces)
	}
	if b.Metrics != nil {
		set(&l.Metrics, b.Metrics)
	}
	if b.Logs != nil {
		set(&l.Logs, b.Logs)
	}
	if err != nil {
		return err
	}
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// Read reads what Write has written. A last line that was cut short is left out.
func Read(r io.Reader, f func(Batch)) error {
	in := bufio.NewReaderSize(r, 1<<20)
	for n := 1; ; n++ {
		text, err := in.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		b := Batch{At: l.At}
		switch {
		case l.Traces != nil:
			b.Traces = &traces.ExportTraceServiceRequest{}
			err = protojson.Unmarshal(l.Traces, b.Traces)
		case l.Metrics != nil:
			b.Metrics = &metrics.ExportMetricsServiceRequest{}
			err = protojson.Unmarshal(l.Metrics, b.Metrics)
		case l.Logs != nil:
			b.Logs = &logs.ExportLogsServiceRequest{}
			err = protojson.Unmarshal(l.Logs, b.Logs)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		f(b)
	}
}

// Question is what a report is asked.
type Question struct {
	Class    string    // empty for all
	From, To time.Time // of the requests' starts; zero for no bound
	Slowest  int
}

func (q Question) wants(r *Span) bool {
	return (q.Class == "" || r.Attributes["tinroute.class"] == q.Class) && (q.From.IsZero() || !r.From.Before(q.From)) &&
		(q.To.IsZero() || r.From.Before(q.To))
}

// cell sums the time of one phase.
type cell struct {
	n        int
	sum, max time.Duration
}

func (c *cell) add(d time.Duration) {
	c.n++
	c.sum += d
	c.max = max(c.max, d)
}

// order is the one in which a request meets its phases.
var order = []string{"hook", "queue", "connect", "write", "accept", "region.queue", "run", "callback", "cancel", "reply"}

func rank(phase string) int {
	if i := slices.Index(order, phase); i >= 0 {
		return i
	}
	return len(order)
}

// Report writes where the time of the wanted requests went: a table by phase and region, then the
// slowest as timelines. Requests whose spans are not whole are counted, and left out.
//
//revive:disable-next-line:function-length one report, section by section
func Report(w io.Writer, all []*Span, q Question) error {
	faulty := map[string]bool{}
	var wanted []*Span
	byVerdict := map[string]int{}
	for _, r := range Requests(all) {
		if q.wants(r) {
			wanted = append(wanted, r)
			byVerdict[r.Attributes["tinroute.verdict"]]++
		}
	}
	type where struct{ region, phase string }
	cells, whole := map[where]*cell{}, time.Duration(0)
	add := func(region string, p *Span) {
		k := where{region, p.Attributes["tinroute.phase"]}
		if cells[k] == nil {
			cells[k] = &cell{}
		}
		cells[k].add(p.Took())
	}
	for _, r := range wanted {
		whole += r.Took()
		tasks := 0
		for _, c := range r.Children {
			if c.IsPhase() {
				add("dispatcher", c)
			}
			if c.IsTask() {
				tasks++
				for _, p := range c.Children {
					add(c.Attributes["tinroute.region"], p)
				}
			}
		}
		if fmt.Sprint(tasks) != r.Attributes["tinroute.attempts"] {
			faulty[r.ID] = true
		}
	}
	fmt.Fprintf(w, "%d requests", len(wanted))
	for _, v := range slices.Sorted(maps.Keys(byVerdict)) {
		fmt.Fprintf(w, ", %d %s", byVerdict[v], v)
	}
	if len(faulty) > 0 {
		fmt.Fprintf(w, "; of %d not all tasks have come", len(faulty))
	}
	fmt.Fprintf(w, "\n\n")
	keys := slices.SortedFunc(maps.Keys(cells), func(a, b where) int {
		return cmp.Or(cmp.Compare(cells[b].sum, cells[a].sum), cmp.Compare(rank(a.phase), rank(b.phase)), cmp.Compare(a.region, b.region))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "where\tphase\ttimes\tmean ms\tmost ms\tshare of all waiting\t")
	for _, k := range keys {
		c := cells[k]
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f%%\t\n", k.region, k.phase, c.n, millis(c.sum)/float64(c.n), millis(c.max), 100*c.sum.Seconds()/max(1e-9, whole.Seconds()))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	slices.SortStableFunc(wanted, func(a, b *Span) int { return cmp.Compare(b.Took(), a.Took()) })
	for _, r := range wanted[:min(q.Slowest, len(wanted))] {
		Timeline(w, r)
	}
	return nil
}

func millis(d time.Duration) float64 { return d.Seconds() * 1e3 }

// width of a timeline's bar.
const width = 48

// Timeline writes one request, a line a stretch, with a bar that shows when it was.
func Timeline(w io.Writer, r *Span) {
	a := r.Attributes
	fmt.Fprintf(w, "\n%s  %s %s  %s after %.1f ms, late %s, attempts %s, trace %s\n", r.From.UTC().Format("2006-01-02 15:04:05.000"), a["tinroute.class"],
		a["tinroute.request.id"], a["tinroute.verdict"], millis(r.Took()), a["tinroute.late"], a["tinroute.attempts"], r.Trace)
	if a["tinroute.reason"] != "" {
		fmt.Fprintf(w, "  reason: %s\n", a["tinroute.reason"])
	}
	whole := r.Took()
	for _, c := range r.Children { // what goes on after the answer is shown too
		whole = max(whole, c.To.Sub(r.From))
	}
	bar := func(s *Span, mark string) string {
		at := func(t time.Time) int {
			return int(float64(width) * t.Sub(r.From).Seconds() / max(1e-9, whole.Seconds()))
		}
		from := min(width-1, max(0, at(s.From)))
		return strings.Repeat(" ", from) + strings.Repeat(mark, min(width-from, max(1, at(s.To)-from)))
	}
	show := func(name string, s *Span, mark string) {
		fmt.Fprintf(w, "  %-34s %9.1f %9.1f  |%-*s|\n", name, millis(s.From.Sub(r.From)), millis(s.Took()), width, bar(s, mark))
	}
	fmt.Fprintf(w, "  %-34s %9s %9s\n", "", "from ms", "took ms")
	for _, c := range r.Children {
		switch {
		case c.IsPhase():
			show(c.Attributes["tinroute.phase"], c, "-")
		case c.IsTask():
			k := c.Attributes
			name := "task " + k["tinroute.attempt"] + " " + k["tinroute.region"] + " " + k["tinroute.status"]
			if k["tinroute.copy"] == "true" {
				name += " (copy)"
			} else if k["tinroute.retry"] == "true" {
				name += " (after " + k["tinroute.why"] + ")"
			}
			show(name, c, "=")
			for _, p := range c.Children {
				show("    "+p.Attributes["tinroute.phase"], p, "-")
			}
		}
	}
}
