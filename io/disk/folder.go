package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
)

// Identity binds a data folder to one replica of one cluster.
type Identity struct {
	ClusterID string
	VM        string
}

type identityJSON struct {
	ClusterID string `json:"cluster_id"`
	VM        string `json:"vm"`
}

// Format creates the data folder of a replica. With a membership, the replica is one
// of the first of a new cluster; with an empty one, it joins as a learner. It fails
// for a folder that holds a replica already.
func Format(folder string, identity Identity, first raft.Membership) (err error) {
	defer fault.Annotate(&err, "format data folder %s", folder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(folder, identityFile)); err == nil {
		return errors.New("it holds a replica already; to replace a lost replica, use an empty folder")
	}
	snapshot := raft.Snapshot{Membership: first}
	s := &Store{folder: folder}
	if err := s.writeSnapshotFile(snapshot); err != nil {
		return err
	}
	empty := func(*os.File) error { return nil }
	if err := s.replaceFile(logFile, empty); err != nil {
		return err
	}
	if err := s.replaceFile(withdrawnFile, empty); err != nil {
		return err
	}
	data, err := json.Marshal(identityJSON(identity))
	if err != nil {
		return err
	}
	return s.replaceFile(identityFile, func(file *os.File) error { return s.write(file, data) })
}

// ReadIdentity returns the replica that a data folder holds, if it holds one.
func ReadIdentity(folder string) (identity Identity, found bool, err error) {
	defer fault.Annotate(&err, "read the identity of data folder %s", folder)
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return identity, false, nil
	}
	if err != nil {
		return identity, false, err
	}
	var stored identityJSON
	if err := json.Unmarshal(data, &stored); err != nil {
		return identity, false, fmt.Errorf("%s: %w", identityFile, err)
	}
	return Identity(stored), true, nil
}

func (s *Store) acquireLock() (err error) {
	if _, err := os.Stat(s.path(identityFile)); errors.Is(err, fs.ErrNotExist) {
		return errors.New("it holds no replica; run kingcuprilld --format for a new cluster, or --format --join for a replica that joins or replaces a lost one")
	}
	s.lock, err = os.OpenFile(s.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(s.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		s.lock.Close()
		return fmt.Errorf("another process has it open: %w", err)
	}
	return nil
}

func (s *Store) checkIdentity(identity Identity) error {
	data, err := os.ReadFile(s.path(identityFile))
	if err != nil {
		return err
	}
	var stored identityJSON
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("%s: %w", identityFile, err)
	}
	if stored.ClusterID != identity.ClusterID {
		return fmt.Errorf("it belongs to cluster %q, the settings say cluster.id %q", stored.ClusterID, identity.ClusterID)
	}
	if stored.VM != identity.VM {
		return fmt.Errorf("it belongs to VM %q, the settings say vm.id %q", stored.VM, identity.VM)
	}
	return nil
}
