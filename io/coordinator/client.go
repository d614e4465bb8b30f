package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"kingcuprill/core/backoff"
	"kingcuprill/core/place"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/entry"
)

const (
	// reserveTimeout bounds one Reserve call. It is short, as the VMs of a region
	// are close.
	reserveTimeout = 150 * time.Millisecond
	// backoffTime is how long a VM that has not answered isn't asked again.
	backoffTime = time.Second
	// reportDelay is how long reports to one VM are collected into one call.
	reportDelay = 4 * time.Millisecond
	// engineReportDelay is the same for reports on requests to engines, which last for a
	// second or more, where calls are saved.
	engineReportDelay = 60 * time.Millisecond
	// reportTimeout bounds one Report call.
	reportTimeout = 300 * time.Millisecond
)

// serviceAt is a service whose targets the VM at an address coordinates, and the requests
// for it that are refused alike.
type serviceAt struct {
	address, service string
	rank             int
	long             bool // requests with long answers
}

// shortestFull and longestFull bound how long a coordinator isn't asked for places of a
// service after it has answered that all are taken.
//
// Plain services have few targets, and so few coordinators. At twice their capacity the
// questions of a hundred VMs fill a coordinator's link, so that it can't answer those
// that it has places for. Engines have more coordinators, which are asked one after the
// other: where links are narrow, a region at its peak spends as much of them on refused
// questions as on the requests themselves.
const (
	shortestFull = 20 * time.Millisecond
	longestFull  = 160 * time.Millisecond
)

// Client reserves places at the targets that other VMs coordinate, and reports
// the progress of the requests that hold them. It is safe for concurrent use.
type Client struct {
	Peers *peer.Peers
	Log   *slog.Logger

	// OnLimits is called with the limits of targets that a coordinator has told. It may
	// be nil.
	OnLimits func(limits []place.TargetLimit)

	// SaveCalls is for VMs with narrow links: coordinators without a place for an
	// engine's request aren't asked again at once, and reports are collected for longer.
	SaveCalls bool

	full backoff.Tracker[serviceAt] // coordinators without a place

	mu           sync.Mutex
	backoffUntil map[string]time.Time       // when a VM that has not answered may be asked again, by address
	reports      map[string]*waitingReports // not sent yet, by address
}

// waitingReports are the reports that are sent to a VM with the next call.
type waitingReports struct {
	progress []*entry.Progress
	since    []time.Time // of each report
	timer    *time.Timer
	due      time.Time
}

// NewClient returns a client that has called no VM yet.
func NewClient(peers *peer.Peers, log *slog.Logger) *Client {
	return &Client{
		Peers: peers, Log: log, full: backoff.Tracker[serviceAt]{Shortest: shortestFull, Longest: longestFull},
		backoffUntil: map[string]time.Time{}, reports: map[string]*waitingReports{},
	}
}

// Available reports whether a VM may be asked: no Reserve call to it has failed
// within backoffTime.
func (c *Client) Available(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(c.backoffUntil[address])
}

// Reserve asks a coordinator for a place at the request's preferred target. The
// reservation is nil if the coordinator gives none; reason then says why. An error
// means that the call to the coordinator failed. Unless ctx has ended, Available then
// returns false for backoffTime.
func (c *Client) Reserve(ctx context.Context, address string, r place.Request) (reservation *Reservation, predicted time.Duration, reason place.Reason, err error) {
	plain := r.Memory == 0
	// The coordinator of the first choice must hear of each request: it recognises those that
	// return after a refusal.
	backsOff := plain || c.SaveCalls && r.Home != r.Preferred
	coordinated := serviceAt{address: address, service: r.Service, rank: r.Rank, long: r.IsLong()}
	if backsOff && c.full.InBackoff(coordinated, r.Now) {
		return nil, 0, place.Full, nil
	}
	bounded, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	answer, err := c.Peers.Entry(address).Reserve(bounded, fromRequest(r))
	if err != nil {
		c.backOff(ctx, address, err)
		return nil, 0, "", err
	}
	predicted = time.Duration(answer.GetPredictedNanoseconds())
	if limits := toLimits(answer.GetLimits()); len(limits) > 0 && c.OnLimits != nil {
		c.OnLimits(limits)
	}
	if answer.GetReservation() == 0 {
		if refused := place.Reason(answer.GetReason()); (plain || c.SaveCalls) && refused.LacksCapacity() && !(plain && refused == place.Slow) {
			c.full.Refused(coordinated, time.Now())
		}
		return nil, predicted, place.Reason(answer.GetReason()), nil
	}
	c.full.Succeeded(coordinated)
	return &Reservation{
		client: c, coordinator: address, id: answer.GetReservation(), target: answer.GetTarget(), address: answer.GetAddress(), source: answer.GetSource(), version: answer.GetVersion(), engine: !plain,
	}, predicted, "", nil
}

func (c *Client) backOff(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return // the caller has left
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[address] = time.Now().Add(backoffTime)
	c.Log.Warn("coordinator does not answer; targets are chosen without it", "coordinator", address, "for", backoffTime, "error", err)
}

// report sends the progress of a reservation after a delay, in one call with all other
// reports to the same VM until then.
func (c *Client) report(address string, progress *entry.Progress, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	due := now.Add(delay)
	waiting, collecting := c.reports[address]
	if !collecting {
		waiting = &waitingReports{due: due}
		waiting.timer = time.AfterFunc(delay, func() { c.sendReports(address) })
		c.reports[address] = waiting
	}
	waiting.progress = append(waiting.progress, progress)
	waiting.since = append(waiting.since, now)
	if due.Before(waiting.due) {
		waiting.due = due
		waiting.timer.Reset(delay)
	}
}

func (c *Client) sendReports(address string) {
	c.mu.Lock()
	waiting := c.reports[address]
	delete(c.reports, address)
	c.mu.Unlock()
	if waiting == nil {
		return
	}
	if c.SaveCalls {
		now := time.Now()
		for i, progress := range waiting.progress {
			progress.AgeNanoseconds = int64(now.Sub(waiting.since[i]))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if _, err := c.Peers.Entry(address).Report(ctx, &entry.ReportRequest{Progress: waiting.progress}); err != nil {
		c.Log.Warn("progress of reservations could not be reported; the coordinator ends them after their deadlines", "coordinator", address, "count", len(waiting.progress), "error", err)
	}
}
