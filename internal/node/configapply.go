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

// Bounds of one operator's call.
const (
	// applyBound is how long a change waits to be read back. It is above the
	// longest time limit of one append, and below the minute that the command
	// waits for its answer.
	applyBound = 40 * time.Second
	// behindBound is how long a change waits for its base version, which another
	// node may have accepted a moment ago.
	behindBound = 2 * time.Second
	// openChanges bounds the changes that wait to be read back.
	openChanges = 64
)

// The states of a change.
const (
	stateAccepted = "accepted"
	stateRejected = "rejected"
)

// check returns the findings of a folder, alone and against the bounds of a change.
func (c *configuration) check(_ context.Context, folder operator.Folder) ([]operator.Finding, error) {
	return CheckFolder(folder), nil
}

// apply checks a change, appends it and waits until its own record was read
// back. Every node replays the same rule, so that the outcome is the same
// everywhere.
func (c *configuration) apply(ctx context.Context, apply operator.ApplyRequest) (operator.Change, error) {
	if known, found := c.find(apply.Identity); found {
		return known, nil
	}
	change, err := c.prepare(ctx, apply)
	if err != nil {
		return operator.Change{}, err
	}
	if !c.process.records.up.Load() {
		return operator.Change{}, notApplied("the log takes no appends")
	}
	read, err := c.expect(change.Identity)
	if err != nil {
		return operator.Change{}, err
	}
	defer c.forget(change.Identity)
	record, err := journal.NewRecord(journal.KindPolicyChange, c.process.options.Settings.Node.Name, change.When, change)
	if err != nil {
		return operator.Change{}, err
	}
	record.Identity = change.Identity
	written, err := c.process.journal.Append(record)
	if err != nil {
		return operator.Change{}, notApplied(err.Error())
	}
	c.process.metrics.appended(string(journal.KindPolicyChange))
	c.process.records.mark(change.Identity, journal.KindPolicyChange)
	defer c.process.records.unmark(change.Identity)
	return c.awaitOutcome(ctx, &change, read, written)
}

func (c *configuration) awaitOutcome(ctx context.Context, change *policy.Change, read <-chan outcome, written <-chan journal.Result) (operator.Change, error) {
	bound := time.NewTimer(applyBound)
	defer bound.Stop()
	for {
		select {
		case end := <-read:
			return changeOf(change, end)
		case result := <-written:
			written = nil
			if result.Err != nil && !errors.Is(result.Err, journal.ErrOutcomeUnknown) {
				return operator.Change{}, notApplied(result.Err.Error())
			}
		case <-bound.C:
			return operator.Change{}, c.giveUp(change.Identity, "its record was not read back within "+applyBound.String())
		case <-ctx.Done():
			return operator.Change{}, c.giveUp(change.Identity, "the call ended before its record was read back")
		}
	}
}

// giveUp says truthfully what is known of a change that is not waited for any more.
func (c *configuration) giveUp(identity, reason string) error {
	if c.process.journal.Withdraw(identity) {
		return notApplied(reason + " and it was withdrawn before it was sent")
	}
	return &operator.Failure{Status: http.StatusGatewayTimeout, Message: fmt.Sprintf(
		"the outcome of change %s is unknown: %s; it may still be accepted. Look it up with: config history --identity %s", identity, reason, identity)}
}

// notApplied is the failure of a change that is certainly not in the log.
func notApplied(reason string) error {
	return &operator.Failure{Status: http.StatusServiceUnavailable, Message: "the change was not applied and won't be: " + reason}
}

// expect registers a change whose record will be read back.
func (c *configuration) expect(identity string) (<-chan outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) >= openChanges || c.waiting[identity] != nil {
		return nil, notApplied("too many changes wait for the log, or this one does already; try again")
	}
	read := make(chan outcome, 1)
	c.waiting[identity] = read
	return read, nil
}

func (c *configuration) forget(identity string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, identity)
}

// prepare makes the change and replays it against a copy of the history, so that
// all findings are reported before anything is written.
func (c *configuration) prepare(ctx context.Context, apply operator.ApplyRequest) (policy.Change, error) {
	folder, findings := policy.Read(policyFiles(apply.Files))
	if len(findings) > 0 {
		return policy.Change{}, unusable("the folder has findings", findings)
	}
	base, err := c.baseOf(ctx, apply.BaseVersion)
	if err != nil {
		return policy.Change{}, err
	}
	change := policy.Diff(folder, base.set, apply.BaseVersion)
	if len(apply.Sections) > 0 {
		change.Sections = slices.DeleteFunc(change.Sections, func(s policy.SectionChange) bool { return !slices.Contains(apply.Sections, s.Name) })
	}
	if len(change.Sections) == 0 {
		return policy.Change{}, &operator.Failure{Status: http.StatusUnprocessableEntity, Message: fmt.Sprintf("the folder, or its named sections, don't differ from version %d", apply.BaseVersion)}
	}
	change.Identity, change.Who, change.Why, change.When = apply.Identity, apply.Author, apply.Reason, time.Now()
	if change.Identity == "" {
		change.Identity = uuid.NewString()
	}
	return change, c.rehearse(change)
}

// rehearse applies the change to a copy of the history.
func (c *configuration) rehearse(change policy.Change) error {
	c.mu.Lock()
	snapshot, complete := c.history.Snapshot()
	set := c.history.Set()
	c.mu.Unlock()
	if !complete {
		return notApplied("this node waits for a snapshot of the configuration; apply it at another node")
	}
	_, unfit := set.With(change)
	trial := policy.NewHistory()
	if snapshot.Through >= 0 {
		if _, findings := trial.Adopt(snapshot); len(findings) > 0 {
			return unusable("this node's copy of the configuration can't be used", findings)
		}
	}
	accepted, findings := trial.Apply(snapshot.Through+1, change)
	switch {
	case accepted:
		return nil
	case slices.Equal(findings, unfit):
		return unusable("the change doesn't fit the configuration in force", findings)
	}
	return conflicting(append(findings, unfit...))
}

func unusable(message string, findings policy.Findings) error {
	return &operator.Failure{Status: http.StatusUnprocessableEntity, Message: message, Findings: operatorFindings(findings)}
}

func conflicting(findings policy.Findings) error {
	return &operator.Failure{Status: http.StatusConflict, Message: "another change came first", Findings: operatorFindings(findings)}
}

// baseOf returns the version that a change was made against.
func (c *configuration) baseOf(ctx context.Context, number int64) (version, error) {
	bound := time.NewTimer(behindBound)
	defer bound.Stop()
	for {
		c.mu.Lock()
		newest, changed := c.versions[len(c.versions)-1].Number, c.changed
		i := slices.IndexFunc(c.versions, func(v version) bool { return v.Number == number })
		var base version
		if i >= 0 {
			base = c.versions[i]
		}
		c.mu.Unlock()
		switch {
		case i >= 0:
			return base, nil
		case number < newest:
			return version{}, &operator.Failure{Status: http.StatusConflict, Message: fmt.Sprintf("version %d is not kept here any more; make the change against version %d", number, newest)}
		}
		select {
		case <-changed:
		case <-bound.C:
			return version{}, &operator.Failure{Status: http.StatusConflict, Message: fmt.Sprintf("there is no version %d here yet; the newest is version %d", number, newest)}
		case <-ctx.Done():
			return version{}, ctx.Err()
		}
	}
}

// changeOf answers for a change that was read back.
func changeOf(change *policy.Change, end outcome) (operator.Change, error) {
	if end.accepted == nil {
		message := fmt.Sprintf("change %s was rejected at its place in the log", change.Identity)
		return operator.Change{}, &operator.Failure{Status: http.StatusConflict, Message: message, Findings: operatorFindings(end.findings)}
	}
	return acceptedChange(end.accepted, change.Base), nil
}

func acceptedChange(accepted *policy.Accepted, base int64) operator.Change {
	return operator.Change{
		Version: accepted.Version.Number, BaseVersion: base, State: stateAccepted, At: accepted.When, Author: accepted.Who,
		Reason: accepted.Why, Sections: accepted.Sections, Digest: digestText(accepted.Version.Digest), Identity: accepted.Identity,
	}
}

func digestText(digest uint64) string { return strconv.FormatUint(digest, 16) }

// find returns the accepted change with an identity.
func (c *configuration) find(identity string) (operator.Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, accepted := range c.history.Accepted() {
		if identity != "" && accepted.Identity == identity {
			return acceptedChange(&accepted, operator.UnknownBase), true
		}
	}
	return operator.Change{}, false
}

// changes returns the newest accepted changes, and those that this process saw
// rejected, newest first.
func (c *configuration) changes(_ context.Context, limit int) ([]operator.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []operator.Change
	for _, accepted := range c.history.Accepted() {
		changes = append(changes, acceptedChange(&accepted, operator.UnknownBase))
	}
	for i := range c.rejected {
		change := &c.rejected[i].change
		out := operator.Change{
			BaseVersion: change.Base, State: stateRejected, At: c.rejected[i].at, Author: change.Who, Reason: change.Why, Identity: change.Identity,
		}
		for _, section := range change.Sections {
			out.Sections = append(out.Sections, section.Name)
		}
		changes = append(changes, out)
	}
	slices.SortStableFunc(changes, func(a, b operator.Change) int { return b.At.Compare(a.At) })
	return changes[:min(limit, len(changes))], nil
}

// show returns a version of the configuration; 0 is the one in force.
func (c *configuration) show(_ context.Context, number int64) (operator.Config, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	shown := c.versions[len(c.versions)-1]
	if number != 0 {
		i := slices.IndexFunc(c.versions, func(v version) bool { return v.Number == number })
		if i < 0 {
			return operator.Config{}, &operator.Failure{Status: http.StatusNotFound, Message: fmt.Sprintf(
				"version %d is not kept here; versions %d to %d are", number, c.versions[0].Number, shown.Number)}
		}
		shown = c.versions[i]
	}
	config := operator.Config{Version: shown.Number, Digest: digestText(shown.Digest), AcceptedAt: shown.at, Sections: []operator.Section{}}
	for name, settings := range sectionsOf(shown.set) {
		config.Sections = append(config.Sections, operator.Section{Name: name, Settings: settings})
	}
	slices.SortFunc(config.Sections, func(a, b operator.Section) int { return strings.Compare(a.Name, b.Name) })
	return config, nil
}

// diff compares a folder with the version in force.
func (c *configuration) diff(_ context.Context, folder operator.Folder) (operator.Diff, error) {
	set, findings := policy.Read(policyFiles(folder.Files))
	if len(findings) > 0 {
		return operator.Diff{}, unusable("the folder has findings", findings)
	}
	c.mu.Lock()
	present := c.versions[len(c.versions)-1]
	c.mu.Unlock()
	diff := operator.Diff{AgainstVersion: present.Number}
	before, after := sectionsOf(present.set), sectionsOf(set)
	for _, change := range policy.Diff(set, present.set, present.Number).Sections {
		diff.Sections = append(diff.Sections, operator.SectionDiff{Name: change.Name, Settings: settingsDiff(before[change.Name], after[change.Name])})
	}
	return diff, nil
}

func settingsDiff(before, after []operator.Setting) []operator.SettingDiff {
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

// sectionsOf reads the canonical text of a set, in which every line is a header,
// a key with its value, or empty.
func sectionsOf(set *policy.Set) map[string][]operator.Setting {
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
