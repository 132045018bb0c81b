package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// KindRule is the effective policy of one kind of work.
type KindRule struct {
	placement.KindPolicy
	// Retries limits the retries of an idempotent task that failed or was
	// stopped on its worker. A lost or preempted one is retried without limit.
	Retries int
	// RetryBudget is the largest share of retries among the starts, from 0 to
	// 1.
	RetryBudget float64
}

// TeamRule is the effective policy of one team in one region.
type TeamRule struct {
	placement.TeamPolicy
	// Quota limits the resources that the team may use. A zero field is no
	// limit; a negative field allows nothing.
	Quota workload.Resources
	// RunningTasks limits the tasks that the team may run at once; 0 is no
	// limit, and a negative number allows nothing.
	RunningTasks int
}

// Rules is the effective policy in the form that the control thread uses.
type Rules struct {
	Kinds map[string]KindRule
	Teams map[string]TeamRule
	// AdmitUnlisted admits teams and kinds without a section in the policy. It
	// is set until the first configuration is in force.
	AdmitUnlisted bool
}

// Defaults of a kind without settings.
const (
	DefaultQueueBound  = 10_000
	DefaultRetries     = 2
	DefaultRetryBudget = 0.1
)

// DefaultRules returns rules that admit every team and kind with equal shares.
func DefaultRules() Rules { return Rules{AdmitUnlisted: true} }

func (r *Rules) kind(name string) (KindRule, bool) {
	rule, known := r.Kinds[name]
	if !known {
		rule = KindRule{Retries: DefaultRetries, RetryBudget: DefaultRetryBudget}
		rule.Name, rule.Weight, rule.Ceiling = name, 1, 1
	}
	if rule.QueueBound == 0 {
		rule.QueueBound = DefaultQueueBound
	}
	return rule, known || r.AdmitUnlisted
}

func (r *Rules) team(name string) (TeamRule, bool) {
	rule, known := r.Teams[name]
	if !known {
		rule.Name, rule.Weight = name, 1
	}
	return rule, known || r.AdmitUnlisted
}

// placementPolicy returns the policy of the placement engine, sorted by name.
func (r *Rules) placementPolicy() placement.Policy {
	var policy placement.Policy
	for _, kind := range r.Kinds {
		policy.Kinds = append(policy.Kinds, kind.KindPolicy)
	}
	for _, team := range r.Teams {
		policy.Teams = append(policy.Teams, team.TeamPolicy)
	}
	slices.SortFunc(policy.Kinds, func(a, b placement.KindPolicy) int { return compareNames(a.Name, b.Name) })
	slices.SortFunc(policy.Teams, func(a, b placement.TeamPolicy) int { return compareNames(a.Name, b.Name) })
	return policy
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

type policyState struct {
	version     uint64
	digest      uint64
	snapshot    []byte
	requestedAt time.Time
}

// policyAccepted applies a newer policy. It ignores an older one, so that a
// node never returns to a lower version.
func (n *Node) policyAccepted(in *PolicyAccepted) {
	if in.Version <= n.policy.version {
		return
	}
	n.policy.version, n.policy.digest, n.policy.snapshot = in.Version, in.Digest, in.Snapshot
	n.rules = in.Rules
	n.owner.engine.SetPolicy(n.rules.placementPolicy())
	for _, r := range n.sortedRanges() {
		n.homes[r].applyRules(&n.rules)
	}
	n.event(EventPolicyInForce, "policy", versionText(in.Version))
}

// requestNewerPolicy asks a member with a newer policy for a copy, at most once
// per RepeatAfter.
func (n *Node) requestNewerPolicy(from string, version uint64) {
	if version <= n.policy.version || n.now.Sub(n.policy.requestedAt) < n.timing.RepeatAfter {
		return
	}
	n.policy.requestedAt = n.now
	n.send(from, &PolicyRequest{Above: n.policy.version})
}

func (n *Node) policyRequest(from string, m *PolicyRequest) {
	if n.policy.version > m.Above {
		n.sendBulk(from, &PolicyCopy{Version: n.policy.version, Snapshot: n.policy.snapshot})
	}
}
