// Package controlvm runs a control VM. It holds a replica of the control log,
// the Raft log of the configuration, and a registry of the targets that send it
// heartbeats. Entry VMs poll it for both, and callers ask it for the addresses of
// entry VMs. A change of the configuration is committed when a majority of the
// voters has stored it. The registry is in memory only and not replicated; after a
// restart it fills again with the targets' heartbeats. A control VM also hands out
// the tokens of the organisations' rate limits to entry VMs (see io/draw).
package controlvm

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/entry"
	"kingcuprill/core/fault"
	"kingcuprill/core/instance"
	"kingcuprill/core/membership"
	"kingcuprill/core/raft"
	"kingcuprill/core/replicaset"
	corestream "kingcuprill/core/streamversion"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/disk"
	"kingcuprill/io/draw"
	"kingcuprill/io/follow"
	"kingcuprill/io/forward"
	"kingcuprill/io/listener"
	"kingcuprill/io/metrics"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/io/quarantine"
	"kingcuprill/io/replica"
	"kingcuprill/io/streamversion"
	"kingcuprill/io/vm"
	"kingcuprill/io/vmconfig"
	rpc "kingcuprill/rpc/vm"
)

const (
	// tickInterval is the period of the control log's ticks. Elections begin after
	// 10 to 20 ticks without a leader, which covers round trips between regions.
	tickInterval = 45 * time.Millisecond
	// expireInterval is how often targets and entry VMs are checked for missing
	// heartbeats and polls.
	expireInterval = 250 * time.Millisecond
	// membershipInterval is how often the set of replicas is checked.
	membershipInterval = 225 * time.Millisecond
	// askAfter is how long a replica hears no leader before it asks for the addresses of
	// the control VMs. It is longer than an election.
	askAfter = time.Second
	// stopTimeout bounds the end of a planned stop, once the vote is handed over: the
	// transfer of leadership and the end of running calls.
	stopTimeout = time.Second
	// headerTimeout bounds the time in which a peer sends its headers, and
	// peerIdleTimeout how long its idle connection is kept.
	headerTimeout   = 5 * time.Second
	peerIdleTimeout = time.Minute
	// clusterID identifies the cluster in the data folders. It is constant, as a
	// deployment has one cluster.
	clusterID = "kingcuprill"
)

// VM is a running control VM.
type VM struct {
	Config   vmconfig.Config
	VMState  *vmstate.State
	Proposer *propose.Proposer
	Follow   *follow.Server
	Stops    *entry.Stops
	Metrics  *metrics.Metrics
	Log      *slog.Logger

	id         string // of the replica
	tomb       tomb.Tomb
	peers      *peer.Peers
	replica    *replica.Replica
	registryMu sync.Mutex // serialises writes to the registry
	registry   *instance.Registry
	drawer     *draw.Server
	streams    *streamversion.Server
	membersMu  sync.Mutex // serialises writes to the members
	servers    []*listener.Server
	leaving    atomic.Bool // a planned stop has begun
}

// New opens the data folder, or creates it, and returns a control VM that isn't
// running yet.
func New(c vmconfig.Config, log *slog.Logger) (v *VM, err error) {
	defer fault.Annotate(&err, "control VM %s", c.ID)
	limitMemory(c.MemoryBytes) // before the log is read
	store, saved, id, err := openStore(c, log)
	if err != nil {
		return nil, err
	}
	v = &VM{Config: c, Log: log, id: id, Metrics: metrics.New(), registry: instance.NewRegistry(c.Heartbeat)}
	v.registry.Table.Group = func(row instance.Registration) string { return c.Regions[row.DataCentre] }
	v.VMState = vmstate.New(membership.Member{
		ID: id, Region: c.Region, DataCentre: c.DataCentre, PeerAddress: c.PeerAddress, Incarnation: 1, Control: true,
	}, c.Heartbeat)
	v.peers = peer.NewUnsigned(c.ID, c.DialThrough...)
	v.addControlVMs(c.Seeds)
	v.replica = replica.New(replica.Options{
		ID: id, Store: store, Saved: saved, Log: log, TickEvery: tickInterval,
		Transport:     &replica.Sender{Address: replicaset.AddressOf, Peers: v.peers, Log: log, Tomb: &v.tomb},
		SnapshotBytes: snapshotBytes(c),
		Published:     v.publish,
	})
	v.Proposer = &propose.Proposer{VMState: v.VMState, Peers: v.peers, Replica: v.replica, Allow: v.allowChange}
	epoch := strconv.FormatInt(time.Now().UnixNano(), 36)
	v.Follow = follow.NewServer(v.VMState, epoch, v.registry.Table, v.Proposer.Confirm, v.controlAddresses, log)
	v.Stops = entry.NewStops(c.Grace)
	v.streams = streamversion.NewServer(c.PeerAddress, v.controlAddresses, v.peers, log)
	v.drawer = draw.NewServer(v.replica, v.Proposer, v.peers, v.Follow.SinceConfirmed, log)
	return v, nil
}

// openStore opens the replica in the data folder. An empty folder is formatted:
// at the first start of the system for one of the initial voters, later for a new
// replica that has to join. The new replica gets an id of its own, since votes and
// acknowledgements of a lost replica at the same address must not count for it.
func openStore(c vmconfig.Config, log *slog.Logger) (store *disk.Store, saved disk.Saved, id string, err error) {
	identity, found, err := disk.ReadIdentity(c.DataDir)
	if err != nil {
		return nil, saved, "", err
	}
	if !found {
		identity = disk.Identity{ClusterID: clusterID, VM: c.PeerAddress}
		first := raft.Membership{Voters: c.Seeds}
		if !c.FirstStart || !slices.Contains(c.Seeds, c.PeerAddress) {
			identity.VM = replicaset.JoinedID(c.PeerAddress, strconv.FormatInt(time.Now().UnixNano(), 36))
			first = raft.Membership{}
		}
		log.Info("data folder is empty; it is formatted for a new replica", "replica", identity.VM, "first_start", c.FirstStart, "voters", first.Voters)
		if err := disk.Format(c.DataDir, identity, first); err != nil {
			return nil, saved, "", err
		}
	}
	store, saved, err = replica.Open(c.DataDir, identity, snapshotBytes(c))
	return store, saved, identity.VM, err
}

// addControlVMs adds the VMs of the replicas with these ids to the members.
func (v *VM) addControlVMs(ids []string) {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	rows := []membership.Member{}
	for _, id := range ids {
		if address, known := replicaset.AddressOf(id); known {
			rows = append(rows, membership.Member{ID: id, PeerAddress: address, Control: true, Incarnation: 1})
		}
	}
	v.VMState.Members.Merge(rows)
}

// controlAddresses returns the peer addresses of the control VMs.
func (v *VM) controlAddresses() (addresses []string) {
	m := v.replica.Status().Membership
	for _, id := range append(slices.Clone(m.Voters), m.Learners...) {
		if address, known := replicaset.AddressOf(id); known && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if !slices.Contains(addresses, v.Config.PeerAddress) {
		addresses = append(addresses, v.Config.PeerAddress)
	}
	return addresses
}

// publish puts a committed catalogue in force on this VM.
func (v *VM) publish(c *catalogue.Catalogue, _ *catalogue.Change) {
	before := v.VMState.Catalogue.Read()
	v.noteReturns(before.Evacuated, c.Evacuated)
	v.VMState.Catalogue.Update(func(*catalogue.Catalogue) *catalogue.Catalogue { return c })
	v.Log.Info("catalogue is in force", "revision", c.Revision, "plan", c.Plan.Version, "before", before.Revision, "evacuated", len(c.Evacuated))
}

// noteReturns tells the registry which evacuations have ended.
func (v *VM) noteReturns(before, after map[string]bool) {
	v.registryMu.Lock()
	defer v.registryMu.Unlock()
	for dataCentre := range before {
		if !after[dataCentre] {
			v.registry.EndEvacuation(dataCentre, time.Now())
		}
	}
}

// Report records a heartbeat of a target.
func (v *VM) Report(report instance.Registration) {
	v.hear(report) // first, as entry VMs may use the target as soon as the registry has it
	v.registryMu.Lock()
	merged, changed := v.registry.Report(report)
	v.registryMu.Unlock()
	v.hear(merged)
	v.Metrics.Count("reports")
	if changed {
		v.Log.Info("registration of a target has changed", "target", merged.ID, "service", merged.Service, "version", merged.Version, "state", merged.State.String(),
			"address", merged.Address, "data_centre", merged.DataCentre, "born", merged.Born, "sequence", merged.Sequence, "cold_until", merged.ColdUntil)
	}
}

// hear notes that the version of a target is in use.
func (v *VM) hear(row instance.Registration) {
	if row.Service != "" {
		v.streams.Heard.Note(corestream.Version{Service: row.Service, Version: row.Version}, time.Now())
	}
}

// Registered returns the registry's row of a target.
func (v *VM) Registered(id string) (row instance.Registration, found bool) {
	return v.registry.Table.Get(id)
}

// ReadNewest returns a catalogue that is at least as new as the revision that a
// majority confirms now. Its error has the code fault.NoQuorum if this replica
// doesn't reach that revision before ctx ends.
func (v *VM) ReadNewest(ctx context.Context) (c *catalogue.Catalogue, err error) {
	defer fault.Annotate(&err, "read the newest catalogue")
	revision, err := v.Proposer.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	for {
		changed := v.VMState.Catalogue.Changed()
		if c := v.VMState.Catalogue.Read(); c.Revision >= revision {
			return c, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fault.New(fault.NoQuorum, "revision %d has not come in time", revision)
		}
	}
}

// Reload applies the settings that may change while the VM runs: the control
// VMs' addresses.
func (v *VM) Reload(c vmconfig.Config) {
	v.addControlVMs(c.Seeds)
}

// Run serves until the context ends, then makes a planned stop. The handlers
// serve the control and the directory address.
func (v *VM) Run(ctx context.Context, control, directory http.Handler) (err error) {
	defer fault.Annotate(&err, "control VM %s", v.Config.ID)
	server := &vm.Server{VMState: v.VMState, Replica: v.replica, Proposer: v.Proposer, FollowServer: v.Follow, DrawServer: v.drawer, StreamVersions: v.streams, Forwarder: &forward.Server{}}
	listeners := map[string]http.Handler{
		v.Config.PeerAddress: server.Handler(v.peers.Credentials), v.Config.ControlAddress: control, v.Config.DirectoryAddress: directory,
		v.Config.MetricsAddress: (&quarantine.Server{Crashes: v.VMState.Quarantine, Log: v.Log}).Handler(v.Metrics.Text()),
	}
	v.addGauges()
	for address, handler := range listeners {
		if address == "" {
			continue
		}
		if err := v.serve(address, handler); err != nil {
			v.tomb.Kill(err)
			return err
		}
	}
	v.tomb.Go(func() error { return v.replica.Run(&v.tomb) })
	v.tomb.Go(v.expire)
	v.tomb.Go(v.maintainMembership)
	v.Log.Info("control VM serves", "vm", v.Config.ID, "replica", v.id, "first_start", v.Config.FirstStart)
	select {
	case <-ctx.Done():
		v.stop()
		v.tomb.Kill(nil)
	case <-v.tomb.Dying():
	}
	for _, s := range v.servers {
		s.Close()
	}
	return v.tomb.Wait()
}

// addGauges adds the gauges of this VM's replica.
func (v *VM) addGauges() {
	v.Metrics.Gauge("revision", func() int64 { return int64(v.VMState.Catalogue.Read().Revision) })
	v.Metrics.Gauge("term", func() int64 { return int64(v.replica.Status().Term) })
	v.Metrics.Gauge("commit", func() int64 { return int64(v.replica.Status().Commit) })
	v.Metrics.Gauge("held", func() int64 { return int64(v.replica.Status().Held) })
	v.Metrics.Gauge("log_bytes", func() int64 { return v.replica.Status().LogBytes })
	v.Metrics.Gauge("stream_versions", v.streams.Streams)
	v.Metrics.Gauge("idle_dropped", v.peers.Dropped)
	v.Metrics.Gauge("confirmed_ms_ago", func() int64 { return v.Follow.SinceConfirmed().Milliseconds() })
}

func (v *VM) serve(address string, handler http.Handler) error {
	server, err := listener.Listen(address, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout,
		ErrorLog: slog.NewLogLogger(v.Log.Handler(), slog.LevelDebug),
	}, nil)
	if err != nil {
		return err
	}
	v.servers = append(v.servers, server)
	v.tomb.Go(server.Serve)
	return nil
}

// stop hands the vote and the leadership over to other replicas and lets running calls end.
func (v *VM) stop() {
	v.Log.Info("control VM begins a planned stop; it hands over its vote to a learner, and the leadership", "vm", v.Config.ID)
	v.handOverVote()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	v.replica.TransferLeadership(ctx)
	var group sync.WaitGroup
	for _, s := range v.servers {
		group.Go(func() {
			if err := s.Stop(ctx); err != nil {
				v.Log.Warn("planned stop has run out of time; the calls that still run are cut off and retried by their callers at other control VMs", "error", err)
			}
		})
	}
	group.Wait()
}

// expire regularly marks targets as silent whose heartbeats are missing, and entry
// VMs as not ready that no longer poll. It also lets the drawer observe whether this
// VM leads.
func (v *VM) expire() error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.tomb.Dying():
			return nil
		case now := <-ticker.C:
			v.registryMu.Lock()
			silent := v.registry.Expire(now)
			v.registryMu.Unlock()
			for _, row := range silent {
				v.Log.Warn("target sends no heartbeats; entry VMs prefer other targets until it reports again", "target", row.ID, "service", row.Service, "age", now.Sub(row.Heard))
			}
			v.Follow.Expire(now)
			v.Stops.Note(v.Follow.Entries(), now)
			v.VMState.Quarantine.Expire(now)
			v.drawer.Observe(now)
			v.streams.Observe(now)
		}
	}
}

// askForControlVMs learns the addresses of the control VMs from those that are known. A
// new replica knows only those of the settings, none of which may lead.
func (v *VM) askForControlVMs(ctx context.Context) {
	bounded, cancel := v.peers.Bounded(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range v.VMState.Members.View.Read().Usable() {
		if !m.Control || m.PeerAddress == v.Config.PeerAddress {
			continue
		}
		group.Go(func() {
			answer, err := v.peers.At(m.PeerAddress).Follow(bounded, &rpc.FollowRequest{Announce: true, OnlyRegion: true, NoEntries: true})
			if err == nil {
				v.addControlVMs(answer.GetControlAddresses())
			}
		})
	}
	group.Wait()
}

// maintainMembership adds this VM's replica to the set of replicas and, while it
// leads, makes the changes that the set needs, one after the other.
func (v *VM) maintainMembership() error {
	timer := time.NewTimer(membershipInterval)
	defer timer.Stop()
	ctx := v.tomb.Context(context.Background())
	lastLeader := time.Now()
	for {
		select {
		case <-v.tomb.Dying():
			return nil
		case <-timer.C:
		}
		status := v.replica.Status().Status
		if status.Leader != "" {
			lastLeader = time.Now()
		}
		v.addControlVMs(append(slices.Clone(status.Membership.Voters), status.Membership.Learners...))
		if time.Since(lastLeader) > askAfter {
			v.askForControlVMs(ctx)
		}
		timer.Reset(v.maintainOnce(ctx, status, time.Since(lastLeader)))
	}
}

// maintainOnce makes the next change and returns after which time to look again.
func (v *VM) maintainOnce(ctx context.Context, status raft.Status, sinceLeader time.Duration) time.Duration {
	change, wanted := replicaset.Next(status, v.id, v.Config.Replicas, sinceLeader)
	if !wanted || (v.leaving.Load() && change.Action == raft.AddLearner) {
		return membershipInterval
	}
	bounded, cancel := v.peers.Bounded(ctx)
	defer cancel()
	if err := v.proposeChange(bounded, change); err != nil {
		return membershipInterval
	}
	return tickInterval
}
