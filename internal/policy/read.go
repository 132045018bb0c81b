package policy

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Limits of an input: the files of a folder, the bytes of one file, and the
// sections of a set or change.
const (
	MaxFiles     = 256
	MaxFileBytes = 1 << 20
	MaxSections  = 1024
)

// File is one INI file of the operators' folder. Name has no folder.
type File struct {
	Name string
	Text string
}

// position is a line of an input; fields that don't apply are empty.
type position struct {
	file string
	line int
}

// after reports whether the line p is merged after the other line.
func (p position) after(other position) bool {
	return p.file > other.file || p.file == other.file && p.line > other.line
}

// entry is a valid value in canonical form with the line that set it.
type entry struct {
	value    string
	position position
}

// section is a merged section. It holds valid entries only.
type section struct {
	name     string
	position position
	schema   sectionSchema
	entries  map[string]entry
}

// label returns the NAME of a section [kind NAME].
func (s section) label() string {
	return strings.TrimPrefix(s.name, s.schema.typeName+" ")
}

// text returns the canonical body, that is, the entries in the order of the
// schema.
func (s section) text() string {
	var text strings.Builder
	for _, key := range s.schema.keys {
		if entry, found := s.entries[key.name]; found {
			text.WriteString(key.name + " = " + entry.value + "\n")
		}
	}
	return text.String()
}

// Read merges the files in the order of their names. It returns a set, or nil and
// the findings of all files, sorted by file and line.
func Read(files []File) (*Set, Findings) {
	var findings Findings
	if len(files) == 0 || len(files) > MaxFiles {
		findings.add(position{}, "", "", "a configuration has 1 to %d files, got %d", MaxFiles, len(files))
		return nil, findings
	}
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	merged := map[string]section{}
	for _, file := range files {
		for _, section := range parse(file, &findings) {
			merge(merged, section)
		}
	}
	set := build(merged, &findings)
	if len(findings) > 0 {
		findings.sort()
		return nil, findings
	}
	return set, nil
}

// merge adds a section; its entries replace those of an earlier section with the
// same name.
func merge(merged map[string]section, next section) {
	earlier, found := merged[next.name]
	if !found {
		merged[next.name] = next
		return
	}
	for key, entry := range next.entries {
		earlier.entries[key] = entry
	}
}

// reader parses one file. The INI library stops at the first error and keeps no
// line numbers. Therefore the reader checks the syntax of all lines itself and
// passes only valid lines to the library. In these lines, the name of a section is
// its index in the field sections.
type reader struct {
	file     string
	findings *Findings
	sections []section
	// sectionIndex holds the index in sections by the name of the section.
	sectionIndex map[string]int
	// current is the section that the current line belongs to, or nil before the
	// first section and while skipping is set.
	current *section
	// skipping is set after an invalid header and in a section of unknown type. The
	// lines there can't be checked.
	skipping bool
	// sanitized holds the valid lines for the library.
	sanitized strings.Builder
}

// headerPattern allows a comment after the closing bracket.
var headerPattern = regexp.MustCompile(`^\[([^\]]*)\]\s*([#;].*)?$`)

var labelPattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

func parse(file File, findings *Findings) []section {
	r := &reader{file: file.Name, findings: findings, sectionIndex: map[string]int{}}
	if len(file.Text) > MaxFileBytes || !utf8.ValidString(file.Text) {
		findings.add(position{file: file.Name}, "", "", "a file is UTF-8 text of at most %d bytes", MaxFileBytes)
		return nil
	}
	for i, line := range strings.Split(strings.TrimPrefix(file.Text, "\uFEFF"), "\n") {
		r.readLine(position{file.Name, i + 1}, strings.TrimSpace(line))
	}
	r.readValues()
	return r.sections
}

func (r *reader) readLine(at position, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		r.readHeader(at, line)
	case r.skipping:
	case r.current == nil:
		r.findings.add(at, "", "", "this line stands before the first section")
	default:
		r.readEntry(at, line)
	}
}

func (r *reader) readHeader(at position, line string) {
	r.current, r.skipping = nil, true
	match := headerPattern.FindStringSubmatch(line)
	if match == nil {
		r.findings.add(at, "", "", "a section header has the form [kind NAME], [team NAME] or [limits]")
		return
	}
	name := strings.Join(strings.Fields(match[1]), " ")
	schema, message := parseSectionName(name)
	if message != "" {
		r.findings.add(at, name, "", "%s", message)
	}
	if schema.typeName == "" {
		return
	}
	// The lines of a section with an invalid name are still checked.
	i, duplicate := r.sectionIndex[name]
	if duplicate {
		r.findings.add(at, name, "", "the section is already in line %d of this file", r.sections[i].position.line)
	} else {
		i = len(r.sections)
		r.sectionIndex[name] = i
		r.sections = append(r.sections, section{name: name, position: at, schema: schema, entries: map[string]entry{}})
	}
	r.current, r.skipping = &r.sections[i], false
	r.sanitized.WriteString("[" + strconv.Itoa(i) + "]\n")
}

// parseSectionName returns the schema of a section and, if its name is invalid, a
// message. The schema is empty if the type of the section is unknown.
func parseSectionName(name string) (schema sectionSchema, message string) {
	typeName, label, hasLabel := strings.Cut(name, " ")
	schema, known := schemaOf(typeName)
	switch {
	case !known:
		return schema, "unknown type of section; did you mean " + nearest(typeName, []string{typeKind, typeTeam, typeLimits}) + "?"
	case schema.named && (!labelPattern.MatchString(label) || len(label) > workload.MaxNameLength):
		return schema, "needs a name of lower-case letters, digits and single hyphens, at most " + strconv.Itoa(workload.MaxNameLength) + " characters"
	case !schema.named && hasLabel:
		return schema, "this section has no name"
	}
	return schema, ""
}

func (r *reader) readEntry(at position, line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found || key == "" {
		r.findings.add(at, r.current.name, "", "a line has the form key = value")
		return
	}
	if _, known := r.current.schema.key(key); !known {
		const maxShownBytes = 64
		shown := key[:min(len(key), maxShownBytes)]
		r.findings.add(at, r.current.name, strings.ToValidUTF8(shown, ""), "unknown key; did you mean %s?", nearest(shown, r.current.schema.keyNames()))
		return
	}
	if earlier, duplicate := r.current.entries[key]; duplicate {
		r.findings.add(at, r.current.name, key, "the key is already in line %d of this section", earlier.position.line)
		return
	}
	// The library would read a quoted value across several lines.
	if value != "" && strings.ContainsAny(value[:1], "\"'`") {
		r.findings.add(at, r.current.name, key, "a value is not quoted")
		return
	}
	r.current.entries[key] = entry{position: at}
	r.sanitized.WriteString(key + " = " + value + "\n")
}

// readValues gets the values from the library and replaces them by their canonical
// form.
func (r *reader) readValues() {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(r.sanitized.String()))
	if err != nil {
		r.findings.add(position{file: r.file}, "", "", "not readable as INI: %v", err)
		return
	}
	for i := range r.sections {
		values := file.Section(strconv.Itoa(i))
		for _, key := range r.sections[i].schema.keys {
			if entry, present := r.sections[i].entries[key.name]; present {
				r.readValue(&r.sections[i], key, entry, values.Key(key.name).Value())
			}
		}
	}
}

// readValue checks a value; an invalid one is reported and removed from the
// section.
func (r *reader) readValue(target *section, key keySchema, entry entry, value string) {
	canonical, err := key.canonical(strings.TrimSpace(value))
	if err != nil {
		r.findings.add(entry.position, target.name, key.name, "%v", err)
		delete(target.entries, key.name)
		return
	}
	entry.value = canonical
	target.entries[key.name] = entry
}
