package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a history. They are part of the rule: all nodes must have the same
// ones.
const (
	// MaxAcceptedChanges is the number of accepted changes kept with who, why and when.
	MaxAcceptedChanges = 128
	// MaxRemovedSections is the number of removed sections whose versions are kept.
	MaxRemovedSections = 256
	// MaxSeenIdentities is the number of newest identities that are recognised when the
	// log holds a change twice. Copies of a change are seconds apart, and there
	// are about 910 changes a day.
	MaxSeenIdentities = 512
	// MaxPendingChanges is the number of changes that an incomplete history holds.
	MaxPendingChanges = 512
)

// Version names an effective set. Numbers grow by 1 with each accepted change;
// number 0 is the empty set.
type Version struct {
	Number int64  `json:"number" cbor:"1,keyasint"`
	Digest uint64 `json:"digest" cbor:"2,keyasint"`
}

// Accepted is one accepted change of the history.
type Accepted struct {
	Version   Version   `json:"version" cbor:"1,keyasint"`
	Offset    int64     `json:"offset" cbor:"2,keyasint"`
	Identity  string    `json:"identity" cbor:"3,keyasint"`
	Sections  []string  `json:"sections" cbor:"4,keyasint"`
	Author    string    `json:"who" cbor:"5,keyasint"`
	Reason    string    `json:"why" cbor:"6,keyasint"`
	CreatedAt time.Time `json:"when" cbor:"7,keyasint"`
}

// History replays the policy changes of the log. The same records in the same
// order give the same state, also when the first ones were replaced by a
// snapshot. It is not safe for use by several goroutines; its sets are.
type History struct {
	set     *Set
	version int64
	// through is the last offset of the log that the state includes.
	through int64
	// missing is the offset up to which retention dropped records that are not
	// included; it is not above through if none are missing.
	missing int64
	// modified holds the number of the version that last touched a section,
	// also of removed sections.
	modified map[string]int64
	// floor is the highest version of a removed section that was forgotten; a
	// change with an older base can't be judged any more.
	floor    int64
	seen     []uint64
	accepted []Accepted
	held     []heldChange
	// read is the last offset that was read while the history was incomplete.
	read int64
}

// heldChange was read while the history was incomplete.
type heldChange struct {
	offset int64
	change Change
}

// NewHistory returns the state before the first record of the log: the empty
// set at version 0.
func NewHistory() *History {
	set := build(nil, &Findings{})
	return &History{set: set, through: -1, missing: -1, read: -1, modified: map[string]int64{}}
}

// Set returns the effective set.
func (h *History) Set() *Set { return h.set }

// Version returns the effective version.
func (h *History) Version() Version { return Version{Number: h.version, Digest: h.set.digest} }

// NextOffset returns the offset of the log to follow from.
func (h *History) NextOffset() int64 { return h.through + 1 }

// Accepted returns the newest accepted changes, oldest first, at most
// MaxAccepted.
func (h *History) Accepted() []Accepted { return slices.Clone(h.accepted) }

// Incomplete reports whether retention dropped records that the state does not
// include. Changes are held until Adopt has closed the gap; the effective set
// stays in force.
func (h *History) Incomplete() bool { return h.missing > h.through }

// MarkDropped notes that retention dropped the offsets before to.
func (h *History) MarkDropped(to int64) { h.missing = max(h.missing, to-1) }

// AdvanceTo notes that the log holds no policy change up to the offset other
// than those applied. It lets a snapshot cover records of other kinds.
func (h *History) AdvanceTo(offset int64) {
	if h.Incomplete() {
		h.read = max(h.read, offset)
		return
	}
	h.through = max(h.through, offset)
}

// Apply replays the change at an offset of the log and reports whether it is
// accepted, and if not, why. Nothing changes for an offset that the state
// includes already. While the history is incomplete the change is held, and
// after Adopt its outcome can be seen in Accepted.
func (h *History) Apply(offset int64, change Change) (bool, Findings) {
	var findings Findings
	if offset <= h.through {
		findings.add(change.source(), "", "", "offset %d has been replayed already", offset)
		return false, findings
	}
	if h.Incomplete() {
		h.hold(offset, change)
		findings.add(change.source(), "", "", "held, because records before offset %d are missing and a snapshot is needed", h.missing+1)
		return false, findings
	}
	h.through = offset
	if h.recall(change.Identity) {
		findings.add(change.source(), "", "identity", "the log holds this change twice; its first copy counts")
		return false, findings
	}
	h.conflicts(change, &findings)
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

// hold drops the oldest changes above the bound and needs a later snapshot
// for them.
func (h *History) hold(offset int64, change Change) {
	if len(h.held) > 0 && offset <= h.held[len(h.held)-1].offset {
		return
	}
	if change.size() > MaxChangeBytes {
		// It is rejected without sections as well.
		change.Sections = nil
	}
	h.held = append(h.held, heldChange{offset, change})
	if len(h.held) > MaxPendingChanges {
		h.missing = max(h.missing, h.held[0].offset)
		h.held = slices.Delete(h.held, 0, 1)
	}
}

// recall reports whether the identity was seen and remembers it. Without it,
// the second copy of a change that was rejected for its merged result could be
// accepted later, after its operator was told that it was rejected.
func (h *History) recall(identity string) bool {
	hash := xxhash.Sum64String(identity)
	if slices.Contains(h.seen, hash) {
		return true
	}
	h.seen = append(h.seen, hash)
	h.seen = slices.Delete(h.seen, 0, max(0, len(h.seen)-MaxSeenIdentities))
	return false
}

func (h *History) conflicts(change Change, findings *Findings) {
	if change.Base > h.version || change.Base < h.floor {
		findings.add(change.source(), "", "base", "must be a version from %d to %d, got %d", h.floor, h.version, change.Base)
	}
	for _, name := range change.names() {
		if modified := h.modified[name]; modified > change.Base {
			findings.add(change.source(), name, "", "version %d%s touched the section after version %d, which the change was made against",
				modified, h.by(modified), change.Base)
		}
	}
}

func (h *History) by(version int64) string {
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
		h.modified[section.Name] = h.version
	}
	h.forgetRemoved()
	h.accepted = append(h.accepted, Accepted{
		Version: h.Version(), Offset: offset, Identity: change.Identity, Sections: change.names(),
		Author: change.Author, Reason: change.Reason, CreatedAt: change.CreatedAt,
	})
	h.accepted = slices.Delete(h.accepted, 0, max(0, len(h.accepted)-MaxAcceptedChanges))
}

// removed returns the removed sections, the earliest removed first.
func (h *History) removed() []SectionVersion {
	var removed []SectionVersion
	for name, version := range h.modified {
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

func (h *History) forgetRemoved() {
	if len(h.modified) <= len(h.set.sections)+MaxRemovedSections {
		return
	}
	removed := h.removed()
	for _, old := range removed[:len(removed)-MaxRemovedSections] {
		delete(h.modified, old.Name)
		h.floor = max(h.floor, old.Version)
	}
}
