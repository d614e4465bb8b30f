package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/exchange"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// A VM is silent for a while and then answers a request that may not run again. The request
// was given up, though nothing could take its place.
func TestSilentVMsLoseNoRequestThatMayNotRunAgain(t *testing.T) {
	client := &Client{VMState: vmstate.New(membership.Member{ID: "vm-1"}, time.Second), Peers: peer.NewUnsigned("vm-1")}
	request := exchange.Request{ID: "r", Deadline: time.Now().Add(time.Minute), Call: &exchange.Call{Method: http.MethodPost}}
	answer := answerOf(t, &vm.ForwardFrame{Status: 200, Body: []byte("fine")})
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		before, after time.Duration // the head of the answer
		repeatable    bool
		whole         bool
	}{
		"before the head":             {before: client.Peers.Timeouts.Peer * 3 / 2, whole: true},
		"after the head":              {after: silenceTimeout * 9 / 8, whole: true},
		"before it, may run again":    {before: client.Peers.Timeouts.Peer * 3 / 2, repeatable: true},
		"after it, but may run again": {after: silenceTimeout * 9 / 8, repeatable: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startScriptedVM(t, func(conn net.Conn) {
				time.Sleep(test.before)
				_, _ = conn.Write(answer[:len(head)])
				time.Sleep(test.after)
				_, _ = conn.Write(answer[len(head):])
			})
			r := request
			r.Route = catalogue.Route{Repeatable: test.repeatable}
			got, err := client.Call(t.Context(), m, r)
			if whole := err == nil && string(got.Body) == "fine"; whole != test.whole {
				t.Errorf("answer %q, error %v", got.Body, err)
			}
		})
	}
}
