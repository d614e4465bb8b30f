package replica_test

import (
	"bytes"
	"context"
	"io/fs"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/io/disk"
	"kingcuprill/rpc/state"
)

// largePlan returns a change to a plan with a document of a number of bytes.
func largePlan(version uint64, size int) *state.Command {
	command := putPlan(version)
	command.GetChange().GetPutPlan().Document = bytes.Repeat([]byte{byte(version)}, size)
	return command
}

// folderBytes returns the size of the files in a data folder.
func folderBytes(t *testing.T, folder string) (size int64) {
	t.Helper()
	err := filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		size += info.Size()
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// TestLargeChangesKeepTheLogShort commits many changes of a large document. The log must
// stay bounded in bytes, not only in entries, and a new start must find the newest plan.
func TestLargeChangesKeepTheLogShort(t *testing.T) {
	const changes, size, bound = 120, 512 << 10, 40 << 20 // bytes
	synctest.Test(t, func(t *testing.T) {
		folder := filepath.Join(t.TempDir(), "data")
		store, contents := savedIn(t, folder, nil)
		r, inForce := run(t, store, contents)
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		most := int64(0)
		for version := uint64(1); version <= changes; version++ {
			if _, err := r.Propose(ctx, largePlan(version, size)); err != nil {
				t.Fatal(err)
			}
			most = max(most, folderBytes(t, folder))
		}
		if most > bound {
			t.Errorf("after up to %d changes of %d KB, the data folder had %d MB, want at most %d", changes, size>>10, most>>20, bound>>20)
		}
		store.Close()
		again, contents, err := disk.Open(folder, disk.Identity{ClusterID: "test", VM: "a"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(again.Close)
		_, inForceAgain := run(t, again, contents)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if inForce() != changes || inForceAgain() != changes {
			t.Errorf("plan %d is in force, and plan %d after a new start, want %d", inForce(), inForceAgain(), changes)
		}
	})
}
