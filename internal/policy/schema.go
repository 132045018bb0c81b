package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Largest values. MaxCount applies to all counts and to amounts of resources in
// the units of their keys.
const (
	MaxUrgency  = 1000
	MaxWeight   = 1_000_000
	MaxCount    = 1_000_000_000
	MaxDeadline = workload.MaxDeclaredRunTime
)

// Section types and keys.
const (
	typeKind   = "kind"
	typeTeam   = "team"
	typeLimits = "limits"

	keyUrgency          = "urgency"
	keyWeight           = "weight"
	keyGuaranteedShare  = "guaranteed-share"
	keyCeiling          = "ceiling"
	keyQueueBound       = "queue-bound"
	keyDeadline         = "deadline"
	keyPreemption       = "preemption"
	keyRetryBudget      = "retry-budget"
	keyMilliCPU         = "milli-cpu"
	keyMemoryMB         = "memory-mb"
	keyAccelerators     = "accelerators"
	keyRunningTasks     = "running-tasks"
	keyGuarantee        = "guarantee"
	keyWaitingTasks     = "waiting-tasks"
	keyGangSize         = "gang-size"
	keyQuarantinedShare = "quarantined-share"
)

// noPreemption is the value of the key preemption for work that is never
// preempted. A later file can use it to restore the default.
const noPreemption = "none"

// keySchema describes one key.
type keySchema struct {
	name string
	// canonical checks a value and returns its canonical form, so that equal
	// values are equal texts in a Set.
	canonical func(value string) (string, error)
}

// sectionSchema describes one type of section.
type sectionSchema struct {
	typeName string
	// named is set if the header has a name, as in [kind NAME].
	named bool
	// keys are in canonical order.
	keys []keySchema
}

var schemas = []sectionSchema{
	{typeKind, true, []keySchema{
		{keyUrgency, integer(0, MaxUrgency)},
		{keyWeight, integer(1, MaxWeight)},
		{keyGuaranteedShare, share},
		{keyCeiling, share},
		{keyQueueBound, integer(0, MaxCount)},
		{keyDeadline, duration(MaxDeadline)},
		{keyPreemption, oneOf(noPreemption, string(placement.VerbCheckpoint), string(placement.VerbThrottle), string(placement.VerbStop))},
		{keyRetryBudget, share},
	}},
	{typeTeam, true, []keySchema{
		{keyWeight, integer(1, MaxWeight)},
		{keyMilliCPU, integer(0, MaxCount)},
		{keyMemoryMB, integer(0, MaxCount)},
		{keyAccelerators, integer(0, MaxCount)},
		{keyRunningTasks, integer(0, MaxCount)},
		{keyGuarantee, share},
	}},
	{typeLimits, false, []keySchema{
		{keyWaitingTasks, integer(1, MaxCount)},
		{keyGangSize, integer(1, workload.MaxGangSize)},
		{keyQuarantinedShare, share},
	}},
}

func schemaOf(typeName string) (sectionSchema, bool) {
	i := slices.IndexFunc(schemas, func(schema sectionSchema) bool { return schema.typeName == typeName })
	if i < 0 {
		return sectionSchema{}, false
	}
	return schemas[i], true
}

func (s sectionSchema) key(name string) (keySchema, bool) {
	i := slices.IndexFunc(s.keys, func(key keySchema) bool { return key.name == name })
	if i < 0 {
		return keySchema{}, false
	}
	return s.keys[i], true
}

func (s sectionSchema) keyNames() []string {
	names := make([]string, len(s.keys))
	for i, key := range s.keys {
		names[i] = key.name
	}
	return names
}

// The following functions are for keySchema.canonical: share is such a function;
// integer, duration and oneOf return one for the given range or values.

func integer(minimum, maximum int64) func(string) (string, error) {
	return func(value string) (string, error) {
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil || number < minimum || number > maximum {
			return "", fmt.Errorf("must be a whole number from %d to %d, got %q", minimum, maximum, value)
		}
		return strconv.FormatInt(number, 10), nil
	}
}

func share(value string) (string, error) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number <= 1) {
		return "", fmt.Errorf("must be a share from 0 to 1, got %q", value)
	}
	// Abs makes "-0" the same as "0".
	return strconv.FormatFloat(math.Abs(number), 'g', -1, 64), nil
}

func duration(maximum time.Duration) func(string) (string, error) {
	return func(value string) (string, error) {
		length, err := time.ParseDuration(value)
		if err != nil || length < 0 || length > maximum || length%time.Millisecond != 0 {
			return "", fmt.Errorf("must be a duration of whole milliseconds from 0s to %s, like 1500ms, got %q", maximum, value)
		}
		return strconv.FormatInt(length.Milliseconds(), 10) + "ms", nil
	}
}

func oneOf(values ...string) func(string) (string, error) {
	return func(value string) (string, error) {
		if !slices.Contains(values, value) {
			return "", fmt.Errorf("must be one of %s, got %q", strings.Join(values, ", "), value)
		}
		return value, nil
	}
}

// nearest returns the candidate with the smallest edit distance to the word, and
// the first of several such candidates.
func nearest(word string, candidates []string) string {
	best, bestDistance := "", math.MaxInt
	for _, candidate := range candidates {
		if distance := editDistance(word, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			substitution := previous[j]
			if a[i] != b[j] {
				substitution++
			}
			current[j+1] = min(substitution, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(b)]
}
