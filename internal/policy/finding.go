package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Finding is one fault of a configuration with its position. Fields that don't
// apply are empty. Lines are counted from 1.
type Finding struct {
	File    string `json:"file,omitempty" cbor:"1,keyasint,omitempty"`
	Line    int    `json:"line,omitempty" cbor:"2,keyasint,omitempty"`
	Section string `json:"section,omitempty" cbor:"3,keyasint,omitempty"`
	Key     string `json:"key,omitempty" cbor:"4,keyasint,omitempty"`
	Message string `json:"message" cbor:"5,keyasint"`
}

// Place returns the position as "file:line [section] key".
func (f Finding) Place() string {
	var parts []string
	switch {
	case f.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", f.File, f.Line))
	case f.File != "":
		parts = append(parts, f.File)
	}
	if f.Section != "" {
		parts = append(parts, "["+f.Section+"]")
	}
	if f.Key != "" {
		parts = append(parts, f.Key)
	}
	return strings.Join(parts, " ")
}

// MaxFindings limits the findings of one input, because a wrong file of 1 MiB can
// have a fault on each line.
const MaxFindings = 1000

// Findings are all faults of one input.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Place() + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}

// Workload returns the findings in the form that callers receive.
func (f Findings) Workload() workload.Findings {
	var findings workload.Findings
	for _, finding := range f {
		findings.Add(finding.Place(), "%s", finding.Message)
	}
	return findings
}

// add appends a finding. The finding after MaxFindings says that the rest is not
// shown; further ones are dropped.
func (f *Findings) add(at position, section, key, format string, arguments ...any) {
	if len(*f) >= MaxFindings {
		if len(*f) == MaxFindings {
			*f = append(*f, Finding{File: at.file, Message: fmt.Sprintf("there are more than %d findings; the rest is not shown", MaxFindings)})
		}
		return
	}
	*f = append(*f, Finding{File: at.file, Line: at.line, Section: section, Key: key, Message: fmt.Sprintf(format, arguments...)})
}

// sort orders the findings by file and line.
func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
