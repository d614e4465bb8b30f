// Package daemon assembles the components of kingcuprilld, the process of one VM of
// the system, and runs them. The VM serves callers, targets, operators and other
// VMs on a listener each, and holds a replica of the control log if it has a data
// folder. An error of one component stops all. A planned stop lets the running
// requests end first.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
	"gopkg.in/tomb.v2"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/core/inflight"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/core/withdrawal"
	"kingcuprill/io/announce"
	"kingcuprill/io/book"
	"kingcuprill/io/borrow"
	"kingcuprill/io/caller"
	"kingcuprill/io/cataloguesync"
	"kingcuprill/io/crashreport"
	"kingcuprill/io/disk"
	"kingcuprill/io/dispatch"
	"kingcuprill/io/engine"
	"kingcuprill/io/forward"
	"kingcuprill/io/gossip"
	"kingcuprill/io/listener"
	"kingcuprill/io/metrics"
	"kingcuprill/io/operator"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/io/replica"
	"kingcuprill/io/report"
	"kingcuprill/io/reserve"
	"kingcuprill/io/service"
	"kingcuprill/io/settings"
	"kingcuprill/io/vm"
	"kingcuprill/io/withdraw"
)

// Daemon is one VM of the system.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	tomb     tomb.Tomb
	vmState  *vmstate.State
	peers    *peer.Peers
	store    *disk.Store
	replica  *replica.Replica
	metrics  *metrics.Metrics
	inFlight inflight.Register
	started  time.Time

	proposer   *propose.Proposer
	follower   *cataloguesync.Follower
	withdrawer *withdraw.Withdrawer
	gossiper   *gossip.Gossip
	borrower   *borrow.Borrower
	reporter   *report.Reporter
	answers    *book.Answers
	dispatcher *dispatch.Dispatcher

	callers *listener.Server
	servers []*listener.Server
}

// New returns a daemon for validated settings. It opens the data folder, if the
// settings name one; the error is that of the data folder or the replica.
func New(s settings.Settings, log *slog.Logger) (d *Daemon, err error) {
	defer fault.Annotate(&err, "vm %s", s.VM.ID)
	d = &Daemon{settings: s, log: log, metrics: metrics.New(), started: time.Now()}
	d.vmState = vmstate.New(membership.Member{
		ID: s.VM.ID, Region: s.VM.Region, DataCentre: s.VM.DataCentre, PeerAddress: s.VM.PeerAddress,
		CallerAddress: s.VM.CallerAddress, Incarnation: uint64(time.Now().UnixNano()), Control: s.Control.DataDir != "",
	}, s.Targets.Lease)
	d.peers = peer.NewPeers(s)
	d.proposer = &propose.Proposer{VMState: d.vmState, Peers: d.peers}
	d.follower = &cataloguesync.Follower{VMState: d.vmState, Peers: d.peers, Log: log, Updated: d.announceCatalogue, Withdrawn: d.takeWithdrawn}
	d.withdrawer = &withdraw.Withdrawer{VMState: d.vmState, Peers: d.peers, Proposer: d.proposer, Log: log}
	d.gossiper = &gossip.Gossip{VMState: d.vmState, Peers: d.peers, Seeds: s.Seeds, Log: log, Withdrawn: d.takeWithdrawn, Uncommitted: d.withdrawer.Uncommitted}
	d.borrower = borrow.NewBorrower(d.vmState, d.peers, log)
	d.answers = &book.Answers{VMState: d.vmState, Peers: d.peers}
	d.reporter = &report.Reporter{VMState: d.vmState, Peers: d.peers}
	answers := bytebudget.New(s.Limits.MaxAnswersBytes)
	d.dispatcher = &dispatch.Dispatcher{
		VMState: d.vmState, Engine: engine.NewClient(s.Timeouts, answers), Service: service.NewClient(s.Timeouts, s.Limits, answers),
		Forward: &forward.Client{VMState: d.vmState, Peers: d.peers}, Policy: s.Policy, Metrics: d.metrics, Log: log,
	}
	crashes := &crashreport.Sender{Peers: d.peers, Addresses: d.otherVMs, Log: log}
	d.vmState.Quarantine.Changed = crashes.Send
	d.addGauges()
	if s.Control.DataDir != "" {
		err = d.openReplica()
	}
	return d, err
}

func (d *Daemon) takeWithdrawn(keys []string) {
	d.withdrawer.Apply(keys)
}

// addGauges adds the gauges of the traffic between VMs (bytes), of the catalogue's
// revision and of the running requests.
func (d *Daemon) addGauges() {
	d.metrics.Gauge("peer_bytes_sent", d.peers.Bytes.Sent.Load)
	d.metrics.Gauge("peer_bytes_received", d.peers.Bytes.Received.Load)
	d.metrics.Gauge("revision", func() int64 { return int64(d.vmState.Catalogue.Read().Revision) })
	d.metrics.Gauge("running", d.inFlight.Count)
}

func (d *Daemon) openReplica() error {
	identity := disk.Identity{ClusterID: d.settings.Cluster.ID, VM: d.settings.VM.ID}
	store, saved, err := replica.Open(d.settings.Control.DataDir, identity, 0)
	if err != nil {
		return err
	}
	if saved.TornBytes > 0 {
		d.log.Warn("incomplete write at the end of the control log was cut off; the replica starts without it", "bytes", saved.TornBytes)
	}
	d.store = store
	d.withdrawer.Store = store
	d.vmState.Withdrawn.Update(func(*withdrawal.Set) *withdrawal.Set { return withdrawal.New(saved.Withdrawn...) })
	d.replica = replica.New(replica.Options{
		ID: d.settings.VM.ID, Store: store, Saved: saved, Log: d.log, TickEvery: d.settings.Control.Tick,
		Transport: &replica.Sender{Address: d.vmState.Members.Address, Peers: d.peers, Log: d.log, Tomb: &d.tomb},
		Published: func(c *catalogue.Catalogue, change *catalogue.Change) { d.follower.Install(c, change) },
	})
	d.proposer.Replica = d.replica
	return nil
}

// Run serves until the context ends or a component fails, and returns the error of
// the component. At the end of the context it carries out a planned stop: other VMs
// send it nothing more, it still accepts requests for timeouts.drain, and it returns
// when the last request has ended, or after timeouts.shutdown.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "vm %s", d.settings.VM.ID)
	// Keeps the tomb alive until it is killed: Go panics once all goroutines of a tomb
	// have ended.
	d.tomb.Go(func() error {
		<-d.tomb.Dying()
		return nil
	})
	if err := d.listen(); err != nil {
		d.tomb.Kill(err)
		d.closeAll()
		return err
	}
	d.runControllers()
	d.log.Info("VM serves", "vm", d.settings.VM.ID, "region", d.settings.VM.Region, "data_centre", d.settings.VM.DataCentre, "callers", d.settings.VM.CallerAddress)
	select {
	case <-ctx.Done():
		d.drain()
		d.tomb.Kill(nil)
	case <-d.tomb.Dying():
	}
	d.closeAll()
	return d.tomb.Wait()
}

func (d *Daemon) runControllers() {
	d.tomb.Go(func() error { return d.gossiper.Run(&d.tomb) })
	d.tomb.Go(func() error { return d.follower.Run(&d.tomb) })
	d.tomb.Go(func() error { return d.withdrawer.Run(&d.tomb) })
	d.tomb.Go(func() error { return d.borrower.Run(&d.tomb) })
	d.tomb.Go(d.cancelWithdrawn)
	d.tomb.Go(d.expire)
	d.tomb.Go(d.registerVM)
	if d.replica != nil {
		d.tomb.Go(func() error { return d.replica.Run(&d.tomb) })
		d.tomb.Go(d.settleVMs)
	}
}

// listen opens all listeners and starts to serve them. The callers' listener comes
// last.
func (d *Daemon) listen() error {
	s := d.settings
	forwarder := &forward.Server{VMState: d.vmState, Runner: d.dispatcher, Enter: d.inFlight.Enter}
	peerServer := &vm.Server{
		VMState: d.vmState, Replica: d.replica, Proposer: d.proposer, Follower: d.follower, Gossiper: d.gossiper,
		Withdrawer: d.withdrawer, Borrower: d.borrower, Reporter: d.reporter, Forwarder: forwarder, Answers: d.answers,
	}
	operatorServer := &operator.Server{
		VMState: d.vmState, Proposer: d.proposer, Withdrawer: d.withdrawer, Reporter: d.reporter,
		Token: s.Cluster.OperatorToken, CommitTimeout: s.Timeouts.Commit, Log: d.log,
	}
	announceServer := &announce.Server{
		VMState: d.vmState, Networks: s.Targets.PermittedNetworks, Log: d.log,
		Forbidden: []string{s.VM.PeerAddress, s.VM.CallerAddress, s.VM.TargetAddress, s.VM.OperatorAddress},
	}
	if err := d.serve(s.VM.PeerAddress, peerServer.Handler(d.peers.Credentials)); err != nil {
		return err
	}
	if err := d.serve(s.VM.OperatorAddress, operatorServer.Handler(d.metrics)); err != nil {
		return err
	}
	if err := d.serve(s.VM.TargetAddress, announceServer.Handler()); err != nil {
		return err
	}
	if err := d.serve(s.VM.CallerAddress, d.callerServer().Handler()); err != nil {
		return err
	}
	d.callers = d.servers[len(d.servers)-1]
	return nil
}

func (d *Daemon) callerServer() *caller.Server {
	s := d.settings
	reserver := &reserve.Reserver{Limiter: d.vmState.Limiter, Wait: s.Limits.QueueWait}
	if s.Limits.Loans {
		reserver.OnShortage = d.borrower.RecordShortage
	}
	return &caller.Server{
		VMState: d.vmState, Dispatcher: d.dispatcher, Reserver: reserver, Register: &d.inFlight, Limits: s.Limits,
		Bodies: bytebudget.NewForBodies(s.Limits.MaxBodiesBytes), Metrics: d.metrics, Log: d.log, Ready: d.ready,
		Booker: &book.Booker{
			VMState: d.vmState, Proposer: d.proposer, Caller: d.dispatcher, Answers: d.answers, CommitTimeout: s.Timeouts.Commit, Log: d.log, Background: d.background,
		},
	}
}

func (d *Daemon) serve(address string, handler http.Handler) error {
	server, err := listener.Listen(address, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.settings.Timeouts.ReadHeader,
		MaxHeaderBytes:    d.settings.Limits.MaxHeaderBytes,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}, func(l net.Listener) net.Listener { return netutil.LimitListener(l, d.settings.Limits.MaxConnections) })
	if err != nil {
		return err
	}
	d.servers = append(d.servers, server)
	d.tomb.Go(server.Serve)
	return nil
}

// background runs work that may go on after its request has ended. A planned stop
// waits for it.
func (d *Daemon) background(work func(ctx context.Context)) {
	ctx, leave := d.inFlight.Enter(d.tomb.Context(context.Background()), "")
	d.tomb.Go(func() error {
		defer leave()
		work(ctx)
		return nil
	})
}

// ready returns nil if this VM may be sent requests, otherwise the reason why not.
func (d *Daemon) ready() error {
	switch {
	case d.vmState.Draining.Load():
		return fault.New(fault.Overloaded, "VM %s is stopping", d.vmState.Self)
	case !d.gossiper.Joined() && time.Since(d.started) < joinTimeout:
		return fault.New(fault.Overloaded, "VM %s has reached no other VM yet", d.vmState.Self)
	case d.vmState.Catalogue.Read().Revision == 0:
		return fault.New(fault.Overloaded, "VM %s has no catalogue yet", d.vmState.Self)
	case d.vmState.Catalogue.Read().Revision < d.dataCentreRevision() && time.Since(d.started) < joinTimeout:
		return fault.New(fault.Overloaded, "VM %s has an older catalogue than other VMs of its data centre", d.vmState.Self)
	}
	return nil
}

// joinTimeout is how long a VM that has started waits for other VMs and their
// catalogue before it serves alone.
const joinTimeout = 10 * time.Second

// dataCentreRevision returns the highest revision in use in this data centre.
func (d *Daemon) dataCentreRevision() (revision uint64) {
	for _, m := range d.vmState.Members.View.Read().Usable() {
		if m.DataCentre == d.vmState.DataCentre {
			revision = max(revision, m.Revision)
		}
	}
	return revision
}
