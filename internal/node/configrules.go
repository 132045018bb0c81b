package node

import (
	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/policy"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// zeroQuota represents a quota of 0 in the control state, where 0 means no limit.
const zeroQuota = -1

// controlRules converts a configuration set to the rules of the control state. At
// version 0, before the first accepted configuration, every team and kind is
// admitted.
func controlRules(set *policy.Set, version int64) control.Rules {
	rules := control.Rules{Kinds: map[string]control.KindRule{}, Teams: map[string]control.TeamRule{}, AdmitUnlisted: version == 0}
	placementPolicy, limits := set.Placement(), set.Limits()
	for i, kind := range set.Kinds() {
		rule := control.KindRule{KindPolicy: placementPolicy.Kinds[i], Retries: control.DefaultRetries, RetryBudget: kind.RetryBudget}
		if rule.QueueBound == 0 {
			rule.QueueBound = control.DefaultQueueBound
		}
		rule.QueueBound = min(rule.QueueBound, limits.WaitingTasks)
		rules.Kinds[kind.Name] = rule
	}
	for i, team := range set.Teams() {
		rules.Teams[team.Name] = control.TeamRule{
			TeamPolicy: placementPolicy.Teams[i],
			Quota: workload.Resources{
				MilliCPU: controlLimit(team.Quota.MilliCPU), MemoryMB: controlLimit(team.Quota.MemoryMB), Accelerators: controlLimit(team.Quota.Accelerators),
			},
			RunningTasks: int(controlLimit(int64(team.RunningTasks))),
		}
	}
	return rules
}

// controlLimit converts a quota of the configuration to that of the control state.
func controlLimit(quota int64) int64 {
	switch quota {
	case policy.Unlimited:
		return 0
	case 0:
		return zeroQuota
	}
	return quota
}

// CheckFolder validates a configuration folder and returns its findings. It needs no
// running node.
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
