// Package announce serves the calls with which targets register themselves at the
// VMs of their data centre. An announcement adds a target or renews its lease; a
// target whose lease runs out gets no new requests. The targets also send changes
// of their prefix caches.
package announce

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"kingcuprill/core/address"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/name"
	"kingcuprill/core/target"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	rpc "kingcuprill/rpc/target"
)

const (
	// maxBodyBytes bounds the body of one call.
	maxBodyBytes = 1 << 20
	// maxRequests bounds the requests that a target runs concurrently. VMs add up the
	// capacities of a data centre.
	maxRequests = 1 << 20
)

// Server serves the calls of targets.
type Server struct {
	VMState   *vmstate.State
	Networks  []netip.Prefix // in which targets' addresses must be
	Forbidden []string       // addresses of the system itself, which no target may have
	Log       *slog.Logger
}

// Handler returns the handler of the targets' calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.AnnouncementsPathPrefix, rpc.NewAnnouncementsServer(s))
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

// Announce adds a target or renews its lease, and returns the lease's duration.
// Its error has the code fault.Invalid or fault.Forbidden.
func (s *Server) Announce(_ context.Context, request *rpc.AnnounceRequest) (answer *rpc.AnnounceResponse, err error) {
	defer func() { err = peer.ToTwirp(err) }()
	if err := s.check(request); err != nil {
		return nil, err
	}
	if s.VMState.Targets.Announce(toAnnouncement(request), time.Now()) {
		s.Log.Info("target has announced itself", "target", request.GetId(), "boot_id", request.GetBootId(), "service", request.GetService(), "address", request.GetAddress())
	}
	return &rpc.AnnounceResponse{LeaseNanoseconds: int64(s.VMState.Targets.Lease)}, nil
}

// check refuses an announcement that is incomplete or invalid, is of another data
// centre, or has an address that isn't permitted for targets.
func (s *Server) check(r *rpc.AnnounceRequest) error {
	if err := checkNames(r); err != nil {
		return err
	}
	if kind := target.Kind(r.GetKind()); kind != target.Engine && kind != target.Service {
		return fault.New(fault.Invalid, "kind: %s must be %q or %q", fault.Quote(string(kind)), target.Engine, target.Service)
	}
	if r.GetDataCentre() != s.VMState.DataCentre || r.GetRegion() != s.VMState.Region {
		return fault.New(fault.Forbidden, "data_centre: a target of %s in region %s must announce itself to the VMs there, not to those of %q",
			fault.Quote(r.GetDataCentre()), fault.Quote(r.GetRegion()), s.VMState.DataCentre)
	}
	if r.GetCapacity() <= 0 || r.GetCapacity() > maxRequests {
		return fault.New(fault.Invalid, "capacity: %d must be from 1 to %d", r.GetCapacity(), maxRequests)
	}
	if r.GetRunning() < 0 || r.GetWaiting() < 0 {
		return fault.New(fault.Invalid, "running: %d and waiting: %d must not be below 0", r.GetRunning(), r.GetWaiting())
	}
	return s.checkAddress(r.GetAddress())
}

// checkNames refuses names that can't be. The version may be unknown.
func checkNames(r *rpc.AnnounceRequest) error {
	names := map[string]string{"id": r.GetId(), "boot_id": r.GetBootId(), "service": r.GetService()}
	if r.GetVersion() != "" {
		names["version"] = r.GetVersion()
	}
	for field, value := range names {
		if err := name.Check(field, value); err != nil {
			return err
		}
	}
	for _, value := range slices.Concat(r.GetModels(), r.GetAdapters()) {
		if err := name.Check("models and adapters", value); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) checkAddress(value string) error {
	parsed, err := address.Parse(value)
	if err != nil {
		return err
	}
	inside := slices.ContainsFunc(s.Networks, func(n netip.Prefix) bool { return n.Contains(parsed.Addr()) })
	if !inside {
		return fault.New(fault.Forbidden, "address: %q is outside targets.permitted_networks", value)
	}
	if slices.Contains(s.Forbidden, value) || s.isMember(value) {
		return fault.New(fault.Forbidden, "address: %q belongs to the system itself", value)
	}
	return nil
}

func (s *Server) isMember(address string) bool {
	for _, m := range s.VMState.Members.View.Read().Members {
		if m.State != membership.Dead && (m.PeerAddress == address || m.CallerAddress == address) {
			return true
		}
	}
	return false
}

func toAnnouncement(r *rpc.AnnounceRequest) target.Announcement {
	return target.Announcement{
		ID: r.GetId(), BootID: r.GetBootId(), Service: r.GetService(), Kind: target.Kind(r.GetKind()), Address: r.GetAddress(),
		Region: r.GetRegion(), DataCentre: r.GetDataCentre(), Models: r.GetModels(), Adapters: r.GetAdapters(),
		Version: r.GetVersion(), Role: r.GetRole(), Capacity: int(r.GetCapacity()), ChecksFencing: r.GetChecksFencing(),
		Load: target.Load{
			Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()),
			Measured: time.Now().Add(-time.Duration(max(0, r.GetLoadAgeNanoseconds()))),
		},
	}
}

// Leave marks a target as leaving. A call of an unknown target or of its earlier
// process has no effect.
func (s *Server) Leave(_ context.Context, request *rpc.LeaveRequest) (*rpc.LeaveResponse, error) {
	if s.VMState.Targets.Leave(request.GetId(), request.GetBootId()) {
		s.Log.Info("target leaves; it gets no new requests", "target", request.GetId(), "boot_id", request.GetBootId())
	}
	return &rpc.LeaveResponse{}, nil
}

// PublishCacheEvents applies the changes of a target's prefix cache. Events of an
// unknown target or of its earlier process are ignored.
func (s *Server) PublishCacheEvents(_ context.Context, request *rpc.CacheEventsRequest) (*rpc.CacheEventsResponse, error) {
	row := s.VMState.Targets.View.Read().ByID[request.GetId()]
	if row == nil || row.BootID != request.GetBootId() {
		return &rpc.CacheEventsResponse{}, nil
	}
	for _, event := range request.GetEvents() {
		hash, err := strconv.ParseUint(event.GetPrefixHash(), 16, 64)
		if err != nil {
			return nil, peer.ToTwirp(fault.New(fault.Invalid, "prefix_hash: %q must be 64 bits in hexadecimal", event.GetPrefixHash()))
		}
		row.Live.Prefixes.Event(event.GetSequence(), hash, event.GetEvicted())
	}
	return &rpc.CacheEventsResponse{}, nil
}
