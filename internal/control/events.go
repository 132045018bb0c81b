package control

import "strconv"

// Event is the name of a numbered event of the control thread. The process
// looks up its number in the catalogue.
type Event string

// The events of the control thread.
const (
	EventPolicyInForce      Event = "policy-in-force"
	EventSessionOpened      Event = "session-opened"
	EventSessionRefused     Event = "session-refused"
	EventSessionLost        Event = "session-lost"
	EventHomeLeaseGained    Event = "home-lease-gained"
	EventHomeLeaseLost      Event = "home-lease-lost"
	EventMemberSuspected    Event = "member-suspected"
	EventMemberReturned     Event = "member-returned"
	EventLogDown            Event = "log-down"
	EventLogUp              Event = "log-up"
	EventWorkerLeaving      Event = "worker-leaving"
	EventWorkerQuarantined  Event = "worker-quarantined"
	EventWorkerReleased     Event = "worker-released"
	EventClassBlamed        Event = "class-blamed"
	EventNeverRunnable      Event = "never-runnable"
	EventTaskLost           Event = "task-lost"
	EventOutcomeUnknown     Event = "outcome-unknown"
	EventOwnerFenced        Event = "owner-fenced"
	EventAssignmentFenced   Event = "assignment-fenced"
	EventHandoverSent       Event = "handover-sent"
	EventHandoverTaken      Event = "handover-taken"
	EventRecoveryComplete   Event = "recovery-complete"
	EventBoundReached       Event = "bound-reached"
	EventNodeDrained        Event = "node-drained"
	EventMalformedLabel     Event = "malformed-label"
	EventGangStarted        Event = "gang-started"
	EventConflictingKeyUsed Event = "conflicting-key"
)

// Events lists every event of the control thread. A test compares it with the
// catalogue.
var Events = []Event{
	EventPolicyInForce,
	EventSessionOpened,
	EventSessionRefused,
	EventSessionLost,
	EventHomeLeaseGained,
	EventHomeLeaseLost,
	EventMemberSuspected,
	EventMemberReturned,
	EventLogDown,
	EventLogUp,
	EventWorkerLeaving,
	EventWorkerQuarantined,
	EventWorkerReleased,
	EventClassBlamed,
	EventNeverRunnable,
	EventTaskLost,
	EventOutcomeUnknown,
	EventOwnerFenced,
	EventAssignmentFenced,
	EventHandoverSent,
	EventHandoverTaken,
	EventRecoveryComplete,
	EventBoundReached,
	EventNodeDrained,
	EventMalformedLabel,
	EventGangStarted,
	EventConflictingKeyUsed,
}

func versionText(version uint64) string { return "version " + strconv.FormatUint(version, 10) }
