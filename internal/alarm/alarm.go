// Package alarm decides which conditions require a person.
//
// An alarm exists only when the system's own remedies are exhausted, its
// condition has held for a stated time, and a person has to do something that
// the alarm names. Its identity is made of the condition and the subject alone,
// so that it is the same on every node that sees it.
//
// The package is pure. The caller observes the conditions at short intervals.
//
// # Usage
//
//	tracker := alarm.New()
//	for range ticker.C {
//		for _, change := range tracker.Observe(time.Now(), alarm.Sightings(state)) {
//			// Record change.Step of change.Alarm.
//		}
//	}
//	list := tracker.Alarms()
//
// # Rules
//
// A condition that is gone at one observation before its hold time starts anew.
// A raised alarm is cleared once its condition has been gone for the clear time.
// An alarm that returns within Reopen of being cleared is the same alarm: it
// keeps its first time, is not raised again, and from then on is cleared only
// after Reopen, so that a condition that comes and goes is one alarm.
package alarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReopenPeriod is how long a cleared alarm is remembered.
	ReopenPeriod = time.Hour
	// MaxObservationGap is the longest time between two observations in a row. After a
	// longer one, for example a paused process, nothing is known of the time in
	// between, so that conditions that were not raised yet start anew.
	MaxObservationGap = 10 * time.Second
	// MaxTrackedConditions bounds the conditions that are followed; more are ignored.
	MaxTrackedConditions = 1024
)

// ActiveCondition is one condition that holds at an observation.
type ActiveCondition struct {
	Condition *Condition
	// Subject is what the condition is about, such as a region or a node.
	Subject string
	// Detail changes from observation to observation and is no part of the identity.
	Detail string
}

// Identity names the alarm in the whole system.
func (s *ActiveCondition) Identity() string { return s.Condition.Name + "/" + s.Subject }

// Alarm is a condition that requires a person.
type Alarm struct {
	Identity  string
	Condition *Condition
	Subject   string
	Detail    string
	// Since is the first observation of the condition.
	Since time.Time
}

// Transition is what happened to an alarm.
type Transition string

// The steps of an alarm. Returned follows Cleared within Reopen.
const (
	Raised   Transition = "raised"
	Returned Transition = "returned"
	Cleared  Transition = "cleared"
)

// Change is one step of an alarm.
type Change struct {
	Alarm      Alarm
	Transition Transition
}

// track is one condition that holds or held a short while ago.
type track struct {
	alarm Alarm
	// heldSince is the start of the present, unbroken hold; goneSince that of its
	// present absence. One of them is zero.
	heldSince, goneSince time.Time
	raised               bool
	// wasRaised is set from the first raising on, returned from the first return.
	wasRaised, returned bool
}

// Tracker follows conditions over time. It is not safe for use by several
// goroutines.
type Tracker struct {
	tracks map[string]*track
	last   time.Time
}

// New returns a tracker that has seen nothing.
func New() *Tracker { return &Tracker{tracks: map[string]*track{}} }

// Observe takes all conditions that hold now and returns the steps of
// alarms, in the order of their identities.
func (t *Tracker) Observe(now time.Time, sightings []ActiveCondition) []Change {
	gap := !t.last.IsZero() && now.Sub(t.last) > MaxObservationGap
	t.last = now
	seen := map[string]bool{}
	for i := range sightings {
		if identity := sightings[i].Identity(); !seen[identity] {
			seen[identity] = true
			t.see(now, identity, &sightings[i], gap)
		}
	}
	var changes []Change
	for identity, track := range t.tracks {
		if !seen[identity] {
			track.miss(now, gap)
		}
		if change, changed := track.judge(now); changed {
			changes = append(changes, change)
		}
		if !track.raised && !seen[identity] && (!track.wasRaised || now.Sub(track.goneSince) >= ReopenPeriod) {
			delete(t.tracks, identity)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Alarm.Identity, b.Alarm.Identity) })
	return changes
}

func (t *Tracker) see(now time.Time, identity string, sighting *ActiveCondition, gap bool) {
	found := t.tracks[identity]
	if found == nil {
		if len(t.tracks) >= MaxTrackedConditions {
			return
		}
		found = &track{alarm: Alarm{Identity: identity, Condition: sighting.Condition, Subject: sighting.Subject, Since: now}}
		t.tracks[identity] = found
	}
	found.alarm.Detail = sighting.Detail
	if found.heldSince.IsZero() || (gap && !found.raised) {
		found.heldSince = now
		if !found.raised && !found.wasRaised {
			found.alarm.Since = now
		}
	}
	found.goneSince = time.Time{}
}

func (t *track) miss(now time.Time, gap bool) {
	if t.goneSince.IsZero() || (gap && t.raised) {
		t.goneSince = now
	}
	t.heldSince = time.Time{}
}

// judge returns the step that is due, if any.
func (t *track) judge(now time.Time) (Change, bool) {
	condition := t.alarm.Condition
	clearAfter := condition.ClearAfter
	if t.returned {
		clearAfter = max(clearAfter, ReopenPeriod)
	}
	switch {
	case !t.raised && !t.heldSince.IsZero() && now.Sub(t.heldSince) >= condition.RaiseAfter:
		step := Raised
		if t.wasRaised {
			step, t.returned = Returned, true
		}
		t.raised, t.wasRaised = true, true
		return Change{t.alarm, step}, true
	case t.raised && !t.goneSince.IsZero() && now.Sub(t.goneSince) >= clearAfter:
		t.raised = false
		return Change{t.alarm, Cleared}, true
	}
	return Change{}, false
}

// Alarms returns the alarms that are raised, in the order of their identities.
func (t *Tracker) Alarms() []Alarm {
	var alarms []Alarm
	for _, track := range t.tracks {
		if track.raised {
			alarms = append(alarms, track.alarm)
		}
	}
	slices.SortFunc(alarms, func(a, b Alarm) int { return cmp.Compare(a.Identity, b.Identity) })
	return alarms
}
