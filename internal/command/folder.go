package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"yuccalanding.example/yuccalanding/internal/operator"
)

// maxFolderFiles is the maximum number of *.ini files in a folder. A folder with
// more is probably not a configuration, for example because of a mistyped path.
const maxFolderFiles = 1000

// readFolder reads the *.ini files of a configuration folder in name order. It
// returns an error if there is none, if there are more than maxFolderFiles, or
// if they are too large for one call to a node.
func readFolder(path string) (operator.Folder, error) {
	var folder operator.Folder
	entries, err := os.ReadDir(path)
	if err != nil {
		return folder, fmt.Errorf("the folder can't be read: %w; name a folder of *.ini files", err)
	}
	size := 0
	for _, entry := range entries {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), ".ini") {
			continue
		}
		info, err := entry.Info()
		if err != nil {
			return folder, fmt.Errorf("%s: %w", filepath.Join(path, entry.Name()), err)
		}
		size += int(info.Size())
		if len(folder.Files) == maxFolderFiles || size > operator.MaxBodyBytes/2 {
			return folder, fmt.Errorf("%s: more than %d files or %d bytes; name a configuration folder", path, maxFolderFiles, operator.MaxBodyBytes/2)
		}
		content, err := os.ReadFile(filepath.Join(path, entry.Name()))
		if err != nil {
			return folder, fmt.Errorf("%w; make the file readable", err)
		}
		folder.Files = append(folder.Files, operator.File{Name: entry.Name(), Content: string(content)})
	}
	if len(folder.Files) == 0 {
		return folder, fmt.Errorf("%s: has no *.ini file; name a configuration folder", path)
	}
	return folder, nil
}

// findingsError returns an error with the findings of a folder, one per line.
func findingsError(path string, findings []operator.Finding) error {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		if finding.File != "" {
			finding.File = filepath.Join(path, finding.File)
		}
		lines[i] = finding.String()
	}
	return fmt.Errorf("%d finding(s); correct them and check again\n%s", len(findings), strings.Join(lines, "\n"))
}
