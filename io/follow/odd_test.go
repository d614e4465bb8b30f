package follow

import (
	"log/slog"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcuprill/core/instance"
	"kingcuprill/io/codec"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/rpc/vm"
)

// lines keeps the lines of a log.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(line))
	return len(line), nil
}

// odd returns registrations that no target has, by what is odd.
func odd() map[string]func(r *instance.Registration) {
	far := time.Now().Add(200 * 365 * 24 * time.Hour)
	return map[string]func(r *instance.Registration){
		"unknown state":  func(r *instance.Registration) { r.State = 9 },
		"port too large": func(r *instance.Registration) { r.Address = "10.0.0.1:70000" },
		"port 0":         func(r *instance.Registration) { r.Address = "10.0.0.1:0" },
		"no address":     func(r *instance.Registration) { r.Address = "" },
		"name":           func(r *instance.Registration) { r.Address = "host:80" },
		"no service":     func(r *instance.Registration) { r.Service = "" },
		"long service":   func(r *instance.Registration) { r.Service = strings.Repeat("s", 10000) },
		"negative slots": func(r *instance.Registration) { r.Slots = -1 },
		"huge slots":     func(r *instance.Registration) { r.Slots = math.MaxInt32 },
		"huge start":     func(r *instance.Registration) { r.Born = math.MaxInt64 },
		"huge sequence":  func(r *instance.Registration) { r.Sequence = math.MaxInt64 },
		"always cold":    func(r *instance.Registration) { r.ColdUntil = far },
		"leaves late":    func(r *instance.Registration) { r.LeaveBy = far },
	}
}

// A control VM of another release sends rows that no target has. They must be left out,
// without an end of the polls, and the others hold.
func TestOddRowsAreLeftOut(t *testing.T) {
	c := startControl(t, "c", "near")
	sound := instance.Registration{ID: "sound", Service: "s", Address: "10.0.0.1:80", DataCentre: "near", State: instance.Ready, Born: 5, Heard: time.Now()}
	c.server.Targets.Put("sound", sound, true)
	for name, change := range odd() {
		row := sound
		row.ID = name
		change(&row)
		c.server.Targets.Put(name, row, true)
	}
	same := sound
	same.State, same.Born = 9, 6
	c.server.Targets.Put("same id", same, true)
	log := &lines{}
	f := startLoggedFollower(t, slog.New(slog.NewTextHandler(log, nil)), c)
	eventually.Until(t, "the later target is known", func() bool {
		late := sound
		late.ID = "later"
		c.server.Targets.Put("later", late, true)
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.targets["later"].ID != ""
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) != 2 || f.targets["sound"].State != instance.Ready || f.targets["sound"].Born != 5 {
		t.Errorf("%d targets, the sound one is %.100v", len(f.targets), f.targets["sound"])
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.all) != 1 || len(log.all[0]) > 1000 {
		t.Errorf("%d lines, %.3000q", len(log.all), log.all)
	}
}

// FuzzRegistration feeds rows of any content to the checks of an entry VM.
func FuzzRegistration(f *testing.F) {
	f.Add("a", "s", "10.0.0.1:80", uint32(1), int32(8), int64(5), int64(1), int64(0), int64(0), int64(0))
	f.Add("", "\xff", "[::1%x]:0", uint32(math.MaxUint32), int32(math.MinInt32), int64(math.MinInt64), int64(math.MaxInt64), int64(math.MinInt64), int64(math.MaxInt64), int64(math.MaxInt64))
	f.Add("a", "s", "10.0.0.1:80", uint32(257), int32(-1), int64(-1), int64(-1), int64(math.MaxInt64), int64(-1), int64(-1))
	f.Fuzz(func(t *testing.T, id, service, address string, state uint32, slots int32, born, sequence, heard, cold, leave int64) {
		now := time.Now()
		row := codec.ToRegistration(&vm.Registration{
			Id: id, Service: service, DataCentre: "d", Address: address, State: state, Slots: slots, BornUnixMilliseconds: born, Sequence: sequence,
			HeardNanoseconds: heard, ColdNanoseconds: cold, LeaveNanoseconds: leave,
		}, now)
		if row.Check(now) != nil {
			return
		}
		if row.State > instance.Left || uint32(row.State) != state || row.Slots < 0 || row.Heard.After(now.Add(time.Minute)) {
			t.Errorf("accepted %+v", row)
		}
		if again := codec.ToRegistration(codec.FromRegistration(row, now), now); again.State != row.State || again.Slots != row.Slots || again.Born != row.Born {
			t.Errorf("%+v became %+v", row, again)
		}
	})
}
