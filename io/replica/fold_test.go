package replica_test

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/raft"
	"kingcuprill/io/disk"
	"kingcuprill/io/replica"
)

// logOfProduction writes the log of a build that counts entries only: a large plan for each.
// The last entry isn't known to be committed.
func logOfProduction(t *testing.T, folder string, entries []raft.Entry) {
	t.Helper()
	store, _ := savedIn(t, folder, nil)
	for i := range entries {
		entries[i].Index, entries[i].Term = uint64(11+i), 1
		if err := store.Save(raft.HardState{Term: 1, Vote: "a", Commit: uint64(10 + i)}, entries[i:i+1], true); err != nil {
			t.Fatal(err)
		}
	}
	store.Close()
}

// largePlans returns entries with plans of 512 KB.
func largePlans(t *testing.T, count uint64) (entries []raft.Entry) {
	t.Helper()
	for version := uint64(1); version <= count; version++ {
		entries = append(entries, raft.Entry{Kind: raft.EntryCommand, Data: encode(t, largePlan(version, 512<<10))})
	}
	return entries
}

func openFolded(t *testing.T, folder string) (store *disk.Store, contents disk.Saved, bytes int) {
	t.Helper()
	store, contents, err := replica.Open(folder, disk.Identity{ClusterID: "test", VM: "a"}, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	for _, entry := range contents.Entries {
		bytes += len(entry.Data)
	}
	return store, contents, bytes
}

// TestLargeLogOfProductionIsFolded starts on a large log of a build that counts entries only.
// The start must not hold all of it, and loses nothing.
func TestLargeLogOfProductionIsFolded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := filepath.Join(t.TempDir(), "data")
		entries := largePlans(t, 40)
		members := raft.Membership{Voters: []string{"a"}, Learners: []string{"b"}}
		entries[20] = raft.Entry{Kind: raft.EntryMembership, Membership: &members}
		logOfProduction(t, folder, entries)
		store, contents, bytes := openFolded(t, folder)
		if bytes > 4<<20 {
			t.Errorf("%d MB of entries are in memory, want at most 4", bytes>>20)
		}
		_, inForce := run(t, store, contents)
		if size := folderBytes(t, folder); size > 4<<20 {
			t.Errorf("the data folder has %d MB, want at most 4", size>>20)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if inForce() != 40 {
			t.Errorf("plan %d is in force, want 40", inForce())
		}
		store.Close()
		_, again, _ := openFolded(t, folder)
		if got := again.Snapshot.Membership.Learners; len(got) != 1 || again.Snapshot.Index != 49 {
			t.Errorf("snapshot at entry %d with learners %v, want 49 with b", again.Snapshot.Index, got)
		}
	})
}

// TestNewerEntriesAreNotFolded starts on a large log with an entry that a newer build has
// written. The replica must hold there and keep what follows.
func TestNewerEntriesAreNotFolded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := filepath.Join(t.TempDir(), "data")
		entries := largePlans(t, 20)
		entries[14] = raft.Entry{Kind: raft.EntryMembership + 1, Data: []byte("new")}
		logOfProduction(t, folder, entries)
		store, contents, _ := openFolded(t, folder)
		r, inForce := run(t, store, contents)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if status := r.Status(); inForce() != 14 || status.Held != 25 || status.LastIndex != 30 || status.Role == raft.Leader {
			t.Errorf("plan %d is in force, entry %d is held, the log ends at %d, role %v, want plan 14, entries 25 and 30, and no leader", inForce(), status.Held, status.LastIndex, status.Role)
		}
	})
}
