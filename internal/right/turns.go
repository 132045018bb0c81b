package right

import "time"

const (
	// maxOpenClaims is how many claims a node has on their way. The smaller
	// sites have two services, whose rights may fall vacant at once.
	maxOpenClaims = 2
	// claimPause is the longest pause after a claim that failed: a few appends
	// of other claims (4 ms each). It doubles with each further failure, up to
	// maxClaimPause.
	claimPause    = 20 * time.Millisecond
	maxClaimPause = 320 * time.Millisecond
)

// Turns spreads the claims of a node. A claim fails when any other one was
// stored after the node looked, so that many nodes which claim many rights
// again at once would keep each other from any, and use up the store's calls.
// The zero value is ready; one goroutine at a time may use it.
//
//	if turns.Begin(now) {
//		... append the claim ...
//		turns.End(now, err == nil, rand.Float64())
//	}
type Turns struct {
	open     int
	failures int
	next     time.Time
}

// Begin reports whether the node may send a claim now.
func (t *Turns) Begin(now time.Time) bool {
	if t.open >= maxOpenClaims || now.Before(t.next) {
		return false
	}
	t.open++
	return true
}

// End notes how a claim ended. random is from 0 to 1.
func (t *Turns) End(now time.Time, stored bool, random float64) {
	t.open--
	if stored {
		t.failures = 0
		return
	}
	pause := min(maxClaimPause, claimPause<<min(t.failures, 10))
	t.failures++
	t.next = now.Add(time.Duration(random * float64(pause)))
}
