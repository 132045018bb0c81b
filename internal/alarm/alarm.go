// Package alarm decides which conditions require an operator to act.
//
// An alarm is raised only if the automatic remedies have failed, its condition
// has held for a stated time, and an operator has to do something that the
// alarm names. The identity of an alarm consists of the condition and the
// subject only, so that it is the same on every node that observes it.
//
// The package does no input or output and doesn't read the clock. The caller
// passes the conditions that hold, with the time, at short intervals.
//
// # Usage
//
//	tracker := alarm.New()
//	for range ticker.C {
//		for _, change := range tracker.Observe(time.Now(), alarm.ActiveConditions(state)) {
//			// Record change.Transition of change.Alarm.
//		}
//	}
//	list := tracker.Alarms()
//
// # Rules
//
// If a condition is absent at one observation before RaiseAfter has passed, its
// time starts again from zero. A raised alarm is cleared when its condition has
// been absent for ClearAfter. If the condition of a cleared alarm comes back
// before it has been absent for ReopenPeriod, and then holds for RaiseAfter, the
// alarm returns: it is the same alarm, keeps the time of its first observation
// and is not raised again. From then on it is cleared only after the condition
// has been absent for ReopenPeriod, so that a flapping condition is one alarm.
package alarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReopenPeriod is how long an alarm is remembered while its condition is
	// absent.
	ReopenPeriod = time.Hour
	// MaxObservationGap is the longest time between two consecutive observations.
	// After a longer gap, for example because the process was paused, it is not
	// known whether a condition held in between, so the times of conditions
	// without a raised alarm start again from zero.
	MaxObservationGap = 10 * time.Second
	// MaxTrackedConditions is the largest number of conditions that a Tracker
	// follows; further ones are ignored.
	MaxTrackedConditions = 1024
)

// ActiveCondition is a condition that holds at an observation.
type ActiveCondition struct {
	Condition *Condition
	// Subject is what the condition is about, such as a region or a node.
	Subject string
	// Detail may differ between observations and is not part of the identity.
	Detail string
}

// Identity returns the identity of the condition's alarm, "name/subject". It is the
// same on all nodes.
func (c *ActiveCondition) Identity() string { return c.Condition.Name + "/" + c.Subject }

// Alarm is a condition that requires an operator to act.
type Alarm struct {
	Identity  string
	Condition *Condition
	Subject   string
	Detail    string
	// Since is the time of the first observation of the condition.
	Since time.Time
}

// Transition is a change of the state of an alarm.
type Transition string

// The transitions of an alarm. Returned follows Cleared within ReopenPeriod.
const (
	Raised   Transition = "raised"
	Returned Transition = "returned"
	Cleared  Transition = "cleared"
)

// Change is one transition of one alarm.
type Change struct {
	Alarm      Alarm
	Transition Transition
}

// trackedCondition is a condition that holds or held within ReopenPeriod.
type trackedCondition struct {
	alarm Alarm
	// activeSince is the time from which the condition has held without
	// interruption, inactiveSince the time from which it has been absent. Exactly
	// one of them is the zero time.
	activeSince, inactiveSince time.Time
	raised                     bool
	// everRaised is set once the alarm was raised, everReturned once it returned.
	everRaised, everReturned bool
}

// Tracker follows conditions over time. It is not safe for concurrent use.
type Tracker struct {
	conditions   map[string]*trackedCondition
	lastObserved time.Time
}

// New returns a Tracker without conditions.
func New() *Tracker { return &Tracker{conditions: map[string]*trackedCondition{}} }

// Observe records which conditions hold at the time now, and returns the changes
// of alarms, sorted by identity. A condition that is not in active counts as
// absent. Calls should be at most MaxObservationGap apart.
func (t *Tracker) Observe(now time.Time, active []ActiveCondition) []Change {
	gap := !t.lastObserved.IsZero() && now.Sub(t.lastObserved) > MaxObservationGap
	t.lastObserved = now
	seen := map[string]bool{}
	for i := range active {
		if identity := active[i].Identity(); !seen[identity] {
			seen[identity] = true
			t.markActive(now, identity, &active[i], gap)
		}
	}
	var changes []Change
	for identity, tracked := range t.conditions {
		if !seen[identity] {
			tracked.markInactive(now, gap)
		}
		if change, changed := tracked.transition(now); changed {
			changes = append(changes, change)
		}
		if !tracked.raised && !seen[identity] && (!tracked.everRaised || now.Sub(tracked.inactiveSince) >= ReopenPeriod) {
			delete(t.conditions, identity)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Alarm.Identity, b.Alarm.Identity) })
	return changes
}

func (t *Tracker) markActive(now time.Time, identity string, active *ActiveCondition, gap bool) {
	tracked := t.conditions[identity]
	if tracked == nil {
		if len(t.conditions) >= MaxTrackedConditions {
			return
		}
		tracked = &trackedCondition{alarm: Alarm{Identity: identity, Condition: active.Condition, Subject: active.Subject, Since: now}}
		t.conditions[identity] = tracked
	}
	tracked.alarm.Detail = active.Detail
	if tracked.activeSince.IsZero() || (gap && !tracked.raised) {
		tracked.activeSince = now
		if !tracked.raised && !tracked.everRaised {
			tracked.alarm.Since = now
		}
	}
	tracked.inactiveSince = time.Time{}
}

func (t *trackedCondition) markInactive(now time.Time, gap bool) {
	if t.inactiveSince.IsZero() || (gap && t.raised) {
		t.inactiveSince = now
	}
	t.activeSince = time.Time{}
}

// transition makes the transition that is due at the time now and returns it. It
// reports false if none is due.
func (t *trackedCondition) transition(now time.Time) (Change, bool) {
	condition := t.alarm.Condition
	clearAfter := condition.ClearAfter
	if t.everReturned {
		clearAfter = max(clearAfter, ReopenPeriod)
	}
	switch {
	case !t.raised && !t.activeSince.IsZero() && now.Sub(t.activeSince) >= condition.RaiseAfter:
		next := Raised
		if t.everRaised {
			next, t.everReturned = Returned, true
		}
		t.raised, t.everRaised = true, true
		return Change{t.alarm, next}, true
	case t.raised && !t.inactiveSince.IsZero() && now.Sub(t.inactiveSince) >= clearAfter:
		t.raised = false
		return Change{t.alarm, Cleared}, true
	}
	return Change{}, false
}

// Alarms returns the raised alarms, sorted by identity.
func (t *Tracker) Alarms() []Alarm {
	var alarms []Alarm
	for _, tracked := range t.conditions {
		if tracked.raised {
			alarms = append(alarms, tracked.alarm)
		}
	}
	slices.SortFunc(alarms, func(a, b Alarm) int { return cmp.Compare(a.Identity, b.Identity) })
	return alarms
}
