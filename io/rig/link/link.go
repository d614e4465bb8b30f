// Package link is a fault-injecting TCP proxy for tests and experiments. It
// delays, throttles, silences, resets and refuses connections to one server. It
// is built on the toxiproxy library, whose fault filters are called toxics.
package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/sirupsen/logrus"

	"kingcuprill/core/fault"
)

// Direction is a direction of traffic through a link.
type Direction string

// Directions of a link.
const (
	ToServer Direction = "upstream"
	ToClient Direction = "downstream"
)

const silenceOpenToxic = "silence_open"

func init() {
	logrus.SetLevel(logrus.PanicLevel) // the library logs each connection
	toxics.Register(silenceOpenToxic, new(silenceOpen))
}

// Link is a running proxy to one server.
type Link struct {
	Address string // where clients connect
	proxy   *toxiproxy.Proxy
}

// New starts a link to a server on a free loopback port. It fails if it can't
// listen.
func New(server string) (l *Link, err error) {
	defer fault.Annotate(&err, "link to %s", server)
	proxy := toxiproxy.NewProxy()
	proxy.Name = server
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = server
	if err := proxy.Start(); err != nil {
		return nil, err
	}
	return &Link{Address: proxy.Listen, proxy: proxy}, nil
}

func (l *Link) add(name, kind string, direction Direction, attributes string) error {
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, direction, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	return err
}

// Delay adds a latency in each direction, in whole milliseconds. It can be set
// once; a second call fails.
func (l *Link) Delay(oneWay time.Duration) error {
	attributes := fmt.Sprintf(`{"latency":%d}`, oneWay.Milliseconds())
	if err := l.add("delay_to_server", "latency", ToServer, attributes); err != nil {
		return err
	}
	return l.add("delay_to_client", "latency", ToClient, attributes)
}

// Bandwidth limits the rate of each connection in each direction, in kilobytes
// per second. It can be set once; a second call fails.
func (l *Link) Bandwidth(kilobytesPerSecond int) error {
	attributes := fmt.Sprintf(`{"rate":%d}`, kilobytesPerSecond)
	if err := l.add("rate_to_server", "bandwidth", ToServer, attributes); err != nil {
		return err
	}
	return l.add("rate_to_client", "bandwidth", ToClient, attributes)
}

// Silence discards all data in one direction, on open and on new connections,
// without closing them.
func (l *Link) Silence(direction Direction) error {
	return l.add("silence_"+string(direction), "timeout", direction, `{"timeout":0}`)
}

// Cut silences both directions, like a network that drops all packets.
func (l *Link) Cut() error {
	if err := l.Silence(ToServer); err != nil {
		return err
	}
	return l.Silence(ToClient)
}

// SilenceOpen discards all data in both directions on the connections that are
// open now. New connections work.
func (l *Link) SilenceOpen() error {
	attributes := fmt.Sprintf(`{"added_unix_nanoseconds":%d}`, time.Now().UnixNano())
	if err := l.add("open_to_server", silenceOpenToxic, ToServer, attributes); err != nil {
		return err
	}
	return l.add("open_to_client", silenceOpenToxic, ToClient, attributes)
}

// Reset closes all open connections and accepts new ones at the same address.
// It fails if it can't listen again.
func (l *Link) Reset() error {
	address := l.Address
	l.proxy.Stop()
	l.proxy.Listen = address
	return l.proxy.Start()
}

// Down closes all open connections and refuses new ones until Reset.
func (l *Link) Down() {
	l.proxy.Stop()
}

// Heal ends Silence, Cut and SilenceOpen. Connections that were silenced are
// closed.
func (l *Link) Heal() {
	for _, name := range []string{"silence_upstream", "silence_downstream", "open_to_server", "open_to_client"} {
		if l.proxy.Toxics.GetToxic(name) != nil {
			_ = l.proxy.Toxics.RemoveToxic(name)
		}
	}
}

// Close closes all connections and stops listening.
func (l *Link) Close() {
	l.proxy.Stop()
}

// silenceOpen is a toxic that discards the data of the connections that were
// open when it was added.
type silenceOpen struct {
	AddedUnixNanoseconds int64 `json:"added_unix_nanoseconds"`
}

// openConnectionWindow tells open from new connections: the library starts an
// added toxic on open connections at once, within this time, and on new ones as
// they come.
const openConnectionWindow = 100 * time.Millisecond

// Pipe discards or forwards the data of one connection.
func (s *silenceOpen) Pipe(stub *toxics.ToxicStub) {
	discards := time.Since(time.Unix(0, s.AddedUnixNanoseconds)) < openConnectionWindow
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !discards {
				stub.Output <- chunk
			}
		}
	}
}

// Range of ports to choose from. It lies below the ephemeral ports: an outgoing
// connection could take one of those between its choice and its use.
const (
	firstPort = 10000
	lastPort  = 32000
)

// triedAddresses holds the addresses that FreeAddress has returned or tried.
var triedAddresses sync.Map

// FreeAddress returns a loopback address that no process listens on, a different
// one at each call. It fails if it finds none.
func FreeAddress() (address string, err error) {
	for range lastPort - firstPort {
		address = fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := triedAddresses.LoadOrStore(address, true); taken {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free loopback port found")
}
