package right_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/right"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	held := right.Holding{Epoch: 7, Node: "entry-2", Boot: 1}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := map[string]struct {
		view  right.View
		claim bool
		cause right.Cause
	}{
		"a right that nobody ever held goes to a near node": {
			right.View{Now: now, Vacant: ago(right.Step), Near: true}, true, "never-held",
		},
		"a far node leaves it to the near ones first": {
			right.View{Now: now, Vacant: ago(right.Step)}, false, "never-held",
		},
		"a far node takes it when no near one did": {
			right.View{Now: now, Vacant: ago(right.FarDelay)}, true, "never-held",
		},
		"a node with another right leaves it to idle ones first": {
			right.View{Now: now, Vacant: ago(right.Step), Near: true, Load: 1}, false, "never-held",
		},
		"a small VM leaves it to large ones that are far": {
			right.View{Now: now, Vacant: ago(right.FarDelay + right.Step), Near: true, Small: true}, false, "never-held",
		},
		"a holder that answers keeps its right": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(right.SuspectAfter / 2), Near: true}, false, "heard",
		},
		"a silent holder loses it": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(right.SuspectAfter), Near: true}, true, "silent",
		},
		"a node that greets a holder seldom waits longer": {
			right.View{Now: now, Holding: held, Heard: ago(right.SuspectAfter), Near: true}, false, "heard",
		},
		"a node that greets a holder seldom takes its right when nobody else did": {
			right.View{Now: now, Holding: held, Heard: ago(right.IdleSuspectAfter), Near: true}, true, "silent",
		},
		"a holder that another node hears keeps it": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(2 * right.SuspectAfter), Near: true, Others: 3, Reached: 3, Vouched: true}, false, "heard-by-others",
		},
		"a node that reaches nobody takes nothing": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(2 * right.SuspectAfter), Near: true, Others: 3}, false, "alone",
		},
		"a node that reaches nobody for long takes it, as all others may be gone": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(right.AloneAfter), Near: true, Others: 3}, true, "silent",
		},
		"a port that refuses connections is free sooner": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(600 * time.Millisecond), Refused: ago(right.RefusedAfter), Near: true}, true, "refused",
		},
		"a holder without a proof of its right loses it though it answers": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(200 * time.Millisecond), ProofAge: right.StoreStale, StoreSound: right.StoreStale, Near: true}, true, "without-proof",
		},
		"a holder without a proof keeps its right while the store serves nobody": {
			right.View{Watches: true, Now: now, Holding: held, Heard: ago(200 * time.Millisecond), ProofAge: 3 * right.StoreStale, StoreSound: right.StoreStale / 2, Near: true}, false, "heard",
		},
		"a released right is free for a node that was started later": {
			right.View{Now: now, Holding: right.Holding{Epoch: 7, Released: true}, Vacant: ago(right.Step), Near: true, Newer: true}, true, "released",
		},
		"a node that was started earlier leaves a released right to the others first": {
			right.View{Now: now, Holding: right.Holding{Epoch: 7, Released: true}, Vacant: ago(right.Step), Near: true}, false, "released",
		},
		"a node that was started earlier takes a released right that nobody wants": {
			right.View{Now: now, Holding: right.Holding{Epoch: 7, Released: true}, Vacant: ago(right.OlderDelay), Near: true}, true, "released",
		},
		"a process that was restarted takes its own right back at once": {
			right.View{Now: now, Holding: held, Self: true, Vacant: now, Jitter: 1, Load: 1}, true, "own-former-boot",
		},
		"a holder claims nothing": {
			right.View{Now: now, Holding: held, Holds: true, Heard: ago(time.Hour), Near: true}, false, "holding",
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

func TestSuspect(t *testing.T) {
	require.Equal(t, right.SuspectAfter, right.Suspect(true, time.Minute))
	require.Equal(t, right.IdleSuspectAfter, right.Suspect(false, 800*time.Millisecond))
	require.Equal(t, 10*time.Second, right.Suspect(false, 4*time.Second), "in a large fleet nodes greet seldom")
}

// A new holder waits for the leases of the former one, and for no longer than
// the former one can extend them.
func TestFormerHolderActs(t *testing.T) {
	cases := map[right.Cause]time.Duration{
		right.NeverHeld: 0, right.OwnFormerBoot: 0, right.NotHeld: 0,
		right.Released: right.KeepOffered,
		right.Refused:  right.KeepWithoutProof, right.Silent: right.KeepWithoutProof, right.WithoutProof: right.KeepWithoutProof,
	}
	for cause, want := range cases {
		t.Run(string(cause), func(t *testing.T) { require.Equal(t, want, cause.FormerActs()) })
	}
}
