package config

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"tinroute.example/tinroute/internal/otlp"
	"tinroute.example/tinroute/internal/tailsampling"
)

// Defaults for what the environment and the telemetry file leave out.
const (
	defaultTelemetryBytes = 4 << 20
	defaultTraceRate      = 20
	defaultOTLPTimeout    = 10 * time.Second
	defaultMetricInterval = 15 * time.Second
	defaultRegionsTold    = 100
	defaultTenantsTold    = 100
	defaultSpoolBytes     = 64 << 20
	defaultSpoolPace      = 20 * time.Millisecond
)

// Telemetry is what is exported, and where to.
type Telemetry struct {
	Endpoints       map[otlp.Signal]otlp.Endpoint // those that are on
	Sampling        tailsampling.Limits
	MetricInterval  time.Duration // between two exports of metrics
	MaxWorkerSeries int           // told apart in metrics; the others are "other"
	MaxTenantSeries int
	SpoolDir        string // a directory, empty for none
	SpoolMaxBytes   int64
	SpoolInterval   time.Duration
}

// LoadTelemetry reads the telemetry file, where path names one, and the standard OTEL_ variables,
// which win over it. It returns nil where no endpoint is given.
//
//revive:disable-next-line:function-length one list of a file's keys, read from top to bottom
func LoadTelemetry(path string, getenv func(string) string) (*Telemetry, error) {
	if getenv("OTEL_SDK_DISABLED") == "true" {
		return nil, nil
	}
	var file struct {
		Endpoint    string            `toml:"endpoint"`
		Protocol    string            `toml:"protocol"`
		Compression string            `toml:"compression"`
		Timeout     string            `toml:"timeout"`
		Headers     map[string]string `toml:"headers"`
		CA          string            `toml:"certificate"`
		Cert        string            `toml:"client_certificate"`
		Key         string            `toml:"client_key"`
		Interval    string            `toml:"metric_interval"`
		Traces      *bool             `toml:"traces"`
		Metrics     *bool             `toml:"metrics"`
		Logs        *bool             `toml:"logs"`
		Regions     *int64            `toml:"regions"`
		Tenants     *int64            `toml:"tenants"`
		Sampling    struct {
			Bytes *int64 `toml:"bytes"`
			Rate  *int64 `toml:"rate"`
			Slow  string `toml:"slow"`
		} `toml:"sampling"`
		Spool struct {
			Dir   string `toml:"dir"`
			Bytes *int64 `toml:"bytes"`
			Pace  string `toml:"pace"`
		} `toml:"spool"`
	}
	if path != "" {
		meta, err := toml.DecodeFile(path, &file)
		if err != nil {
			return nil, fmt.Errorf("telemetry: %s: %w", path, err)
		}
		if unknown := meta.Undecoded(); len(unknown) > 0 {
			return nil, fmt.Errorf("telemetry: %s: %s: unknown key", path, unknown[0])
		}
	}
	c := checker{}
	t := &Telemetry{Endpoints: map[otlp.Signal]otlp.Endpoint{}, SpoolDir: file.Spool.Dir,
		Sampling: tailsampling.Limits{Bytes: c.count("sampling.bytes", file.Sampling.Bytes, defaultTelemetryBytes, 1<<32),
			Rate: float64(c.count("sampling.rate", file.Sampling.Rate, defaultTraceRate, 1_000_000))},
		MetricInterval:  c.time("metric_interval", file.Interval, defaultMetricInterval),
		MaxWorkerSeries: int(c.count("regions", file.Regions, defaultRegionsTold, 1900)), MaxTenantSeries: int(c.count("tenants", file.Tenants, defaultTenantsTold, 1900)),
		SpoolMaxBytes: c.count("spool.bytes", file.Spool.Bytes, defaultSpoolBytes, 1<<40), SpoolInterval: c.time("spool.pace", file.Spool.Pace, defaultSpoolPace)}
	if file.Sampling.Slow != "" {
		t.Sampling.Slow = c.time("sampling.slow", file.Sampling.Slow, 0)
	}
	on := map[otlp.Signal]*bool{otlp.Traces: file.Traces, otlp.Metrics: file.Metrics, otlp.Logs: file.Logs}
	for s := otlp.Traces; s <= otlp.Logs; s++ {
		// A variable of one signal wins over that of all, and that over the file.
		env := func(key string) (value, name string) {
			if v := getenv("OTEL_EXPORTER_OTLP_" + strings.ToUpper(s.String()) + "_" + key); v != "" {
				return v, "OTEL_EXPORTER_OTLP_" + strings.ToUpper(s.String()) + "_" + key
			}
			return getenv("OTEL_EXPORTER_OTLP_" + key), "OTEL_EXPORTER_OTLP_" + key
		}
		first := func(key, filed, filedKey string) (value, name string) {
			if v, name := env(key); v != "" {
				return v, name
			}
			return filed, filedKey
		}
		if exporter := getenv("OTEL_" + strings.ToUpper(s.String()) + "_EXPORTER"); exporter == "none" || on[s] != nil && !*on[s] {
			continue
		} else if exporter != "" && exporter != "otlp" {
			c.fail("OTEL_%s_EXPORTER: %q is not served, only otlp and none", strings.ToUpper(s.String()), exporter)
		}
		raw, name := first("ENDPOINT", file.Endpoint, "endpoint")
		if raw == "" {
			continue
		}
		e := otlp.Endpoint{Headers: map[string]string{}, Timeout: defaultOTLPTimeout}
		protocol, key := first("PROTOCOL", file.Protocol, "protocol")
		switch protocol {
		case "grpc":
			e.GRPC = true
		case "", "http/protobuf":
		default:
			c.fail("%s: %q is not served, only http/protobuf and grpc", key, protocol)
		}
		u, err := url.Parse(raw)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			c.fail("%s: %q is not an http or https URL", name, raw)
			continue
		}
		if e.URL = raw; !e.GRPC && !strings.Contains(name, "_"+strings.ToUpper(s.String())+"_") { // of all signals: each has its path
			e.URL = strings.TrimSuffix(raw, "/") + "/v1/" + s.String()
		}
		compression, key := first("COMPRESSION", file.Compression, "compression")
		switch compression {
		case "gzip":
			e.Gzip = true
		case "", "none":
		default:
			c.fail("%s: %q is neither gzip nor none", key, compression)
		}
		for k, v := range file.Headers {
			e.Headers[k] = v
		}
		if text, key := env("HEADERS"); text != "" {
			for _, pair := range strings.Split(text, ",") {
				k, v, ok := strings.Cut(pair, "=")
				v, err := url.PathUnescape(strings.TrimSpace(v))
				if k = strings.TrimSpace(k); !ok || k == "" || err != nil {
					c.fail("%s: a pair is not key=value", key) // its text may be a secret
				}
				e.Headers[k] = v
			}
		}
		if text, key := env("TIMEOUT"); text != "" { // milliseconds, by the specification
			e.Timeout = c.time(key, text+"ms", 0)
		} else {
			e.Timeout = c.time("timeout", file.Timeout, defaultOTLPTimeout)
		}
		e.CA, _ = first("CERTIFICATE", file.CA, "")
		e.Cert, _ = first("CLIENT_CERTIFICATE", file.Cert, "")
		e.Key, key = first("CLIENT_KEY", file.Key, "client_key")
		if (e.Cert == "") != (e.Key == "") {
			c.fail("%s: a client certificate and its key go together", key)
		}
		if _, err := e.TLS(); err != nil {
			c.fail("%s: %v", "certificate", err)
		}
		t.Endpoints[s] = e
	}
	if c.err != nil {
		if path != "" {
			return nil, fmt.Errorf("telemetry: %s: %w", path, c.err)
		}
		return nil, fmt.Errorf("telemetry: %w", c.err)
	}
	if len(t.Endpoints) == 0 {
		return nil, nil
	}
	return t, nil
}
