package follow

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/lease"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	// pollWait is how long a question waits for news. The lease is renewed once
	// in each such time.
	pollWait = time.Second
	// pollTimeout bounds a question: its wait, a confirmation and the way.
	pollTimeout = pollWait + confirmWait + 500*time.Millisecond
	// announceWait is how long a catalogue of which a control VM has told may take
	// to come from the nearest one, before it is asked of any.
	announceWait = 250 * time.Millisecond
	// firstPause and longestPause are the pauses after failed questions.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	// dropAfter is how long a control VM that was learned from others may be
	// silent before it is asked no more.
	dropAfter = 30 * time.Second
)

// Client keeps an entry VM up to date. Its callbacks run one at a time.
type Client struct {
	Peers *peer.Peers
	Lease *lease.Lease
	Log   *slog.Logger
	// Self describes this VM.
	Self func() entry.VM
	// Catalogue takes in a catalogue that is newer than the one before.
	Catalogue func(c *catalogue.Catalogue)
	// Targets takes in all targets that are known.
	Targets func(rows map[string]instance.Registration)
	// Entries takes in all entry VMs that are known.
	Entries func(vms []entry.VM)

	mu       sync.Mutex
	tomb     *tomb.Tomb
	seeds    []string
	polls    map[string]context.CancelFunc // by control VM's peer address
	revision uint64
	newer    chan struct{} // closed when a newer catalogue has come
	fleet    *instance.Fleet
	entries  map[string]map[string]entry.VM // by control VM and id
	nearest  []string                       // control VMs that answer, the one that answered first in front
}

// Run asks all control VMs until the tomb dies.
func (c *Client) Run(t *tomb.Tomb, seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tomb = t
	c.polls = map[string]context.CancelFunc{}
	c.fleet = instance.NewFleet()
	c.newer = make(chan struct{})
	c.entries = map[string]map[string]entry.VM{}
	c.seeds = seeds
	c.follow(seeds)
	t.Go(c.refresh)
}

// SetSeeds adds the control VMs that the settings name now.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
	c.follow(seeds)
}

// follow starts to ask the control VMs that are not asked yet.
func (c *Client) follow(addresses []string) {
	for _, address := range addresses {
		if _, asked := c.polls[address]; asked || address == "" {
			continue
		}
		ctx, cancel := context.WithCancel(c.tomb.Context(context.Background()))
		c.polls[address] = cancel
		c.tomb.Go(func() error { return c.poll(ctx, address) })
	}
}

// refresh recomputes what depends on time alone.
func (c *Client) refresh() error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case now := <-ticker.C:
			c.mu.Lock()
			c.Targets(c.fleet.All(now))
			c.Entries(entry.Union(c.entries))
			c.mu.Unlock()
		}
	}
}

// position is what one control VM has told so far.
type position struct {
	epoch   string
	targets uint64
	entries uint64
	// behind tells that this control VM has told of a catalogue that no other
	// one has sent.
	behind bool
}

func (c *Client) poll(ctx context.Context, address string) error {
	var at position
	pause := firstPause
	reached := time.Now()
	lost := false
	for ctx.Err() == nil {
		err := c.ask(ctx, address, &at, pollWait)
		if err == nil {
			if lost {
				c.Log.Info("control VM answers again", "control", address, "after", time.Since(reached))
			}
			pause, reached, lost = firstPause, time.Now(), false
			continue
		}
		if !lost && ctx.Err() == nil {
			c.Log.Warn("control VM does not answer", "control", address, "error", err, "lease_left", c.Lease.Left())
		}
		lost = true
		c.answers(address, false, false)
		if c.drop(address, reached) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
	return nil
}

// drop stops asking a control VM that the settings don't name and that has
// been silent for long.
func (c *Client) drop(address string, reached time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.seeds, address) || time.Since(reached) < dropAfter {
		return false
	}
	c.polls[address]()
	delete(c.polls, address)
	delete(c.entries, address)
	c.fleet.Forget(address)
	c.Log.Warn("control VM is given up", "control", address, "silent", time.Since(reached))
	return true
}

// ask puts one question to a control VM and takes in the answer.
func (c *Client) ask(ctx context.Context, address string, at *position, wait time.Duration) error {
	c.mu.Lock()
	revision := c.revision
	announce := !at.behind && len(c.nearest) > 0 && c.nearest[0] != address
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := c.Lease.Now()
	answer, err := c.Peers.At(address).Follow(ctx, &vm.FollowRequest{
		Entry: codec.FromEntryVM(c.Self()), Revision: revision, Epoch: at.epoch,
		TargetsVersion: at.targets, EntriesVersion: at.entries, WaitNanoseconds: int64(wait),
		Announce: announce,
	})
	if err != nil {
		return err
	}
	c.answers(address, true, answer.GetRegion() == c.Self().Region)
	if err := c.take(address, answer, at); err != nil {
		return err
	}
	has := c.await(ctx, answer.GetRevision())
	at.behind = !has
	if has && answer.GetConfirmed() {
		c.Lease.Confirm(sent)
	}
	return nil
}

// await waits until this VM has a revision of which a control VM has told. The
// nearest one sends it, so that a catalogue comes once and not from each.
func (c *Client) await(ctx context.Context, revision uint64) (has bool) {
	timer := time.NewTimer(announceWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		has, newer := c.revision >= revision, c.newer
		c.mu.Unlock()
		if has {
			return true
		}
		select {
		case <-newer:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Client) take(address string, answer *vm.FollowResponse, at *position) (err error) {
	var catalogue *catalogue.Catalogue
	if packed := answer.GetCatalogue(); len(packed) > 0 {
		if catalogue, err = unpack(packed); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if catalogue != nil && catalogue.Revision > c.revision {
		c.revision = catalogue.Revision
		c.Catalogue(catalogue)
		close(c.newer)
		c.newer = make(chan struct{})
	}
	c.takeTargets(address, answer, now)
	c.takeEntries(address, answer)
	at.epoch, at.targets, at.entries = answer.GetEpoch(), answer.GetTargetsVersion(), answer.GetEntriesVersion()
	c.follow(answer.GetControlAddresses())
	return nil
}

func (c *Client) takeTargets(address string, answer *vm.FollowResponse, now time.Time) {
	if len(answer.GetTargets()) == 0 && !answer.GetWhole() {
		return
	}
	rows := make([]instance.Registration, 0, len(answer.GetTargets()))
	for _, m := range answer.GetTargets() {
		rows = append(rows, codec.ToRegistration(m, now))
	}
	c.fleet.Update(address, answer.GetEpoch(), rows, now)
	c.Targets(c.fleet.All(now))
}

func (c *Client) takeEntries(address string, answer *vm.FollowResponse) {
	if len(answer.GetEntries()) == 0 {
		return
	}
	known := c.entries[address]
	if known == nil || answer.GetWhole() {
		known = map[string]entry.VM{}
		c.entries[address] = known
	}
	for _, m := range answer.GetEntries() {
		row := codec.ToEntryVM(m)
		known[row.ID] = row
	}
	c.Entries(entry.Union(c.entries))
}

// Controls returns the control VMs that answer, those of this region first.
func (c *Client) Controls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nearest)
}

// answers notes whether a control VM answers, and how fast.
func (c *Client) answers(address string, reached bool, near bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.Contains(c.nearest, address)
	switch {
	case !reached:
		c.nearest = slices.DeleteFunc(c.nearest, func(other string) bool { return other == address })
	case !known && near:
		c.nearest = append([]string{address}, c.nearest...)
	case !known:
		c.nearest = append(c.nearest, address)
	}
}

// Tell tells every control VM at once how this VM stands now.
func (c *Client) Tell(ctx context.Context) {
	c.mu.Lock()
	addresses := slices.Collect(maps.Keys(c.polls))
	c.mu.Unlock()
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, pollWait)
			defer cancel()
			_, err := c.Peers.At(address).Follow(bounded, &vm.FollowRequest{Entry: codec.FromEntryVM(c.Self())})
			if err != nil {
				c.Log.Warn("control VM was not told of a change of this VM", "control", address, "error", err)
			}
		})
	}
	group.Wait()
}
