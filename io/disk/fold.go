package disk

import "kingcuprill/core/raft"

// Fold replaces committed entries by a snapshot while a long log is read.
type Fold struct {
	// Above is the number of bytes of entries in memory from which on they are folded.
	Above int
	// Apply returns the snapshot after the entries that follow one. If it fails, no more is
	// folded, and the entries stay.
	Apply func(before raft.Snapshot, entries []raft.Entry) (after raft.Snapshot, err error)
}

// OpenFolding is Open, and folds the committed entries of a log that is larger than fold
// allows. The files stay as they are until the next snapshot is saved.
func OpenFolding(folder string, identity Identity, fold Fold) (s *Store, saved Saved, err error) {
	return open(&Store{folder: folder, fold: fold}, identity)
}

// logReader collects the contents of a log.
type logReader struct {
	saved *Saved
	fold  Fold
}

// accept adds a record. A hard state follows the entries that were written with it, and those
// that it names as committed are never replaced.
func (r *logReader) accept(record parsedRecord) error {
	if err := r.saved.addRecord(record); err != nil || record.kind != hardStateRecord {
		return err
	}
	size := 0
	for _, entry := range r.saved.Entries {
		size += len(entry.Data)
	}
	if size > r.fold.Above {
		r.foldCommitted()
	}
	return nil
}

// foldAll folds what is left of a log once a part of it was folded.
func (r *logReader) foldAll() {
	if r.saved.Folded {
		r.foldCommitted()
	}
}

func (r *logReader) foldCommitted() {
	saved := r.saved
	last := min(saved.HardState.Commit, saved.Snapshot.Index+uint64(len(saved.Entries)))
	if r.fold.Apply == nil || last <= saved.Snapshot.Index {
		return
	}
	count := last - saved.Snapshot.Index
	after, err := r.fold.Apply(saved.Snapshot, saved.Entries[:count])
	if err != nil {
		r.fold.Apply = nil
		return
	}
	saved.Snapshot, saved.Folded = after, true
	saved.Entries = append([]raft.Entry(nil), saved.Entries[count:]...)
}
