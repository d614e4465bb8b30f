package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"kingcuprill/core/access"
	"kingcuprill/core/fault"
	"kingcuprill/io/rig/client"
	"kingcuprill/io/rig/cluster"
	"kingcuprill/io/rig/fakeengine"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/state"
)

const (
	model         = "lantern"
	announceEvery = 500 * time.Millisecond
	loadLag       = time.Second
	accrualDelay  = 4 * time.Second // until the limit shares accrue tokens
	maxTokens     = 256
	deadline      = 30 * time.Second
)

// run is one experiment in progress.
type run struct {
	settings Settings
	cluster  *cluster.Cluster
	engines  map[string][]*fakeengine.Engine // by region
	started  time.Time
	mu       sync.Mutex
	samples  []sample
}

// Run carries out one experiment with the daemon program at a path. It ends all
// processes and deletes all files before it returns.
func Run(ctx context.Context, daemonPath string, s Settings) (result Result, err error) {
	defer fault.Annotate(&err, "experiment %s", s.Name)
	folder, err := os.MkdirTemp("", "kingcuprill-experiment-")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(folder)
	r := &run{settings: s, engines: map[string][]*fakeengine.Engine{}}
	defer r.close()
	if err := r.start(ctx, folder, daemonPath); err != nil {
		return result, err
	}
	if err := r.configure(ctx); err != nil {
		return result, err
	}
	before := r.counters()
	r.started = time.Now()
	var group sync.WaitGroup
	group.Go(func() { r.injectFault(ctx) })
	r.startLoad(ctx, &group)
	group.Wait()
	return r.result(before), nil
}

func (r *run) close() {
	for _, engines := range r.engines {
		for _, e := range engines {
			e.Stop()
		}
	}
	if r.cluster != nil {
		r.cluster.Close()
	}
}

func (r *run) start(ctx context.Context, folder, daemonPath string) (err error) {
	s := r.settings
	r.cluster, err = cluster.New(cluster.Options{
		Folder: folder, Daemon: daemonPath, Regions: s.Regions, VMs: s.VMs, ControlVMs: min(3, len(s.Regions)), LinkDelay: s.LinkDelay, Links: true,
		PolicyName: s.Policy, AwayPenalty: s.AwayPenalty, NoLoans: s.NoLoans,
		Settings: cluster.Overrides{
			Drain: 500 * time.Millisecond, LogLevel: "warn", QueueWait: 2 * time.Second,
			ServiceTime: 40 * s.PerToken, RampTime: time.Millisecond,
		},
	})
	if err != nil {
		return err
	}
	if err := r.cluster.Start(ctx); err != nil {
		return err
	}
	for _, region := range s.Regions {
		for i := range s.Engines {
			e, err := fakeengine.Start(fakeengine.Options{
				ID: fmt.Sprintf("e-%s-%d", region, i), Service: "planner", Region: region, DataCentre: region + "-a",
				Models: []string{model}, Capacity: s.Capacity, PerToken: s.PerToken, PerColdByte: s.PerColdByte,
				CacheBytes: s.CacheBytes, VMs: r.cluster.TargetAddresses(region), AnnounceEvery: announceEvery, LoadLag: loadLag,
			})
			if err != nil {
				return err
			}
			r.engines[region] = append(r.engines[region], e)
		}
	}
	return nil
}

func (r *run) mutate(ctx context.Context, id string, change *state.Change) error {
	_, err := r.cluster.Operator(r.cluster.VMs[0]).Mutate(ctx, &operator.MutateRequest{RequestId: id, AnyRevision: true, Change: change})
	return err
}

// configure writes organisations, a route and keys, and waits until the VMs'
// shares of the rate limits are settled and accrue tokens.
func (r *run) configure(ctx context.Context) error {
	route := &state.Route{Name: "plans", Kind: "model", Service: "planner", Models: []string{model}, Repeatable: true, DeadlineNanoseconds: int64(deadline)}
	if err := r.mutate(ctx, "route", &state.Change{Kind: &state.Change_PutRoute{PutRoute: route}}); err != nil {
		return err
	}
	for _, o := range r.settings.Organisations {
		row := &state.Organisation{Name: o.Name, RatePerSecond: o.RatePerSecond, Burst: o.Burst, Weight: 1}
		if err := r.mutate(ctx, "organisation-"+o.Name, &state.Change{Kind: &state.Change_PutOrganisation{PutOrganisation: row}}); err != nil {
			return err
		}
		key := &state.Key{Id: o.Name, Organisation: o.Name, SecretHash: access.HashSecret(keySecret(o))}
		if err := r.mutate(ctx, "key-"+o.Name, &state.Change{Kind: &state.Change_GrantKey{GrantKey: key}}); err != nil {
			return err
		}
	}
	return r.waitSettled(ctx)
}

func keySecret(o Organisation) string {
	return "experiment-key-of-" + o.Name
}

// waitSettled waits until every VM has the latest revision and an active share,
// then until the shares accrue and the buckets are full.
func (r *run) waitSettled(ctx context.Context) error {
	for ctx.Err() == nil {
		status, err := r.cluster.Operator(r.cluster.VMs[0]).Status(ctx, &operator.StatusRequest{})
		active := 0
		for _, v := range status.GetVms() {
			if v.GetShareState() == "active" && v.GetRevision() == status.GetRevision() {
				active++
			}
		}
		if err == nil && active == len(r.cluster.VMs) {
			time.Sleep(accrualDelay)
			r.waitBucketsFull(ctx)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// waitBucketsFull waits for the time in which the slowest organisation's bucket
// fills, so that the buckets are nearly full.
func (r *run) waitBucketsFull(ctx context.Context) {
	longest := 0.0
	for _, o := range r.settings.Organisations {
		longest = max(longest, o.Burst/o.RatePerSecond)
	}
	select {
	case <-time.After(time.Duration(longest * float64(time.Second))):
	case <-ctx.Done():
	}
}

// injectFault waits for the time of the fault, causes it, and ends it if it has
// an end.
func (r *run) injectFault(ctx context.Context) {
	f := r.settings.Fault
	if f.Kind == "" {
		return
	}
	sleep(ctx, f.At)
	switch f.Kind {
	case "cut":
		_ = r.cluster.CutRegion(f.Region)
		sleep(ctx, f.Until-f.At)
		_ = r.cluster.HealRegion(f.Region)
	case "half_targets":
		engines := r.engines[f.Region]
		for _, e := range engines[:len(engines)/2] {
			e.Crash()
		}
	case "kill_vm":
		v := r.cluster.VM(f.Region + "-2")
		r.cluster.Kill(v)
		sleep(ctx, f.Until-f.At)
		_ = r.cluster.StartVM(v)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// counters are sums over all daemons and engines since their start.
type counters struct {
	Away      int64 // requests sent to targets of other regions
	PeerBytes int64
	Busy      time.Duration // time in engine slots
}

type metricJSON struct {
	Count int64   `json:"count"`
	Value float64 `json:"value"`
}

func (r *run) counters() (sum counters) {
	for _, v := range r.cluster.VMs {
		metrics, err := FetchMetrics(v.Operator, r.cluster.Token)
		if err != nil {
			continue
		}
		sum.Away += metrics["away"].Count
		sum.PeerBytes += int64(metrics["peer_bytes_sent"].Value + metrics["peer_bytes_received"].Value)
	}
	for _, engines := range r.engines {
		for _, e := range engines {
			sum.Busy += time.Duration(e.Busy.Load())
		}
	}
	return sum
}

// FetchMetrics reads the metrics of a daemon from its operator address, with the
// operator token.
func FetchMetrics(address, token string) (metrics map[string]metricJSON, err error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&metrics)
	return metrics, err
}

// clients returns a client for each organisation, by name.
func (r *run) clients() map[string]*client.Client {
	all := map[string]*client.Client{}
	for _, o := range r.settings.Organisations {
		all[o.Name] = client.New(keySecret(o))
	}
	return all
}

// addresses asks the first VM of a region that answers for the entry VMs to use,
// the first choice first.
func (r *run) addresses(ctx context.Context, c *client.Client, region string) (addresses []string) {
	for _, v := range r.cluster.VMs {
		if v.Region != region {
			continue
		}
		list, err := c.VMs(ctx, v.Caller)
		if err != nil {
			continue
		}
		for _, found := range list {
			addresses = append(addresses, found.Address)
		}
		return addresses
	}
	return nil
}

var shortPrompt = "in stock? tokens=8"

// prompt returns the text of a prompt. Long prompts begin with about 2 KB that
// are the same for all of an organisation, so that a prefix cache can hold
// them.
func prompt(o Organisation, number int, short bool, tokens int) string {
	if short {
		return fmt.Sprintf("%s question %s %d", shortPrompt, o.Name, number)
	}
	return strings.Repeat(o.Name+" venue note. ", 2048/(len(o.Name)+13)) + fmt.Sprintf(" plan %d tokens=%d", number, tokens)
}
