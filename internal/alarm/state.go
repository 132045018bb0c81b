package alarm

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxListedNames is the largest number of names in a detail.
const maxListedNames = 5

// Time limits of conditions.
const (
	// vmListStaleAfter is the age at which the VM list counts as stale; it is
	// polled every second.
	vmListStaleAfter = time.Minute
	// faultyClassRetention is how long a class counts as faulty after the last
	// time that it was found to fail on every worker. It is shorter than
	// ClassBlamed.RaiseAfter, so that one such finding alone raises no alarm.
	faultyClassRetention = 10 * time.Minute
	// unknownOutcomeRetention is how long a request with an unknown outcome is
	// reported.
	unknownOutcomeRetention = time.Hour
)

// Member is one node as the observing node knows it.
type Member struct {
	Name   string
	Region string
	Live   bool
	// Sessions is the number of workers that the node has sessions with.
	Sessions int
	// Version and Digest are those of the node's configuration.
	Version uint64
	Digest  uint64
}

// Occurrence is the key of a request or the name of a class with the time of
// its last event.
type Occurrence struct {
	Name     string
	LastSeen time.Time
}

// State is what one node knows at one point in time.
type State struct {
	Now    time.Time
	Name   string
	Region string
	// Members holds all nodes, including this one.
	Members []Member
	// Workers is, by region, the number of workers in the VM list that are not
	// leaving.
	Workers map[string]int
	LogUp   bool
	// HeldJobs is the number of durable jobs that wait for the log, including
	// those whose append has started.
	HeldJobs int
	// TeamsWithoutHome are the teams whose home this node should be, but for which
	// it holds no home lease.
	TeamsWithoutHome []string
	// Isolated is set while this node has closed its worker sessions because it
	// reaches less than half of its region's nodes.
	Isolated bool
	// Quarantined are this node's workers in quarantine; QuarantineBound is the
	// largest number of its workers that may be in quarantine.
	Quarantined     []string
	QuarantineBound int
	FaultyClasses   []Occurrence
	UnknownOutcomes []Occurrence
	VMListAge       time.Duration
	// PolicyIncomplete is set while this node lacks records of the log.
	PolicyIncomplete bool
}

// ActiveConditions returns the conditions that hold in the state.
func ActiveConditions(s State) []ActiveCondition {
	var found []ActiveCondition
	for _, check := range []func(*State) []ActiveCondition{
		checkLog, checkOwners, checkHomes, checkQuarantine, checkFaultyClasses, checkUnknownOutcomes, checkFenced, checkPolicy, checkVMList,
	} {
		found = append(found, check(&s)...)
	}
	return found
}

// singleCondition returns a slice of one active condition with a formatted detail.
func singleCondition(condition *Condition, subject, format string, arguments ...any) []ActiveCondition {
	return []ActiveCondition{{Condition: condition, Subject: subject, Detail: fmt.Sprintf(format, arguments...)}}
}

// joinNames lists the names in order, at most maxListedNames of them.
func joinNames(names []string) string {
	names = slices.Clone(names)
	slices.Sort(names)
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}

func checkLog(s *State) []ActiveCondition {
	if s.LogUp || s.HeldJobs == 0 {
		return nil
	}
	return singleCondition(LogDown, "log", "%d records of durable jobs wait at %s", s.HeldJobs, s.Name)
}

// checkOwners reports regions without a live node, and workers without an owner
// in the other regions.
func checkOwners(s *State) []ActiveCondition {
	sessions, live := map[string]int{}, map[string]bool{}
	for _, m := range s.Members {
		if m.Live {
			sessions[m.Region] += m.Sessions
			live[m.Region] = true
		}
	}
	var found []ActiveCondition
	for _, m := range s.Members {
		if !live[m.Region] {
			live[m.Region] = true // Reports each region once.
			found = append(found, singleCondition(RegionLost, m.Region, "seen by %s", s.Name)...)
			sessions[m.Region] = s.Workers[m.Region] // Its workers are not reported below.
		}
	}
	for region, workers := range s.Workers {
		if live[region] && sessions[region] < workers {
			found = append(found, singleCondition(WorkersWithoutOwner, region, "%d of %d workers have no owner", workers-sessions[region], workers)...)
		}
	}
	slices.SortFunc(found, func(a, b ActiveCondition) int { return cmp.Compare(a.Subject, b.Subject) })
	return found
}

func checkHomes(s *State) []ActiveCondition {
	if len(s.TeamsWithoutHome) == 0 {
		return nil
	}
	return singleCondition(RangeWithoutHome, s.Region, "teams %s", joinNames(s.TeamsWithoutHome))
}

func checkQuarantine(s *State) []ActiveCondition {
	if len(s.Quarantined) == 0 || len(s.Quarantined) < s.QuarantineBound {
		return nil
	}
	return singleCondition(QuarantineBound, s.Region, "workers %s", joinNames(s.Quarantined))
}

func checkFaultyClasses(s *State) []ActiveCondition {
	var found []ActiveCondition
	for _, class := range s.FaultyClasses {
		if s.Now.Sub(class.LastSeen) < faultyClassRetention {
			found = append(found, singleCondition(ClassBlamed, class.Name, "last found at %s", class.LastSeen.UTC().Format(time.RFC3339))...)
		}
	}
	return found
}

func checkUnknownOutcomes(s *State) []ActiveCondition {
	var keys []string
	for _, key := range s.UnknownOutcomes {
		if s.Now.Sub(key.LastSeen) < unknownOutcomeRetention {
			keys = append(keys, key.Name)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return singleCondition(OutcomeUnknown, s.Name, "requests %s", joinNames(keys))
}

func checkFenced(s *State) []ActiveCondition {
	if !s.Isolated {
		return nil
	}
	return singleCondition(NodeFenced, s.Name, "it holds no workers")
}

// checkPolicy reports live nodes with an older version than the newest one and
// live nodes with different configurations of one version. The subject is the
// node that is behind, so that all nodes report the same identity.
func checkPolicy(s *State) []ActiveCondition {
	var newest uint64
	digests := map[uint64]uint64{}
	differs := false
	for _, m := range s.Members {
		if !m.Live {
			continue
		}
		newest = max(newest, m.Version)
		if other, known := digests[m.Version]; known && other != m.Digest {
			differs = true
		}
		digests[m.Version] = m.Digest
	}
	var found []ActiveCondition
	if s.PolicyIncomplete {
		found = singleCondition(PolicyIncomplete, s.Name, "it has version %d", newest)
	}
	for _, m := range s.Members {
		if m.Live && m.Version < newest {
			found = append(found, singleCondition(PolicyBehind, m.Name, "it has version %d, the newest is %d", m.Version, newest)...)
		}
	}
	if differs {
		found = append(found, singleCondition(PolicyDiffers, "configuration", "seen by %s", s.Name)...)
	}
	return found
}

func checkVMList(s *State) []ActiveCondition {
	if s.VMListAge < vmListStaleAfter {
		return nil
	}
	return singleCondition(VMListStale, "vm-list", "%s has read no list for %s", s.Name, s.VMListAge.Round(time.Second))
}
