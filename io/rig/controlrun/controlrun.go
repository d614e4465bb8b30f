// Package controlrun is a benchmark of the replicated control log on daemon
// processes, one control VM in each of three regions. It measures commit latency
// and throughput, the time without a leader after the leader is killed, and the
// time of a restart and the size of the data folder after many changes.
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
	linkDelay         = 55 * time.Millisecond // one way
	sequentialChanges = 100
	concurrentCallers = 32
	changesPerCaller  = 20
	leaderKills       = 3
	maxMicroseconds   = 120_000_000
	significantDigits = 3
	callTimeout       = 10 * time.Second
	settleDelay       = 3 * time.Second
	retryInterval     = 20 * time.Millisecond
	restartCallers    = 64
)

// run is a deployment that is measured.
type run struct {
	cluster *cluster.Cluster
	out     io.Writer
	mu      sync.Mutex
	number  int
}

// Run carries out all measurements with the daemon program at a path and prints
// each result as a line of text.
func Run(ctx context.Context, daemonPath string, out io.Writer) (err error) {
	defer fault.Annotate(&err, "control log")
	if err := measureDeployment(ctx, daemonPath, linkDelay, out, (*run).measureLatency); err != nil {
		return err
	}
	return measureDeployment(ctx, daemonPath, 0, out, (*run).measureRestarts)
}

// measureDeployment starts a deployment with a link delay, calls measure and
// ends it.
func measureDeployment(ctx context.Context, daemonPath string, delay time.Duration, out io.Writer, measure func(*run, context.Context) error) error {
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
	time.Sleep(settleDelay)
	return measure(&run{cluster: c, out: out}, ctx)
}

// change commits one change through a VM.
func (r *run) change(ctx context.Context, v *cluster.VM) error {
	r.mu.Lock()
	r.number++
	number := r.number
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.cluster.Operator(v).Mutate(ctx, &operator.MutateRequest{
		RequestId: fmt.Sprint("measure-", number), AnyRevision: true,
		Change: &state.Change{Kind: &state.Change_PutOrganisation{PutOrganisation: &state.Organisation{
			Name: fmt.Sprint("organisation-", number%500), RatePerSecond: float64(number), Burst: 1, Weight: 1,
		}}},
	})
	return err
}

// leader asks the running VMs until one knows the leader. It returns nil if the
// context ends first.
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

// measureLatency measures commits through the leader and through a follower,
// then throughput and failover.
func (r *run) measureLatency(ctx context.Context) error {
	leader := r.leader(ctx)
	var follower *cluster.VM
	for _, v := range r.cluster.VMs {
		if v != leader {
			follower = v
		}
	}
	for _, origin := range []struct {
		name string
		v    *cluster.VM
	}{{"at the leader", leader}, {"from another region", follower}} {
		took, err := r.measureCommits(ctx, origin.v, sequentialChanges)
		if err != nil {
			return err
		}
		fmt.Fprintf(r.out, "commit %s, links 55 ms: p50 %v, p99 %v\n", origin.name, quantile(took, 50), quantile(took, 99))
	}
	if err := r.measureThroughput(ctx, leader); err != nil {
		return err
	}
	return r.measureFailover(ctx)
}

// measureCommits commits changes one after the other and returns their
// durations in microseconds.
func (r *run) measureCommits(ctx context.Context, v *cluster.VM, count int) (took *hdrhistogram.Histogram, err error) {
	took = hdrhistogram.New(1, maxMicroseconds, significantDigits)
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

// measureThroughput measures the rate of changes from concurrent callers.
func (r *run) measureThroughput(ctx context.Context, v *cluster.VM) error {
	started := time.Now()
	var group sync.WaitGroup
	errs := make(chan error, concurrentCallers)
	for range concurrentCallers {
		group.Go(func() {
			for range changesPerCaller {
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
	fmt.Fprintf(r.out, "%d callers at once: %.0f changes a second\n", concurrentCallers, concurrentCallers*changesPerCaller/time.Since(started).Seconds())
	return nil
}

// measureFailover kills the leader several times and measures the time until
// the next change is committed.
func (r *run) measureFailover(ctx context.Context) error {
	for range leaderKills {
		leader := r.leader(ctx)
		r.cluster.Kill(leader)
		started := time.Now()
		for _, v := range r.cluster.VMs {
			if v == leader {
				continue
			}
			for r.change(ctx, v) != nil {
				time.Sleep(retryInterval)
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

// measureRestarts measures the restart time of one VM and the size of its data
// folder after several numbers of changes.
func (r *run) measureRestarts(ctx context.Context) error {
	for _, total := range []int{10, 1000, 10000} {
		if err := r.commitUntil(ctx, total); err != nil {
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

// commitUntil commits changes concurrently until total changes have been sent
// since the start of the run.
func (r *run) commitUntil(ctx context.Context, total int) error {
	var group sync.WaitGroup
	errs := make(chan error, restartCallers)
	leader := r.leader(ctx)
	for range restartCallers {
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
