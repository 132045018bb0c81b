package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Finding is one fault of a configuration with its place. Fields that don't
// apply are empty; the first line is 1.
type Finding struct {
	File    string `json:"file,omitempty" cbor:"1,keyasint,omitempty"`
	Line    int    `json:"line,omitempty" cbor:"2,keyasint,omitempty"`
	Section string `json:"section,omitempty" cbor:"3,keyasint,omitempty"`
	Key     string `json:"key,omitempty" cbor:"4,keyasint,omitempty"`
	Message string `json:"message" cbor:"5,keyasint"`
}

// Place returns file, line, section and key as one text.
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

// MaxFindings bounds the findings of one input, which can be a wrong file of
// 1 MiB with one fault a line.
const MaxFindings = 1000

// Findings are all faults of one input in the order of their places.
type Findings []Finding

// Error joins the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Place() + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}

// Workload returns the findings in the form of the callers' interface.
func (f Findings) Workload() workload.Findings {
	var findings workload.Findings
	for _, finding := range f {
		findings.Add(finding.Place(), "%s", finding.Message)
	}
	return findings
}

// add drops findings above MaxFindings and says so.
func (f *Findings) add(at source, section, key, format string, arguments ...any) {
	if len(*f) >= MaxFindings {
		if len(*f) == MaxFindings {
			*f = append(*f, Finding{File: at.file, Message: fmt.Sprintf("there are more than %d findings; the rest is not shown", MaxFindings)})
		}
		return
	}
	*f = append(*f, Finding{File: at.file, Line: at.line, Section: section, Key: key, Message: fmt.Sprintf(format, arguments...)})
}

func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
