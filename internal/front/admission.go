package front

import "sync"

// admission bounds the calls that are held open, per team and in all. The map
// has an entry only for teams with open calls, so the total bounds it.
type admission struct {
	lock    sync.Mutex
	inAll   int
	byTeam  map[string]int
	maximum int
	perTeam int
	// bytes is the room left for bodies of open submissions.
	bytes int64
}

func newAdmission(maximum, perTeam int, bytes int64) *admission {
	return &admission{bytes: bytes, byTeam: map[string]int{}, maximum: maximum, perTeam: perTeam}
}

// enter takes a place; the message is empty on success and otherwise names the
// bound that is reached.
func (a *admission) enter(team string) string {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.inAll >= a.maximum {
		return "this node holds as many open requests as it may"
	}
	if a.byTeam[team] >= a.perTeam {
		return "the team holds as many open requests on this node as it may"
	}
	a.inAll++
	a.byTeam[team]++
	return ""
}

func (a *admission) leave(team string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.inAll--
	a.byTeam[team]--
	if a.byTeam[team] == 0 {
		delete(a.byTeam, team)
	}
}

func (a *admission) open() int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.inAll
}

// reserve takes room for a body; it reports whether there was enough.
func (a *admission) reserve(bytes int64) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if bytes > a.bytes {
		return false
	}
	a.bytes -= bytes
	return true
}

func (a *admission) release(bytes int64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.bytes += bytes
}
