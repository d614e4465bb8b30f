package memnet

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func TestWaitsTakeVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &Network{}
		t.Cleanup(network.Close)
		listener := network.Listen("")
		address := listener.Addr().String()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			listener.Close()
			time.Sleep(time.Hour)
			_, _ = io.WriteString(conn, "late")
			conn.Close()
		}()
		begun := time.Now()
		conn, err := network.Dial(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(conn); err != nil || string(got) != "late" || time.Since(begun) != time.Hour {
			t.Errorf("%q, %v after %v", got, err, time.Since(begun))
		}
		if _, err := network.Dial(t.Context(), address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a closed listener: %v", err)
		}
	})
}

func TestConnectionsToBusyListenersEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &Network{}
		t.Cleanup(network.Close)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := network.Dial(ctx, network.Listen("").Addr().String()); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v", err)
		}
	})
}
