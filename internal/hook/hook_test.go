package hook

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.starlark.net/starlark"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
)

var (
	testSettings = &balance.Settings{Classes: []balance.Class{{Name: "price-read"}, {Name: "nav-run"}},
		Tenants: []balance.Tenant{{Name: "argane-epargne"}, {Name: "souss-actions"}}}
	testNames = &config.Names{Tenant: map[string]int{"argane-epargne": 0, "souss-actions": 1}}
)

func loadHooks(t *testing.T, files ...string) (*Hooks, *bytes.Buffer) {
	t.Helper()
	log := &bytes.Buffer{}
	h, err := Load(files, testSettings, testNames, slog.New(slog.NewTextHandler(log, nil)))
	require.NoError(t, err)
	return h, log
}

func writeScript(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "hook.star")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExampleScript(t *testing.T) {
	h, log := loadHooks(t, "../../example/hooks.star")
	request := &dispatch.Request{ID: "1", Class: 0, Tenant: 1}
	require.Equal(t, &dispatch.Answer{Verdict: dispatch.Refused, Reason: "pricing of souss-actions is closed",
		RetryAfter: 1500 * time.Millisecond}, h.OnRequest(request))
	request = &dispatch.Request{ID: "2", Class: 1, Tenant: -1}
	require.Nil(t, h.OnRequest(request))
	require.Equal(t, 0, request.Tenant)
	request = &dispatch.Request{ID: "3", Class: 0, Tenant: 0}
	require.Nil(t, h.OnRequest(request))
	require.Equal(t, 400*time.Millisecond, request.ExpectedWork)
	synctest.Test(t, func(t *testing.T) {
		h.outcomes = make(chan starlark.Value, 1)
		go h.Run(t.Context())
		h.AttemptEnded(&dispatch.Attempt{Request: request, Worker: dispatch.Worker{Name: "s-1"}}, balance.StatusReset, time.Second)
		synctest.Wait()
	})
	require.Contains(t, log.String(), "region s-1 lost 3 after 1.0 s")
	require.Zero(t, h.FailureCount())
}

// If a script fails, exceeds its steps or returns an invalid value, this is logged and counted, and
// the request continues unchanged.
func TestFailedScriptChangesNothing(t *testing.T) {
	for text, wantLog := range map[string]string{
		`fail("no")`:                    "no",
		`[x for x in range(100000000)]`: "too many steps",
		`return 7`:                      "returned int",
		`return {"worker": "s-1"}`:      "unknown key or invalid value",
		`return {"tenant": "nobody"}`:   "unknown",
		`return {"tenant": "souss-actions", "cost_s": -1}`: "unknown key or invalid value",
		`return {"cost_s": float("nan")}`:                  "unknown key or invalid value",
		`return {"retry_after_s": 3}`:                      "without refuse",
	} {
		h, log := loadHooks(t, writeScript(t, "def on_transaction(tx):\n    "+text+"\n"))
		request := dispatch.Request{ID: "1", Tenant: -1, ExpectedWork: time.Second}
		copied := request
		require.Nil(t, h.OnRequest(&copied), text)
		require.Equal(t, request, copied, text)
		require.EqualValues(t, 1, h.FailureCount(), text)
		require.Contains(t, log.String(), wantLog, text)
	}
}

// Scripts have no access to files, to other scripts or to unbounded loops.
func TestSandbox(t *testing.T) {
	for text, wantErr := range map[string]string{
		`load("other.star", "x")`: "load not implemented",
		`open("/etc/passwd")`:     "undefined: open",
		`while True: pass`:        "while",
		`x = 1`:                   "defines neither",
		`on_transaction = 1`:      "not a function",
	} {
		_, err := Load([]string{writeScript(t, text)}, testSettings, testNames, slog.New(slog.DiscardHandler))
		require.ErrorContains(t, err, wantErr, text)
	}
	_, err := Load([]string{"missing.star"}, testSettings, testNames, nil)
	require.ErrorContains(t, err, "hooks: ")
	h, err := Load(nil, testSettings, testNames, nil)
	require.NoError(t, err)
	require.Nil(t, h)
}

// When the queue of outcomes is full, further ones are dropped and the caller does not wait.
func TestSlowOutcomesAreDropped(t *testing.T) {
	h, log := loadHooks(t, writeScript(t, "def on_outcome(task): pass"))
	for range maxQueuedOutcomes + 5 {
		h.AttemptEnded(&dispatch.Attempt{Request: &dispatch.Request{}}, balance.StatusOK, 0)
	}
	require.EqualValues(t, 5, h.dropped.Load())
	require.Equal(t, 1, strings.Count(log.String(), "hook on_outcome is too slow"))
}
