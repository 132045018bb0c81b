package event

// byName finds the events that packages name by their kebab-case name. The
// decision packages know names only, so that they need no log.
var byName = map[string]Definition{}

// Events of the entry process and the shards, 7xx.
func init() {
	catalogue = append(catalogue, []Definition{
		{700, "process-started", Info, "An entry process serves callers.", noAction, false},
		{701, "process-stopping", Info, "The process was told to stop; it hands its rights over and finishes open requests.", noAction, false},
		{702, "process-stopped", Info, "The process ended.", noAction, false},
		{703, "requests-left-open", Warn, "The grace time ended before all requests were answered.", "Look up the requests in the callers' logs.", false},
		{704, "store-lost", Warn, "The process can't follow a topic of the platform's store.", "Inspect the store and the network if it lasts.", false},
		{705, "store-regained", Info, "The topic can be followed again.", noAction, false},
		{706, "store-call-failed", Warn, "One call of the store failed; it is repeated.", "Inspect the store if it lasts.", false},
		{707, "manifest-in-force", Info, "A newer manifest is in force on this node.", noAction, false},
		{708, "manifest-bad", Error, "A manifest can't be read; the last one stays in force.", "Correct the manifest.", false},
		{709, "record-unreadable", Error, "A record of the store can't be read and is skipped.", "Report the fault with the record's key.", false},
		{710, "record-not-encoded", Error, "A record can't be written.", "Report the fault with the record's key.", false},
		{711, "settings-reloaded", Info, "The settings were read again after SIGHUP.", noAction, false},
		{712, "settings-refused", Error, "The settings that were read again have faults; the former ones stay in force.", "Correct the settings that the cause names.", false},

		{720, "right-seen", Info, "The store names a new holder of a service's right.", noAction, false},
		{721, "right-claimed", Info, "This process took the right to a service; cause and silence say why.", noAction, false},
		{722, "claim-failed", Info, "A claim was refused, as another node was quicker, or had no answer.", noAction, false},
		{723, "right-lost", Warn, "This process no longer holds the right.", noAction, false},
		{724, "right-released", Info, "This process offers the right as it stops, and acts until another node claims it.", noAction, false},
		{725, "release-failed", Warn, "The store didn't take the offer of the right; the holder acts on and offers it again.", noAction, false},
		{731, "right-left", Warn, "The process ends with a right that nobody has claimed; others take it after its silence.", noAction, false},
		{726, "state-loaded", Info, "A new holder read what the store keeps of the service.", noAction, false},
		{727, "settled", Info, "A new holder knows what every worker runs; stored tasks start again.", noAction, false},
		{729, "shards-counted", Info, "The store names how many shards a service has.", noAction, false},
		{730, "shards-offered", Info, "This process proposed a service's count of shards; the first one holds.", noAction, false},
		{733, "count-begun", Info, "A node counts the workers of a new service; the others wait for its count.", noAction, false},
		{734, "count-left", Info, "Another node was quicker to count the workers of a new service, or the store had no answer.", noAction, false},
		{732, "partition-changed", Warn, "One of the two partitions of a shard's records didn't answer in time; the other one takes them now.", noAction, false},
		{728, "authority", Warn, "The holder lost or regained the proof of its right; without it nothing starts.", noAction, false},

		{740, "worker-listed", Info, "A worker joined the service.", noAction, false},
		{741, "worker-unlisted", Info, "The store no longer lists the worker.", noAction, false},
		{742, "worker-forgotten", Info, "Nothing can run on the unlisted worker any more.", noAction, false},
		{743, "worker-draining", Info, "The worker leaves; it gets no new task.", noAction, false},
		{744, "worker-unreachable", Warn, "The worker doesn't answer; it gets no new task.", "Inspect the VM and its network if it lasts.", false},
		{745, "worker-reachable", Info, "The worker answers again.", noAction, false},
		{746, "worker-restarted", Warn, "The worker began a new life; what its former life ran is started again.", noAction, false},
		{747, "worker-read", Info, "The holder read the worker's lists for the first time.", noAction, false},
		{748, "worker-entry-bad", Warn, "An entry of the list of workers can't be used.", "Correct the entry.", false},
		{749, "worker-shunned", Warn, "Tasks of several jobs failed or stalled on the worker; it gets none for a while.", "Inspect the VM if it repeats.", false},

		{760, "accepted", Info, "A job is stored and its caller told.", noAction, false},
		{761, "refused", Info, "A job was not taken in; the reason and the time to come back follow.", noAction, false},
		{762, "cancelled", Info, "A job was cancelled by its caller.", noAction, false},
		{763, "job-ended", Info, "A job has its final state.", noAction, false},
		{764, "attempts-used-up", Warn, "A task failed as often as its queue allows; its job fails.", "Tell the team that submitted the job.", false},
		{765, "request-refused", Info, "A caller's request was answered without effect.", noAction, false},
		{766, "request-undecided", Warn, "A caller's request had no answer of the holder in time.", noAction, false},
		{767, "job-unknown", Info, "A caller asked for a job that nobody knows.", noAction, false},

		{768, "step-waiting", Info, "A step has waited for over two seconds; the cause and the counts of workers say why.", noAction, false},

		{780, "run-ordered", Info, "A task was ordered to start on a worker.", noAction, false},
		{781, "run-rejected", Info, "The worker refused the order and did nothing.", noAction, false},
		{782, "run-in-doubt", Warn, "An order had no answer; the run is stopped before the task starts elsewhere.", noAction, false},
		{783, "run-adopted", Info, "A new holder took over a run of the former one.", noAction, false},
		{769, "fillers-paced", Info, "The tasks that fill beside a serving task work slower, as its tail is over its target, or faster again.", noAction, false},
		{770, "pace-failed", Warn, "An order to pace a task had no answer or was refused; it is given again.", noAction, false},
		{789, "run-evacuated", Info, "A run was stopped on a worker that leaves; it starts elsewhere.", noAction, false},
		{784, "run-ended", Info, "A worker listed the end of a run.", noAction, false},
		{785, "run-over", Info, "A run is gone without a listed end; the cause follows.", noAction, false},
		{786, "run-stalled", Warn, "A run's progress stood still; it is started elsewhere.", noAction, false},
		{795, "run-moved", Info, "A run on a slow worker is stopped, as it ends sooner elsewhere.", noAction, false},
		{750, "worker-speed", Info, "The worker's runs take far longer than their estimates, or no longer do; slow workers are the last choice.", "Inspect the VM if it lasts.", false},
		{787, "lease-over", Warn, "The leases on a worker that doesn't answer ran out.", noAction, false},
		{788, "stop-failed", Info, "An order to stop a run failed; it is repeated.", noAction, false},
		{790, "foreign-run", Error, "A worker runs a task whose name isn't this system's.", "Find out who started it.", false},
		{791, "unknown-run", Warn, "A worker runs a task of a job that isn't stored; it is stopped.", noAction, false},
		{792, "unknown-end", Warn, "A run ended in a way that this program doesn't know; the task starts again.", "Update the program.", false},
		{793, "advised", Info, "The placement adviser named the workers that may run a step.", noAction, false},
		{794, "advice-failed", Info, "A call of the placement adviser failed; it is repeated.", noAction, false},
	}...)
	for _, d := range catalogue {
		byName[d.Name] = d
	}
}
