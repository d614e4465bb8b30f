package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"kingcuprill/core/linkbudget"
	"kingcuprill/io/listener"
)

// Guards against bytes that are counted for the wrong purpose or direction, and against a
// wrapped connection that net/http can't use as before.
func TestBytesByPurpose(t *testing.T) {
	const body = 100_000
	var server, client Counters
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	reserved.Close()
	s, err := listener.Listen(address, &http.Server{
		ConnContext: ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			SetPurpose(r, Forwarded)
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "answer")
		}),
	}, server.WrapListener(Control))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return client.Wrap(Targets)(raw), nil
	}}
	t.Cleanup(transport.CloseIdleConnections)
	response, err := (&http.Client{Transport: transport}).Post("http://vm/", "", strings.NewReader(strings.Repeat("x", body)))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	out, in := client.Bytes(Targets, linkbudget.Out), server.Bytes(Forwarded, linkbudget.In)
	if out < body*21/20 || out > body*11/10 || in < body || server.Bytes(Control, linkbudget.In) > 10_000 {
		t.Errorf("%d bytes out, %d in for forwarded requests, %d for control", out, in, server.Bytes(Control, linkbudget.In))
	}
	if total := client.Total(); total[linkbudget.Out] != out || total[linkbudget.In] >= body/10 {
		t.Errorf("totals are %v", total)
	}
}

// Guards against connections that are wrapped although the settings name no link.
func TestOff(t *testing.T) {
	var off *Counters
	if off.Wrap(Targets) != nil || off.WrapListener(Callers) != nil {
		t.Error("connections are wrapped")
	}
}
