package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

// applyReady applies the snapshot and the committed entries. It stops before what this
// build can't apply and takes these entries out of ready: to skip one would let the state
// differ from that of other replicas from then on.
func (r *Replica) applyReady(ready *raft.Ready) {
	if ready.Snapshot != nil {
		if err := r.restore(*ready.Snapshot); err != nil {
			r.hold(ready.Snapshot.Index+1, err)
			ready.Committed = nil
		}
	}
	for i, entry := range ready.Committed {
		if err := r.apply(entry); err != nil {
			r.hold(entry.Index, err)
			ready.Committed = ready.Committed[:i]
			return
		}
	}
}

func (r *Replica) hold(index uint64, err error) {
	r.node.Hold(index)
	r.options.Log.Error("the control log can't be applied further; this replica votes and keeps the log, but doesn't lead until a build that can apply it runs", "entry", index, "error", err)
}

func (r *Replica) restore(snapshot raft.Snapshot) error {
	r.captured = nil
	r.sinceCapture, r.capturedBytes = 0, len(snapshot.Data)
	s, err := codec.DecodeState(snapshot.Data)
	if err != nil {
		return err
	}
	r.state = s
	for index, w := range r.pendingProposals {
		if index <= snapshot.Index {
			w.answer <- proposalAnswer{err: fault.New(fault.OutcomeUnknown, "the control log was replaced by a snapshot before the result of the command was known")}
			delete(r.pendingProposals, index)
		}
	}
	r.options.Published(r.state.Catalogue, nil)
	return nil
}

func (r *Replica) apply(entry raft.Entry) (err error) {
	defer fault.Annotate(&err, "apply entry %d of the control log", entry.Index)
	result := control.Result{Revision: r.state.Catalogue.Revision}
	switch entry.Kind {
	case raft.EntryNoop, raft.EntryMembership:
	case raft.EntryCommand:
		if result, err = r.applyCommand(entry.Data); err != nil {
			return err
		}
	default:
		return fmt.Errorf("kind %d of entry: %w", entry.Kind, codec.ErrNewer)
	}
	r.answer(entry, result)
	r.captureSnapshot(entry)
	return nil
}

func (r *Replica) applyCommand(data []byte) (result control.Result, err error) {
	command, err := decodeCommand(data)
	if err != nil {
		return result, err
	}
	before := r.state.Catalogue
	result = r.state.Apply(command)
	if r.state.Catalogue != before {
		r.options.Published(r.state.Catalogue, command.Change)
	}
	return result, nil
}

func decodeCommand(data []byte) (command control.Command, err error) {
	message := &state.Command{}
	if err := proto.Unmarshal(data, message); err != nil {
		return command, err
	}
	return codec.ToCommand(message)
}

func (r *Replica) answer(entry raft.Entry, result control.Result) {
	w, found := r.pendingProposals[entry.Index]
	if !found {
		return
	}
	delete(r.pendingProposals, entry.Index)
	if w.term != entry.Term {
		w.answer <- proposalAnswer{err: fault.New(fault.NoQuorum, "another leader was elected before the change was committed; the change was not made")}
		return
	}
	w.answer <- proposalAnswer{result: result}
}
