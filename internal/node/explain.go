package node

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// callerExplanation converts a status to the form that callers receive, with a
// summary in one sentence and the steps of the timeline.
func callerExplanation(status *control.Status) caller.Explanation {
	explanation := caller.Explanation{Status: callerStatus(status), Summary: summarize(status)}
	for _, e := range status.Timeline {
		explanation.Steps = append(explanation.Steps, caller.Step{At: e.At, What: e.Event, Detail: e.Detail})
	}
	return explanation
}

// summarize returns one sentence that says how long after receipt the task started
// and which step before that took longest, why the request was refused, or what it
// waits for.
func summarize(status *control.Status) string {
	if len(status.Timeline) == 0 {
		return "Nothing is recorded of this request."
	}
	receivedAt := status.Timeline[0].At
	startedAt, longestStep, longestDuration := time.Time{}, "", time.Duration(0)
	for i, e := range status.Timeline {
		if e.Event == "started" {
			startedAt = e.At
			break
		}
		if i+1 < len(status.Timeline) {
			if duration := status.Timeline[i+1].At.Sub(e.At); duration > longestDuration {
				longestDuration, longestStep = duration, e.Event+" "+e.Detail
			}
		}
	}
	switch {
	case !startedAt.IsZero() && longestDuration > 0:
		return fmt.Sprintf("Started %s after it was received; %s of that: %s.", round(startedAt.Sub(receivedAt)), round(longestDuration), longestStep)
	case !startedAt.IsZero():
		return fmt.Sprintf("Started %s after it was received.", round(startedAt.Sub(receivedAt)))
	case status.Refusal != nil:
		return fmt.Sprintf("Refused (%s): %s.", status.Refusal.Run, status.Refusal.Message)
	case status.State == workload.StateQueued && status.Waiting != "":
		return "Waits for " + status.Waiting + "."
	}
	return fmt.Sprintf("Is %s.", status.State)
}

// round rounds a duration to 0.1 ms for display.
func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
