package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReader(t *testing.T) {
	tests := []struct {
		name, stream string
		last         int64
		hasLast      bool
		events       int
		want         error // nil: any error but io.EOF
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0, false, 2, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", 0, false, 2, io.EOF},
		{"no ids", "data: a\n\ndata: b\n\n", 0, false, 2, io.EOF},
		{"torn line", "id: 1\ndata: a\n\nid: 2\nda", 0, false, 1, ErrTruncated},
		{"torn before the blank line", "id: 1\ndata: a\n", 0, false, 0, ErrTruncated},
		{"missing event", "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", 0, false, 1, nil},
		{"repeated event", "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", 0, false, 1, nil},
		{"resumed", "id: 8\ndata: h\n\n", 7, true, 1, io.EOF},
		{"resumed too early", "id: 7\ndata: g\n\n", 7, true, 0, nil},
		{"empty", "", 0, false, 0, io.EOF},
		{"comment and own field", ": wait\n\nid: 1\nown-field: 3\ndata\n\n", 0, false, 2, io.EOF},
		{"head of an answer", "id: 1\ndata: a\n\nHTTP/1.1 500 X\r\n\r\n", 0, false, 1, ErrForeign},
		{"header", "id: 1\nContent-Type: text/plain\n\n", 0, false, 0, ErrForeign},
		{"plain text", "Internal Server Error\n\n", 0, false, 0, ErrForeign},
		{"id is no number", "id: x\n\n", 0, false, 0, nil},
	}
	for _, test := range tests {
		// One byte per read, as from a slow target.
		reader := NewReader(iotest.OneByteReader(strings.NewReader(test.stream)), test.last, test.hasLast)
		count := 0
		var err error
		for {
			if _, err = reader.Next(); err != nil {
				break
			}
			count++
		}
		if count != test.events || (test.want != nil && !errors.Is(err, test.want)) || (test.want == nil && errors.Is(err, io.EOF)) {
			t.Errorf("%s: %d events, then %v; want %d, then %v", test.name, count, err, test.events, test.want)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := NewReader(strings.NewReader(stream), 0, false)
		passed := ""
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			passed += string(event.Raw)
		}
		if strings.Trim(passed, "\r\n") != "" && !strings.Contains(stream, strings.Trim(passed, "\r\n")) {
			t.Errorf("events %q are no part of the stream %q", passed, stream)
		}
	})
}
