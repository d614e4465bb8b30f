package follow

import (
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"kingcuprill/core/catalogue"
	"kingcuprill/io/codec"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/rpc/state"
)

// An entry VM that can't put the newest catalogue in force must not renew its lease: the
// catalogue that it acts on may have keys that were withdrawn since.
func TestLeaseEndsWithoutTheNewestCatalogue(t *testing.T) {
	c := startControl(t, "c", "near")
	f := startFollower(t, c)
	c.change(1, "fine")
	eventually.Until(t, "the lease holds", f.Lease.Valid)
	c.change(2, unusable)
	eventually.Until(t, "the lease ends", func() bool { return !f.Lease.Valid() })
	c.change(3, "fine again")
	eventually.Until(t, "the lease holds again", f.Lease.Valid)
}

// A catalogue of a newer build has parts that this one can't put in force.
func TestNewerCatalogueIsNotTheNewest(t *testing.T) {
	message := codec.FromCatalogue(&catalogue.Catalogue{Revision: 1})
	message.Plan = &state.Plan{Version: 1}
	message.Plan.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 1))
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	bytes, err := compressBytes(data)
	if err != nil {
		t.Fatal(err)
	}
	c := startControl(t, "c", "near")
	c.server.packed.Store(&packed{revision: 1, data: bytes})
	c.change(1, "")
	f := startFollower(t, c)
	eventually.Until(t, "the known part is in force", func() bool {
		f.Client.mu.Lock()
		defer f.Client.mu.Unlock()
		return f.revision == 1
	})
	time.Sleep(100 * time.Millisecond)
	if f.Lease.Valid() {
		t.Error("the lease holds, though a part of the catalogue is not in force")
	}
}
