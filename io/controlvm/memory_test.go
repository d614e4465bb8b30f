package controlvm

import (
	"log/slog"
	"runtime/debug"
	"testing"
	"time"

	"kingcuprill/io/vmconfig"
)

// TestMemoryIsLimitedBeforeTheLogIsRead expects a memory limit of the garbage collector once
// the log has been read, which needs the most memory after a kill of all.
func TestMemoryIsLimitedBeforeTheLogIsRead(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	const memory = 280 << 20 // bytes
	_, err := New(vmconfig.Config{ID: "c", DataDir: t.TempDir() + "/data", PeerAddress: "127.0.0.1:1", Heartbeat: time.Second, MemoryBytes: memory}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if limit := debug.SetMemoryLimit(-1); limit <= 0 || limit >= memory/2 {
		t.Errorf("the memory limit is %d bytes, want one below half of %d", limit, memory)
	}
}
