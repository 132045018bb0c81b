// Package settings reads the settings of a process: its name and location, the
// addresses that it listens on, the other members of the cluster and the addresses
// of the platform.
//
// Settings are one INI file, or a folder whose *.ini files are merged in the order
// of their names, so that a later file overrides single keys of an earlier one.
// All faults are reported together, each as a finding with file, line, section and
// key.
//
// # Usage
//
//	[node]
//	name           = entry-1
//	region         = punjab
//	failure-domain = lahore
//	[addresses]
//	callers   = 10.0.1.1:8080
//	operators = 10.0.1.1:8081
//	peers     = 10.0.1.1:8082
//	[cluster]
//	secret-file = cluster.secret
//	[member entry-2]
//	peers          = 10.0.2.1:8082
//	callers        = 10.0.2.1:8080
//	region         = sindh
//	failure-domain = karachi
//	[platform]
//	log     = 10.0.9.1:7000
//	vm-list = 10.0.9.1:7001
//
//	settings, err := settings.Load("/etc/yuccalanding")
//	var findings settings.Findings
//	if errors.As(err, &findings) {
//		// findings holds one entry for each fault.
//	}
//
// Durations are written as in Go ("250ms", "3s"). A comment starts with "#" or
// ";" at the start of a line or after a space. Relative file names are relative
// to the folder of the settings.
package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Settings are the valid settings of one process.
type Settings struct {
	Node      Node
	Addresses Addresses
	Cluster   Cluster
	// Members are the other entry VMs and possibly this one, sorted by name.
	Members  []Member
	Platform Platform
	Limits   Limits
	Timing   Timing
	Access   Access
	TLS      TLS
}

// Node is the identity and the location of the process.
type Node struct {
	Name          string
	Region        string
	FailureDomain string
}

// Addresses are the addresses that the process listens on.
type Addresses struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
}

// Cluster holds settings that must be equal on all nodes.
type Cluster struct {
	// Secret authenticates connections between nodes.
	Secret Secret
}

// Secret is a value that is never printed.
type Secret string

// String hides the secret.
func (Secret) String() string { return "(secret)" }

// GoString hides the secret.
func (Secret) GoString() string { return "(secret)" }

// MarshalText hides the secret in dumps and JSON. It never returns an error.
func (Secret) MarshalText() ([]byte, error) { return []byte("(secret)"), nil }

// Member is an entry VM that the process knows from its settings.
type Member struct {
	Name          string
	Peers         netip.AddrPort
	Callers       netip.AddrPort
	Region        string
	FailureDomain string
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log    netip.AddrPort
	VMList netip.AddrPort
}

// Limits are the largest numbers of requests, connections and appends.
type Limits struct {
	OpenRequests        int
	OpenRequestsPerTeam int
	Connections         int
	// AppendsPerSecond is the largest number of appends to the log per second.
	AppendsPerSecond int
}

// Timing holds durations. All nodes of a cluster must use the same values.
type Timing struct {
	// Session is how long a node's session with a worker lasts without a renewal.
	Session time.Duration
	// SessionRenewal is the time between two renewals of a session.
	SessionRenewal time.Duration
	// TaskLease is how long a task runs on without a renewal.
	TaskLease time.Duration
	// HomeLease is how long a home lease lasts without a renewal.
	HomeLease time.Duration
	// HomeLeaseRenewal is the time between two renewals of a home lease.
	HomeLeaseRenewal time.Duration
	// Heartbeat is the time between two heartbeats of a node.
	Heartbeat time.Duration
	// SuspectAfter is the time without a heartbeat after which a member is suspect.
	SuspectAfter time.Duration
	// While a caller waits for a result, the node sends a space after
	// KeepAliveAfter and then every KeepAliveEvery, to keep the connection open.
	KeepAliveAfter time.Duration
	KeepAliveEvery time.Duration
	// DrainTimeout is the maximum duration of a drain; the node stops after it even
	// if requests are still open.
	DrainTimeout time.Duration
}

// Access configures how callers and operators are authorized.
type Access struct {
	// TokenFile is the path of the token file. If it is empty, loopback addresses
	// have access without a token and other addresses have none.
	TokenFile string
}

// TLS holds the paths of the certificate and the key for the addresses of callers
// and operators. Either both are empty or both are set.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// Defaults returns the values of all optional settings. The durations are those of
// docs/design.md.
func Defaults() Settings {
	return Settings{
		Limits: Limits{OpenRequests: 20_000, OpenRequestsPerTeam: 5_000, Connections: 25_000, AppendsPerSecond: 10},
		Timing: Timing{
			Session: 3 * time.Second, SessionRenewal: time.Second, TaskLease: 20 * time.Second,
			HomeLease: 2 * time.Second, HomeLeaseRenewal: 500 * time.Millisecond,
			Heartbeat: 250 * time.Millisecond, SuspectAfter: 1500 * time.Millisecond,
			KeepAliveAfter: 10 * time.Second, KeepAliveEvery: 5 * time.Second, DrainTimeout: time.Minute,
		},
	}
}

// Finding is one fault of the settings with its position. Line is 0 if the fault
// has no line, for example for a missing key.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as "file:line: [section] key: message".
func (f Finding) String() string {
	var text strings.Builder
	text.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&text, ":%d", f.Line)
	}
	text.WriteString(": ")
	if f.Section != "" {
		fmt.Fprintf(&text, "[%s] ", f.Section)
	}
	if f.Key != "" {
		text.WriteString(f.Key + ": ")
	}
	return text.String() + f.Message
}

// Findings are all faults of the settings, sorted by file and line.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
