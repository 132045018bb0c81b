package policy

import (
	"fmt"
	"slices"
	"time"
)

// Limits of a change, in bytes.
const (
	// MaxTextBytes limits the text of one section.
	MaxTextBytes = 4 << 10
	// MaxChangeBytes limits the names and texts of all sections together.
	MaxChangeBytes   = 64 << 10
	MaxIdentityBytes = 64
	// MaxReasonBytes limits the author and the reason, each.
	MaxReasonBytes = 256
)

// SectionChange replaces or removes one section.
type SectionChange struct {
	// Name is the section's header without brackets, like "kind balance-check".
	Name string `json:"name" cbor:"1,keyasint"`
	// Text is the new body without the header. Keys that are not in it take their
	// defaults.
	Text   string `json:"text,omitempty" cbor:"2,keyasint,omitempty"`
	Remove bool   `json:"remove,omitempty" cbor:"3,keyasint,omitempty"`
}

// Change is the body of a policy-change record in the log. It is accepted or
// rejected as a whole.
type Change struct {
	// Identity is random and unique. Copies of one change have the same identity.
	Identity string `json:"identity" cbor:"1,keyasint"`
	// Base is the number of the version that the change is based on.
	Base      int64           `json:"base" cbor:"2,keyasint"`
	Sections  []SectionChange `json:"sections" cbor:"3,keyasint"`
	Author    string          `json:"who" cbor:"4,keyasint"`
	Reason    string          `json:"why" cbor:"5,keyasint"`
	CreatedAt time.Time       `json:"when" cbor:"6,keyasint"`
}

// Diff returns the change that turns the effective set, whose version number is
// base, into the set of the folder. The change has no sections if the sets are
// equal. The caller fills in Identity, Author, Reason and CreatedAt.
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

// With returns the set with the change applied, or nil and all findings. It
// doesn't check the base version. The file of a finding is "change", and its line
// is counted from the first line of the section's text.
func (s *Set) With(change Change) (*Set, Findings) {
	findings := change.check()
	merged := map[string]section{}
	for _, section := range s.sections {
		merged[section.name] = section.withoutPositions()
	}
	named := map[string]bool{}
	for _, sectionChange := range change.Sections {
		if named[sectionChange.Name] {
			findings.add(change.position(), sectionChange.Name, "", "the change names the section twice")
		}
		named[sectionChange.Name] = true
		change.applySection(merged, sectionChange, &findings)
	}
	set := build(merged, &findings)
	if len(findings) > 0 {
		return nil, findings
	}
	return set, nil
}

// withoutPositions returns the section without positions, because they belong to
// an earlier input and would be wrong in findings about a later one.
func (s section) withoutPositions() section {
	stripped := map[string]entry{}
	for key, old := range s.entries {
		stripped[key] = entry{value: old.value}
	}
	s.position, s.entries = position{}, stripped
	return s
}

func (c *Change) position() position { return position{file: "change"} }

// check checks everything except the names and texts of the sections.
func (c *Change) check() Findings {
	var findings Findings
	for _, field := range []struct {
		name, value string
		maximum     int
	}{
		{"identity", c.Identity, MaxIdentityBytes},
		{"who", c.Author, MaxReasonBytes},
		{"why", c.Reason, MaxReasonBytes},
	} {
		if field.value == "" || len(field.value) > field.maximum {
			findings.add(c.position(), "", field.name, "must have 1 to %d bytes, got %d", field.maximum, len(field.value))
		}
	}
	if len(c.Sections) == 0 || len(c.Sections) > MaxSections {
		findings.add(c.position(), "", "sections", "must have 1 to %d sections, got %d", MaxSections, len(c.Sections))
	}
	if size := c.size(); size > MaxChangeBytes {
		findings.add(c.position(), "", "sections", "must have at most %d bytes together, got %d", MaxChangeBytes, size)
	}
	return findings
}

// size returns the bytes of the names and texts of all sections.
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
		findings.add(c.position(), change.Name, "", "a removed section has no text")
	case change.Remove && !exists:
		findings.add(c.position(), change.Name, "", "there is no such section to remove")
	case change.Remove:
		delete(merged, change.Name)
	case len(change.Text) > MaxTextBytes:
		findings.add(c.position(), change.Name, "", "a section's text has at most %d bytes, got %d", MaxTextBytes, len(change.Text))
	default:
		section, sectionFindings := parseSection(c.position().file, change)
		*findings = append(*findings, sectionFindings...)
		merged[change.Name] = section
	}
}

// parseSection parses the text of one section under a header that it adds. Line 1
// of findings is the first line of the text.
func parseSection(file string, change SectionChange) (section, Findings) {
	var findings Findings
	schema, message := parseSectionName(change.Name)
	if message != "" {
		findings.add(position{file: file}, change.Name, "", "%s", message)
		return section{name: change.Name, schema: schema}, findings
	}
	sections := parse(File{Name: file, Text: fmt.Sprintf("[%s]\n%s", change.Name, change.Text)}, &findings)
	if len(sections) != 1 {
		findings.add(position{file: file}, change.Name, "", "the text of a section has no header")
		return section{name: change.Name, schema: schema}, findings
	}
	for i := range findings {
		findings[i].Line = max(0, findings[i].Line-1)
	}
	for key, entry := range sections[0].entries {
		entry.position.line--
		sections[0].entries[key] = entry
	}
	return sections[0], findings
}

// names returns the sorted names of the sections.
func (c *Change) names() []string {
	names := make([]string, len(c.Sections))
	for i, section := range c.Sections {
		names[i] = section.Name
	}
	slices.Sort(names)
	return names
}
