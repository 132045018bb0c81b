package settings

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// checkWhole checks what no single key shows: missing keys, members that
// clash, and intervals that break each other.
func (l *loader) checkWhole() {
	l.checkRequired()
	l.collectMembers()
	l.checkCluster()
	l.checkAddresses()
	l.checkTiming()
	if (l.settings.TLS.CertificateFile == "") != (l.settings.TLS.KeyFile == "") {
		l.addAt("tls", "key-file", "certificate-file and key-file must be set together")
	}
	if l.settings.Limits.OpenRequestsPerTeam > l.settings.Limits.OpenRequests {
		l.addAt("limits", "open-requests-per-team", "must be at most open-requests (%d)", l.settings.Limits.OpenRequests)
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
		if _, set := l.places[place{section, rule.key}]; rule.required && !set {
			l.addAt(section, rule.key, "is missing")
		}
	}
}

func (l *loader) collectMembers() {
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		if err := checkName(name); err != nil {
			l.addAt(memberPrefix+name, "", "the name of the member %s", err)
		}
		l.settings.Members = append(l.settings.Members, *l.members[name])
	}
	if len(l.settings.Members) > maxMembers {
		l.addAt("", "", "there are %d members, more than %d", len(l.settings.Members), maxMembers)
	}
}

func (l *loader) checkCluster() {
	_, inline := l.places[place{"cluster", "secret"}]
	_, inFile := l.places[place{"cluster", "secret-file"}]
	switch {
	case inline && inFile:
		l.addAt("cluster", "secret", "secret and secret-file must not both be set")
	case !inline && !inFile:
		l.addAt("cluster", "secret", "secret or secret-file must be set")
	}
}

// checkAddresses lets port 0 pass for the process's own addresses only, where
// it means any free port.
func (l *loader) checkAddresses() {
	type use struct {
		place   place
		address netip.AddrPort
		foreign bool
	}
	uses := []use{
		{place{"addresses", "callers"}, l.settings.Addresses.Callers, false},
		{place{"addresses", "operators"}, l.settings.Addresses.Operators, false},
		{place{"platform", "log"}, l.settings.Platform.Log, true},
		{place{"platform", "vm-list"}, l.settings.Platform.VMList, true},
	}
	for _, member := range l.settings.Members {
		if member.Name == l.settings.Node.Name {
			l.checkSelf(member)
			continue
		}
		uses = append(uses, use{place{memberPrefix + member.Name, "callers"}, member.Callers, true})
	}
	// Peers use UDP, so their ports may equal those of the TCP addresses.
	udp := []use{{place{"addresses", "peers"}, l.settings.Addresses.Peers, false}}
	for _, member := range l.settings.Members {
		if member.Name != l.settings.Node.Name {
			udp = append(udp, use{place{memberPrefix + member.Name, "peers"}, member.Peers, true})
		}
	}
	for _, protocol := range [][]use{uses, udp} {
		taken := map[netip.AddrPort]place{}
		for _, use := range protocol {
			first, clash := taken[use.address]
			switch {
			case use.foreign && use.address.IsValid() && use.address.Port() == 0:
				l.addAt(use.place.section, use.place.key, "must have a port other than 0")
			case clash && use.address.IsValid() && use.address.Port() != 0:
				l.addAt(use.place.section, use.place.key, "%s is the address of [%s] %s already", use.address, first.section, first.key)
			}
			taken[use.address] = use.place
		}
	}
}

// checkSelf compares the member section of this node, which is optional, with
// its own settings, so that one member list can be shared by all nodes.
func (l *loader) checkSelf(member Member) {
	section := memberPrefix + member.Name
	own := l.settings
	for _, pair := range []struct{ key, here, there string }{
		{"peers", own.Addresses.Peers.String(), member.Peers.String()},
		{"callers", own.Addresses.Callers.String(), member.Callers.String()},
		{"region", own.Node.Region, member.Region},
		{"failure-domain", own.Node.FailureDomain, member.FailureDomain},
	} {
		usable := l.usable(place{ownSection(pair.key), pair.key}) && l.usable(place{section, pair.key})
		if usable && pair.here != pair.there {
			l.addAt(section, pair.key, "is %q, but this node's own setting is %q", pair.there, pair.here)
		}
	}
}

// usable reports whether a key is set and has no finding of its own.
func (l *loader) usable(where place) bool {
	_, set := l.places[where]
	return set && !l.faulty[where]
}

// ownSection is where a node sets for itself what a member section has too.
func ownSection(key string) string {
	if key == "peers" || key == "callers" {
		return "addresses"
	}
	return "node"
}

// callerSilence is the silence after which callers give a connection up
// (caller.DefaultSilence).
const callerSilence = 20 * time.Second

func (l *loader) checkTiming() {
	if slices.ContainsFunc(l.findings, func(finding Finding) bool { return finding.Section == "timing" }) {
		return // A default would be compared in place of the faulty value.
	}
	timing := l.settings.Timing
	for _, bound := range []struct {
		key     string
		value   time.Duration
		than    string
		maximum time.Duration
		why     string
	}{
		{"session-renewal", timing.SessionRenewal, "half of session", timing.Session / 2, "one lost renewal must not end a session"},
		{"home-lease-renewal", timing.HomeLeaseRenewal, "half of home-lease", timing.HomeLease / 2, "one lost renewal must not end a home lease"},
		{"heartbeat", timing.Heartbeat, "half of suspect-after", timing.SuspectAfter / 2, "one lost heartbeat must not make a member suspect"},
		{"session", timing.Session, "half of task-lease", timing.TaskLease / 2, "the next owner must open a session before running tasks expire"},
		{"keep-alive-after", timing.KeepAliveAfter, "three quarters of callers' silence bound", callerSilence * 3 / 4, "callers would take a waiting connection for dead"},
		{"keep-alive-every", timing.KeepAliveEvery, "half of callers' silence bound", callerSilence / 2, "one late space must not end a connection"},
	} {
		if bound.value > bound.maximum {
			l.addAt("timing", bound.key, "%s is more than %s (%s): %s", bound.value, bound.than, bound.maximum, bound.why)
		}
	}
}
