// Package otlp delivers batches of OpenTelemetry's protocol (OTLP 1.x, opentelemetry.io/docs/specs/otlp)
// to a collector, over HTTP or gRPC. Batches come as the bytes of their Export requests; who makes
// them is not this package's matter. It never makes its callers wait.
package otlp

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
)

// Signal is a kind of telemetry.
type Signal byte

// The signals.
const (
	Traces Signal = iota
	Metrics
	Logs
	signals
)

func (s Signal) String() string { return [...]string{"traces", "metrics", "logs"}[s] }

// Action is what to do with a batch after an attempt.
type Action uint8

// The actions.
const (
	Accepted Action = iota
	Retry           // later, the same batch
	Drop            // it would be turned down again
)

// Outcome is what came of an attempt.
type Outcome struct {
	Do       Action
	After    time.Duration // Retry: not before this, by the collector's word; 0 for none
	Rejected int64         // Accepted: records that the collector did not take (partial success)
	Why      string
}

// maxAfter bounds what a collector may ask to wait: one that says a day must not silence a
// process for a day.
const maxAfter = 5 * time.Minute

// FromHTTP judges an answer by its status, as the protocol's page on failures says: 429, 502, 503
// and 504 may be tried again, honouring Retry-After; no other may.
func FromHTTP(status int, retryAfter string, now time.Time) Outcome {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return Outcome{Do: Retry, After: after(retryAfter, now), Why: "status " + strconv.Itoa(status)}
	}
	if status/100 == 2 {
		return Outcome{}
	}
	return Outcome{Do: Drop, Why: "status " + strconv.Itoa(status)}
}

// after reads Retry-After, seconds or a date.
func after(text string, now time.Time) time.Duration {
	if n, err := strconv.ParseInt(text, 10, 32); err == nil && n >= 0 {
		return min(maxAfter, time.Duration(n)*time.Second)
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(maxAfter, max(0, at.Sub(now)))
	}
	return 0
}

// FromGRPC judges a status code by the protocol's table. RESOURCE_EXHAUSTED may be tried again only
// where the collector says when, by RetryInfo.
func FromGRPC(code codes.Code, retryInfo time.Duration, hasInfo bool) Outcome {
	why := code.String()
	switch code {
	case codes.OK:
		return Outcome{}
	case codes.Canceled, codes.DeadlineExceeded, codes.Aborted, codes.OutOfRange, codes.Unavailable, codes.DataLoss:
		return Outcome{Do: Retry, After: min(maxAfter, max(0, retryInfo)), Why: why}
	case codes.ResourceExhausted:
		if hasInfo {
			return Outcome{Do: Retry, After: min(maxAfter, max(0, retryInfo)), Why: why}
		}
	}
	return Outcome{Do: Drop, Why: why}
}

// Backoff spaces attempts: exponential, with jitter over the upper half, and never under what the
// collector asked for.
type Backoff struct {
	Base, Most time.Duration
	Rand       *rand.Rand
	tries      int
}

// Next is how long to wait after one more failure.
func (b *Backoff) Next(asked time.Duration) time.Duration {
	d := b.Base
	for range min(b.tries, 30) {
		if d *= 2; d >= b.Most {
			break
		}
	}
	b.tries++
	d = min(d, b.Most)
	return max(asked, d/2+time.Duration(b.Rand.Int64N(int64(d/2)+1)))
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.tries = 0 }
