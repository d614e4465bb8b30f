// Package disk stores the data folder of one replica of the control log: the Raft
// log as an append-only file of records with checksums, the newest snapshot, and
// the withdrawn keys. A call that writes syncs before it returns. Opening a folder
// drops an incomplete write at the end of the log or of the withdrawn keys, which a
// power loss can leave, and fails on damage anywhere else.
package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

// Names of the files in the data folder.
const (
	identityFile    = "identity.json"
	lockFile        = "lock"
	logFile         = "log"
	snapshotFile    = "snapshot"
	withdrawnFile   = "withdrawn"
	temporarySuffix = ".tmp"
	fileMode        = 0o600
	folderMode      = 0o700
)

// ErrDamaged reports that a file of the data folder is damaged in a place that a
// power loss can't explain.
var ErrDamaged = errors.New("damaged")

// ErrSync reports that a sync of the log, or the truncation of a partial write,
// failed. The contents of the file are unknown from then on, and the replica must
// stop.
var ErrSync = errors.New("sync failed")

// Saved is the contents of a data folder.
type Saved struct {
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
	Withdrawn []string // key ids
	TornBytes int      // of an incomplete write, removed from the end of the log
	Folded    bool     // the snapshot is newer than the one on disk
}

// Store is an open data folder, locked to this process.
type Store struct {
	// BeforeWrite, if set, is called before each write with its size in bytes. Tests
	// return from it an error in place of a disk error, and the number of bytes that
	// are written nevertheless.
	BeforeWrite func(size int) (written int, err error)

	// BeforeFolderSync may let a sync of the folder fail, in tests.
	BeforeFolderSync func() error

	failed        error // the log in use may not be the one on disk any more
	folder        string
	fold          Fold // applied to the log as it is read
	lock          *os.File
	log           *os.File
	size          int64 // of the log up to the last complete write, bytes
	withdrawn     *os.File
	withdrawnSize int64 // of the withdrawn keys up to the last complete write, bytes
}

// Open locks a data folder and reads it. It fails if another process has the folder
// open, if the identity differs from the folder's, or with ErrDamaged.
func Open(folder string, identity Identity) (s *Store, saved Saved, err error) {
	return open(&Store{folder: folder}, identity)
}

func open(s *Store, identity Identity) (opened *Store, saved Saved, err error) {
	defer fault.Annotate(&err, "open data folder %s", s.folder)
	if err := s.acquireLock(); err != nil {
		return nil, Saved{}, err
	}
	if err := s.checkIdentity(identity); err != nil {
		s.Close()
		return nil, Saved{}, err
	}
	if saved, err = s.read(); err != nil {
		s.Close()
		return nil, Saved{}, err
	}
	return s, saved, nil
}

func (s *Store) path(name string) string {
	return filepath.Join(s.folder, name)
}

// Save appends entries and the hard state, and syncs. Without sync it writes
// nothing: such a hard state differs only in the commit index, which the replica
// learns again, and the next write contains it. An unsynced write could be torn
// while a later one is intact, which Open takes for damage. After an error other
// than ErrSync, some of the entries may be on disk but not the hard state, and Save
// may be called again with all of them.
func (s *Store) Save(hard raft.HardState, entries []raft.Entry, sync bool) (err error) {
	defer fault.Annotate(&err, "save to %s", s.path(logFile))
	if s.failed != nil {
		return s.failed
	}
	if !sync {
		return nil
	}
	return writeBatches(hard, entries, saveBatchSize, func(batch []byte) error { return s.appendBatch(s.log, &s.size, batch) })
}

// appendBatch writes a batch at the end of a file, syncs it and adds it to the size of
// the file. If the write fails, a partial write is removed again.
func (s *Store) appendBatch(file *os.File, size *int64, batch []byte) error {
	if err := s.write(file, batch); err != nil {
		return errors.Join(err, truncate(file, *size))
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("%w: %w", ErrSync, err)
	}
	*size += int64(len(batch))
	return nil
}

func (s *Store) write(file *os.File, data []byte) error {
	if s.BeforeWrite != nil {
		if written, err := s.BeforeWrite(len(data)); err != nil {
			_, _ = file.Write(data[:written])
			return err
		}
	}
	_, err := file.Write(data)
	return err
}

// truncate removes a partial write behind the given size of a file. The error is
// ErrSync if that fails.
func truncate(file *os.File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return fmt.Errorf("%w: truncate a partial write: %w", ErrSync, err)
	}
	_, err := file.Seek(size, 0)
	return err
}

// SaveSnapshot replaces the snapshot and then the log. The new log holds the given
// entries, which follow the snapshot, and the hard state.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot, hard raft.HardState, entries []raft.Entry) (err error) {
	defer fault.Annotate(&err, "save the snapshot at index %d to %s", snapshot.Index, s.folder)
	if err := s.writeSnapshotFile(snapshot); err != nil {
		return err
	}
	size := int64(0)
	err = s.replaceFile(logFile, func(file *os.File) error {
		return writeBatches(hard, entries, replaceBatchSize, func(batch []byte) error {
			size += int64(len(batch))
			return s.write(file, batch)
		})
	})
	replaced := err == nil || s.isReplaced()
	if err == nil {
		err = s.reopenLog(size)
	}
	if err != nil && replaced {
		s.failed = fmt.Errorf("%w: the log was replaced: %w", ErrSync, err)
	}
	return err
}

// isReplaced reports whether the log in use is not the one that has its name.
func (s *Store) isReplaced() bool {
	used, err := s.log.Stat()
	if err != nil {
		return true
	}
	named, err := os.Stat(s.path(logFile))
	return err != nil || !os.SameFile(used, named)
}

func (s *Store) reopenLog(size int64) (err error) {
	if s.log != nil {
		s.log.Close()
	}
	s.log, err = os.OpenFile(s.path(logFile), os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	s.size = size
	_, err = s.log.Seek(size, 0)
	return err
}

// writeSnapshotFile replaces the snapshot. Its encoding is divided into records, as
// many as its size needs.
func (s *Store) writeSnapshotFile(snapshot raft.Snapshot) error {
	encoded, err := proto.Marshal(codec.FromLogSnapshot(snapshot))
	if err != nil {
		return err
	}
	return s.replaceFile(snapshotFile, func(file *os.File) error {
		for begun := false; len(encoded) > 0 || !begun; begun = true {
			piece := encoded[:min(len(encoded), maxRecordSize-1)]
			encoded = encoded[len(piece):]
			var header [headerSize]byte
			putHeader(header[:], snapshotRecord, piece)
			if err := errors.Join(s.write(file, header[:]), s.write(file, piece)); err != nil {
				return err
			}
		}
		return nil
	})
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file,
// renames it and syncs the folder.
func (s *Store) replaceFile(name string, fill func(file *os.File) error) (err error) {
	defer fault.Annotate(&err, "replace %s", name)
	temporary := s.path(name + temporarySuffix)
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = fill(file)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	if err := os.Rename(temporary, s.path(name)); err != nil {
		return err
	}
	return s.syncFolder()
}

func (s *Store) syncFolder() error {
	if s.BeforeFolderSync != nil {
		if err := s.BeforeFolderSync(); err != nil {
			return err
		}
	}
	folder, err := os.Open(s.folder)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// SaveWithdrawn appends the ids of withdrawn keys and syncs.
func (s *Store) SaveWithdrawn(keys []string) (err error) {
	defer fault.Annotate(&err, "save to %s", s.path(withdrawnFile))
	b := newBatch()
	for _, key := range keys {
		if err := b.add(withdrawalRecord, &state.Change{Kind: &state.Change_WithdrawKey{WithdrawKey: key}}); err != nil {
			return err
		}
	}
	return s.appendBatch(s.withdrawn, &s.withdrawnSize, b.encoded())
}

// Size returns the size of the log file in bytes.
func (s *Store) Size() int64 {
	return s.size
}

// Close closes the files and unlocks the data folder.
func (s *Store) Close() {
	for _, file := range []*os.File{s.log, s.withdrawn, s.lock} {
		if file != nil {
			file.Close()
		}
	}
}
