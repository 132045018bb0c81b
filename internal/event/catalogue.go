package event

// Level says how much attention an event needs.
type Level string

// The levels, from the least to the most attention.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Definition describes one kind of event. Numbers are never reused.
type Definition struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
	// Action says what an operator does when the event is seen.
	Action string
	// Alarm is set when the event may only be recorded for an alarm, which
	// requires a person.
	Alarm bool
}

// noAction is the action of events that report the system's own remedy.
const noAction = "Nothing."

// The events, by number: 1xx node, 2xx sessions and workers, 3xx leases and
// members, 4xx log and policy, 5xx callers and work, 6xx alarms. An event is
// added as one line here; docs/events.md is regenerated with
// "go test ./internal/event -update".
var (
	NodeStarted  = define(100, "node-started", Info, "The node serves callers, operators and peers.", noAction)
	NodeStopping = define(101, "node-stopping", Info, "The node was told to stop and hands over its work.", noAction)
	NodeStopped  = define(102, "node-stopped", Info, "The node ended; open-requests is the number that it left unanswered.", "If open-requests is not 0, look up these requests by key.")
	NodeDrained  = define(104, "node-drained", Info, "The node has handed everything over and may end.", noAction)
	SettingsBad  = define(103, "settings-bad", Error, "The settings were refused at start; the findings follow.", "Correct the settings that the findings name.")
	PeerRefused  = define(110, "peer-refused", Warn, "A connection between nodes failed authentication or spoke another version.", "Compare the cluster secret and the program version of both nodes.")
	PeerReplaced = define(111, "peer-replaced", Info, "A silent connection between nodes was replaced.", noAction)

	SessionOpened     = define(200, "session-opened", Info, "The node owns the worker.", noAction)
	SessionRefused    = define(201, "session-refused", Warn, "The worker refused a session because another holder's is live.", noAction)
	SessionLost       = define(202, "session-lost", Warn, "The worker no longer honours the node's session.", "If it repeats for one worker, inspect that VM and its network.")
	WorkerLeaving     = define(210, "worker-leaving", Info, "The worker leaves; it gets no new work.", noAction)
	WorkerQuarantined = define(211, "worker-quarantined", Warn, "The worker fails far more tasks than its peers; it gets only probes.", "Inspect the VM if it is not released by itself.")
	WorkerReleased    = define(212, "worker-released", Info, "Probes succeeded; the quarantined worker gets work again.", noAction)
	ClassBlamed       = define(213, "class-blamed", Warn, "Work of a class fails on every worker, so the class is the cause.", "Tell the team that submits the class.")
	OwnerFenced       = define(214, "owner-fenced", Warn, "The node works with less than half of its region and has closed its sessions.", "Inspect the network between the entry VMs if it lasts.")
	MalformedLabel    = define(215, "malformed-label", Error, "A worker listed a task whose label can't be read; the task keeps its room until it ends.", "Report the fault with the program versions of the nodes.")
	VMListEntryBad    = define(220, "vm-list-entry-bad", Warn, "An entry of the VM list could not be used; the others were.", "Correct the entry in the platform's VM list.")
	VMListDown        = define(221, "vm-list-down", Warn, "The VM list can't be read; the last list stays in use.", "Restore the VM list service if it stays down.")
	VMListUp          = define(222, "vm-list-up", Info, "The VM list can be read again.", noAction)

	HomeLeaseGained  = define(300, "home-lease-gained", Info, "The node is the home of a range.", noAction)
	HomeLeaseLost    = define(301, "home-lease-lost", Warn, "The node is no longer the home of a range.", noAction)
	HandoverSent     = define(302, "handover-sent", Info, "The node passed a range on to another home.", noAction)
	HandoverTaken    = define(303, "handover-taken", Info, "The node took a range over with the knowledge of its former home.", noAction)
	RecoveryComplete = define(304, "recovery-complete", Info, "A new home knows what every worker of its region runs.", noAction)
	AssignmentFenced = define(305, "assignment-fenced", Warn, "An owner refused an assignment of a lease that was replaced.", noAction)
	MemberSuspected  = define(310, "member-suspected", Warn, "No heartbeat arrived from a member within the bound.", noAction)
	MemberReturned   = define(311, "member-returned", Info, "Heartbeats arrive from a suspected member again.", noAction)

	LogDown        = define(400, "log-down", Warn, "The log takes no appends; durable jobs are refused or held.", "Restore the log service if it stays down.")
	LogUp          = define(401, "log-up", Info, "The log takes appends again.", noAction)
	PolicyAccepted = define(410, "policy-accepted", Info, "A configuration change was accepted at its place in the log.", noAction)
	PolicyRejected = define(411, "policy-rejected", Warn, "A configuration change was rejected; another change of the same section came first.", "Compare with the version in force and apply the change again.")
	PolicyInForce  = define(412, "policy-in-force", Info, "The node decides by this configuration version.", noAction)
	// A node refuses such a snapshot, so that its version never goes down.
	PolicySnapshotBad = define(413, "policy-snapshot-bad", Error, "A snapshot of the configuration can't be used; the version in force stays.", "If it repeats, compare the versions and digests that the command nodes shows.")
	PolicyIncomplete  = define(414, "policy-incomplete", Warn, "The log dropped records before the node read them; it waits for a snapshot and keeps its version.", noAction)
	PolicyRecovered   = define(415, "policy-recovered", Warn, "An operator started a new history of the configuration from the version in force.", "Compare config show with the folder and apply what is missing.")

	RefusalCounts  = define(500, "refusal-counts", Info, "The number of refusals by code since the last such event.", noAction)
	NeverRunnable  = define(501, "never-runnable", Warn, "Work fits no worker of the fleet, empty or not.", "Tell the team, or add workers of the size that the work needs.")
	ConflictingKey = define(502, "conflicting-key", Warn, "A key was used for two different requests; the second was refused.", "Tell the team that its callers reuse keys.")
	GangStarted    = define(503, "gang-started", Info, "Every task of a gang has its room.", noAction)
	BoundReached   = define(504, "bound-reached", Warn, "A bounded table of the node is full.", "Compare the dump of the node with docs/CAPACITY.md.")
	TaskLost       = define(510, "task-lost", Warn, "A task ended without a result, with its worker or its lease.", noAction)
	OutcomeUnknown = define(511, "outcome-unknown", Warn, "A request was answered may-have-run because there is no proof either way.", "Nothing for the scheduler; the team checks the effect of the request.")
	HandlerPanic   = define(520, "handler-panic", Error, "A handler of the HTTP interface failed; the caller got an internal refusal.", "Report the fault with the stack that the event carries.")
	TokensLoaded   = define(530, "tokens-loaded", Info, "The token file was read and is in force.", noAction)
	TokensBad      = define(531, "tokens-bad", Error, "The changed token file has faults; the tokens in force stay.", "Correct the lines that the findings name.")

	CertificateLoaded = define(532, "certificate-loaded", Info, "The certificate files were read and are in force for new connections.", noAction)
	CertificateBad    = define(533, "certificate-bad", Error, "The changed certificate files can't be used; the certificate in force stays.", "Correct the certificate and key files that the settings name.")

	AlarmRaised  = defineAlarm(600, "alarm-raised", Error, "An alarm was raised; its text names what a person has to do.", "Do what the alarm names.")
	AlarmCleared = define(601, "alarm-cleared", Info, "The condition of an alarm no longer holds.", noAction)
	// An alarm that returns is the one that was raised before, not a second one.
	AlarmReturned = define(602, "alarm-returned", Warn, "An alarm that was cleared less than an hour ago holds again; it is still the same alarm.", "Go on with what the alarm names.")
)

// catalogue holds every definition in the order of the table above.
var catalogue []Definition

func define(number int, name string, level Level, meaning, action string) Definition {
	definition := Definition{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	catalogue = append(catalogue, definition)
	return definition
}

func defineAlarm(number int, name string, level Level, meaning, action string) Definition {
	definition := define(number, name, level, meaning, action)
	definition.Alarm = true
	catalogue[len(catalogue)-1].Alarm = true
	return definition
}

// Catalogue returns a copy of all definitions in table order.
func Catalogue() []Definition {
	return append([]Definition(nil), catalogue...)
}
