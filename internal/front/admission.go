package front

import "sync"

// admissionControl limits the number of open calls, in total and per team, and
// the memory for the bodies of open submissions.
type admissionControl struct {
	mu    sync.Mutex
	total int
	// byTeam counts open calls. It has entries only for teams with open calls,
	// so maxTotal also limits its size.
	byTeam     map[string]int
	maxTotal   int
	maxPerTeam int
	// freeBodyBytes is the memory that is left for bodies, in bytes.
	freeBodyBytes int64
}

func newAdmissionControl(maxTotal, maxPerTeam int, freeBodyBytes int64) *admissionControl {
	return &admissionControl{freeBodyBytes: freeBodyBytes, byTeam: map[string]int{}, maxTotal: maxTotal, maxPerTeam: maxPerTeam}
}

// acquire counts a new open call of the team. It returns an empty string, or a
// message that names the limit that was reached.
func (a *admissionControl) acquire(team string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total >= a.maxTotal {
		return "this node holds as many open requests as it may"
	}
	if a.byTeam[team] >= a.maxPerTeam {
		return "the team holds as many open requests on this node as it may"
	}
	a.total++
	a.byTeam[team]++
	return ""
}

func (a *admissionControl) release(team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total--
	a.byTeam[team]--
	if a.byTeam[team] == 0 {
		delete(a.byTeam, team)
	}
}

func (a *admissionControl) openCalls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// reserveBody reserves memory for a body and reports whether enough was left.
func (a *admissionControl) reserveBody(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if bytes > a.freeBodyBytes {
		return false
	}
	a.freeBodyBytes -= bytes
	return true
}

func (a *admissionControl) releaseBody(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.freeBodyBytes += bytes
}
