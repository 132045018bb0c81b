package entry_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var logCall = regexp.MustCompile(`(?:p\.log|process\.log|options\.Log)\("([a-z-]+)"`)

// eventNames returns the names of the events that the source files log.
func eventNames(t *testing.T) []string {
	var names []string
	for _, folder := range []string{".", "../shard"} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, match := range logCall.FindAllStringSubmatch(string(source), -1) {
				names = append(names, match[1])
			}
		}
	}
	require.Greater(t, len(names), 30)
	return names
}
