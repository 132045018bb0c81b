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

// Bounds of an input.
const (
	MaxFiles     = 256
	MaxFileBytes = 1 << 20
	MaxSections  = 1024
)

// File is one INI file of the operators' folder.
type File struct {
	Name string
	Text string
}

type source struct {
	file string
	line int
}

// after reports whether the place is merged later than the other one.
func (s source) after(other source) bool {
	return s.file > other.file || s.file == other.file && s.line > other.line
}

// entry is a valid value in its canonical form, with the line that set it.
type entry struct {
	value  string
	source source
}

// section is a merged section with valid entries only.
type section struct {
	name    string
	source  source
	schema  sectionSchema
	entries map[string]entry
}

// label is the NAME of a section [kind NAME].
func (s section) label() string {
	return strings.TrimPrefix(s.name, s.schema.typeName+" ")
}

// text returns the canonical body: the entries in the order of the schema.
func (s section) text() string {
	var text strings.Builder
	for _, key := range s.schema.keys {
		if entry, found := s.entries[key.name]; found {
			text.WriteString(key.name + " = " + entry.value + "\n")
		}
	}
	return text.String()
}

// Read merges the files in the order of their names. It returns either a set
// or all findings of all files.
func Read(files []File) (*Set, Findings) {
	var findings Findings
	if len(files) == 0 || len(files) > MaxFiles {
		findings.add(source{}, "", "", "a configuration has 1 to %d files, got %d", MaxFiles, len(files))
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

// reader finds the lines of one file. The INI library stops at its first error
// and keeps no line numbers, so the reader checks the form of all lines itself
// and hands only valid ones to the library, under headers that are the numbers
// of the sections in found.
type reader struct {
	file     string
	findings *Findings
	found    []section
	// places finds a section in found by its name.
	places map[string]int
	// current is the section of the line being read; nil outside of a valid one.
	current *section
	// skipping is set in a section of unknown type, whose lines can't be checked.
	skipping bool
	clean    strings.Builder
}

// header allows a comment behind the closing bracket.
var header = regexp.MustCompile(`^\[([^\]]*)\]\s*([#;].*)?$`)

var labelForm = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

func parse(file File, findings *Findings) []section {
	r := &reader{file: file.Name, findings: findings, places: map[string]int{}}
	if len(file.Text) > MaxFileBytes || !utf8.ValidString(file.Text) {
		findings.add(source{file: file.Name}, "", "", "a file is UTF-8 text of at most %d bytes", MaxFileBytes)
		return nil
	}
	for i, line := range strings.Split(strings.TrimPrefix(file.Text, "\uFEFF"), "\n") {
		r.readLine(source{file.Name, i + 1}, strings.TrimSpace(line))
	}
	r.readValues()
	return r.found
}

func (r *reader) readLine(at source, line string) {
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

func (r *reader) readHeader(at source, line string) {
	r.current, r.skipping = nil, true
	match := header.FindStringSubmatch(line)
	if match == nil {
		r.findings.add(at, "", "", "a section header has the form [kind NAME], [team NAME] or [limits]")
		return
	}
	name := strings.Join(strings.Fields(match[1]), " ")
	schema, message := sectionNamed(name)
	if message != "" {
		r.findings.add(at, name, "", "%s", message)
	}
	if schema.typeName == "" {
		return
	}
	// The lines of a section with a faulty name are still checked.
	i, duplicate := r.places[name]
	if duplicate {
		r.findings.add(at, name, "", "the section is already in line %d of this file", r.found[i].source.line)
	} else {
		i = len(r.found)
		r.places[name] = i
		r.found = append(r.found, section{name: name, source: at, schema: schema, entries: map[string]entry{}})
	}
	r.current, r.skipping = &r.found[i], false
	r.clean.WriteString("[" + strconv.Itoa(i) + "]\n")
}

func sectionNamed(name string) (schema sectionSchema, message string) {
	typeName, label, hasLabel := strings.Cut(name, " ")
	schema, known := schemaOf(typeName)
	switch {
	case !known:
		return schema, "unknown type of section; did you mean " + nearest(typeName, []string{typeKind, typeTeam, typeLimits}) + "?"
	case schema.named && (!labelForm.MatchString(label) || len(label) > workload.MaxNameLength):
		return schema, "needs a name of lower-case letters, digits and single hyphens, at most " + strconv.Itoa(workload.MaxNameLength) + " characters"
	case !schema.named && hasLabel:
		return schema, "this section has no name"
	}
	return schema, ""
}

func (r *reader) readEntry(at source, line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found || key == "" {
		r.findings.add(at, r.current.name, "", "a line has the form key = value")
		return
	}
	if _, known := r.current.schema.key(key); !known {
		const longestShown = 64
		shown := key[:min(len(key), longestShown)]
		r.findings.add(at, r.current.name, strings.ToValidUTF8(shown, ""), "unknown key; did you mean %s?", nearest(shown, r.current.schema.keyNames()))
		return
	}
	if earlier, duplicate := r.current.entries[key]; duplicate {
		r.findings.add(at, r.current.name, key, "the key is already in line %d of this section", earlier.source.line)
		return
	}
	// The library reads quoted values over several lines.
	if value != "" && strings.ContainsAny(value[:1], "\"'`") {
		r.findings.add(at, r.current.name, key, "a value is not quoted")
		return
	}
	r.current.entries[key] = entry{source: at}
	r.clean.WriteString(key + " = " + value + "\n")
}

// readValues takes the values from the library and brings them into their
// canonical form.
func (r *reader) readValues() {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(r.clean.String()))
	if err != nil {
		r.findings.add(source{file: r.file}, "", "", "not readable as INI: %v", err)
		return
	}
	for i := range r.found {
		values := file.Section(strconv.Itoa(i))
		for _, key := range r.found[i].schema.keys {
			if entry, present := r.found[i].entries[key.name]; present {
				r.readValue(&r.found[i], key, entry, values.Key(key.name).Value())
			}
		}
	}
}

func (r *reader) readValue(in *section, key keySchema, entry entry, value string) {
	canonical, err := key.canonical(strings.TrimSpace(value))
	if err != nil {
		r.findings.add(entry.source, in.name, key.name, "%v", err)
		delete(in.entries, key.name)
		return
	}
	entry.value = canonical
	in.entries[key.name] = entry
}
