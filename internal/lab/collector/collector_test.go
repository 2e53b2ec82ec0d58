package collector

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	traces "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	common "go.opentelemetry.io/proto/otlp/common/v1"
	otlpspans "go.opentelemetry.io/proto/otlp/trace/v1"
)

// sampleSpans returns the spans of a request of 100 ms: it waits 10 ms, runs at worker a for 40 ms until the connection is
// reset, waits 5 ms, and is served by worker b in 40 ms. Sending the answer takes 5 ms.
func sampleSpans(id string) []*Span {
	base := time.Unix(1_800_000_000, 0)
	n := 0
	newSpan := func(name, parent string, from, to int, attrs ...string) *Span {
		n++
		s := &Span{TraceID: "t" + id, ID: fmt.Sprint(id, n), Parent: parent, Name: name, Start: base.Add(time.Duration(from) * time.Millisecond),
			End: base.Add(time.Duration(to) * time.Millisecond), Attributes: map[string]string{}}
		for i := 0; i < len(attrs); i += 2 {
			s.Attributes[attrs[i]] = attrs[i+1]
		}
		return s
	}
	r := newSpan("request f", "client", 0, 100, "tinroute.verdict", "served", "tinroute.class", "f", "tinroute.attempts", "2", "tinroute.request.id", id, "tinroute.late", "true")
	a := newSpan("task a", r.ID, 10, 50, "tinroute.status", "reset", "tinroute.region", "a", "tinroute.attempt", "0", "tinroute.copy", "false", "tinroute.retry", "false")
	b := newSpan("task b", r.ID, 55, 95, "tinroute.status", "ok", "tinroute.region", "b", "tinroute.attempt", "1", "tinroute.copy", "false", "tinroute.retry", "true", "tinroute.why", "reset")
	b.Links = []string{a.ID}
	p := func(parent, name string, from, to int) *Span {
		return newSpan(name, parent, from, to, "tinroute.phase", name)
	}
	return []*Span{r, p(r.ID, "queue", 0, 10), a, p(a.ID, "connect", 10, 12), p(a.ID, "run", 12, 50), p(r.ID, "queue", 50, 55), b,
		p(b.ID, "connect", 55, 56), p(b.ID, "region.queue", 56, 80), p(b.ID, "run", 80, 95), p(r.ID, "reply", 95, 100)}
}

// Check must find no problem in complete spans, and each of the problems below.
func TestCheck(t *testing.T) {
	require.Empty(t, Check(append(sampleSpans("x"), sampleSpans("y")...)))
	find := func(all []*Span, name string) *Span {
		for _, s := range all {
			if s.Name == name {
				return s
			}
		}
		return nil
	}
	without := func(all []*Span, s *Span) (left []*Span) {
		for _, o := range all {
			if o != s {
				left = append(left, o)
			}
		}
		return left
	}
	for name, c := range map[string]struct {
		damage  func([]*Span) []*Span
		problem string
	}{
		"an attempt is missing":        {func(a []*Span) []*Span { return without(a, find(a, "task b")) }, "no parent"},
		"a request is missing":         {func(a []*Span) []*Span { return without(a, find(a, "request f")) }, "no parent"},
		"a duplicate span":             {func(a []*Span) []*Span { return append(a, find(a, "task a")) }, "comes twice"},
		"a link is missing":            {func(a []*Span) []*Span { find(a, "task b").Links = nil; return a }, "links"},
		"a link to an unknown span":    {func(a []*Span) []*Span { find(a, "task b").Links = []string{"z"}; return a }, "no task of its request"},
		"an attempt in another trace":  {func(a []*Span) []*Span { find(a, "task b").TraceID = "other"; return a }, "no parent"},
		"a phase is missing":           {func(a []*Span) []*Span { return without(a, find(a, "region.queue")) }, "miss"},
		"a phase is too long":          {func(a []*Span) []*Span { s := find(a, "connect"); s.End = s.End.Add(3 * time.Millisecond); return a }, "miss"},
		"the reply phase is missing":   {func(a []*Span) []*Span { return without(a, find(a, "reply")) }, "nothing tells"},
		"a queue phase is missing":     {func(a []*Span) []*Span { return without(a, find(a, "queue")) }, "nothing tells"},
		"an end before its start":      {func(a []*Span) []*Span { s := find(a, "reply"); s.End = s.Start.Add(-time.Second); return a }, "before it begins"},
		"fewer attempts than reported": {func(a []*Span) []*Span { find(a, "request f").Attributes["tinroute.attempts"] = "3"; return a }, "3 were sent"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, strings.Join(Check(append(c.damage(sampleSpans("x")), sampleSpans("y")...)), "\n"), c.problem)
		})
	}
}

func TestWriteReport(t *testing.T) {
	var out bytes.Buffer
	all := append(sampleSpans("x"), sampleSpans("y")...)
	require.NoError(t, WriteReport(&out, all, ReportOptions{Class: "f", Slowest: 1}))
	text := out.String()
	require.Contains(t, text, "2 requests, 2 served\n")
	require.Regexp(t, `a +run +2 +38\.0 +38\.0 +38\.0%`, text)
	require.Regexp(t, `b +region\.queue +2 +24\.0 +24\.0 +24\.0%`, text)
	require.Regexp(t, `dispatcher +queue +4 +7\.5 +10\.0 +15\.0%`, text)
	require.Contains(t, text, "task 1 b ok (after reset)")
	require.Equal(t, 1, strings.Count(text, "served after 100.0 ms, late true"))
	out.Reset()
	require.NoError(t, WriteReport(&out, all, ReportOptions{Class: "g", Slowest: 1}))
	require.Contains(t, out.String(), "0 requests")
	out.Reset()
	require.NoError(t, WriteReport(&out, all, ReportOptions{From: time.Unix(1_900_000_000, 0)}))
	require.Contains(t, out.String(), "0 requests")
}

func TestWriteAndReadBatches(t *testing.T) {
	var file bytes.Buffer
	b := Batch{At: time.Unix(5, 0), Traces: &traces.ExportTraceServiceRequest{ResourceSpans: []*otlpspans.ResourceSpans{{ScopeSpans: []*otlpspans.ScopeSpans{{
		Spans: []*otlpspans.Span{{Name: "n", TraceId: []byte("0123456789abcdef"), SpanId: []byte("01234567"), StartTimeUnixNano: 5, EndTimeUnixNano: 7,
			Attributes: []*common.KeyValue{{Key: "k", Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: 3}}}}}}}}}}}}
	require.NoError(t, WriteBatch(&file, b))
	require.NoError(t, WriteBatch(&file, b))
	file.WriteString(`{"at":"cut sh`)
	var got []*Span
	require.NoError(t, ReadBatches(&file, func(b Batch) { got = append(got, BatchSpans(b)...) }))
	require.Len(t, got, 2)
	require.Equal(t, "3", got[1].Attributes["k"])
	require.Equal(t, "30313233343536373839616263646566", got[1].TraceID)
	require.Error(t, ReadBatches(strings.NewReader("nonsense\n"), func(Batch) {}))
}
