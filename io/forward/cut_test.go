package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"kingcuprill/core/exchange"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/io/rig/rawpeer"
	"kingcuprill/rpc/vm"
)

// startVM starts a VM that answers each forwarded request with the same bytes and closes.
func startVM(t *testing.T, answer []byte) (m membership.Member, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	m = startScriptedVM(t, func(conn net.Conn) {
		requests.Add(1)
		_, _ = conn.Write(answer)
	})
	return m, requests
}

// startScriptedVM starts a VM that answers each forwarded request and closes.
func startScriptedVM(t *testing.T, answer func(net.Conn)) (m membership.Member) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				answer(conn)
			}
			conn.Close()
		}
	}()
	return membership.Member{ID: "vm-2", PeerAddress: listener.Addr().String()}
}

// answerOf returns the bytes of an answer that consists of frames.
func answerOf(t *testing.T, frames ...*vm.ForwardFrame) []byte {
	t.Helper()
	var body bytes.Buffer
	for _, frame := range frames {
		frame.RequestId = "r"
		if _, err := protodelim.MarshalTo(&body, frame); err != nil {
			t.Fatal(err)
		}
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", body.Len(), body.Bytes())
}

// An answer of another VM that is cut anywhere must not count as whole, nor as that to a
// request that has not run, nor let the request run again.
func TestCutAnswersAreNotWhole(t *testing.T) {
	client := &Client{VMState: vmstate.New(membership.Member{ID: "vm-1"}, time.Second), Peers: peer.NewUnsigned("vm-1")}
	request := exchange.Request{ID: "r", Deadline: time.Now().Add(time.Minute)}
	call, generation := request, request
	call.Call, generation.Generation = &exchange.Call{Method: http.MethodPost}, &exchange.Generation{Model: "m"}
	tests := map[string]struct {
		answer []byte
		send   func(m membership.Member) error
	}{
		"call": {answerOf(t, &vm.ForwardFrame{Status: 200, Body: []byte("fine")}), func(m membership.Member) error {
			_, err := client.Call(t.Context(), m, call)
			return err
		}},
		"generation": {answerOf(t, &vm.ForwardFrame{Text: "a"}, &vm.ForwardFrame{Done: true, CompletionTokens: 1}), func(m membership.Member) error {
			_, err := client.Generate(t.Context(), m, generation, false, func(exchange.Token) error { return nil })
			return err
		}},
	}
	for name, test := range tests {
		for length := range len(test.answer) + 1 {
			m, requests := startVM(t, test.answer[:length])
			err := test.send(m)
			var failure *exchange.Failure
			whole := length == len(test.answer)
			if !whole && (!errors.As(err, &failure) || failure.NotRun) || whole && err != nil || requests.Load() != 1 {
				t.Errorf("%s, %d of %d bytes: error %v after %d requests", name, length, len(test.answer), err, requests.Load())
			}
		}
	}
	for _, status := range []int32{0, 101, -5} {
		m, _ := startVM(t, answerOf(t, &vm.ForwardFrame{Status: status}))
		if answer, err := client.Call(t.Context(), m, call); err == nil {
			t.Errorf("status %d taken for an answer", answer.Status)
		}
	}
}

// A malformed head of another VM must not count as a refusal of a request that has not run.
func TestMalformedHeadsAreNoRefusals(t *testing.T) {
	client := &Client{VMState: vmstate.New(membership.Member{ID: "vm-1"}, time.Second), Peers: peer.NewUnsigned("vm-1")}
	for _, head := range []string{"000 X\r\n", "101 X\r\n", "503 X\r\nA b: c\r\n", "503 X\r\nA: b\r\n C: d\r\n"} {
		m, _ := startVM(t, []byte("HTTP/1.1 "+head+"\r\n"))
		_, err := client.Call(t.Context(), m, exchange.Request{ID: "r", Deadline: time.Now().Add(time.Minute), Call: &exchange.Call{Method: http.MethodPost}})
		var failure *exchange.Failure
		if !errors.As(err, &failure) || failure.NotRun {
			t.Errorf("head %q: %v", head, err)
		}
	}
}

// An answer that breaks off while its request is sent must count neither as whole nor as not run.
func TestAnswersResetWhileTheRequestIsSentAreNotWhole(t *testing.T) {
	client := &Client{VMState: vmstate.New(membership.Member{ID: "vm-1"}, time.Second), Peers: peer.NewUnsigned("vm-1")}
	_, frames, _ := bytes.Cut(answerOf(t, &vm.ForwardFrame{Status: 200, Body: []byte("fine")}), []byte("\r\n\r\n"))
	_, frame, _ := bytes.Cut(frames, []byte("\r\n"))
	for length := range frame {
		m := membership.Member{ID: "vm-2", PeerAddress: rawpeer.Peer{Answer: rawpeer.Part + string(frame[:length]), Reset: true}.Start(t)}
		call := &exchange.Call{Method: http.MethodPost, Body: make([]byte, rawpeer.LongBody)}
		answer, err := client.Call(t.Context(), m, exchange.Request{ID: "r", Deadline: time.Now().Add(time.Minute), Call: call})
		var failure *exchange.Failure
		if !errors.As(err, &failure) || failure.NotRun {
			t.Errorf("%d bytes: answer %d %q, error %v", length, answer.Status, answer.Body, err)
		}
	}
}
