package collector

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"time"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	spans "go.opentelemetry.io/proto/otlp/trace/v1"
)

// Span is one span, as the checks and reports need it.
type Span struct {
	Trace, ID, Parent string // hex; Parent is empty for none
	Name              string
	From, To          time.Time
	Attributes        map[string]string
	Links             []string // span ids
	Children          []*Span
}

// Took is how long the span lasted.
func (s *Span) Took() time.Duration { return s.To.Sub(s.From) }

// IsRequest tells whether a span of tinroute's is a request's; IsTask and IsPhase tell of the others.
func (s *Span) IsRequest() bool { return s.Attributes["tinroute.verdict"] != "" }

// IsTask tells whether it is a routed task.
func (s *Span) IsTask() bool { return s.Attributes["tinroute.status"] != "" }

// IsPhase tells whether it is a phase of one of the two.
func (s *Span) IsPhase() bool { return s.Attributes["tinroute.phase"] != "" }

func text(v *common.AnyValue) string {
	switch x := v.GetValue().(type) {
	case *common.AnyValue_StringValue:
		return x.StringValue
	case *common.AnyValue_BoolValue:
		return strconv.FormatBool(x.BoolValue)
	case *common.AnyValue_IntValue:
		return strconv.FormatInt(x.IntValue, 10)
	case *common.AnyValue_DoubleValue:
		return strconv.FormatFloat(x.DoubleValue, 'g', -1, 64)
	}
	return ""
}

// Spans reads the spans of a batch.
func Spans(b Batch) (all []*Span) {
	for _, rs := range b.Traces.GetResourceSpans() {
		for _, ss := range rs.GetScopeSpans() {
			for _, s := range ss.GetSpans() {
				all = append(all, read(s))
			}
		}
	}
	return all
}

func read(s *spans.Span) *Span {
	r := &Span{Trace: hex.EncodeToString(s.TraceId), ID: hex.EncodeToString(s.SpanId), Parent: hex.EncodeToString(s.ParentSpanId), Name: s.Name,
		From: time.Unix(0, int64(s.StartTimeUnixNano)), To: time.Unix(0, int64(s.EndTimeUnixNano)), Attributes: map[string]string{}}
	for _, a := range s.Attributes {
		r.Attributes[a.Key] = text(a.Value)
	}
	for _, l := range s.Links {
		r.Links = append(r.Links, hex.EncodeToString(l.SpanId))
	}
	return r
}

// Requests puts spans together and returns the requests among them, by their start. Spans that are
// given twice are kept twice, for Check to find.
func Requests(all []*Span) (requests []*Span) {
	byID := map[string]*Span{}
	for _, s := range all {
		s.Children = nil
		byID[s.Trace+s.ID] = s
	}
	for _, s := range all {
		if p := byID[s.Trace+s.Parent]; p != nil && s.Parent != "" {
			p.Children = append(p.Children, s)
		}
		if s.IsRequest() {
			requests = append(requests, s)
		}
	}
	for _, s := range all {
		slices.SortFunc(s.Children, func(a, b *Span) int {
			return cmp.Or(a.From.Compare(b.From), a.To.Compare(b.To), cmp.Compare(a.ID, b.ID))
		})
	}
	slices.SortFunc(requests, func(a, b *Span) int { return a.From.Compare(b.From) })
	return requests
}

// slack is how far phases may miss the whole.
const slack = time.Millisecond

// Check tells what is wrong with spans that are to be whole: every span but a request has its parent,
// none comes twice, each task is there and linked to the one that it repeats, and phases fill their
// request or task without gaps and, within a task, without overlaps.
func Check(all []*Span) (faults []string) {
	fault := func(format string, a ...any) { faults = append(faults, fmt.Sprintf(format, a...)) }
	seen := map[string]*Span{}
	for _, s := range all {
		if seen[s.Trace+s.ID] != nil {
			fault("span %s (%s) comes twice", s.ID, s.Name)
		}
		seen[s.Trace+s.ID] = s
		if s.To.Before(s.From) {
			fault("span %s (%s) ends before it begins", s.ID, s.Name)
		}
	}
	requests := Requests(all)
	for _, s := range all {
		if !s.IsRequest() && (s.Parent == "" || seen[s.Trace+s.Parent] == nil) {
			fault("span %s (%s) has no parent", s.ID, s.Name)
		}
		for _, l := range s.Links {
			if o := seen[s.Trace+l]; o == nil || !o.IsTask() || o.Parent != s.Parent {
				fault("span %s (%s) is linked to %s, which is no task of its request", s.ID, s.Name, l)
			}
		}
	}
	for _, r := range requests {
		tasks := 0
		for _, k := range r.Children {
			if !k.IsTask() {
				continue
			}
			tasks++
			if repeats := k.Attributes["tinroute.copy"] == "true" || k.Attributes["tinroute.retry"] == "true"; repeats != (len(k.Links) == 1) {
				fault("task %s: repeat %t, %d links", k.ID, repeats, len(k.Links))
			}
			sum := time.Duration(0)
			for _, p := range k.Children {
				sum += p.Took()
			}
			if gap := k.Took() - sum; gap > slack || gap < -slack {
				fault("task %s: its phases miss %v of %v", k.ID, gap, k.Took())
			}
			uncovered(fault, k)
		}
		if want := r.Attributes["tinroute.attempts"]; want != strconv.Itoa(tasks) {
			fault("request %s: %d tasks, %s were sent", r.Attributes["tinroute.request.id"], tasks, want)
		}
		uncovered(fault, r)
	}
	return faults
}

// uncovered finds stretches of a span that no child covers.
func uncovered(fault func(string, ...any), s *Span) {
	at := s.From
	for _, c := range s.Children {
		if gap := c.From.Sub(at); gap > slack {
			fault("span %s (%s): nothing tells of %v after %v", s.ID, s.Name, gap, at.Sub(s.From))
		}
		if c.To.After(at) {
			at = c.To
		}
	}
	if gap := s.To.Sub(at); gap > slack {
		fault("span %s (%s): nothing tells of its last %v", s.ID, s.Name, gap)
	}
}
