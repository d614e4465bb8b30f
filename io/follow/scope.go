package follow

import (
	"slices"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/rpc/vm"
)

// RemoteTargets is the number of usable targets of one version of a service in a data centre.
type RemoteTargets struct {
	Service    string
	DataCentre string
	Version    string // of their software
	Targets    int
}

// report is what a control VM says of those that it doesn't list.
type report struct {
	at      time.Time
	remote  []RemoteTargets
	entries int // entry VMs that have polled it lately
}

// reportExpiry is how long the last report of a control VM that doesn't answer counts.
const reportExpiry = 10 * time.Second

func newReport(answer *vm.FollowResponse, now time.Time) report {
	r := report{at: now, entries: int(answer.GetEntryCount())}
	for _, count := range answer.GetCounts() {
		r.remote = append(r.remote, RemoteTargets{Service: count.GetService(), DataCentre: count.GetDataCentre(), Version: count.GetVersion(), Targets: int(count.GetCount())})
	}
	return r
}

// setScope decides what a control VM is asked for, and how long it may hold the poll.
// While a control VM of this region answers, those of other regions aren't asked for
// the entry VMs, which all know: at hundreds of entry VMs these rows are a large part
// of the traffic between regions. A held poll confirms nothing before its end, so polls are
// short while a confirmation is overdue and none comes from another region either. The
// caller holds mu.
func (c *Client) setScope(address string, seen *cursor) (wait time.Duration) {
	far := !c.near[address] && c.nearAnswers()
	if far != seen.noEntries {
		seen.noEntries = far
		seen.entries = 0
		delete(c.entries, address)
	}
	switch {
	case c.remoteSource != "":
		return pollWait
	case time.Since(c.confirmed) > confirmedLately:
		return overdueWait
	case far:
		return farPollWait
	}
	return pollWait
}

func (c *Client) nearAnswers() bool {
	for _, answers := range c.near {
		if answers {
			return true
		}
	}
	return false
}

// publishTargets calls OnTargets. The caller holds mu.
func (c *Client) publishTargets(now time.Time) {
	var remote []RemoteTargets
	for _, r := range c.reports {
		if now.Sub(r.at) < reportExpiry {
			remote = append(remote, r.remote...)
		}
	}
	c.OnTargets(c.fleet.All(now), remote)
}

// publishEntries calls OnEntries. The caller holds mu.
func (c *Client) publishEntries(now time.Time) {
	said := map[string]entry.Report{}
	for address, rows := range c.entries {
		said[address] = entry.Report{VMs: rows, Silent: !slices.Contains(c.reachable, address)}
	}
	vms := entry.Union(said)
	count := len(vms)
	for _, r := range c.reports {
		if now.Sub(r.at) < reportExpiry {
			count = max(count, r.entries)
		}
	}
	c.OnEntries(vms, count)
}
