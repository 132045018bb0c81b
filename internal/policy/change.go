package policy

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of a change.
const (
	// MaxTextBytes bounds the text of a section, MaxChangeBytes that of all.
	MaxTextBytes     = 4 << 10
	MaxChangeBytes   = 64 << 10
	MaxIdentityBytes = 64
	MaxReasonBytes   = 256
)

// SectionChange sets or removes one section as a whole.
type SectionChange struct {
	// Name is the section's header without brackets, like "kind balance-check".
	Name string `json:"name" cbor:"1,keyasint"`
	// Text is the new body without the header. Keys that it does not name take
	// their defaults.
	Text   string `json:"text,omitempty" cbor:"2,keyasint,omitempty"`
	Remove bool   `json:"remove,omitempty" cbor:"3,keyasint,omitempty"`
}

// Change is the body of a policy-change record. It is accepted or rejected as
// a whole.
type Change struct {
	// Identity is random and names the change for its whole life.
	Identity string `json:"identity" cbor:"1,keyasint"`
	// Base is the number of the version that the change was made against.
	Base      int64           `json:"base" cbor:"2,keyasint"`
	Sections  []SectionChange `json:"sections" cbor:"3,keyasint"`
	Author    string          `json:"who" cbor:"4,keyasint"`
	Reason    string          `json:"why" cbor:"5,keyasint"`
	CreatedAt time.Time       `json:"when" cbor:"6,keyasint"`
}

// Diff returns a change that turns the effective set, whose version number is
// base, into the folder's. It has no sections if the sets are equal. The
// caller adds Identity, Who, Why and When.
func Diff(folder, effective *Set, base int64) Change {
	change := Change{Base: base}
	for _, section := range folder.sections {
		if old, found := effective.section(section.name); !found || old.text() != section.text() {
			change.Sections = append(change.Sections, SectionChange{Name: section.name, Text: section.text()})
		}
	}
	for _, section := range effective.sections {
		if _, found := folder.section(section.name); !found {
			change.Sections = append(change.Sections, SectionChange{Name: section.name, Remove: true})
		}
	}
	return change
}

// With returns the set with the change applied, or all findings. It does not
// look at versions. Findings name the change as their file and lines of the
// section's text.
func (s *Set) With(change Change) (*Set, Findings) {
	findings := change.check()
	merged := map[string]section{}
	for _, section := range s.sections {
		merged[section.name] = section.withoutSources()
	}
	touched := map[string]bool{}
	for _, sectionChange := range change.Sections {
		if touched[sectionChange.Name] {
			findings.add(change.source(), sectionChange.Name, "", "the change names the section twice")
		}
		touched[sectionChange.Name] = true
		change.applySection(merged, sectionChange, &findings)
	}
	set := build(merged, &findings)
	if len(findings) > 0 {
		return nil, findings
	}
	return set, nil
}

// withoutSources drops the places of an earlier input, which would mislead in
// findings about a later one.
func (s section) withoutSources() section {
	bare := map[string]entry{}
	for key, old := range s.entries {
		bare[key] = entry{value: old.value}
	}
	s.source, s.entries = source{}, bare
	return s
}

func (c *Change) source() source { return source{file: "change"} }

func (c *Change) check() Findings {
	var findings Findings
	for _, field := range []struct {
		name, value string
		longest     int
	}{
		{"identity", c.Identity, MaxIdentityBytes},
		{"who", c.Author, MaxReasonBytes},
		{"why", c.Reason, MaxReasonBytes},
	} {
		if field.value == "" || len(field.value) > field.longest {
			findings.add(c.source(), "", field.name, "must have 1 to %d bytes, got %d", field.longest, len(field.value))
		}
	}
	if len(c.Sections) == 0 || len(c.Sections) > MaxSections {
		findings.add(c.source(), "", "sections", "must have 1 to %d sections, got %d", MaxSections, len(c.Sections))
	}
	if size := c.size(); size > MaxChangeBytes {
		findings.add(c.source(), "", "sections", "must have at most %d bytes together, got %d", MaxChangeBytes, size)
	}
	return findings
}

func (c *Change) size() int {
	size := 0
	for _, section := range c.Sections {
		size += len(section.Name) + len(section.Text)
	}
	return size
}

func (c *Change) applySection(merged map[string]section, change SectionChange, findings *Findings) {
	_, exists := merged[change.Name]
	switch {
	case change.Remove && change.Text != "":
		findings.add(c.source(), change.Name, "", "a removed section has no text")
	case change.Remove && !exists:
		findings.add(c.source(), change.Name, "", "there is no such section to remove")
	case change.Remove:
		delete(merged, change.Name)
	case len(change.Text) > MaxTextBytes:
		findings.add(c.source(), change.Name, "", "a section's text has at most %d bytes, got %d", MaxTextBytes, len(change.Text))
	default:
		section, sectionFindings := parseSection(c.source().file, change)
		*findings = append(*findings, sectionFindings...)
		merged[change.Name] = section
	}
}

// parseSection reads the text behind a header of its own and counts lines from
// the text's first one.
func parseSection(file string, change SectionChange) (section, Findings) {
	var findings Findings
	schema, message := sectionNamed(change.Name)
	if message != "" {
		findings.add(source{file: file}, change.Name, "", "%s", message)
		return section{name: change.Name, schema: schema}, findings
	}
	sections := parse(File{Name: file, Text: fmt.Sprintf("[%s]\n%s", change.Name, change.Text)}, &findings)
	if len(sections) != 1 {
		findings.add(source{file: file}, change.Name, "", "the text of a section has no header")
		return section{name: change.Name, schema: schema}, findings
	}
	for i := range findings {
		findings[i].Line = max(0, findings[i].Line-1)
	}
	for key, entry := range sections[0].entries {
		entry.source.line--
		sections[0].entries[key] = entry
	}
	return sections[0], findings
}

// names returns the names of the touched sections in order.
func (c *Change) names() []string {
	names := make([]string, len(c.Sections))
	for i, section := range c.Sections {
		names[i] = section.Name
	}
	slices.Sort(names)
	return names
}
