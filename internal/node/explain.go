package node

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// callerExplanation returns the status with a summary in one sentence and the
// steps of the timeline.
func callerExplanation(status *control.Status) caller.Explanation {
	explanation := caller.Explanation{Status: callerStatus(status), Summary: summarize(status)}
	for _, e := range status.Timeline {
		explanation.Steps = append(explanation.Steps, caller.Step{At: e.At, What: e.Event, Detail: e.Detail})
	}
	return explanation
}

// summarize says in one sentence when the task started and which step took longest
// before that, or what the request waits for.
func summarize(status *control.Status) string {
	if len(status.Timeline) == 0 {
		return "Nothing is recorded of this request."
	}
	first := status.Timeline[0].At
	started, cause, longest := time.Time{}, "", time.Duration(0)
	for i, e := range status.Timeline {
		if e.Event == "started" {
			started = e.At
			break
		}
		if i+1 < len(status.Timeline) {
			if took := status.Timeline[i+1].At.Sub(e.At); took > longest {
				longest, cause = took, e.Event+" "+e.Detail
			}
		}
	}
	switch {
	case !started.IsZero() && longest > 0:
		return fmt.Sprintf("Started %s after it was received; %s of that: %s.", round(started.Sub(first)), round(longest), cause)
	case !started.IsZero():
		return fmt.Sprintf("Started %s after it was received.", round(started.Sub(first)))
	case status.Refusal != nil:
		return fmt.Sprintf("Refused (%s): %s.", status.Refusal.Run, status.Refusal.Message)
	case status.State == workload.StateQueued && status.Waiting != "":
		return "Waits for " + status.Waiting + "."
	}
	return fmt.Sprintf("Is %s.", status.State)
}

// round shortens a duration for display.
func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
