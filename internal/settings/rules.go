package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// rule is one key that a section may have. A new setting is one line in the
// table of its section.
type rule struct {
	key      string
	required bool
	set      func(l *loader, section, value string) error
}

// memberPrefix starts the name of a section for one member.
const memberPrefix = "member "

var sections = map[string][]rule{
	"node": {
		{"name", true, name(func(l *loader, _ string) *string { return &l.settings.Node.Name })},
		{"region", true, name(func(l *loader, _ string) *string { return &l.settings.Node.Region })},
		{"failure-domain", true, name(func(l *loader, _ string) *string { return &l.settings.Node.FailureDomain })},
	},
	"addresses": {
		{"callers", true, address(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Addresses.Callers })},
		{"operators", true, address(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Addresses.Operators })},
		{"peers", true, address(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Addresses.Peers })},
	},
	"cluster": {
		{"secret", false, secret},
		{"secret-file", false, secretFile},
	},
	"platform": {
		{"log", true, address(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Platform.Log })},
		{"vm-list", true, address(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Platform.VMList })},
	},
	"limits": {
		{"open-requests", false, number(1, 1_000_000, func(l *loader) *int { return &l.settings.Limits.OpenRequests })},
		{"open-requests-per-team", false, number(1, 1_000_000, func(l *loader) *int { return &l.settings.Limits.OpenRequestsPerTeam })},
		{"connections", false, number(1, 1_000_000, func(l *loader) *int { return &l.settings.Limits.Connections })},
		{"appends-per-second", false, number(1, 10, func(l *loader) *int { return &l.settings.Limits.AppendsPerSecond })},
	},
	"timing": {
		{"session", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.Session })},
		{"session-renewal", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.SessionRenewal })},
		{"task-lease", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.TaskLease })},
		{"home-lease", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.HomeLease })},
		{"home-lease-renewal", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.HomeLeaseRenewal })},
		{"heartbeat", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.Heartbeat })},
		{"suspect-after", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.SuspectAfter })},
		{"keep-alive-after", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.KeepAliveAfter })},
		{"keep-alive-every", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.KeepAliveEvery })},
		{"drain-bound", false, interval(func(l *loader) *time.Duration { return &l.settings.Timing.DrainTimeout })},
	},
	"access": {
		{"token-file", false, file(func(l *loader) *string { return &l.settings.Access.TokenFile })},
	},
	"tls": {
		{"certificate-file", false, file(func(l *loader) *string { return &l.settings.TLS.CertificateFile })},
		{"key-file", false, file(func(l *loader) *string { return &l.settings.TLS.KeyFile })},
	},
}

var memberRules = []rule{
	{"peers", true, address(func(l *loader, section string) *netip.AddrPort { return &l.member(section).Peers })},
	{"callers", true, address(func(l *loader, section string) *netip.AddrPort { return &l.member(section).Callers })},
	{"region", true, name(func(l *loader, section string) *string { return &l.member(section).Region })},
	{"failure-domain", true, name(func(l *loader, section string) *string { return &l.member(section).FailureDomain })},
}

// sectionOrder is the order in which missing keys are reported.
var sectionOrder = []string{"node", "addresses", "cluster", "platform", "limits", "timing", "access", "tls"}

func sectionNames() []string { return append([]string{"member NAME"}, sectionOrder...) }

func knownSection(section string) bool { return rulesOf(section) != nil }

func memberName(section string) string {
	return strings.TrimSpace(strings.TrimPrefix(section, memberPrefix))
}

func rulesOf(section string) []rule {
	if strings.HasPrefix(section, memberPrefix) && memberName(section) != "" {
		return memberRules
	}
	return sections[section]
}

func keyNames(rules []rule) []string {
	names := make([]string, len(rules))
	for i, rule := range rules {
		names[i] = rule.key
	}
	return names
}

func name(field func(l *loader, section string) *string) func(*loader, string, string) error {
	return func(l *loader, section, value string) error {
		if err := checkName(value); err != nil {
			return err
		}
		*field(l, section) = value
		return nil
	}
}

// checkName keeps names usable in addresses, metrics and tables.
func checkName(value string) error {
	const longest = 64
	if value == "" || len(value) > longest {
		return fmt.Errorf("must have 1 to %d characters, got %d", longest, len(value))
	}
	for _, char := range value {
		if char > unicode.MaxASCII || !unicode.IsLetter(char) && !unicode.IsDigit(char) && !strings.ContainsRune("-_.", char) {
			return fmt.Errorf("may hold letters, digits, '-', '_' and '.', got %q", value)
		}
	}
	return nil
}

func address(field func(l *loader, section string) *netip.AddrPort) func(*loader, string, string) error {
	return func(l *loader, section, value string) error {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil {
			return fmt.Errorf("must be an IP address and a port such as 10.0.1.1:8080, got %q", value)
		}
		*field(l, section) = parsed
		return nil
	}
}

func number(minimum, maximum int, field func(l *loader) *int) func(*loader, string, string) error {
	return func(l *loader, _, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < minimum || parsed > maximum {
			return fmt.Errorf("must be a whole number from %d to %d, got %q", minimum, maximum, value)
		}
		*field(l) = parsed
		return nil
	}
}

func interval(field func(l *loader) *time.Duration) func(*loader, string, string) error {
	const shortest, longest = time.Millisecond, time.Hour
	return func(l *loader, _, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < shortest || parsed > longest {
			return fmt.Errorf("must be a duration from %s to %s with its unit, such as 250ms or 3s, got %q", shortest, longest, value)
		}
		*field(l) = parsed
		return nil
	}
}

func file(field func(l *loader) *string) func(*loader, string, string) error {
	return func(l *loader, _, value string) error {
		path := l.resolve(value)
		opened, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("the file %s can't be read: %s", path, reason(err))
		}
		_ = opened.Close()
		*field(l) = path
		return nil
	}
}

func (l *loader) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.folder, path)
}

// minSecretBytes keeps a secret from being guessed; it is 128 bits in hex.
const minSecretBytes = 32

func secret(l *loader, _, value string) error {
	if len(value) < minSecretBytes {
		return fmt.Errorf("must have at least %d characters, got %d", minSecretBytes, len(value))
	}
	l.settings.Cluster.Secret = Secret(value)
	return nil
}

func secretFile(l *loader, section, value string) error {
	path := l.resolve(value)
	about, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("the file %s can't be read: %s", path, reason(err))
	}
	if about.Size() > maxFileBytes {
		return fmt.Errorf("the file %s has %d bytes, more than %d", path, about.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("the file %s can't be read: %s", path, reason(err))
	}
	return secret(l, section, strings.TrimSpace(string(content)))
}

// suggest names the known word that is nearest, if one is near enough to be
// meant, and otherwise lists them all.
func suggest(word string, known []string) string {
	nearest, least := "", len(word)/2+1
	for _, candidate := range known {
		if distance := editDistance(word, candidate); distance < least {
			nearest, least = candidate, distance
		}
	}
	if nearest != "" {
		return fmt.Sprintf("; did you mean %q?", nearest)
	}
	return "; known are " + strings.Join(known, ", ")
}

// editDistance is the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
