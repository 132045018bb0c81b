package load

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/settings"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// maxFileBytes bounds the size of a mix file, so that a wrong path can't exhaust
// the memory.
const maxFileBytes = 1 << 20

// Defaults of a mix.
const (
	defaultSettle   = 15 * time.Second
	defaultMaxOpen  = 6_000
	defaultAttempts = 6
)

// ReadFile reads a mix file. If its content is invalid, the error is of type
// settings.Findings. Other errors are those of opening and reading the file, and
// a file that is too long.
func ReadFile(path string) (*Mix, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxFileBytes {
		return nil, fmt.Errorf("%s has more than %d bytes", path, maxFileBytes)
	}
	return Read(path, string(content))
}

// Read reads the text of a mix; name is the file name for messages. The error is
// of type settings.Findings and lists everything that is invalid.
func Read(name, text string) (*Mix, error) {
	r := &reader{file: name, mix: &Mix{
		Name: strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)),
		Seed: 1, Settle: defaultSettle, MaxOpen: defaultMaxOpen, Attempts: defaultAttempts,
		Cell: CellSpec{Deployment: "small", Nodes: 3, Workers: 12},
	}}
	for i, line := range strings.Split(text, "\n") {
		r.line = i + 1
		r.readLine(strings.TrimSpace(line))
	}
	r.endSection()
	r.checkMix()
	if len(r.findings) > 0 {
		return nil, r.findings
	}
	return r.mix, nil
}

// reader is the state of one Read call.
type reader struct {
	file     string
	line     int
	mix      *Mix
	findings settings.Findings
	// section is the name of the current section, headerLine its line.
	section    string
	headerLine int
	// set stores a key of the current section. finish checks for missing keys and
	// adds the section to the mix. Both are nil if the section is invalid.
	set    func(key, value string) error
	finish func()
	// keyLines holds the line of each key of the current section.
	keyLines map[string]int
	// headerLines holds the line of each section header.
	headerLines map[string]int
}

func (r *reader) addFinding(line int, section, key, format string, arguments ...any) {
	r.findings = append(r.findings, settings.Finding{File: r.file, Line: line, Section: section, Key: key, Message: fmt.Sprintf(format, arguments...)})
}

func (r *reader) readLine(line string) {
	key, value, isKey := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(withoutComment(value))
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		r.endSection()
		r.beginSection(line)
	case !isKey || key == "":
		r.addFinding(r.line, r.section, "", "expected key = value, got %.60q", line)
	case r.section == "":
		r.addFinding(r.line, "", key, "is set before the first section")
	case r.set == nil:
		// The section header is invalid and was reported.
	case r.keyLines[key] > 0:
		r.addFinding(r.line, r.section, key, "is already set in line %d", r.keyLines[key])
	default:
		r.keyLines[key] = r.line
		if err := r.set(key, value); err != nil {
			r.addFinding(r.line, r.section, key, "%s", err)
		}
	}
}

// withoutComment removes a comment. A comment in a line begins with # or ; after
// a space or a tab.
func withoutComment(value string) string {
	for _, mark := range []string{" #", " ;", "\t#", "\t;"} {
		value, _, _ = strings.Cut(value, mark)
	}
	return value
}

func (r *reader) beginSection(line string) {
	name, rest, closed := strings.Cut(line[1:], "]")
	name = strings.TrimSpace(name)
	r.section, r.headerLine, r.set, r.finish, r.keyLines = name, r.line, nil, nil, map[string]int{}
	if !closed || strings.TrimSpace(withoutComment(" "+rest)) != "" {
		r.addFinding(r.line, "", "", "a section is written [name], got %.60q", line)
		return
	}
	if r.headerLines[name] > 0 {
		r.addFinding(r.line, name, "", "the section is already in line %d", r.headerLines[name])
		return
	}
	if r.headerLines == nil {
		r.headerLines = map[string]int{}
	}
	r.headerLines[name] = r.line
	r.selectSection(name)
}

// selectSection chooses the rules of a section by its name. The first word after
// the kind of the section names its arrival stream or its node.
func (r *reader) selectSection(name string) {
	kind, subject, _ := strings.Cut(name, " ")
	subject = strings.TrimSpace(subject)
	firstWord, _, _ := strings.Cut(subject, " ")
	switch {
	case name == "run":
		useRules(r, runRules, r.mix, func() {})
	case name == "cell":
		useRules(r, cellRules, r.mix, func() {})
	case kind == "arrivals" && subject != "" && firstWord == subject:
		a := &Arrivals{Name: subject, Mode: workload.ModeRequest, Process: Poisson, DeclaredFactor: 1, UseFactor: 1}
		useRules(r, arrivalsRules, a, func() { r.mix.Arrivals = append(r.mix.Arrivals, *a) })
	case kind == "flood" && subject != "":
		f := &Flood{Arrivals: firstWord}
		useRules(r, floodRules, f, func() { r.mix.Floods = append(r.mix.Floods, *f) })
	case kind == "cancellation" && subject != "":
		c := &Cancellation{Arrivals: firstWord}
		useRules(r, cancellationRules, c, func() { r.mix.Cancellations = append(r.mix.Cancellations, *c) })
	case kind == "window" && subject != "":
		w := &Window{Name: subject}
		useRules(r, windowRules, w, func() { r.mix.Windows = append(r.mix.Windows, *w) })
	case (kind == "kill" || kind == "drain") && subject != "":
		s := &NodeStop{Node: firstWord, Drain: kind == "drain"}
		useRules(r, nodeStopRules, s, func() { r.mix.NodeStops = append(r.mix.NodeStops, *s) })
	default:
		r.addFinding(r.line, name, "", "unknown section: use run, cell, arrivals NAME, flood NAME, cancellation NAME, window NAME, kill NODE or drain NODE")
	}
}

// useRules makes the reader store the keys of the current section by the given
// rules. finish runs after the section's last key.
func useRules[T any](r *reader, rules []rule[T], into *T, finish func()) {
	var names []string
	for _, rule := range rules {
		names = append(names, rule.key)
	}
	r.set = func(key, value string) error {
		for _, rule := range rules {
			if rule.key == key {
				return rule.set(into, value)
			}
		}
		return fmt.Errorf("unknown key: use one of %s", strings.Join(names, ", "))
	}
	section, headerLine, keyLines := r.section, r.headerLine, r.keyLines
	r.finish = func() {
		for _, rule := range rules {
			if rule.required && keyLines[rule.key] == 0 {
				r.addFinding(headerLine, section, rule.key, "is missing")
			}
		}
		finish()
	}
}

func (r *reader) endSection() {
	if r.finish != nil {
		r.finish()
	}
	r.finish = nil
}

// checkMix checks the rules that concern several keys or sections.
func (r *reader) checkMix() {
	m := r.mix
	if len(m.Arrivals) == 0 {
		r.addFinding(0, "", "", "has no section [arrivals NAME], so nothing would be sent")
	}
	if m.WarmUp >= m.Duration && m.Duration > 0 {
		r.addFinding(r.headerLines["run"], "run", "warm-up", "must be shorter than the duration of %s, got %s", m.Duration, m.WarmUp)
	}
	for i := range m.Arrivals {
		r.checkArrivals(&m.Arrivals[i])
	}
	for _, flood := range m.Floods {
		r.checkTimes("flood "+flood.Arrivals, flood.Arrivals, flood.From, flood.Until)
	}
	for _, cancellation := range m.Cancellations {
		r.checkTimes("cancellation "+cancellation.Arrivals, cancellation.Arrivals, cancellation.At, m.Duration)
	}
	for _, window := range m.Windows {
		r.checkTimes("window "+window.Name, "", window.From, window.Until)
	}
	for _, stop := range m.NodeStops {
		section := "kill " + stop.Node
		if stop.Drain {
			section = "drain " + stop.Node
		}
		r.checkTimes(section, "", stop.At, m.Duration)
	}
	if count := m.expectedRequests(); len(r.findings) == 0 && count > MaxArrivals {
		r.addFinding(r.headerLines["run"], "run", "duration", "the mix sends %.0f requests, more than %d: lower rates, factors or the duration", count, MaxArrivals)
	}
}

func (r *reader) checkArrivals(a *Arrivals) {
	section := "arrivals " + a.Name
	if a.Until == 0 || a.Until > r.mix.Duration {
		a.Until = r.mix.Duration
	}
	if a.From >= a.Until && a.Until > 0 {
		r.addFinding(r.headerLines[section], section, "from", "must be before until or the end of the run, %s, got %s", a.Until, a.From)
	}
	if a.Resources == (workload.Resources{}) {
		r.addFinding(r.headerLines[section], section, "", "must ask for some milli-cpu, memory-mb or accelerators")
	}
}

// checkTimes checks that the arrival stream of a section exists, if it names one,
// and that its times are in order and within the run.
func (r *reader) checkTimes(section, stream string, from, until time.Duration) {
	line := r.headerLines[section]
	if stream != "" && r.mix.findArrivals(stream) == nil {
		r.addFinding(line, section, "", "there is no section [arrivals %s]", stream)
	}
	if from >= until || until > r.mix.Duration {
		r.addFinding(line, section, "", "its times must be in order and within the run of %s, got %s to %s", r.mix.Duration, from, until)
	}
}

// expectedRequests returns the mean number of requests of a run, rounded up.
func (m *Mix) expectedRequests() float64 {
	total := 0.0
	for i := range m.Arrivals {
		a := &m.Arrivals[i]
		for at := a.From; at < a.Until; {
			perSecond, until := m.rate(a, at)
			total += perSecond * (until - at).Seconds()
			at = until
		}
	}
	return math.Ceil(total)
}
