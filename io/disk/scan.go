package disk

import "os"

// scanSize is the number of bytes that are searched for a batch at a time.
const scanSize = 64 << 10

// scanner reads the records of a file one after the other.
type scanner struct {
	file   *os.File
	size   int64 // of the file, bytes
	buffer []byte
}

func newScanner(file *os.File) (s *scanner, err error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	return &scanner{file: file, size: info.Size()}, nil
}

// next reads the record at an offset. Its payload is valid until the next call.
func (s *scanner) next(offset int64) (record parsedRecord, result parseResult, err error) {
	header := make([]byte, headerSize)
	if offset+headerSize > s.size {
		return parsedRecord{}, recordTruncated, nil
	}
	if _, err := s.file.ReadAt(header, offset); err != nil {
		return parsedRecord{}, recordTruncated, err
	}
	if record, result = parseHeader(header); result != recordComplete {
		return record, result, nil
	}
	if offset+int64(record.size) > s.size {
		return parsedRecord{}, recordTruncated, nil
	}
	if cap(s.buffer) < record.size {
		s.buffer = make([]byte, record.size)
	}
	data := s.buffer[:record.size]
	if _, err := s.file.ReadAt(data, offset); err != nil {
		return parsedRecord{}, recordTruncated, err
	}
	record, result = parseRecord(data)
	return record, result, nil
}

// containsBatch reports whether a complete batch starts anywhere from an offset on. Nothing
// follows a torn write, so a complete batch after unreadable bytes means damage.
func (s *scanner) containsBatch(from int64) (found bool, err error) {
	window := make([]byte, scanSize)
	for ; from+headerSize <= s.size; from += scanSize - headerSize + 1 {
		part := window[:min(scanSize, s.size-from)]
		if _, err := s.file.ReadAt(part, from); err != nil {
			return false, err
		}
		for at := 0; at+headerSize <= len(part); at++ {
			record, result := parseHeader(part[at:])
			if result != recordComplete || record.kind != batchRecord {
				continue
			}
			if _, result, err = s.next(from + int64(at)); err != nil || result == recordComplete {
				return result == recordComplete, err
			}
		}
	}
	return false, nil
}
