package draw

import (
	"context"
	"fmt"
	"sync"
	"time"

	"kingcuprill/rpc/vm"
)

const (
	// maxBatches is the most calls of a batcher that run at once. Draws wait for the
	// next one meanwhile, for a part of the round trip.
	maxBatches = 4
	// gatherTime is how long the first draw of a batch waits for others.
	gatherTime = 2 * time.Millisecond
	// maxBatchDraws bounds the draws in one call.
	maxBatchDraws = 1000
)

// batcher sends the draws of many organisations together, so that the calls to the
// leader's region don't grow with the number of entry VMs and organisations. A call
// for each draw needs a connection for each draw that waits, and opening one takes
// another round trip. Its zero value with send set is ready for use, by several
// goroutines at once.
type batcher struct {
	send func(ctx context.Context, draws []*vm.DrawRequest) ([]*vm.DrawResponse, error)

	mu        sync.Mutex
	waiting   []*waitingDraw
	gathering bool // a call is due after gatherTime
	running   int  // calls
}

// waitingDraw is a draw and where its outcome goes.
type waitingDraw struct {
	request *vm.DrawRequest
	outcome chan outcome
}

type outcome struct {
	response *vm.DrawResponse
	err      error
}

// draw sends one draw with the next batch. Its outcome comes within the timeouts of
// two calls.
func (b *batcher) draw(request *vm.DrawRequest) <-chan outcome {
	w := &waitingDraw{request: request, outcome: make(chan outcome, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, w)
	b.gather()
	return w.outcome
}

// gather schedules a call if draws wait and another call may run. The caller holds
// mu.
func (b *batcher) gather() {
	if len(b.waiting) == 0 || b.gathering || b.running >= maxBatches {
		return
	}
	b.gathering = true
	b.running++
	time.AfterFunc(gatherTime, b.sendWaiting)
}

func (b *batcher) sendWaiting() {
	b.mu.Lock()
	count := min(len(b.waiting), maxBatchDraws)
	batch := b.waiting[:count:count]
	b.waiting = b.waiting[count:]
	b.gathering = false
	b.gather()
	b.mu.Unlock()
	b.answer(batch)
	b.mu.Lock()
	b.running--
	b.gather()
	b.mu.Unlock()
}

// answer makes one call and passes its answers on.
func (b *batcher) answer(batch []*waitingDraw) {
	draws := make([]*vm.DrawRequest, len(batch))
	for i, w := range batch {
		draws[i] = w.request
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	responses, err := b.send(ctx, draws)
	if err == nil && len(responses) != len(draws) {
		err = fmt.Errorf("%d answers to %d draws", len(responses), len(draws))
	}
	for i, w := range batch {
		if err != nil {
			w.outcome <- outcome{err: err}
			continue
		}
		w.outcome <- outcome{response: responses[i]}
	}
}
