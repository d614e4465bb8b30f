package disk

import (
	"os"
	"path/filepath"
	"testing"

	"kingcuprill/core/raft"
)

// TestPowerLoss guards against synced entries being lost, or the log being refused,
// after a power loss. Any part of what was written after the last sync may be
// missing, so the test zeroes each range of sectors behind the last sync.
func TestPowerLoss(t *testing.T) {
	identity := Identity{ClusterID: "c", VM: "a"}
	membership := raft.Membership{Voters: []string{"a"}}
	folder := t.TempDir()
	if err := Format(folder, identity, membership); err != nil {
		t.Fatal(err)
	}
	s, _, err := Open(folder, identity)
	if err != nil {
		t.Fatal(err)
	}
	save := func(index, commit uint64, sync bool) {
		entries := []raft.Entry{}
		if sync {
			entries = append(entries, raft.Entry{Index: index, Term: 1, Kind: raft.EntryCommand, Data: []byte("data of an entry")},
				raft.Entry{Index: index + 1, Term: 1, Kind: raft.EntryCommand, Data: []byte("data of another")})
		}
		if err := s.Save(raft.HardState{Term: 1, Vote: "a", Commit: commit}, entries, sync); err != nil {
			t.Fatal(err)
		}
	}
	save(1, 0, true)
	synced := s.Size()
	save(0, 1, false)
	save(0, 2, false)
	save(3, 2, true)
	s.Close()
	path := filepath.Join(folder, logFile)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const sector = 16 // bytes; smaller than any record
	for from := int(synced); from < len(original); from += sector {
		for to := from + sector; to <= len(original)+sector; to += sector {
			torn := append([]byte(nil), original...)
			clear(torn[from:min(to, len(torn))])
			if err := os.WriteFile(path, torn, 0o600); err != nil {
				t.Fatal(err)
			}
			s, saved, err := Open(folder, identity)
			if err != nil {
				t.Fatalf("bytes %d to %d of %d are missing: %v", from, to, len(original), err)
			}
			if len(saved.Entries) < 2 {
				t.Fatalf("bytes %d to %d are missing: synced entries are lost, %d are left", from, to, len(saved.Entries))
			}
			s.Close()
		}
	}
}
