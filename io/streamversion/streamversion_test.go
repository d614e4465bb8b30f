package streamversion

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"kingcuprill/core/streamversion"
	"kingcuprill/io/peer"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/rpc/vm"
)

// controlVM serves the calls of a control VM that are about streams.
type controlVM struct {
	vm.VM
	*Server
	web *httptest.Server
}

func (c *controlVM) RecordStreams(_ context.Context, request *vm.RecordStreamsRequest) (*vm.RecordStreamsResponse, error) {
	c.Record(request)
	return &vm.RecordStreamsResponse{}, nil
}

func (c *controlVM) FindStream(_ context.Context, request *vm.FindStreamRequest) (*vm.FindStreamResponse, error) {
	return c.Find(request), nil
}

func startControls(t *testing.T, count int) (controls []*controlVM, addresses func() []string) {
	t.Helper()
	addresses = func() (found []string) {
		for _, c := range controls {
			found = append(found, c.web.Listener.Addr().String())
		}
		return found
	}
	for range count {
		c := &controlVM{}
		c.web = httptest.NewServer(vm.NewVMServer(c))
		t.Cleanup(c.web.Close)
		c.Server = NewServer(c.web.Listener.Addr().String(), addresses, peer.NewUnsigned("control"), slog.New(slog.DiscardHandler))
		controls = append(controls, c)
	}
	return controls, addresses
}

func newClient(addresses func() []string) *Client {
	return NewClient(peer.NewUnsigned("entry"), addresses, addresses, func() int64 { return 1 }, func() bool { return true }, slog.New(slog.DiscardHandler))
}

var v1 = streamversion.Version{Service: "s", Version: "v1"}

// A stream is found by another entry VM, also when the control VM that its VM told is
// gone, and not when both that knew it are.
func TestStreamsAreFoundAfterTheLossOfAControlVM(t *testing.T) {
	controls, addresses := startControls(t, 3)
	newClient(addresses).Record("a", v1)
	holders := func() (count int) {
		for _, c := range controls {
			count += int(c.Streams())
		}
		return count
	}
	eventually.Until(t, "a second control VM has it", func() bool { return holders() == 2 })
	for _, c := range controls {
		if c.Streams() == 1 {
			c.web.Close()
			break
		}
	}
	if v, found := newClient(addresses).Find(t.Context(), "a", "s"); !found || v != v1 {
		t.Errorf("version %v, found %v", v, found)
	}
	for _, c := range controls {
		c.web.Close()
	}
	if v, found := newClient(addresses).Find(t.Context(), "a", "s"); found {
		t.Errorf("version %v without a control VM", v)
	}
}

// A control VM that has restarted is told again.
func TestRestartedControlVMIsTold(t *testing.T) {
	controls, addresses := startControls(t, 1)
	client := newClient(addresses)
	client.Record("a", v1)
	eventually.Until(t, "the control VM has it", func() bool { return controls[0].Streams() == 1 })
	controls[0].streams = streamversion.NewTable()
	client.SendAll(addresses()[0])
	eventually.Until(t, "the control VM has it again", func() bool { return controls[0].Streams() == 1 })
}

// Streams without a record go on if all control VMs have heard of the same version only,
// for as long as a stream may run.
func TestUnknownStreamsNeedOneVersionInUse(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string // that each control VM has heard of
		listened time.Duration
		found    bool
	}{
		"one version": {[]string{"v1", "v1"}, time.Hour, true}, "two versions": {[]string{"v1", "v2"}, time.Hour, false},
		"no version": {nil, time.Hour, false}, "just started": {[]string{"v1", "v1"}, time.Second, false},
	} {
		controls, addresses := startControls(t, 2)
		for i, c := range controls {
			c.Heard = streamversion.NewHeard(time.Now().Add(-test.listened))
			if i < len(test.versions) {
				c.Heard.Note(streamversion.Version{Service: "s", Version: test.versions[i]}, time.Now())
			}
		}
		if v, found := newClient(addresses).Find(t.Context(), "a", "s"); found != test.found {
			t.Errorf("%s: version %v, found %v", name, v, found)
		}
		controls[0].web.Close()
		if v, found := newClient(addresses).Find(t.Context(), "a", "s"); found {
			t.Errorf("%s: version %v, though a control VM doesn't answer", name, v)
		}
	}
}

// Many searches for streams that never were are bounded.
func TestSearchesAreBounded(t *testing.T) {
	client := newClient(func() []string { return nil })
	for range maxSearches {
		client.searches <- struct{}{}
	}
	if _, found := client.Find(t.Context(), "a", "s"); found {
		t.Error("found")
	}
}
