package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/io/http1"
)

// dropInterval is the shortest time between two closures of the idle connections to one
// VM. Calls that fail together, as at an overloaded VM, would otherwise each close the
// connections that the others have just opened.
const dropInterval = 500 * time.Millisecond

// pools is an http.RoundTripper with a pool of connections for each VM. The zero value with
// dial set is ready for use, by several goroutines at once.
type pools struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	byPeer  sync.Map // address to *pool
	dropped atomic.Int64
}

// pool holds the connections to one VM.
type pool struct {
	http1.Transport
	dropped *atomic.Int64

	mu     sync.Mutex
	closed time.Time // when the idle connections were last closed; zero for never
}

// RoundTrip sends a request over a connection of the pool of its VM.
func (p *pools) RoundTrip(request *http.Request) (*http.Response, error) {
	return p.of(request.URL.Host).RoundTrip(request)
}

// CloseIdleConnections closes the idle connections to all VMs.
func (p *pools) CloseIdleConnections() {
	p.byPeer.Range(func(_, found any) bool {
		found.(*pool).Transport.CloseIdleConnections()
		return true
	})
}

// of returns the pool of the VM at an address.
func (p *pools) of(address string) *pool {
	if found, known := p.byPeer.Load(address); known {
		return found.(*pool)
	}
	actual, _ := p.byPeer.LoadOrStore(address, &pool{dropped: &p.dropped, Transport: http1.NewTransport(&http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHead,
		DisableCompression:     true, // catalogues are compressed already, all else is small
	})})
	return actual.(*pool)
}

// dropIdle closes the idle connections, unless it has done so within dropInterval.
func (p *pool) dropIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.closed) < dropInterval {
		return
	}
	p.closed = now
	p.dropped.Add(1)
	p.Transport.CloseIdleConnections()
}
