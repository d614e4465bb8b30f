package replicaset

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"kingcuprill/core/raft"
)

var (
	seeds     = flag.Uint64("replicaset.seeds", 300, "number of seeds of the model")
	firstSeed = flag.Uint64("replicaset.first_seed", 1, "first seed of the model")
	timings   = flag.Uint64("replicaset.timings", 1, "number of timings with which each seed is played")
)

// until makes a machine count as lost for some ticks.
func (m *model) until(c *machine, ticks int) {
	c.lostUntil = max(c.lostUntil, m.now+ticks, m.splitUntil+settleTicks)
}

// plannedReplacement starts a successor and stops a machine for good once the successor
// has had its time, or somewhat earlier. The machine then counts as lost.
func (m *model) plannedReplacement(old *machine) {
	successor := m.add()
	wait := catchUpTicks + m.random.IntN(40)
	if m.random.IntN(4) == 0 {
		wait = m.random.IntN(catchUpTicks)
	}
	successor.side = m.random.IntN(2)
	started := m.now
	m.note("%s starts, to replace %s in %d ticks", successor.id, old.id, wait)
	m.after(wait, func() { m.stopReplaced(old, successor, started) })
}

func (m *model) stopReplaced(old, successor *machine, started int) {
	if old.gone || old.leaving {
		return
	}
	disturbed := m.now < started+catchUpTicks || m.now < m.settled || successor.lostUntil > m.now || !successor.up
	if !old.up || old.frozen || (disturbed && m.lost() >= m.failures) {
		m.after(catchUpTicks, func() { m.stopReplaced(old, successor, started) })
		return
	}
	if disturbed {
		m.until(old, graceTicks+settleTicks)
	}
	m.sigterm(old, func() { old.gone = true })
}

func (m *model) sigterm(c *machine, left func()) {
	m.note("%s gets its signal to stop", c.id)
	c.leaving, c.leaveUntil, c.left = true, m.now+graceTicks, left
}

// killedReplacement ends a machine for good, and starts its successor somewhat later.
func (m *model) killedReplacement(old *machine, planned bool) {
	wait := 1 + m.random.IntN(60)
	old.lostUntil = math.MaxInt
	replace := func() {
		m.stop(old)
		old.gone = true
		m.note("%s is gone, its successor comes in %d ticks", old.id, wait)
		m.after(wait, func() {
			m.note("%s starts", m.add().id)
			old.lostUntil = 0
			m.until(old, settleTicks)
		})
	}
	if planned {
		m.sigterm(old, replace)
		return
	}
	replace()
}

func (m *model) restart(c *machine, wipe bool) {
	m.note("%s ends, and loses its disk: %v", c.id, wipe)
	m.stop(c)
	if wipe {
		m.empty(c)
	}
	m.until(c, restartTicks+settleTicks)
	m.after(restartTicks, func() { m.boot(c) })
}

func (m *model) roll(c *machine) {
	c.lostUntil = math.MaxInt
	m.sigterm(c, func() {
		c.lostUntil = 0
		m.until(c, restartTicks+settleTicks)
		m.after(restartTicks, func() { m.boot(c) })
	})
}

func (m *model) pause(c *machine, cut bool) {
	ticks := 20 + m.random.IntN(110)
	m.note("%s stands still or is cut off (%v) for %d ticks", c.id, cut, ticks)
	m.until(c, ticks+settleTicks)
	c.cut, c.frozen = cut, !cut
	m.after(ticks, func() { c.cut, c.frozen = false, false })
}

// split cuts the machines in two. One that is being stopped may then end before its vote is
// handed over, and counts as lost.
func (m *model) split() {
	ticks := 20 + m.random.IntN(110)
	m.splitUntil = m.now + ticks
	m.settled = m.splitUntil + settleTicks
	for _, c := range m.machines {
		c.side = m.random.IntN(2)
		if c.leaving || c.lostUntil > m.now {
			m.until(c, settleTicks)
		}
	}
	m.note("the machines are split in two for %d ticks", ticks)
}

// stopping counts the machines that are being stopped and don't count as lost.
func (m *model) stopping() (count int) {
	for _, c := range m.machines {
		if c.leaving && c.lostUntil <= m.now {
			count++
		}
	}
	return count
}

// disturb makes one disruption, if as many machines may be lost now.
func (m *model) disturb() {
	usable := []*machine{}
	for _, c := range m.machines {
		if c.up && !c.frozen && !c.cut && !c.leaving && c.lostUntil <= m.now {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return
	}
	c := usable[m.random.IntN(len(usable))]
	kind := m.random.IntN(9)
	if kind < 3 {
		m.plannedReplacement(c)
		return
	}
	if kind == 8 && m.now >= m.splitUntil && m.lost()+m.stopping() <= m.failures {
		m.split()
		return
	}
	if m.lost() >= m.failures {
		return
	}
	switch kind {
	case 3:
		m.killedReplacement(c, false)
	case 4:
		m.killedReplacement(c, true)
	case 5:
		m.restart(c, true)
	case 6:
		m.roll(c)
	case 7:
		m.pause(c, m.random.IntN(2) == 0)
	}
}

// expectProgress ends all disruptions and expects a leader that has all that was
// acknowledged and commits more.
func (m *model) expectProgress() {
	before := m.newest
	for range 1000 {
		m.tick()
		for _, c := range m.machines {
			status := c.node.Status()
			if c.up && status.Role == raft.Leader && status.Applied >= m.acked && m.newest > before+20 {
				return
			}
		}
	}
	m.fail("no leader commits more than entry %d, %d was acknowledged", m.newest, m.acked)
}

// A voter that is replaced must not leave a set of replicas that the next lost disk ends.
func TestReplacedVotersLeaveAMajority(t *testing.T) {
	replaced := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			for timing := range *timings {
				m := newModel(t, seed, timing)
				m.play()
				replaced += m.joined
			}
		})
	}
	if replaced == 0 {
		t.Fatal("no machine was replaced")
	}
}

func (m *model) play() {
	for range 120 {
		m.tick()
	}
	for range 8 {
		m.disturb()
		for range 5 + m.random.IntN(120) {
			m.tick()
		}
	}
	m.expectProgress()
}
