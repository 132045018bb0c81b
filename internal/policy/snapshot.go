package policy

import "slices"

// SectionVersion is the number of the version that last touched a section.
type SectionVersion struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
}

// SnapshotSection is one section of the effective set.
type SnapshotSection struct {
	Name            string `json:"name" cbor:"1,keyasint"`
	Text            string `json:"text" cbor:"2,keyasint"`
	ModifiedVersion int64  `json:"modified" cbor:"3,keyasint"`
}

// Snapshot is the body of a snapshot record and of a peer's copy: everything
// that later decisions depend on. Histories of the same log that have read to
// the same offset have equal snapshots.
type Snapshot struct {
	// LastOffset is the last offset of the log that the snapshot includes.
	LastOffset int64             `json:"through" cbor:"1,keyasint"`
	Version    Version           `json:"version" cbor:"2,keyasint"`
	Sections   []SnapshotSection `json:"sections" cbor:"3,keyasint"`
	Removed    []SectionVersion  `json:"removed" cbor:"4,keyasint"`
	MinBase    int64             `json:"floor" cbor:"5,keyasint"`
	// SeenIdentities holds hashes of the newest identities, oldest first.
	SeenIdentities []uint64   `json:"seen" cbor:"6,keyasint"`
	Accepted       []Accepted `json:"accepted" cbor:"7,keyasint"`
}

// Snapshot returns the state. It reports false while the history is incomplete,
// because the state must not spread then.
func (h *History) Snapshot() (Snapshot, bool) {
	if h.Incomplete() {
		return Snapshot{}, false
	}
	snapshot := Snapshot{
		LastOffset:     h.through,
		Version:        h.Version(),
		Removed:        h.removed(),
		MinBase:        h.floor,
		SeenIdentities: slices.Clone(h.seen),
		Accepted:       slices.Clone(h.accepted),
	}
	for _, section := range h.set.sections {
		snapshot.Sections = append(snapshot.Sections, SnapshotSection{section.name, section.text(), h.modified[section.name]})
	}
	return snapshot, true
}

// InstallSnapshot takes over a snapshot of the log or of a peer and reports whether it
// did. It takes one that includes more of the log than the state does and that
// closes the gap of an incomplete history; others are ignored without a
// finding. A snapshot that contradicts itself or the state is a finding: it
// would lower the version, or it has another digest at the same version.
// Changes that were held while the history was incomplete are applied after it.
func (h *History) InstallSnapshot(snapshot Snapshot) (bool, Findings) {
	if snapshot.LastOffset <= h.through || snapshot.LastOffset < h.missing {
		return false, nil
	}
	var findings Findings
	at := source{file: "snapshot"}
	adopted := &History{
		version:  snapshot.Version.Number,
		through:  snapshot.LastOffset,
		missing:  h.missing,
		read:     -1,
		modified: map[string]int64{},
		floor:    snapshot.MinBase,
		seen:     slices.Clone(snapshot.SeenIdentities),
		accepted: slices.Clone(snapshot.Accepted),
	}
	adopted.set = snapshot.build(adopted.modified, &findings)
	switch present := h.Version(); {
	case len(findings) > 0:
	case adopted.set.digest != snapshot.Version.Digest:
		findings.add(at, "", "digest", "is %x, but the sections have %x", snapshot.Version.Digest, adopted.set.digest)
	case adopted.version < present.Number:
		findings.add(at, "", "version", "is %d, lower than the effective version %d", adopted.version, present.Number)
	case adopted.version == present.Number && adopted.set.digest != present.Digest:
		findings.add(at, "", "digest", "is %x at version %d, but the effective set has %x", adopted.set.digest, adopted.version, present.Digest)
	}
	if len(findings) > 0 {
		return false, findings
	}
	held, read := h.held, h.read
	*h = *adopted
	for _, next := range held {
		// Those that the snapshot includes are not applied again.
		h.Apply(next.offset, next.change)
	}
	h.AdvanceTo(read)
	return true, nil
}

func (s *Snapshot) build(modified map[string]int64, findings *Findings) *Set {
	if len(s.SeenIdentities) > MaxSeenIdentities || len(s.Accepted) > MaxAcceptedChanges || len(s.Removed) > MaxRemovedSections || len(s.Sections) > MaxSections {
		findings.add(source{file: "snapshot"}, "", "", "a list is longer than a history keeps")
		return nil
	}
	merged := map[string]section{}
	for _, removed := range s.Removed {
		modified[removed.Name] = removed.Version
	}
	for _, copied := range s.Sections {
		section, sectionFindings := parseSection("snapshot", SectionChange{Name: copied.Name, Text: copied.Text})
		*findings = append(*findings, sectionFindings...)
		merged[copied.Name] = section.withoutSources()
		modified[copied.Name] = copied.ModifiedVersion
	}
	return build(merged, findings)
}
