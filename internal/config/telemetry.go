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

// Defaults for values that neither the environment nor the telemetry file sets.
const (
	defaultSamplingBytes   = 4 << 20
	defaultTraceRate       = 20
	defaultOTLPTimeout     = 10 * time.Second
	defaultMetricInterval  = 15 * time.Second
	defaultMaxWorkerSeries = 100
	defaultMaxTenantSeries = 100
	defaultSpoolBytes      = 64 << 20
	defaultSpoolInterval   = 20 * time.Millisecond
)

// Telemetry configures the export of traces, metrics and logs.
type Telemetry struct {
	Endpoints       map[otlp.Signal]otlp.Endpoint // only the enabled signals
	Sampling        tailsampling.Limits
	MetricInterval  time.Duration // between two exports of metrics
	MaxWorkerSeries int           // workers with metric series of their own; the rest share the series "other"
	MaxTenantSeries int           // likewise for tenants
	SpoolDir        string        // directory for batches that the collector did not accept, empty for none
	SpoolMaxBytes   int64
	SpoolInterval   time.Duration // minimum time between two batches sent from the spool
}

// LoadTelemetry reads the telemetry file, unless path is empty, and the standard OTEL_ variables,
// which override it. It returns nil if no endpoint is configured.
//
//revive:disable-next-line:function-length handles the keys of one file in sequence
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
		Workers     *int64            `toml:"regions"`
		Tenants     *int64            `toml:"tenants"`
		Sampling    struct {
			MaxBytes *int64 `toml:"bytes"`
			Rate     *int64 `toml:"rate"`
			Slow     string `toml:"slow"`
		} `toml:"sampling"`
		Spool struct {
			Dir      string `toml:"dir"`
			MaxBytes *int64 `toml:"bytes"`
			Interval string `toml:"pace"`
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
	check := validator{}
	result := &Telemetry{Endpoints: map[otlp.Signal]otlp.Endpoint{}, SpoolDir: file.Spool.Dir,
		Sampling: tailsampling.Limits{MaxBytes: check.count("sampling.bytes", file.Sampling.MaxBytes, defaultSamplingBytes, 1<<32),
			TracesPerSecond: float64(check.count("sampling.rate", file.Sampling.Rate, defaultTraceRate, 1_000_000))},
		MetricInterval:  check.duration("metric_interval", file.Interval, defaultMetricInterval),
		MaxWorkerSeries: int(check.count("regions", file.Workers, defaultMaxWorkerSeries, 1900)), MaxTenantSeries: int(check.count("tenants", file.Tenants, defaultMaxTenantSeries, 1900)),
		SpoolMaxBytes: check.count("spool.bytes", file.Spool.MaxBytes, defaultSpoolBytes, 1<<40), SpoolInterval: check.duration("spool.pace", file.Spool.Interval, defaultSpoolInterval)}
	if file.Sampling.Slow != "" {
		result.Sampling.SlowThreshold = check.duration("sampling.slow", file.Sampling.Slow, 0)
	}
	enabled := map[otlp.Signal]*bool{otlp.Traces: file.Traces, otlp.Metrics: file.Metrics, otlp.Logs: file.Logs}
	for signal := otlp.Traces; signal <= otlp.Logs; signal++ {
		// A variable for one signal overrides the one for all signals, which overrides the file.
		env := func(key string) (value, name string) {
			if v := getenv("OTEL_EXPORTER_OTLP_" + strings.ToUpper(signal.String()) + "_" + key); v != "" {
				return v, "OTEL_EXPORTER_OTLP_" + strings.ToUpper(signal.String()) + "_" + key
			}
			return getenv("OTEL_EXPORTER_OTLP_" + key), "OTEL_EXPORTER_OTLP_" + key
		}
		lookup := func(key, fromFile, fileKey string) (value, name string) {
			if v, name := env(key); v != "" {
				return v, name
			}
			return fromFile, fileKey
		}
		if exporter := getenv("OTEL_" + strings.ToUpper(signal.String()) + "_EXPORTER"); exporter == "none" || enabled[signal] != nil && !*enabled[signal] {
			continue
		} else if exporter != "" && exporter != "otlp" {
			check.fail("OTEL_%s_EXPORTER: %q is not supported; use otlp or none", strings.ToUpper(signal.String()), exporter)
		}
		rawURL, name := lookup("ENDPOINT", file.Endpoint, "endpoint")
		if rawURL == "" {
			continue
		}
		endpoint := otlp.Endpoint{Headers: map[string]string{}, Timeout: defaultOTLPTimeout}
		protocol, key := lookup("PROTOCOL", file.Protocol, "protocol")
		switch protocol {
		case "grpc":
			endpoint.GRPC = true
		case "", "http/protobuf":
		default:
			check.fail("%s: %q is not supported; use http/protobuf or grpc", key, protocol)
		}
		parsed, err := url.Parse(rawURL)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			check.fail("%s: %q is not an http or https URL", name, rawURL)
			continue
		}
		if endpoint.URL = rawURL; !endpoint.GRPC && !strings.Contains(name, "_"+strings.ToUpper(signal.String())+"_") { // an endpoint for all signals: append the signal's path
			endpoint.URL = strings.TrimSuffix(rawURL, "/") + "/v1/" + signal.String()
		}
		compression, key := lookup("COMPRESSION", file.Compression, "compression")
		switch compression {
		case "gzip":
			endpoint.Gzip = true
		case "", "none":
		default:
			check.fail("%s: %q is neither gzip nor none", key, compression)
		}
		for k, v := range file.Headers {
			endpoint.Headers[k] = v
		}
		if text, key := env("HEADERS"); text != "" {
			for _, pair := range strings.Split(text, ",") {
				k, v, ok := strings.Cut(pair, "=")
				v, err := url.PathUnescape(strings.TrimSpace(v))
				if k = strings.TrimSpace(k); !ok || k == "" || err != nil {
					check.fail("%s: a header is not of the form key=value", key) // without its text, which may be a secret
				}
				endpoint.Headers[k] = v
			}
		}
		if text, key := env("TIMEOUT"); text != "" { // in milliseconds, as OpenTelemetry specifies
			endpoint.Timeout = check.duration(key, text+"ms", 0)
		} else {
			endpoint.Timeout = check.duration("timeout", file.Timeout, defaultOTLPTimeout)
		}
		endpoint.CAFile, _ = lookup("CERTIFICATE", file.CA, "")
		endpoint.CertFile, _ = lookup("CLIENT_CERTIFICATE", file.Cert, "")
		endpoint.KeyFile, key = lookup("CLIENT_KEY", file.Key, "client_key")
		if (endpoint.CertFile == "") != (endpoint.KeyFile == "") {
			check.fail("%s: client certificate and key must be set together", key)
		}
		if _, err := endpoint.TLSConfig(); err != nil {
			check.fail("%s: %v", "certificate", err)
		}
		result.Endpoints[signal] = endpoint
	}
	if check.err != nil {
		if path != "" {
			return nil, fmt.Errorf("telemetry: %s: %w", path, check.err)
		}
		return nil, fmt.Errorf("telemetry: %w", check.err)
	}
	if len(result.Endpoints) == 0 {
		return nil, nil
	}
	return result, nil
}
