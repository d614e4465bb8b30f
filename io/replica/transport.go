package replica

import (
	"context"
	"log/slog"
	"sync"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	queuePerReplica   = 256 // batches
	sendersPerReplica = 8   // concurrent calls to one replica
)

// Sender is a Transport that sends messages by calls to the peer addresses of other
// VMs. Messages to a replica that is slow, unreachable or unknown are dropped; Raft
// sends again what was lost.
type Sender struct {
	Address func(id string) (address string, known bool)
	Peers   *peer.Peers
	Log     *slog.Logger
	Tomb    *tomb.Tomb
	mu      sync.Mutex
	queues  map[string]chan []raft.Message
}

// Send queues messages for another replica, or drops them if its queue is full.
func (s *Sender) Send(to string, messages []raft.Message) {
	select {
	case s.queue(to) <- messages:
	default:
	}
}

func (s *Sender) queue(to string) chan []raft.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if queue, found := s.queues[to]; found {
		return queue
	}
	if s.queues == nil {
		s.queues = map[string]chan []raft.Message{}
	}
	queue := make(chan []raft.Message, queuePerReplica)
	s.queues[to] = queue
	for range sendersPerReplica {
		s.Tomb.Go(func() error { return s.deliver(to, queue) })
	}
	return queue
}

func (s *Sender) deliver(to string, queue chan []raft.Message) error {
	ctx := s.Tomb.Context(context.Background())
	for {
		select {
		case <-s.Tomb.Dying():
			return nil
		case messages := <-queue:
			s.sendBatch(ctx, to, messages)
		}
	}
}

func (s *Sender) sendBatch(ctx context.Context, to string, messages []raft.Message) {
	address, known := s.Address(to)
	if !known {
		return
	}
	request := &vm.StepRequest{}
	for _, message := range messages {
		request.Messages = append(request.Messages, codec.FromMessage(message))
	}
	callCtx, cancel := s.Peers.BoundedBySize(ctx, proto.Size(request))
	defer cancel()
	if _, err := s.Peers.At(address).Step(callCtx, request); err != nil {
		s.Peers.DropIdle(address)
		s.Log.Debug("messages of the control log could not be sent and are dropped; raft sends them again", "to", to, "error", err)
	}
}
