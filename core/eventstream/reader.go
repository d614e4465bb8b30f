// Package eventstream splits a text/event-stream (server-sent events) into whole
// events and checks that numeric event ids increase by one, so that a lost,
// repeated or truncated event is detected. Events are returned byte for byte;
// events without an id are not checked.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// MaxEvent is the largest size of one event, in bytes.
const MaxEvent = 1 << 20

// ErrTruncated is returned if the stream ends in the middle of an event.
var ErrTruncated = errors.New("the stream ended in the middle of an event")

// ErrForeign is returned for a line that no event has, such as the head of an HTTP answer
// or the text of an error.
var ErrForeign = errors.New("the stream has a line that is no field of an event")

// Event is one event of a stream.
type Event struct {
	Raw   []byte // unchanged, with the blank line that ends it
	ID    int64
	HasID bool
}

// Reader reads the events of one stream.
type Reader struct {
	// Grow is called with the memory that an event takes, in bytes, before it is read on. Its
	// error ends the stream. It may be nil.
	Grow func(size int64) error

	source  *bufio.Reader
	blank   int // bytes of blank lines since the last event
	last    int64
	hasLast bool
}

// NewReader returns a reader. If hasLast is true, the first id must be last+1,
// as in a stream that is resumed; otherwise it may be any number.
func NewReader(source io.Reader, last int64, hasLast bool) *Reader {
	return &Reader{source: bufio.NewReader(source), last: last, hasLast: hasLast}
}

// Next returns the next whole event, or io.EOF after the last one. Other errors
// are ErrTruncated, ErrForeign, those of the source and of Grow, and those for an event that is larger than
// MaxEvent or whose id is not a number or out of sequence.
func (r *Reader) Next() (event Event, err error) {
	for {
		line, err := r.source.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, r.readError(event, line, err)
		}
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > MaxEvent {
			return event, fmt.Errorf("event is larger than %d bytes", MaxEvent)
		}
		if err := r.grow(event); err != nil {
			return event, err
		}
		if err != nil {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(event.Raw)) > 0 {
				r.blank = 0
				return event, r.check(&event)
			}
			if r.blank += len(event.Raw); r.blank > MaxEvent {
				return event, fmt.Errorf("more than %d bytes of blank lines without an event", MaxEvent)
			}
			event.Raw = nil
		}
	}
}

func (r *Reader) grow(event Event) error {
	if r.Grow == nil {
		return nil
	}
	return r.Grow(int64(cap(event.Raw)))
}

func (r *Reader) readError(event Event, line []byte, err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event.Raw))+len(bytes.TrimSpace(line)) > 0 {
		return ErrTruncated
	}
	return err
}

// check parses the id of an event and compares it with the last one.
func (r *Reader) check(event *Event) error {
	for line := range bytes.Lines(event.Raw) {
		if !isField(bytes.TrimRight(line, "\r\n")) {
			return ErrForeign
		}
		value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return fmt.Errorf("event id %q is not a number", bytes.TrimSpace(value))
		}
		event.ID, event.HasID = id, true
	}
	if !event.HasID {
		return nil
	}
	if r.hasLast && event.ID != r.last+1 {
		return fmt.Errorf("event id %d does not follow event id %d", event.ID, r.last)
	}
	r.last, r.hasLast = event.ID, true
	return nil
}

// isField reports whether a line is a comment, or a field with a name in lower case.
// Senders may add fields of their own to those of the format; only the latter may come
// without a value.
func isField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found {
		return len(line) == 0 || slices.Contains(fields, string(line))
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// fields are the names of fields that the format knows (HTML standard, server-sent
// events).
var fields = []string{"event", "data", "id", "retry"}
