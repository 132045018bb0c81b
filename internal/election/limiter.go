package election

import "time"

const (
	// maxOpenClaims bounds the claims that a node has in flight. The smaller
	// sites have two services, whose shards may lose their leaders at once.
	maxOpenClaims = 2
	// claimBackoff is the longest pause after the first failed claim: the time
	// of a few appends (4 ms each). It doubles with each further failure, up to
	// maxClaimBackoff.
	claimBackoff    = 20 * time.Millisecond
	maxClaimBackoff = 320 * time.Millisecond
)

// ClaimLimiter limits the rate of a node's claims. A claim fails if any other
// record was stored after the node read the topic. Many nodes that retry many
// claims at once would make each other fail and use up the call rate of the
// store. The zero value is ready to use. It is not safe for concurrent use.
//
//	if limiter.Begin(now) {
//		... append the claim ...
//		limiter.End(now, err == nil, rand.Float64())
//	}
type ClaimLimiter struct {
	pending   int
	failures  int
	nextClaim time.Time
}

// Begin reports whether the node may send a claim now. Each true result needs a
// call of End.
func (l *ClaimLimiter) Begin(now time.Time) bool {
	if l.pending >= maxOpenClaims || now.Before(l.nextClaim) {
		return false
	}
	l.pending++
	return true
}

// End records the result of a claim. After a failure, random in [0, 1) scales
// the pause.
func (l *ClaimLimiter) End(now time.Time, stored bool, random float64) {
	l.pending--
	if stored {
		l.failures = 0
		return
	}
	pause := min(maxClaimBackoff, claimBackoff<<min(l.failures, 10))
	l.failures++
	l.nextClaim = now.Add(time.Duration(random * float64(pause)))
}
