package daemon

import (
	"context"
	"time"

	"kingcuprill/core/raft"
)

const (
	waitForLastStep = 20 * time.Millisecond
	handOverTime    = 3 * time.Second
)

// drain stops as planned and cuts no request.
func (d *Daemon) drain() {
	d.log.Info("the VM stops: it is offered to nobody and finishes what runs", "running", d.register.Count())
	d.board.Draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Shutdown)
	defer cancel()
	d.gossiper.Leave(ctx)
	d.handOver(ctx)
	d.callers.CloseAfterAnswers()
	d.wait(ctx, d.settings.Timeouts.Drain)
	if err := d.callers.Stop(ctx); err != nil {
		d.log.Error("requests still ran at the end of timeouts.shutdown", "running", d.register.Count(), "error", err)
		return
	}
	for d.register.Count() > 0 && ctx.Err() == nil {
		d.wait(ctx, waitForLastStep)
	}
	d.log.Info("the VM has finished its last request", "running", d.register.Count())
}

func (d *Daemon) handOver(ctx context.Context) {
	if d.replica == nil || d.replica.Status().Role != raft.Leader {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	d.replica.TransferLeadership(bounded)
	d.log.Info("the lead of the control log is handed over", "leads_still", d.replica.Status().Role == raft.Leader)
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

// closeAll ends the servers at once and releases the data folder.
func (d *Daemon) closeAll() {
	for _, server := range d.servers {
		server.Close()
	}
	_ = d.tomb.Wait()
	if d.store != nil {
		d.store.Close()
	}
}
