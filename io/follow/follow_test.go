package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/lease"
	"kingcuprill/core/membership"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/versioned"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/io/rig/link"
	"kingcuprill/io/rig/memnet"
	"kingcuprill/rpc/vm"
)

// control is a control VM that serves only the polls of entry VMs.
type control struct {
	vm.VM // calls that aren't used

	server  *Server
	vmState *vmstate.State
	web     *httptest.Server
	address string
	network *memnet.Network // nil for TCP
	way     time.Duration   // that a message takes in one direction

	mu    sync.Mutex
	asked *vm.FollowRequest // the last poll
	sent  []*vm.FollowResponse
}

// Follow answers a poll and records the answer.
func (c *control) Follow(ctx context.Context, request *vm.FollowRequest) (*vm.FollowResponse, error) {
	c.mu.Lock()
	c.asked = request
	c.mu.Unlock()
	time.Sleep(c.way)
	answer := c.server.Answer(ctx, request)
	time.Sleep(c.way)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, answer)
	return answer, nil
}

// revisionOnly reports whether the last poll asked for the revision only, without
// the catalogue.
func (c *control) revisionOnly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked.GetAnnounce()
}

// catalogues returns the number of catalogues that were sent, and their bytes.
func (c *control) catalogues() (count, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, answer := range c.sent {
		if len(answer.GetCatalogue()) > 0 {
			count++
			size += len(answer.GetCatalogue())
		}
	}
	return count, size
}

func startControl(t *testing.T, id, region string) *control {
	t.Helper()
	return startControlOn(t, nil, id, region)
}

func startControlOn(t *testing.T, network *memnet.Network, id, region string) *control {
	t.Helper()
	c := &control{network: network, vmState: vmstate.New(membership.Member{ID: id, Region: region}, time.Second)}
	confirm := func(context.Context) (uint64, error) { return c.vmState.Catalogue.Read().Revision, nil }
	targets := versioned.NewTable[instance.Registration]()
	targets.Group = func(row instance.Registration) string { return row.DataCentre }
	c.server = NewServer(c.vmState, id, targets, confirm, func() []string { return nil }, slog.New(slog.DiscardHandler))
	mux := http.NewServeMux()
	mux.Handle(vm.VMPathPrefix, vm.NewVMServer(c))
	serve := httptest.NewServer
	if network != nil {
		serve = network.Serve
	}
	web := serve(mux)
	t.Cleanup(web.Close)
	c.web = web
	c.address = web.Listener.Addr().String()
	return c
}

// change puts a catalogue into force.
func (c *control) change(revision uint64, document string) {
	c.vmState.Catalogue.Update(func(*catalogue.Catalogue) *catalogue.Catalogue {
		return &catalogue.Catalogue{Revision: revision, Plan: catalogue.Plan{Version: revision, Document: []byte(document)}}
	})
}

// unusable is a document that followers can't put in force.
const unusable = "unusable"

// follower is an entry VM that follows some control VMs.
type follower struct {
	*Client
	mu       sync.Mutex
	document string
	entries  []entry.VM
	count    int // of entry VMs
	targets  map[string]instance.Registration
	remote   []RemoteTargets
	crashes  map[string]quarantine.Crash
	asked    int // how often all crashes were wanted
}

func startFollower(t *testing.T, controls ...*control) *follower {
	t.Helper()
	return startLoggedFollower(t, slog.New(slog.DiscardHandler), controls...)
}

func startLoggedFollower(t *testing.T, log *slog.Logger, controls ...*control) *follower {
	t.Helper()
	f := &follower{crashes: map[string]quarantine.Crash{}}
	begun := time.Now()
	clock := func() time.Duration { return time.Since(begun) } // that tests pause, other than boottime
	f.Client = &Client{
		Peers: peer.NewUnsigned("e"), Lease: lease.New(clock, 5*time.Second), Log: log,
		Self: func() entry.VM { return entry.VM{ID: "e", Region: "near", Ready: true} },
		OnCatalogue: func(c *catalogue.Catalogue) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.document = string(c.Plan.Document)
			if f.document == unusable {
				return errors.New("it can't be put in force")
			}
			return nil
		},
		OnTargets: func(rows map[string]instance.Registration, remote []RemoteTargets) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.targets, f.remote = rows, remote
		},
		OnEntries: func(vms []entry.VM, count int) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.entries, f.count = vms, count
		},
		OnCrashes: func(_ string, rows []quarantine.Crash, lacksOthers bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, row := range rows {
				f.crashes[row.ID] = row
			}
			if lacksOthers {
				f.asked++
			}
		},
	}
	var seeds []string
	for _, c := range controls {
		seeds = append(seeds, c.address)
		if c.network != nil {
			f.Peers.Network = c.network.Dial
		}
	}
	var group tomb.Tomb
	f.Run(&group, seeds)
	t.Cleanup(func() {
		group.Kill(nil)
		_ = group.Wait()
	})
	return f
}

func (f *follower) has(document string) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.document == document
	}
}

// A large configuration would overload narrow links if each control VM sent it.
// It is sent compressed and once, by the nearest control VM.
func TestCatalogueComesOnce(t *testing.T) {
	synctest.Test(t, testCatalogueOnce)
}

func testCatalogueOnce(t *testing.T) {
	network := &memnet.Network{}
	t.Cleanup(network.Close)
	far, near := startControlOn(t, network, "far", "abroad"), startControlOn(t, network, "near", "near")
	f := startFollower(t, far, near)
	eventually.Until(t, "only the near one is asked for catalogues", func() bool { return far.revisionOnly() && !near.revisionOnly() })
	large := strings.Repeat(`{"name":"r-1","host":"h.example","prefix":"/a/"}`, 4000)
	for _, c := range []*control{far, near} {
		c.change(1, large)
	}
	eventually.Until(t, "the catalogue is in force", f.has(large))
	eventually.Until(t, "the lease holds", f.Lease.Valid)
	if count, _ := far.catalogues(); count > 0 {
		t.Errorf("the far control VM has sent %d catalogues", count)
	}
	count, size := near.catalogues()
	if count != 1 || size > len(large)/10 {
		t.Errorf("the near control VM has sent %d catalogues of %d bytes for one of %d", count, size, len(large))
	}
}

// If the nearest control VM doesn't have a catalogue, another one sends it.
func TestCatalogueComesFromAnother(t *testing.T) {
	far, near := startControl(t, "far", "abroad"), startControl(t, "near", "near")
	f := startFollower(t, far, near)
	eventually.Until(t, "only the near one is asked for catalogues", func() bool { return far.revisionOnly() && !near.revisionOnly() })
	far.change(7, "newer")
	eventually.Until(t, "the catalogue is in force", f.has("newer"))
}

// An answer holds only the entry VMs that have changed.
func TestEntriesComeAsChanges(t *testing.T) {
	c := startControl(t, "c", "near")
	for _, id := range []string{"a", "b"} {
		c.server.recordEntry(&vm.EntryVM{Id: id, Ready: true})
	}
	f := startFollower(t, c)
	known := func(count int, ready bool) func() bool {
		return func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.entries) == count && f.entries[0].Ready == ready
		}
	}
	eventually.Until(t, "all are known", known(3, true))
	c.mu.Lock()
	c.sent = nil
	c.mu.Unlock()
	c.server.recordEntry(&vm.EntryVM{Id: "a", Ready: false})
	eventually.Until(t, "the change is known", known(3, false))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, answer := range c.sent {
		if len(answer.GetEntries()) > 1 {
			t.Errorf("an answer holds %d entry VMs where one has changed", len(answer.GetEntries()))
		}
	}
}

// While a control VM of the region answers, those of other regions send the targets of
// the region only, the number of the others, and no entry VMs. When the near one has
// gone, a far one sends the entry VMs.
func TestFarControlVMsSendLittle(t *testing.T) {
	far, near := startControl(t, "far", "abroad"), startControl(t, "near", "near")
	for _, c := range []*control{far, near} {
		for i := range 50 {
			c.server.recordEntry(&vm.EntryVM{Id: fmt.Sprint("e-", i), Region: "abroad", Ready: true})
		}
	}
	far.server.recordEntry(&vm.EntryVM{Id: "known-there-only", Region: "abroad", Ready: true})
	put := func(id, dataCentre string, state instance.State) {
		far.server.Targets.Put(id, instance.Registration{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: dataCentre, State: state}, true)
	}
	put("own", "near", instance.Ready)
	far.server.Targets.Put("ended", instance.Registration{ID: "ended", State: instance.Left}, true)
	for i := range 40 {
		put(fmt.Sprint("other-", i), "abroad", instance.Ready)
	}
	f := startFollower(t, far, near)
	check := func(what string, holds func() bool) {
		eventually.Until(t, what, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return holds()
		})
	}
	check("the near control VM's entry VMs are known, and the number of all", func() bool { return len(f.entries) == 51 && f.count == 52 })
	check("the targets of the region and the ended one are known", func() bool { return len(f.targets) == 2 })
	check("the others are counted", func() bool { return len(f.remote) == 1 && f.remote[0] == RemoteTargets{"s", "abroad", "", 40} })
	put("own", "near", instance.Draining)
	check("a change of an own target comes at once", func() bool { return f.targets["own"].State == instance.Draining })
	near.web.CloseClientConnections()
	near.web.Close()
	check("the far control VM tells its entry VMs", func() bool { return len(f.entries) == 52 })
}

// The control VM of a region is lost, and then an entry VM, as another control VM notices.
// The last rows of the lost one must no longer say that the entry VM is ready, nor be
// forgotten as far as no other control VM reports the VM.
func TestRowsOfASilentControlVMDoNotOutliveLaterNews(t *testing.T) {
	far, near := startControl(t, "far", "abroad"), startControl(t, "near", "near")
	for _, id := range []string{"lost", "alive"} {
		near.server.recordEntry(&vm.EntryVM{Id: id, Region: "near", Ready: true, CallerAddress: id})
	}
	f := startFollower(t, far, near)
	ready := func(id string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.ContainsFunc(f.entries, func(v entry.VM) bool { return v.ID == id && v.Ready })
	}
	eventually.Until(t, "both are ready", func() bool { return ready("lost") && ready("alive") })
	near.web.CloseClientConnections()
	_ = near.web.Listener.Close()
	far.server.recordEntry(&vm.EntryVM{Id: "lost", Region: "near"})
	eventually.Until(t, "the lost entry VM isn't ready", func() bool { return !ready("lost") })
	if !ready("alive") {
		t.Error("a VM that only the silent control VM reports is forgotten")
	}
}

func TestDecompressRefusesInvalidData(t *testing.T) {
	for name, data := range map[string][]byte{"no gzip": []byte("rubbish"), "cut": bytes.Repeat([]byte{0x1f, 0x8b}, 1)} {
		if _, err := decompress(data); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// A crash that one VM reports to a control VM reaches the others with the polls that are
// open, and so does what clears it; a VM that starts later gets it with its first poll.
func TestCrashesReachAllVMs(t *testing.T) {
	c := startControl(t, "c", "near")
	early := startFollower(t, c)
	eventually.Until(t, "the lease holds", early.Lease.Valid)
	row := quarantine.Crash{ID: "1", Boot: "t/1", Service: "s", Parts: []string{"p"}}
	knows := func(f *follower, cleared int) func() bool {
		return func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.crashes) == 1 && len(f.crashes["1"].Cleared) == cleared && f.asked == 1
		}
	}
	begun := time.Now()
	c.vmState.Quarantine.Merge([]quarantine.Crash{row})
	eventually.Until(t, "the crash is known", knows(early, 0))
	if took := time.Since(begun); took > pollWait/2 {
		t.Errorf("the crash came after %v, not with the open poll", took)
	}
	late := startFollower(t, c)
	eventually.Until(t, "a later VM knows it", knows(late, 0))
	row.Cleared = []string{"p"}
	c.vmState.Quarantine.Merge([]quarantine.Crash{row})
	eventually.Until(t, "both know that the part is cleared", func() bool { return knows(early, 1)() && knows(late, 1)() })
}

// After a control VM has lost power, connections from before carry nothing any more and
// aren't reset either. With several of them in the pool, polls must not try one after
// the other.
func TestSilentConnectionsAreDropped(t *testing.T) {
	c := startControl(t, "c", "near")
	between, err := link.New(c.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(between.Close)
	c.address = between.Address
	f := startFollower(t, c)
	eventually.Until(t, "the lease holds", f.Lease.Valid)
	const connections = 12
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() {
			_, _ = f.Peers.At(c.address).Follow(t.Context(), &vm.FollowRequest{Epoch: "c", WaitNanoseconds: int64(100 * time.Millisecond), Announce: true})
		})
	}
	calls.Wait()
	if err := between.SilenceOpen(); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	c.change(1, "newer")
	eventually.Until(t, "the catalogue is in force", f.has("newer"))
	if took, most := time.Since(begun), pollWait+answerTimeout+time.Second; took > most {
		t.Errorf("the catalogue came after %v, expected within %v", took, most)
	}
}

// A VM that dies in a planned stop accepts no connections any more.
func TestSilentEntryVMLosesItsAddress(t *testing.T) {
	c := startControl(t, "c", "near")
	c.server.recordEntry(&vm.EntryVM{Id: "ready", Ready: true, CallerAddress: "r:1"})
	c.server.recordEntry(&vm.EntryVM{Id: "stops", CallerAddress: "s:1"})
	c.server.Expire(time.Now().Add(entryTimeout - time.Second))
	for _, v := range c.server.Entries() {
		if v.CallerAddress == "" {
			t.Errorf("%s has lost its address too soon", v.ID)
		}
	}
	c.server.Expire(time.Now().Add(entryTimeout))
	for _, v := range c.server.Entries() {
		if v.Ready || v.CallerAddress != "" {
			t.Errorf("%s is silent and still named: %v", v.ID, v)
		}
	}
}
