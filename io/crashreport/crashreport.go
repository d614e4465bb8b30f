// Package crashreport sends what a VM finds out about crashes of targets to the VMs
// that collect it.
package crashreport

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"kingcuprill/core/quarantine"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	// collectFor is how long crashes are collected into one call. The requests that a
	// crash ends fail within a few milliseconds of each other.
	collectFor = 20 * time.Millisecond
	// callInterval is the least time between two calls to the same VM. Each sound answer
	// may clear a part that many crashes have in common, and so change them all.
	callInterval = 500 * time.Millisecond
	// maxRows bounds the crashes in one call.
	maxRows = 32
	// callTimeout bounds one call.
	callTimeout = time.Second
	// retryAfter is the pause before a call that has failed is repeated, up to
	// maxCalls times in all.
	retryAfter = 500 * time.Millisecond
	maxCalls   = 20
	// maxWaiting bounds the crashes that wait for one VM.
	maxWaiting = 512
)

// Sender sends crashes in the background. It is safe for concurrent use.
type Sender struct {
	Peers *peer.Peers
	// Addresses returns the addresses of the VMs that collect crashes.
	Addresses func() []string
	Log       *slog.Logger

	mu      sync.Mutex
	waiting map[string]map[string]quarantine.Crash // by address and id; present while a goroutine sends there
}

// Send sends crashes to all VMs that collect them. It doesn't block.
func (s *Sender) Send(rows []quarantine.Crash) {
	for _, address := range s.Addresses() {
		s.SendTo(address, rows)
	}
}

// SendTo sends crashes to one VM. It doesn't block.
func (s *Sender) SendTo(address string, rows []quarantine.Crash) {
	if len(rows) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = map[string]map[string]quarantine.Crash{}
	}
	waiting, sending := s.waiting[address]
	if !sending {
		waiting = map[string]quarantine.Crash{}
		s.waiting[address] = waiting
		go s.run(address)
	}
	for _, row := range rows {
		if _, found := waiting[row.ID]; found || len(waiting) < maxWaiting {
			waiting[row.ID] = row
		}
	}
}

// run sends what waits for a VM, until nothing does.
func (s *Sender) run(address string) {
	time.Sleep(collectFor)
	for {
		rows := s.take(address)
		if len(rows) == 0 {
			return
		}
		begun := time.Now()
		s.deliver(address, rows)
		time.Sleep(callInterval - time.Since(begun))
	}
}

// take returns the crashes that are sent to a VM next, those of which nothing is cleared yet
// first. If there are none, the goroutine that sends to it must end.
func (s *Sender) take(address string) (rows []quarantine.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.waiting[address] {
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		delete(s.waiting, address)
		return nil
	}
	slices.SortFunc(rows, func(a, b quarantine.Crash) int { return cmp.Compare(len(a.Cleared), len(b.Cleared)) })
	rows = rows[:min(maxRows, len(rows))]
	for _, row := range rows {
		delete(s.waiting[address], row.ID)
	}
	return rows
}

func (s *Sender) deliver(address string, rows []quarantine.Crash) {
	request := &vm.QuarantineRequest{Crashes: codec.FromCrashes(rows)}
	var err error
	for range maxCalls {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err = s.Peers.At(address).Quarantine(ctx, request)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(retryAfter)
	}
	s.Log.Warn("crashes of targets could not be reported to a VM; it learns of them from others", "vm", address, "count", len(rows), "error", err)
}
