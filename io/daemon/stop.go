package daemon

import (
	"context"
	"time"

	"kingcuprill/core/drain"
	"kingcuprill/core/raft"
)

const (
	drainPollInterval = 20 * time.Millisecond
	handOverTimeout   = 3 * time.Second
)

// drain carries out a planned stop without breaking requests off, as long as they
// end within timeouts.shutdown: it tells the other VMs, hands over the leadership of
// the control log, accepts requests for timeouts.drain and waits for the rest. Requests
// that still run shortly before the end get an error.
func (d *Daemon) drain() {
	d.log.Info("VM stops; it takes no requests after timeouts.drain and finishes those that run", "running", d.inFlight.Count())
	d.vmState.Draining.Store(true)
	stop := drain.Stop{Begun: time.Now(), Accept: d.settings.Timeouts.Drain, Grace: d.settings.Timeouts.Shutdown}
	d.vmState.Stop.Begin(stop)
	ender := time.AfterFunc(time.Until(stop.AnswerBy()), func() { d.inFlight.EndAll(drain.ErrEnded) })
	defer ender.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), stop.CloseAt())
	defer cancel()
	d.callers.CloseAfterAnswers()
	d.gossiper.Leave(ctx)
	d.handOver(ctx)
	d.wait(ctx, time.Until(stop.AcceptUntil()))
	if err := d.callers.Stop(ctx); err != nil {
		d.log.Error("planned stop has run out of time (timeouts.shutdown); the requests that still run are cut off", "running", d.inFlight.Count(), "error", err)
		return
	}
	for d.inFlight.Count() > 0 && ctx.Err() == nil {
		d.wait(ctx, drainPollInterval)
	}
	d.log.Info("VM has stopped serving", "running", d.inFlight.Count())
}

func (d *Daemon) handOver(ctx context.Context) {
	if d.replica == nil || d.replica.Status().Role != raft.Leader {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	d.replica.TransferLeadership(bounded)
	d.log.Info("hand-over of the control log's leadership has ended", "leads_still", d.replica.Status().Role == raft.Leader)
}

func (d *Daemon) wait(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-d.tomb.Dying():
	}
}

// closeAll closes the servers and their connections, waits for the components to
// end and releases the data folder.
func (d *Daemon) closeAll() {
	for _, server := range d.servers {
		server.Close()
	}
	_ = d.tomb.Wait()
	if d.store != nil {
		d.store.Close()
	}
}
