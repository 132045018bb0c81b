package event

// definitionsByName holds all definitions by their kebab-case name. The packages
// that make scheduling decisions refer to events by name, so that they don't
// depend on this package.
var definitionsByName = map[string]Definition{}

// The events of the entry process and the shards, numbered 7xx.
func init() {
	catalogue = append(catalogue, []Definition{
		{700, "process-started", Info, "An entry process started and accepts calls.", noAction, false},
		{701, "process-stopping", Info, "The process was asked to stop; it offers its services to other nodes and finishes open requests.", noAction, false},
		{702, "process-stopped", Info, "The process stopped.", noAction, false},
		{703, "requests-left-open", Warn, "The grace period for stopping ended before all requests were answered.", "Look up the requests in the callers' logs.", false},
		{704, "store-lost", Warn, "The process can't read a topic of the platform's store.", "Inspect the store and the network if it lasts.", false},
		{705, "store-regained", Info, "The topic can be read again.", noAction, false},
		{706, "store-call-failed", Warn, "A call to the store failed; it is retried.", "Inspect the store if it lasts.", false},
		{707, "manifest-in-force", Info, "A newer manifest is in force on this node.", noAction, false},
		{708, "manifest-bad", Error, "A manifest is invalid; the last valid one stays in force.", "Correct the manifest.", false},
		{709, "record-unreadable", Error, "A record of the store can't be decoded and is skipped.", "Report the fault with the record's key.", false},
		{710, "record-not-encoded", Error, "A record can't be encoded and is not written.", "Report the fault with the record's key.", false},
		{711, "settings-reloaded", Info, "The settings were read again after SIGHUP.", noAction, false},
		{712, "settings-refused", Error, "The settings that were read again have errors; the previous ones stay in force.", "Correct the settings that the cause of the event names.", false},
		{713, "loop-failed", Error, "A fault in the program was caught; a loop goes on or the leadership of a service was given up.", "Report the fault with the cause of the event.", false},

		{720, "right-seen", Info, "The store names a new holder of the exclusive right to a service.", noAction, false},
		{721, "right-claimed", Info, "This process claimed the right to a service; the fields cause and silence say why.", noAction, false},
		{722, "claim-failed", Info, "A claim failed because another node claimed the right first or the store did not answer.", noAction, false},
		{723, "right-lost", Warn, "This process no longer holds the right to a service.", noAction, false},
		{724, "right-released", Info, "This process is stopping and offers the right to other nodes; it serves until another node claims it.", noAction, false},
		{725, "release-failed", Warn, "The offer of the right could not be stored; the holder continues to serve and retries.", noAction, false},
		{731, "right-left", Warn, "The process stopped while it held a right that no node had claimed; another node claims it after a timeout.", noAction, false},
		{726, "state-loaded", Info, "A new holder read the state of the service from the store.", noAction, false},
		{727, "settled", Info, "A new holder has learned what every worker runs and starts stored tasks again; unread is the number of workers whose leases ended before it read them.", noAction, false},
		{737, "unsettled", Warn, "A new holder doesn't know yet what every worker runs. The fields name the unread worker whose leases end last, the former holder that bounds them, what is known of each former holder, and how many of the recorded workers were read.", noAction, false},
		{738, "former-silent", Info, "A holder before this one doesn't tell a new holder when its leases end; it is asked again.", noAction, false},
		{739, "rights-read", Info, "The process read the holders of all rights for the first time since its start.", noAction, false},
		{735, "former-leases", Info, "A new holder asked one before it when its leases end; known says whether it could tell, ended whether it grants no more leases, and lowered how many workers need a shorter wait.", noAction, false},
		{729, "shards-counted", Info, "The number of shards of a service was read from the store.", noAction, false},
		{730, "shards-offered", Info, "This process proposed the number of shards of a service; the first proposal in the store is used.", noAction, false},
		{733, "count-begun", Info, "A node started to count the workers of a new service; the other nodes wait for the result.", noAction, false},
		{734, "count-left", Info, "This node does not count the workers of a new service, because another node started first or the store did not answer.", noAction, false},
		{732, "partition-changed", Warn, "One of the two partitions for a shard's records did not answer in time; records are now written to the other one.", noAction, false},
		{736, "copy-superseded", Info, "The store refused a copy of a batch because it had carried out a newer copy of the same leader.", noAction, false},
		{728, "authority", Warn, "The holder lost or regained the proof that it holds the right; without it no task starts.", noAction, false},

		{740, "worker-listed", Info, "A worker joined the service.", noAction, false},
		{741, "worker-unlisted", Info, "The worker is no longer in the list of workers.", noAction, false},
		{742, "worker-forgotten", Info, "The unlisted worker can no longer run anything and was removed from the state.", noAction, false},
		{743, "worker-draining", Info, "The worker is draining; it gets no new task.", noAction, false},
		{744, "worker-unreachable", Warn, "The worker doesn't answer; it gets no new task.", "Inspect the VM and its network if it lasts.", false},
		{745, "worker-reachable", Info, "The worker answers again.", noAction, false},
		{746, "worker-restarted", Warn, "The worker restarted; the tasks that it ran before are started again.", noAction, false},
		{747, "worker-read", Info, "The holder read the worker's lists of runs for the first time.", noAction, false},
		{748, "worker-entry-bad", Warn, "An entry of the list of workers is invalid and was skipped.", "Correct the entry.", false},
		{749, "worker-shunned", Warn, "Tasks of several jobs failed or stalled on the worker, or its orders had no answer while polls had; it gets no new task for a while.", "Inspect the VM if it repeats.", false},
		{752, "connection-shared", Warn, "A worker reset a new connection, as it has as many as it accepts; all calls to it share the open one for some seconds. The connections of VMs that lost power may take the room.", "Inspect the worker's connections if it lasts.", false},
		{751, "start-lost", Warn, "A worker was lost while a run on it was at its start; the next run of its task is the only one at its start on its worker. The field crashed says whether the worker is known to have crashed under the run.", "Inspect the VM if it repeats.", false},

		{760, "accepted", Info, "A job was stored and its caller was answered.", noAction, false},
		{761, "refused", Info, "A job was refused; the fields give the reason and the time after which to retry.", noAction, false},
		{762, "cancelled", Info, "A job was cancelled by its caller.", noAction, false},
		{763, "job-ended", Info, "A job reached its final state.", noAction, false},
		{764, "attempts-used-up", Warn, "A task failed as often as its queue allows; the job fails.", "Tell the team that submitted the job.", false},
		{771, "poison-task", Warn, "Workers crashed when they started the task; the job fails, unless it has long-running tasks.", "Tell the team that submitted the job.", false},
		{773, "queue-moved", Info, "A newer manifest has moved a queue to another service; its accepted jobs stay with the former services.", noAction, false},
		{774, "accepted-elsewhere", Info, "A job was submitted again after its queue was moved; a former service of the queue has accepted it.", noAction, false},
		{775, "checkpoints-not-stored", Warn, "The record of a job with its checkpoints is larger than the store takes; it is stored without them, and tasks that start after a change of leader start anew.", "Tell the team that submitted the job.", false},
		{765, "request-refused", Info, "A caller's request was refused and had no effect.", noAction, false},
		{766, "request-undecided", Warn, "The holder did not answer a caller's request in time.", noAction, false},
		{767, "job-unknown", Info, "A caller asked for an unknown job.", noAction, false},

		{768, "step-waiting", Info, "A step has waited for more than two seconds; the cause and the counts of workers say why.", noAction, false},

		{772, "long-running-waiting", Warn, "Long-running tasks have had no confirmed run for more than two seconds; cause says why the first of them has none, alike how many wait with it, and waiting how many of the shard wait.", noAction, false},

		{780, "run-ordered", Info, "A worker was told to start a task.", noAction, false},
		{781, "run-rejected", Info, "The worker refused to start the task; nothing ran.", noAction, false},
		{782, "run-in-doubt", Warn, "A start command got no answer; the run is stopped before the task starts on another worker.", noAction, false},
		{783, "run-adopted", Info, "A new holder took over a run of the previous holder.", noAction, false},
		{769, "fillers-paced", Info, "Best-effort tasks on the worker of a serving task were slowed down because its tail latency is over the target, or were sped up again.", noAction, false},
		{770, "pace-failed", Warn, "A command that sets the speed of a task got no answer or was refused; it is retried.", noAction, false},
		{789, "run-evacuated", Info, "A run was stopped on a draining worker; the task starts on another worker.", noAction, false},
		{784, "run-ended", Info, "A worker reported the end of a run.", noAction, false},
		{785, "run-over", Info, "A run ended without a report of its end; the field cause says why.", noAction, false},
		{786, "run-stalled", Warn, "A run made no progress; the task starts on another worker.", noAction, false},
		{795, "run-moved", Info, "A run on a slow worker was stopped because it is expected to end sooner on another worker.", noAction, false},
		{750, "worker-speed", Info, "The worker's runs take far longer than estimated, or no longer do; slow workers are chosen last.", "Inspect the VM if it lasts.", false},
		{787, "lease-over", Warn, "The leases on a worker that doesn't answer expired; proof-age is the age of the last confirmation of the leadership, and over-for the time since they ended.", noAction, false},
		{788, "stop-failed", Info, "A command to stop a run failed; it is retried.", noAction, false},
		{790, "foreign-run", Error, "A worker runs a task whose name is not in this system's format.", "Find out who started it.", false},
		{791, "unknown-run", Warn, "A worker runs a task of a job that is not in the store; the run is stopped.", noAction, false},
		{792, "unknown-end", Warn, "A worker reported an end state that this program version doesn't know; the task starts again.", "Upgrade the program.", false},
		{793, "advised", Info, "The placement adviser returned the workers that may run a step.", noAction, false},
		{794, "advice-failed", Info, "A call to the placement adviser failed; it is retried.", noAction, false},
	}...)
	for _, d := range catalogue {
		definitionsByName[d.Name] = d
	}
}
