package controlvm

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"kingcuprill/core/instance"
	"kingcuprill/io/vmconfig"
)

// Entry VMs may use a target as soon as its registration is published. Its version must
// have been heard of by then: a stream of it may break off at once.
func TestVersionIsHeardBeforeTheTargetIsUsed(t *testing.T) {
	v, err := New(vmconfig.Config{ID: "c", DataDir: t.TempDir() + "/data", PeerAddress: "127.0.0.1:1", Seeds: []string{"127.0.0.1:1"}, FirstStart: true, Heartbeat: time.Second}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	published := 0
	v.registry.Table.Group = func(row instance.Registration) string {
		published++
		if versions, _ := v.streams.Heard.Recent(row.Service, time.Now()); !slices.Contains(versions, row.Version) {
			t.Errorf("version %s is published while only %v have been heard of", row.Version, versions)
		}
		return ""
	}
	for sequence, version := range []string{"v1", "v2"} {
		v.Report(instance.Registration{ID: "t", Service: "s", Address: "127.0.0.1:2", Version: version, State: instance.Ready, Born: int64(1 + sequence), Heard: time.Now()})
	}
	if published == 0 {
		t.Error("nothing was published")
	}
}
