// Package entryvm runs an entry VM for plain HTTP routes: it follows the
// control VMs and serves callers and the entry VMs of other regions.
package entryvm

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/entry"
	"kingcuprill/core/fault"
	"kingcuprill/core/instance"
	"kingcuprill/core/lease"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quota"
	"kingcuprill/core/watch"
	"kingcuprill/io/boottime"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/draw"
	"kingcuprill/io/follow"
	"kingcuprill/io/front"
	"kingcuprill/io/listener"
	"kingcuprill/io/metrics"
	"kingcuprill/io/peer"
	"kingcuprill/io/upstream"
	"kingcuprill/io/vmconfig"
)

const (
	// revokeMargin is taken off the time within which a withdrawn key must be
	// dead: the way of a request to its target after the last look at the lease.
	revokeMargin = 900 * time.Millisecond
	// pruneEvery is how often idle connections are looked through.
	pruneEvery = 500 * time.Millisecond
	// countFor is how long an entry VM that isn't seen any more is still counted
	// among those that share the limits. Its lease has ended by then.
	countFor = 6 * time.Second
	// idleCallers is how long a caller's idle connection is kept.
	idleCallers = 75 * time.Second
	// readHeaders bounds the time in which a caller sends its headers.
	readHeaders = 10 * time.Second
	// stopMargin is kept at the end of a planned stop.
	stopMargin = 700 * time.Millisecond
	// drainShare is the part of a planned stop in which new connections are
	// still taken, as callers learn of the stop with a delay.
	drainShare = 2
	// memoryShare is the part of the memory that the collector aims at.
	memoryShare = 0.7
	// budgetShare is the part of the retry budget that is given out; the rest
	// covers VMs that have just started with a full account.
	budgetShare = 0.8
)

// Options hold what an entry VM needs besides its settings.
type Options struct {
	Config  vmconfig.Config
	Headers front.Headers
	// Decode reads a plan from its document.
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
	state       *watch.Value[front.State]
	lease       *lease.Lease
	placer      *place.Placer
	quota       *quota.Limiter
	entries     atomic.Pointer[[]entry.VM]
	seen        map[string]time.Time // entry VMs that any control VM tells of, when last told
	count       atomic.Int64
	client      *follow.Client
	front       *front.Server
	coordinator *coordinator.Server
	servers     []*listener.Server
}

// New returns an entry VM.
func New(o Options) *VM {
	c := o.Config
	v := &VM{
		Options: o, Metrics: metrics.New(), state: watch.NewValue(&front.State{}), placer: place.NewPlacer(c.ID, c.Region),
		started: time.Now(), lease: lease.New(boottime.Now, c.RevokeWithin-revokeMargin), quota: quota.NewLimiter(), seen: map[string]time.Time{},
	}
	v.entries.Store(&[]entry.VM{})
	peers := peer.NewUnsigned(c.ID, c.DialThrough...)
	v.client = &follow.Client{
		Peers: peers, Lease: v.lease, Log: o.Log, Self: v.self, Catalogue: v.takeCatalogue, Targets: v.takeTargets, Entries: v.takeEntries,
	}
	drawer := draw.NewClient(peers, v.quota, v.client.Controls, o.Log)
	v.front = &front.Server{
		Drawer: drawer, Coordinators: coordinator.NewClient(peers, o.Log),
		Self: c.ID, Region: c.Region, Headers: o.Headers, State: v.state, Lease: v.lease, Placer: v.placer, Quota: v.quota,
		Targets: upstream.NewClient(nil), Peers: throughPeers(peers), Entries: &v.entries,
		RetryAllowance: v.retryAllowance, RetryRatio: c.RetryRatio * budgetShare, Metrics: v.Metrics, Log: o.Log,
	}
	v.coordinator = coordinator.NewServer(v.placer, func() map[string]bool { return v.state.Read().Evacuated }, o.Log)
	return v
}

// throughPeers returns the client for requests that are handed to other entry
// VMs, on the same way as the calls between VMs.
func throughPeers(peers *peer.Peers) *upstream.Client {
	client := upstream.NewClient(nil)
	client.Through = peers.VM.Dial
	return client
}

func (v *VM) retryAllowance() float64 {
	return v.Config.RetrySlack * budgetShare / float64(max(1, v.count.Load()))
}

func (v *VM) self() entry.VM {
	c := v.Config
	return entry.VM{
		ID: c.ID, Region: c.Region, DataCentre: c.DataCentre, CallerAddress: c.CallerAddress, PeerAddress: c.PeerAddress, Ready: v.Ready(),
	}
}

// Ready tells whether callers should be sent here.
func (v *VM) Ready() bool {
	return !v.draining.Load() && v.state.Read().Plan != nil
}

func (v *VM) takeCatalogue(c *catalogue.Catalogue) {
	old := v.state.Read()
	next := &front.State{Plan: old.Plan, Revision: c.Revision, Evacuated: c.Evacuated}
	if c.Plan.Version > 0 && (old.Plan == nil || c.Plan.Version > old.Plan.Plan.Version) {
		decoded, err := v.Decode(c.Plan.Document)
		if err != nil {
			v.Log.Error("plan can't be read", "plan", c.Plan.Version, "error", err)
			return
		}
		next.Plan = plan.NewIndex(decoded)
	}
	v.state.Update(func(*front.State) *front.State { return next })
	v.Log.Info("catalogue is in force", "revision", c.Revision, "plan", c.Plan.Version, "before", old.Revision, "evacuated", len(c.Evacuated))
}

func (v *VM) takeTargets(rows map[string]instance.Registration) {
	v.placer.SetTargets(rows, func(dataCentre string) string { return v.Config.Regions[dataCentre] })
}

func (v *VM) takeEntries(vms []entry.VM) {
	now := time.Now()
	var ready, known []string
	for _, e := range vms {
		v.seen[e.ID] = now
		if e.Region != v.Config.Region {
			continue
		}
		known = append(known, e.ID)
		if e.Ready {
			ready = append(ready, e.ID)
		}
	}
	for id, at := range v.seen {
		if now.Sub(at) > countFor {
			delete(v.seen, id)
		}
	}
	v.placer.SetVMs(ready, known)
	v.count.Store(int64(len(v.seen)))
	v.quota.SetVMs(len(v.seen))
	v.entries.Store(&vms)
}

// learnFor is how long a VM that has started may not have heard of all entry
// VMs yet.
const learnFor = 6 * time.Second

// Known returns what this VM knows of the entry VMs.
func (v *VM) Known() entry.Directory {
	d := entry.Directory{
		VMs: *v.entries.Load(), AllowOtherRegions: v.lease.Valid() && time.Since(v.started) > learnFor, HomeCount: func(string) int { return 0 },
	}
	if index := v.state.Read().Plan; index != nil {
		d.HomeCount = index.HomeCount
	}
	return d
}

// Run serves until the context ends, then stops as planned. The handlers are
// those of the readiness and the directory address.
func (v *VM) Run(ctx context.Context, readiness, directory http.Handler) (err error) {
	defer fault.Annotate(&err, "entry VM %s", v.Config.ID)
	debug.SetMemoryLimit(int64(memoryShare * float64(v.Config.Memory)))
	if err := v.listen(readiness, directory); err != nil {
		v.tomb.Kill(err)
		return err
	}
	v.client.Run(&v.tomb, v.Config.Seeds)
	v.tomb.Go(v.prune)
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

// addGauges adds the ages and versions of what this VM believes.
func (v *VM) addGauges() {
	v.Metrics.Gauge("running", v.front.Running)
	v.Metrics.Gauge("lease_left_ms", func() int64 { return v.lease.Left().Milliseconds() })
	v.Metrics.Gauge("revision", func() int64 { return int64(v.state.Read().Revision) })
	v.Metrics.Gauge("entry_vms", v.count.Load)
	v.Metrics.Gauge("coordinated_targets", v.placer.Coordinated)
	v.Metrics.Gauge("reserved_places", v.coordinator.Reserved)
	v.Metrics.Gauge("given_places", v.coordinator.Given)
}

// Reload takes over the settings that may change while the VM runs.
func (v *VM) Reload(c vmconfig.Config) {
	v.client.SetSeeds(c.Seeds)
}

func (v *VM) listen(readiness, directory http.Handler) error {
	if err := v.serve(v.Config.PeerAddress, v.peerHandler()); err != nil {
		return err
	}
	if err := v.serve(v.Config.ReadinessAddress, readiness); err != nil {
		return err
	}
	if v.Config.MetricsAddress != "" {
		v.addGauges()
		if err := v.serve(v.Config.MetricsAddress, v.Metrics.Text()); err != nil {
			return err
		}
	}
	if v.Config.DirectoryAddress != "" {
		if err := v.serve(v.Config.DirectoryAddress, directory); err != nil {
			return err
		}
	}
	if err := v.serve(v.Config.CallerAddress, v.front); err != nil {
		return err
	}
	return nil
}

// peerHandler serves the other entry VMs: requests that they hand over, and
// their own calls.
func (v *VM) peerHandler() http.Handler {
	calls := v.coordinator.Handler(v.client.Peers.Credentials)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The path of a request that was handed over is the caller's.
		if front.FromEntryVM(r) {
			v.front.ServeHop(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

func (v *VM) serve(address string, handler http.Handler) error {
	server, err := listener.Listen(address, &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaders, IdleTimeout: idleCallers, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(v.Log.Handler(), slog.LevelDebug), DisableGeneralOptionsHandler: true,
	}, nil)
	if err != nil {
		return err
	}
	v.servers = append(v.servers, server)
	v.tomb.Go(server.Serve)
	return nil
}

// maxHeader bounds the headers of a request, in bytes. The library allows 4 KiB
// more.
const maxHeader = 12 << 10

// drain stops as planned: the directory names this VM no more, requests that
// come are still served, and the VM ends with its last request.
func (v *VM) drain() {
	v.Log.Info("entry VM stops", "vm", v.Config.ID, "running", v.front.Running())
	v.draining.Store(true)
	end := time.Now().Add(v.Config.Grace - stopMargin)
	v.front.StopAt(end)
	for _, s := range v.servers {
		s.CloseAfterAnswers()
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	v.client.Tell(ctx)
	time.Sleep(v.Config.Grace / (2 * drainShare))
	var group sync.WaitGroup
	for _, s := range v.servers {
		group.Go(func() {
			if err := s.Stop(ctx); err != nil {
				v.Log.Warn("requests are cut off by the end of a planned stop", "running", v.front.Running(), "error", err)
			}
		})
	}
	group.Wait()
	v.Log.Info("entry VM has stopped", "vm", v.Config.ID, "running", v.front.Running())
}

// prune gives up idle connections.
func (v *VM) prune() error {
	ticker := time.NewTicker(pruneEvery)
	defer ticker.Stop()
	for {
		select {
		case <-v.tomb.Dying():
			return nil
		case now := <-ticker.C:
			v.coordinator.Expire(now)
			v.front.Targets.Prune(now, v.placer.Knows)
			v.front.Peers.Prune(now, func(string) bool { return true })
		}
	}
}
