package controlvm

import (
	"context"
	"time"

	"kingcuprill/core/raft"
	"kingcuprill/core/replicaset"
	"kingcuprill/rpc/operator"
)

// leaveInterval is the pause between the steps of handing over the vote.
const leaveInterval = 50 * time.Millisecond

// handOverShare is the part of the grace period in which the vote is handed over.
const handOverShare = 0.75

// handOverVote lets a learner take the place of this VM's replica among the voters. It
// ends when that is committed, when there is no learner, or when its time is up.
func (v *VM) handOverVote() {
	v.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), v.handOverTimeout())
	defer cancel()
	begun := time.Now()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		status := v.replica.Status().Status
		change, wanted := replicaset.Leave(status, v.id, v.Config.Replicas, attempt, time.Since(begun))
		if !wanted {
			v.Log.Info("nothing of the vote is left to hand over", "replica", v.id, "member", status.Membership.Has(v.id), "learners", len(status.Membership.Learners), "leader", status.Leader, "commit", status.Commit)
			return
		}
		if v.leaveBy(ctx, status, change) {
			return
		}
		time.Sleep(leaveInterval)
	}
	v.Log.Warn("planned stop has run out of time before the vote was handed over; it is replaced as one that is silent", "replica", v.id)
}

// handOverTimeout returns how long a hand-over may take. A learner has no vote to hand over.
func (v *VM) handOverTimeout() time.Duration {
	if !v.replica.Status().Membership.IsVoter(v.id) {
		return stopTimeout
	}
	return time.Duration(float64(v.Config.Grace) * handOverShare)
}

// leaveBy makes a step of the hand-over and reports whether it was the last one.
func (v *VM) leaveBy(ctx context.Context, status raft.Status, change replicaset.Change) (left bool) {
	if change == (replicaset.Change{}) {
		return false
	}
	bounded, cancel := v.peers.Bounded(ctx)
	defer cancel()
	if change.Action == raft.Remove && status.Role == raft.Leader {
		v.replica.TransferLeadership(bounded)
		return false
	}
	err := v.proposeChange(bounded, change)
	return err == nil && change.Action == raft.Remove
}

// proposeChange commits a change of the set of replicas at the leader.
func (v *VM) proposeChange(ctx context.Context, change replicaset.Change) error {
	_, err := v.Proposer.ChangeReplicas(ctx, &operator.ChangeReplicasRequest{Action: string(change.Action), Vm: change.ID})
	v.Log.Info("change of the set of replicas was proposed; it is proposed again while it is needed", "action", string(change.Action), "replica", change.ID, "error", err)
	return err
}

// allowChange refuses a change that would leave fewer voters than intended.
func (v *VM) allowChange(status raft.Status, change replicaset.Change) bool {
	return replicaset.Allowed(status, change, v.Config.Replicas)
}
