// Package eventstream cuts a text/event-stream into whole events and checks
// that their ids go on by one.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEvent bounds one event, in bytes.
const MaxEvent = 1 << 20

// ErrTorn tells that a stream ended in the middle of an event.
var ErrTorn = errors.New("the stream ended in the middle of an event")

// Event is one event as it came, with the blank line that ends it.
type Event struct {
	Raw   []byte
	ID    int64
	HasID bool
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	last   int64
	begun  bool
}

// NewReader returns a reader that expects the event after last first, or any
// event if begun is false.
func NewReader(source io.Reader, last int64, begun bool) *Reader {
	return &Reader{source: bufio.NewReader(source), last: last, begun: begun}
}

// Next returns the next whole event, or io.EOF after the last one.
func (r *Reader) Next() (event Event, err error) {
	for {
		line, err := r.source.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, r.ended(event, line, err)
		}
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > MaxEvent {
			return event, fmt.Errorf("an event has more than %d bytes", MaxEvent)
		}
		if err != nil {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(event.Raw)) == 0 {
				event.Raw = nil
				continue
			}
			return event, r.check(&event)
		}
	}
}

func (r *Reader) ended(event Event, line []byte, err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event.Raw))+len(bytes.TrimSpace(line)) > 0 {
		return ErrTorn
	}
	return err
}

// check reads the id of a whole event and compares it with the last one.
func (r *Reader) check(event *Event) error {
	for line := range bytes.Lines(event.Raw) {
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
	if r.begun && event.ID != r.last+1 {
		return fmt.Errorf("event id %d does not follow %d", event.ID, r.last)
	}
	r.last, r.begun = event.ID, true
	return nil
}
