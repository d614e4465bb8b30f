package coordinator

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/rpc/entry"
)

// The time after which a request leaves its region must reach the coordinator, and an earlier
// build, which doesn't know it, must get the same bytes as before where it isn't set.
func TestLeaveAfterOnTheWire(t *testing.T) {
	r := request()
	plain, err := proto.Marshal(fromRequest(r))
	if err != nil {
		t.Fatal(err)
	}
	r.LeaveAfter = 400 * time.Millisecond
	data, err := proto.Marshal(fromRequest(r))
	if err != nil || len(data) <= len(plain) {
		t.Fatalf("%d bytes, %d without it, %v", len(data), len(plain), err)
	}
	for want, sent := range map[time.Duration][]byte{r.LeaveAfter: data, 0: plain} {
		m := &entry.ReserveRequest{}
		if err := proto.Unmarshal(sent, m); err != nil || toRequest(m, time.Now()).LeaveAfter != want {
			t.Errorf("%v, want %v, %v", toRequest(m, time.Now()).LeaveAfter, want, err)
		}
	}
}
