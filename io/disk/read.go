package disk

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

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
