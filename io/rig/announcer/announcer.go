// Package announcer is the side of a fake target that announces itself.
package announcer

import (
	"context"
	"net/http"
	"sync"
	"time"

	rpc "kingcuprill/rpc/target"
)

// Identity is what a target says of itself.
type Identity struct {
	ID            string
	BootID        string
	Service       string
	Kind          string
	Address       string
	Region        string
	DataCentre    string
	Models        []string
	Capacity      int
	ChecksFencing bool
}

// Load is a report with its age.
type Load struct {
	Running int
	Waiting int
	Age     time.Duration
}

// Announcer renews a target's lease at the VMs of its data centre.
type Announcer struct {
	VMs   []string // target addresses of the VMs
	Every time.Duration
	Load  func() Load

	mu      sync.Mutex
	clients []rpc.Announcements
}

const callTimeout = time.Second

func (a *Announcer) all() []rpc.Announcements {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.clients == nil {
		for _, address := range a.VMs {
			a.clients = append(a.clients, rpc.NewAnnouncementsProtobufClient("http://"+address, &http.Client{Timeout: callTimeout}))
		}
	}
	return a.clients
}

// Run announces until the context ends.
func (a *Announcer) Run(ctx context.Context, identity func() Identity) {
	ticker := time.NewTicker(a.Every)
	defer ticker.Stop()
	for {
		a.Once(ctx, identity())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Once announces to all VMs.
func (a *Announcer) Once(ctx context.Context, id Identity) {
	load := a.Load()
	request := &rpc.AnnounceRequest{
		Id: id.ID, BootId: id.BootID, Service: id.Service, Kind: id.Kind, Address: id.Address, Region: id.Region,
		DataCentre: id.DataCentre, Models: id.Models, Version: "1", Capacity: int32(id.Capacity),
		Running: int32(load.Running), Waiting: int32(load.Waiting), LoadAgeNanoseconds: int64(load.Age), ChecksFencing: id.ChecksFencing,
	}
	a.each(func(client rpc.Announcements) { _, _ = client.Announce(ctx, request) })
}

// Leave tells all VMs that the target takes no new work.
func (a *Announcer) Leave(ctx context.Context, id Identity) {
	a.each(func(client rpc.Announcements) {
		_, _ = client.Leave(ctx, &rpc.LeaveRequest{Id: id.ID, BootId: id.BootID})
	})
}

// Events publishes prefix-cache events.
func (a *Announcer) Events(ctx context.Context, id Identity, events []*rpc.CacheEvent) {
	a.each(func(client rpc.Announcements) {
		_, _ = client.PublishCacheEvents(ctx, &rpc.CacheEventsRequest{Id: id.ID, BootId: id.BootID, Events: events})
	})
}

func (a *Announcer) each(call func(rpc.Announcements)) {
	var group sync.WaitGroup
	for _, client := range a.all() {
		group.Go(func() { call(client) })
	}
	group.Wait()
}
