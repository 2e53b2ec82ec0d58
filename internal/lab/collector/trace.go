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

// Span is a span in the form that checks and reports need.
type Span struct {
	TraceID, ID, Parent string // in hex; Parent is empty for a root span
	Name                string
	Start, End          time.Time
	Attributes          map[string]string
	Links               []string // IDs of the linked spans
	Children            []*Span
}

// Duration returns the length of the span.
func (s *Span) Duration() time.Duration { return s.End.Sub(s.Start) }

// IsRequest reports whether the span is that of a request.
func (s *Span) IsRequest() bool { return s.Attributes["tinroute.verdict"] != "" }

// IsAttempt reports whether the span is that of an attempt at a worker.
func (s *Span) IsAttempt() bool { return s.Attributes["tinroute.status"] != "" }

// IsPhase reports whether the span is a phase of a request or attempt.
func (s *Span) IsPhase() bool { return s.Attributes["tinroute.phase"] != "" }

func attributeText(v *common.AnyValue) string {
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

// BatchSpans returns the spans of a batch.
func BatchSpans(b Batch) (all []*Span) {
	for _, rs := range b.Traces.GetResourceSpans() {
		for _, ss := range rs.GetScopeSpans() {
			for _, s := range ss.GetSpans() {
				all = append(all, toSpan(s))
			}
		}
	}
	return all
}

func toSpan(s *spans.Span) *Span {
	span := &Span{TraceID: hex.EncodeToString(s.TraceId), ID: hex.EncodeToString(s.SpanId), Parent: hex.EncodeToString(s.ParentSpanId), Name: s.Name,
		Start: time.Unix(0, int64(s.StartTimeUnixNano)), End: time.Unix(0, int64(s.EndTimeUnixNano)), Attributes: map[string]string{}}
	for _, a := range s.Attributes {
		span.Attributes[a.Key] = attributeText(a.Value)
	}
	for _, l := range s.Links {
		span.Links = append(span.Links, hex.EncodeToString(l.SpanId))
	}
	return span
}

// LinkSpans sets the children of all spans and returns the request spans, ordered by start time. It keeps duplicate spans
// for Check to find.
func LinkSpans(all []*Span) (requests []*Span) {
	byID := map[string]*Span{}
	for _, s := range all {
		s.Children = nil
		byID[s.TraceID+s.ID] = s
	}
	for _, s := range all {
		if parent := byID[s.TraceID+s.Parent]; parent != nil && s.Parent != "" {
			parent.Children = append(parent.Children, s)
		}
		if s.IsRequest() {
			requests = append(requests, s)
		}
	}
	for _, s := range all {
		slices.SortFunc(s.Children, func(a, b *Span) int {
			return cmp.Or(a.Start.Compare(b.Start), a.End.Compare(b.End), cmp.Compare(a.ID, b.ID))
		})
	}
	slices.SortFunc(requests, func(a, b *Span) int { return a.Start.Compare(b.Start) })
	return requests
}

// phaseTolerance is the largest accepted difference between a span and the sum of its phases.
const phaseTolerance = time.Millisecond

// Check returns the problems in a complete set of spans: every span except a request must have its parent, no span may
// occur twice, every attempt must be present and linked to the one that it repeats, and phases must cover their request
// or attempt without gaps and, within an attempt, without overlaps.
func Check(all []*Span) (problems []string) {
	report := func(format string, a ...any) { problems = append(problems, fmt.Sprintf(format, a...)) }
	seen := map[string]*Span{}
	for _, s := range all {
		if seen[s.TraceID+s.ID] != nil {
			report("span %s (%s) comes twice", s.ID, s.Name)
		}
		seen[s.TraceID+s.ID] = s
		if s.End.Before(s.Start) {
			report("span %s (%s) ends before it begins", s.ID, s.Name)
		}
	}
	requests := LinkSpans(all)
	for _, s := range all {
		if !s.IsRequest() && (s.Parent == "" || seen[s.TraceID+s.Parent] == nil) {
			report("span %s (%s) has no parent", s.ID, s.Name)
		}
		for _, l := range s.Links {
			if linked := seen[s.TraceID+l]; linked == nil || !linked.IsAttempt() || linked.Parent != s.Parent {
				report("span %s (%s) is linked to %s, which is no task of its request", s.ID, s.Name, l)
			}
		}
	}
	for _, request := range requests {
		attempts := 0
		for _, attempt := range request.Children {
			if !attempt.IsAttempt() {
				continue
			}
			attempts++
			if repeats := attempt.Attributes["tinroute.copy"] == "true" || attempt.Attributes["tinroute.retry"] == "true"; repeats != (len(attempt.Links) == 1) {
				report("task %s: repeat %t, %d links", attempt.ID, repeats, len(attempt.Links))
			}
			sum := time.Duration(0)
			for _, phase := range attempt.Children {
				sum += phase.Duration()
			}
			if gap := attempt.Duration() - sum; gap > phaseTolerance || gap < -phaseTolerance {
				report("task %s: its phases miss %v of %v", attempt.ID, gap, attempt.Duration())
			}
			checkGaps(report, attempt)
		}
		if want := request.Attributes["tinroute.attempts"]; want != strconv.Itoa(attempts) {
			report("request %s: %d tasks, %s were sent", request.Attributes["tinroute.request.id"], attempts, want)
		}
		checkGaps(report, request)
	}
	return problems
}

// checkGaps reports parts of a span that no child covers.
func checkGaps(report func(string, ...any), s *Span) {
	covered := s.Start
	for _, child := range s.Children {
		if gap := child.Start.Sub(covered); gap > phaseTolerance {
			report("span %s (%s): nothing tells of %v after %v", s.ID, s.Name, gap, covered.Sub(s.Start))
		}
		if child.End.After(covered) {
			covered = child.End
		}
	}
	if gap := s.End.Sub(covered); gap > phaseTolerance {
		report("span %s (%s): nothing tells of its last %v", s.ID, s.Name, gap)
	}
}
