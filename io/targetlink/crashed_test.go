package targetlink

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/place"
	"kingcuprill/io/rig/memnet"
	"kingcuprill/io/upstream"
)

// A quarter of the targets crashed at once. The next connections that a VM needed were to these,
// so that it took its links for lost, as did its neighbours, and they sent each other their
// requests until their own links were full.
func TestManyCrashedTargetsAreNotLostLinks(t *testing.T) {
	for name, test := range map[string]struct {
		crashed int
		lost    bool
	}{"a quarter": {10, false}, "all": {40, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testCrashedTargets(t, 40, test.crashed, test.lost) })
		})
	}
}

func testCrashedTargets(t *testing.T, targets, crashed int, wantLost bool) {
	network := &memnet.Network{}
	t.Cleanup(network.Close)
	var known []place.Address
	for i := range targets {
		listener := network.Listen("")
		known = append(known, place.Address{ID: fmt.Sprint(i), Address: listener.Addr().String()})
		if i < crashed {
			listener.Close()
			continue
		}
		go acceptAll(listener)
	}
	client := upstream.NewClient(nil)
	client.Network = network.Dial
	m := NewMonitor(client, func() []place.Address { return known }, slog.New(slog.DiscardHandler))
	changes := 0
	m.Changed = func(bool) { changes++ }
	for _, target := range known[:crashed] {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = client.Connect(ctx, target.ID, target.Address)
		cancel()
	}
	if m.Lost() != wantLost || (changes > 0) != wantLost {
		t.Errorf("lost %v after %d changes, want %v", m.Lost(), changes, wantLost)
	}
}
