package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

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

const (
	// saveBatchSize bounds the batches of one save, which are synced one after the other: as
	// a rule there is one, so that the entries and the hard state are on disk together.
	saveBatchSize = maxRecordSize - hardStateSize
	// replaceBatchSize bounds those of a log that is replaced as a whole.
	replaceBatchSize = 2 << 20
	// hardStateSize is more than the record of a hard state has.
	hardStateSize = 4 << 10
)

// MaxEntryBytes is the largest encoded entry of the log that can be saved: with the
// headers of its record and its batch it must fit into maxRecordSize.
const MaxEntryBytes = maxRecordSize - 2*headerSize - 1

// ErrTooLarge reports an entry that is larger than MaxEntryBytes.
var ErrTooLarge = errors.New("too large for one record")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends an encoded record to a buffer.
func appendRecord(buffer []byte, kind recordKind, message proto.Message) (extended []byte, err error) {
	size := proto.Size(message)
	if size > MaxEntryBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, MaxEntryBytes)
	}
	start := len(buffer)
	buffer = slices.Grow(buffer, headerSize+size)[:start+headerSize]
	if buffer, err = (proto.MarshalOptions{}).MarshalAppend(buffer, message); err != nil {
		return nil, err
	}
	putHeader(buffer[start:], kind, buffer[start+headerSize:])
	return buffer, nil
}

// putHeader writes the header of a record with an encoded payload, which must be shorter
// than maxRecordSize.
func putHeader(header []byte, kind recordKind, payload []byte) {
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload))|uint32(kind)<<24)
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
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

// parseHeader parses the header of a record at the start of data.
func parseHeader(data []byte) (record parsedRecord, result parseResult) {
	if len(data) < headerSize {
		return parsedRecord{}, recordTruncated
	}
	if crc32.Checksum(data[:4], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return parsedRecord{}, recordCorrupt
	}
	lengthAndKind := binary.LittleEndian.Uint32(data)
	record.kind = recordKind(lengthAndKind >> 24)
	record.size = headerSize + int(lengthAndKind&(maxRecordSize-1))
	return record, recordComplete
}

// parseRecord parses the record at the start of data.
func parseRecord(data []byte) (record parsedRecord, result parseResult) {
	if record, result = parseHeader(data); result != recordComplete {
		return record, result
	}
	if len(data) < record.size {
		return parsedRecord{}, recordTruncated
	}
	record.payload = data[headerSize:record.size]
	if crc32.Checksum(record.payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return parsedRecord{}, recordCorrupt
	}
	return record, recordComplete
}

// batch is the records of one write, encoded as one record.
type batch struct {
	data []byte // begins with the place of the header
}

func newBatch() batch {
	return batch{data: make([]byte, headerSize)}
}

// reset removes the records and keeps the memory.
func (b *batch) reset() {
	b.data = b.data[:headerSize]
}

func (b *batch) add(kind recordKind, message proto.Message) (err error) {
	b.data, err = appendRecord(b.data, kind, message)
	return err
}

func (b *batch) empty() bool {
	return len(b.data) == headerSize
}

// encoded returns the batch with its header.
func (b *batch) encoded() []byte {
	putHeader(b.data, batchRecord, b.data[headerSize:])
	return b.data
}

// writeBatches encodes entries and the hard state that follows them as batches of at most a
// size (or one entry), and writes each before it encodes the next in the same memory. The
// hard state is in the last one.
func writeBatches(hard raft.HardState, entries []raft.Entry, size int, write func(batch []byte) error) error {
	b := newBatch()
	for _, entry := range entries {
		message := codec.FromEntry(entry)
		if !b.empty() && len(b.data)+headerSize+proto.Size(message) > size {
			if err := write(b.encoded()); err != nil {
				return err
			}
			b.reset()
		}
		if err := b.add(entryRecord, message); err != nil {
			return fmt.Errorf("entry %d: %w", entry.Index, err)
		}
	}
	if len(b.data) > maxRecordSize-hardStateSize {
		if err := write(b.encoded()); err != nil {
			return err
		}
		b.reset()
	}
	if err := b.add(hardStateRecord, codec.FromHardState(hard)); err != nil {
		return err
	}
	return write(b.encoded())
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
