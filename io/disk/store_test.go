package disk_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"kingcuprill/core/raft"
	"kingcuprill/io/disk"
)

var identity = disk.Identity{ClusterID: "test", VM: "vm-1"}

func open(t *testing.T, folder string) (*disk.Store, disk.Saved) {
	t.Helper()
	store, saved, err := disk.Open(folder, identity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return store, saved
}

func formatFolder(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	if err := disk.Format(folder, identity, raft.Membership{Voters: []string{"vm-1"}}); err != nil {
		t.Fatal(err)
	}
	return folder
}

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: []byte(fmt.Sprintf("command %d of term %d", index, term))}
}

// writeEntries writes five entries, each synced, and closes the folder. It returns
// the size of the log after each, in bytes.
func writeEntries(t *testing.T, folder string) (sizes []int64) {
	t.Helper()
	store, _ := open(t, folder)
	for i := uint64(1); i <= 5; i++ {
		if err := store.Save(raft.HardState{Term: 1, Vote: "vm-1", Commit: i - 1}, []raft.Entry{entry(i, 1)}, true); err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, store.Size())
	}
	store.Close()
	return sizes
}

// TestTornTail truncates the log at every byte, as a crash during a write can.
// Every entry whose write was complete at the cut must be read, unchanged, and at most
// one entry more.
func TestTornTail(t *testing.T) {
	folder := formatFolder(t)
	sizes := writeEntries(t, folder)
	original, err := os.ReadFile(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	for length := range original {
		if err := os.WriteFile(filepath.Join(folder, "log"), original[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		store, saved := open(t, folder)
		store.Close()
		want := 0
		for _, size := range sizes {
			if int64(length) >= size {
				want++
			}
		}
		if len(saved.Entries) < want || len(saved.Entries) > want+1 {
			t.Fatalf("cut at byte %d: %d entries, want %d or one more", length, len(saved.Entries), want)
		}
		for i, e := range saved.Entries {
			if e.Index != uint64(i+1) || string(e.Data) != string(entry(e.Index, 1).Data) {
				t.Fatalf("cut at byte %d: entry %d is %+v", length, i+1, e)
			}
		}
	}
}

// TestDamagedMiddle flips a bit in each byte before the last write. Open must fail
// with the file and the offset, and must not drop the entries behind the damage.
func TestDamagedMiddle(t *testing.T) {
	folder := formatFolder(t)
	sizes := writeEntries(t, folder)
	path := filepath.Join(folder, "log")
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range sizes[3] {
		broken := slices.Clone(original)
		broken[at] ^= 0x20
		if err := os.WriteFile(path, broken, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := disk.Open(folder, identity)
		if !errors.Is(err, disk.ErrDamaged) || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "offset") {
			t.Fatalf("byte %d flipped: error %v, want one that names the file and the offset", at, err)
		}
	}
}

// The log was replaced by a shorter one, and then the sync of the folder failed. What was
// saved later went to the file that no longer had a name, was acknowledged, and was lost.
func TestNothingIsSavedToAReplacedLog(t *testing.T) {
	folder := formatFolder(t)
	writeEntries(t, folder)
	store, saved := open(t, folder)
	broken := errors.New("too many open files")
	syncs := 0
	store.BeforeFolderSync = func() error {
		syncs++
		if syncs == 2 { // the first one is that of the snapshot
			return broken
		}
		return nil
	}
	snapshot := raft.Snapshot{Index: 2, Term: 1, Membership: saved.Snapshot.Membership}
	if err := store.SaveSnapshot(snapshot, raft.HardState{Term: 1}, saved.Entries[2:]); !errors.Is(err, broken) {
		t.Fatalf("error %v, want %v", err, broken)
	}
	if err := store.Save(raft.HardState{Term: 2}, []raft.Entry{entry(6, 2)}, true); !errors.Is(err, disk.ErrSync) {
		t.Errorf("an entry is saved, error %v, want %v", err, disk.ErrSync)
	}
}

// TestFullDisk lets a write fail with a disk error. The log must be unchanged, and
// the same write must succeed later.
func TestFullDisk(t *testing.T) {
	folder := formatFolder(t)
	writeEntries(t, folder)
	store, _ := open(t, folder)
	full := errors.New("no space left on device")
	store.BeforeWrite = func(int) (int, error) { return 0, full }
	next := []raft.Entry{entry(6, 1)}
	if err := store.Save(raft.HardState{Term: 1}, next, true); !errors.Is(err, full) || errors.Is(err, disk.ErrSync) {
		t.Fatalf("error %v, want the disk's own", err)
	}
	store.BeforeWrite = nil
	if err := store.Save(raft.HardState{Term: 1}, next, true); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if _, saved := open(t, folder); len(saved.Entries) != 6 {
		t.Fatalf("%d entries, want 6", len(saved.Entries))
	}
}

// TestSnapshotReplacesLog expects a new snapshot, the entries that follow it and an
// overwritten entry after a restart.
func TestSnapshotReplacesLog(t *testing.T) {
	folder := formatFolder(t)
	writeEntries(t, folder)
	store, _ := open(t, folder)
	snapshot := raft.Snapshot{Index: 3, Term: 1, Membership: raft.Membership{Voters: []string{"vm-1"}}, Data: []byte("state")}
	if err := store.SaveSnapshot(snapshot, raft.HardState{Term: 1, Commit: 5}, []raft.Entry{entry(4, 1), entry(5, 1)}); err != nil {
		t.Fatal(err)
	}
	if err := store.Save(raft.HardState{Term: 2}, []raft.Entry{entry(5, 2)}, true); err != nil {
		t.Fatal(err)
	}
	store.Close()
	_, saved := open(t, folder)
	if saved.Snapshot.Index != 3 || string(saved.Snapshot.Data) != "state" || saved.HardState.Term != 2 {
		t.Fatalf("snapshot %+v, hard state %+v", saved.Snapshot, saved.HardState)
	}
	if len(saved.Entries) != 2 || saved.Entries[1].Term != 2 {
		t.Fatalf("entries %+v, want 4 of term 1 and 5 of term 2", saved.Entries)
	}
}

// TestSnapshotBeforeLogCrash puts the old log beside an installed snapshot, as a crash
// between replacing the two files does. Entries of the old log must not be read as
// entries that follow the snapshot.
func TestSnapshotBeforeLogCrash(t *testing.T) {
	folder := formatFolder(t)
	writeEntries(t, folder)
	old, err := os.ReadFile(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	store, _ := open(t, folder)
	if err := store.SaveSnapshot(raft.Snapshot{Index: 4, Term: 3}, raft.HardState{Term: 3}, nil); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if err := os.WriteFile(filepath.Join(folder, "log"), old, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, saved := open(t, folder); len(saved.Entries) != 0 {
		t.Fatalf("entries %+v of the old log follow a snapshot of term 3", saved.Entries)
	}
}

// TestBinding expects errors for a second process, another VM, another cluster and a
// second format.
func TestBinding(t *testing.T) {
	folder := formatFolder(t)
	store, _ := open(t, folder)
	if _, _, err := disk.Open(folder, identity); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second open: %v", err)
	}
	store.Close()
	for _, other := range []disk.Identity{{ClusterID: "test", VM: "vm-2"}, {ClusterID: "other", VM: "vm-1"}} {
		if _, _, err := disk.Open(folder, other); err == nil || !strings.Contains(err.Error(), "belongs to") {
			t.Errorf("open as %+v: %v", other, err)
		}
	}
	if err := disk.Format(folder, identity, raft.Membership{}); err == nil {
		t.Error("a folder that holds a replica was formatted again")
	}
}

// TestWithdrawnSurvives expects withdrawn keys after a restart.
func TestWithdrawnSurvives(t *testing.T) {
	folder := formatFolder(t)
	store, _ := open(t, folder)
	for _, key := range []string{"a", "b"} {
		if err := store.SaveWithdrawn([]string{key}); err != nil {
			t.Fatal(err)
		}
	}
	store.Close()
	if _, saved := open(t, folder); !slices.Equal(saved.Withdrawn, []string{"a", "b"}) {
		t.Fatalf("withdrawn %v", saved.Withdrawn)
	}
}

// TestFullDiskOfWithdrawnKeys lets a write of withdrawn keys fail halfway. The part
// that was written must not damage the file: keys that are saved later must be there
// after a restart.
func TestFullDiskOfWithdrawnKeys(t *testing.T) {
	folder := formatFolder(t)
	store, _ := open(t, folder)
	full := errors.New("no space left on device")
	store.BeforeWrite = func(size int) (int, error) { return size / 2, full }
	if err := store.SaveWithdrawn([]string{"a"}); !errors.Is(err, full) {
		t.Fatalf("error %v, want the disk's own", err)
	}
	store.BeforeWrite = nil
	if err := store.SaveWithdrawn([]string{"b"}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if _, saved := open(t, folder); !slices.Equal(saved.Withdrawn, []string{"b"}) {
		t.Fatalf("withdrawn %v, want b", saved.Withdrawn)
	}
}

// TestLargeSnapshot saves a snapshot that is larger than one record can hold.
func TestLargeSnapshot(t *testing.T) {
	folder := formatFolder(t)
	store, _ := open(t, folder)
	snapshot := raft.Snapshot{Index: 3, Term: 1, Data: bytes.Repeat([]byte("state"), 17<<20/5)}
	if err := store.SaveSnapshot(snapshot, raft.HardState{Term: 1, Commit: 3}, nil); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if _, saved := open(t, folder); saved.Snapshot.Index != 3 || !bytes.Equal(saved.Snapshot.Data, snapshot.Data) {
		t.Fatalf("snapshot of index %d and %d bytes, want index 3 and %d bytes", saved.Snapshot.Index, len(saved.Snapshot.Data), len(snapshot.Data))
	}
}

// TestLargeBatch saves entries at once that together are larger than one record can
// hold, and then one that alone is.
func TestLargeBatch(t *testing.T) {
	folder := formatFolder(t)
	store, _ := open(t, folder)
	large := func(index uint64, size int) raft.Entry {
		return raft.Entry{Index: index, Term: 1, Kind: raft.EntryCommand, Data: make([]byte, size)}
	}
	if err := store.Save(raft.HardState{Term: 1}, []raft.Entry{large(1, 9<<20), large(2, 9<<20), large(3, 1)}, true); err != nil {
		t.Fatal(err)
	}
	if err := store.Save(raft.HardState{Term: 1}, []raft.Entry{large(4, 17<<20)}, true); !errors.Is(err, disk.ErrTooLarge) {
		t.Errorf("error %v for an entry of 17 MiB, want one that says it is too large", err)
	}
	store.Close()
	if _, saved := open(t, folder); len(saved.Entries) != 3 || saved.HardState.Term != 1 {
		t.Fatalf("%d entries, term %d, want 3 of term 1", len(saved.Entries), saved.HardState.Term)
	}
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte("not a log"))
	f.Add(make([]byte, 64))
	folder := filepath.Join(f.TempDir(), "data")
	if err := disk.Format(folder, identity, raft.Membership{Voters: []string{"vm-1"}}); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, log []byte) {
		if err := os.WriteFile(filepath.Join(folder, "log"), log, 0o600); err != nil {
			t.Fatal(err)
		}
		store, saved, err := disk.Open(folder, identity) // must not panic
		if err == nil {
			store.Close()
		} else if len(saved.Entries) > 0 {
			t.Error("entries came with an error")
		}
	})
}
