package follow

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprill/io/rig/eventually"
)

// A control VM that isn't in the settings is silent to this VM only. As long as others name
// it, this VM must know it: targets of a new version may report there.
func TestSilentControlVMIsKeptWhileOthersNameIt(t *testing.T) {
	const silent = "127.0.0.1:1"
	first := startControl(t, "first", "region")
	var named atomic.Bool
	named.Store(true)
	first.server.controls = func() []string {
		if named.Load() {
			return []string{first.address, silent}
		}
		return []string{first.address}
	}
	f := startFollower(t, first)
	eventually.Until(t, "the silent control VM is known", func() bool { return slices.Contains(f.Polled(), silent) })
	long := time.Now().Add(-2 * dropAfter)
	if f.drop(silent, long) || !slices.Contains(f.Polled(), silent) {
		t.Fatal("a control VM that another one names is forgotten")
	}
	named.Store(false)
	first.change(1, "document")
	eventually.Until(t, "it is forgotten once none names it", func() bool { return f.drop(silent, long) })
}
