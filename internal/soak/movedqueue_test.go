package soak_test

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxQueueMoves bounds the manifests of a run that exchange the services of the queues.
	maxQueueMoves = 3
	// repeatInterval is the number of a caller's jobs after which it submits one again that was
	// accepted before.
	repeatInterval = 3
)

// queueMoves are the times at which newer manifests exchange the services of the queues. They have a
// random source of their own, so that the other faults of a seed stay the same. Regression seeds
// have none.
type queueMoves struct {
	at   []time.Duration // since the first fault
	made int
}

func newQueueMoves(seed uint64) *queueMoves {
	m := &queueMoves{}
	if regressionSeeds[seed] != "" || partitionSeeds[seed] != "" {
		return m
	}
	random := rand.New(rand.NewPCG(seed, 5))
	for range random.IntN(maxQueueMoves + 1) {
		m.at = append(m.at, time.Duration(random.Int64N(int64(faultDuration))))
	}
	slices.Sort(m.at)
	return m
}

// advance makes the moves that are due this long after the first fault.
func (m *queueMoves) advance(r *run, elapsed time.Duration) {
	for m.made < len(m.at) && elapsed >= m.at[m.made] {
		m.made++
		r.site.Configure(manifestText(1+m.made, m.made%2 == 1))
		r.t.Logf("%.1fs: the queues exchange their services", elapsed.Seconds())
	}
}
