package platform

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
)

// The protocol's header names and paths, and the longest request ID.
const (
	headerID             = "Req-Id"
	headerOwner          = "Req-Owner"
	headerDeadline       = "Req-Deadline"
	headerRetry          = "Req-Retry"
	headerCost           = "Req-Cost"
	headerExtra          = "Req-Extra"
	headerIdempotencyKey = "Idempotency-Key"
	headerDeclined       = "Srv-Declined"
	headerTrace          = "Traceparent"

	pathReady   = "/-/ready"
	pathEvents  = "/v1/job-events"
	pathJobs    = "/jobs/"
	pathTargets = "/api/targets"

	maxRequestIDLen = 128
)

// forwardedRequest is the payload of a dispatch.Request: the parts that are sent to workers unchanged.
type forwardedRequest struct {
	method, uri, host string
	headers           [][2]string
	body              []byte
}

// forwardedHeaders lists the headers that are sent to workers unchanged.
var forwardedHeaders = []string{headerID, headerIdempotencyKey, headerOwner, headerRetry, headerCost, headerExtra, headerTrace,
	"Tracestate", "Content-Type"}

// readRequest converts a client's HTTP request. The error names the malformed part.
func readRequest(m *Message, settings *balance.Settings, names *config.Names) (*dispatch.Request, error) {
	r := m.Request
	header := r.Header
	id := header.Get(headerID)
	if !isValidID(id) {
		return nil, fmt.Errorf("%s: malformed: %.40q", headerID, id)
	}
	className, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := names.Class[className]
	if !ok {
		return nil, fmt.Errorf("class: unknown: %.40q", className)
	}
	classSettings := &settings.Classes[class]
	if classSettings.Idempotency == balance.Deduplicated && header.Get(headerIdempotencyKey) == "" {
		return nil, fmt.Errorf("%s: missing for class %s", headerIdempotencyKey, classSettings.Name)
	}
	request := &dispatch.Request{ID: id, Class: class, Tenant: -1, Timeout: classSettings.Deadline, Slots: 1,
		TraceParent: header.Get(headerTrace), TraceState: header.Get("Tracestate")}
	if owner := header.Get(headerOwner); owner != "" {
		if t, ok := names.Tenant[owner]; ok {
			request.Tenant = t
		}
	}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, fmt.Errorf("query: %w", err)
	}
	request.Key = query.Get("k")
	if text := header.Get(headerDeadline); text != "" {
		if request.Timeout, err = parseDeadline(text); err != nil {
			return nil, fmt.Errorf("%s: %w", headerDeadline, err)
		}
	}
	if text := header.Get(headerCost); text != "" {
		micros, err := strconv.ParseFloat(text, 64)
		if err != nil || !(micros >= 0 && micros < 1e13) {
			return nil, fmt.Errorf("%s: not a number of microseconds: %.40q", headerCost, text)
		}
		request.ExpectedWork = time.Duration(micros * 1e3)
	}
	if err := readExtra(header.Get(headerExtra), request); err != nil {
		return nil, err
	}
	payload := &forwardedRequest{method: r.Method, uri: r.RequestURI, host: r.Host, body: m.Body}
	for _, name := range forwardedHeaders {
		if v := header.Get(name); v != "" {
			payload.headers = append(payload.headers, [2]string{name, v})
		}
	}
	request.Payload = payload
	return request, nil
}

// readExtra parses the comma-separated name=value pairs of the Req-Extra header into the request.
// Unknown names are ignored.
func readExtra(text string, request *dispatch.Request) error {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number < 1e9) {
			return fmt.Errorf("%s: %.40q is not name=value", headerExtra, pair)
		}
		switch name {
		case "slots":
			if number > 0 {
				request.Slots = number
			}
		case "memory":
			request.Memory = number
		}
	}
	return nil
}

// isValidID reports whether id can be sent in a header and in the path of a DELETE.
func isValidID(id string) bool {
	if id == "" || len(id) > maxRequestIDLen {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return id != "." && id != ".."
}

// parseDeadline parses a number with a unit: m for milliseconds, u for microseconds.
func parseDeadline(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	value, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(value > 0 && value*float64(unit) < 1e15) {
		return 0, fmt.Errorf("not a number and a unit: %.40q", text)
	}
	return time.Duration(value * float64(unit)), nil
}

// encode returns the request to a worker, with the time that the dispatcher waits for its result and
// the attempt's traceparent, if any.
func (q *forwardedRequest) encode(remaining time.Duration, traceParent string) []byte {
	buf := make([]byte, 0, 512+len(q.body))
	buf = append(append(append(append(buf, q.method...), ' '), q.uri...), " HTTP/1.1\r\nHost: "...)
	buf = append(append(buf, q.host...), "\r\n"...)
	for _, h := range q.headers {
		if h[0] == headerTrace && traceParent != "" { // the client's value names its own span, not the attempt's
			continue
		}
		buf = append(append(append(append(buf, h[0]...), ": "...), h[1]...), "\r\n"...)
	}
	if traceParent != "" {
		buf = append(append(append(buf, headerTrace+": "...), traceParent...), "\r\n"...)
	}
	buf = append(buf, headerDeadline+": "...)
	buf = strconv.AppendInt(buf, max(1, remaining.Microseconds()), 10)
	buf = append(buf, "u\r\nContent-Length: "...)
	buf = strconv.AppendInt(buf, int64(len(q.body)), 10)
	return append(append(buf, "\r\n\r\n"...), q.body...)
}

// answerStatus returns the HTTP status for an answer. 429 and 503 tell the client that a retry is
// safe, so they are used for a refusal only.
func answerStatus(answer dispatch.Answer) int {
	switch {
	case answer.Verdict == dispatch.Served:
		return http.StatusOK
	case answer.Verdict == dispatch.Refused:
		return http.StatusServiceUnavailable
	case answer.InvalidRequest:
		return http.StatusBadRequest
	case answer.TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}
