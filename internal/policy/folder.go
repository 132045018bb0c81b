package policy

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// FileSuffix is the suffix of the files that ReadFolder reads. Other files, such
// as backups of an editor, are ignored.
const FileSuffix = ".ini"

// ReadFolder returns the INI files of the folder, sorted by name. It returns an
// error if the folder or a file can't be read, or if the folder has no INI files
// or more than MaxFiles. The text of a file above MaxFileBytes is cut off one
// byte after the limit, and Read reports it.
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
		text, err := readLimited(filepath.Join(folder, entry.Name()))
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

// readLimited reads at most MaxFileBytes and one more byte, so that Read reports a
// file that is too long.
func readLimited(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	return string(text), err
}
