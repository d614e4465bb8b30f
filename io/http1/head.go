package http1

import (
	"bytes"
	"errors"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

var (
	// ErrMalformedName is the error of a head in which the name of a field is empty or has a
	// byte that no name may have (RFC 9110, section 5.1), or in which a line begins with a blank.
	//
	// net/http takes a blank before the colon for a part of the name, so that it misses the
	// length or the chunks of the body, and joins a line that begins with a blank to the one
	// before, which RFC 9112, section 5.2, lets a gateway refuse.
	ErrMalformedName = errors.New("the name of a field in the answer's head is malformed")
	// ErrTransferEncoding is the error of an answer older than HTTP/1.1 with a transfer encoding
	// (RFC 9112, section 6.1). net/http takes its chunks, with their sizes, for the body.
	ErrTransferEncoding = errors.New("an answer older than HTTP/1.1 can't have a transfer encoding")
)

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

const (
	// maxStatusLine is how much of a status line is kept, in bytes.
	maxStatusLine    = 64
	transferEncoding = "Transfer-Encoding"
)

// headScanner checks the heads before an answer's body, byte by byte as they come.
type headScanner struct {
	part   part
	status []byte // begin of the status line
	name   []byte // begin of the name of a field, longer than transferEncoding for longer names
}

// begin makes the next byte the first one of a head.
func (s *headScanner) begin() {
	s.part, s.status = statusLine, s.status[:0]
}

// scan checks the next bytes, up to the body.
func (s *headScanner) scan(next []byte) error {
	for _, b := range next {
		if s.part == body {
			return nil
		}
		if err := s.take(b); err != nil {
			return err
		}
	}
	return nil
}

// take moves on by one byte.
func (s *headScanner) take(b byte) error {
	switch s.part {
	case statusLine:
		s.takeStatus(b)
	case lineStart:
		return s.takeStart(b)
	case blankLine:
		if b != '\n' {
			return ErrMalformedName
		}
		s.endHead()
	case fieldName:
		return s.takeName(b)
	case fieldValue:
		if b == '\n' {
			s.part = lineStart
		}
	}
	return nil
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

func (s *headScanner) takeStart(b byte) error {
	switch b {
	case '\r':
		s.part = blankLine
	case '\n':
		s.endHead()
	case ':':
		return ErrMalformedName
	default:
		s.part, s.name = fieldName, s.name[:0]
		return s.takeName(b)
	}
	return nil
}

func (s *headScanner) takeName(b byte) error {
	if b == ':' {
		s.part = fieldValue
		return s.checkEncoding()
	}
	if !httpguts.IsTokenRune(rune(b)) {
		return ErrMalformedName
	}
	if len(s.name) <= len(transferEncoding) {
		s.name = append(s.name, b)
	}
	return nil
}

func (s *headScanner) checkEncoding() error {
	if !strings.EqualFold(string(s.name), transferEncoding) {
		return nil
	}
	version, _, _ := strings.Cut(string(s.status), " ")
	if major, minor, valid := http.ParseHTTPVersion(version); valid && (major < 1 || major == 1 && minor < 1) {
		return ErrTransferEncoding
	}
	return nil
}

// endHead ends a head. Another one follows an informational one.
func (s *headScanner) endHead() {
	s.part = body
	if fields := bytes.Fields(s.status); len(fields) > 1 && isInformational(string(fields[1])) {
		s.begin()
	}
}

func isInformational(code string) bool {
	return strings.HasPrefix(code, "1") && code != "101"
}
