package replica_test

import (
	"context"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/raft"
	"kingcuprill/io/disk"
	"kingcuprill/io/replica"
)

// delay is the time that a message takes from one replica to another, beside its bytes.
const delay = 55 * time.Millisecond

// path carries messages from one replica to another, one after the other, at a number of
// bytes in a second.
type path struct {
	messages  chan raft.Message
	open      atomic.Bool
	snapshots atomic.Int64
	perSecond int
}

func newPath(t *testing.T, to *replica.Replica, perSecond int) *path {
	t.Helper()
	p := &path{messages: make(chan raft.Message, 1024), perSecond: perSecond}
	done := t.Context().Done()
	go func() {
		for {
			select {
			case <-done:
				return
			case m := <-p.messages:
				time.Sleep(time.Duration(size(m)) * time.Second / time.Duration(p.perSecond))
				if p.open.Load() {
					time.AfterFunc(delay, func() { to.Step([]raft.Message{m}) })
				}
			}
		}
	}()
	return p
}

func size(m raft.Message) (bytes int) {
	for _, entry := range m.Entries {
		bytes += len(entry.Data)
	}
	if m.Snapshot != nil {
		bytes += len(m.Snapshot.Data)
	}
	return bytes
}

// paths sends messages over the path to each replica.
type paths map[string]*path

func (p paths) Send(to string, messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.InstallSnapshot {
			p[to].snapshots.Add(1)
		}
		select {
		case p[to].messages <- m:
		default: // lost
		}
	}
}

// TestSnapshotsEndWhileChangesGoOn starts a replica with an empty log beside two that change
// a large plan without a pause. It must catch up with few snapshots, not get one after the
// other, each of which is too old when it has arrived.
func TestSnapshotsEndWhileChangesGoOn(t *testing.T) {
	const size, every, perSecond = 512 << 10, 50 * time.Millisecond, 8 << 20 // about 3 of 8 MB/s, as a commit takes 175 ms
	synctest.Test(t, func(t *testing.T) {
		members := raft.Membership{Voters: []string{"a", "b", "c"}}
		replicas, links := map[string]*replica.Replica{}, paths{}
		var group tomb.Tomb
		group.Go(func() error { <-group.Dying(); return nil })
		for _, id := range members.Voters {
			folder, identity := filepath.Join(t.TempDir(), "data"), disk.Identity{ClusterID: "test", VM: id}
			if err := disk.Format(folder, identity, members); err != nil {
				t.Fatal(err)
			}
			store, contents, err := replica.Open(folder, identity, 4<<20)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(store.Close)
			replicas[id] = replica.New(replica.Options{
				ID: id, Store: store, Saved: contents, Transport: links, Log: slog.New(slog.DiscardHandler), TickEvery: 45 * time.Millisecond,
				SnapshotBytes: 4 << 20, Published: func(*catalogue.Catalogue, *catalogue.Change) {},
			})
			links[id] = newPath(t, replicas[id], perSecond)
			links[id].open.Store(id != "c")
		}
		t.Cleanup(func() { group.Kill(nil); _ = group.Wait() })
		for _, id := range []string{"a", "b"} {
			group.Go(func() error { return replicas[id].Run(&group) })
		}
		time.Sleep(5 * time.Second)
		leader := replicas["a"]
		if replicas["b"].Status().Role == raft.Leader {
			leader = replicas["b"]
		}
		change := func(versions ...uint64) {
			for version := versions[0]; version <= versions[1]; version++ {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				if _, err := leader.Propose(ctx, largePlan(version, size)); err != nil {
					t.Fatal(err)
				}
				cancel()
				time.Sleep(every)
			}
		}
		change(1, 40)
		links["c"].open.Store(true)
		group.Go(func() error { return replicas["c"].Run(&group) })
		change(41, 160)
		behind := leader.Status().Applied - replicas["c"].Status().Applied
		if sent := links["c"].snapshots.Load(); behind > 4 || sent == 0 || sent > 3 {
			t.Errorf("after 120 changes it is %d entries behind and got %d snapshots, want at most 4, and 1 to 3", behind, sent)
		}
	})
}
