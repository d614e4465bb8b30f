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
	idlePerPeer = 16 // connections
	idleTime    = 30 * time.Second
)

// Peers calls other VMs by their peer addresses.
type Peers struct {
	Credentials Credentials
	VM          settings.VM
	Timeouts    settings.Timeouts
	Bytes       *Traffic
	http        *http.Client
	clients     sync.Map // address to vm.VM
	entries     sync.Map // address to entry.Entry
}

// Traffic counts bytes between this VM and others, both ways.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// NewPeers returns the client side of the calls between VMs.
func NewPeers(s settings.Settings) *Peers {
	p := &Peers{
		Credentials: Credentials{VM: s.VM.ID, Secret: s.Cluster.Secret},
		VM:          s.VM,
		Timeouts:    s.Timeouts,
		Bytes:       &Traffic{},
	}
	transport := &http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTime,
	}
	p.http = &http.Client{Transport: signing{credentials: p.Credentials, next: transport}}
	return p
}

// Timeouts of VMs whose settings name none: of a new connection, and of one
// call. They cover two round trips between regions.
const (
	usualDial = 500 * time.Millisecond
	usualCall = time.Second
)

// NewUnsigned returns the client side for VMs that share no secret.
func NewUnsigned(id string, through ...settings.DialThrough) *Peers {
	return NewPeers(settings.Settings{
		VM:       settings.VM{ID: id, DialThrough: through},
		Timeouts: settings.Timeouts{Dial: usualDial, Peer: usualCall},
	})
}

func (p *Peers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: p.Timeouts.Dial, KeepAlive: 5 * time.Second}
	conn, err := dialer.DialContext(ctx, network, p.VM.Dial(address))
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, traffic: p.Bytes}, nil
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

// At returns the client for a peer address.
func (p *Peers) At(address string) vm.VM {
	if client, found := p.clients.Load(address); found {
		return client.(vm.VM)
	}
	client := vm.NewVMProtobufClient("http://"+address, p.http)
	actual, _ := p.clients.LoadOrStore(address, client)
	return actual.(vm.VM)
}

// Entry returns the client for an entry VM's peer address.
func (p *Peers) Entry(address string) entry.Entry {
	if client, found := p.entries.Load(address); found {
		return client.(entry.Entry)
	}
	client := entry.NewEntryProtobufClient("http://"+address, p.http)
	actual, _ := p.entries.LoadOrStore(address, client)
	return actual.(entry.Entry)
}

// Bounded returns a context that ends after the time for one call.
func (p *Peers) Bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.Timeouts.Peer)
}

// DropIdle closes idle connections, so that the next call dials afresh. A
// connection that something between the VMs has lost track of looks open.
func (p *Peers) DropIdle() {
	p.http.CloseIdleConnections()
}

// HTTP returns the client that signs requests.
func (p *Peers) HTTP() *http.Client {
	return p.http
}
