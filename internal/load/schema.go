package load

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// rule describes one key of a section: whether it is required, and how its value
// is checked and stored.
type rule[T any] struct {
	key      string
	required bool
	set      func(into *T, value string) error
}

var runRules = []rule[Mix]{
	{"seed", false, setInteger(0, 1<<62, func(m *Mix, v int64) { m.Seed = uint64(v) })},
	{"duration", true, setDuration(func(m *Mix) *time.Duration { return &m.Duration })},
	{"warm-up", false, setDuration(func(m *Mix) *time.Duration { return &m.WarmUp })},
	{"settle", false, setDuration(func(m *Mix) *time.Duration { return &m.Settle })},
	{"open", false, setInteger(1, 100_000, func(m *Mix, v int64) { m.MaxOpen = int(v) })},
	{"attempts", false, setInteger(1, 100, func(m *Mix, v int64) { m.Attempts = int(v) })},
}

var cellRules = []rule[Mix]{
	{"deployment", false, setName(func(m *Mix) *string { return &m.Cell.Deployment }, "small", "ravi-levy", "guild")},
	{"nodes", false, setInteger(1, 9, func(m *Mix, v int64) { m.Cell.Nodes = int(v) })},
	{"workers", false, setInteger(1, 1000, func(m *Mix, v int64) { m.Cell.Workers = int(v) })},
}

var arrivalsRules = []rule[Arrivals]{
	{"team", true, setName(func(a *Arrivals) *string { return &a.Team })},
	{"kind", true, setName(func(a *Arrivals) *string { return &a.Kind })},
	{"class", false, setName(func(a *Arrivals) *string { return &a.Class })},
	{"mode", false, setName(func(a *Arrivals) *workload.Mode { return &a.Mode }, workload.ModeRequest, workload.ModeJob, workload.ModeService)},
	{"region", false, setName(func(a *Arrivals) *string { return &a.Region })},
	{"process", false, setName(func(a *Arrivals) *Process { return &a.Process }, Poisson, Fixed)},
	{"rate", true, setNumber(0.001, 100_000, func(a *Arrivals) *float64 { return &a.Rate })},
	{"from", false, setDuration(func(a *Arrivals) *time.Duration { return &a.From })},
	{"until", false, setDuration(func(a *Arrivals) *time.Duration { return &a.Until })},
	{"milli-cpu", false, setInteger(0, workload.MaxMilliCPU, func(a *Arrivals, v int64) { a.Resources.MilliCPU = v })},
	{"memory-mb", false, setInteger(0, workload.MaxMemoryMB, func(a *Arrivals, v int64) { a.Resources.MemoryMB = v })},
	{"accelerators", false, setInteger(0, workload.MaxAccelerators, func(a *Arrivals, v int64) { a.Resources.Accelerators = v })},
	{"gang-size", false, setInteger(0, workload.MaxGangSize, func(a *Arrivals, v int64) { a.GangSize = int(v) })},
	{"run-time", false, setDuration(func(a *Arrivals) *time.Duration { return &a.RunTime })},
	{"run-time-spread", false, setNumber(0, 1, func(a *Arrivals) *float64 { return &a.RunTimeSpread })},
	{"declared-factor", false, setNumber(0, 1000, func(a *Arrivals) *float64 { return &a.DeclaredFactor })},
	{"use-factor", false, setNumber(0.001, 1000, func(a *Arrivals) *float64 { return &a.UseFactor })},
	{"failing", false, setNumber(0, 1, func(a *Arrivals) *float64 { return &a.FailureShare })},
	{"non-idempotent", false, setBoolean(func(a *Arrivals) *bool { return &a.NonIdempotent })},
	{"start-within", false, setDuration(func(a *Arrivals) *time.Duration { return &a.StartWithin })},
	{"hold-in-outage", false, setBoolean(func(a *Arrivals) *bool { return &a.HoldInOutage })},
	{"payload-bytes", false, setInteger(0, workload.MaxPayloadBytes, func(a *Arrivals, v int64) { a.PayloadBytes = int(v) })},
}

var floodRules = []rule[Flood]{
	{"from", true, setDuration(func(f *Flood) *time.Duration { return &f.From })},
	{"until", true, setDuration(func(f *Flood) *time.Duration { return &f.Until })},
	{"factor", true, setNumber(1, 10_000, func(f *Flood) *float64 { return &f.Factor })},
}

var cancellationRules = []rule[Cancellation]{
	{"at", true, setDuration(func(c *Cancellation) *time.Duration { return &c.At })},
	{"share", true, setNumber(0, 1, func(c *Cancellation) *float64 { return &c.Share })},
}

var windowRules = []rule[Window]{
	{"from", true, setDuration(func(w *Window) *time.Duration { return &w.From })},
	{"until", true, setDuration(func(w *Window) *time.Duration { return &w.Until })},
}

var nodeStopRules = []rule[NodeStop]{
	{"at", true, setDuration(func(s *NodeStop) *time.Duration { return &s.At })},
	{"replace-after", false, setDuration(func(s *NodeStop) *time.Duration { return &s.ReplaceAfter })},
}

// setInteger returns a function that parses a whole number within a range and
// passes it to set.
func setInteger[T any](minimum, maximum int64, set func(*T, int64)) func(*T, string) error {
	return func(into *T, value string) error {
		parsed, err := strconv.ParseInt(value, 10, 64)
		if err != nil || parsed < minimum || parsed > maximum {
			return fmt.Errorf("must be a whole number from %d to %d, got %q", minimum, maximum, value)
		}
		set(into, parsed)
		return nil
	}
}

// setNumber returns a function that stores a number within a range in a field.
func setNumber[T any](minimum, maximum float64, field func(*T) *float64) func(*T, string) error {
	return func(into *T, value string) error {
		parsed, err := strconv.ParseFloat(value, 64)
		// NaN fails every comparison, so the negated condition rejects it too.
		if err != nil || !(parsed >= minimum && parsed <= maximum) {
			return fmt.Errorf("must be a number from %g to %g, got %q", minimum, maximum, value)
		}
		*field(into) = parsed
		return nil
	}
}

// setDuration returns a function that stores a duration of at most 24 hours in a
// field.
func setDuration[T any](field func(*T) *time.Duration) func(*T, string) error {
	return func(into *T, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < 0 || parsed > 24*time.Hour {
			return fmt.Errorf("must be a duration from 0s to 24h such as 250ms or 3s, got %q", value)
		}
		*field(into) = parsed
		return nil
	}
}

// setBoolean returns a function that stores true or false in a field.
func setBoolean[T any](field func(*T) *bool) func(*T, string) error {
	return func(into *T, value string) error {
		if value != "true" && value != "false" {
			return fmt.Errorf("must be true or false, got %q", value)
		}
		*field(into) = value == "true"
		return nil
	}
}

// setName returns a function that stores a name in a field. allowed lists the
// accepted names; without it every name of a valid length is accepted.
func setName[T any, S ~string](field func(*T) *S, allowed ...S) func(*T, string) error {
	return func(into *T, value string) error {
		if len(allowed) > 0 && !slices.Contains(allowed, S(value)) {
			names := make([]string, len(allowed))
			for i, name := range allowed {
				names[i] = string(name)
			}
			return fmt.Errorf("must be one of %s, got %q", strings.Join(names, ", "), value)
		}
		if value == "" || len(value) > workload.MaxNameLength {
			return fmt.Errorf("must have 1 to %d characters, got %d", workload.MaxNameLength, len(value))
		}
		*field(into) = S(value)
		return nil
	}
}
