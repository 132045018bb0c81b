package settings

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// validate checks what concerns more than one setting: missing keys, conflicting
// members and addresses, and durations that contradict each other.
func (l *loader) validate() {
	l.checkRequired()
	l.collectMembers()
	l.checkCluster()
	l.checkAddresses()
	l.checkTiming()
	if (l.settings.TLS.CertificateFile == "") != (l.settings.TLS.KeyFile == "") {
		l.addKeyFinding("tls", "key-file", "certificate-file and key-file must be set together")
	}
	if l.settings.Limits.OpenRequestsPerTeam > l.settings.Limits.OpenRequests {
		l.addKeyFinding("limits", "open-requests-per-team", "must be at most open-requests (%d)", l.settings.Limits.OpenRequests)
	}
}

func (l *loader) checkRequired() {
	for _, section := range sectionOrder {
		l.checkRequiredKeys(section)
	}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		l.checkRequiredKeys(memberPrefix + name)
	}
}

func (l *loader) checkRequiredKeys(section string) {
	for _, rule := range rulesOf(section) {
		if _, set := l.positions[settingKey{section, rule.key}]; rule.required && !set {
			l.addKeyFinding(section, rule.key, "is missing")
		}
	}
}

func (l *loader) collectMembers() {
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		if err := checkName(name); err != nil {
			l.addKeyFinding(memberPrefix+name, "", "the name of the member %s", err)
		}
		l.settings.Members = append(l.settings.Members, *l.members[name])
	}
	if len(l.settings.Members) > maxMembers {
		l.addKeyFinding("", "", "there are %d members, more than %d", len(l.settings.Members), maxMembers)
	}
}

func (l *loader) checkCluster() {
	_, inline := l.positions[settingKey{"cluster", "secret"}]
	_, inFile := l.positions[settingKey{"cluster", "secret-file"}]
	switch {
	case inline && inFile:
		l.addKeyFinding("cluster", "secret", "secret and secret-file must not both be set")
	case !inline && !inFile:
		l.addKeyFinding("cluster", "secret", "secret or secret-file must be set")
	}
}

// checkAddresses reports addresses that are used twice. It also reports port 0,
// which means any free port, for addresses that are not the process's own.
func (l *loader) checkAddresses() {
	type addressSetting struct {
		settingKey settingKey
		address    netip.AddrPort
		remote     bool
	}
	tcp := []addressSetting{
		{settingKey{"addresses", "callers"}, l.settings.Addresses.Callers, false},
		{settingKey{"addresses", "operators"}, l.settings.Addresses.Operators, false},
		{settingKey{"platform", "log"}, l.settings.Platform.Log, true},
		{settingKey{"platform", "vm-list"}, l.settings.Platform.VMList, true},
	}
	for _, member := range l.settings.Members {
		if member.Name == l.settings.Node.Name {
			l.checkOwnMember(member)
			continue
		}
		tcp = append(tcp, addressSetting{settingKey{memberPrefix + member.Name, "callers"}, member.Callers, true})
	}
	// Peers use UDP, so their ports may equal those of the TCP addresses.
	udp := []addressSetting{{settingKey{"addresses", "peers"}, l.settings.Addresses.Peers, false}}
	for _, member := range l.settings.Members {
		if member.Name != l.settings.Node.Name {
			udp = append(udp, addressSetting{settingKey{memberPrefix + member.Name, "peers"}, member.Peers, true})
		}
	}
	for _, protocol := range [][]addressSetting{tcp, udp} {
		used := map[netip.AddrPort]settingKey{}
		for _, setting := range protocol {
			first, duplicate := used[setting.address]
			switch {
			case setting.remote && setting.address.IsValid() && setting.address.Port() == 0:
				l.addKeyFinding(setting.settingKey.section, setting.settingKey.key, "must have a port other than 0")
			case duplicate && setting.address.IsValid() && setting.address.Port() != 0:
				l.addKeyFinding(setting.settingKey.section, setting.settingKey.key, "%s is already the address of [%s] %s", setting.address, first.section, first.key)
			}
			used[setting.address] = setting.settingKey
		}
	}
}

// checkOwnMember compares the optional member section of this node with the node's
// own settings. The section lets all nodes use the same list of members.
func (l *loader) checkOwnMember(member Member) {
	section := memberPrefix + member.Name
	node := l.settings
	for _, pair := range []struct{ key, nodeValue, memberValue string }{
		{"peers", node.Addresses.Peers.String(), member.Peers.String()},
		{"callers", node.Addresses.Callers.String(), member.Callers.String()},
		{"region", node.Node.Region, member.Region},
		{"failure-domain", node.Node.FailureDomain, member.FailureDomain},
	} {
		valid := l.valid(settingKey{nodeSection(pair.key), pair.key}) && l.valid(settingKey{section, pair.key})
		if valid && pair.nodeValue != pair.memberValue {
			l.addKeyFinding(section, pair.key, "is %q, but this node's own setting is %q", pair.memberValue, pair.nodeValue)
		}
	}
}

// valid reports whether a setting is set and its value is valid.
func (l *loader) valid(setting settingKey) bool {
	_, set := l.positions[setting]
	return set && !l.invalid[setting]
}

// nodeSection returns the section in which a node sets a key of a member section
// for itself.
func nodeSection(key string) string {
	if key == "peers" || key == "callers" {
		return "addresses"
	}
	return "node"
}

// callerIdleTimeout equals caller.DefaultSilence, the default time without data
// after which a client aborts a call.
const callerIdleTimeout = 20 * time.Second

func (l *loader) checkTiming() {
	if slices.ContainsFunc(l.findings, func(finding Finding) bool { return finding.Section == "timing" }) {
		return // The default would be compared instead of the invalid value.
	}
	timing := l.settings.Timing
	for _, limit := range []struct {
		key         string
		value       time.Duration
		maximumName string
		maximum     time.Duration
		reason      string
	}{
		{"session-renewal", timing.SessionRenewal, "half of session", timing.Session / 2, "one lost renewal must not end a session"},
		{"home-lease-renewal", timing.HomeLeaseRenewal, "half of home-lease", timing.HomeLease / 2, "one lost renewal must not end a home lease"},
		{"heartbeat", timing.Heartbeat, "half of suspect-after", timing.SuspectAfter / 2, "one lost heartbeat must not make a member suspect"},
		{"session", timing.Session, "half of task-lease", timing.TaskLease / 2, "the next owner must open a session before running tasks expire"},
		{"keep-alive-after", timing.KeepAliveAfter, "three quarters of the callers' idle timeout", callerIdleTimeout * 3 / 4, "callers would abort calls that are waiting"},
		{"keep-alive-every", timing.KeepAliveEvery, "half of the callers' idle timeout", callerIdleTimeout / 2, "one late keep-alive byte must not end a connection"},
	} {
		if limit.value > limit.maximum {
			l.addKeyFinding("timing", limit.key, "%s is more than %s (%s): %s", limit.value, limit.maximumName, limit.maximum, limit.reason)
		}
	}
}
