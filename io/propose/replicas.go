package propose

import (
	"context"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/core/replicaset"
	"kingcuprill/io/peer"
	"kingcuprill/io/replica"
	"kingcuprill/rpc/operator"
)

// replicaRows lists the replicas and their replication progress as the leader sees
// them.
func replicaRows(status replica.Status) []*operator.Replica {
	rows := []*operator.Replica{}
	for _, id := range status.Membership.Voters {
		role := "follower"
		if id == status.Leader {
			role = "leader"
		}
		rows = append(rows, &operator.Replica{Id: id, Role: role, Match: status.Match[id]})
	}
	for _, id := range status.Membership.Learners {
		rows = append(rows, &operator.Replica{Id: id, Role: "learner", Match: status.Match[id], Learner: true})
	}
	return rows
}

// ChangeReplicas commits one change of the replica set at the leader. It retries
// errors of code fault.NoQuorum until the context ends.
func (p *Proposer) ChangeReplicas(ctx context.Context, request *operator.ChangeReplicasRequest) (answer *operator.ChangeReplicasResponse, err error) {
	for {
		answer, err = p.changeReplicasOnce(ctx, request)
		if err == nil || fault.CodeOf(err) != fault.NoQuorum {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryInterval):
		}
	}
}

func (p *Proposer) changeReplicasOnce(ctx context.Context, request *operator.ChangeReplicasRequest) (answer *operator.ChangeReplicasResponse, err error) {
	if p.Replica != nil && p.Replica.Status().Role == raft.Leader {
		return p.commitReplicaChange(ctx, request)
	}
	err = fault.New(fault.NoQuorum, "no control VM is known")
	for _, m := range p.candidates() {
		answer, err = p.Peers.At(m.PeerAddress).ChangeReplicas(ctx, request)
		if err == nil {
			return answer, nil
		}
		err = peer.FromTwirp(err)
		if code := fault.CodeOf(err); code != fault.NoQuorum && code != fault.Internal {
			return nil, err
		}
	}
	return nil, err
}

func (p *Proposer) commitReplicaChange(ctx context.Context, request *operator.ChangeReplicasRequest) (*operator.ChangeReplicasResponse, error) {
	change := replicaset.Change{Action: raft.MembershipAction(request.GetAction()), ID: request.GetVm()}
	allow := func(status raft.Status) error {
		if status.Role == raft.Leader && p.Allow != nil && !p.Allow(status, change) {
			return fault.New(fault.Conflict, "replica %q answers and there are no voters to spare; promote a learner first", change.ID)
		}
		return nil
	}
	m, err := p.Replica.ChangeMembership(ctx, change.Action, change.ID, allow)
	if err != nil {
		return nil, err
	}
	return &operator.ChangeReplicasResponse{Voters: m.Voters, Learners: m.Learners}, nil
}

// ChangeReplicasLocal commits a change of the replica set that another VM has sent
// to this one, whose replica must be the leader.
func (p *Proposer) ChangeReplicasLocal(ctx context.Context, request *operator.ChangeReplicasRequest) (*operator.ChangeReplicasResponse, error) {
	if p.Replica == nil {
		return nil, fault.New(fault.NoQuorum, "VM %s holds no replica of the control log", p.VMState.Self)
	}
	return p.commitReplicaChange(ctx, request)
}
