package control

import (
	"strings"
	"time"
)

// explain prints the homes' state of the requests that violations mention.
func (w *world) explain() {
	for _, n := range w.nodes {
		for homeRange, h := range n.node.homes {
			counted := 0
			for _, e := range h.entries {
				if e.quotaCharged {
					counted += e.gangSize()
					w.trace("%s %v counts %s: %s active %t", n.name, homeRange, e.request.Key, e.state, e.active)
				}
			}
			w.trace("%s %v: running %d, entries count %d, lease %t, unresolved %d, recovered %t, jobs known %t",
				n.name, homeRange, h.running, counted, n.node.mayAct(h), len(h.unresolvedEntries), h.recovery.complete, h.jobsKnown)
		}
	}
	text := strings.Join(w.checks.violations, "\n") + *keyFlag
	for _, caller := range w.callers {
		if key := caller.request.Key; key == "" || !strings.Contains(text, string(key)) {
			continue
		}
		w.trace("request %+v", caller.request)
		for _, n := range w.nodes {
			for homeRange, h := range n.node.homes {
				e := h.entries[caller.request.Key]
				if e == nil {
					continue
				}
				w.trace("%s of %v (up %t): state %s unresolved %t active %t queued %t canceled %t durable %t recorded %t appending %t waiting %q",
					n.name, homeRange, n.up, e.state, e.unresolved, e.active, e.queued, e.canceled, e.durable, e.recorded, e.appending, e.waiting)
				for _, event := range e.timeline {
					w.trace("  %8.3f %s: %s", w.virtualTime(n, event.At).Seconds(), event.Event, event.Detail)
				}
				for _, t := range e.tasks {
					w.trace("  task %v %s owner %s worker %s possible workers %v", t.id, t.state, t.owner, t.worker, t.possibleWorkers)
				}
			}
			for id, t := range n.node.owner.tasks {
				if id.Key == caller.request.Key {
					w.trace("%s holds %v: %s on %s", n.name, id, t.state, t.worker)
				}
			}
		}
	}
}

// virtualTime converts a reading of a node's clock to the virtual time of the
// run.
func (w *world) virtualTime(n *simNode, at time.Time) time.Duration {
	return n.clock.elapsed(at.Sub(simStart) - n.clock.offset)
}
