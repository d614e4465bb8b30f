package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// answering returns a peer's function that writes a text, with ID replaced by the id of
// the request, and closes.
func answering(text string) func(net.Conn, *http.Request, int64) {
	return func(conn net.Conn, request *http.Request, _ int64) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get("Id")))
		conn.Close()
	}
}

const soundHead = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n"

// Heads that are none, or are not the one of the answer, must not be taken for it.
func TestOnlyTheHeadOfTheAnswerIsTaken(t *testing.T) {
	sound := soundHead + "\r\nok"
	informational := func(code int) string { return fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\n\r\n", code) }
	tests := map[string]struct {
		answer string
		body   string // empty: it must fail
	}{
		"sound":                       {sound, "ok"},
		"100 before":                  {informational(100) + sound, "ok"},
		"103 before":                  {informational(103) + sound, "ok"},
		"several before":              {informational(100) + informational(103) + informational(103) + sound, "ok"},
		"100 only":                    {informational(100), ""},
		"103 only":                    {informational(103), ""},
		"103 without end":             {strings.Repeat(informational(103), 20000) + sound, ""},
		"another protocol":            {informational(101) + sound, ""},
		"status 0":                    {strings.Replace(sound, "200", "000", 1), ""},
		"status 99":                   {strings.Replace(sound, "200", "099", 1), ""},
		"status of two digits":        {strings.Replace(sound, "200", "20", 1), ""},
		"negative status":             {strings.Replace(sound, "200", "-20", 1), ""},
		"line feeds only":             {strings.ReplaceAll(sound, "\r\n", "\n"), "ok"},
		"cut after a line":            {soundHead, ""},
		"cut before a line feed":      {soundHead + "\r", ""},
		"cut line":                    {soundHead + "Seal", ""},
		"cut in the status line":      {"HTTP/1.1 200", ""},
		"two lengths":                 {soundHead + "Content-Length: 1\r\n\r\nok", ""},
		"same length twice":           {soundHead + "Content-Length: 2\r\n\r\nok", "ok"},
		"negative length":             {strings.Replace(sound, ": 2", ": -2", 1), ""},
		"huge length":                 {strings.Replace(sound, ": 2", ": 9223372036854775807", 1), ""},
		"length beyond 64 bits":       {strings.Replace(sound, ": 2", ": 99999999999999999999", 1), ""},
		"length with a sign":          {strings.Replace(sound, ": 2", ": +2", 1), ""},
		"length in hexadecimal":       {strings.Replace(sound, ": 2", ": 0x2", 1), ""},
		"length and chunks":           {soundHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		"length and cut chunks":       {soundHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", ""},
		"unknown encoding":            {soundHead + "Transfer-Encoding: gzip\r\n\r\nok", ""},
		"chunk size overflows":        {soundHead + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n", ""},
		"chunk of the largest size":   {soundHead + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n", ""},
		"negative chunk size":         {soundHead + "Transfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n", ""},
		"no last chunk":               {soundHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok", ""},
		"cut after the last chunk":    {soundHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", ""},
		"blank in a name":             {soundHead + "Se al: x\r\n\r\nok", ""},
		"blank before a colon":        {strings.Replace(sound, "Length:", "Length :", 1), ""},
		"blank before a name":         {soundHead + " Seal: x\r\n\r\nok", ""},
		"tab before a name":           {soundHead + "\tSeal: x\r\n\r\nok", ""},
		"control byte in a name":      {soundHead + "Se\x01al: x\r\n\r\nok", ""},
		"empty name":                  {soundHead + ": x\r\n\r\nok", ""},
		"blank in a name, 103 before": {informational(103) + soundHead + "Se al: x\r\n\r\nok", ""},
		"blank in a name of a 103":    {"HTTP/1.1 103 X\r\nSe al: x\r\n\r\n" + sound, ""},
		"colons and blanks in values": {soundHead + "Seal: a : b\t:\r\n\r\nok", "ok"},
		"field without a value":       {soundHead + "Seal:\r\n\r\nok", "ok"},
		"line without a colon":        {soundHead + "Seal\r\n\r\nok", ""},
		"not an answer":               {"hello\r\n\r\n", ""},
		"head beyond the bound":       {soundHead + strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 300) + "\r\nok", ""},
		"large head within the bound": {soundHead + strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 200) + "\r\nok", "ok"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := startPeer(t, answering(test.answer))
			body, response, err := send(t.Context(), NewClient(nil), p, "a")
			var failure *Failure
			switch {
			case test.body != "" && (err != nil || body != test.body || response.StatusCode != http.StatusOK):
				t.Errorf("body %q, error %v", body, err)
			case test.body == "" && err == nil:
				t.Errorf("status %d, body %q taken for an answer", response.StatusCode, body)
			case errors.As(err, &failure) && !failure.Sent:
				t.Errorf("error %v: the request has been sent", err)
			}
			if got := p.requests.Load(); got != 1 {
				t.Errorf("sent %d times", got)
			}
		})
	}
}

// A head without an end must end by its size, before it takes the memory of this VM.
func TestEndlessHeadTakesLittleMemory(t *testing.T) {
	for name, part := range map[string]string{"one line": strings.Repeat("x", 1<<20), "many lines": strings.Repeat("A: b\r\n", 1<<17), "many heads": strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 1<<16)} {
		start := soundHead
		if name == "many heads" {
			start = ""
		}
		p := startPeer(t, func(conn net.Conn, request *http.Request, number int64) {
			answering(start)(noClose{conn}, request, number)
			for range 100 {
				_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := io.WriteString(conn, part); err != nil {
					return
				}
			}
		})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, _, err := send(ctx, NewClient(nil), p, "a")
		cancel()
		runtime.ReadMemStats(&after)
		if grown := after.TotalAlloc - before.TotalAlloc; err == nil || grown > 16<<20 {
			t.Errorf("%s: error %v after %d MB", name, err, grown>>20)
		}
	}
}

// noClose is a connection that its writer leaves open.
type noClose struct{ net.Conn }

func (noClose) Close() error { return nil }
