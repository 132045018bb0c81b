package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/policy"
)

// Limits on operators' calls that change the configuration.
const (
	// applyTimeout is how long a call waits until its change is read back from the
	// log. It is longer than the longest timeout of one append, and shorter than the
	// minute for which the command line waits for the response.
	applyTimeout = 40 * time.Second
	// baseVersionTimeout is how long a call waits for its base version: another node
	// may have accepted it already, while this node has not replayed it yet.
	baseVersionTimeout = 2 * time.Second
	// maxPendingChanges bounds the number of calls that wait for their change to be
	// read back.
	maxPendingChanges = 64
)

// The states of a change.
const (
	stateAccepted = "accepted"
	stateRejected = "rejected"
)

// check validates a configuration folder and returns its findings.
func (c *configuration) check(_ context.Context, folder operator.Folder) ([]operator.Finding, error) {
	return CheckFolder(folder), nil
}

// apply checks a change, appends it to the log and waits until its record is read
// back. Every node decides on the record by the same rules, so that all accept it
// or all reject it. For a change that was accepted under the same identity before,
// it returns that result. Refusals are errors of type *operator.Failure.
func (c *configuration) apply(ctx context.Context, request operator.ApplyRequest) (operator.Change, error) {
	if previous, found := c.findAccepted(request.Identity); found {
		return previous, nil
	}
	change, err := c.prepare(ctx, request)
	if err != nil {
		return operator.Change{}, err
	}
	if !c.process.logAdapter.logUp.Load() {
		return operator.Change{}, notAppliedError("the log takes no appends")
	}
	outcomes, err := c.addPending(change.Identity)
	if err != nil {
		return operator.Change{}, err
	}
	defer c.removePending(change.Identity)
	record, err := journal.NewRecord(journal.KindPolicyChange, c.process.options.Settings.Node.Name, change.CreatedAt, change)
	if err != nil {
		return operator.Change{}, err
	}
	record.Identity = change.Identity
	appended, err := c.process.journal.Append(record)
	if err != nil {
		return operator.Change{}, notAppliedError(err.Error())
	}
	c.process.metrics.countRecord(string(journal.KindPolicyChange))
	c.process.logAdapter.addUnresolved(change.Identity, journal.KindPolicyChange)
	defer c.process.logAdapter.removeUnresolved(change.Identity)
	return c.awaitOutcome(ctx, &change, outcomes, appended)
}

// awaitOutcome waits until the change is read back, its append definitely fails, or
// applyTimeout has passed.
func (c *configuration) awaitOutcome(ctx context.Context, change *policy.Change, outcomes <-chan changeOutcome, appended <-chan journal.Result) (operator.Change, error) {
	timeout := time.NewTimer(applyTimeout)
	defer timeout.Stop()
	for {
		select {
		case outcome := <-outcomes:
			return changeResult(change, outcome)
		case result := <-appended:
			appended = nil
			if result.Err != nil && !errors.Is(result.Err, journal.ErrOutcomeUnknown) {
				return operator.Change{}, notAppliedError(result.Err.Error())
			}
		case <-timeout.C:
			return operator.Change{}, c.abandon(change.Identity, "its record was not read back within "+applyTimeout.String())
		case <-ctx.Done():
			return operator.Change{}, c.abandon(change.Identity, "the call ended before its record was read back")
		}
	}
}

// abandon returns the failure for a change whose outcome is no longer waited for. It
// withdraws the change if it was not sent to the log yet; otherwise the failure says
// that the outcome is unknown.
func (c *configuration) abandon(identity, reason string) error {
	if c.process.journal.Withdraw(identity) {
		return notAppliedError(reason + " and it was withdrawn before it was sent")
	}
	return &operator.Failure{Status: http.StatusGatewayTimeout, Message: fmt.Sprintf(
		"the outcome of change %s is unknown: %s; it may still be accepted. Look it up with: config history --identity %s", identity, reason, identity)}
}

// notAppliedError is the failure of a change that is certain not to be in the log.
func notAppliedError(reason string) error {
	return &operator.Failure{Status: http.StatusServiceUnavailable, Message: "the change was not applied and won't be: " + reason}
}

// addPending registers a change and returns the channel of its outcome.
func (c *configuration) addPending(identity string) (<-chan changeOutcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingChanges || c.pending[identity] != nil {
		return nil, notAppliedError("too many changes wait for the log, or this one does already; try again")
	}
	outcomes := make(chan changeOutcome, 1)
	c.pending[identity] = outcomes
	return outcomes, nil
}

// removePending removes a change for which no call waits any more.
func (c *configuration) removePending(identity string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, identity)
}

// prepare computes the change from the folder and applies it to a copy of the
// history, so that all findings are reported before anything is written.
func (c *configuration) prepare(ctx context.Context, request operator.ApplyRequest) (policy.Change, error) {
	set, findings := policy.Read(policyFiles(request.Files))
	if len(findings) > 0 {
		return policy.Change{}, unprocessableError("the folder has findings", findings)
	}
	base, err := c.awaitBaseVersion(ctx, request.BaseVersion)
	if err != nil {
		return policy.Change{}, err
	}
	change := policy.Diff(set, base.set, request.BaseVersion)
	if len(request.Sections) > 0 {
		change.Sections = slices.DeleteFunc(change.Sections, func(s policy.SectionChange) bool { return !slices.Contains(request.Sections, s.Name) })
	}
	if len(change.Sections) == 0 {
		return policy.Change{}, &operator.Failure{Status: http.StatusUnprocessableEntity, Message: fmt.Sprintf("the folder, or its named sections, don't differ from version %d", request.BaseVersion)}
	}
	change.Identity, change.Author, change.Reason, change.CreatedAt = request.Identity, request.Author, request.Reason, time.Now()
	if change.Identity == "" {
		change.Identity = uuid.NewString()
	}
	return change, c.dryRun(change)
}

// dryRun applies the change to a copy of the history. Its error distinguishes a
// change that is invalid against the set in force from one that conflicts with a
// newer change.
func (c *configuration) dryRun(change policy.Change) error {
	c.mu.Lock()
	snapshot, complete := c.history.Snapshot()
	set := c.history.Set()
	c.mu.Unlock()
	if !complete {
		return notAppliedError("this node waits for a snapshot of the configuration; apply it at another node")
	}
	_, setFindings := set.With(change)
	historyCopy := policy.NewHistory()
	if snapshot.LastOffset >= 0 {
		if _, findings := historyCopy.InstallSnapshot(snapshot); len(findings) > 0 {
			return unprocessableError("this node's copy of the configuration can't be used", findings)
		}
	}
	accepted, findings := historyCopy.Apply(snapshot.LastOffset+1, change)
	switch {
	case accepted:
		return nil
	case slices.Equal(findings, setFindings):
		return unprocessableError("the change doesn't fit the configuration in force", findings)
	}
	return conflictError(append(findings, setFindings...))
}

// unprocessableError is the failure of an invalid folder or change.
func unprocessableError(message string, findings policy.Findings) error {
	return &operator.Failure{Status: http.StatusUnprocessableEntity, Message: message, Findings: operatorFindings(findings)}
}

// conflictError is the failure of a change that conflicts with the history, such as
// one to a section that was changed after the base version.
func conflictError(findings policy.Findings) error {
	return &operator.Failure{Status: http.StatusConflict, Message: "another change came first", Findings: operatorFindings(findings)}
}

// awaitBaseVersion returns the version that a change was made against. If this node
// has not reached that version yet, it waits up to baseVersionTimeout.
func (c *configuration) awaitBaseVersion(ctx context.Context, number int64) (policyVersion, error) {
	timeout := time.NewTimer(baseVersionTimeout)
	defer timeout.Stop()
	for {
		c.mu.Lock()
		newest, versionChanged := c.versions[len(c.versions)-1].Number, c.versionChanged
		i := slices.IndexFunc(c.versions, func(v policyVersion) bool { return v.Number == number })
		var base policyVersion
		if i >= 0 {
			base = c.versions[i]
		}
		c.mu.Unlock()
		switch {
		case i >= 0:
			return base, nil
		case number < newest:
			return policyVersion{}, &operator.Failure{Status: http.StatusConflict, Message: fmt.Sprintf("version %d is not kept here any more; make the change against version %d", number, newest)}
		}
		select {
		case <-versionChanged:
		case <-timeout.C:
			return policyVersion{}, &operator.Failure{Status: http.StatusConflict, Message: fmt.Sprintf("there is no version %d here yet; the newest is version %d", number, newest)}
		case <-ctx.Done():
			return policyVersion{}, ctx.Err()
		}
	}
}

// changeResult returns the response for a change that was read back.
func changeResult(change *policy.Change, outcome changeOutcome) (operator.Change, error) {
	if outcome.accepted == nil {
		message := fmt.Sprintf("change %s was rejected at its place in the log", change.Identity)
		return operator.Change{}, &operator.Failure{Status: http.StatusConflict, Message: message, Findings: operatorFindings(outcome.findings)}
	}
	return operatorChange(outcome.accepted, change.Base), nil
}

// operatorChange converts an accepted change to the form that operators receive.
func operatorChange(accepted *policy.Accepted, base int64) operator.Change {
	return operator.Change{
		Version: accepted.Version.Number, BaseVersion: base, State: stateAccepted, At: accepted.CreatedAt, Author: accepted.Author,
		Reason: accepted.Reason, Sections: accepted.Sections, Digest: formatDigest(accepted.Version.Digest), Identity: accepted.Identity,
	}
}

func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }

// findAccepted returns the accepted change with the identity. The empty identity
// matches no change.
func (c *configuration) findAccepted(identity string) (operator.Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, accepted := range c.history.Accepted() {
		if identity != "" && accepted.Identity == identity {
			return operatorChange(&accepted, operator.UnknownBase), true
		}
	}
	return operator.Change{}, false
}

// changes returns accepted changes and changes that were rejected since this process
// started, newest first and at most limit of them.
func (c *configuration) changes(_ context.Context, limit int) ([]operator.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []operator.Change
	for _, accepted := range c.history.Accepted() {
		changes = append(changes, operatorChange(&accepted, operator.UnknownBase))
	}
	for i := range c.rejected {
		change := &c.rejected[i].change
		converted := operator.Change{
			BaseVersion: change.Base, State: stateRejected, At: c.rejected[i].recordedAt, Author: change.Author, Reason: change.Reason, Identity: change.Identity,
		}
		for _, section := range change.Sections {
			converted.Sections = append(converted.Sections, section.Name)
		}
		changes = append(changes, converted)
	}
	slices.SortStableFunc(changes, func(a, b operator.Change) int { return b.At.Compare(a.At) })
	return changes[:min(limit, len(changes))], nil
}

// show returns a version of the configuration; number 0 means the one in force.
func (c *configuration) show(_ context.Context, number int64) (operator.Config, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	shown := c.versions[len(c.versions)-1]
	if number != 0 {
		i := slices.IndexFunc(c.versions, func(v policyVersion) bool { return v.Number == number })
		if i < 0 {
			return operator.Config{}, &operator.Failure{Status: http.StatusNotFound, Message: fmt.Sprintf(
				"version %d is not kept here; versions %d to %d are", number, c.versions[0].Number, shown.Number)}
		}
		shown = c.versions[i]
	}
	config := operator.Config{Version: shown.Number, Digest: formatDigest(shown.Digest), AcceptedAt: shown.acceptedAt, Sections: []operator.Section{}}
	for name, settings := range parseSections(shown.set) {
		config.Sections = append(config.Sections, operator.Section{Name: name, Settings: settings})
	}
	slices.SortFunc(config.Sections, func(a, b operator.Section) int { return strings.Compare(a.Name, b.Name) })
	return config, nil
}

// diff compares a folder with the version in force.
func (c *configuration) diff(_ context.Context, folder operator.Folder) (operator.Diff, error) {
	set, findings := policy.Read(policyFiles(folder.Files))
	if len(findings) > 0 {
		return operator.Diff{}, unprocessableError("the folder has findings", findings)
	}
	c.mu.Lock()
	current := c.versions[len(c.versions)-1]
	c.mu.Unlock()
	diff := operator.Diff{AgainstVersion: current.Number}
	before, after := parseSections(current.set), parseSections(set)
	for _, change := range policy.Diff(set, current.set, current.Number).Sections {
		diff.Sections = append(diff.Sections, operator.SectionDiff{Name: change.Name, Settings: diffSettings(before[change.Name], after[change.Name])})
	}
	return diff, nil
}

// diffSettings returns the keys whose values differ: first the keys that are in
// before, then those that are only in after.
func diffSettings(before, after []operator.Setting) []operator.SettingDiff {
	diffs := []operator.SettingDiff{}
	for _, old := range before {
		diffs = append(diffs, operator.SettingDiff{Key: old.Key, Old: &old.Value})
	}
	for _, next := range after {
		i := slices.IndexFunc(diffs, func(d operator.SettingDiff) bool { return d.Key == next.Key })
		if i < 0 {
			diffs = append(diffs, operator.SettingDiff{Key: next.Key})
			i = len(diffs) - 1
		}
		diffs[i].New = &next.Value
	}
	return slices.DeleteFunc(diffs, func(d operator.SettingDiff) bool { return d.Old != nil && d.New != nil && *d.Old == *d.New })
}

// parseSections returns the settings of a set by section name. It parses the
// canonical text, in which every line is a section header, a key with its value
// or an empty line.
func parseSections(set *policy.Set) map[string][]operator.Setting {
	sections := map[string][]operator.Setting{}
	name := ""
	for line := range strings.Lines(set.Text()) {
		line = strings.TrimSpace(line)
		if key, value, isKey := strings.Cut(line, " = "); isKey {
			sections[name] = append(sections[name], operator.Setting{Key: key, Value: value})
		} else if line != "" {
			name = strings.Trim(line, "[]")
			sections[name] = []operator.Setting{}
		}
	}
	return sections
}
