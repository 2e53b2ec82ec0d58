package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

func runCLI(env map[string]string, args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = Main(Env{Args: args, Getenv: func(k string) string { return env[k] }, Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func TestCheck(t *testing.T) {
	env := map[string]string{"LB_CONFIG": "../../example/config.json", "OTEL_EXPORTER_OTLP_ENDPOINT": "http://127.0.0.1:4318"}
	gearman := filepath.Join(t.TempDir(), "gearman.toml")
	require.NoError(t, os.WriteFile(gearman, []byte("listen = 'x:1'\ndiscovery = 'y:2'\n[store]\npath = '/jobs'\n"), 0o600))
	code, out, _ := runCLI(env, "check", "--gearman", gearman)
	require.Equal(t, ExitOK, code)
	for _, text := range []string{"n0 listens at 127.0.0.1:5000", "class price-fix", "repeated within 7.5s, in the same cell", "safe to repeat",
		"Gearman: listens at x:1", "kept in /jobs", "traces go to http://127.0.0.1:4318/v1/traces over HTTP", "tenant argane-epargne"} {
		require.Contains(t, out, text)
	}
	code, out, _ = runCLI(map[string]string{"LB_CONFIG": "../../example/config.json"}, "check", "-gearman", "../../deploy/gearman.toml") // with one dash, as in earlier versions
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "background jobs are off")
	require.Contains(t, out, "telemetry: off")
	require.NoError(t, os.WriteFile(gearman, []byte("listen = 'x:1'\ndiscovery = 'y:2'\nlisten_too = 1\n"), 0o600))
	code, out, _ = runCLI(env, "check", "--gearman", gearman)
	require.Equal(t, ExitInvalidConfig, code)
	require.Contains(t, out, "listen_too: unknown key")
}

func TestUsage(t *testing.T) {
	code, _, err := runCLI(nil, "brew")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, err, "brew")
	code, _, err = runCLI(nil, "--log-format", "xml")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, err, "log-format")
	code, out, _ := runCLI(nil, "--help")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "check")
	code, out, _ = runCLI(nil, "version")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "tinroute")
}

// The same arguments give the same event log. Errors name the invalid argument on standard error.
func TestEmulate(t *testing.T) {
	args := []string{"emulate", "--length", "10s", "--fail", "slow,2s,5s,0.2,5", "--fail", "outage,1s,3s,0"}
	code, out, err := runCLI(nil, args...)
	require.Equal(t, ExitOK, code, err)
	require.Regexp(t, `requests, .* event log [0-9a-f]{16}`, out)
	_, again, _ := runCLI(nil, append(args, "--trace")...)
	log := regexp.MustCompile(`event log [0-9a-f]{16}`)
	require.Equal(t, log.FindString(out), log.FindString(again))
	for _, bad := range []string{"slow", "brew,1s,1s,0.5", "slow,soon,1s,0.5", "slow,1s,1s,2", "slow,1s,1s,0.5,-1"} {
		code, _, err := runCLI(nil, "emulate", "--fail", bad)
		require.Equal(t, ExitFailed, code, bad)
		require.Contains(t, err, bad)
		require.NotContains(t, err, "cannot serve")
	}
}

// Without a command the program serves, and logs the reason if it cannot.
func TestServeIsTheDefault(t *testing.T) {
	code, _, err := runCLI(nil)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, err, `msg="cannot serve" err="LB_CONFIG: not set"`)
	code, _, err = runCLI(nil, "--log-format", "json", "serve")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, err, `"msg":"cannot serve"`)
	code, _, err = runCLI(nil, "--log-format", "tint")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, err, "cannot serve")
	code, _, err = runCLI(map[string]string{"LB_CONFIG": "../../example/config.json"}, "--telemetry", "/no/such")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, err, "/no/such")
}
