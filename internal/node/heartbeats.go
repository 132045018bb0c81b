package node

import (
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
)

// memberView is what a member's newest heartbeat said.
type memberView struct {
	version  uint64
	digest   uint64
	sessions int
	at       time.Time
}

// views holds the newest heartbeat of each member. It has at most one entry for
// each member of the settings, since the transport takes no others.
type views struct {
	mu      sync.Mutex
	members map[string]memberView
}

func newViews() *views { return &views{members: map[string]memberView{}} }

func (v *views) heard(from string, beat *control.Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members[from] = memberView{version: beat.PolicyVersion, digest: beat.PolicyDigest, sessions: beat.Sessions, at: time.Now()}
}

func (v *views) of(name string) memberView {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members[name]
}

// fresh returns the members whose newest heartbeat is not older than a time.
func (v *views) fresh(since time.Time) map[string]memberView {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := map[string]memberView{}
	for name, view := range v.members {
		if view.at.After(since) {
			members[name] = view
		}
	}
	return members
}
