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
	file, err := os.Open(s.path(snapshotFile))
	if err != nil {
		return snapshot, err
	}
	defer file.Close()
	records, err := newScanner(file)
	if err != nil {
		return snapshot, err
	}
	encoded := make([]byte, 0, records.size)
	for offset := int64(0); offset < records.size || offset == 0; {
		record, result, err := records.next(offset)
		if err != nil {
			return snapshot, err
		}
		if result != recordComplete || record.kind != snapshotRecord {
			return snapshot, fmt.Errorf("%s: offset %d: %w; replace this replica", s.path(snapshotFile), offset, ErrDamaged)
		}
		encoded = append(encoded, record.payload...)
		offset += int64(record.size)
	}
	message := &state.LogSnapshot{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return snapshot, fmt.Errorf("%s: offset 0: %w: %w", s.path(snapshotFile), ErrDamaged, err)
	}
	return codec.ToLogSnapshot(message), nil
}

func (s *Store) readLog(saved *Saved) (err error) {
	reader := logReader{saved: saved, fold: s.fold}
	completeBytes, tornBytes, err := s.readRecords(logFile, reader.accept)
	if err != nil {
		return err
	}
	reader.foldAll()
	saved.TornBytes = int(tornBytes)
	if err := s.reopenLog(completeBytes); err != nil {
		return err
	}
	if tornBytes == 0 {
		return nil
	}
	if err := s.log.Truncate(completeBytes); err != nil {
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

// readRecords reads a file of records one after the other and passes them on; a payload is
// valid during the call only. It returns the number of bytes of complete records, and of the
// incomplete write that follows them. It fails with ErrDamaged if a complete batch follows
// bytes that can't be read, or if a record isn't accepted.
func (s *Store) readRecords(name string, accept func(record parsedRecord) error) (completeBytes, tornBytes int64, err error) {
	file, err := os.Open(s.path(name))
	if err != nil {
		return 0, 0, err
	}
	defer file.Close()
	records, err := newScanner(file)
	if err != nil {
		return 0, 0, err
	}
	for completeBytes < records.size {
		record, result, err := records.next(completeBytes)
		if err != nil {
			return 0, 0, err
		}
		inner, complete := record.unpack()
		if result != recordComplete || !complete {
			return completeBytes, records.size - completeBytes, s.checkTorn(records, name, completeBytes)
		}
		for _, r := range inner {
			if err := accept(r); err != nil {
				return 0, 0, fmt.Errorf("%s: %w: %w", s.path(name), ErrDamaged, err)
			}
		}
		completeBytes += int64(record.size)
	}
	return completeBytes, 0, nil
}

// checkTorn fails with ErrDamaged if what can't be read isn't the end of a file.
func (s *Store) checkTorn(records *scanner, name string, offset int64) error {
	found, err := records.containsBatch(offset + 1)
	if found {
		return fmt.Errorf("%s: offset %d: %w; replace this replica", s.path(name), offset, ErrDamaged)
	}
	return err
}

func (s *Store) readWithdrawn() (keys []string, err error) {
	completeBytes, _, err := s.readRecords(withdrawnFile, func(record parsedRecord) error {
		message := &state.Change{}
		err := proto.Unmarshal(record.payload, message)
		keys = append(keys, message.GetWithdrawKey())
		return err
	})
	if err != nil {
		return nil, err
	}
	s.withdrawn, err = os.OpenFile(s.path(withdrawnFile), os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	s.withdrawnSize = completeBytes
	return keys, truncate(s.withdrawn, s.withdrawnSize)
}
