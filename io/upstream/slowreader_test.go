package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcuprill/core/bytebudget"
)

// slowReader accepts a connection whose receive buffer is small, and reads a request only after a while.
func slowReader(t *testing.T, wait time.Duration) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	socket, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = socket.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		time.Sleep(wait)
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
		time.Sleep(100 * time.Millisecond)
	}()
	return listener.Addr().String()
}

// A target acknowledges all that it has room for and reads on later. The system took that for a lost connection.
func TestTargetsThatReadLateAnswer(t *testing.T) {
	t.Parallel()
	address := slowReader(t, 5*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	response, err := NewClient(nil).Do(ctx, "peer", address, Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: bytebudget.FromBytes(make([]byte, 16<<20))})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Finish(false)
	body, err := response.ReadAll(100)
	if err != nil {
		t.Fatal(err)
	}
	if text := string(body.Bytes()); text != "fine" {
		t.Errorf("%q", text)
	}
}
