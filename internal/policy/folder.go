package policy

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// FileSuffix ends the names of the files that ReadFolder takes. Others, such
// as editors' backups, are ignored.
const FileSuffix = ".ini"

// ReadFolder returns the folder's INI files in the order of their names.
func ReadFolder(folder string) ([]File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("read the policy folder: %w", err)
	}
	var files []File
	for _, entry := range entries {
		if entry.IsDir() || filepath.Ext(entry.Name()) != FileSuffix {
			continue
		}
		if len(files) == MaxFiles {
			return nil, fmt.Errorf("read the policy folder: %s has more than %d files", folder, MaxFiles)
		}
		text, err := readBounded(filepath.Join(folder, entry.Name()))
		if err != nil {
			return nil, fmt.Errorf("read the policy folder: %w", err)
		}
		files = append(files, File{Name: entry.Name(), Text: text})
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("read the policy folder: %s has no *%s files", folder, FileSuffix)
	}
	return files, nil
}

// readBounded reads one byte more than is allowed, so that Read reports a file
// that is too long.
func readBounded(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	return string(text), err
}
