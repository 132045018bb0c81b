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

// rule describes one key that a section may have. To add a setting, add a line to
// the rules of its section.
type rule struct {
	key      string
	required bool
	// set checks the value and stores it in the settings of the loader.
	set func(l *loader, section, value string) error
}

// memberPrefix is the start of the header of a section for one member.
const memberPrefix = "member "

// sections holds the rules of all sections except those of members.
var sections = map[string][]rule{
	"node": {
		{"name", true, nameField(func(l *loader, _ string) *string { return &l.settings.Node.Name })},
		{"region", true, nameField(func(l *loader, _ string) *string { return &l.settings.Node.Region })},
		{"failure-domain", true, nameField(func(l *loader, _ string) *string { return &l.settings.Node.FailureDomain })},
	},
	"addresses": {
		{"callers", true, addressField(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Addresses.Callers })},
		{"operators", true, addressField(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Addresses.Operators })},
		{"peers", true, addressField(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Addresses.Peers })},
	},
	"cluster": {
		{"secret", false, setSecret},
		{"secret-file", false, setSecretFile},
	},
	"platform": {
		{"log", true, addressField(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Platform.Log })},
		{"vm-list", true, addressField(func(l *loader, _ string) *netip.AddrPort { return &l.settings.Platform.VMList })},
	},
	"limits": {
		{"open-requests", false, intField(1, 1_000_000, func(l *loader) *int { return &l.settings.Limits.OpenRequests })},
		{"open-requests-per-team", false, intField(1, 1_000_000, func(l *loader) *int { return &l.settings.Limits.OpenRequestsPerTeam })},
		{"connections", false, intField(1, 1_000_000, func(l *loader) *int { return &l.settings.Limits.Connections })},
		{"appends-per-second", false, intField(1, 10, func(l *loader) *int { return &l.settings.Limits.AppendsPerSecond })},
	},
	"timing": {
		{"session", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.Session })},
		{"session-renewal", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.SessionRenewal })},
		{"task-lease", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.TaskLease })},
		{"home-lease", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.HomeLease })},
		{"home-lease-renewal", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.HomeLeaseRenewal })},
		{"heartbeat", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.Heartbeat })},
		{"suspect-after", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.SuspectAfter })},
		{"keep-alive-after", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.KeepAliveAfter })},
		{"keep-alive-every", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.KeepAliveEvery })},
		{"drain-bound", false, durationField(func(l *loader) *time.Duration { return &l.settings.Timing.DrainTimeout })},
	},
	"access": {
		{"token-file", false, fileField(func(l *loader) *string { return &l.settings.Access.TokenFile })},
	},
	"tls": {
		{"certificate-file", false, fileField(func(l *loader) *string { return &l.settings.TLS.CertificateFile })},
		{"key-file", false, fileField(func(l *loader) *string { return &l.settings.TLS.KeyFile })},
	},
}

var memberRules = []rule{
	{"peers", true, addressField(func(l *loader, section string) *netip.AddrPort { return &l.member(section).Peers })},
	{"callers", true, addressField(func(l *loader, section string) *netip.AddrPort { return &l.member(section).Callers })},
	{"region", true, nameField(func(l *loader, section string) *string { return &l.member(section).Region })},
	{"failure-domain", true, nameField(func(l *loader, section string) *string { return &l.member(section).FailureDomain })},
}

// sectionOrder is the order in which sections are checked for missing keys.
var sectionOrder = []string{"node", "addresses", "cluster", "platform", "limits", "timing", "access", "tls"}

func sectionNames() []string { return append([]string{"member NAME"}, sectionOrder...) }

func knownSection(section string) bool { return rulesOf(section) != nil }

func memberName(section string) string {
	return strings.TrimSpace(strings.TrimPrefix(section, memberPrefix))
}

// rulesOf returns the rules of a section, or nil if the section is unknown.
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

// The following functions return setters. A setter checks the value and stores it
// in the field, or returns an error that says which values are allowed.

func nameField(field func(l *loader, section string) *string) func(*loader, string, string) error {
	return func(l *loader, section, value string) error {
		if err := checkName(value); err != nil {
			return err
		}
		*field(l, section) = value
		return nil
	}
}

// checkName allows only names that can be used in addresses, metrics and tables.
func checkName(value string) error {
	const maxLength = 64
	if value == "" || len(value) > maxLength {
		return fmt.Errorf("must have 1 to %d characters, got %d", maxLength, len(value))
	}
	for _, char := range value {
		if char > unicode.MaxASCII || !unicode.IsLetter(char) && !unicode.IsDigit(char) && !strings.ContainsRune("-_.", char) {
			return fmt.Errorf("may contain only letters, digits, '-', '_' and '.', got %q", value)
		}
	}
	return nil
}

func addressField(field func(l *loader, section string) *netip.AddrPort) func(*loader, string, string) error {
	return func(l *loader, section, value string) error {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil {
			return fmt.Errorf("must be an IP address and a port such as 10.0.1.1:8080, got %q", value)
		}
		*field(l, section) = parsed
		return nil
	}
}

func intField(minimum, maximum int, field func(l *loader) *int) func(*loader, string, string) error {
	return func(l *loader, _, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < minimum || parsed > maximum {
			return fmt.Errorf("must be a whole number from %d to %d, got %q", minimum, maximum, value)
		}
		*field(l) = parsed
		return nil
	}
}

func durationField(field func(l *loader) *time.Duration) func(*loader, string, string) error {
	const minimum, maximum = time.Millisecond, time.Hour
	return func(l *loader, _, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < minimum || parsed > maximum {
			return fmt.Errorf("must be a duration from %s to %s with its unit, such as 250ms or 3s, got %q", minimum, maximum, value)
		}
		*field(l) = parsed
		return nil
	}
}

// fileField returns a setter for the path of a file that can be opened.
func fileField(field func(l *loader) *string) func(*loader, string, string) error {
	return func(l *loader, _, value string) error {
		path := l.resolve(value)
		opened, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("the file %s can't be read: %s", path, rootCause(err))
		}
		_ = opened.Close()
		*field(l) = path
		return nil
	}
}

// resolve joins a relative path to the folder of the settings and returns an
// absolute path unchanged.
func (l *loader) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.folder, path)
}

// minSecretBytes is the length of 128 bits in hex, which can't be guessed.
const minSecretBytes = 32

func setSecret(l *loader, _, value string) error {
	if len(value) < minSecretBytes {
		return fmt.Errorf("must have at least %d characters, got %d", minSecretBytes, len(value))
	}
	l.settings.Cluster.Secret = Secret(value)
	return nil
}

func setSecretFile(l *loader, section, value string) error {
	path := l.resolve(value)
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("the file %s can't be read: %s", path, rootCause(err))
	}
	if info.Size() > maxFileBytes {
		return fmt.Errorf("the file %s has %d bytes, more than %d", path, info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("the file %s can't be read: %s", path, rootCause(err))
	}
	return setSecret(l, section, strings.TrimSpace(string(content)))
}

// suggestion returns the end of an error message about an unknown word. It asks
// whether the nearest known word was meant, or lists all known words if more than
// half of the word differs from each of them.
func suggestion(word string, known []string) string {
	nearest, bestDistance := "", len(word)/2+1
	for _, candidate := range known {
		if distance := editDistance(word, candidate); distance < bestDistance {
			nearest, bestDistance = candidate, distance
		}
	}
	if nearest != "" {
		return fmt.Sprintf("; did you mean %q?", nearest)
	}
	return "; expected one of " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance in bytes.
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
