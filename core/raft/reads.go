package raft

// read waits for a majority to confirm the leader.
type read struct {
	context uint64
	round   uint64 // heartbeat round that confirms it
}

// readQueue holds the reads of one term of leadership.
type readQueue struct {
	round   uint64
	waiting []read
	acked   map[string]uint64 // newest round answered, by replica
}

func (q *readQueue) acknowledge(id string, round uint64) {
	if q.acked == nil {
		q.acked = map[string]uint64{}
	}
	q.acked[id] = max(q.acked[id], round)
}

// ReadIndex asks to confirm leadership with a majority. A ReadState with the
// context follows in a later Ready.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads.round++
	n.reads.waiting = append(n.reads.waiting, read{context: context, round: n.reads.round})
	n.broadcastHeartbeat()
	n.releaseReads()
	return nil
}

// releaseReads hands out the reads whose round a majority has answered, once
// an entry of the own term is committed.
func (n *Node) releaseReads() {
	if n.role != Leader || !n.committedInTerm() {
		return
	}
	for len(n.reads.waiting) > 0 {
		first := n.reads.waiting[0]
		confirmed := n.countVoters(func(id string) bool {
			return id == n.config.ID || n.reads.acked[id] >= first.round
		})
		if confirmed < n.Membership().quorum() {
			return
		}
		n.ready = append(n.ready, ReadState{Context: first.context, Index: n.commit})
		n.reads.waiting = n.reads.waiting[1:]
	}
}
