package raft

// campaign asks the voters for pre-votes or, as a Candidate, for votes in a new
// term. With transfer set, they vote even though they hear from a leader.
func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = ""
	n.granted = map[string]bool{n.config.ID: true}
	n.resetElection()
	kind, term := PreVote, n.term+1
	if role == Candidate {
		n.term++
		n.vote = n.config.ID
		kind, term = Vote, n.term
	}
	if n.hasVoteQuorum() {
		n.concludeVote()
		return
	}
	request := Message{Kind: kind, Term: term, LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm()}
	if transfer {
		request.Context = 1
	}
	for _, id := range n.Membership().Voters {
		if id != n.config.ID {
			request.To = id
			n.send(request)
		}
	}
}

func (n *Node) handleVoteRequest(m Message) {
	reply := Message{Kind: VoteReply, To: m.From, Term: m.Term}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
	}
	if n.mayVoteFor(m) {
		if m.Kind == Vote {
			n.vote = m.From
			n.resetElection()
		}
		if n.yieldsTo(m) {
			n.becomeFollower(n.term, "")
		}
		n.send(reply)
		return
	}
	reply.Reject = true
	reply.Term = n.term
	n.send(reply)
}

func (n *Node) mayVoteFor(m Message) bool {
	if !n.upToDate(m.LogIndex, m.LogTerm) {
		return false
	}
	if m.Kind == PreVote {
		return m.Term > n.term && !n.hasLiveLeader() && n.role != Leader
	}
	return n.vote == m.From || (n.vote == "" && n.leader == "")
}

// yieldsTo reports whether this replica leaves the election to a rival that it votes for.
// Of two that ask at once one goes on, so that they don't split the votes.
func (n *Node) yieldsTo(m Message) bool {
	return m.Kind == PreVote && n.role == PreCandidate && m.From < n.config.ID
}

// upToDate reports whether a candidate's log is at least as up to date as this
// replica's.
func (n *Node) upToDate(index, term uint64) bool {
	own := n.log.lastTerm()
	return term > own || (term == own && index >= n.log.lastIndex())
}

func (n *Node) handleVoteReply(m Message) {
	wanted := Candidate
	if m.Kind == PreVoteReply {
		wanted = PreCandidate
	}
	if n.role != wanted || m.Reject {
		return
	}
	if m.Kind == PreVoteReply && m.Term != n.term+1 {
		return // reply to an earlier round
	}
	n.granted[m.From] = true
	if n.hasVoteQuorum() {
		n.concludeVote()
	}
}

func (n *Node) hasVoteQuorum() bool {
	return n.countVoters(func(id string) bool { return n.granted[id] }) >= n.Membership().quorum()
}

// concludeVote follows a won pre-vote by a vote and a won vote by leadership.
func (n *Node) concludeVote() {
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.config.ID
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.reads = readQueue{}
	n.progress = map[string]*progress{}
	n.syncProgress()
	n.appendEntry(Entry{Kind: EntryNoop})
}

func (n *Node) countVoters(counts func(id string) bool) int {
	total := 0
	for _, id := range n.Membership().Voters {
		if counts(id) {
			total++
		}
	}
	return total
}

// heardFromQuorum reports whether a majority has replied since the last call.
func (n *Node) heardFromQuorum() bool {
	heard := n.countVoters(func(id string) bool {
		return id == n.config.ID || n.progress[id].active
	})
	for _, p := range n.progress {
		p.active = false
	}
	return heard >= n.Membership().quorum()
}

// TransferLeadership starts to hand leadership to a voter, for a planned stop,
// and reports whether it has started. With an empty id it chooses the newest voter that
// answers and lacks few entries. Until the voter has taken over, or an election timeout has
// passed, proposals fail with ErrTransferInProgress.
func (n *Node) TransferLeadership(to string) bool {
	if n.role != Leader {
		return false
	}
	if to == "" {
		to = n.successor()
	}
	if to == "" || to == n.config.ID || !n.Membership().IsVoter(to) {
		return false
	}
	n.transferee = to
	n.electionElapsed = 0
	n.sendAppend(to)
	n.tryTransfer()
	return true
}

// successor returns the voter to hand the leadership to. It prefers the newest one, as
// voters that are replaced one after the other would hand it to each other.
func (n *Node) successor() (id string) {
	for _, voter := range n.Membership().Voters {
		if voter != n.config.ID && (id == "" || n.mayCount(voter) || !n.mayCount(id)) {
			id = voter
		}
	}
	return id
}

// tryTransfer asks the transferee to campaign once it holds the whole log.
func (n *Node) tryTransfer() {
	if n.transferee == "" {
		return
	}
	p, found := n.progress[n.transferee]
	if found && p.match == n.log.lastIndex() {
		n.send(Message{Kind: TimeoutNow, To: n.transferee})
	}
}
