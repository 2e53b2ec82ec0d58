package ops

import "strconv"

// MetricPrefix begins the name of every metric.
const MetricPrefix = "edge_lb"

// Stats are the statistics reported by /_vars: counters since the process started and current
// gauges.
type Stats struct {
	Classes     []ClassStats
	Inflight    int // requests accepted and not yet answered
	HostsListed int // workers that discovery lists
	HostsDown   int // listed workers that are avoided now: draining, detached or held back by the policy
}

// ClassStats count the requests of one class by outcome, and the attempts at them.
type ClassStats struct {
	Name                   string
	Success, Busy, Failure int64 // served, refused, failed
	BackendCalls           int64 // attempts sent completely to workers
}

// AppendStatsd appends the statistics to b in the statsd format, one metric per line: |c marks a
// counter, |g a gauge. Attempts are also reported as a total of all classes.
func (s Stats) AppendStatsd(b []byte) []byte {
	var calls int64
	for _, c := range s.Classes {
		prefix := MetricPrefix + ".calls." + c.Name + "."
		b = appendCounter(b, prefix+"success", c.Success)
		b = appendCounter(b, prefix+"busy", c.Busy)
		b = appendCounter(b, prefix+"failure", c.Failure)
		b = appendCounter(b, prefix+"backend_calls", c.BackendCalls)
		calls += c.BackendCalls
	}
	b = appendCounter(b, MetricPrefix+".backend_calls", calls)
	b = appendGauge(b, MetricPrefix+".inflight", s.Inflight)
	b = appendGauge(b, MetricPrefix+".hosts_listed", s.HostsListed)
	return appendGauge(b, MetricPrefix+".hosts_down", s.HostsDown)
}

func appendCounter(b []byte, name string, n int64) []byte {
	b = strconv.AppendInt(append(append(b, name...), ':'), n, 10)
	return append(b, "|c\n"...)
}

func appendGauge(b []byte, name string, n int) []byte {
	b = strconv.AppendInt(append(append(b, name...), ':'), int64(n), 10)
	return append(b, "|g\n"...)
}
