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

// The headers and paths of the protocol.
const (
	headerID       = "Req-Id"
	headerOwner    = "Req-Owner"
	headerDeadline = "Req-Deadline"
	headerRetry    = "Req-Retry"
	headerCost     = "Req-Cost"
	headerExtra    = "Req-Extra"
	headerOnceKey  = "Idempotency-Key"
	headerDeclined = "Srv-Declined"
	headerTrace    = "Traceparent"

	pathReady  = "/-/ready"
	pathEvents = "/v1/job-events"
	pathJobs   = "/jobs/"
	pathTable  = "/api/targets"

	maxID = 128
)

// forwarded is the payload of a request: what passes through to workers unchanged.
type forwarded struct {
	method, uri, host string
	headers           [][2]string
	body              []byte
}

// passed are the headers that workers are given as they came.
var passed = []string{headerID, headerOnceKey, headerOwner, headerRetry, headerCost, headerExtra, headerTrace,
	"Tracestate", "Content-Type"}

// readRequest reads a client's request. The error names what is malformed.
func readRequest(m *Message, s *balance.Settings, names *config.Names) (*dispatch.Request, error) {
	r := m.Request
	h := r.Header
	id := h.Get(headerID)
	if !plainID(id) {
		return nil, fmt.Errorf("%s: malformed: %.40q", headerID, id)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := names.Class[first]
	if !ok {
		return nil, fmt.Errorf("class: unknown: %.40q", first)
	}
	c := &s.Classes[class]
	if c.Idempotency == balance.Deduplicated && h.Get(headerOnceKey) == "" {
		return nil, fmt.Errorf("%s: missing for class %s", headerOnceKey, c.Name)
	}
	request := &dispatch.Request{ID: id, Class: class, Tenant: -1, Timeout: c.Deadline, Slots: 1,
		TraceParent: h.Get(headerTrace), TraceState: h.Get("Tracestate")}
	if owner := h.Get(headerOwner); owner != "" {
		if t, ok := names.Tenant[owner]; ok {
			request.Tenant = t
		}
	}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, fmt.Errorf("query: %w", err)
	}
	request.Key = query.Get("k")
	if text := h.Get(headerDeadline); text != "" {
		if request.Timeout, err = parseDeadline(text); err != nil {
			return nil, fmt.Errorf("%s: %w", headerDeadline, err)
		}
	}
	if text := h.Get(headerCost); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0 && us < 1e13) {
			return nil, fmt.Errorf("%s: not a number of microseconds: %.40q", headerCost, text)
		}
		request.WorkHint = time.Duration(us * 1e3)
	}
	if err := readExtra(h.Get(headerExtra), request); err != nil {
		return nil, err
	}
	q := &forwarded{method: r.Method, uri: r.RequestURI, host: r.Host, body: m.Body}
	for _, name := range passed {
		if v := h.Get(name); v != "" {
			q.headers = append(q.headers, [2]string{name, v})
		}
	}
	request.Payload = q
	return request, nil
}

func readExtra(text string, request *dispatch.Request) error {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < 1e9) {
			return fmt.Errorf("%s: %.40q is not name=value", headerExtra, pair)
		}
		switch name {
		case "slots":
			if x > 0 {
				request.Slots = x
			}
		case "memory":
			request.Memory = x
		}
	}
	return nil
}

// plainID tells whether an id can be passed on in a header and in the path of a DELETE.
func plainID(id string) bool {
	if id == "" || len(id) > maxID {
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

// parseDeadline reads a number and a unit: m for milliseconds, u for microseconds.
func parseDeadline(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	x, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(x > 0 && x*float64(unit) < 1e15) {
		return 0, fmt.Errorf("not a number and a unit: %.40q", text)
	}
	return time.Duration(x * float64(unit)), nil
}

// encode writes the request to a worker, which is told how long we will wait.
func (q *forwarded) encode(wait time.Duration, trace string) []byte {
	b := make([]byte, 0, 512+len(q.body))
	b = append(append(append(append(b, q.method...), ' '), q.uri...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, q.host...), "\r\n"...)
	for _, h := range q.headers {
		if h[0] == headerTrace && trace != "" { // the client's own names its span, not our attempt's
			continue
		}
		b = append(append(append(append(b, h[0]...), ": "...), h[1]...), "\r\n"...)
	}
	if trace != "" {
		b = append(append(append(b, headerTrace+": "...), trace...), "\r\n"...)
	}
	b = append(b, headerDeadline+": "...)
	b = strconv.AppendInt(b, max(1, wait.Microseconds()), 10)
	b = append(b, "u\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(q.body)), 10)
	return append(append(b, "\r\n\r\n"...), q.body...)
}

// statusOf turns an answer into a status. 429 and 503 tell the client that trying again is
// harmless, so only a refusal may use them.
func statusOf(a dispatch.Answer) int {
	switch {
	case a.Verdict == dispatch.Served:
		return http.StatusOK
	case a.Verdict == dispatch.Refused:
		return http.StatusServiceUnavailable
	case a.InvalidRequest:
		return http.StatusBadRequest
	case a.TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}
