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

// batchLine is the JSON form of a batch in a file, with the request in protobuf's JSON encoding.
type batchLine struct {
	At      time.Time       `json:"at"`
	Traces  json.RawMessage `json:"traces,omitempty"`
	Metrics json.RawMessage `json:"metrics,omitempty"`
	Logs    json.RawMessage `json:"logs,omitempty"`
}

// WriteBatch writes a batch as one line of JSON.
func WriteBatch(w io.Writer, b Batch) error {
	l := batchLine{At: b.At}
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

// ReadBatches reads the batches written by WriteBatch. It ignores an incomplete last line.
func ReadBatches(r io.Reader, handle func(Batch)) error {
	in := bufio.NewReaderSize(r, 1<<20)
	for n := 1; ; n++ {
		text, err := in.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var l batchLine
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
		handle(b)
	}
}

// ReportOptions selects the requests of a report.
type ReportOptions struct {
	Class    string    // empty for all classes
	From, To time.Time // range of the start times of requests; zero for no limit
	Slowest  int       // number of the slowest requests to show as timelines
}

func (opts ReportOptions) matches(request *Span) bool {
	return (opts.Class == "" || request.Attributes["tinroute.class"] == opts.Class) && (opts.From.IsZero() || !request.Start.Before(opts.From)) &&
		(opts.To.IsZero() || request.Start.Before(opts.To))
}

// phaseTotal accumulates the durations of one phase.
type phaseTotal struct {
	count    int
	sum, max time.Duration
}

func (t *phaseTotal) add(d time.Duration) {
	t.count++
	t.sum += d
	t.max = max(t.max, d)
}

// phaseOrder lists the phases in the order in which a request passes through them.
var phaseOrder = []string{"hook", "queue", "connect", "write", "accept", "region.queue", "run", "callback", "cancel", "reply"}

func phaseRank(phase string) int {
	if i := slices.Index(phaseOrder, phase); i >= 0 {
		return i
	}
	return len(phaseOrder)
}

// WriteReport writes a table of the time that the selected requests spent, by phase and worker, and the slowest requests
// as timelines. It also writes the number of requests with missing attempts.
//
//revive:disable-next-line:function-length one report in sequence
func WriteReport(w io.Writer, all []*Span, opts ReportOptions) error {
	incomplete := map[string]bool{}
	var selected []*Span
	byVerdict := map[string]int{}
	for _, request := range LinkSpans(all) {
		if opts.matches(request) {
			selected = append(selected, request)
			byVerdict[request.Attributes["tinroute.verdict"]]++
		}
	}
	type phaseKey struct{ worker, phase string }
	totals, totalTime := map[phaseKey]*phaseTotal{}, time.Duration(0)
	add := func(worker string, phase *Span) {
		key := phaseKey{worker, phase.Attributes["tinroute.phase"]}
		if totals[key] == nil {
			totals[key] = &phaseTotal{}
		}
		totals[key].add(phase.Duration())
	}
	for _, request := range selected {
		totalTime += request.Duration()
		attempts := 0
		for _, child := range request.Children {
			if child.IsPhase() {
				add("dispatcher", child)
			}
			if child.IsAttempt() {
				attempts++
				for _, phase := range child.Children {
					add(child.Attributes["tinroute.region"], phase)
				}
			}
		}
		if fmt.Sprint(attempts) != request.Attributes["tinroute.attempts"] {
			incomplete[request.ID] = true
		}
	}
	fmt.Fprintf(w, "%d requests", len(selected))
	for _, verdict := range slices.Sorted(maps.Keys(byVerdict)) {
		fmt.Fprintf(w, ", %d %s", byVerdict[verdict], verdict)
	}
	if len(incomplete) > 0 {
		fmt.Fprintf(w, "; of %d not all tasks have come", len(incomplete))
	}
	fmt.Fprintf(w, "\n\n")
	keys := slices.SortedFunc(maps.Keys(totals), func(a, b phaseKey) int {
		return cmp.Or(cmp.Compare(totals[b].sum, totals[a].sum), cmp.Compare(phaseRank(a.phase), phaseRank(b.phase)), cmp.Compare(a.worker, b.worker))
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "where\tphase\ttimes\tmean ms\tmost ms\tshare of all waiting\t")
	for _, key := range keys {
		total := totals[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f%%\t\n", key.worker, key.phase, total.count, milliseconds(total.sum)/float64(total.count), milliseconds(total.max), 100*total.sum.Seconds()/max(1e-9, totalTime.Seconds()))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	slices.SortStableFunc(selected, func(a, b *Span) int { return cmp.Compare(b.Duration(), a.Duration()) })
	for _, request := range selected[:min(opts.Slowest, len(selected))] {
		WriteTimeline(w, request)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

// barWidth is the width of the bars of a timeline.
const barWidth = 48

// WriteTimeline writes one request with a line for each attempt and phase, with a bar that shows its time.
func WriteTimeline(w io.Writer, request *Span) {
	attributes := request.Attributes
	fmt.Fprintf(w, "\n%s  %s %s  %s after %.1f ms, late %s, attempts %s, trace %s\n", request.Start.UTC().Format("2006-01-02 15:04:05.000"), attributes["tinroute.class"],
		attributes["tinroute.request.id"], attributes["tinroute.verdict"], milliseconds(request.Duration()), attributes["tinroute.late"], attributes["tinroute.attempts"], request.TraceID)
	if attributes["tinroute.reason"] != "" {
		fmt.Fprintf(w, "  reason: %s\n", attributes["tinroute.reason"])
	}
	duration := request.Duration()
	for _, child := range request.Children { // attempts may continue after the answer
		duration = max(duration, child.End.Sub(request.Start))
	}
	bar := func(s *Span, mark string) string {
		at := func(t time.Time) int {
			return int(float64(barWidth) * t.Sub(request.Start).Seconds() / max(1e-9, duration.Seconds()))
		}
		from := min(barWidth-1, max(0, at(s.Start)))
		return strings.Repeat(" ", from) + strings.Repeat(mark, min(barWidth-from, max(1, at(s.End)-from)))
	}
	show := func(name string, s *Span, mark string) {
		fmt.Fprintf(w, "  %-34s %9.1f %9.1f  |%-*s|\n", name, milliseconds(s.Start.Sub(request.Start)), milliseconds(s.Duration()), barWidth, bar(s, mark))
	}
	fmt.Fprintf(w, "  %-34s %9s %9s\n", "", "from ms", "took ms")
	for _, child := range request.Children {
		switch {
		case child.IsPhase():
			show(child.Attributes["tinroute.phase"], child, "-")
		case child.IsAttempt():
			attempt := child.Attributes
			name := "task " + attempt["tinroute.attempt"] + " " + attempt["tinroute.region"] + " " + attempt["tinroute.status"]
			if attempt["tinroute.copy"] == "true" {
				name += " (copy)"
			} else if attempt["tinroute.retry"] == "true" {
				name += " (after " + attempt["tinroute.why"] + ")"
			}
			show(name, child, "=")
			for _, phase := range child.Children {
				show("    "+phase.Attributes["tinroute.phase"], phase, "-")
			}
		}
	}
}
