package journal

import (
	"sync"
	"time"
)

// State describes whether the log is available, as seen by this client.
type State string

// The states of the log.
const (
	StateUp   State = "up"
	StateSlow State = "slow"
	StateDown State = "down"
)

// Thresholds of the states. The log is slow if its last append took longer than
// SlowAfter or its last append or read failed, and down if all appends or all reads
// have failed for at least DownAfter. A single lost response is therefore not an
// outage.
const (
	SlowAfter = 500 * time.Millisecond
	DownAfter = time.Second
)

// directionState is the state of either appends or reads. They are tracked
// apart so that successful reads don't hide failing appends.
type directionState struct {
	state State
	// failingSince is the start of the first of the consecutive failed calls; it
	// is zero after a success.
	failingSince time.Time
}

// observe records a call that began at start and returned at end.
func (d *directionState) observe(start, end time.Time, failed, slow bool) {
	switch {
	case failed:
		if d.failingSince.IsZero() {
			d.failingSince = start
		}
		d.state = StateSlow
		if end.Sub(d.failingSince) >= DownAfter {
			d.state = StateDown
		}
		return
	case slow:
		d.state = StateSlow
	default:
		d.state = StateUp
	}
	d.failingSince = time.Time{}
}

// health derives the state of the log from the results of calls.
type health struct {
	mu      sync.Mutex
	appends directionState
	reads   directionState
	// notified is the state sent last to notifications, which has capacity 1.
	notified      State
	notifications chan State
}

func newHealth() *health {
	return &health{
		appends:       directionState{state: StateUp},
		reads:         directionState{state: StateUp},
		notified:      StateUp,
		notifications: make(chan State, 1),
	}
}

func (h *health) observeAppend(start, end time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.appends.observe(start, end, err != nil, end.Sub(start) > SlowAfter)
	h.notify()
}

// observeRead ignores the duration of a read, because a read waits for new
// records.
func (h *health) observeRead(start, end time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads.observe(start, end, err != nil, false)
	h.notify()
}

// notify sends a changed state. It replaces an unread notification, so that the
// channel holds the latest state and never blocks a call to the log.
func (h *health) notify() {
	state := h.state()
	if state == h.notified {
		return
	}
	h.notified = state
	select {
	case <-h.notifications:
	default:
	}
	h.notifications <- state
}

// state returns the worse of the states of appends and reads.
func (h *health) state() State {
	for _, state := range []State{StateDown, StateSlow} {
		if h.appends.state == state || h.reads.state == state {
			return state
		}
	}
	return StateUp
}
