package node

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/alarm"
)

// Conditions returns the identities of the conditions that hold now, whether or
// not they have held for long enough to be alarms.
func (p *Process) Conditions(ctx context.Context) ([]string, error) {
	view, err := p.View(ctx)
	if err != nil {
		return nil, err
	}
	var identities []string
	for _, sighting := range alarm.ActiveConditions(p.alarmState(&view, time.Now())) {
		identities = append(identities, sighting.Identity())
	}
	return identities, nil
}
