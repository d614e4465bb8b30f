package entryvm

import (
	"kingcuprill/core/linkbudget"
	"kingcuprill/io/link"
	"kingcuprill/io/peer"
)

// limitLink counts the bytes of all connections and bounds new work by the rate of the VM's
// link, if the settings name one. Then draws of tokens are shared, and the pool's refusals
// remembered.
func (v *VM) limitLink(peers *peer.Peers) {
	if v.Config.LinkRate <= 0 {
		return
	}
	v.counters = &link.Counters{}
	peers.Wrap = v.counters.Wrap(link.Control)
	v.front.Targets.Wrap = v.counters.Wrap(link.Targets)
	v.front.Peers.Wrap = v.counters.Wrap(link.Forwarded)
	v.front.Link = linkbudget.New(v.Config.LinkRate)
	v.front.Drawer.Share()
	v.linkMonitor = &link.Monitor{Counters: v.counters, Budget: v.front.Link, Log: v.Log}
}

func (v *VM) runLinkMonitor() {
	if v.linkMonitor != nil {
		v.tomb.Go(func() error { return v.linkMonitor.Run(&v.tomb) })
	}
}

func (v *VM) addLinkGauges() {
	if v.linkMonitor == nil {
		return
	}
	v.linkMonitor.AddGauges(v.Metrics)
	v.Metrics.Gauge("draws.shared", v.front.Drawer.Shared)
	v.Metrics.Gauge("draws.avoided", v.front.Drawer.Avoided)
}
