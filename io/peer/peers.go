package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/io/settings"
	"kingcuprill/rpc/entry"
	"kingcuprill/rpc/vm"
)

const (
	maxIdlePerPeer = 16 // connections
	idleTimeout    = 30 * time.Second
	maxHead        = 256 << 10 // bytes, of an answer
	maxAnswer      = 64 << 20  // bytes, of a call; as large as a catalogue may be
)

// Peers calls other VMs by their peer addresses.
type Peers struct {
	Credentials Credentials
	VM          settings.VM
	Timeouts    settings.Timeouts
	Bytes       *Traffic
	// Network opens the connections to an address; nil stands for TCP.
	Network func(ctx context.Context, address string) (net.Conn, error)
	// Wrap returns a new connection with what counts its bytes on the link. It may be nil.
	Wrap    func(net.Conn) net.Conn
	http    *http.Client
	pools   *pools
	clients sync.Map // address to vm.VM
	entries sync.Map // address to entry.Entry
}

// Traffic counts the bytes sent to other VMs and received from them, on connections
// that this VM has opened.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// NewPeers returns a client for calls to other VMs that signs its requests.
func NewPeers(s settings.Settings) *Peers {
	p := &Peers{
		Credentials: Credentials{VM: s.VM.ID, Secret: s.Cluster.Secret},
		VM:          s.VM,
		Timeouts:    s.Timeouts,
		Bytes:       &Traffic{},
	}
	p.pools = &pools{dial: p.dial}
	p.http = &http.Client{Transport: signingTransport{credentials: p.Credentials, next: p.pools}}
	return p
}

// Timeouts of a new connection and of one call, for VMs whose settings have none.
// They allow for two round trips between regions.
const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultCallTimeout = time.Second
	slowestTransfer    = 1 << 20 // bytes in a second; what is slower counts as failed
)

// NewUnsigned returns a client for VMs that share no secret. Its signatures, made
// with an empty secret, prove nothing.
func NewUnsigned(id string, through ...settings.DialThrough) *Peers {
	return NewPeers(settings.Settings{
		VM:       settings.VM{ID: id, DialThrough: through},
		Timeouts: settings.Timeouts{Dial: defaultDialTimeout, Peer: defaultCallTimeout},
	})
}

func (p *Peers) dial(ctx context.Context, _, address string) (net.Conn, error) {
	open := p.Network
	if open == nil {
		open = p.dialTCP
	}
	conn, err := open(ctx, p.VM.Dial(address))
	if err != nil {
		return nil, err
	}
	if p.Wrap != nil {
		conn = p.Wrap(conn)
	}
	return countedConn{Conn: conn, traffic: p.Bytes}, nil
}

func (p *Peers) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: p.Timeouts.Dial, KeepAlive: 5 * time.Second}
	return dialer.DialContext(ctx, "tcp", address)
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// At returns the client of the VM service at a peer address.
func (p *Peers) At(address string) vm.VM {
	if client, found := p.clients.Load(address); found {
		return client.(vm.VM)
	}
	client := vm.NewVMProtobufClient("http://"+address, p.http)
	actual, _ := p.clients.LoadOrStore(address, client)
	return actual.(vm.VM)
}

// Entry returns the client of the entry service at an entry VM's peer address.
func (p *Peers) Entry(address string) entry.Entry {
	if client, found := p.entries.Load(address); found {
		return client.(entry.Entry)
	}
	client := entry.NewEntryProtobufClient("http://"+address, p.http)
	actual, _ := p.entries.LoadOrStore(address, client)
	return actual.(entry.Entry)
}

// Bounded returns a context with the timeout of one call.
func (p *Peers) Bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.Timeouts.Peer)
}

// BoundedBySize returns a context with the timeout of one call whose request has a size in
// bytes.
func (p *Peers) BoundedBySize(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.Timeouts.Peer+time.Duration(size)*time.Second/slowestTransfer)
}

// DropIdle closes the idle connections to one VM after a call to it has failed, so that
// the next call opens a new one. A connection whose state was lost by a device between the
// VMs still looks open. Connections to other VMs are kept, as a new one takes a round trip.
func (p *Peers) DropIdle(address string) {
	p.pools.of(address).dropIdle(time.Now())
}

// Dropped returns how often DropIdle has closed the idle connections to a VM.
func (p *Peers) Dropped() int64 {
	return p.pools.dropped.Load()
}

// HTTP returns the HTTP client that signs requests.
func (p *Peers) HTTP() *http.Client {
	return p.http
}
