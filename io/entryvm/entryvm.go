// Package entryvm runs an entry VM for plain HTTP routes. An entry VM takes
// requests of callers, and those that other entry VMs hand over, forwards each to
// a target and passes the answer on. It polls the control VMs for the
// configuration, the targets and the other entry VMs. A lease limits how long it
// acts on a configuration while no majority of the control VMs confirms it as the
// newest.
package entryvm

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/entry"
	"kingcuprill/core/fault"
	"kingcuprill/core/instance"
	"kingcuprill/core/lease"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/quota"
	"kingcuprill/core/watch"
	"kingcuprill/io/boottime"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/crashreport"
	"kingcuprill/io/draw"
	"kingcuprill/io/follow"
	"kingcuprill/io/front"
	"kingcuprill/io/link"
	"kingcuprill/io/listener"
	"kingcuprill/io/metrics"
	"kingcuprill/io/peer"
	"kingcuprill/io/streamversion"
	"kingcuprill/io/targetlink"
	"kingcuprill/io/upstream"
	"kingcuprill/io/vmconfig"
)

const (
	// revokeMargin is subtracted from the time within which a withdrawn key must
	// stop working. It covers the way of a request to its target after the last
	// check of the lease.
	revokeMargin = 900 * time.Millisecond
	// pruneInterval is how often idle connections and reservations are checked.
	pruneInterval = 500 * time.Millisecond
	// shareTimeout is how long an entry VM that no control VM reports any more
	// still counts among those that share the rate limits and the retry budget. Its
	// lease has ended by then.
	shareTimeout = 6 * time.Second
	// memoryShare is the part of the VM's memory that is the soft memory limit of
	// the garbage collector.
	memoryShare = 0.7
	// answerShare is the part of the VM's memory that the answers of targets and of other
	// entry VMs may take together.
	answerShare = 0.25
	// bodyShare is the same for the bodies of callers' requests.
	bodyShare = 0.125
	// retryBudgetShare is the part of the retry budget that VMs may use; the rest
	// covers VMs that have just started, whose budgets are full.
	retryBudgetShare = 0.8
)

// Options hold what an entry VM needs besides its settings.
type Options struct {
	Config  vmconfig.Config
	Headers front.Headers
	Starts  *front.Starts // how targets are asked which start they are
	// Decode parses the document of a plan.
	Decode func(document []byte) (plan.Plan, error)
	Log    *slog.Logger
}

// VM is a running entry VM.
type VM struct {
	Options
	Metrics *metrics.Metrics

	started     time.Time
	tomb        tomb.Tomb
	draining    atomic.Bool
	closing     atomic.Bool // accepts no connections of callers any more
	state       *watch.Value[front.State]
	lease       *lease.Lease
	placer      *place.Placer
	quota       *quota.Limiter
	entries     atomic.Pointer[[]entry.VM]
	stops       *entry.Stops
	lastSeen    map[string]time.Time // by entry VM: when a control VM last reported it
	vmCount     atomic.Int64
	quarantine  *quarantine.List
	crashes     *crashreport.Sender
	client      *follow.Client
	drawer      *draw.Client
	front       *front.Server
	coordinator *coordinator.Server
	servers     []*listener.Server
	counters    *link.Counters // nil if the link is unlimited
	linkMonitor *link.Monitor  // the same
}

// New returns an entry VM.
func New(o Options) *VM {
	c := o.Config
	v := &VM{
		Options: o, Metrics: metrics.New(), state: watch.NewValue(&front.State{}), placer: place.NewPlacer(c.ID, c.Region),
		started: time.Now(), lease: lease.New(boottime.Now, c.RevokeWithin-revokeMargin), quota: quota.NewLimiter(), lastSeen: map[string]time.Time{},
		quarantine: quarantine.NewList(), stops: entry.NewStops(c.Grace),
	}
	v.placer.ByRank = c.ByRank
	v.placer.Retries = place.Retries{Ratio: c.RetryRatio * retryBudgetShare, Slack: c.RetrySlack * retryBudgetShare}
	v.entries.Store(&[]entry.VM{})
	peers := peer.NewUnsigned(c.ID, c.DialThrough...)
	v.client = &follow.Client{
		Peers: peers, Lease: v.lease, Log: o.Log, Self: v.self, OnCatalogue: v.applyCatalogue, OnTargets: v.applyTargets, OnEntries: v.applyEntries,
		OnCrashes: v.applyCrashes,
	}
	v.crashes = &crashreport.Sender{Peers: peers, Addresses: v.client.Polled, Log: o.Log}
	v.quarantine.Changed = v.crashes.Send
	v.drawer = draw.NewClient(peers, v.quota, v.client.Controls, o.Log)
	v.quarantine.OnCrashGroup = v.recordCrashGroup
	v.front = &front.Server{
		Drawer: v.drawer, Coordinators: coordinator.NewClient(peers, o.Log),
		Self: c.ID, Region: c.Region, Headers: o.Headers, State: v.state, Lease: v.lease, NewestWithin: c.NewestWithin, Placer: v.placer, Quota: v.quota, Quarantine: v.quarantine,
		Targets: upstream.NewClient(nil), Peers: newPeerClient(peers), Entries: &v.entries,
		ByRank: c.ByRank, ByRegion: c.ByRegion, Starts: o.Starts, Metrics: v.Metrics, Log: o.Log,
	}
	v.front.Coordinators.SaveCalls = c.SaveCalls
	answers := bytebudget.New(int64(answerShare * float64(c.MemoryBytes)))
	v.front.Targets.Budget, v.front.Peers.Budget = answers, answers
	v.front.Bodies = bytebudget.NewForBodies(int64(bodyShare * float64(c.MemoryBytes)))
	v.front.Targets.DialAddress = peers.VM.Dial
	v.front.Links = targetlink.NewMonitor(v.front.Targets, func() []place.Address { return v.placer.Usable(time.Now()) }, o.Log)
	v.front.Links.Changed = v.reportLinks
	v.front.Links.Neighbour = func() (string, bool) {
		address, found := v.neighbour()
		return peers.VM.Dial(address), found
	}
	v.front.Streams = streamversion.NewClient(peers, v.client.Controls, v.client.Polled, v.vmCount.Load, v.lease.Valid, o.Log)
	v.front.Coordinators.OnLimits = func(limits []place.TargetLimit) { v.placer.LearnLimits(limits, time.Now()) }
	v.coordinator = coordinator.NewServer(v.placer, func() map[string]bool { return v.state.Read().Evacuated }, v.lease.Valid, o.Log)
	v.limitLink(peers)
	return v
}

// forwardIdle is how long a connection to an entry VM of another region is kept. It is
// below callerIdleTimeout, after which that VM closes it.
const forwardIdle = 40 * time.Second

// newPeerClient returns the client for requests that are handed over to other
// entry VMs. It dials them like the calls between VMs.
func newPeerClient(peers *peer.Peers) *upstream.Client {
	client := upstream.NewClient(nil)
	client.DialAddress = peers.VM.Dial
	client.Idle = forwardIdle
	return client
}

func (v *VM) self() entry.VM {
	c := v.Config
	self := entry.VM{
		ID: c.ID, Region: c.Region, DataCentre: c.DataCentre, PeerAddress: c.PeerAddress, Ready: v.Ready(),
		WithoutTargets: v.front.Links.Lost(), LinkRate: c.LinkRate, LinkBusy: !v.front.Link.TakesForwarded(), LinkFull: v.front.Link.Shedding(),
	}
	if v.accepts() {
		self.CallerAddress = c.CallerAddress
	}
	return self
}

// accepts reports whether this VM accepts callers and has a plan to serve them by.
func (v *VM) accepts() bool {
	return !v.closing.Load() && v.state.Read().Plan != nil
}

// neighbour returns the address of another ready VM of the region, at random.
func (v *VM) neighbour() (address string, found bool) {
	all := *v.entries.Load()
	for _, i := range rand.Perm(len(all)) {
		if e := all[i]; e.Ready && e.Region == v.Config.Region && e.ID != v.Config.ID {
			return e.PeerAddress, true
		}
	}
	return "", false
}

// reportLinks tells the other VMs at once whether this one reaches targets.
func (v *VM) reportLinks(bool) {
	go v.client.ReportState(context.Background())
}

// Ready reports whether callers should be sent to this VM: it has a plan and
// isn't stopping.
func (v *VM) Ready() bool {
	return !v.draining.Load() && v.state.Read().Plan != nil
}

// applyCatalogue puts a catalogue in force. If its plan can't be decoded, the one before
// stays, and the error says why.
func (v *VM) applyCatalogue(c *catalogue.Catalogue) (err error) {
	defer fault.Annotate(&err, "decode plan %d", c.Plan.Version)
	v.placer.SetEvacuated(c.Evacuated, time.Now()) // before any request goes to a data centre that isn't evacuated any more
	old := v.state.Read()
	next := &front.State{Plan: old.Plan, Revision: c.Revision, Evacuated: c.Evacuated}
	if c.Plan.Version > 0 && (old.Plan == nil || c.Plan.Version > old.Plan.Plan.Version) {
		decoded, err := v.Decode(c.Plan.Document)
		if err != nil {
			// Evacuations and the revision hold all the same.
			v.state.Update(func(*front.State) *front.State { return next })
			return err
		}
		next.Plan = plan.NewIndex(decoded)
	}
	v.state.Update(func(*front.State) *front.State { return next })
	v.Log.Info("catalogue is in force", "revision", c.Revision, "plan", c.Plan.Version, "before", old.Revision, "evacuated", len(c.Evacuated))
	return nil
}

func (v *VM) applyTargets(rows map[string]instance.Registration, remote []follow.RemoteTargets) {
	v.placer.SetTargets(rows, func(dataCentre string) string { return v.Config.Regions[dataCentre] })
	var others []place.Remote
	add := func(service, dataCentre, version string, count int) {
		if region := v.Config.Regions[dataCentre]; region != v.Config.Region && region != "" {
			others = append(others, place.Remote{Service: service, DataCentre: dataCentre, Region: region, Version: version, Targets: count})
		}
	}
	for _, r := range remote {
		add(r.Service, r.DataCentre, r.Version, r.Targets)
	}
	// A control VM of an earlier release sends the rows of all regions.
	for _, row := range rows {
		if row.State == instance.Ready {
			add(row.Service, row.DataCentre, row.Version, 1)
		}
	}
	v.placer.SetRemote(others)
}

// applyEntries takes the entry VMs that a control VM reported. Those of this region
// share its targets. Those of all regions that were reported within shareTimeout
// share the rate limits and the retry budget; there are count of them at least.
func (v *VM) applyEntries(vms []entry.VM, count int) {
	now := time.Now()
	var ready, known []string
	for _, e := range vms {
		v.lastSeen[e.ID] = now
		if e.Region != v.Config.Region {
			continue
		}
		known = append(known, e.ID)
		if e.Ready {
			ready = append(ready, e.ID)
		}
	}
	for id, at := range v.lastSeen {
		if now.Sub(at) > shareTimeout {
			delete(v.lastSeen, id)
		}
	}
	v.placer.SetVMs(ready, known)
	count = max(count, len(v.lastSeen))
	v.vmCount.Store(int64(count))
	v.quota.SetVMs(count)
	v.placer.SetRetryVMs(count)
	v.entries.Store(&vms)
	v.stops.Note(vms, now)
}

// applyCrashes takes what a control VM has heard about crashes of targets. One that has
// just started gets all that this VM knows.
func (v *VM) applyCrashes(control string, rows []quarantine.Crash, lacksOthers bool) {
	v.quarantine.Merge(rows)
	if lacksOthers {
		v.front.Streams.SendAll(control)
		v.crashes.SendTo(control, v.quarantine.Rows())
	}
}

// maxKeptLogged bounds the suspect parts in the log line of a crash group.
const maxKeptLogged = 8

// recordCrashGroup counts and logs crashes with a common cause.
func (v *VM) recordCrashGroup(g quarantine.CrashGroup) {
	v.Metrics.Count("quarantine.crash_groups")
	v.Log.Warn("many targets of a service have crashed at almost the same time; only the parts that this speaks against are suspect", "service", g.Service,
		"targets", g.Targets, "requests", g.Requests, "begun", g.Begun, "dismissed", g.Dismissed, "suspect", len(g.Kept), "parts", g.Kept[:min(len(g.Kept), maxKeptLogged)])
}

// discoveryTime is how long after its start a VM may not know all entry VMs
// yet. Until then its directory answers name no VMs of other regions, as it can't
// know that a region has none.
const discoveryTime = 6 * time.Second

// Directory returns the state from which this VM answers directory lookups.
func (v *VM) Directory() entry.Directory {
	d := entry.Directory{
		VMs: *v.entries.Load(), AllowOtherRegions: v.lease.Valid() && time.Since(v.started) > discoveryTime, HomeCount: func(string) int { return 0 },
		Stops: v.stops, SpreadCallers: v.Config.SpreadCallers,
	}
	if index := v.state.Read().Plan; index != nil {
		d.HomeCount = index.HomeCount
	}
	return d
}

// Run serves until the context ends, then makes a planned stop. The handlers
// serve the readiness and the directory address.
func (v *VM) Run(ctx context.Context, readiness, directory http.Handler) (err error) {
	defer fault.Annotate(&err, "entry VM %s", v.Config.ID)
	debug.SetMemoryLimit(int64(memoryShare * float64(v.Config.MemoryBytes)))
	if err := v.listen(readiness, directory); err != nil {
		v.tomb.Kill(err)
		return err
	}
	v.client.Run(&v.tomb, v.Config.Seeds)
	v.tomb.Go(v.prune)
	v.tomb.Go(func() error { return v.front.Links.Run(&v.tomb) })
	v.runLinkMonitor()
	v.Log.Info("entry VM serves", "vm", v.Config.ID, "region", v.Config.Region, "callers", v.Config.CallerAddress)
	select {
	case <-ctx.Done():
		v.drain()
		v.tomb.Kill(nil)
	case <-v.tomb.Dying():
	}
	for _, s := range v.servers {
		s.Close()
	}
	return v.tomb.Wait()
}

// addGauges adds the gauges of this VM's load and of the state that it acts on.
func (v *VM) addGauges() {
	v.Metrics.Gauge("running", v.front.Running)
	v.Metrics.Gauge("links_lost", func() int64 {
		if v.front.Links.Lost() {
			return 1
		}
		return 0
	})
	v.Metrics.Gauge("lease_left_ms", func() int64 { return v.lease.Left().Milliseconds() })
	v.Metrics.Gauge("revision", func() int64 { return int64(v.state.Read().Revision) })
	v.Metrics.Gauge("entry_vms", v.vmCount.Load)
	v.Metrics.Gauge("draws.failed", v.drawer.Failed.Load)
	v.Metrics.Gauge("draws.rerouted", v.drawer.Rerouted.Load)
	v.Metrics.Gauge("draws.unreached", v.drawer.Unreached.Load)
	v.Metrics.Gauge("catalogues_from_other_region", v.client.FromOtherRegion)
	v.Metrics.Gauge("idle_dropped", v.client.Peers.Dropped)
	v.Metrics.Gauge("coordinated_targets", v.placer.Coordinated)
	v.Metrics.Gauge("engine_token_time_ns", func() int64 {
		average, _ := v.placer.TokenTimes()
		return average.Nanoseconds()
	})
	v.Metrics.Gauge("engine_token_time_slowest_ns", func() int64 {
		_, slowest := v.placer.TokenTimes()
		return slowest.Nanoseconds()
	})
	v.Metrics.Gauge("limited_targets", v.placer.Limited)
	v.Metrics.Gauge("reserved_places", v.coordinator.Reserved)
	v.Metrics.Gauge("asked_places", v.coordinator.Asked)
	v.Metrics.Gauge("given_places", v.coordinator.Given)
	v.Metrics.Gauge("quarantine.suspects", func() int64 {
		suspects, _ := v.quarantine.Counts()
		return int64(suspects)
	})
	v.Metrics.Gauge("quarantine.refused", func() int64 {
		_, refused := v.quarantine.Counts()
		return int64(refused)
	})
}

// Reload applies the settings that may change while the VM runs: the control
// VMs' addresses.
func (v *VM) Reload(c vmconfig.Config) {
	v.client.SetSeeds(c.Seeds)
}

// prune ends expired reservations and closes idle connections.
func (v *VM) prune() error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.tomb.Dying():
			return nil
		case now := <-ticker.C:
			v.coordinator.Expire(now)
			v.quarantine.Expire(now)
			v.front.Targets.Prune(now, v.placer.Knows)
			v.front.Peers.Prune(now, func(string) bool { return true })
		}
	}
}
