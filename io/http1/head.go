package http1

import (
	"bytes"
	"errors"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedName is the error of a head in which the name of a field is empty or has a byte
// that no name may have (RFC 9110, section 5.1), or in which a line begins with a blank.
//
// net/http takes a blank before the colon for a part of the name, so that it misses the length
// or the chunks of the body, and joins a line that begins with a blank to the one before, which
// RFC 9112, section 5.2, lets a gateway refuse.
var ErrMalformedName = errors.New("the name of a field in the answer's head is malformed")

// part is where in an answer the next byte belongs.
type part uint8

const (
	body       part = iota // or no answer is expected
	statusLine             // from its first byte to its line feed
	lineStart              // the first byte of a line with a field, or of the blank line
	blankLine              // after the carriage return of the blank line
	fieldName
	fieldValue // from its colon to its line feed
)

// maxStatusLine is how much of a status line is kept, in bytes.
const maxStatusLine = 64

// headScanner checks the heads before an answer's body, byte by byte as they come.
type headScanner struct {
	part   part
	status []byte // begin of the status line
}

// scan checks the next bytes, up to the body.
func (s *headScanner) scan(next []byte) error {
	for _, b := range next {
		if s.part == body {
			return nil
		}
		if !s.take(b) {
			return ErrMalformedName
		}
	}
	return nil
}

// take moves on by one byte, and returns false if that can't come here.
func (s *headScanner) take(b byte) bool {
	switch s.part {
	case statusLine:
		s.takeStatus(b)
	case lineStart:
		return s.takeStart(b)
	case blankLine:
		if b != '\n' {
			return false
		}
		s.endHead()
	case fieldName:
		if b == ':' {
			s.part = fieldValue
			return true
		}
		return isNameByte(b)
	case fieldValue:
		if b == '\n' {
			s.part = lineStart
		}
	}
	return true
}

func (s *headScanner) takeStatus(b byte) {
	if b == '\n' {
		s.part = lineStart
		return
	}
	if len(s.status) < maxStatusLine {
		s.status = append(s.status, b)
	}
}

func (s *headScanner) takeStart(b byte) bool {
	switch {
	case b == '\r':
		s.part = blankLine
	case b == '\n':
		s.endHead()
	default:
		s.part = fieldName
		return isNameByte(b)
	}
	return true
}

// endHead ends a head. Another one follows an informational one.
func (s *headScanner) endHead() {
	s.part = body
	if fields := bytes.Fields(s.status); len(fields) > 1 && isInformational(string(fields[1])) {
		s.part = statusLine
	}
	s.status = s.status[:0]
}

func isInformational(code string) bool {
	return strings.HasPrefix(code, "1") && code != "101"
}

func isNameByte(b byte) bool {
	return httpguts.IsTokenRune(rune(b))
}
