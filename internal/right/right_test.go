package right_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/right"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := right.Leader{Epoch: 7, Node: "entry-2", Boot: 1}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := map[string]struct {
		view  right.View
		claim bool
		cause right.Cause
	}{
		"a near node claims a shard that never had a leader": {
			right.View{Now: now, VacantSince: ago(right.CheckInterval), NearStore: true}, true, "never-held",
		},
		"a far node waits for near ones": {
			right.View{Now: now, VacantSince: ago(right.CheckInterval)}, false, "never-held",
		},
		"a far node claims after FarStoreDelay": {
			right.View{Now: now, VacantSince: ago(right.FarStoreDelay)}, true, "never-held",
		},
		"a node that leads another shard waits for others": {
			right.View{Now: now, VacantSince: ago(right.CheckInterval), NearStore: true, ShardsLed: 1}, false, "never-held",
		},
		"a small VM waits for large ones that are far": {
			right.View{Now: now, VacantSince: ago(right.FarStoreDelay + right.CheckInterval), NearStore: true, SmallVM: true}, false, "never-held",
		},
		"a leader that answers stays": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(right.SuspectAfter / 2), NearStore: true}, false, "heard",
		},
		"a silent leader is replaced": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(right.SuspectAfter), NearStore: true}, true, "silent",
		},
		"a node that is no monitor waits longer": {
			right.View{Now: now, Leader: leader, LastHeard: ago(right.SuspectAfter), NearStore: true}, false, "heard",
		},
		"a node that is no monitor claims after BackgroundSuspectAfter": {
			right.View{Now: now, Leader: leader, LastHeard: ago(right.BackgroundSuspectAfter), NearStore: true}, true, "silent",
		},
		"a leader that answers another node stays": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(2 * right.SuspectAfter), NearStore: true, PeersAsked: 3, PeersReached: 3, HeardByPeer: true}, false, "heard-by-others",
		},
		"a node that reaches no peer doesn't claim": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(2 * right.SuspectAfter), NearStore: true, PeersAsked: 3}, false, "alone",
		},
		"a node that reaches no peer claims after IsolatedAfter, as all others may be dead": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(right.IsolatedAfter), NearStore: true, PeersAsked: 3}, true, "silent",
		},
		"a leader whose port refuses connections is replaced sooner": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(600 * time.Millisecond), RefusedSince: ago(right.RefusedAfter), NearStore: true}, true, "refused",
		},
		"a leader without a recent confirmation is replaced though it answers": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(200 * time.Millisecond), ConfirmationAge: right.StaleConfirmationAge, StoreHealthyFor: right.StaleConfirmationAge, NearStore: true}, true, "without-proof",
		},
		"a leader without a recent confirmation stays while the store is down": {
			right.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(200 * time.Millisecond), ConfirmationAge: 3 * right.StaleConfirmationAge, StoreHealthyFor: right.StaleConfirmationAge / 2, NearStore: true}, false, "heard",
		},
		"a node that was started later claims a released shard": {
			right.View{Now: now, Leader: right.Leader{Epoch: 7, Released: true}, VacantSince: ago(right.CheckInterval), NearStore: true, StartedLater: true}, true, "released",
		},
		"a node that was started earlier waits for others to claim a released shard": {
			right.View{Now: now, Leader: right.Leader{Epoch: 7, Released: true}, VacantSince: ago(right.CheckInterval), NearStore: true}, false, "released",
		},
		"a node that was started earlier claims a released shard after EarlierStartDelay": {
			right.View{Now: now, Leader: right.Leader{Epoch: 7, Released: true}, VacantSince: ago(right.EarlierStartDelay), NearStore: true}, true, "released",
		},
		"a restarted process claims its own shard again at once": {
			right.View{Now: now, Leader: leader, OwnRecord: true, VacantSince: now, Jitter: 1, ShardsLed: 1}, true, "own-former-boot",
		},
		"a leader doesn't claim": {
			right.View{Now: now, Leader: leader, Leading: true, LastHeard: ago(time.Hour), NearStore: true}, false, "holding",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			claim, cause := right.Decide(c.view)
			require.Equal(t, c.cause, cause)
			require.Equal(t, c.claim, claim)
		})
	}
}

func TestSuspectTimeout(t *testing.T) {
	require.Equal(t, right.SuspectAfter, right.SuspectTimeout(true, time.Minute))
	require.Equal(t, right.BackgroundSuspectAfter, right.SuspectTimeout(false, 800*time.Millisecond))
	require.Equal(t, 10*time.Second, right.SuspectTimeout(false, 4*time.Second), "nodes of a large fleet have long heartbeat intervals")
}

// Guards against a new leader that waits for leases of the former one longer
// than that one can extend them, or not long enough.
func TestFormerLeaderActsFor(t *testing.T) {
	cases := map[right.Cause]time.Duration{
		right.NeverLed: 0, right.OwnPreviousBoot: 0, right.NotLeading: 0,
		right.Released:          right.MaxConfirmationAgeReleased,
		right.ConnectionRefused: right.MaxConfirmationAge, right.Silent: right.MaxConfirmationAge, right.Unconfirmed: right.MaxConfirmationAge,
	}
	for cause, want := range cases {
		t.Run(string(cause), func(t *testing.T) { require.Equal(t, want, cause.FormerLeaderActsFor()) })
	}
}
