package node

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/alarm"
)

// Conditions returns the identities of the alarm conditions that hold now, including
// those that have not held for long enough to raise an alarm.
func (p *Process) Conditions(ctx context.Context) ([]string, error) {
	view, err := p.View(ctx)
	if err != nil {
		return nil, err
	}
	var identities []string
	for _, condition := range alarm.ActiveConditions(p.alarmState(&view, time.Now())) {
		identities = append(identities, condition.Identity())
	}
	return identities, nil
}
