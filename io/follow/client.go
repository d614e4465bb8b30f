package follow

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/lease"
	"kingcuprill/core/quarantine"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	// pollWait is how long a control VM holds a poll until something changes. The
	// lease is renewed about once in this time.
	pollWait = time.Second
	// farPollWait is pollWait for control VMs of other regions while one of this region
	// answers. They still answer at once when they have news.
	farPollWait = 2 * time.Second
	// overdueWait is pollWait while no confirmation has come for longer than confirmedLately.
	overdueWait = 250 * time.Millisecond
	// confirmedLately is longer than a confirmed poll that is held for pollWait takes.
	confirmedLately = pollWait + 400*time.Millisecond
	// answerTimeout bounds a poll beyond its wait: a confirmation and the round trip.
	answerTimeout = confirmTimeout + 500*time.Millisecond
	// catalogueWait is how long the nearest control VM may take to send a catalogue
	// that another one has announced, before the other one is asked for it.
	catalogueWait = 250 * time.Millisecond
	// overdueCatalogueWait is catalogueWait while no control VM of this region confirms.
	// The one that sends catalogues in its place does so within a round trip between
	// regions, if it is ahead of the one that has announced this catalogue.
	overdueCatalogueWait = 100 * time.Millisecond
	// minBackoff and maxBackoff are the pauses after the first failed poll and
	// after many.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// dropAfter is how long a control VM that isn't in the settings may be silent
	// before it isn't polled any more.
	dropAfter = 30 * time.Second
)

// Client polls the control VMs for an entry VM. It calls OnCatalogue, OnTargets,
// OnEntries and OnCrashes one at a time and holds its mutex meanwhile: they must not call the
// client's methods.
type Client struct {
	Peers *peer.Peers
	Lease *lease.Lease
	Log   *slog.Logger
	// Self returns the current state of this VM.
	Self func() entry.VM
	// OnCatalogue is called with each catalogue that is newer than the one before. It
	// returns an error if not all of it is in force; the lease is then not renewed.
	OnCatalogue func(c *catalogue.Catalogue) error
	// OnTargets is called with all known targets of this region, by id, and the number
	// of usable targets in the other data centres.
	OnTargets func(rows map[string]instance.Registration, remote []RemoteTargets)
	// OnEntries is called with all known entry VMs, and with the number of those that
	// have polled some control VM lately, which may be higher.
	OnEntries func(vms []entry.VM, count int)
	// OnCrashes is called with crashes of targets that a control VM has heard of. If
	// lacksOthers is set, it has just started and knows no others. It may be nil.
	OnCrashes func(address string, rows []quarantine.Crash, lacksOthers bool)

	mu           sync.Mutex
	tomb         *tomb.Tomb
	seeds        []string
	polls        map[string]context.CancelFunc // by control VM's peer address
	revision     uint64
	confirmed    time.Time       // when the last poll was sent that a control VM which isn't far has confirmed
	unusable     error           // why the catalogue of this revision isn't in force as a whole
	newer        chan struct{}   // closed when a newer catalogue arrives
	confirms     map[string]bool // control VMs whose last answer was confirmed
	remoteSource string          // control VM of another region that sends catalogues in place of those of this region; empty for none
	fleet        *instance.Fleet
	entries      map[string]map[string]entry.VM // by control VM and id
	reports      map[string]report              // by control VM
	reachable    []string                       // addresses of the control VMs that answer, those of this region first
	near         map[string]bool                // addresses of the control VMs of this region
	named        map[string][]string            // addresses of all control VMs, by the one that has named them
}

// Run starts goroutines in the tomb that poll the control VMs until it dies. The
// seeds are the addresses of the control VMs in the settings; others are learned
// from answers.
func (c *Client) Run(t *tomb.Tomb, seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tomb = t
	c.polls = map[string]context.CancelFunc{}
	c.fleet = instance.NewFleet()
	c.newer = make(chan struct{})
	c.entries = map[string]map[string]entry.VM{}
	c.reports = map[string]report{}
	c.near = map[string]bool{}
	c.named = map[string][]string{}
	c.confirms = map[string]bool{}
	c.seeds = seeds
	c.startPolls(seeds)
	t.Go(c.refresh)
}

// SetSeeds replaces the control VMs of the settings. Those that are new are
// polled from now on.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
	c.startPolls(seeds)
}

// startPolls starts to poll the control VMs that aren't polled yet. The caller
// holds mu.
func (c *Client) startPolls(addresses []string) {
	for _, address := range addresses {
		if _, polled := c.polls[address]; polled || address == "" {
			continue
		}
		ctx, cancel := context.WithCancel(c.tomb.Context(context.Background()))
		c.polls[address] = cancel
		c.tomb.Go(func() error { return c.poll(ctx, address) })
	}
}

// refresh reports the targets and entry VMs once a second, as some rows expire
// with time.
func (c *Client) refresh() error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case now := <-ticker.C:
			c.mu.Lock()
			c.publishTargets(now)
			c.publishEntries(now)
			c.mu.Unlock()
		}
	}
}

// cursor holds the versions that one control VM has sent so far.
type cursor struct {
	epoch   string
	targets uint64
	entries uint64
	crashes uint64
	// needsCatalogue is set if this control VM has announced a catalogue that no
	// other one has sent. The next poll then asks this one for it.
	needsCatalogue bool
	// noEntries is set if this control VM is not asked for the entry VMs and the crashes of
	// targets.
	noEntries bool
}

// crashesSince returns the version from which on crashes of targets are asked for.
func (seen *cursor) crashesSince() uint64 {
	if seen.noEntries {
		return math.MaxUint64
	}
	return seen.crashes
}

func (c *Client) poll(ctx context.Context, address string) error {
	var seen cursor
	pause := minBackoff
	reached := time.Now()
	lost := false
	for ctx.Err() == nil {
		err := c.pollOnce(ctx, address, &seen)
		if err == nil {
			if lost {
				c.Log.Info("control VM answers again", "control", address, "after", time.Since(reached))
			}
			pause, reached, lost = minBackoff, time.Now(), false
			continue
		}
		if !lost && ctx.Err() == nil {
			c.Log.Warn("control VM does not answer; it is polled again after a pause", "control", address, "error", err, "lease_left", c.Lease.Left())
		}
		lost = true
		c.setReachable(address, false, false)
		// Other connections to this control VM may be as silent as this one.
		c.Peers.DropIdle(address)
		if c.drop(address, reached) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxBackoff)
	}
	return nil
}

// drop stops the polls of a control VM if it isn't in the settings, no control VM that
// answers names it, and it has been silent for dropAfter. It reports whether it has stopped them.
func (c *Client) drop(address string, reached time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.seeds, address) || time.Since(reached) < dropAfter || c.isNamed(address) {
		return false
	}
	c.polls[address]()
	delete(c.polls, address)
	delete(c.entries, address)
	delete(c.reports, address)
	delete(c.named, address)
	delete(c.confirms, address)
	c.fleet.Forget(address)
	c.Log.Warn("control VM has been silent for too long and is not in the settings; it is not polled any more", "control", address, "silent", time.Since(reached))
	return true
}

// isNamed reports whether a control VM that answers names one. The caller holds mu.
func (c *Client) isNamed(address string) bool {
	return slices.ContainsFunc(c.reachable, func(other string) bool { return slices.Contains(c.named[other], address) })
}

// pollOnce sends one poll to a control VM and applies the answer.
func (c *Client) pollOnce(ctx context.Context, address string, seen *cursor) error {
	c.mu.Lock()
	revision := c.revision
	c.chooseRemoteSource()
	isRemoteSource := c.remoteSource == address
	newsFirst := isRemoteSource && c.Lease.Within(confirmedLately) // or else changes could keep confirmations away
	revisionOnly := !seen.needsCatalogue && !isRemoteSource && len(c.reachable) > 0 && c.reachable[0] != address
	wait := c.setScope(address, seen)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	sent, begun := c.Lease.Now(), time.Now()
	answer, err := c.Peers.At(address).Follow(ctx, &vm.FollowRequest{
		Entry: codec.FromEntryVM(c.Self()), Revision: revision, Epoch: seen.epoch,
		TargetsVersion: seen.targets, EntriesVersion: seen.entries, WaitNanoseconds: int64(wait),
		Announce: revisionOnly, OnlyRegion: true, NoEntries: seen.noEntries, CrashesVersion: seen.crashesSince(),
		NewsFirst: newsFirst,
	})
	if err != nil {
		return err
	}
	c.setReachable(address, true, answer.GetRegion() == c.Self().Region)
	if err := c.apply(address, answer, seen); err != nil {
		return err
	}
	has := c.awaitRevision(ctx, answer.GetRevision())
	seen.needsCatalogue = !has
	c.mu.Lock()
	if early := newsFirst && len(answer.GetCatalogue()) > 0; !early || answer.GetConfirmed() {
		c.confirms[address] = has && answer.GetConfirmed()
	}
	c.mu.Unlock()
	if has && answer.GetConfirmed() && c.isInForce() {
		c.Lease.Confirm(sent)
		c.mu.Lock()
		if !seen.noEntries {
			c.confirmed = begun
		}
		c.mu.Unlock()
	}
	return nil
}

// isInForce reports whether all of the newest catalogue that has come is in force. The one
// before may have keys that are withdrawn, so that no lease may be had on it.
func (c *Client) isInForce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusable == nil
}

// awaitRevision waits until this VM has a revision that a control VM has
// announced, and reports whether it has. Only the nearest control VM sends it, so
// that a catalogue is transferred once and not by each of them.
func (c *Client) awaitRevision(ctx context.Context, revision uint64) (has bool) {
	c.mu.Lock()
	wait := catalogueWait
	if c.remoteSource != "" {
		wait = overdueCatalogueWait
	}
	c.mu.Unlock()
	timer := time.NewTimer(wait)
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

func (c *Client) apply(address string, answer *vm.FollowResponse, seen *cursor) (err error) {
	var catalogue *catalogue.Catalogue
	if packed := answer.GetCatalogue(); len(packed) > 0 {
		catalogue, err = decompress(packed)
		if err != nil && !errors.Is(err, codec.ErrNewer) {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if catalogue != nil && catalogue.Revision > c.revision {
		c.revision = catalogue.Revision
		if c.unusable = errors.Join(err, c.OnCatalogue(catalogue)); c.unusable != nil {
			c.Log.Error("the newest catalogue can't be put in force as a whole; the lease is not renewed until one can", "revision", c.revision, "error", c.unusable)
		}
		close(c.newer)
		c.newer = make(chan struct{})
	}
	c.applyTargets(address, answer, now)
	c.applyEntries(address, answer)
	if c.OnCrashes != nil && (len(answer.GetCrashes()) > 0 || answer.GetWhole()) {
		c.OnCrashes(address, codec.ToCrashes(answer.GetCrashes()), answer.GetWhole())
	}
	seen.epoch, seen.targets, seen.entries = answer.GetEpoch(), answer.GetTargetsVersion(), answer.GetEntriesVersion()
	if !seen.noEntries {
		seen.crashes = answer.GetCrashesVersion()
	}
	c.named[address] = answer.GetControlAddresses()
	c.startPolls(c.named[address])
	return nil
}

func (c *Client) applyTargets(address string, answer *vm.FollowResponse, now time.Time) {
	c.reports[address] = newReport(answer, now)
	if len(answer.GetTargets()) == 0 && !answer.GetWhole() {
		return
	}
	c.fleet.Update(address, answer.GetEpoch(), c.registrations(address, answer.GetTargets(), now), now)
	c.publishTargets(now)
}

// registrations returns the targets that a control VM has sent, without rows that no
// target has.
func (c *Client) registrations(address string, messages []*vm.Registration, now time.Time) (rows []instance.Registration) {
	var odd error
	for _, m := range messages {
		row := codec.ToRegistration(m, now)
		if err := row.Check(now); err != nil {
			odd = err
			continue
		}
		rows = append(rows, row)
	}
	if odd != nil {
		c.Log.Warn("control VM has sent targets that can't be; they are left out", "control", address, "count", len(messages)-len(rows), "last_error", odd)
	}
	return rows
}

func (c *Client) applyEntries(address string, answer *vm.FollowResponse) {
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
	c.publishEntries(time.Now())
}

// Polled returns the addresses of the control VMs that are polled, whether they answer
// or not.
func (c *Client) Polled() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.polls))
}

// Controls returns the addresses of the control VMs that answer, those of this
// region first.
func (c *Client) Controls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.reachable)
}

// setReachable records whether a control VM answers. near is true if it is in
// this VM's region.
func (c *Client) setReachable(address string, reached bool, near bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.Contains(c.reachable, address)
	c.near[address] = reached && near
	switch {
	case !reached:
		c.reachable = slices.DeleteFunc(c.reachable, func(other string) bool { return other == address })
	case !known && near:
		c.reachable = append([]string{address}, c.reachable...)
	case !known:
		c.reachable = append(c.reachable, address)
	}
}

// ReportState sends the current state of this VM to every control VM without
// waiting for the next poll. Failures are logged.
func (c *Client) ReportState(ctx context.Context) {
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
				c.Log.Warn("state of this VM could not be reported to a control VM; the next poll reports it", "control", address, "error", err)
			}
		})
	}
	group.Wait()
}
