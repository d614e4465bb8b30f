package controlvm

import (
	"runtime/debug"

	"kingcuprill/io/vmconfig"
)

const (
	// memoryShare is the part of the VM's memory that is the soft memory limit of the
	// garbage collector. A control VM needs little of it for itself; the rest is for calls
	// with large configurations that come together.
	memoryShare = 0.4
	// snapshotShare is the part of the VM's memory that the applied entries may have before
	// a snapshot is taken. The log has at most one and a half times as much.
	snapshotShare = 1.0 / 16
)

// limitMemory sets the memory limit of the garbage collector of this process. 0 is none.
func limitMemory(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memory)))
	}
}

// snapshotBytes is the size of the applied entries after which a snapshot is taken, 0 if the
// settings name no memory.
func snapshotBytes(c vmconfig.Config) int {
	return int(snapshotShare * float64(c.MemoryBytes))
}
