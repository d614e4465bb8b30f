package http1

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// fedConn is a connection that reads from a source.
type fedConn struct {
	net.Conn
	source io.Reader
}

func (c fedConn) Read(into []byte) (int, error)    { return c.source.Read(into) }
func (c fedConn) SetWriteDeadline(time.Time) error { return nil }

// Heads come in parts of any length, and what follows a head is never taken for one.
func TestHeadsAreCheckedHoweverTheyCome(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   error
	}{
		"sound":                     {"HTTP/1.1 200 OK\r\nA: b\r\n\r\nC d: e\r\n", nil},
		"line feeds only":           {"HTTP/1.1 200 OK\nA: b\n\n C: d\n", nil},
		"no field":                  {"HTTP/1.1 204 X\r\n\r\n", nil},
		"another protocol":          {"HTTP/1.1 101 X\r\n\r\n: b", nil},
		"blank":                     {"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", ErrMalformedName},
		"blank after informational": {"HTTP/1.1  103 X\r\n\r\nHTTP/1.1 200 OK\r\nA : c\r\n\r\n", ErrMalformedName},
		"folded line":               {"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", ErrMalformedName},
		"carriage return":           {"HTTP/1.1 200 OK\r\n\rA: b\r\n\r\n", ErrMalformedName},
		"chunks":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
		"chunks of HTTP/1.0":        {"HTTP/1.0 200 OK\r\nA: b\r\ntransfer-Encoding: chunked\r\n\r\n", ErrTransferEncoding},
		"chunks of HTTP/0.9":        {"HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferEncoding},
		"HTTP/1.0":                  {"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n", nil},
		"byte above ASCII":          {"HTTP/1.1 200 OK\r\nA\xe9: b\r\n\r\n", ErrMalformedName},
	} {
		for way, source := range map[string]io.Reader{"whole": iotest.DataErrReader(strings.NewReader(test.answer)), "byte by byte": iotest.OneByteReader(strings.NewReader(test.answer))} {
			conn := NewConn(fedConn{source: source})
			conn.ExpectHead()
			read, err := io.ReadAll(conn)
			if !errors.Is(err, test.want) || test.want == nil && string(read) != test.answer {
				t.Errorf("%s, %s: read %q, error %v", name, way, read, err)
			}
		}
	}
}
