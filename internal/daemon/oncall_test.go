package daemon

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var logCall = regexp.MustCompile(`(?:\b[lL]og\.(?:Info|Warn|Error)\(|malformed\(|\blogAttempt\(\w+, |warnLimited\(|warnOnce\(|limitedLog\.Report\(|\.poll\()"([^"]+)"`)

// The on-call page has to explain every message that the daemon logs.
func TestOnCallPageExplainsEveryLogMessage(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	count := 0
	for _, dir := range []string{"../../dispatch", "../../internal", "../../cmd/tinroute"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range logCall.FindAllStringSubmatch(string(text), -1) {
				count++
				require.Contains(t, string(page), "`"+m[1]+"`", path)
			}
			return err
		}))
	}
	require.Greater(t, count, 20)
}
