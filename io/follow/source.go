package follow

import (
	"slices"
	"time"
)

// silentAfter is the age of the last confirmation of this region from which on there is
// none, though its control VMs may not have answered the poll yet: that confirmation was
// requested by an earlier poll.
const silentAfter = pollWait + confirmedLately

// chooseRemoteSource decides which control VM of another region sends catalogues as soon as it
// has them. None does while one of this region confirms: the catalogue is sent over links
// between regions only where those of this region may be cut off from the leader, and lack
// the newest one. The caller holds mu.
func (c *Client) chooseRemoteSource() {
	before := c.remoteSource
	c.remoteSource = c.nextRemoteSource()
	if c.remoteSource != before {
		c.Log.Info("control VM of another region that sends catalogues has changed; empty while one of this region confirms",
			"control", c.remoteSource, "before", before, "confirmed_here", time.Since(c.confirmed), "lease_left", c.Lease.Left())
	}
}

// nextRemoteSource keeps the source while it confirms. Before the first confirmation, and while no
// confirmation comes from anywhere, there is none.
func (c *Client) nextRemoteSource() string {
	if !c.nearAnswers() || c.nearConfirms() || !c.Lease.Within(silentAfter) {
		return ""
	}
	mayBe := func(address string) bool {
		return !c.near[address] && c.confirms[address] && slices.Contains(c.reachable, address)
	}
	if mayBe(c.remoteSource) {
		return c.remoteSource
	}
	if i := slices.IndexFunc(c.reachable, mayBe); i >= 0 {
		return c.reachable[i]
	}
	return ""
}

// nearConfirms reports whether a control VM of this region has confirmed its last poll. The
// caller holds mu.
func (c *Client) nearConfirms() bool {
	if time.Since(c.confirmed) > silentAfter {
		return false
	}
	for address, answers := range c.near {
		if answers && c.confirms[address] {
			return true
		}
	}
	return false
}

// FromOtherRegion returns 1 while a control VM of another region sends catalogues in place of
// those of this region, and otherwise 0.
func (c *Client) FromOtherRegion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.remoteSource == "" {
		return 0
	}
	return 1
}
