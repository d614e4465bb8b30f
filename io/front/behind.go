package front

import (
	"context"
	"strconv"
	"time"
)

// revisionWait is how long a forwarded request waits for the configuration that the VM
// which has forwarded it goes by. All VMs usually get one within that time.
const revisionWait = 250 * time.Millisecond

// caughtUp reports whether the configuration of this VM is not older than that of the VM
// that has forwarded the request. One that doesn't name its revision, as one of an earlier
// release, is served.
func (x *exchange) caughtUp() bool {
	if x.from == "" {
		return true
	}
	revision, err := strconv.ParseUint(x.caller.Header.Get(hopRevision), 10, 64)
	return err != nil || x.awaitRevision(revision)
}

// awaitRevision waits for a configuration. It reports whether this VM has it or a newer one.
func (x *exchange) awaitRevision(revision uint64) bool {
	bounded, cancel := context.WithTimeout(x.caller.Context(), revisionWait)
	defer cancel()
	for {
		changed := x.server.State.Changed()
		if x.server.State.Read().Revision >= revision {
			return true
		}
		select {
		case <-changed:
		case <-bounded.Done():
			return false
		}
	}
}
