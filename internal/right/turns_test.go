package right_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/right"
)

// claimant is a node that watches all rights.
type claimant struct {
	turns  right.Turns
	jitter []float64
	look   []time.Time // when it looks at each right next
	first  time.Time   // the earliest of these
	sees   int         // records of the rights that it has read
	load   int
}

// claimOnWay is an append that the store carries out at a time.
type claimOnWay struct {
	at    time.Time
	node  int
	index int
	end   int // the node's end of the rights
}

// Guards against nodes that all claim all rights at once and keep each other
// from them (sweep of rlts-voucher-grown at 300 VMs: 4,605 failed claims of 22
// nodes in 20 s, 2,701 of them beyond the store's calls).
func TestManyNodesShareOutManyRights(t *testing.T) {
	const (
		appendTime   = 4 * time.Millisecond // of the store, one at a time
		readTime     = 3 * time.Millisecond // until the others see a record
		callsASecond = 1200                 // what the store of the grown sites takes, of all nodes
		notHeldAfter = time.Second          // until a node believes that the holder has no right
		within       = 4 * time.Second      // the target for a right without a holder
	)
	for name, c := range map[string]struct {
		nodes, rights int
		restarted     bool // each right has a node that held it before all were restarted
	}{
		"6 nodes, 2 rights":                   {6, 2, false},
		"41 nodes, 4 rights":                  {41, 4, false},
		"100 nodes, 24 rights":                {100, 24, false},
		"300 nodes, 80 rights":                {300, 80, false},
		"1000 nodes, 80 rights":               {1000, 80, false},
		"41 nodes, 4 rights, all restarted":   {41, 4, true},
		"300 nodes, 24 rights, all restarted": {300, 24, true},
		"300 nodes, 80 rights, all restarted": {300, 80, true},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			began := time.Unix(1000, 0)
			nodes := make([]claimant, c.nodes)
			for i := range nodes {
				nodes[i].look = make([]time.Time, c.rights)
				for range c.rights {
					nodes[i].jitter = append(nodes[i].jitter, random.Float64())
				}
			}
			held := make([]bool, c.rights)
			var stored []time.Time        // of each record of the rights
			rank := make([]int, c.rights) // of each right's record
			for index := range rank {
				rank[index] = c.rights
			}
			var way []claimOnWay
			free := began // when the store can carry out the next append
			calls, refusedBeyond := map[int]int{}, 0
			now := began
			for ; len(stored) < c.rights && now.Sub(began) < within; now = now.Add(time.Millisecond) {
				for len(way) > 0 && !way[0].at.After(now) {
					claim := way[0]
					way = way[1:]
					node := &nodes[claim.node]
					success := claim.end == len(stored)
					if success {
						require.False(t, held[claim.index], "the claimant had read who holds it")
						held[claim.index] = true
						rank[claim.index] = len(stored)
						stored = append(stored, now)
						node.load++
					}
					node.turns.End(now, success, random.Float64())
				}
				for i := range nodes {
					node := &nodes[i]
					woken := false
					for node.sees < len(stored) && now.Sub(stored[node.sees]) >= readTime {
						node.sees++
						woken = true
					}
					if !woken && now.Before(node.first) {
						continue
					}
					node.first = now.Add(right.Step)
					for index := range c.rights {
						if rank[index] < node.sees {
							continue
						}
						if !woken && now.Before(node.look[index]) {
							node.first = earlier(node.first, node.look[index])
							continue
						}
						view := right.View{Now: now, Vacant: began, Near: true, Load: node.load, Jitter: node.jitter[index], Rights: c.rights}
						if c.restarted {
							view.Holding = right.Holding{Epoch: 1}
							if view.Self = i == index; !view.Self {
								view.Vacant = began.Add(notHeldAfter)
							}
						}
						node.look[index] = now.Add(right.Wait(view))
						node.first = earlier(node.first, node.look[index])
						if claim, _ := right.Decide(view); !claim || !node.turns.Begin(now) {
							continue
						}
						second := int(now.Sub(began) / time.Second)
						calls[second]++
						if calls[second] > callsASecond {
							refusedBeyond++
						}
						if free.Before(now) {
							free = now
						}
						free = free.Add(appendTime)
						way = append(way, claimOnWay{free, i, index, node.sees})
					}
				}
			}
			require.Len(t, stored, c.rights, "all rights are held within %s", within)
			require.Zero(t, refusedBeyond, "calls beyond those that the store takes")
			t.Logf("held after %s; claims: %v", now.Sub(began), calls)
		})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
