package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"kingcuprill/core/place"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/entry"
)

const (
	// reserveTimeout bounds one question; the VMs of a region are close.
	reserveTimeout = 150 * time.Millisecond
	// restTime is how long a VM that has not answered isn't asked again.
	restTime = time.Second
	// reportDelay is how long reports to one VM are collected.
	reportDelay = 4 * time.Millisecond
	// reportTimeout bounds one call with reports.
	reportTimeout = 300 * time.Millisecond
)

// Client asks the coordinators of targets for places.
type Client struct {
	Peers *peer.Peers
	Log   *slog.Logger

	mu      sync.Mutex
	resting map[string]time.Time         // VMs that have not answered, by address
	reports map[string][]*entry.Progress // that wait to be sent, by address
}

// NewClient returns a client.
func NewClient(peers *peer.Peers, log *slog.Logger) *Client {
	return &Client{Peers: peers, Log: log, resting: map[string]time.Time{}, reports: map[string][]*entry.Progress{}}
}

// Answers tells whether a VM may be asked: it has answered lately or was not
// asked.
func (c *Client) Answers(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(c.resting[address])
}

// Reserve asks a coordinator for a place. Without a place it tells the reason.
func (c *Client) Reserve(ctx context.Context, address string, r place.Request) (stay *Stay, predicted time.Duration, reason place.Reason, err error) {
	bounded, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	answer, err := c.Peers.Entry(address).Reserve(bounded, fromRequest(r))
	if err != nil {
		c.rest(ctx, address, err)
		return nil, 0, "", err
	}
	predicted = time.Duration(answer.GetPredictedNanoseconds())
	if answer.GetReservation() == 0 {
		return nil, predicted, place.Reason(answer.GetReason()), nil
	}
	return &Stay{
		client: c, coordinator: address, reservation: answer.GetReservation(), target: answer.GetTarget(), address: answer.GetAddress(), source: answer.GetSource(),
	}, predicted, "", nil
}

func (c *Client) rest(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return // the caller has left
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting[address] = time.Now().Add(restTime)
	c.Log.Warn("coordinator does not answer; targets are chosen without it", "coordinator", address, "for", restTime, "error", err)
}

// report sends what has become of a reservation, together with what comes soon
// after it.
func (c *Client) report(address string, progress *entry.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, collecting := c.reports[address]
	c.reports[address] = append(waiting, progress)
	if !collecting {
		time.AfterFunc(reportDelay, func() { c.send(address) })
	}
}

func (c *Client) send(address string) {
	c.mu.Lock()
	progress := c.reports[address]
	delete(c.reports, address)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if _, err := c.Peers.Entry(address).Report(ctx, &entry.ReportRequest{Progress: progress}); err != nil {
		c.Log.Warn("reservations could not be reported; they end with their deadlines", "coordinator", address, "count", len(progress), "error", err)
	}
}
