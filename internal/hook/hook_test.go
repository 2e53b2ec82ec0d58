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
	settings = &balance.Settings{Classes: []balance.Class{{Name: "price-read"}, {Name: "nav-run"}},
		Tenants: []balance.Tenant{{Name: "argane-epargne"}, {Name: "souss-actions"}}}
	names = &config.Names{Tenant: map[string]int{"argane-epargne": 0, "souss-actions": 1}}
)

func load(t *testing.T, files ...string) (*Hooks, *bytes.Buffer) {
	t.Helper()
	log := &bytes.Buffer{}
	h, err := Load(files, settings, names, slog.New(slog.NewTextHandler(log, nil)))
	require.NoError(t, err)
	return h, log
}

func file(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "hook.star")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExample(t *testing.T) {
	h, log := load(t, "../../example/hooks.star")
	tx := &dispatch.Request{ID: "1", Class: 0, Tenant: 1}
	require.Equal(t, &dispatch.Answer{Verdict: dispatch.Refused, Reason: "pricing of souss-actions is closed",
		RetryAfter: 1500 * time.Millisecond}, h.OnRequest(tx))
	tx = &dispatch.Request{ID: "2", Class: 1, Tenant: -1}
	require.Nil(t, h.OnRequest(tx))
	require.Equal(t, 0, tx.Tenant)
	tx = &dispatch.Request{ID: "3", Class: 0, Tenant: 0}
	require.Nil(t, h.OnRequest(tx))
	require.Equal(t, 400*time.Millisecond, tx.WorkHint)
	synctest.Test(t, func(t *testing.T) {
		h.outcomes = make(chan starlark.Value, 1)
		go h.Run(t.Context())
		h.AttemptEnded(&dispatch.Attempt{Request: tx, Worker: dispatch.Worker{Name: "s-1"}}, balance.StatusReset, time.Second)
		synctest.Wait()
	})
	require.Contains(t, log.String(), "region s-1 lost 3 after 1.0 s")
	require.Zero(t, h.Failed())
}

// A script that fails, runs on without end, or says what makes no sense is logged and
// counted, and the request goes through as it came.
func TestFailureLetsTheRequestThrough(t *testing.T) {
	for text, why := range map[string]string{
		`fail("no")`:                    "no",
		`[x for x in range(100000000)]`: "too many steps",
		`return 7`:                      "returned int",
		`return {"worker": "s-1"}`:      "makes no sense",
		`return {"tenant": "nobody"}`:   "unknown",
		`return {"tenant": "souss-actions", "cost_s": -1}`: "makes no sense",
		`return {"cost_s": float("nan")}`:                  "makes no sense",
		`return {"retry_after_s": 3}`:                      "without refuse",
	} {
		h, log := load(t, file(t, "def on_transaction(tx):\n    "+text+"\n"))
		tx := dispatch.Request{ID: "1", Tenant: -1, WorkHint: time.Second}
		asked := tx
		require.Nil(t, h.OnRequest(&asked), text)
		require.Equal(t, tx, asked, text)
		require.EqualValues(t, 1, h.Failed(), text)
		require.Contains(t, log.String(), why, text)
	}
}

// A script has no way to reach anything outside of it.
func TestNoWayOut(t *testing.T) {
	for text, why := range map[string]string{
		`load("other.star", "x")`: "load not implemented",
		`open("/etc/passwd")`:     "undefined: open",
		`while True: pass`:        "while",
		`x = 1`:                   "defines neither",
		`on_transaction = 1`:      "not a function",
	} {
		_, err := Load([]string{file(t, text)}, settings, names, slog.New(slog.DiscardHandler))
		require.ErrorContains(t, err, why, text)
	}
	_, err := Load([]string{"missing.star"}, settings, names, nil)
	require.ErrorContains(t, err, "hooks: ")
	h, err := Load(nil, settings, names, nil)
	require.NoError(t, err)
	require.Nil(t, h)
}

// Outcomes that no one takes are dropped, not waited for.
func TestSlowOutcomesAreDropped(t *testing.T) {
	h, log := load(t, file(t, "def on_outcome(task): pass"))
	for range backlog + 5 {
		h.AttemptEnded(&dispatch.Attempt{Request: &dispatch.Request{}}, balance.StatusOK, 0)
	}
	require.EqualValues(t, 5, h.dropped.Load())
	require.Equal(t, 1, strings.Count(log.String(), "hook too slow"))
}
