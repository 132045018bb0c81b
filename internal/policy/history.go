package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of a history. They influence which changes are accepted, so they must be
// the same on all nodes.
const (
	// MaxAcceptedChanges is the number of accepted changes that are kept with their
	// author, reason and time.
	MaxAcceptedChanges = 128
	// MaxRemovedSections is the number of removed sections whose versions are kept.
	MaxRemovedSections = 256
	// MaxSeenIdentities is how many of the newest identities are kept to recognize
	// duplicates of a change in the log. Duplicates are seconds apart, and the limit
	// covers half a day at about 910 changes a day.
	MaxSeenIdentities = 512
	// MaxPendingChanges is the number of changes that an incomplete history keeps.
	MaxPendingChanges = 512
)

// Version identifies an effective set. The number grows by 1 with each accepted
// change; number 0 is the empty set.
type Version struct {
	Number int64  `json:"number" cbor:"1,keyasint"`
	Digest uint64 `json:"digest" cbor:"2,keyasint"`
}

// Accepted is an accepted change without the text of its sections. Version is the
// version that it created.
type Accepted struct {
	Version   Version   `json:"version" cbor:"1,keyasint"`
	Offset    int64     `json:"offset" cbor:"2,keyasint"`
	Identity  string    `json:"identity" cbor:"3,keyasint"`
	Sections  []string  `json:"sections" cbor:"4,keyasint"`
	Author    string    `json:"who" cbor:"5,keyasint"`
	Reason    string    `json:"why" cbor:"6,keyasint"`
	CreatedAt time.Time `json:"when" cbor:"7,keyasint"`
}

// History computes the effective set from the changes in the log. The same records
// in the same order give the same state, even if a snapshot replaces the first
// records. A History is not safe for concurrent use; its sets are.
type History struct {
	set     *Set
	version int64
	// lastOffset is the last offset of the log that the state includes.
	lastOffset int64
	// droppedThrough is the last offset of the records that were dropped by retention
	// or by addPending. If droppedThrough is above lastOffset, the state lacks records.
	droppedThrough int64
	// modifiedIn holds the number of the last version that set or removed a
	// section, by the name of the section.
	modifiedIn map[string]int64
	// minBase is the highest version that pruneRemoved deleted from modifiedIn. A
	// change with an older base is rejected, because its conflicts with deleted
	// versions can't be detected.
	minBase        int64
	seenIdentities []uint64
	accepted       []Accepted
	pending        []pendingChange
	// readThrough is the last offset that was read while the history was
	// incomplete.
	readThrough int64
}

// pendingChange is a change that was read while the history was incomplete.
type pendingChange struct {
	offset int64
	change Change
}

// NewHistory returns the history before the first record of the log: the empty
// set at version 0.
func NewHistory() *History {
	set := build(nil, &Findings{})
	return &History{set: set, lastOffset: -1, droppedThrough: -1, readThrough: -1, modifiedIn: map[string]int64{}}
}

// Set returns the effective set.
func (h *History) Set() *Set { return h.set }

// Version returns the effective version.
func (h *History) Version() Version { return Version{Number: h.version, Digest: h.set.digest} }

// NextOffset returns the offset from which the log is to be read.
func (h *History) NextOffset() int64 { return h.lastOffset + 1 }

// Accepted returns the newest accepted changes, oldest first, at most
// MaxAcceptedChanges of them.
func (h *History) Accepted() []Accepted { return slices.Clone(h.accepted) }

// Incomplete reports whether records were dropped that the state doesn't include.
// Then the effective set stays in force, and changes are kept until
// InstallSnapshot supplies the missing records.
func (h *History) Incomplete() bool { return h.droppedThrough > h.lastOffset }

// MarkDropped notes that retention removed all records before the offset next.
func (h *History) MarkDropped(next int64) { h.droppedThrough = max(h.droppedThrough, next-1) }

// AdvanceTo notes that the log was read up to the offset, inclusive, and that its
// changes were passed to Apply. Otherwise, a snapshot would end at the last change
// and not cover later records of other kinds.
func (h *History) AdvanceTo(offset int64) {
	if h.Incomplete() {
		h.readThrough = max(h.readThrough, offset)
		return
	}
	h.lastOffset = max(h.lastOffset, offset)
}

// Apply applies the change at an offset of the log and reports whether it is
// accepted; the findings say why it is not. An offset that the state already
// includes changes nothing. While the history is incomplete, the change is kept,
// and Accepted shows after InstallSnapshot whether it was accepted.
func (h *History) Apply(offset int64, change Change) (bool, Findings) {
	var findings Findings
	if offset <= h.lastOffset {
		findings.add(change.position(), "", "", "offset %d has been replayed already", offset)
		return false, findings
	}
	if h.Incomplete() {
		h.addPending(offset, change)
		findings.add(change.position(), "", "", "held, because records before offset %d are missing and a snapshot is needed", h.droppedThrough+1)
		return false, findings
	}
	h.lastOffset = offset
	if h.recordIdentity(change.Identity) {
		findings.add(change.position(), "", "identity", "the log holds this change twice; its first copy counts")
		return false, findings
	}
	h.checkConflicts(change, &findings)
	if len(findings) > 0 {
		return false, findings
	}
	set, findings := h.set.With(change)
	if len(findings) > 0 {
		return false, findings
	}
	h.accept(offset, change, set)
	return true, nil
}

// addPending keeps the change until a snapshot is installed. If there are more
// than MaxPendingChanges, it drops the oldest change and advances droppedThrough,
// so that InstallSnapshot ignores snapshots that don't include that change.
func (h *History) addPending(offset int64, change Change) {
	if len(h.pending) > 0 && offset <= h.pending[len(h.pending)-1].offset {
		return
	}
	if change.size() > MaxChangeBytes {
		// The sections are removed to limit the memory. Apply rejects the change in
		// any case: with its sections it is too large, without them it is empty.
		change.Sections = nil
	}
	h.pending = append(h.pending, pendingChange{offset, change})
	if len(h.pending) > MaxPendingChanges {
		h.droppedThrough = max(h.droppedThrough, h.pending[0].offset)
		h.pending = slices.Delete(h.pending, 0, 1)
	}
}

// recordIdentity stores the identity and reports whether it was already stored.
// Without this check, a duplicate could be accepted after the operator was told that
// the first copy was rejected: a later change can make the merged set valid.
func (h *History) recordIdentity(identity string) bool {
	hash := xxhash.Sum64String(identity)
	if slices.Contains(h.seenIdentities, hash) {
		return true
	}
	h.seenIdentities = append(h.seenIdentities, hash)
	h.seenIdentities = slices.Delete(h.seenIdentities, 0, max(0, len(h.seenIdentities)-MaxSeenIdentities))
	return false
}

// checkConflicts adds a finding if the base is unknown, and one for each section
// that was changed after the base.
func (h *History) checkConflicts(change Change, findings *Findings) {
	if change.Base > h.version || change.Base < h.minBase {
		findings.add(change.position(), "", "base", "must be a version from %d to %d, got %d", h.minBase, h.version, change.Base)
	}
	for _, name := range change.names() {
		if modifiedIn := h.modifiedIn[name]; modifiedIn > change.Base {
			findings.add(change.position(), name, "", "version %d%s touched the section after version %d, which the change was made against",
				modifiedIn, h.authorOf(modifiedIn), change.Base)
		}
	}
}

// authorOf returns " by " and the author of the version, or an empty text if the
// version is no longer kept.
func (h *History) authorOf(version int64) string {
	i := slices.IndexFunc(h.accepted, func(a Accepted) bool { return a.Version.Number == version })
	if i < 0 {
		return ""
	}
	return " by " + h.accepted[i].Author
}

func (h *History) accept(offset int64, change Change, set *Set) {
	h.set = set
	h.version++
	for _, section := range change.Sections {
		h.modifiedIn[section.Name] = h.version
	}
	h.pruneRemoved()
	h.accepted = append(h.accepted, Accepted{
		Version: h.Version(), Offset: offset, Identity: change.Identity, Sections: change.names(),
		Author: change.Author, Reason: change.Reason, CreatedAt: change.CreatedAt,
	})
	h.accepted = slices.Delete(h.accepted, 0, max(0, len(h.accepted)-MaxAcceptedChanges))
}

// removed returns the removed sections, sorted by the version that removed them and
// by name.
func (h *History) removed() []SectionVersion {
	var removed []SectionVersion
	for name, version := range h.modifiedIn {
		if _, found := h.set.section(name); !found {
			removed = append(removed, SectionVersion{Name: name, Version: version})
		}
	}
	slices.SortFunc(removed, func(a, b SectionVersion) int {
		if a.Version != b.Version {
			return int(a.Version - b.Version)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return removed
}

// pruneRemoved keeps the versions of the MaxRemovedSections sections that were
// removed last, and deletes those of sections that were removed earlier.
func (h *History) pruneRemoved() {
	if len(h.modifiedIn) <= len(h.set.sections)+MaxRemovedSections {
		return
	}
	removed := h.removed()
	for _, old := range removed[:len(removed)-MaxRemovedSections] {
		delete(h.modifiedIn, old.Name)
		h.minBase = max(h.minBase, old.Version)
	}
}
