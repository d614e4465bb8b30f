package entryvm

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"kingcuprill/core/drain"
	"kingcuprill/io/front"
	"kingcuprill/io/link"
	"kingcuprill/io/listener"
	quarantinecalls "kingcuprill/io/quarantine"
)

const (
	// callerIdleTimeout is how long a caller's idle connection is kept.
	callerIdleTimeout = 75 * time.Second
	// headerTimeout bounds the time in which a caller sends its headers.
	headerTimeout = 10 * time.Second
)

func (v *VM) listen(readiness, directory http.Handler) error {
	if err := v.serve(v.Config.PeerAddress, link.Control, v.peerHandler()); err != nil {
		return err
	}
	if err := v.serve(v.Config.ReadinessAddress, link.Control, readiness); err != nil {
		return err
	}
	if v.Config.MetricsAddress != "" {
		v.addGauges()
		v.addLinkGauges()
		operators := &quarantinecalls.Server{Crashes: v.quarantine, Log: v.Log}
		if err := v.serve(v.Config.MetricsAddress, link.Control, operators.Handler(v.Metrics.Text())); err != nil {
			return err
		}
	}
	if v.Config.DirectoryAddress != "" {
		if err := v.serve(v.Config.DirectoryAddress, link.Control, directory); err != nil {
			return err
		}
	}
	if err := v.serve(v.Config.CallerAddress, link.Callers, v.callerHandler()); err != nil {
		return err
	}
	return nil
}

// callerHandler serves callers. Until this VM is likely to know all others, it keeps no
// connection open after an answer.
//
// After a region has lost all its VMs, the first one that is ready gets all callers of
// the region. If it kept their connections, they would go on to use it when the others
// are ready too.
func (v *VM) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if time.Since(v.started) < discoveryTime {
			w.Header().Set("Connection", "close")
		}
		v.front.ServeHTTP(w, r)
	})
}

// peerHandler serves other entry VMs: the callers' requests that they hand over,
// and their calls to the coordinator.
func (v *VM) peerHandler() http.Handler {
	calls := v.coordinator.Handler(v.client.Peers.Credentials)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A request that was handed over keeps the caller's path, so the path
		// can't tell it from a call.
		if front.IsForwarded(r) {
			link.SetPurpose(r, link.Forwarded)
			v.front.ServeForwarded(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

func (v *VM) serve(address string, purpose link.Purpose, handler http.Handler) error {
	server, err := listener.Listen(address, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(v.Log.Handler(), slog.LevelDebug), DisableGeneralOptionsHandler: true,
		ConnContext: link.ConnContext,
	}, v.counters.WrapListener(purpose))
	if err != nil {
		return err
	}
	v.servers = append(v.servers, server)
	v.tomb.Go(server.Serve)
	return nil
}

// maxHeaderBytes bounds the headers of a request. net/http allows 4 KiB more.
const maxHeaderBytes = 12 << 10

// drain makes a planned stop: directories no longer list this VM, requests that
// still arrive are served if they can end in time, and drain returns after the last
// request or shortly before the grace period ends.
func (v *VM) drain() {
	v.Log.Info("entry VM begins a planned stop; running requests may end within the grace period", "vm", v.Config.ID, "running", v.front.Running())
	v.draining.Store(true)
	stop := drain.Stop{Begun: time.Now(), Accept: drain.AcceptFor(v.Config.Grace), Grace: v.Config.Grace}
	v.front.Stop(stop)
	for _, s := range v.servers {
		s.CloseAfterAnswers()
	}
	ctx, cancel := context.WithDeadline(context.Background(), stop.CloseAt())
	defer cancel()
	go v.client.ReportState(ctx)
	time.Sleep(time.Until(stop.AcceptUntil()))
	v.closing.Store(true)
	go v.client.ReportState(ctx)
	var group sync.WaitGroup
	for _, s := range v.servers {
		group.Go(func() {
			if err := s.Stop(ctx); err != nil {
				v.Log.Warn("planned stop has run out of time; the requests that still run are cut off", "running", v.front.Running(), "error", err)
			}
		})
	}
	group.Wait()
	v.Log.Info("entry VM has stopped", "vm", v.Config.ID, "running", v.front.Running())
}
