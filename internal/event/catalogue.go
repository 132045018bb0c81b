package event

// Level is the severity of an event.
type Level string

// The levels, in ascending severity.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Definition describes one kind of event.
type Definition struct {
	// Number identifies the event; the number of a removed event is not reused.
	Number int
	// Name is in kebab case.
	Name    string
	Level   Level
	Meaning string
	// Action says what an operator does about the event.
	Action string
	// Alarm is set for an event that is recorded only when an alarm is raised,
	// that is, when an operator has to act.
	Alarm bool
}

// noAction is the action of events that need no operator.
const noAction = "Nothing."

// The events of a node, by number: 1xx node, 2xx sessions and workers, 3xx
// leases and members, 4xx log and policy, 5xx callers and work, 6xx alarms.
// After a change, regenerate docs/events.md with
// "go test ./internal/event -update".
var (
	NodeStarted  = define(100, "node-started", Info, "The node started and accepts calls from callers, operators and peers.", noAction)
	NodeStopping = define(101, "node-stopping", Info, "The node was asked to stop and is handing over its work.", noAction)
	NodeStopped  = define(102, "node-stopped", Info, "The node stopped; open-requests is the number of requests that it left unanswered.", "If open-requests is not 0, look up the state of these requests by their keys.")
	NodeDrained  = define(104, "node-drained", Info, "The node has handed over all its work and can be stopped.", noAction)
	SettingsBad  = define(103, "settings-bad", Error, "The settings have errors, so the node did not start; the findings list them.", "Correct the settings that the findings name.")
	PeerRefused  = define(110, "peer-refused", Warn, "A connection between nodes was refused because authentication failed or the protocol versions differ.", "Compare the cluster secret and the program version of both nodes.")
	PeerReplaced = define(111, "peer-replaced", Info, "A connection between nodes on which nothing arrived was replaced by a new one.", noAction)

	SessionOpened     = define(200, "session-opened", Info, "The node opened a session with the worker and now owns it.", noAction)
	SessionRefused    = define(201, "session-refused", Warn, "The worker refused a session because the session of another holder is still valid.", noAction)
	SessionLost       = define(202, "session-lost", Warn, "The node's session with the worker expired or was ended by the worker.", "If it repeats for one worker, inspect that VM and its network.")
	WorkerLeaving     = define(210, "worker-leaving", Info, "The worker is leaving the fleet; it gets no new work.", noAction)
	WorkerQuarantined = define(211, "worker-quarantined", Warn, "The worker fails far more tasks than other workers; it is in quarantine and gets only probe tasks.", "Inspect the VM if the worker is not released from quarantine.")
	WorkerReleased    = define(212, "worker-released", Info, "Probe tasks succeeded on the quarantined worker; it gets normal work again.", noAction)
	ClassBlamed       = define(213, "class-blamed", Warn, "Work of a class fails on every worker, so the failures are attributed to the class and not to the workers.", "Tell the team that submits the class.")
	OwnerFenced       = define(214, "owner-fenced", Warn, "The node reaches less than half of its region's nodes and has closed its worker sessions.", "Inspect the network between the entry VMs if it lasts.")
	MalformedLabel    = define(215, "malformed-label", Error, "A worker reported a task whose label can't be parsed; the resources of the task stay reserved until it ends.", "Report the fault with the program versions of the nodes.")
	VMListEntryBad    = define(220, "vm-list-entry-bad", Warn, "An entry of the VM list is invalid and was skipped; the other entries are in use.", "Correct the entry in the platform's VM list.")
	VMListDown        = define(221, "vm-list-down", Warn, "The VM list can't be read; the last list that was read stays in use.", "Restore the VM list service if it stays down.")
	VMListUp          = define(222, "vm-list-up", Info, "The VM list can be read again.", noAction)

	HomeLeaseGained  = define(300, "home-lease-gained", Info, "The node holds the home lease of a range and is its home.", noAction)
	HomeLeaseLost    = define(301, "home-lease-lost", Warn, "The node lost the home lease of a range and is no longer its home.", noAction)
	HandoverSent     = define(302, "handover-sent", Info, "The node handed a range over to its new home.", noAction)
	HandoverTaken    = define(303, "handover-taken", Info, "The node took over a range together with the state of its former home.", noAction)
	RecoveryComplete = define(304, "recovery-complete", Info, "A new home has learned what every worker of its region runs.", noAction)
	AssignmentFenced = define(305, "assignment-fenced", Warn, "The owner of a worker refused an assignment made under a home lease that has been replaced.", noAction)
	MemberSuspected  = define(310, "member-suspected", Warn, "No heartbeat arrived from a member within the suspect-after interval.", noAction)
	MemberReturned   = define(311, "member-returned", Info, "Heartbeats from a suspected member arrive again.", noAction)

	LogDown        = define(400, "log-down", Warn, "Appends to the log fail; durable jobs are refused or held.", "Restore the log service if it stays down.")
	LogUp          = define(401, "log-up", Info, "Appends to the log succeed again.", noAction)
	PolicyAccepted = define(410, "policy-accepted", Info, "A configuration change was accepted at its offset in the log.", noAction)
	PolicyRejected = define(411, "policy-rejected", Warn, "A configuration change was rejected; the reason says why, for example that another change of the same section came first.", "Compare the change with the version in force and apply it again.")
	PolicyInForce  = define(412, "policy-in-force", Info, "The node now uses this version of the configuration.", noAction)
	// Nodes refuse such a snapshot, so that the version of a node never decreases.
	PolicySnapshotBad = define(413, "policy-snapshot-bad", Error, "A snapshot of the configuration is invalid; the version in force is kept.", "If it repeats, compare the versions and digests that the command nodes shows.")
	PolicyIncomplete  = define(414, "policy-incomplete", Warn, "Retention removed records of the log before the node read them; the node keeps its configuration version and waits for a snapshot.", noAction)
	PolicyRecovered   = define(415, "policy-recovered", Warn, "An operator started a new history of the configuration from the version in force.", "Compare config show with the folder and apply what is missing.")

	RefusalCounts  = define(500, "refusal-counts", Info, "The number of refused requests by refusal code since the previous event of this kind.", noAction)
	NeverRunnable  = define(501, "never-runnable", Warn, "Work fits on no worker of the fleet, even an idle one.", "Tell the team, or add workers of the size that the work needs.")
	ConflictingKey = define(502, "conflicting-key", Warn, "Two different requests had the same key; the second one was refused.", "Tell the team that its callers use one key for different requests.")
	GangStarted    = define(503, "gang-started", Info, "All tasks of a gang have their resources, and the gang starts.", noAction)
	BoundReached   = define(504, "bound-reached", Warn, "A table of the node has reached its size limit.", "Compare the dump of the node with docs/CAPACITY.md.")
	TaskLost       = define(510, "task-lost", Warn, "A task ended without a result because its worker was lost or its lease expired.", noAction)
	OutcomeUnknown = define(511, "outcome-unknown", Warn, "A request was answered with may-have-run, because it is not known whether it ran.", "Nothing for the scheduler; the team checks the effect of the request.")
	HandlerPanic   = define(520, "handler-panic", Error, "An HTTP handler panicked; the caller received an internal error.", "Report the fault with the stack in the event.")
	TokensLoaded   = define(530, "tokens-loaded", Info, "The token file was read and is in force.", noAction)
	TokensBad      = define(531, "tokens-bad", Error, "The changed token file has errors; the tokens in force are kept.", "Correct the lines that the findings name.")

	CertificateLoaded = define(532, "certificate-loaded", Info, "The certificate files were read and are used for new connections.", noAction)
	CertificateBad    = define(533, "certificate-bad", Error, "The changed certificate files are invalid; the certificate in force is kept.", "Correct the certificate and key files that the settings name.")

	AlarmRaised  = defineAlarm(600, "alarm-raised", Error, "An alarm was raised; its text says what an operator has to do.", "Follow the action of the alarm.")
	AlarmCleared = define(601, "alarm-cleared", Info, "The condition of an alarm no longer holds.", noAction)
	// A returned alarm is not counted as a new alarm.
	AlarmReturned = define(602, "alarm-returned", Warn, "The condition of an alarm that was cleared less than an hour ago holds again; it is the same alarm.", "Continue with the action of the alarm.")
)

// catalogue holds all definitions in the order of declaration.
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

// Catalogue returns a copy of all definitions in the order of declaration.
func Catalogue() []Definition {
	return append([]Definition(nil), catalogue...)
}
