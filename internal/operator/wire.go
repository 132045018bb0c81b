package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Node is one entry VM as the answering node sees it.
type Node struct {
	Name          string         `json:"name"`
	PeerAddress   netip.AddrPort `json:"peers"`
	CallerAddress netip.AddrPort `json:"callers"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
	// State is "live", "suspect", "draining" or "left".
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	PolicyVersion int64  `json:"policy-version"`
	PolicyDigest  string `json:"policy-digest"`
	Sessions      int    `json:"sessions"`
	Homes         int    `json:"homes"`
	// HeartbeatAgeMS is the time since the last heartbeat, in milliseconds.
	HeartbeatAgeMS int64 `json:"heartbeat-age-ms"`
}

// Worker is one worker VM.
type Worker struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
	Rack          string         `json:"rack"`
	// Owner is the node that holds the worker's session; empty for none.
	Owner string `json:"owner"`
	// State is "live", "leaving", "quarantined" or "lost".
	State    string             `json:"state"`
	Capacity workload.Resources `json:"capacity"`
	Free     workload.Resources `json:"free"`
	Tasks    int                `json:"tasks"`
}

// Alarm is a condition that requires a person.
type Alarm struct {
	// Identity is the same on all nodes.
	Identity string    `json:"identity"`
	Since    time.Time `json:"since"`
	Meaning  string    `json:"meaning"`
	// Affected says whose work suffers.
	Affected string `json:"affected,omitempty"`
	// Action is what a person has to do.
	Action string `json:"action"`
}

// DrainState says how far a planned stop is.
type DrainState struct {
	// State is "draining" or "drained".
	State        string `json:"state"`
	OpenRequests int    `json:"open-requests"`
	Sessions     int    `json:"sessions"`
	Homes        int    `json:"homes"`
}

// Config is one version of the configuration.
type Config struct {
	Version    int64     `json:"version"`
	Digest     string    `json:"digest"`
	AcceptedAt time.Time `json:"accepted-at"`
	Sections   []Section `json:"sections"`
}

// Section is one section of the configuration with its keys in order.
type Section struct {
	Name     string    `json:"name"`
	Settings []Setting `json:"settings"`
}

// Setting is one key and its value.
type Setting struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Folder is a configuration folder; its files are merged in name order.
type Folder struct {
	Files []File `json:"files"`
}

// File is one file of a configuration folder.
type File struct {
	Name    string `json:"name"`
	Content string `json:"content"`
}

// ApplyRequest is a change of the configuration. It modifies the sections in Sections,
// or all sections that differ from BaseVersion if Sections is empty.
type ApplyRequest struct {
	// BaseVersion is the version that the change was made against.
	BaseVersion int64    `json:"base-version"`
	Reason      string   `json:"reason"`
	Sections    []string `json:"sections,omitempty"`
	Files       []File   `json:"files"`
	// Identity names the change, so that its outcome can be looked up in the
	// history after a lost answer; the node makes one if it is empty.
	Identity string `json:"identity,omitempty"`
	// Author is set by the node from the token.
	Author string `json:"-"`
}

// RecoverRequest asks a node to start a new history from its version in force.
type RecoverRequest struct {
	Reason string `json:"reason"`
}

// UnknownBase stands for a base version that is not known.
const UnknownBase = -1

// Change is an accepted or rejected change.
type Change struct {
	// Version is the version that the change made; 0 if it was rejected.
	Version int64 `json:"version"`
	// BaseVersion is UnknownBase in the history of accepted changes, which does
	// not keep it.
	BaseVersion int64 `json:"base-version"`
	// State is "accepted" or "rejected".
	State    string    `json:"state"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Sections []string  `json:"sections"`
	Digest   string    `json:"digest,omitempty"`
	Identity string    `json:"identity,omitempty"`
}

// Diff is how a folder differs from the configuration in force.
type Diff struct {
	AgainstVersion int64         `json:"against-version"`
	Sections       []SectionDiff `json:"sections"`
}

// SectionDiff is a section that differs.
type SectionDiff struct {
	Name     string        `json:"name"`
	Settings []SettingDiff `json:"settings"`
}

// SettingDiff is a key that differs; nil stands for a key that is absent.
type SettingDiff struct {
	Key string  `json:"key"`
	Old *string `json:"old"`
	New *string `json:"new"`
}

// Finding is one fault of a configuration with its place.
type Finding struct {
	File    string `json:"file,omitempty"`
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
	if text.Len() > 0 {
		text.WriteString(": ")
	}
	if f.Section != "" {
		fmt.Fprintf(&text, "[%s] ", f.Section)
	}
	if f.Key != "" {
		text.WriteString(f.Key + ": ")
	}
	return text.String() + f.Message
}

// Nodes, Workers, Alarms, History and Findings are the bodies of lists.
type (
	Nodes struct {
		Nodes []Node `json:"nodes"`
	}
	Workers struct {
		Workers []Worker `json:"workers"`
	}
	Alarms struct {
		Alarms []Alarm `json:"alarms"`
	}
	History struct {
		Changes []Change `json:"changes"`
	}
	Findings struct {
		Findings []Finding `json:"findings"`
	}
)

// Failure is the body of every error answer.
type Failure struct {
	// Status is the HTTP status; 409 is a change that another one preceded,
	// 422 a configuration with findings.
	Status   int       `json:"-"`
	Message  string    `json:"message"`
	Findings []Finding `json:"findings,omitempty"`
}

// Error returns the message and the findings, one a line.
func (f *Failure) Error() string {
	text := f.Message
	for _, finding := range f.Findings {
		text += "\n" + finding.String()
	}
	return text
}

// readBody reads a JSON body; unknown fields are errors.
func readBody[T any](c echo.Context) (T, error) {
	var body T
	// A ReadTimeout of the server would also end the context of calls that
	// take longer than it, so the deadline is for the body alone.
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response().Writer, c.Request().Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return body, &Failure{Status: http.StatusRequestEntityTooLarge, Message: fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)}
	case err != nil:
		return body, &Failure{Status: http.StatusBadRequest, Message: "the body can't be read as JSON: " + err.Error()}
	}
	return body, nil
}
