package settings

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Limits of the input, so that a wrong path can't use up the memory.
const (
	maxFiles     = 64
	maxFileBytes = 1 << 20
	maxMembers   = 64
)

// Load reads and checks the settings in a file or a folder. The error is of type
// Findings and holds a finding for each fault.
func Load(path string) (*Settings, error) {
	loader := &loader{path: path, folder: path, settings: Defaults(), positions: map[settingKey]position{}, invalid: map[settingKey]bool{}, members: map[string]*Member{}}
	for _, file := range loader.files() {
		loader.readFile(file)
	}
	if !loader.unreadable {
		loader.validate()
	}
	if len(loader.findings) > 0 {
		slices.SortStableFunc(loader.findings, func(a, b Finding) int {
			return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
		})
		return nil, loader.findings
	}
	return &loader.settings, nil
}

// settingKey identifies a setting by its section and key.
type settingKey struct{ section, key string }

// position is the file and line of a setting or finding.
type position struct {
	file string
	line int
}

// loader holds the state of one call of Load.
type loader struct {
	path string
	// folder is the folder of the settings; relative paths are relative to it.
	folder    string
	settings  Settings
	positions map[settingKey]position
	// invalid holds the settings whose value is invalid.
	invalid  map[settingKey]bool
	members  map[string]*Member
	findings Findings
	// unreadable is set if a file or the folder could not be read or parsed. Missing
	// settings are not reported then, because the file may contain them.
	unreadable bool
}

// addFinding reports a fault at a position.
func (l *loader) addFinding(at position, section, key, format string, arguments ...any) {
	l.findings = append(l.findings, Finding{File: at.file, Line: at.line, Section: section, Key: key, Message: fmt.Sprintf(format, arguments...)})
}

// addKeyFinding reports a fault at the position where the key was set, or at the
// path of the settings if it was not set.
func (l *loader) addKeyFinding(section, key, format string, arguments ...any) {
	at, ok := l.positions[settingKey{section, key}]
	if !ok {
		at = position{file: l.path}
	}
	l.addFinding(at, section, key, format, arguments...)
}

// files returns the paths of the settings files in the order of their names.
func (l *loader) files() []string {
	info, err := os.Stat(l.path)
	if err != nil {
		l.unreadable = true
		l.addFinding(position{file: l.path}, "", "", "can't be read: %s; name a settings file or a folder of *.ini files", rootCause(err))
		return nil
	}
	if !info.IsDir() {
		l.folder = filepath.Dir(l.path)
		return []string{l.path}
	}
	entries, err := os.ReadDir(l.path)
	if err != nil {
		l.unreadable = true
		l.addFinding(position{file: l.path}, "", "", "can't be read: %s", rootCause(err))
	}
	var files []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".ini") && !entry.IsDir() {
			files = append(files, filepath.Join(l.path, entry.Name()))
		}
	}
	if len(files) == 0 && err == nil {
		l.unreadable = true
		l.addFinding(position{file: l.path}, "", "", "the folder has no *.ini file")
	}
	if len(files) > maxFiles {
		l.unreadable = true
		l.addFinding(position{file: l.path}, "", "", "the folder has %d *.ini files, more than %d", len(files), maxFiles)
		return nil
	}
	return files
}

// rootCause returns the innermost error as text. It omits the path, which the
// finding contains already.
func rootCause(err error) string {
	for {
		wrapped, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err.Error()
		}
		err = wrapped.Unwrap()
	}
}

// readFile parses a file and applies its keys.
func (l *loader) readFile(file string) {
	info, err := os.Stat(file)
	if err == nil && info.Size() > maxFileBytes {
		l.unreadable = true
		l.addFinding(position{file: file}, "", "", "has %d bytes, more than %d", info.Size(), maxFileBytes)
		return
	}
	content, err := os.ReadFile(file)
	if err != nil {
		l.unreadable = true
		l.addFinding(position{file: file}, "", "", "can't be read: %s", rootCause(err))
		return
	}
	keyLines := l.scanLines(file, string(content))
	if l.unreadable {
		return
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, content)
	if err != nil {
		l.unreadable = true
		l.addFinding(position{file: file}, "", "", "can't be parsed: %s", err)
		return
	}
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			setting := settingKey{section.Name(), key.Name()}
			at := position{file, keyLines[setting]}
			l.positions[setting] = at
			l.applyKey(setting, at, key.Value())
		}
	}
}

// scanLines returns the line of every key, which ini.v1 doesn't provide. It reports
// lines with invalid syntax, unknown sections and duplicate keys.
func (l *loader) scanLines(file, content string) map[settingKey]int {
	keyLines := map[settingKey]int{}
	section := ini.DefaultSection
	report := func(line int, key, format string, arguments ...any) {
		l.addFinding(position{file, line}, strings.TrimPrefix(section, ini.DefaultSection), key, format, arguments...)
	}
	for i, raw := range strings.Split(content, "\n") {
		line, text := i+1, strings.TrimSpace(strings.TrimPrefix(raw, "\ufeff"))
		key, value, isKey := strings.Cut(text, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			name, rest, closed := strings.Cut(text[1:], "]")
			rest = strings.TrimSpace(rest)
			if !closed || rest != "" && rest[0] != '#' && rest[0] != ';' {
				l.unreadable = true
				report(line, "", "a section is written [name], got %.60q", text)
				continue
			}
			section = strings.TrimSpace(name)
			if !knownSection(section) {
				report(line, "", "unknown section%s", suggestion(section, sectionNames()))
			}
		case !isKey || key == "":
			l.unreadable = true
			report(line, "", "expected key = value, got %.60q", text)
		case strings.ContainsAny(key, "\"`") || strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
			l.unreadable = true
			report(line, key, "quoted keys and multi-line values are not supported")
		case section == ini.DefaultSection:
			report(line, key, "is set before the first section")
		default:
			if firstLine, duplicate := keyLines[settingKey{section, key}]; duplicate {
				report(line, key, "is already set in line %d", firstLine)
			}
			keyLines[settingKey{section, key}] = line
		}
	}
	return keyLines
}

// applyKey sets the field of a key, or reports an unknown key or invalid value.
func (l *loader) applyKey(setting settingKey, at position, value string) {
	rules := rulesOf(setting.section)
	if rules == nil {
		return // scanLines has reported the section.
	}
	for _, rule := range rules {
		if rule.key != setting.key {
			continue
		}
		if err := rule.set(l, setting.section, value); err != nil {
			l.addFinding(at, setting.section, setting.key, "%s", err)
			l.invalid[setting] = true
		}
		return
	}
	l.addFinding(at, setting.section, setting.key, "unknown key%s", suggestion(setting.key, keyNames(rules)))
}

// member returns the member of a section [member NAME] and adds it if it is new.
func (l *loader) member(section string) *Member {
	name := memberName(section)
	if l.members[name] == nil {
		l.members[name] = &Member{Name: name}
	}
	return l.members[name]
}
