package policy

import "slices"

// SectionVersion is a section with the number of the last version that set or
// removed it.
type SectionVersion struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
}

// SnapshotSection is one section of the effective set. ModifiedVersion is the
// number of the last version that set it.
type SnapshotSection struct {
	Name            string `json:"name" cbor:"1,keyasint"`
	Text            string `json:"text" cbor:"2,keyasint"`
	ModifiedVersion int64  `json:"modified" cbor:"3,keyasint"`
}

// Snapshot is the body of a snapshot record in the log and of a copy from a peer.
// It holds the complete state that later changes depend on. Histories of the
// same log at the same offset have equal snapshots.
type Snapshot struct {
	// LastOffset is the last offset of the log that the snapshot includes.
	LastOffset int64             `json:"through" cbor:"1,keyasint"`
	Version    Version           `json:"version" cbor:"2,keyasint"`
	Sections   []SnapshotSection `json:"sections" cbor:"3,keyasint"`
	Removed    []SectionVersion  `json:"removed" cbor:"4,keyasint"`
	// MinBase is the smallest base version of a change that can be accepted.
	MinBase int64 `json:"floor" cbor:"5,keyasint"`
	// SeenIdentities are hashes of the newest identities of changes, oldest first.
	SeenIdentities []uint64   `json:"seen" cbor:"6,keyasint"`
	Accepted       []Accepted `json:"accepted" cbor:"7,keyasint"`
}

// Snapshot returns the state. It reports false while the history is incomplete,
// because an incomplete state must not be written to the log or sent to peers.
func (h *History) Snapshot() (Snapshot, bool) {
	if h.Incomplete() {
		return Snapshot{}, false
	}
	snapshot := Snapshot{
		LastOffset:     h.lastOffset,
		Version:        h.Version(),
		Removed:        h.removed(),
		MinBase:        h.minBase,
		SeenIdentities: slices.Clone(h.seenIdentities),
		Accepted:       slices.Clone(h.accepted),
	}
	for _, section := range h.set.sections {
		snapshot.Sections = append(snapshot.Sections, SnapshotSection{section.name, section.text(), h.modifiedIn[section.name]})
	}
	return snapshot, true
}

// InstallSnapshot replaces the state by a snapshot from the log or from a peer and
// reports whether it did. A snapshot is ignored without a finding if it doesn't
// include more of the log than the state, or if it ends before the last missing
// record of an incomplete history. It is refused with findings if it is invalid,
// has a lower version than the state, or has the same version with another
// digest. Changes that were kept while the history was incomplete are applied
// after the snapshot.
func (h *History) InstallSnapshot(snapshot Snapshot) (bool, Findings) {
	if snapshot.LastOffset <= h.lastOffset || snapshot.LastOffset < h.droppedThrough {
		return false, nil
	}
	var findings Findings
	at := position{file: "snapshot"}
	installed := &History{
		version:        snapshot.Version.Number,
		lastOffset:     snapshot.LastOffset,
		droppedThrough: h.droppedThrough,
		readThrough:    -1,
		modifiedIn:     map[string]int64{},
		minBase:        snapshot.MinBase,
		seenIdentities: slices.Clone(snapshot.SeenIdentities),
		accepted:       slices.Clone(snapshot.Accepted),
	}
	installed.set = snapshot.build(installed.modifiedIn, &findings)
	switch current := h.Version(); {
	case len(findings) > 0:
	case installed.set.digest != snapshot.Version.Digest:
		findings.add(at, "", "digest", "is %x, but the sections have %x", snapshot.Version.Digest, installed.set.digest)
	case installed.version < current.Number:
		findings.add(at, "", "version", "is %d, lower than the effective version %d", installed.version, current.Number)
	case installed.version == current.Number && installed.set.digest != current.Digest:
		findings.add(at, "", "digest", "is %x at version %d, but the effective set has %x", installed.set.digest, installed.version, current.Digest)
	}
	if len(findings) > 0 {
		return false, findings
	}
	pending, readThrough := h.pending, h.readThrough
	*h = *installed
	for _, next := range pending {
		// Apply ignores the changes that the snapshot includes.
		h.Apply(next.offset, next.change)
	}
	h.AdvanceTo(readThrough)
	return true, nil
}

// build returns the set of the snapshot and fills modifiedIn with the versions of
// its sections.
func (s *Snapshot) build(modifiedIn map[string]int64, findings *Findings) *Set {
	if len(s.SeenIdentities) > MaxSeenIdentities || len(s.Accepted) > MaxAcceptedChanges || len(s.Removed) > MaxRemovedSections || len(s.Sections) > MaxSections {
		findings.add(position{file: "snapshot"}, "", "", "a list is longer than a history keeps")
		return nil
	}
	merged := map[string]section{}
	for _, removed := range s.Removed {
		modifiedIn[removed.Name] = removed.Version
	}
	for _, copied := range s.Sections {
		section, sectionFindings := parseSection("snapshot", SectionChange{Name: copied.Name, Text: copied.Text})
		*findings = append(*findings, sectionFindings...)
		merged[copied.Name] = section.withoutPositions()
		modifiedIn[copied.Name] = copied.ModifiedVersion
	}
	return build(merged, findings)
}
