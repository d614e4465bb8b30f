package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcuprill/io/rig/rawpeer"
)

// A malformed answer must not tell the start of a peer, and the request isn't sent.
func TestMalformedAnswersTellNoStart(t *testing.T) {
	for name, answer := range rawpeer.Malformed("5") {
		answer = strings.Replace(answer, "\r\nA", "\r\nContent-Length: 1\r\nA", 1)
		request := Request{Method: http.MethodGet, URI: "/", Host: "h", Start: &Start{URI: "/start", Read: readStart, Want: 5, Within: time.Second}}
		_, err := NewClient(nil).Do(t.Context(), "p", rawpeer.Peer{Answer: answer}.Start(t), request)
		var failure *Failure
		if !errors.Is(err, ErrStartUnknown) || !errors.As(err, &failure) || failure.Sent {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func readStart(answer []byte) (start int64, known bool) {
	start, err := strconv.ParseInt(string(answer), 10, 64)
	return start, err == nil
}
