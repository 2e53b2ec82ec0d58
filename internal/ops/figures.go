package ops

import "strconv"

// MetricPrefix begins the name of every figure.
const MetricPrefix = "edge_lb"

// Stats are what /_vars tells: counters since the process began, and gauges of now.
type Stats struct {
	Classes     []ClassStats
	Inflight    int // jobs taken and not yet ended
	HostsListed int // workers that the service table lists
	HostsDown   int // of them, those avoided now: drained, out by hand, or held back
}

// ClassStats count the jobs of one class by their end, and the attempts at them.
type ClassStats struct {
	Name                   string
	Success, Busy, Failure int64 // served, refused, failed
	BackendCalls           int64 // attempts written whole to workers
}

// AppendStatsd writes the figures as statsd lines, one a figure: counters with |c, gauges with |g.
// Attempts are also told for all classes together.
func (f Stats) AppendStatsd(b []byte) []byte {
	var calls int64
	for _, c := range f.Classes {
		pre := MetricPrefix + ".calls." + c.Name + "."
		b = counter(b, pre+"success", c.Success)
		b = counter(b, pre+"busy", c.Busy)
		b = counter(b, pre+"failure", c.Failure)
		b = counter(b, pre+"backend_calls", c.BackendCalls)
		calls += c.BackendCalls
	}
	b = counter(b, MetricPrefix+".backend_calls", calls)
	b = gauge(b, MetricPrefix+".inflight", f.Inflight)
	b = gauge(b, MetricPrefix+".hosts_listed", f.HostsListed)
	return gauge(b, MetricPrefix+".hosts_down", f.HostsDown)
}

func counter(b []byte, name string, n int64) []byte {
	b = strconv.AppendInt(append(append(b, name...), ':'), n, 10)
	return append(b, "|c\n"...)
}

func gauge(b []byte, name string, n int) []byte {
	b = strconv.AppendInt(append(append(b, name...), ':'), int64(n), 10)
	return append(b, "|g\n"...)
}
