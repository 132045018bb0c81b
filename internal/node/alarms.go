package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/alarm"
	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/operator"
)

const (
	// alarmInterval is how often the alarm conditions are evaluated. It is well
	// below the shortest time that a condition must hold to raise an alarm, 10 s.
	alarmInterval = time.Second
	// maxOccurrences bounds each of two lists, the faulty classes and the requests
	// with an unknown outcome; the oldest entries are dropped first.
	maxOccurrences = 256
)

// eventByTransition gives the event that is logged for each transition of an alarm.
var eventByTransition = map[alarm.Transition]event.Definition{
	alarm.Raised: event.AlarmRaised, alarm.Returned: event.AlarmReturned, alarm.Cleared: event.AlarmCleared,
}

// eventState holds the alarm inputs that only the events of the control thread
// provide: quarantined workers, faulty classes (job classes that fail on every
// worker) and requests with an unknown outcome.
type eventState struct {
	mu              sync.Mutex
	quarantined     map[string]bool
	faultyClasses   []alarm.Occurrence
	unknownOutcomes []alarm.Occurrence
}

func newEventState() *eventState { return &eventState{quarantined: map[string]bool{}} }

// apply updates the state with an event of the control thread.
func (s *eventState) apply(out *control.RecordEvent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch out.Event {
	case control.EventWorkerQuarantined:
		s.quarantined[out.Subject] = true
	case control.EventWorkerReleased, control.EventSessionLost:
		delete(s.quarantined, out.Subject)
	case control.EventClassBlamed:
		s.faultyClasses = appendOccurrence(s.faultyClasses, out.Subject, now)
	case control.EventOutcomeUnknown:
		s.unknownOutcomes = appendOccurrence(s.unknownOutcomes, out.Subject, now)
	}
}

// appendOccurrence appends the name with its time to the list, removes an earlier
// entry of the same name, and drops the oldest entries beyond maxOccurrences.
func appendOccurrence(list []alarm.Occurrence, name string, now time.Time) []alarm.Occurrence {
	list = slices.DeleteFunc(list, func(n alarm.Occurrence) bool { return n.Name == name })
	list = append(list, alarm.Occurrence{Name: name, LastSeen: now})
	return slices.Delete(list, 0, max(0, len(list)-maxOccurrences))
}

// quarantinedWorkers returns the names of the quarantined workers, sorted.
func (s *eventState) quarantinedWorkers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.quarantined {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *eventState) isQuarantined(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantined[worker]
}

// alarmMonitor evaluates the alarm conditions against this node's state and logs
// each alarm that is raised, returns or is cleared.
type alarmMonitor struct {
	process *Process

	mu      sync.Mutex
	tracker *alarm.Tracker
}

func newAlarmMonitor(p *Process) *alarmMonitor {
	return &alarmMonitor{process: p, tracker: alarm.New()}
}

// run evaluates the conditions once per alarmInterval until the context ends.
func (a *alarmMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(alarmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		view, err := a.process.View(ctx)
		if err != nil {
			return nil
		}
		state := a.process.alarmState(&view, time.Now())
		a.mu.Lock()
		changes := a.tracker.Observe(state.Now, alarm.ActiveConditions(state))
		a.mu.Unlock()
		for _, change := range changes {
			a.process.recordEvent(eventByTransition[change.Transition], "identity", change.Alarm.Identity, "since", change.Alarm.Since.UTC().Format(time.RFC3339),
				"detail", change.Alarm.Detail, "action", change.Alarm.Condition.Action)
		}
	}
}

// alarmState returns the state against which the alarm conditions are evaluated.
func (p *Process) alarmState(view *control.View, now time.Time) alarm.State {
	state := alarm.State{
		Now: now, Name: view.Name, Region: view.Region, Workers: map[string]int{}, LogUp: view.LogUp, HeldJobs: view.HeldJobs + p.logAdapter.unresolvedJobRecords(),
		Isolated: view.Isolated, PolicyIncomplete: p.configuration.replayPosition().Incomplete,
		Quarantined: p.eventState.quarantinedWorkers(), VMListAge: p.poller.Current().Age(now),
	}
	for i := range view.Members.Members {
		m := &view.Members.Members[i]
		heartbeat := p.heartbeatTable.latest(m.Name)
		member := alarm.Member{
			Name: m.Name, Region: m.Region, Live: m.Reachability == membership.Live && !heartbeat.receivedAt.IsZero(),
			Sessions: heartbeat.sessions, Version: heartbeat.policyVersion, Digest: heartbeat.policyDigest,
		}
		if m.Name == view.Name {
			member.Live, member.Sessions, member.Version, member.Digest = true, len(view.Capacities), view.PolicyVersion, view.PolicyDigest
		}
		state.Members = append(state.Members, member)
	}
	for i := range view.Workers {
		if w := &view.Workers[i]; w.InList && !w.Leaving {
			state.Workers[w.Region]++
		}
	}
	for i := range view.Leases.Ranges {
		if r := &view.Leases.Ranges[i]; r.Wanted && !r.Held {
			state.TeamsWithoutHome = append(state.TeamsWithoutHome, r.Range.Team)
		}
	}
	state.QuarantineBound = p.configuration.quarantineBound(len(view.Capacities))
	p.eventState.mu.Lock()
	defer p.eventState.mu.Unlock()
	state.FaultyClasses, state.UnknownOutcomes = slices.Clone(p.eventState.faultyClasses), slices.Clone(p.eventState.unknownOutcomes)
	return state
}

// quarantineBound returns how many of the node's own workers may be in quarantine
// at once: the configured share of them, but at least one.
func (c *configuration) quarantineBound(workers int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, int(c.history.Set().Limits().QuarantinedShare*float64(workers)))
}

// list returns the raised alarms in the form that operators receive.
func (a *alarmMonitor) list(context.Context) ([]operator.Alarm, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	alarms := []operator.Alarm{}
	for _, raised := range a.tracker.Alarms() {
		alarms = append(alarms, operator.Alarm{
			Identity: raised.Identity, Since: raised.Since, Meaning: raised.Condition.Description + " Now: " + raised.Detail + ".",
			Affected: raised.Condition.Affected, Action: raised.Condition.Action,
		})
	}
	return alarms, nil
}
