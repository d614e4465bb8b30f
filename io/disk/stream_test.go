package disk_test

import (
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"kingcuprill/core/raft"
	"kingcuprill/io/disk"
)

// allocated returns the bytes that a function allocates.
func allocated(run func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}

// largeEntries returns entries of 1 MB each.
func largeEntries(first, count uint64) (entries []raft.Entry) {
	for index := first; index < first+count; index++ {
		entries = append(entries, raft.Entry{Index: index, Term: 1, Kind: raft.EntryCommand, Data: make([]byte, 1<<20)})
	}
	return entries
}

// TestStartReadsTheLogOnce opens a folder with a log of many large entries, and replaces the
// log by a snapshot. Beside the entries, neither may need the memory for as many again.
func TestStartReadsTheLogOnce(t *testing.T) {
	const count = 32 // entries of 1 MB
	folder := formatFolder(t)
	store, _ := open(t, folder)
	for _, entry := range largeEntries(1, count) {
		if err := store.Save(raft.HardState{Term: 1, Commit: entry.Index - 1}, []raft.Entry{entry}, true); err != nil {
			t.Fatal(err)
		}
	}
	store.Close()
	var saved disk.Saved
	if used := allocated(func() { store, saved = open(t, folder) }); used > (count+8)<<20 {
		t.Errorf("the start has allocated %d MB for %d entries of 1 MB, want at most %d", used>>20, count, count+8)
	}
	if len(saved.Entries) != count {
		t.Errorf("%d entries were read, want %d", len(saved.Entries), count)
	}
	snapshot := raft.Snapshot{Index: 1, Term: 1, Data: make([]byte, 1<<20)}
	used := allocated(func() {
		if err := store.SaveSnapshot(snapshot, saved.HardState, saved.Entries[1:]); err != nil {
			t.Fatal(err)
		}
	})
	if used > (count+8)<<20 {
		t.Errorf("a snapshot with %d entries of 1 MB has allocated %d MB, want at most %d", count-1, used>>20, count+8)
	}
	store.Close()
	if _, saved = open(t, folder); len(saved.Entries) != count-1 || saved.Snapshot.Index != 1 {
		t.Errorf("snapshot %d and %d entries were read, want 1 and %d", saved.Snapshot.Index, len(saved.Entries), count-1)
	}
}

// TestDamageIsFoundBehindLargeGaps damages a record in front of one that begins far behind
// it, beyond what is read at once.
func TestDamageIsFoundBehindLargeGaps(t *testing.T) {
	folder := formatFolder(t)
	store, _ := open(t, folder)
	for _, entry := range largeEntries(1, 3) {
		if err := store.Save(raft.HardState{Term: 1}, []raft.Entry{entry}, true); err != nil {
			t.Fatal(err)
		}
	}
	size := store.Size()
	store.Close()
	path := filepath.Join(folder, "log")
	log, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at, damaged := range map[int64]bool{size / 2: true, size - 10: false} {
		broken := append([]byte(nil), log...)
		broken[at] ^= 1
		if err := os.WriteFile(path, broken, 0o600); err != nil {
			t.Fatal(err)
		}
		store, saved, err := disk.Open(folder, identity)
		if err == nil {
			store.Close()
		}
		if (err != nil) != damaged || (err == nil && len(saved.Entries) != 2) {
			t.Errorf("byte %d of %d is damaged: %d entries, error %v", at, size, len(saved.Entries), err)
		}
	}
}

// TestFullDiskBetweenBatches lets the second write of a large save fail halfway. The same
// save must succeed later, and each entry be there once.
func TestFullDiskBetweenBatches(t *testing.T) {
	folder := formatFolder(t)
	store, _ := open(t, folder)
	full, writes := errors.New("no space left on device"), 0
	store.BeforeWrite = func(size int) (int, error) {
		if writes++; writes == 2 {
			return size / 2, full
		}
		return size, nil
	}
	hard, entries := raft.HardState{Term: 1, Vote: "vm-1"}, largeEntries(1, 20)
	if err := store.Save(hard, entries, true); !errors.Is(err, full) || errors.Is(err, disk.ErrSync) {
		t.Fatalf("error %v, want the disk's own", err)
	}
	if err := store.Save(hard, entries, true); err != nil {
		t.Fatal(err)
	}
	store.Close()
	_, saved := open(t, folder)
	if len(saved.Entries) != 20 || saved.Entries[19].Index != 20 || saved.HardState != hard {
		t.Errorf("%d entries and hard state %+v were read, want 20 and %+v", len(saved.Entries), saved.HardState, hard)
	}
}
