package cli

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An experiment that is run again runs only what its results file lacks, including a result whose
// line was truncated by an interruption, and summarizes all results.
func TestExperimentContinues(t *testing.T) {
	dir := t.TempDir()
	out, summaryFile := filepath.Join(dir, "r.jsonl"), filepath.Join(dir, "r.csv")
	args := []string{"experiment", "--days", "calm,slow", "--policies", "tinroute,least-outstanding", "--seeds", "2",
		"--nodes", "6", "--length", "5s", "--out", out, "--csv", summaryFile}
	code, text, _ := runCLI(nil, args...)
	require.Equal(t, ExitOK, code, text)
	require.Equal(t, 8, countLines(t, out))
	require.Contains(t, text, "calm")
	require.Contains(t, text, "least-outstanding")

	data, err := os.ReadFile(out)
	require.NoError(t, err)
	lines := strings.SplitAfter(string(data), "\n")
	truncated := strings.Join(lines[:5], "") + lines[5][:len(lines[5])/2] // five complete lines and half of one
	require.NoError(t, os.WriteFile(out, []byte(truncated), 0o644))
	code, _, errs := runCLI(nil, args...)
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, errs, "8 plays, 5 of them done before", "the truncated result is run again")
	require.Equal(t, 8, countLines(t, out))
	require.Equal(t, 5, countLines(t, summaryFile)) // the header and four combinations of day and policy

	invalid := strings.Join(lines[:2], "") + "{not json\n" + strings.Join(lines[2:], "")
	require.NoError(t, os.WriteFile(out, []byte(invalid), 0o644))
	code, _, errs = runCLI(nil, args...)
	require.NotEqual(t, ExitOK, code)
	require.Contains(t, errs, "r.jsonl:3", "the error names an invalid line before the last")
}

func countLines(t *testing.T, path string) int {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	n := 0
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		n++
	}
	return n
}
