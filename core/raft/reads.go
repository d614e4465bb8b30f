package raft

// pendingRead is a read that waits for a majority to confirm the leader.
type pendingRead struct {
	context uint64
	round   uint64 // heartbeat round that confirms it
}

// readQueue holds the pending reads of one term of leadership. Each read starts
// a numbered round of heartbeats; a reply to a round also confirms earlier ones.
type readQueue struct {
	round   uint64
	pending []pendingRead
	acked   map[string]uint64 // newest acknowledged round, by replica
}

func (q *readQueue) acknowledge(id string, round uint64) {
	if q.acked == nil {
		q.acked = map[string]uint64{}
	}
	q.acked[id] = max(q.acked[id], round)
}

// ReadIndex starts a linearizable read: it confirms leadership with a majority.
// A ReadState with the context follows in a later Ready, unless leadership is
// lost first. The error is ErrNotLeader.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads.round++
	n.reads.pending = append(n.reads.pending, pendingRead{context: context, round: n.reads.round})
	n.broadcastHeartbeat()
	n.completeReads()
	return nil
}

// completeReads queues a ReadState for each read whose round a majority has
// acknowledged, once an entry of the current term is committed.
func (n *Node) completeReads() {
	if n.role != Leader || !n.committedInTerm() {
		return
	}
	for len(n.reads.pending) > 0 {
		first := n.reads.pending[0]
		confirmed := n.countVoters(func(id string) bool {
			return id == n.config.ID || n.reads.acked[id] >= first.round
		})
		if confirmed < n.Membership().quorum() {
			return
		}
		n.readStates = append(n.readStates, ReadState{Context: first.context, Index: n.commit})
		n.reads.pending = n.reads.pending[1:]
	}
}
