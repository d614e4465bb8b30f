package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
)

// A record is a header of 12 bytes and a payload. The header holds the length
// of the payload with the kind in its top byte, a checksum of these four bytes
// and a checksum of the payload, all little-endian.
const (
	headerSize    = 12      // bytes
	maxRecordSize = 1 << 24 // bytes; a payload is shorter, as its length has 24 bits
)

type recordKind uint8

const (
	entryRecord recordKind = iota + 1
	hardStateRecord
	snapshotRecord
	withdrawalRecord
	// batchRecord holds the records of one write. Each write is synced before the
	// next, so that a power loss can tear only the last batch.
	batchRecord
)

// MaxEntryBytes is the largest encoded entry of the log that can be saved: with the
// headers of its record and its batch it must fit into maxRecordSize.
const MaxEntryBytes = maxRecordSize - 2*headerSize - 1

// ErrTooLarge reports an entry that is larger than MaxEntryBytes.
var ErrTooLarge = errors.New("too large for one record")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends an encoded record to a buffer.
func appendRecord(buffer []byte, kind recordKind, message proto.Message) (extended []byte, err error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(payload) > MaxEntryBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(payload), MaxEntryBytes)
	}
	return appendPayload(buffer, kind, payload), nil
}

// appendPayload appends a record with an encoded payload, which must be shorter than
// maxRecordSize, to a buffer.
func appendPayload(buffer []byte, kind recordKind, payload []byte) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload))|uint32(kind)<<24)
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...)
}

type parsedRecord struct {
	kind    recordKind
	payload []byte
	size    int // header and payload, bytes
}

type parseResult uint8

const (
	recordComplete  parseResult = iota
	recordTruncated             // the data ends before the record does
	recordCorrupt               // a checksum doesn't match
)

// parseRecord parses the record at the start of data.
func parseRecord(data []byte) (record parsedRecord, result parseResult) {
	if len(data) < headerSize {
		return parsedRecord{}, recordTruncated
	}
	if crc32.Checksum(data[:4], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return parsedRecord{}, recordCorrupt
	}
	lengthAndKind := binary.LittleEndian.Uint32(data)
	record.kind = recordKind(lengthAndKind >> 24)
	record.size = headerSize + int(lengthAndKind&(maxRecordSize-1))
	if len(data) < record.size {
		return parsedRecord{}, recordTruncated
	}
	record.payload = data[headerSize:record.size]
	if crc32.Checksum(record.payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return parsedRecord{}, recordCorrupt
	}
	return record, recordComplete
}

// appendBatch appends the encoded records of one write to a buffer, as one record.
func appendBatch(buffer, records []byte) []byte {
	return appendPayload(buffer, batchRecord, records)
}

// encodeBatches encodes entries and the hard state that follows them as batches, as
// many as their size needs. The hard state is in the last one.
func encodeBatches(hard raft.HardState, entries []raft.Entry) (batches [][]byte, err error) {
	var records []byte
	add := func(kind recordKind, message proto.Message) error {
		record, err := appendRecord(nil, kind, message)
		if err != nil {
			return err
		}
		if len(records)+len(record) >= maxRecordSize {
			batches = append(batches, appendBatch(nil, records))
			records = nil
		}
		records = append(records, record...)
		return nil
	}
	for _, entry := range entries {
		if err := add(entryRecord, codec.FromEntry(entry)); err != nil {
			return nil, fmt.Errorf("entry %d: %w", entry.Index, err)
		}
	}
	if err := add(hardStateRecord, codec.FromHardState(hard)); err != nil {
		return nil, err
	}
	return append(batches, appendBatch(nil, records)), nil
}

// unpack returns the records of a batch, or the record itself if it is no batch, and
// whether all of them could be parsed.
func (p parsedRecord) unpack() (records []parsedRecord, complete bool) {
	if p.kind != batchRecord {
		return []parsedRecord{p}, true
	}
	for rest := p.payload; len(rest) > 0; {
		record, result := parseRecord(rest)
		if result != recordComplete {
			return nil, false
		}
		records = append(records, record)
		rest = rest[record.size:]
	}
	return records, true
}

// containsBatch reports whether a complete batch starts anywhere in data. Nothing
// follows a torn write, so a complete batch after unreadable bytes means damage.
func containsBatch(data []byte) bool {
	for offset := range data {
		if record, result := parseRecord(data[offset:]); result == recordComplete && record.kind == batchRecord {
			return true
		}
	}
	return false
}
