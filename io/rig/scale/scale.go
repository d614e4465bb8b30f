// Package scale measures the control-plane cost of a daemon without load at
// several fleet sizes: network traffic, processor time, memory, and the time
// until a change is in force everywhere. Capacity estimates extrapolate from
// these figures.
package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/io/rig/cluster"
	"kingcuprill/io/rig/experiment"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/state"
)

const (
	settleDelay     = 15 * time.Second // until gossip about the start has ended
	observationTime = 10 * time.Second
	changeCount     = 10
	changeInterval  = time.Second
	ticksPerSecond  = 100 // unit of the process times in /proc
	pageSize        = 4096
	settleTimeout   = 2 * time.Minute
	pollEvery       = 10 * time.Millisecond
)

// Row holds the measurements of one fleet size.
type Row struct {
	VMs            int
	BytesPerSecond float64 // sent and received by one daemon, as the caller and as the called side
	CPUPercent     float64 // of one core
	ResidentMB     float64
	InForceP50     time.Duration // from a change until every VM has applied it
	InForceMax     time.Duration
	CommitP50      time.Duration // from a change until it is committed
}

// Run measures fleets of several sizes, in VMs, one after the other with the
// daemon program at a path, and prints a Markdown table.
func Run(ctx context.Context, daemonPath string, sizes []int, out io.Writer) error {
	fmt.Fprintln(out, "| VMs | bytes/s of a daemon | % of a core | MB resident | commit p50 | in force on all p50 | in force on all max |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range sizes {
		row, err := measure(ctx, daemonPath, size)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %.0f | %.2f | %.1f | %v | %v | %v |\n", row.VMs, row.BytesPerSecond, row.CPUPercent, row.ResidentMB,
			row.CommitP50.Round(time.Millisecond), row.InForceP50.Round(time.Millisecond), row.InForceMax.Round(time.Millisecond))
	}
	return nil
}

func measure(ctx context.Context, daemonPath string, size int) (row Row, err error) {
	defer fault.Annotate(&err, "%d VMs", size)
	folder, err := os.MkdirTemp("", "kingcuprill-scale-")
	if err != nil {
		return row, err
	}
	defer os.RemoveAll(folder)
	c, err := cluster.New(cluster.Options{
		Folder: folder, Daemon: daemonPath, Regions: regionNames(size), VMs: size / len(regionNames(size)), ControlVMs: 3,
		Settings: cluster.Overrides{LogLevel: "error", Drain: time.Millisecond},
	})
	if err != nil {
		return row, err
	}
	defer c.Close()
	if err := c.Start(ctx); err != nil {
		return row, err
	}
	if err := waitSettled(ctx, c); err != nil {
		return row, err
	}
	return observe(ctx, c)
}

// regionNames returns the names of the regions of a fleet, each with one data
// centre: one region for every 24 VMs, and at least 3. The system is designed for
// data centres of 24 VMs.
func regionNames(size int) (names []string) {
	for i := range max(3, size/24) {
		names = append(names, fmt.Sprint("region-", i))
	}
	return names
}

// waitSettled waits until all VMs have an active limit share.
func waitSettled(ctx context.Context, c *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := c.Operator(c.VMs[0]).Status(ctx, &operator.StatusRequest{})
		active := 0
		for _, v := range status.GetVms() {
			if v.GetShareState() == "active" {
				active++
			}
		}
		if err == nil && active == len(c.VMs) {
			return nil
		}
		time.Sleep(time.Second)
	}
	return ctx.Err()
}

func observe(ctx context.Context, c *cluster.Cluster) (row Row, err error) {
	row.VMs = len(c.VMs)
	time.Sleep(settleDelay)
	bytesBefore, cpuBefore := peerBytes(c), cpuTime(c)
	time.Sleep(observationTime)
	daemons := float64(len(c.VMs))
	// Only the calling daemon counts the bytes of a call, but two daemons carry them.
	row.BytesPerSecond = 2 * float64(peerBytes(c)-bytesBefore) / observationTime.Seconds() / daemons
	row.CPUPercent = 100 * (cpuTime(c) - cpuBefore).Seconds() / observationTime.Seconds() / daemons
	row.ResidentMB = residentBytes(c) / daemons / 1e6
	commits, inForce := []time.Duration{}, []time.Duration{}
	for i := range changeCount {
		committed, inForceOnAll, err := change(ctx, c, i)
		if err != nil {
			return row, err
		}
		commits, inForce = append(commits, committed), append(inForce, inForceOnAll)
		time.Sleep(changeInterval)
	}
	row.CommitP50, _ = medianAndMax(commits)
	row.InForceP50, row.InForceMax = medianAndMax(inForce)
	return row, nil
}

func medianAndMax(values []time.Duration) (median, largest time.Duration) {
	sorted := append([]time.Duration(nil), values...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// change commits one change and waits until every VM has applied it. Both
// durations count from the request.
func change(ctx context.Context, c *cluster.Cluster, number int) (committed, inForceOnAll time.Duration, err error) {
	started := time.Now()
	answer, err := c.Operator(c.VMs[0]).Mutate(ctx, &operator.MutateRequest{
		RequestId: fmt.Sprint("scale-", number), AnyRevision: true,
		Change: &state.Change{Kind: &state.Change_PutOrganisation{PutOrganisation: &state.Organisation{
			Name: fmt.Sprint("organisation-", number), RatePerSecond: 1, Burst: 1, Weight: 1,
		}}},
	})
	if err != nil {
		return 0, 0, err
	}
	committed = time.Since(started)
	for _, v := range c.VMs {
		for {
			metrics, err := experiment.FetchMetrics(v.Operator, c.Token)
			if err == nil && uint64(metrics["revision"].Value) >= answer.GetRevision() {
				break
			}
			if ctx.Err() != nil {
				return 0, 0, ctx.Err()
			}
			time.Sleep(pollEvery)
		}
	}
	return committed, time.Since(started), nil
}

// peerBytes sums the bytes that the daemons have exchanged with each other.
func peerBytes(c *cluster.Cluster) (sum int64) {
	for _, v := range c.VMs {
		if metrics, err := experiment.FetchMetrics(v.Operator, c.Token); err == nil {
			sum += int64(metrics["peer_bytes_sent"].Value + metrics["peer_bytes_received"].Value)
		}
	}
	return sum
}

// cpuTime sums the user and system time of the daemons.
func cpuTime(c *cluster.Cluster) (sum time.Duration) {
	for _, v := range c.VMs {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.PID()))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		sum += time.Duration(user+system) * time.Second / ticksPerSecond
	}
	return sum
}

// residentBytes sums the resident memory of the daemons, in bytes.
func residentBytes(c *cluster.Cluster) (sum float64) {
	for _, v := range c.VMs {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.PID()))
		if err != nil {
			continue
		}
		pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
		sum += float64(pages) * pageSize
	}
	return sum
}
