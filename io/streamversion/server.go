package streamversion

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"kingcuprill/core/streamversion"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// copyDelay is how long a control VM collects records before it copies them to another
// one.
const copyDelay = 50 * time.Millisecond

// Server keeps the versions of streams on a control VM. It is safe for concurrent use.
type Server struct {
	Heard *streamversion.Heard
	// Self is the address of this VM, and Controls returns those of all control VMs.
	Self     string
	Controls func() []string
	Peers    *peer.Peers
	Log      *slog.Logger

	streams *streamversion.Table
	list    controlList

	mu      sync.Mutex
	copying bool
	pending map[streamversion.Version][]streamversion.Key
}

// NewServer returns a server that knows no stream.
func NewServer(self string, controls func() []string, peers *peer.Peers, log *slog.Logger) *Server {
	return &Server{
		Self: self, Controls: controls, Peers: peers, Log: log, Heard: streamversion.NewHeard(time.Now()), streams: streamversion.NewTable(),
		pending: map[streamversion.Version][]streamversion.Key{},
	}
}

// Streams returns the number of streams that are remembered.
func (s *Server) Streams() int64 {
	return int64(s.streams.Len())
}

// Record remembers streams. Those that an entry VM reports are copied to another control
// VM soon.
func (s *Server) Record(request *vm.RecordStreamsRequest) {
	now := time.Now()
	for _, group := range request.GetGroups() {
		v := streamversion.Version{Service: group.GetService(), Version: group.GetVersion()}
		for _, key := range group.GetKeys() {
			s.streams.Record(streamversion.Key(key), v, now)
		}
		if !request.GetCopied() {
			s.copyLater(v, group.GetKeys())
		}
	}
}

func (s *Server) copyLater(v streamversion.Version, keys []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.pending[v] = append(s.pending[v], streamversion.Key(key))
	}
	if !s.copying {
		s.copying = true
		time.AfterFunc(copyDelay, s.copyPending)
	}
}

func (s *Server) copyPending() {
	s.mu.Lock()
	pending := s.pending
	s.pending, s.copying = map[streamversion.Version][]streamversion.Key{}, false
	s.mu.Unlock()
	address, found := s.second()
	if !found {
		return
	}
	if err := send(s.Peers, address, pending, true); err != nil {
		s.Log.Warn("versions of streams could not be copied to a second control VM; they are lost with this one", "control", address, "error", err)
	}
}

// second returns the control VM that gets copies. In the order of their addresses those
// of a region mostly stand together, so that it is a third of them further on.
func (s *Server) second() (address string, found bool) {
	all := s.Controls()
	slices.Sort(all)
	own := slices.Index(all, s.Self)
	if own < 0 || len(all) < 2 {
		return "", false
	}
	const regions = 3
	return all[(own+max(1, len(all)/regions))%len(all)], true
}

// Observe notes which control VMs there are. It is to be called about once a second.
func (s *Server) Observe(now time.Time) {
	s.list.unchanged(s.Controls(), now, 0)
}

// Find answers what is known of a stream, and of the versions of its service.
func (s *Server) Find(request *vm.FindStreamRequest) *vm.FindStreamResponse {
	now := time.Now()
	v, found := s.streams.Find(streamversion.Key(request.GetKey()), now)
	if found {
		return &vm.FindStreamResponse{Found: true, Service: v.Service, Version: v.Version}
	}
	versions, listened := s.Heard.Recent(request.GetService(), now)
	listened = s.list.unchanged(s.Controls(), now, listened)
	return &vm.FindStreamResponse{Versions: versions, HeardNanoseconds: int64(listened)}
}

// split returns the messages of rows, in parts of at most maxKeys keys.
func split(rows map[streamversion.Version][]streamversion.Key) (parts [][]*vm.StreamGroup) {
	for v, all := range rows {
		for keys := range slices.Chunk(all, maxKeys) {
			group := &vm.StreamGroup{Service: v.Service, Version: v.Version}
			for _, key := range keys {
				group.Keys = append(group.Keys, uint64(key))
			}
			if len(parts) == 0 || len(all) > maxKeys {
				parts = append(parts, nil)
			}
			parts[len(parts)-1] = append(parts[len(parts)-1], group)
		}
	}
	return parts
}
