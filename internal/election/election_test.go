package election_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := election.Leader{Epoch: 7, Node: "entry-2", Boot: 1}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := map[string]struct {
		view  election.View
		claim bool
		cause election.Cause
	}{
		"a near node claims a shard that never had a leader": {
			election.View{Now: now, VacantSince: ago(election.CheckInterval), NearStore: true}, true, "never-held",
		},
		"a far node waits for near ones": {
			election.View{Now: now, VacantSince: ago(election.CheckInterval)}, false, "never-held",
		},
		"a far node claims after FarStoreDelay": {
			election.View{Now: now, VacantSince: ago(election.FarStoreDelay)}, true, "never-held",
		},
		"a node that leads another shard waits for others": {
			election.View{Now: now, VacantSince: ago(election.CheckInterval), NearStore: true, ShardsLed: 1}, false, "never-held",
		},
		"a small VM waits for large ones that are far": {
			election.View{Now: now, VacantSince: ago(election.FarStoreDelay + election.CheckInterval), NearStore: true, SmallVM: true}, false, "never-held",
		},
		"a leader that answers stays": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.SuspectAfter / 2), NearStore: true}, false, "heard",
		},
		"a silent leader is replaced": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.SuspectAfter), NearStore: true}, true, "silent",
		},
		"a node that is no monitor waits longer": {
			election.View{Now: now, Leader: leader, LastHeard: ago(election.SuspectAfter), NearStore: true}, false, "heard",
		},
		"a node that is no monitor claims after BackgroundSuspectAfter": {
			election.View{Now: now, Leader: leader, LastHeard: ago(election.BackgroundSuspectAfter), NearStore: true}, true, "silent",
		},
		"a leader that answers another node stays": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(2 * election.SuspectAfter), NearStore: true, PeersAsked: 3, PeersReached: 3, HeardByPeer: true}, false, "heard-by-others",
		},
		"a node that reaches no peer doesn't claim": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(2 * election.SuspectAfter), NearStore: true, PeersAsked: 3}, false, "alone",
		},
		"a node that reaches no peer claims after IsolatedAfter if the leader appends nothing, as all others may be dead": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.IsolatedAfter), NearStore: true, PeersAsked: 3, QuietFor: election.QuietAfter}, true, "silent",
		},
		"a node that reaches no peer and hasn't seen whether the leader appends doesn't claim": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(10 * election.IsolatedAfter), NearStore: true, PeersAsked: 3}, false, "alone",
		},
		"a node that reaches no peer waits for IsolatedAfter from the leader's last append": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(10 * election.IsolatedAfter), LastAppend: ago(election.IsolatedAfter / 2), QuietFor: election.QuietAfter, NearStore: true, PeersAsked: 3}, false, "alone",
		},
		"nodes that reach each other replace a leader that they don't reach though it appends": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.SuspectAfter), LastAppend: now, NearStore: true, PeersAsked: 3, PeersReached: 1}, true, "silent",
		},
		"a far node that reaches only far ones doesn't claim while the leader may append": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(10 * election.IsolatedAfter), PeersChecked: true, PeersAsked: 3, PeersReached: 1}, false, "far-alone",
		},
		"a far node that reaches only far ones claims if the leader appends nothing": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.IsolatedAfter), QuietFor: election.QuietAfter, PeersChecked: true, PeersAsked: 3, PeersReached: 1}, true, "silent",
		},
		"a far node that reaches one near the store needs no look at the appends": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.IsolatedAfter), PeersChecked: true, PeersAsked: 3, PeersReached: 1, NearPeerReached: true}, true, "silent",
		},
		"a far node that reaches only far ones claims if the leader is silent on an idle link": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.IsolatedAfter), PeersChecked: true, PeersAsked: 3, PeersReached: 1, LeaderSilentOnIdleLink: true}, true, "silent",
		},
		"a far node that knows no other node doesn't claim while the leader may append": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(10 * election.IsolatedAfter), PeersChecked: true}, false, "far-alone",
		},
		"a leader whose port refuses connections is replaced sooner": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(600 * time.Millisecond), RefusedSince: ago(election.RefusedAfter), NearStore: true}, true, "refused",
		},
		"a leader without a recent confirmation is replaced though it answers": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(200 * time.Millisecond), ConfirmationAge: election.StaleConfirmationAge, StoreHealthyFor: election.StaleConfirmationAge, NearStore: true}, true, "without-proof",
		},
		"a far node leaves a leader without a recent confirmation to near ones": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(200 * time.Millisecond), ConfirmationAge: election.StaleConfirmationAge, StoreHealthyFor: time.Hour}, false, "without-proof",
		},
		"a far node replaces it after FarStoreDelay though it answers a heartbeat more often": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(50 * time.Millisecond), ConfirmationAge: election.StaleConfirmationAge + election.FarStoreDelay, StoreHealthyFor: time.Hour}, true, "without-proof",
		},
		"a node that leads another shard replaces it after LeaderLoadDelay": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(50 * time.Millisecond), ConfirmationAge: election.StaleConfirmationAge + election.LeaderLoadDelay, StoreHealthyFor: time.Hour, NearStore: true, ShardsLed: 1}, true, "without-proof",
		},
		"a far node that the store serves again waits for near ones": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(50 * time.Millisecond), ConfirmationAge: 10 * election.StaleConfirmationAge, StoreHealthyFor: election.StaleConfirmationAge}, false, "without-proof",
		},
		"a leader without a recent confirmation stays while the store is down": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(200 * time.Millisecond), ConfirmationAge: 3 * election.StaleConfirmationAge, StoreHealthyFor: election.StaleConfirmationAge / 2, NearStore: true}, false, "heard",
		},
		"a report of an old confirmation is out of date when the leader doesn't answer any more": {
			election.View{IsMonitor: true, Now: now, Leader: leader, LastHeard: ago(election.SuspectAfter), ConfirmationAge: election.StaleConfirmationAge, StoreHealthyFor: election.StaleConfirmationAge, NearStore: true, PeersAsked: 3}, false, "alone",
		},
		"a node that was started later claims a released shard": {
			election.View{Now: now, Leader: election.Leader{Epoch: 7, Released: true}, VacantSince: ago(election.CheckInterval), NearStore: true, StartedLater: true}, true, "released",
		},
		"a node that was started earlier waits for others to claim a released shard": {
			election.View{Now: now, Leader: election.Leader{Epoch: 7, Released: true}, VacantSince: ago(election.CheckInterval), NearStore: true}, false, "released",
		},
		"a node that was started earlier claims a released shard after EarlierStartDelay": {
			election.View{Now: now, Leader: election.Leader{Epoch: 7, Released: true}, VacantSince: ago(election.EarlierStartDelay), NearStore: true}, true, "released",
		},
		"a restarted process claims its own shard again at once": {
			election.View{Now: now, Leader: leader, OwnRecord: true, VacantSince: now, Jitter: 1, ShardsLed: 1}, true, "own-former-boot",
		},
		"a leader doesn't claim": {
			election.View{Now: now, Leader: leader, Leading: true, LastHeard: ago(time.Hour), NearStore: true}, false, "holding",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			claim, cause := election.Decide(c.view)
			require.Equal(t, c.cause, cause)
			require.Equal(t, c.claim, claim)
		})
	}
}

func TestSuspectTimeout(t *testing.T) {
	require.Equal(t, election.SuspectAfter, election.SuspectTimeout(true, time.Minute))
	require.Equal(t, election.BackgroundSuspectAfter, election.SuspectTimeout(false, 800*time.Millisecond))
	require.Equal(t, 10*time.Second, election.SuspectTimeout(false, 4*time.Second), "nodes of a large fleet have long heartbeat intervals")
}

// Guards against a new leader that waits for leases of the former one longer
// than that one can extend them, or not long enough.
func TestFormerLeaderActsFor(t *testing.T) {
	cases := map[election.Cause]time.Duration{
		election.NeverLed: 0, election.OwnPreviousBoot: 0, election.NotLeading: 0,
		election.Released:          election.MaxConfirmationAgeReleased,
		election.ConnectionRefused: election.MaxConfirmationAge, election.Silent: election.MaxConfirmationAge, election.Unconfirmed: election.MaxConfirmationAge,
	}
	for cause, want := range cases {
		t.Run(string(cause), func(t *testing.T) { require.Equal(t, want, cause.FormerLeaderActsFor()) })
	}
}
