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

var logged = regexp.MustCompile(`(?:\b[lL]og\.(?:Info|Warn|Error)\(|\bsay\(\w+, |malformed\(|[cC]omplain\()"([^"]+)"`)

// On-call staff must find every line that the daemon can log.
func TestOnCallPageKnowsEveryLine(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	found := 0
	for _, dir := range []string{"../../dispatch", "../../internal", "../../cmd/tinroute"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range logged.FindAllStringSubmatch(string(text), -1) {
				found++
				require.Contains(t, string(page), "`"+m[1]+"`", path)
			}
			return err
		}))
	}
	require.Greater(t, found, 20)
}
