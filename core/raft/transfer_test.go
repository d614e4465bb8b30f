package raft_test

import (
	"testing"

	"kingcuprill/core/raft"
)

// dataOf returns the bytes of data in a message.
func dataOf(m raft.Message) (size int) {
	for _, entry := range m.Entries {
		size += len(entry.Data)
	}
	return size
}

// TestLargeEntriesAreSentInParts lets a leader with many large entries find a follower that
// has none. Neither one message nor all that are unanswered may hold more bytes than allowed,
// and what is under way must not be sent again before it can have arrived.
func TestLargeEntriesAreSentInParts(t *testing.T) {
	const size, batch, inFlight = 1000, 2500, 4000 // bytes
	config := raft.Config{
		ID: "a", ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchEntries: 128, MaxInFlight: 8, Random: func(int) int { return 0 },
		MaxBatchBytes: batch, MaxInFlightBytes: inFlight, HeartbeatBytes: 100,
	}
	entries := []raft.Entry{}
	for index := uint64(1); index <= 40; index++ {
		entries = append(entries, raft.Entry{Index: index, Term: 1, Kind: raft.EntryCommand, Data: make([]byte, size)})
	}
	n := raft.NewNode(config, raft.HardState{Term: 1}, raft.Snapshot{Membership: raft.Membership{Voters: []string{"a", "b"}}}, entries)
	stored, unanswered := uint64(0), []raft.Message{}
	collect := func() (sent int) {
		for {
			ready, found := n.Ready()
			if !found {
				return sent
			}
			for _, m := range ready.Messages {
				switch m.Kind {
				case raft.PreVote, raft.Vote:
					n.Step(raft.Message{Kind: m.Kind + 1, From: "b", To: "a", Term: m.Term})
				case raft.Append:
					unanswered = append(unanswered, m)
					sent += len(m.Entries)
					if held := dataOf(m); held > batch {
						t.Errorf("one message holds %d bytes, want at most %d", held, batch)
					}
				}
			}
			n.Advance(ready)
		}
	}
	for range config.ElectionTicks {
		n.Tick()
		collect()
	}
	for round := 0; stored < 41; round++ {
		if round > 100 {
			t.Fatalf("only %d entries have arrived", stored)
		}
		open := 0
		for _, m := range unanswered {
			open += dataOf(m)
		}
		if open > inFlight+batch {
			t.Errorf("%d bytes are unanswered, want at most %d", open, inFlight+batch)
		}
		for range min(10*round, 10) { // the first probe holds no entries
			for range config.HeartbeatTicks {
				n.Tick()
			}
			for range 20 { // reads ask for more than one in that time
				n.Step(raft.Message{Kind: raft.HeartbeatReply, From: "b", To: "a", Term: n.Status().Term})
			}
		}
		if again := collect(); again > 0 {
			t.Fatalf("%d entries were sent again, after 10 answered heartbeats and before the first could have arrived", again)
		}
		if len(unanswered) == 0 {
			t.Fatalf("nothing is under way, %d entries have arrived", stored)
		}
		m := unanswered[0]
		unanswered = unanswered[1:]
		reply := raft.Message{Kind: raft.AppendReply, From: "b", To: "a", Term: m.Term, LogIndex: m.LogIndex + uint64(len(m.Entries))}
		if m.LogIndex > stored {
			reply.Reject, reply.LogIndex, reply.Hint = true, m.LogIndex, stored
			unanswered = nil // a probe is the only message
		} else {
			stored = max(stored, reply.LogIndex)
		}
		n.Step(reply)
		collect()
	}
}
