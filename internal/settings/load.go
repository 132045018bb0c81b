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

// Bounds on the input, so that a wrong path can't fill the memory.
const (
	maxFiles     = 64
	maxFileBytes = 1 << 20
	maxMembers   = 64
)

// Load reads and checks the settings at a file or folder. The error is of type
// Findings and holds every fault.
func Load(path string) (*Settings, error) {
	loader := &loader{path: path, folder: path, settings: Defaults(), places: map[place]origin{}, faulty: map[place]bool{}, members: map[string]*Member{}}
	for _, file := range loader.files() {
		loader.read(file)
	}
	if !loader.unreadable {
		loader.checkWhole()
	}
	if len(loader.findings) > 0 {
		slices.SortStableFunc(loader.findings, func(a, b Finding) int {
			return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
		})
		return nil, loader.findings
	}
	return &loader.settings, nil
}

// place is a section and a key; origin is where it was set last.
type place struct{ section, key string }

type origin struct {
	file string
	line int
}

// loader lives for one Load.
type loader struct {
	path     string
	folder   string
	settings Settings
	places   map[place]origin
	// faulty holds keys whose value could not be used.
	faulty   map[place]bool
	members  map[string]*Member
	findings Findings
	// unreadable is set if a file could not be parsed, so that what it lacks
	// is not known.
	unreadable bool
}

func (l *loader) add(at origin, section, key, format string, arguments ...any) {
	l.findings = append(l.findings, Finding{File: at.file, Line: at.line, Section: section, Key: key, Message: fmt.Sprintf(format, arguments...)})
}

// addAt reports a fault at the place where the key was set, or at the settings
// as a whole if it was not.
func (l *loader) addAt(section, key, format string, arguments ...any) {
	at, ok := l.places[place{section, key}]
	if !ok {
		at = origin{file: l.path}
	}
	l.add(at, section, key, format, arguments...)
}

func (l *loader) files() []string {
	about, err := os.Stat(l.path)
	if err != nil {
		l.unreadable = true
		l.add(origin{file: l.path}, "", "", "can't be read: %s; name a settings file or a folder of *.ini files", reason(err))
		return nil
	}
	if !about.IsDir() {
		l.folder = filepath.Dir(l.path)
		return []string{l.path}
	}
	entries, err := os.ReadDir(l.path)
	if err != nil {
		l.unreadable = true
		l.add(origin{file: l.path}, "", "", "can't be read: %s", reason(err))
	}
	var files []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".ini") && !entry.IsDir() {
			files = append(files, filepath.Join(l.path, entry.Name()))
		}
	}
	if len(files) == 0 && err == nil {
		l.unreadable = true
		l.add(origin{file: l.path}, "", "", "the folder has no *.ini file")
	}
	if len(files) > maxFiles {
		l.unreadable = true
		l.add(origin{file: l.path}, "", "", "the folder has %d *.ini files, more than %d", len(files), maxFiles)
		return nil
	}
	return files
}

// reason returns the cause of a file error without the path, which the finding
// names already.
func reason(err error) string {
	for {
		wrapped, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err.Error()
		}
		err = wrapped.Unwrap()
	}
}

func (l *loader) read(file string) {
	about, err := os.Stat(file)
	if err == nil && about.Size() > maxFileBytes {
		l.unreadable = true
		l.add(origin{file: file}, "", "", "has %d bytes, more than %d", about.Size(), maxFileBytes)
		return
	}
	content, err := os.ReadFile(file)
	if err != nil {
		l.unreadable = true
		l.add(origin{file: file}, "", "", "can't be read: %s", reason(err))
		return
	}
	found := l.scan(file, string(content))
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
		l.add(origin{file: file}, "", "", "can't be parsed: %s", err)
		return
	}
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			where := place{section.Name(), key.Name()}
			at := origin{file, found[where]}
			l.places[where] = at
			l.apply(where, at, key.Value())
		}
	}
}

// scan finds the line of every key, which ini.v1 does not keep, and reports
// lines that are no INI.
func (l *loader) scan(file, content string) map[place]int {
	found := map[place]int{}
	section := ini.DefaultSection
	fault := func(line int, key, format string, arguments ...any) {
		l.add(origin{file, line}, strings.TrimPrefix(section, ini.DefaultSection), key, format, arguments...)
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
				fault(line, "", "a section is written [name], got %.60q", text)
				continue
			}
			section = strings.TrimSpace(name)
			if !knownSection(section) {
				fault(line, "", "unknown section%s", suggest(section, sectionNames()))
			}
		case !isKey || key == "":
			l.unreadable = true
			fault(line, "", "expected key = value, got %.60q", text)
		case strings.ContainsAny(key, "\"`") || strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
			l.unreadable = true
			fault(line, key, "quoted keys and values of several lines are not supported")
		case section == ini.DefaultSection:
			fault(line, key, "stands before the first section")
		default:
			if first, again := found[place{section, key}]; again {
				fault(line, key, "is set already in line %d", first)
			}
			found[place{section, key}] = line
		}
	}
	return found
}

// apply sets one key, or reports why it can't.
func (l *loader) apply(where place, at origin, value string) {
	rules := rulesOf(where.section)
	if rules == nil {
		return // The scan has reported the section.
	}
	for _, rule := range rules {
		if rule.key != where.key {
			continue
		}
		if err := rule.set(l, where.section, value); err != nil {
			l.add(at, where.section, where.key, "%s", err)
			l.faulty[where] = true
		}
		return
	}
	l.add(at, where.section, where.key, "unknown key%s", suggest(where.key, keyNames(rules)))
}

// member returns the member of a section [member NAME].
func (l *loader) member(section string) *Member {
	name := memberName(section)
	if l.members[name] == nil {
		l.members[name] = &Member{Name: name}
	}
	return l.members[name]
}
