// Package disk stores the data folder of one replica of the control log: the Raft
// log as an append-only file of records with checksums, the newest snapshot, and
// the withdrawn keys. A call that writes syncs before it returns. Opening a folder
// drops an incomplete write at the end of the log or of the withdrawn keys, which a
// power loss can leave, and fails on damage anywhere else.
package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
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

// Identity binds a data folder to one replica of one cluster.
type Identity struct {
	ClusterID string
	VM        string
}

type identityJSON struct {
	ClusterID string `json:"cluster_id"`
	VM        string `json:"vm"`
}

// Saved is the contents of a data folder.
type Saved struct {
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
	Withdrawn []string // key ids
	TornBytes int      // of an incomplete write, removed from the end of the log
}

// Store is an open data folder, locked to this process.
type Store struct {
	// BeforeWrite, if set, is called before each write with its size in bytes. Tests
	// return from it an error in place of a disk error, and the number of bytes that
	// are written nevertheless.
	BeforeWrite func(size int) (written int, err error)

	folder        string
	lock          *os.File
	log           *os.File
	size          int64 // of the log up to the last complete write, bytes
	withdrawn     *os.File
	withdrawnSize int64 // of the withdrawn keys up to the last complete write, bytes
}

// Format creates the data folder of a replica. With a membership, the replica is one
// of the first of a new cluster; with an empty one, it joins as a learner. It fails
// for a folder that holds a replica already.
func Format(folder string, identity Identity, first raft.Membership) (err error) {
	defer fault.Annotate(&err, "format data folder %s", folder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(folder, identityFile)); err == nil {
		return errors.New("it holds a replica already; to replace a lost replica, use an empty folder")
	}
	snapshot := raft.Snapshot{Membership: first}
	s := &Store{folder: folder}
	if err := s.writeSnapshotFile(snapshot); err != nil {
		return err
	}
	if err := s.replaceFile(logFile, nil); err != nil {
		return err
	}
	if err := s.replaceFile(withdrawnFile, nil); err != nil {
		return err
	}
	data, err := json.Marshal(identityJSON(identity))
	if err != nil {
		return err
	}
	return s.replaceFile(identityFile, data)
}

// ReadIdentity returns the replica that a data folder holds, if it holds one.
func ReadIdentity(folder string) (identity Identity, found bool, err error) {
	defer fault.Annotate(&err, "read the identity of data folder %s", folder)
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return identity, false, nil
	}
	if err != nil {
		return identity, false, err
	}
	var stored identityJSON
	if err := json.Unmarshal(data, &stored); err != nil {
		return identity, false, fmt.Errorf("%s: %w", identityFile, err)
	}
	return Identity(stored), true, nil
}

// Open locks a data folder and reads it. It fails if another process has the folder
// open, if the identity differs from the folder's, or with ErrDamaged.
func Open(folder string, identity Identity) (s *Store, saved Saved, err error) {
	defer fault.Annotate(&err, "open data folder %s", folder)
	s = &Store{folder: folder}
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

func (s *Store) read() (saved Saved, err error) {
	if saved.Snapshot, err = s.readSnapshot(); err != nil {
		return saved, err
	}
	if err := s.readLog(&saved); err != nil {
		return saved, err
	}
	saved.Withdrawn, err = s.readWithdrawn()
	return saved, err
}

func (s *Store) path(name string) string {
	return filepath.Join(s.folder, name)
}

func (s *Store) acquireLock() (err error) {
	if _, err := os.Stat(s.path(identityFile)); errors.Is(err, fs.ErrNotExist) {
		return errors.New("it holds no replica; run kingcuprilld --format for a new cluster, or --format --join for a replica that joins or replaces a lost one")
	}
	s.lock, err = os.OpenFile(s.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(s.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		s.lock.Close()
		return fmt.Errorf("another process has it open: %w", err)
	}
	return nil
}

func (s *Store) checkIdentity(identity Identity) error {
	data, err := os.ReadFile(s.path(identityFile))
	if err != nil {
		return err
	}
	var stored identityJSON
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("%s: %w", identityFile, err)
	}
	if stored.ClusterID != identity.ClusterID {
		return fmt.Errorf("it belongs to cluster %q, the settings say cluster.id %q", stored.ClusterID, identity.ClusterID)
	}
	if stored.VM != identity.VM {
		return fmt.Errorf("it belongs to VM %q, the settings say vm.id %q", stored.VM, identity.VM)
	}
	return nil
}

// Save appends entries and the hard state, and syncs. Without sync it writes
// nothing: such a hard state differs only in the commit index, which the replica
// learns again, and the next write contains it. An unsynced write could be torn
// while a later one is intact, which Open takes for damage. After an error other
// than ErrSync, nothing has been written and Save may be called again.
func (s *Store) Save(hard raft.HardState, entries []raft.Entry, sync bool) (err error) {
	defer fault.Annotate(&err, "save to %s", s.path(logFile))
	if !sync {
		return nil
	}
	batches, err := encodeBatches(hard, entries)
	if err != nil {
		return err
	}
	for _, batch := range batches {
		if err := s.appendBatch(s.log, &s.size, batch); err != nil {
			return err
		}
	}
	return nil
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
	batches, err := encodeBatches(hard, entries)
	if err != nil {
		return err
	}
	log := slices.Concat(batches...)
	if err := s.replaceFile(logFile, log); err != nil {
		return err
	}
	return s.reopenLog(int64(len(log)))
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
	first := min(len(encoded), maxRecordSize-1)
	buffer := appendPayload(nil, snapshotRecord, encoded[:first])
	for piece := range slices.Chunk(encoded[first:], maxRecordSize-1) {
		buffer = appendPayload(buffer, snapshotRecord, piece)
	}
	return s.replaceFile(snapshotFile, buffer)
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file,
// renames it and syncs the folder.
func (s *Store) replaceFile(name string, data []byte) (err error) {
	defer fault.Annotate(&err, "replace %s", name)
	temporary := s.path(name + temporarySuffix)
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = s.write(file, data)
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
	var buffer []byte
	for _, key := range keys {
		if buffer, err = appendRecord(buffer, withdrawalRecord, &state.Change{Kind: &state.Change_WithdrawKey{WithdrawKey: key}}); err != nil {
			return err
		}
	}
	return s.appendBatch(s.withdrawn, &s.withdrawnSize, appendBatch(nil, buffer))
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

func (s *Store) readSnapshot() (snapshot raft.Snapshot, err error) {
	data, err := os.ReadFile(s.path(snapshotFile))
	if err != nil {
		return snapshot, err
	}
	var encoded []byte
	for offset := 0; offset < len(data) || offset == 0; {
		record, result := parseRecord(data[offset:])
		if result != recordComplete || record.kind != snapshotRecord {
			return snapshot, fmt.Errorf("%s: offset %d: %w; replace this replica", s.path(snapshotFile), offset, ErrDamaged)
		}
		encoded = append(encoded, record.payload...)
		offset += record.size
	}
	message := &state.LogSnapshot{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return snapshot, fmt.Errorf("%s: offset 0: %w: %w", s.path(snapshotFile), ErrDamaged, err)
	}
	return codec.ToLogSnapshot(message), nil
}

func (s *Store) readLog(saved *Saved) (err error) {
	records, completeBytes, tornBytes, err := s.readRecords(logFile)
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := saved.addRecord(record); err != nil {
			return fmt.Errorf("%s: %w: %w", s.path(logFile), ErrDamaged, err)
		}
	}
	saved.TornBytes = tornBytes
	if err := s.reopenLog(int64(completeBytes)); err != nil {
		return err
	}
	if tornBytes == 0 {
		return nil
	}
	if err := s.log.Truncate(int64(completeBytes)); err != nil {
		return err
	}
	return s.log.Sync()
}

// addRecord applies one record of the log. An entry replaces those from its index on.
func (saved *Saved) addRecord(record parsedRecord) error {
	switch record.kind {
	case hardStateRecord:
		message := &state.HardState{}
		if err := proto.Unmarshal(record.payload, message); err != nil {
			return err
		}
		saved.HardState = codec.ToHardState(message)
	case entryRecord:
		message := &state.Entry{}
		if err := proto.Unmarshal(record.payload, message); err != nil {
			return err
		}
		return saved.addEntry(codec.ToEntry(message))
	default:
		return fmt.Errorf("record kind %d is not known", record.kind)
	}
	return nil
}

func (saved *Saved) addEntry(entry raft.Entry) error {
	first := saved.Snapshot.Index + 1
	if entry.Index < first {
		return nil // contained in the snapshot
	}
	if entry.Term < saved.Snapshot.Term {
		return nil // from an old log: a crash came between installing a leader's snapshot and replacing the log
	}
	position := entry.Index - first
	if position > uint64(len(saved.Entries)) {
		return fmt.Errorf("entry %d follows entry %d", entry.Index, first+uint64(len(saved.Entries))-1)
	}
	saved.Entries = append(saved.Entries[:position], entry)
	return nil
}

// readRecords reads a file of records. It returns the number of bytes of complete
// records, and of the incomplete write that follows them. It fails with ErrDamaged
// if a complete batch follows bytes that can't be read.
func (s *Store) readRecords(name string) (records []parsedRecord, completeBytes, tornBytes int, err error) {
	data, err := os.ReadFile(s.path(name))
	if err != nil {
		return nil, 0, 0, err
	}
	for completeBytes < len(data) {
		record, result := parseRecord(data[completeBytes:])
		inner, complete := record.unpack()
		if result == recordComplete && complete {
			records = append(records, inner...)
			completeBytes += record.size
			continue
		}
		if containsBatch(data[completeBytes+1:]) {
			return nil, 0, 0, fmt.Errorf("%s: offset %d: %w; replace this replica", s.path(name), completeBytes, ErrDamaged)
		}
		break
	}
	return records, completeBytes, len(data) - completeBytes, nil
}

func (s *Store) readWithdrawn() (keys []string, err error) {
	records, completeBytes, _, err := s.readRecords(withdrawnFile)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		message := &state.Change{}
		if err := proto.Unmarshal(record.payload, message); err != nil {
			return nil, fmt.Errorf("%s: %w: %w", s.path(withdrawnFile), ErrDamaged, err)
		}
		keys = append(keys, message.GetWithdrawKey())
	}
	s.withdrawn, err = os.OpenFile(s.path(withdrawnFile), os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	s.withdrawnSize = int64(completeBytes)
	return keys, truncate(s.withdrawn, s.withdrawnSize)
}
