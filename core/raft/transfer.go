package raft

// batchEnd returns the last entry of the append message that begins with an entry: it holds
// at least this one, and no more entries or bytes than the configuration allows.
func (n *Node) batchEnd(first uint64) (last uint64) {
	last = min(n.log.lastIndex(), first+uint64(n.config.MaxBatchEntries)-1)
	if n.config.MaxBatchBytes == 0 {
		return last
	}
	size := 0
	for _, entry := range n.log.slice(first, last) {
		size += len(entry.Data)
		if size > n.config.MaxBatchBytes && entry.Index > first {
			return entry.Index - 1
		}
	}
	return last
}

// hasRoom reports whether one more append message may be sent before a reply.
func (n *Node) hasRoom(p *progress) bool {
	if p.inFlight >= n.window(p) {
		return false
	}
	// What a replica has is not known before a probe is answered.
	return p.probing || n.config.MaxInFlightBytes == 0 || n.log.size(p.match+1, p.next-1) < n.config.MaxInFlightBytes
}

// repliesToResend returns the number of heartbeat replies after which what was sent last
// counts as lost. It takes the longer to arrive the more bytes it has.
func (n *Node) repliesToResend(p *progress) int {
	limit, size := heartbeatsToResend, 0
	switch {
	case p.snapshot != 0:
		limit, size = heartbeatsToResendSnapshot, len(n.log.snapshot.Data)
	case p.probing:
		size = n.log.size(p.next, n.batchEnd(max(p.next, n.log.snapshot.Index+1)))
	default:
		size = n.log.size(p.match+1, p.next-1)
	}
	if n.config.HeartbeatBytes == 0 {
		return limit
	}
	return limit + size/n.config.HeartbeatBytes
}
