package raft_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprill/core/raft"
)

// group is a set of replicas whose messages take one to three ticks, and whose disks take
// no time.
type group struct {
	random *rand.Rand
	ids    []string
	nodes  map[string]*raft.Node
	queue  map[int][]raft.Message // by the tick of their arrival
	now    int
}

func newGroup(seed uint64, voters int) *group {
	g := &group{random: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*raft.Node{}, queue: map[int][]raft.Message{}}
	for i := range voters {
		g.ids = append(g.ids, fmt.Sprint("r", i))
	}
	for _, id := range g.ids {
		config := raft.Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchEntries: 128, MaxInFlight: 8, Random: g.random.IntN}
		g.nodes[id] = raft.NewNode(config, raft.HardState{}, raft.Snapshot{Membership: raft.Membership{Voters: g.ids}}, nil)
	}
	return g
}

func (g *group) handleReady(node *raft.Node) {
	for {
		ready, found := node.Ready()
		if !found {
			return
		}
		for _, message := range ready.Messages {
			at := g.now + 1 + g.random.IntN(3)
			g.queue[at] = append(g.queue[at], message)
		}
		node.Advance(ready)
	}
}

func (g *group) tick() {
	g.now++
	for _, message := range g.queue[g.now] {
		if node := g.nodes[message.To]; node != nil {
			node.Step(message)
			g.handleReady(node)
		}
	}
	delete(g.queue, g.now)
	for _, id := range g.ids {
		if node := g.nodes[id]; node != nil {
			node.Tick()
			g.handleReady(node)
		}
	}
}

// elect runs until a replica leads, and returns its id and the ticks it took.
func (g *group) elect(t *testing.T) (leader string, ticks int) {
	t.Helper()
	begin := g.now
	for g.now < begin+1000 {
		g.tick()
		for _, id := range g.ids {
			if node := g.nodes[id]; node != nil && node.Status().Role == raft.Leader {
				return id, g.now - begin
			}
		}
	}
	t.Fatal("no replica leads after 1000 ticks")
	return "", 0
}

// mostElectionTicks is what an election leaves of the 6 s in which a voter that stops hands
// its vote over: 4.5 s.
const mostElectionTicks = 100

// An election must not go on for seconds because the candidates split the votes again and
// again: a voter that stops then runs out of time before its vote is handed over.
func TestSplitVotesEndSoon(t *testing.T) {
	for _, voters := range []int{3, 4, 5, 6, 7} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			for seed := range uint64(2000) {
				g := newGroup(seed, voters)
				leader, _ := g.elect(t)
				for range 20 {
					g.tick()
				}
				delete(g.nodes, leader)
				if _, ticks := g.elect(t); ticks > mostElectionTicks {
					t.Errorf("seed %d: no leader for %d ticks, %d are allowed", seed, ticks, mostElectionTicks)
				}
			}
		})
	}
}
