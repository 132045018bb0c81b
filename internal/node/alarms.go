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
	// alarmInterval is how often conditions are observed. The shortest hold time
	// is 10 s.
	alarmInterval = time.Second
	// maxNoted bounds the blamed classes and unknown outcomes that are kept; the
	// oldest ones are dropped first.
	maxNoted = 256
)

var alarmEvents = map[alarm.Transition]event.Definition{
	alarm.Raised: event.AlarmRaised, alarm.Returned: event.AlarmReturned, alarm.Cleared: event.AlarmCleared,
}

// observed holds what events of the control thread say about lasting states.
type observed struct {
	mu          sync.Mutex
	quarantined map[string]bool
	blamed      []alarm.Occurrence
	unknown     []alarm.Occurrence
}

func newObserved() *observed { return &observed{quarantined: map[string]bool{}} }

// note takes an event of the control thread.
func (o *observed) note(out *control.RecordEvent, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch out.Event {
	case control.EventWorkerQuarantined:
		o.quarantined[out.Subject] = true
	case control.EventWorkerReleased, control.EventSessionLost:
		delete(o.quarantined, out.Subject)
	case control.EventClassBlamed:
		o.blamed = noted(o.blamed, out.Subject, now)
	case control.EventOutcomeUnknown:
		o.unknown = noted(o.unknown, out.Subject, now)
	}
}

func noted(list []alarm.Occurrence, name string, now time.Time) []alarm.Occurrence {
	list = slices.DeleteFunc(list, func(n alarm.Occurrence) bool { return n.Name == name })
	list = append(list, alarm.Occurrence{Name: name, LastSeen: now})
	return slices.Delete(list, 0, max(0, len(list)-maxNoted))
}

func (o *observed) quarantinedWorkers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := []string{}
	for name := range o.quarantined {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (o *observed) isQuarantined(worker string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.quarantined[worker]
}

// alarms observes the conditions of this node's view.
type alarms struct {
	process *Process

	mu      sync.Mutex
	tracker *alarm.Tracker
}

func newAlarms(p *Process) *alarms { return &alarms{process: p, tracker: alarm.New()} }

// run observes until the context ends.
func (a *alarms) run(ctx context.Context) error {
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
			a.process.record(alarmEvents[change.Transition], "identity", change.Alarm.Identity, "since", change.Alarm.Since.UTC().Format(time.RFC3339),
				"detail", change.Alarm.Detail, "action", change.Alarm.Condition.Action)
		}
	}
}

// alarmState returns what the conditions are observed from.
func (p *Process) alarmState(view *control.View, now time.Time) alarm.State {
	state := alarm.State{
		Now: now, Name: view.Name, Region: view.Region, Workers: map[string]int{}, LogUp: view.LogUp, HeldJobs: view.HeldJobs + p.records.waitingJobs(),
		Isolated: view.Isolated, PolicyIncomplete: p.configuration.position().Incomplete,
		Quarantined: p.observed.quarantinedWorkers(), VMListAge: p.poller.Current().Age(now),
	}
	for i := range view.Members.Members {
		m := &view.Members.Members[i]
		heard := p.views.of(m.Name)
		member := alarm.Member{
			Name: m.Name, Region: m.Region, Live: m.Reach == membership.Live && !heard.at.IsZero(),
			Sessions: heard.sessions, Version: heard.version, Digest: heard.digest,
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
	p.observed.mu.Lock()
	defer p.observed.mu.Unlock()
	state.FaultyClasses, state.UnknownOutcomes = slices.Clone(p.observed.blamed), slices.Clone(p.observed.unknown)
	return state
}

// quarantineBound is how many of a node's own workers may be in quarantine.
func (c *configuration) quarantineBound(workers int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, int(c.history.Set().Limits().QuarantinedShare*float64(workers)))
}

// list returns the alarms for operators.
func (a *alarms) list(context.Context) ([]operator.Alarm, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := []operator.Alarm{}
	for _, raised := range a.tracker.Alarms() {
		listed = append(listed, operator.Alarm{
			Identity: raised.Identity, Since: raised.Since, Meaning: raised.Condition.Description + " Now: " + raised.Detail + ".",
			Affected: raised.Condition.Affected, Action: raised.Condition.Action,
		})
	}
	return listed, nil
}
