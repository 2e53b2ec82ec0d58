// Package otlp sends batches of telemetry to an OpenTelemetry collector by OTLP 1.x
// (opentelemetry.io/docs/specs/otlp), over HTTP or gRPC. The caller supplies each batch as an encoded
// Export request. Queueing a batch never blocks the caller.
package otlp

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
)

// Signal is a kind of telemetry data.
type Signal byte

// The signals of OpenTelemetry.
const (
	Traces Signal = iota
	Metrics
	Logs
	signalCount
)

func (s Signal) String() string { return [...]string{"traces", "metrics", "logs"}[s] }

// Action is what to do with a batch after an attempt to send it.
type Action uint8

// The actions.
const (
	Accepted Action = iota // nothing, the collector has the batch
	Retry                  // send the same batch again later
	Drop                   // discard the batch, which the collector would reject again
)

// Outcome is the result of an attempt to send a batch.
type Outcome struct {
	Action          Action
	RetryAfter      time.Duration // with Retry: the minimum delay that the collector asked for, or 0
	RejectedRecords int64         // with Accepted: records that the collector rejected (partial success)
	Reason          string        // the error or the collector's message
}

// maxRetryAfter limits the delay that a collector may ask for. Otherwise one that asks for a day would
// stop a process's telemetry for a day.
const maxRetryAfter = 5 * time.Minute

// OutcomeFromHTTP maps a response status to an outcome as the OTLP specification requires: 429, 502, 503
// and 504 are retried after the delay in the Retry-After header, other failures are not retried.
func OutcomeFromHTTP(status int, retryAfter string, now time.Time) Outcome {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return Outcome{Action: Retry, RetryAfter: parseRetryAfter(retryAfter, now), Reason: "status " + strconv.Itoa(status)}
	}
	if status/100 == 2 {
		return Outcome{}
	}
	return Outcome{Action: Drop, Reason: "status " + strconv.Itoa(status)}
}

// parseRetryAfter parses a Retry-After header, which holds seconds or a date. It returns 0 for an invalid
// value.
func parseRetryAfter(header string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseInt(header, 10, 32); err == nil && seconds >= 0 {
		return min(maxRetryAfter, time.Duration(seconds)*time.Second)
	}
	if at, err := http.ParseTime(header); err == nil {
		return min(maxRetryAfter, max(0, at.Sub(now)))
	}
	return 0
}

// OutcomeFromGRPC maps a status code to an outcome by the table in the OTLP specification.
// RESOURCE_EXHAUSTED is retried only if the collector sends a RetryInfo with the delay.
func OutcomeFromGRPC(code codes.Code, retryDelay time.Duration, hasRetryInfo bool) Outcome {
	reason := code.String()
	switch code {
	case codes.OK:
		return Outcome{}
	case codes.Canceled, codes.DeadlineExceeded, codes.Aborted, codes.OutOfRange, codes.Unavailable, codes.DataLoss:
		return Outcome{Action: Retry, RetryAfter: min(maxRetryAfter, max(0, retryDelay)), Reason: reason}
	case codes.ResourceExhausted:
		if hasRetryInfo {
			return Outcome{Action: Retry, RetryAfter: min(maxRetryAfter, max(0, retryDelay)), Reason: reason}
		}
	}
	return Outcome{Action: Drop, Reason: reason}
}

// Backoff computes exponential retry delays with jitter over the upper half of each delay. A delay is
// never shorter than the collector asked for.
type Backoff struct {
	Initial, Max time.Duration
	Rand         *rand.Rand
	failures     int
}

// NextDelay records a failure and returns how long to wait before the next attempt, at least minimum.
func (b *Backoff) NextDelay(minimum time.Duration) time.Duration {
	delay := b.Initial
	for range min(b.failures, 30) {
		if delay *= 2; delay >= b.Max {
			break
		}
	}
	b.failures++
	delay = min(delay, b.Max)
	return max(minimum, delay/2+time.Duration(b.Rand.Int64N(int64(delay/2)+1)))
}

// Reset returns to the initial delay. It is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }
