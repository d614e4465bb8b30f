// Package disk keeps the control log of one replica: an append-only file of
// records with checksums, and the newest snapshot. Nothing counts as written
// before it is synced.
package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

// Names of the files in the data folder.
const (
	identityFile  = "identity.json"
	lockFile      = "lock"
	logFile       = "log"
	snapshotFile  = "snapshot"
	withdrawnFile = "withdrawn"
	temporaryFile = ".tmp"
	fileMode      = 0o600
	folderMode    = 0o700
)

// ErrDamaged tells that a file of the data folder is damaged in the middle.
var ErrDamaged = errors.New("damaged")

// ErrSync tells that a sync failed. What is on disk is unknown from then on,
// and the replica must stop.
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

// Saved is what a data folder holds.
type Saved struct {
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
	Withdrawn []string
	TornBytes int // cut from the end of the log
}

// Store is an open data folder, locked to this process.
type Store struct {
	// BeforeWrite is called before each write with its size in bytes. An error
	// stands for one of the disk; tests set it.
	BeforeWrite func(size int) error

	folder    string
	lock      *os.File
	log       *os.File
	size      int64 // of the log up to the last whole write, bytes
	withdrawn *os.File
}

// Format creates the data folder of a replica. With a membership it is one of
// the first replicas of a new cluster; without, it joins as a learner. A folder
// that holds a replica already is refused.
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
	var own identityJSON
	if err := json.Unmarshal(data, &own); err != nil {
		return identity, false, fmt.Errorf("%s: %w", identityFile, err)
	}
	return Identity(own), true, nil
}

// Open locks a data folder and reads it. The identity must be the one of the
// folder.
func Open(folder string, identity Identity) (s *Store, saved Saved, err error) {
	defer fault.Annotate(&err, "open data folder %s", folder)
	s = &Store{folder: folder}
	if err := s.acquire(); err != nil {
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

func (s *Store) acquire() (err error) {
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
	var own identityJSON
	if err := json.Unmarshal(data, &own); err != nil {
		return fmt.Errorf("%s: %w", identityFile, err)
	}
	if own.ClusterID != identity.ClusterID {
		return fmt.Errorf("it belongs to cluster %q, the settings say cluster.id %q", own.ClusterID, identity.ClusterID)
	}
	if own.VM != identity.VM {
		return fmt.Errorf("it belongs to VM %q, the settings say vm.id %q", own.VM, identity.VM)
	}
	return nil
}

// Save appends entries and the hard state, and syncs. A hard state without
// sync is left to the next write: it holds nothing that can't be found out
// again, and a write that isn't synced could be torn below a later one. After
// an error other than ErrSync nothing has been written and Save may be called
// again.
func (s *Store) Save(hard raft.HardState, entries []raft.Entry, sync bool) (err error) {
	defer fault.Annotate(&err, "save to %s", s.path(logFile))
	if !sync {
		return nil
	}
	var buffer []byte
	for _, entry := range entries {
		if buffer, err = appendRecord(buffer, entryRecord, codec.FromEntry(entry)); err != nil {
			return err
		}
	}
	if buffer, err = appendRecord(buffer, hardStateRecord, codec.FromHardState(hard)); err != nil {
		return err
	}
	buffer = appendBatch(nil, buffer)
	if err := s.write(s.log, buffer); err != nil {
		return errors.Join(err, s.cut())
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("%w: %w", ErrSync, err)
	}
	s.size += int64(len(buffer))
	return nil
}

func (s *Store) write(file *os.File, data []byte) error {
	if s.BeforeWrite != nil {
		if err := s.BeforeWrite(len(data)); err != nil {
			return err
		}
	}
	_, err := file.Write(data)
	return err
}

// cut removes a partial write from the end of the log.
func (s *Store) cut() error {
	if err := s.log.Truncate(s.size); err != nil {
		return fmt.Errorf("%w: cut a partial write: %w", ErrSync, err)
	}
	_, err := s.log.Seek(s.size, 0)
	return err
}

// SaveSnapshot replaces the snapshot and keeps only the log behind it: entries
// and the hard state are what the new log begins with.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot, hard raft.HardState, entries []raft.Entry) (err error) {
	defer fault.Annotate(&err, "save the snapshot at index %d to %s", snapshot.Index, s.folder)
	if err := s.writeSnapshotFile(snapshot); err != nil {
		return err
	}
	var buffer []byte
	for _, entry := range entries {
		if buffer, err = appendRecord(buffer, entryRecord, codec.FromEntry(entry)); err != nil {
			return err
		}
	}
	if buffer, err = appendRecord(buffer, hardStateRecord, codec.FromHardState(hard)); err != nil {
		return err
	}
	buffer = appendBatch(nil, buffer)
	if err := s.replaceFile(logFile, buffer); err != nil {
		return err
	}
	return s.reopenLog(int64(len(buffer)))
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

func (s *Store) writeSnapshotFile(snapshot raft.Snapshot) error {
	buffer, err := appendRecord(nil, snapshotRecord, codec.FromLogSnapshot(snapshot))
	if err != nil {
		return err
	}
	return s.replaceFile(snapshotFile, buffer)
}

// replaceFile writes a file whole or not at all: write, sync, rename, sync of
// the folder.
func (s *Store) replaceFile(name string, data []byte) (err error) {
	defer fault.Annotate(&err, "replace %s", name)
	temporary := s.path(name + temporaryFile)
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

// SaveWithdrawn appends withdrawn keys and syncs.
func (s *Store) SaveWithdrawn(keys []string) (err error) {
	defer fault.Annotate(&err, "save to %s", s.path(withdrawnFile))
	var buffer []byte
	for _, key := range keys {
		if buffer, err = appendRecord(buffer, withdrawalRecord, &state.Change{Kind: &state.Change_WithdrawKey{WithdrawKey: key}}); err != nil {
			return err
		}
	}
	if err := s.write(s.withdrawn, appendBatch(nil, buffer)); err != nil {
		return err
	}
	return s.withdrawn.Sync()
}

// Size returns the size of the log file in bytes.
func (s *Store) Size() int64 {
	return s.size
}

// Close releases the data folder.
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
	record, result := parseRecord(data)
	if result != parsedWhole || record.kind != snapshotRecord || record.size != len(data) {
		return snapshot, fmt.Errorf("%s: offset 0: %w; replace this replica", s.path(snapshotFile), ErrDamaged)
	}
	message := &state.LogSnapshot{}
	if err := proto.Unmarshal(record.payload, message); err != nil {
		return snapshot, fmt.Errorf("%s: offset 0: %w: %w", s.path(snapshotFile), ErrDamaged, err)
	}
	return codec.ToLogSnapshot(message), nil
}

func (s *Store) readLog(saved *Saved) (err error) {
	records, kept, torn, err := s.readRecords(logFile)
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := saved.add(record); err != nil {
			return fmt.Errorf("%s: %w: %w", s.path(logFile), ErrDamaged, err)
		}
	}
	saved.TornBytes = torn
	if err := s.reopenLog(int64(kept)); err != nil {
		return err
	}
	if torn == 0 {
		return nil
	}
	if err := s.log.Truncate(int64(kept)); err != nil {
		return err
	}
	return s.log.Sync()
}

// add takes in one record of the log. An entry replaces those from its index on.
func (saved *Saved) add(record parsed) error {
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
		return nil // written before the snapshot was taken, which holds it
	}
	if entry.Term < saved.Snapshot.Term {
		return nil // left over from before a snapshot of the leader replaced the log
	}
	place := entry.Index - first
	if place > uint64(len(saved.Entries)) {
		return fmt.Errorf("entry %d follows entry %d", entry.Index, first+uint64(len(saved.Entries))-1)
	}
	saved.Entries = append(saved.Entries[:place], entry)
	return nil
}

// readRecords reads a file of records. It returns how many bytes hold whole
// records and how many behind them are a torn tail.
func (s *Store) readRecords(name string) (records []parsed, kept, torn int, err error) {
	data, err := os.ReadFile(s.path(name))
	if err != nil {
		return nil, 0, 0, err
	}
	for kept < len(data) {
		record, result := parseRecord(data[kept:])
		inner, whole := record.unpack()
		if result == parsedWhole && whole {
			records = append(records, inner...)
			kept += record.size
			continue
		}
		if holdsBatch(data[kept+1:]) {
			return nil, 0, 0, fmt.Errorf("%s: offset %d: %w; replace this replica", s.path(name), kept, ErrDamaged)
		}
		break
	}
	return records, kept, len(data) - kept, nil
}

func (s *Store) readWithdrawn() (keys []string, err error) {
	records, kept, _, err := s.readRecords(withdrawnFile)
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
	if err := s.withdrawn.Truncate(int64(kept)); err != nil {
		return nil, err
	}
	_, err = s.withdrawn.Seek(int64(kept), 0)
	return keys, err
}
