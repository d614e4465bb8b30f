package replica_test

import (
	"context"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/disk"
	"kingcuprill/io/replica"
	"kingcuprill/rpc/state"
)

// unknownField is a field that no message of this build has.
const unknownField = 999

func unknown() []byte {
	return protowire.AppendString(protowire.AppendTag(nil, unknownField, protowire.BytesType), "new")
}

func putPlan(version uint64) *state.Command {
	plan := &state.Change_PutPlan{PutPlan: &state.Plan{Version: version, Document: []byte("{}")}}
	return &state.Command{AnyRevision: true, Kind: &state.Command_Change{Change: &state.Change{Kind: plan}}}
}

// newer returns a command that has a part which only a newer build knows.
func newer(t *testing.T, change func(command *state.Command)) []byte {
	t.Helper()
	command := putPlan(2)
	change(command)
	return encode(t, command)
}

func encode(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

type nowhere struct{}

func (nowhere) Send(string, []raft.Message) {}

// saved returns the data folder of a cluster of one replica: a snapshot of the state and
// entries that follow it, all of them committed.
func saved(t *testing.T, snapshot []byte, entries ...raft.Entry) (store *disk.Store, contents disk.Saved) {
	t.Helper()
	return savedIn(t, filepath.Join(t.TempDir(), "data"), snapshot, entries...)
}

// savedIn is saved with the path of the folder.
func savedIn(t *testing.T, folder string, snapshot []byte, entries ...raft.Entry) (store *disk.Store, contents disk.Saved) {
	t.Helper()
	identity := disk.Identity{ClusterID: "test", VM: "a"}
	members := raft.Membership{Voters: []string{"a"}}
	if err := disk.Format(folder, identity, members); err != nil {
		t.Fatal(err)
	}
	store, _, err := disk.Open(folder, identity)
	if err != nil {
		t.Fatal(err)
	}
	hard := raft.HardState{Term: 1, Vote: "a", Commit: 10}
	for i := range entries {
		hard.Commit++
		entries[i].Index, entries[i].Term = hard.Commit, 1
	}
	if err := store.SaveSnapshot(raft.Snapshot{Index: 10, Term: 1, Membership: members, Data: snapshot}, hard, entries); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store, contents, err = disk.Open(folder, identity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return store, contents
}

// run runs a replica of a cluster of one until the test ends. inForce returns the version
// of the plan that it has put in force last.
func run(t *testing.T, store *disk.Store, contents disk.Saved) (r *replica.Replica, inForce func() uint64) {
	t.Helper()
	var version atomic.Uint64
	r = replica.New(replica.Options{
		ID: "a", Store: store, Saved: contents, Transport: nowhere{}, Log: slog.New(slog.DiscardHandler), TickEvery: 45 * time.Millisecond,
		Published: func(c *catalogue.Catalogue, _ *catalogue.Change) { version.Store(c.Plan.Version) },
	})
	var group tomb.Tomb
	group.Go(func() error { return r.Run(&group) })
	t.Cleanup(func() {
		group.Kill(nil)
		if err := group.Wait(); err != nil {
			t.Errorf("the replica has ended by itself: %v", err)
		}
	})
	return r, version.Load
}

// TestNewerEntriesAreNotSkipped starts a replica on a log that a newer build has written.
// It must neither go on behind an entry that it can't apply, nor lead, nor end, and must
// keep the log.
func TestNewerEntriesAreNotSkipped(t *testing.T) {
	for name, entry := range map[string]raft.Entry{
		"kind of command": {Kind: raft.EntryCommand, Data: newer(t, func(c *state.Command) { c.Kind = nil; c.ProtoReflect().SetUnknown(unknown()) })},
		"kind of change":  {Kind: raft.EntryCommand, Data: newer(t, func(c *state.Command) { c.GetChange().Kind = nil; c.GetChange().ProtoReflect().SetUnknown(unknown()) })},
		"field":           {Kind: raft.EntryCommand, Data: newer(t, func(c *state.Command) { c.GetChange().GetPutPlan().ProtoReflect().SetUnknown(unknown()) })},
		"encoding":        {Kind: raft.EntryCommand, Data: []byte("not a message")},
		"kind of entry":   {Kind: raft.EntryMembership + 1, Data: encode(t, putPlan(2))},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, contents := saved(t, nil, raft.Entry{Kind: raft.EntryCommand, Data: encode(t, putPlan(1))}, entry, raft.Entry{Kind: raft.EntryCommand, Data: encode(t, putPlan(3))})
				r, inForce := run(t, store, contents)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				status := r.Status()
				if inForce() != 1 || status.Applied != 11 || status.Held != 12 || status.Role == raft.Leader {
					t.Errorf("plan %d is in force, entry %d applied, %d held, role %v, want plan 1, entries 11 and 12, and no leader", inForce(), status.Applied, status.Held, status.Role)
				}
				if status.LastIndex < 13 {
					t.Errorf("the log ends at entry %d, want all 13", status.LastIndex)
				}
			})
		})
	}
}

// TestNewerSnapshotIsNotCutDown starts a replica on a snapshot of a newer build. It must
// not go on with the part of the state that it knows.
func TestNewerSnapshotIsNotCutDown(t *testing.T) {
	snapshot := &state.Snapshot{Catalogue: &state.Catalogue{Revision: 5, Plan: &state.Plan{Version: 5}}}
	snapshot.Catalogue.ProtoReflect().SetUnknown(unknown())
	synctest.Test(t, func(t *testing.T) {
		store, contents := saved(t, encode(t, snapshot), raft.Entry{Kind: raft.EntryCommand, Data: encode(t, putPlan(6))})
		r, inForce := run(t, store, contents)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if status := r.Status(); inForce() != 0 || status.Held != 11 || status.Role == raft.Leader {
			t.Errorf("plan %d is in force, entry %d held, role %v, want no plan, entry 11, and no leader", inForce(), status.Held, status.Role)
		}
	})
}

// TestNewerCommandIsNotCommitted proposes a command of a newer build to a leader that
// couldn't apply it. The leader must refuse it and lead on.
func TestNewerCommandIsNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, contents := saved(t, nil)
		r, inForce := run(t, store, contents)
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for _, change := range []func(*state.Command){
			func(c *state.Command) { c.Kind = nil },
			func(c *state.Command) { c.Kind = nil; c.ProtoReflect().SetUnknown(unknown()) },
			func(c *state.Command) { c.GetChange().ProtoReflect().SetUnknown(unknown()) },
		} {
			command := putPlan(2)
			change(command)
			if result, err := r.Propose(ctx, command); fault.CodeOf(err) != fault.Invalid {
				t.Errorf("result %+v, error %v, want one of code %s", result, err, fault.Invalid)
			}
		}
		if _, err := r.Propose(ctx, putPlan(3)); err != nil || inForce() != 3 {
			t.Errorf("plan %d is in force, error %v, want plan 3", inForce(), err)
		}
	})
}
