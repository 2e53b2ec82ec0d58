package cli

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An experiment writes an outcome a line; called again it plays only what is missing, a line cut
// short by an interruption included, and sums up the whole matrix.
func TestExperimentGoesOn(t *testing.T) {
	dir := t.TempDir()
	out, sums := filepath.Join(dir, "r.jsonl"), filepath.Join(dir, "r.csv")
	args := []string{"experiment", "--days", "calm,slow", "--policies", "tinroute,least-outstanding", "--seeds", "2",
		"--nodes", "6", "--length", "5s", "--out", out, "--csv", sums}
	code, text, _ := call(nil, args...)
	require.Equal(t, ExitOK, code, text)
	require.Equal(t, 8, lines(t, out))
	require.Contains(t, text, "calm")
	require.Contains(t, text, "least-outstanding")

	data, err := os.ReadFile(out)
	require.NoError(t, err)
	cut := strings.SplitAfter(string(data), "\n")
	kept := strings.Join(cut[:5], "") + cut[5][:len(cut[5])/2] // five whole lines and half of one
	require.NoError(t, os.WriteFile(out, []byte(kept), 0o644))
	code, _, errs := call(nil, args...)
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, errs, "8 plays, 5 of them done before", "the half line is played again")
	require.Equal(t, 8, lines(t, out))
	require.Equal(t, 5, lines(t, sums)) // a head and four cells

	spoilt := strings.Join(cut[:2], "") + "{not json\n" + strings.Join(cut[2:], "")
	require.NoError(t, os.WriteFile(out, []byte(spoilt), 0o644))
	code, _, errs = call(nil, args...)
	require.NotEqual(t, ExitOK, code)
	require.Contains(t, errs, "r.jsonl:3", "a spoilt line before the last is named")
}

func lines(t *testing.T, path string) int {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	n := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		n++
	}
	return n
}
