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
	State string `json:"state"`
	// Incarnation is larger after every restart of the node.
	Incarnation   uint64 `json:"incarnation"`
	PolicyVersion int64  `json:"policy-version"`
	PolicyDigest  string `json:"policy-digest"`
	// Sessions is the number of workers whose sessions the node holds.
	Sessions int `json:"sessions"`
	// Homes is the number of home leases that the node holds. It is known for the
	// answering node only, and 0 for all others.
	Homes int `json:"homes"`
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
	// Owner is the name of the node that holds the worker's session; empty if no
	// node does.
	Owner string `json:"owner"`
	// State is "live", "leaving", "quarantined" or "lost".
	State    string             `json:"state"`
	Capacity workload.Resources `json:"capacity"`
	Free     workload.Resources `json:"free"`
	// Tasks is the number of tasks on the worker.
	Tasks int `json:"tasks"`
}

// Alarm is a condition that requires action by an operator.
type Alarm struct {
	// Identity identifies the alarm; it is the same on all nodes.
	Identity string `json:"identity"`
	// Since is the time at which the condition was first observed.
	Since   time.Time `json:"since"`
	Meaning string    `json:"meaning"`
	// Affected says whose work is affected.
	Affected string `json:"affected,omitempty"`
	// Action is what the operator has to do.
	Action string `json:"action"`
}

// DrainState is the progress of a drain: the numbers of open requests, worker
// sessions and home leases that the node still has.
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

// ApplyRequest asks for a change of the configuration. It modifies the sections
// in Sections, or all sections that differ from BaseVersion if Sections is
// empty.
type ApplyRequest struct {
	// BaseVersion is the version that the change is based on.
	BaseVersion int64    `json:"base-version"`
	Reason      string   `json:"reason"`
	Sections    []string `json:"sections,omitempty"`
	Files       []File   `json:"files"`
	// Identity identifies the change, so that its outcome can be looked up in the
	// history if the response is lost; the node creates one if it is empty.
	Identity string `json:"identity,omitempty"`
	// Author is the name of the caller's token. It is set by the Server.
	Author string `json:"-"`
}

// RecoverRequest asks a node to start a new configuration history from its
// version in force.
type RecoverRequest struct {
	Reason string `json:"reason"`
}

// UnknownBase is the value of Change.BaseVersion if the base is not known.
const UnknownBase = -1

// Change is an accepted or rejected change of the configuration.
type Change struct {
	// Version is the version that the change created; 0 if it was rejected.
	Version int64 `json:"version"`
	// BaseVersion is the version that the change is based on. It is UnknownBase
	// for accepted changes in the history, which doesn't store it.
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

// Diff is the difference between a folder and the configuration in force.
type Diff struct {
	AgainstVersion int64         `json:"against-version"`
	Sections       []SectionDiff `json:"sections"`
}

// SectionDiff is a section that differs.
type SectionDiff struct {
	Name     string        `json:"name"`
	Settings []SettingDiff `json:"settings"`
}

// SettingDiff is a key whose value differs; a nil value means that the key is
// absent.
type SettingDiff struct {
	Key string  `json:"key"`
	Old *string `json:"old"`
	New *string `json:"new"`
}

// Finding is one error in a configuration and its location.
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

// Nodes, Workers, Alarms, History and Findings are the response bodies of calls
// that return lists.
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

// Failure is the body of every error response.
type Failure struct {
	// Status is the HTTP status; 409 means a conflict with another change, 422 a
	// configuration with errors.
	Status   int       `json:"-"`
	Message  string    `json:"message"`
	Findings []Finding `json:"findings,omitempty"`
}

// Error returns the message and the findings, one per line.
func (f *Failure) Error() string {
	text := f.Message
	for _, finding := range f.Findings {
		text += "\n" + finding.String()
	}
	return text
}

// readBody decodes the JSON body of a call. It returns a *Failure with status
// 413 if the body is larger than MaxBodyBytes, and 400 if it is not valid JSON
// or has an unknown field.
func readBody[T any](c echo.Context) (T, error) {
	var body T
	// The deadline applies to the body only. http.Server.ReadTimeout would also
	// cancel the context of calls that take longer than it.
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetReadDeadline(time.Now().Add(readBodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
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
