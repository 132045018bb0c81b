package node

import (
	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/policy"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// nothingAllowed stands for a quota of 0, since a field of 0 is no limit to the
// control thread.
const nothingAllowed = -1

// rulesOf returns a set in the form of the control thread. Before the first
// accepted configuration, at version 0, every team and kind is admitted.
func rulesOf(set *policy.Set, version int64) control.Rules {
	rules := control.Rules{Kinds: map[string]control.KindRule{}, Teams: map[string]control.TeamRule{}, AdmitUnlisted: version == 0}
	engine, limits := set.Placement(), set.Limits()
	for i, kind := range set.Kinds() {
		rule := control.KindRule{KindPolicy: engine.Kinds[i], Retries: control.DefaultRetries, RetryBudget: kind.RetryBudget}
		if rule.QueueBound == 0 {
			rule.QueueBound = control.DefaultQueueBound
		}
		rule.QueueBound = min(rule.QueueBound, limits.WaitingTasks)
		rules.Kinds[kind.Name] = rule
	}
	for i, team := range set.Teams() {
		rules.Teams[team.Name] = control.TeamRule{
			TeamPolicy: engine.Teams[i],
			Quota: workload.Resources{
				MilliCPU: limitOf(team.Quota.MilliCPU), MemoryMB: limitOf(team.Quota.MemoryMB), Accelerators: limitOf(team.Quota.Accelerators),
			},
			RunningTasks: int(limitOf(int64(team.RunningTasks))),
		}
	}
	return rules
}

func limitOf(quota int64) int64 {
	switch quota {
	case policy.Unlimited:
		return 0
	case 0:
		return nothingAllowed
	}
	return quota
}

// CheckFolder checks a configuration folder without a node.
func CheckFolder(folder operator.Folder) []operator.Finding {
	_, findings := policy.Read(policyFiles(folder.Files))
	return operatorFindings(findings)
}

func policyFiles(files []operator.File) []policy.File {
	converted := make([]policy.File, len(files))
	for i, file := range files {
		converted[i] = policy.File{Name: file.Name, Text: file.Content}
	}
	return converted
}

func operatorFindings(findings policy.Findings) []operator.Finding {
	converted := make([]operator.Finding, len(findings))
	for i, f := range findings {
		converted[i] = operator.Finding{File: f.File, Line: f.Line, Section: f.Section, Key: f.Key, Message: f.Message}
	}
	return converted
}
