package replica

import (
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
)

const (
	snapshotInterval = 512 // entries
	trailingEntries  = 256 // entries applied after a capture before it replaces the log, for followers that lag
	// defaultSnapshotBytes is the size of the applied entries after which a snapshot is taken.
	defaultSnapshotBytes = 16 << 20
	// trailingShare is the part of these bytes that is applied after a capture before it
	// replaces the log.
	trailingShare = 0.5
	// snapshotsBetween is how many times the size of the last snapshot the entries between two
	// have at least. A follower that gets a snapshot then finds the entries behind it still in
	// the log, if it receives as fast as entries are committed. For a state larger than
	// SnapshotBytes this is given up, so that the log stays bounded.
	snapshotsBetween = 2
)

type capturedSnapshot struct {
	index uint64
	data  []byte
}

// captureSnapshot encodes the state every snapshotInterval entries, or earlier if these are
// large. compact replaces the entries by it once some more have been applied.
func (r *Replica) captureSnapshot(entry raft.Entry) {
	r.sinceCapture += len(entry.Data)
	if r.captured != nil || (entry.Index%snapshotInterval != 0 && r.sinceCapture < r.snapshotBytes()) {
		return
	}
	data, err := codec.EncodeState(r.state)
	if err != nil {
		r.options.Log.Error("the state of the control log could not be encoded; no snapshot is taken until the next attempt", "error", err)
		return
	}
	r.captured = &capturedSnapshot{index: entry.Index, data: data}
	r.capturedBytes = len(data)
	r.sinceCapture = 0
}

// snapshotBytes is the size of the entries between two snapshots.
func (r *Replica) snapshotBytes() int {
	configured := r.options.SnapshotBytes
	if configured == 0 {
		configured = defaultSnapshotBytes
	}
	return max(configured, snapshotsBetween*min(r.capturedBytes, configured))
}

func (r *Replica) compactDue() bool {
	if r.captured == nil {
		return false
	}
	trailing := int(trailingShare * float64(r.snapshotBytes()))
	return r.node.Status().Applied >= r.captured.index+trailingEntries || r.sinceCapture >= trailing
}

func (r *Replica) compact(hard raft.HardState) {
	if !r.compactDue() {
		return
	}
	snapshotAt := *r.captured
	r.captured = nil
	snapshot, err := r.node.Compact(snapshotAt.index, snapshotAt.data)
	if err == nil {
		err = r.options.Store.SaveSnapshot(snapshot, hard, r.node.Persisted())
	}
	if err != nil {
		// The log on disk stays longer than needed until the next snapshot.
		r.options.Log.Error("the control log was not compacted; the next snapshot tries again", "index", snapshotAt.index, "error", err)
	}
}
