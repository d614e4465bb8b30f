// Package controlrun measures the control log on real processes: time to
// commit, changes a second, time without a leader, restart after many changes.
package controlrun

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcuprill/core/fault"
	"kingcuprill/io/rig/cluster"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/state"
)

const (
	linkDelay     = 55 * time.Millisecond
	oneByOne      = 100
	atOnce        = 32
	atOnceEach    = 20
	kills         = 3
	highest       = 120_000_000 // microseconds
	digits        = 3
	callBound     = 10 * time.Second
	settleTime    = 3 * time.Second
	betweenTries  = 20 * time.Millisecond
	restartAtOnce = 64
)

// run is one measured deployment.
type run struct {
	cluster *cluster.Cluster
	out     io.Writer
	mu      sync.Mutex
	number  int
}

// Run measures and prints.
func Run(ctx context.Context, daemonPath string, out io.Writer) (err error) {
	defer fault.Annotate(&err, "control log")
	if err := deploy(ctx, daemonPath, linkDelay, out, (*run).latency); err != nil {
		return err
	}
	return deploy(ctx, daemonPath, 0, out, (*run).restarts)
}

func deploy(ctx context.Context, daemonPath string, delay time.Duration, out io.Writer, measure func(*run, context.Context) error) error {
	folder, err := os.MkdirTemp("", "kingcuprill-control-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	c, err := cluster.New(cluster.Options{
		Folder: folder, Daemon: daemonPath, Regions: []string{"kolkata", "siliguri", "durgapur"}, VMs: 1, ControlVMs: 3, LinkDelay: delay,
		Settings: cluster.Overrides{LogLevel: "error", Drain: time.Millisecond},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Start(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return measure(&run{cluster: c, out: out}, ctx)
}

// change commits one change at a VM.
func (r *run) change(ctx context.Context, v *cluster.VM) error {
	r.mu.Lock()
	r.number++
	number := r.number
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	_, err := r.cluster.Operator(v).Mutate(ctx, &operator.MutateRequest{
		RequestId: fmt.Sprint("measure-", number), AnyRevision: true,
		Change: &state.Change{Kind: &state.Change_PutOrganisation{PutOrganisation: &state.Organisation{
			Name: fmt.Sprint("organisation-", number%500), RatePerSecond: float64(number), Burst: 1, Weight: 1,
		}}},
	})
	return err
}

func (r *run) leader(ctx context.Context) *cluster.VM {
	for ctx.Err() == nil {
		for _, v := range r.cluster.VMs {
			if !v.Running() {
				continue
			}
			status, err := r.cluster.Operator(v).Status(ctx, &operator.StatusRequest{})
			if err == nil && status.GetLeader() != "" {
				return r.cluster.VM(status.GetLeader())
			}
		}
	}
	return nil
}

func (r *run) latency(ctx context.Context) error {
	leader := r.leader(ctx)
	var other *cluster.VM
	for _, v := range r.cluster.VMs {
		if v != leader {
			other = v
		}
	}
	for _, place := range []struct {
		name string
		v    *cluster.VM
	}{{"at the leader", leader}, {"from another region", other}} {
		took, err := r.timed(ctx, place.v, oneByOne)
		if err != nil {
			return err
		}
		fmt.Fprintf(r.out, "commit %s, links 55 ms: p50 %v, p99 %v\n", place.name, quantile(took, 50), quantile(took, 99))
	}
	if err := r.throughput(ctx, leader); err != nil {
		return err
	}
	return r.killLeaders(ctx)
}

func (r *run) timed(ctx context.Context, v *cluster.VM, count int) (took *hdrhistogram.Histogram, err error) {
	took = hdrhistogram.New(1, highest, digits)
	for range count {
		started := time.Now()
		if err := r.change(ctx, v); err != nil {
			return nil, err
		}
		_ = took.RecordValue(time.Since(started).Microseconds())
	}
	return took, nil
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond)
}

func (r *run) throughput(ctx context.Context, v *cluster.VM) error {
	started := time.Now()
	var group sync.WaitGroup
	errs := make(chan error, atOnce)
	for range atOnce {
		group.Go(func() {
			for range atOnceEach {
				if err := r.change(ctx, v); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	group.Wait()
	close(errs)
	if err := <-errs; err != nil {
		return err
	}
	fmt.Fprintf(r.out, "%d callers at once: %.0f changes a second\n", atOnce, atOnce*atOnceEach/time.Since(started).Seconds())
	return nil
}

// killLeaders kills the leader several times and measures until the next
// change is committed.
func (r *run) killLeaders(ctx context.Context) error {
	for range kills {
		leader := r.leader(ctx)
		r.cluster.Kill(leader)
		started := time.Now()
		for _, v := range r.cluster.VMs {
			if v == leader {
				continue
			}
			for r.change(ctx, v) != nil {
				time.Sleep(betweenTries)
			}
			break
		}
		fmt.Fprintf(r.out, "leader killed: next change committed after %v\n", time.Since(started).Round(time.Millisecond))
		if err := r.cluster.StartVM(leader); err != nil {
			return err
		}
		if err := r.cluster.WaitReady(ctx, leader); err != nil {
			return err
		}
	}
	return nil
}

// restarts measures the restart of one VM and its folder after many changes.
func (r *run) restarts(ctx context.Context) error {
	for _, total := range []int{10, 1000, 10000} {
		if err := r.reach(ctx, total); err != nil {
			return err
		}
		v := r.cluster.VMs[0]
		size, err := folderSize(r.cluster.DataDir(v))
		if err != nil {
			return err
		}
		r.cluster.Kill(v)
		started := time.Now()
		if err := r.cluster.StartVM(v); err != nil {
			return err
		}
		if err := r.cluster.WaitReady(ctx, v); err != nil {
			return err
		}
		fmt.Fprintf(r.out, "after %d changes: data folder %d KB, ready %v after a restart\n", total, size>>10, time.Since(started).Round(time.Millisecond))
	}
	return nil
}

// reach commits changes until there have been total.
func (r *run) reach(ctx context.Context, total int) error {
	var group sync.WaitGroup
	errs := make(chan error, restartAtOnce)
	leader := r.leader(ctx)
	for range restartAtOnce {
		group.Go(func() {
			for {
				r.mu.Lock()
				done := r.number >= total
				r.mu.Unlock()
				if done {
					return
				}
				if err := r.change(ctx, leader); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	group.Wait()
	close(errs)
	return <-errs
}

func folderSize(folder string) (size int64, err error) {
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return 0, err
	}
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return 0, err
		}
		size += info.Size()
	}
	return size, nil
}
