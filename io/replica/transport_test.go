package replica_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/raft"
	"kingcuprill/io/peer"
	"kingcuprill/io/replica"
	"kingcuprill/io/settings"
)

// TestLargeSnapshotsArrive sends a snapshot over a path that needs longer for it than the
// timeout of a call. It must arrive nevertheless.
func TestLargeSnapshotsArrive(t *testing.T) {
	const size, piece, pause = 2 << 20, 256 << 10, 50 * time.Millisecond // 5 MB/s
	var received atomic.Int64
	var failures bytes.Buffer // written by one of the sender's goroutines, which end before it is read
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for {
			n, err := io.CopyN(io.Discard, r.Body, piece)
			received.Add(n)
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}))
	defer server.Close()
	var group tomb.Tomb
	group.Go(func() error { <-group.Dying(); return nil })
	peers := peer.NewPeers(settings.Settings{Timeouts: settings.Timeouts{Dial: time.Second, Peer: 150 * time.Millisecond}})
	address := strings.TrimPrefix(server.URL, "http://")
	sender := &replica.Sender{Address: func(string) (string, bool) { return address, true }, Peers: peers, Log: slog.New(slog.NewTextHandler(&failures, &slog.HandlerOptions{Level: slog.LevelDebug})), Tomb: &group}
	sender.Send("b", []raft.Message{{Kind: raft.InstallSnapshot, To: "b", Snapshot: &raft.Snapshot{Index: 1, Data: make([]byte, size)}}})
	for begun := time.Now(); received.Load() < size && time.Since(begun) < 4*time.Second; {
		time.Sleep(pause)
	}
	time.Sleep(2 * pause) // for the answer
	group.Kill(nil)
	_ = group.Wait()
	if got := received.Load(); got < size || failures.Len() > 0 {
		t.Errorf("%d KB of %d have arrived; %s", got>>10, size>>10, &failures)
	}
}
