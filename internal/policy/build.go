package policy

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// shareTolerance allows for the rounding error of a sum of shares, such as ten
// times 0.1.
const shareTolerance = 1e-9

// maxListedShares is the largest number of shares in a finding about their sum.
const maxListedShares = 20

// build returns the set of the merged sections and checks the rules that concern
// several keys or sections. The set is valid only if there are no findings.
func build(merged map[string]section, findings *Findings) *Set {
	set := &Set{limits: limitsOf(section{})}
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		section := merged[name]
		set.sections = append(set.sections, section)
		switch section.schema.typeName {
		case typeKind:
			set.kinds = append(set.kinds, kindOf(section))
		case typeTeam:
			set.teams = append(set.teams, teamOf(section))
		case typeLimits:
			set.limits = limitsOf(section)
		}
	}
	if len(set.sections) > MaxSections {
		findings.add(position{}, "", "", "a configuration has at most %d sections, got %d", MaxSections, len(set.sections))
	}
	checkCeilings(set, findings)
	checkShareSum(set, typeKind, keyGuaranteedShare, findings)
	checkShareSum(set, typeTeam, keyGuarantee, findings)
	set.digest = digestOf(set.Text())
	return set
}

func checkCeilings(set *Set, findings *Findings) {
	for _, kind := range set.kinds {
		if kind.Ceiling >= kind.GuaranteedShare {
			continue
		}
		section, _ := set.section(typeKind + " " + kind.Name)
		findings.add(section.entries[keyCeiling].position, section.name, keyCeiling,
			"the ceiling %g is below the guaranteed share %g", kind.Ceiling, kind.GuaranteedShare)
	}
}

// checkShareSum reports a sum of shares above 1. The finding has the position of
// the entry that was merged last, because that entry was probably added last. It
// lists at most maxListedShares shares; "and more" replaces the last of them if
// there are others.
func checkShareSum(set *Set, typeName, key string, findings *Findings) {
	var sum float64
	var last section
	var listed []string
	for _, section := range set.sections {
		entry, found := section.entries[key]
		if section.schema.typeName != typeName || !found || entry.value == "0" {
			continue
		}
		sum += section.float(key, 0)
		if len(listed) < maxListedShares {
			listed = append(listed, section.label()+" "+entry.value)
		} else {
			listed[maxListedShares-1] = "and more"
		}
		if last.name == "" || entry.position.after(last.entries[key].position) {
			last = section
		}
	}
	if sum > 1+shareTolerance {
		findings.add(last.entries[key].position, last.name, key, "the sum over all sections is %g, more than 1: %s", sum, strings.Join(listed, ", "))
	}
}

func kindOf(s section) Kind {
	kind := Kind{
		Name:            s.label(),
		Urgency:         int(s.integer(keyUrgency, 0)),
		Weight:          int(s.integer(keyWeight, 1)),
		GuaranteedShare: s.float(keyGuaranteedShare, 0),
		Ceiling:         s.float(keyCeiling, 1),
		QueueBound:      int(s.integer(keyQueueBound, 0)),
		Deadline:        s.duration(keyDeadline),
		RetryBudget:     s.float(keyRetryBudget, 0.1),
	}
	if verb := s.entries[keyPreemption].value; verb != noPreemption {
		kind.Preemption = placement.Verb(verb)
	}
	return kind
}

func teamOf(s section) Team {
	return Team{
		Name:   s.label(),
		Weight: int(s.integer(keyWeight, 1)),
		Quota: workload.Resources{
			MilliCPU:     s.integer(keyMilliCPU, Unlimited),
			MemoryMB:     s.integer(keyMemoryMB, Unlimited),
			Accelerators: s.integer(keyAccelerators, Unlimited),
		},
		RunningTasks: int(s.integer(keyRunningTasks, Unlimited)),
		Guarantee:    s.float(keyGuarantee, 0),
	}
}

func limitsOf(s section) Limits {
	return Limits{
		WaitingTasks:     int(s.integer(keyWaitingTasks, 100_000)),
		GangSize:         int(s.integer(keyGangSize, workload.MaxGangSize)),
		QuarantinedShare: s.float(keyQuarantinedShare, 0.1),
	}
}

// The following methods return the default for a key that is not set. Values are
// in canonical form, so parsing a value that is set can't fail.

func (s section) integer(key string, defaultValue int64) int64 {
	if number, err := strconv.ParseInt(s.entries[key].value, 10, 64); err == nil {
		return number
	}
	return defaultValue
}

func (s section) float(key string, defaultValue float64) float64 {
	if number, err := strconv.ParseFloat(s.entries[key].value, 64); err == nil {
		return number
	}
	return defaultValue
}

func (s section) duration(key string) time.Duration {
	length, err := time.ParseDuration(s.entries[key].value)
	if err != nil {
		return 0
	}
	return length
}
