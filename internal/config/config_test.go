package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/otlp"
	"tinroute.example/tinroute/internal/tailsampling"
)

func exampleConfig(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	return string(text)
}

func TestParseExampleAndDefaults(t *testing.T) {
	c, err := Parse([]byte(exampleConfig(t)))
	require.NoError(t, err)
	require.Equal(t, uint64(0x8c1f30d27a5be964), c.Settings.Seed)
	require.Equal(t, 2*time.Second, c.Settings.MaxRetryAfter)
	require.Equal(t, []string{"example/hooks.star"}, c.Hooks)
	c, err = Parse([]byte(`{"settings":{"limits":{"dial_timeout_s":1}}}`))
	require.NoError(t, err)
	require.Equal(t, Limits{Cores: 1, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}, c.Limits)
	require.Equal(t, defaultConnIdleTimeout, c.Settings.ConnIdleTimeout)
	require.Equal(t, defaultMaxOpenRequests, c.Settings.MaxOpenJobs)
}

// Each error has to name the key to correct.
func TestErrorsNameKey(t *testing.T) {
	for _, c := range []struct{ from, to, key string }{
		{`"cores": 1.0`, `"cores": 0`, "limits.cores"},
		{`"memory_mb": 192`, `"memory_mb": "much"`, "memory_mb"},
		{`"memory_mb": 192`, `"memory_mb": 8`, "limits.memory_mb"},
		{`"sockets": 1024`, `"sockets": 3`, "limits.sockets"},
		{`"seed": "8c`, `"seed": "zz`, "seed"},
		{`"hooks": [`, `"hooks": [7,`, "hooks"},
		{`"settings"`, `"sittings"`, "settings"},
		{`"retryable"`, `"maybe"`, "settings: repeat"},
		{`"dial_timeout_s": 0.25`, `"dial_timeout_s": 0`, "dial_timeout_s"},
		{`"name": "n0"`, `"known": 7`, "known"},
		{`{`, ``, "configuration"},
	} {
		_, err := Parse([]byte(strings.Replace(exampleConfig(t), c.from, c.to, 1)))
		require.ErrorContains(t, err, c.key)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(exampleConfig(t), `"listen"`, `"listens"`, 1)), 0o600))
	env := map[string]string{}
	get := func(k string) string { return env[k] }
	_, err := Load(get)
	require.ErrorContains(t, err, "LB_CONFIG")
	env["LB_CONFIG"] = file
	_, err = Load(get)
	require.ErrorContains(t, err, "listen")
	env["LB_LISTEN"], env["LB_NAME"] = "127.0.0.1:1", "n7"
	c, err := Load(get)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:1 n7", c.Listen+" "+c.Name)
	// $LB_DISCOVERY applies at the start only; on a reload the file is newer than the environment.
	env["LB_DISCOVERY"] = "127.0.0.1:2"
	c, err = Load(get)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:2", c.Discovery)
	c, err = Reload(get)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8500 127.0.0.1:1 n7", c.Discovery+" "+c.Listen+" "+c.Name)
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(exampleConfig(t), `"discovery":`, `"discoveries":`, 1)), 0o600))
	_, err = Reload(get)
	require.ErrorContains(t, err, "discovery")
}

// Errors in the file named by $LB_CONFIG include the line, even for one class among several.
func TestErrorsNameLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	loadText := func(text string) error {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := Load(func(k string) string { return map[string]string{"LB_CONFIG": file, "LB_LISTEN": "x"}[k] })
		return err
	}
	for text, want := range map[string]string{
		"{\n\"name\": 7}":                                                                        ":2: configuration: name: not text",
		"{\"limits\": {\n\n\"cores\": 0}}":                                                       ":3: limits.cores: 0 is not above 0",
		"{\"settings\": {\n\"tick_s\": \"soon\"}}":                                               ":2: settings: tick_s: not a number",
		"{\"settings\": {\"limits\": {\n\"cancel\": 1}}}":                                        ":2: settings: cancel: not true or false",
		"{\"settings\": {\"limits\":\n{\"dial_timeout_s\":0}}}":                                  ":2: settings: limits.dial_timeout_s: not above 0",
		"{\"settings\": {\"classes\": [{\"repeat\": \"retryable\"},\n{\"repeat\": \"maybe\"}]}}": ":2: settings: repeat: unknown value",
		"{\"name\": \"x\",\n\"listen\" \"y\"}":                                                   ":2: configuration: ",
	} {
		require.ErrorContains(t, loadText(text), file+want, "%s", text)
	}
	require.ErrorContains(t, loadText("{}"), file+": settings: missing")
}

func TestParseGearman(t *testing.T) {
	c, err := Parse([]byte(exampleConfig(t)))
	require.NoError(t, err)
	gearman, err := LoadGearman("../../deploy/gearman.toml", c.Settings, c.Names)
	require.NoError(t, err)
	require.Equal(t, FunctionDefaults{Class: 2, Deadline: 25 * time.Second, Tenant: -1}, gearman.Functions["nav-run"])
	const valid = "listen = 'x'\ndiscovery = 'y'\n"
	gearman, err = ParseGearman(valid+"function.nav-run = {tenant='souss-actions', cost='2s', deadline='9s'}", c.Settings, c.Names)
	require.NoError(t, err)
	require.Equal(t, FunctionDefaults{Class: 2, Deadline: 9 * time.Second, Tenant: 1, Cost: 2 * time.Second}, gearman.Functions["nav-run"])
	for text, key := range map[string]string{
		"discovery = 'y'":                                   "listen",
		"listen = 'x'":                                      "discovery",
		valid + "port = 1":                                  "port",
		valid + "function.brew = {}":                        "function.brew",
		valid + "function.nav-run = {deadline='soon'}":      "function.nav-run.deadline",
		valid + "function.nav-run = {cost='-1s'}":           "function.nav-run.cost",
		valid + "function.nav-run = {tenant='nobody'}":      "function.nav-run.tenant",
		valid + "function.nav-run = {priority='first'}":     "function.nav-run.priority",
		valid + "function.nav-run = {maxqueue=-1}":          "function.nav-run.maxqueue",
		valid + "store = {max_jobs=5}":                      "store.path",
		valid + "store = {path='x', max_bytes=0}":           "store.max_bytes",
		valid + "limits = {jobs_per_connection=0}":          "limits.jobs_per_connection",
		valid + "limits = {connections=-1}":                 "limits.connections",
		valid + "retry = {backoff='2s', backoff_most='1s'}": "retry.backoff_most",
		valid + "retry = {expiry='never'}":                  "retry.expiry",
		valid + "pace = {rate=0}":                           "pace.rate",
		valid + "pace = {foreground_wait='-1s'}":            "pace.foreground_wait",
	} {
		_, err := ParseGearman(text, c.Settings, c.Names)
		require.ErrorContains(t, err, key)
	}
}

// The OTEL_ variables override the file, those for one signal override those for all signals, and
// each error names the key or variable.
func TestLoadTelemetry(t *testing.T) {
	file := filepath.Join(t.TempDir(), "telemetry.toml")
	loadText := func(text string, env map[string]string) (*Telemetry, error) {
		path := ""
		if text != "" {
			path = file
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		}
		return LoadTelemetry(path, func(k string) string { return env[k] })
	}
	for _, env := range []map[string]string{nil, {"OTEL_SERVICE_NAME": "x"}, {"OTEL_EXPORTER_OTLP_ENDPOINT": "http://x", "OTEL_SDK_DISABLED": "true"}} {
		c, err := loadText("", env)
		require.NoError(t, err)
		require.Nil(t, c)
	}
	c, err := loadText("endpoint = 'http://file:4318/'\ntimeout = '3s'\nheaders = {a = 'b'}\nlogs = false\n[sampling]\nbytes = 1000\nslow = '2s'\n",
		map[string]string{"OTEL_EXPORTER_OTLP_METRICS_ENDPOINT": "https://env/m", "OTEL_EXPORTER_OTLP_METRICS_PROTOCOL": "grpc",
			"OTEL_EXPORTER_OTLP_METRICS_HEADERS": "c=d%20e,a=f", "OTEL_EXPORTER_OTLP_METRICS_TIMEOUT": "1500", "OTEL_EXPORTER_OTLP_COMPRESSION": "gzip"})
	require.NoError(t, err)
	require.Equal(t, map[otlp.Signal]otlp.Endpoint{
		otlp.Traces:  {URL: "http://file:4318/v1/traces", Timeout: 3 * time.Second, Headers: map[string]string{"a": "b"}, Gzip: true},
		otlp.Metrics: {URL: "https://env/m", GRPC: true, Timeout: 1500 * time.Millisecond, Headers: map[string]string{"a": "f", "c": "d e"}, Gzip: true},
	}, c.Endpoints)
	require.Equal(t, tailsampling.Limits{MaxBytes: 1000, TracesPerSecond: defaultTraceRate, SlowThreshold: 2 * time.Second}, c.Sampling)
	const valid = "endpoint = 'http://x'\n"
	for text, key := range map[string]string{
		"endpoint = 'x'":                   "endpoint",
		valid + "protocol = 'http/json'":   "protocol",
		valid + "compression = 'zstd'":     "compression",
		valid + "port = 1":                 "port",
		valid + "timeout = 'soon'":         "timeout",
		valid + "certificate = '/no/such'": "certificate",
		valid + "client_certificate = 'x'": "client_key",
		valid + "sampling = {rate=0}":      "sampling.rate",
		valid + "sampling = {slow='-1s'}":  "sampling.slow",
		valid + "spool = {bytes=-5}":       "spool.bytes",
		valid + "regions = 0":              "regions",
	} {
		_, err := loadText(text, nil)
		require.ErrorContains(t, err, key)
		require.ErrorContains(t, err, "telemetry")
	}
	for name, value := range map[string]string{"OTEL_EXPORTER_OTLP_PROTOCOL": "tcp", "OTEL_EXPORTER_OTLP_TRACES_HEADERS": "secret",
		"OTEL_EXPORTER_OTLP_TIMEOUT": "-3", "OTEL_LOGS_EXPORTER": "console", "OTEL_EXPORTER_OTLP_LOGS_ENDPOINT": "nowhere"} {
		_, err := loadText(valid, map[string]string{name: value})
		require.ErrorContains(t, err, name)
		require.NotContains(t, err.Error(), "secret")
	}
}
