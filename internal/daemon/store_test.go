package daemon

import (
	"log/slog"
	"path/filepath"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// A job store that cannot be opened costs background jobs alone: they get ERROR at once, foreground
// jobs are served, and one log line says so.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &lines{}
		w := newWorld(t, &memory{}, &gearmanWire{}, true)
		w.log = slog.New(slog.NewTextHandler(log, nil))
		w.store = filepath.Join(t.TempDir(), "no", "such", "jobs")
		w.regions["a"] = newRegion(w, "a", "0")
		w.launch(nil)
		defer w.finish()
		for _, line := range []string{`send 1 SUBMIT_JOB_BG price-read u1 j1`, `expect 1 ERROR store_unavailable *`,
			`send 1 SUBMIT_JOB_EPOCH price-read u1 0 j1`, `expect 1 ERROR store_unavailable *`,
			`send 1 SUBMIT_JOB price-read u1 j1`, `expect 1 JOB_CREATED $h`, `expect a task j1`, `send a done j1`, `expect 1 WORK_COMPLETE $h rj1`,
			`send 2 text store`, `expect 2 text "ERR NO_STORE*"`, `expect none`} {
			w.line(line)
		}
		require.Equal(t, 1, log.count("job store not opened"))
	})
}
