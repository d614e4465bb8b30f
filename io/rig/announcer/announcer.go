// Package announcer registers a fake target with the VMs of its data centre, as
// the targets of a real deployment do. Failed calls are ignored: the next
// announcement repeats them.
package announcer

import (
	"context"
	"net/http"
	"sync"
	"time"

	rpc "kingcuprill/rpc/target"
)

// Identity is the data with which a target announces itself.
type Identity struct {
	ID            string
	BootID        string
	Service       string
	Kind          string // "engine" or "service"
	Address       string
	Region        string
	DataCentre    string
	Models        []string
	Capacity      int  // requests at the same time
	ChecksFencing bool // the target announces that it checks fencing tokens
}

// Load is a load report with its age.
type Load struct {
	Running int
	Waiting int
	Age     time.Duration
}

// Announcer renews a target's lease at the VMs of its data centre at a fixed
// interval.
type Announcer struct {
	VMs   []string      // target addresses of the VMs
	Every time.Duration // interval of the announcements
	Load  func() Load

	mu      sync.Mutex
	clients []rpc.Announcements
}

const callTimeout = time.Second

// vmClients returns one client for each VM and makes them on the first call.
func (a *Announcer) vmClients() []rpc.Announcements {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.clients == nil {
		for _, address := range a.VMs {
			a.clients = append(a.clients, rpc.NewAnnouncementsProtobufClient("http://"+address, &http.Client{Timeout: callTimeout}))
		}
	}
	return a.clients
}

// Run announces the target until the context ends. It asks for the identity
// before each announcement, since the boot id changes with a restart.
func (a *Announcer) Run(ctx context.Context, identity func() Identity) {
	ticker := time.NewTicker(a.Every)
	defer ticker.Stop()
	for {
		a.Announce(ctx, identity())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce sends one announcement to all VMs.
func (a *Announcer) Announce(ctx context.Context, id Identity) {
	load := a.Load()
	request := &rpc.AnnounceRequest{
		Id: id.ID, BootId: id.BootID, Service: id.Service, Kind: id.Kind, Address: id.Address, Region: id.Region,
		DataCentre: id.DataCentre, Models: id.Models, Version: "1", Capacity: int32(id.Capacity),
		Running: int32(load.Running), Waiting: int32(load.Waiting), LoadAgeNanoseconds: int64(load.Age), ChecksFencing: id.ChecksFencing,
	}
	a.callAll(func(client rpc.Announcements) { _, _ = client.Announce(ctx, request) })
}

// Leave tells all VMs that the target takes no new requests.
func (a *Announcer) Leave(ctx context.Context, id Identity) {
	a.callAll(func(client rpc.Announcements) {
		_, _ = client.Leave(ctx, &rpc.LeaveRequest{Id: id.ID, BootId: id.BootID})
	})
}

// PublishCacheEvents publishes prefix-cache events to all VMs.
func (a *Announcer) PublishCacheEvents(ctx context.Context, id Identity, events []*rpc.CacheEvent) {
	a.callAll(func(client rpc.Announcements) {
		_, _ = client.PublishCacheEvents(ctx, &rpc.CacheEventsRequest{Id: id.ID, BootId: id.BootID, Events: events})
	})
}

// callAll calls all VMs in parallel and waits for the calls to end.
func (a *Announcer) callAll(call func(rpc.Announcements)) {
	var group sync.WaitGroup
	for _, client := range a.vmClients() {
		group.Go(func() { call(client) })
	}
	group.Wait()
}
