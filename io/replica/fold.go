package replica

import (
	"fmt"

	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/io/disk"
)

// foldAbove is how many times the entries between two snapshots a log holds that is folded
// as it is read. A log that this build has written holds less.
const foldAbove = 3

// Open opens a data folder. Of a log that is much larger than this build keeps it, as one of
// a build that counted entries only, it keeps a snapshot in place of the committed entries,
// so that the start needs no memory for all of them.
func Open(folder string, identity disk.Identity, snapshotBytes int) (store *disk.Store, saved disk.Saved, err error) {
	if snapshotBytes == 0 {
		snapshotBytes = defaultSnapshotBytes
	}
	return disk.OpenFolding(folder, identity, disk.Fold{Above: foldAbove * snapshotBytes, Apply: fold})
}

// fold returns the snapshot after the committed entries that follow one. It fails if there is
// one that this build can't apply.
func fold(before raft.Snapshot, entries []raft.Entry) (after raft.Snapshot, err error) {
	defer fault.Annotate(&err, "fold the entries after %d of the control log", before.Index)
	s, err := codec.DecodeState(before.Data)
	if err != nil {
		return before, err
	}
	after = before
	for _, entry := range entries {
		if err := foldEntry(s, &after, entry); err != nil {
			return before, err
		}
		after.Index, after.Term = entry.Index, entry.Term
	}
	after.Data, err = codec.EncodeState(s)
	return after, err
}

func foldEntry(s *control.State, after *raft.Snapshot, entry raft.Entry) error {
	switch entry.Kind {
	case raft.EntryNoop:
	case raft.EntryMembership:
		after.Membership = *entry.Membership
	case raft.EntryCommand:
		command, err := decodeCommand(entry.Data)
		if err != nil {
			return err
		}
		s.Apply(command)
	default:
		return fmt.Errorf("kind %d of entry: %w", entry.Kind, codec.ErrNewer)
	}
	return nil
}

// saveFolded replaces the log on disk by what was folded when it was read.
func (r *Replica) saveFolded() {
	saved := r.options.Saved
	if !saved.Folded {
		return
	}
	r.options.Log.Info("the control log was larger than this build keeps it; a snapshot replaces it", "index", saved.Snapshot.Index, "bytes", r.options.Store.Size())
	if err := r.options.Store.SaveSnapshot(saved.Snapshot, saved.HardState, saved.Entries); err != nil {
		r.options.Log.Error("the control log was not compacted; the next snapshot tries again", "index", saved.Snapshot.Index, "error", err)
	}
}
