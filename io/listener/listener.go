// Package listener serves HTTP on a TCP address, with a graceful stop that answers
// every request that a peer has sent.
//
// The Shutdown of net/http doesn't guarantee this: it closes connections whose
// requests it has not read yet, namely those in the accept queue and idle ones on
// which the next request is just arriving. On a VM with a busy processor such a
// request may have been sent long before.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stopPollInterval is how often Stop looks for connections that can be closed.
	stopPollInterval = 5 * time.Millisecond
	// firstRequestTimeout is how long a new connection may wait for its first request
	// during a stop. Peers send it within a round trip after connecting.
	firstRequestTimeout = 500 * time.Millisecond
)

// Server is an HTTP server on one address.
type Server struct {
	HTTP *http.Server

	listener net.Listener // what the HTTP server accepts from
	socket   syscall.RawConn
	mu       sync.Mutex
	conns    map[*conn]bool
	stopping bool
	closed   bool // accepts no connections any more
}

// Listen opens a TCP address and returns a server for it that doesn't serve yet. It
// wraps the server's handler and sets its ConnState. limit, if not nil, wraps the
// listener.
func Listen(address string, server *http.Server, limit func(net.Listener) net.Listener) (s *Server, err error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	socket, err := opened.(*net.TCPListener).SyscallConn()
	if err != nil {
		opened.Close()
		return nil, err
	}
	s = &Server{HTTP: server, listener: opened, socket: socket, conns: map[*conn]bool{}}
	if limit != nil {
		s.listener = limit(opened)
	}
	server.ConnState = s.trackState
	server.Handler = s.sendConnectionClose(server.Handler)
	return s, nil
}

// Serve answers requests until the server is stopped or closed, and then returns
// nil.
func (s *Server) Serve() error {
	err := s.HTTP.Serve(trackingListener{Listener: s.listener, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.HTTP.Close()
}

// CloseAfterAnswers makes all further answers carry "Connection: close", so that
// peers send no more requests on their connections. Idle connections stay open, as
// the next request may be on its way.
func (s *Server) CloseAfterAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Stop accepts the connections that wait in the accept queue, then closes the
// listener, answers the requests that have arrived and returns when the last
// connection is closed. It returns the context's error if the context ends first.
func (s *Server) Stop(ctx context.Context) error {
	s.CloseAfterAnswers()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !s.closeUnused() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeUnused closes the listener once the accept queue is empty, and the
// connections without a request. It reports whether nothing is left open.
func (s *Server) closeUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && !readable(s.socket) {
		s.closed = true
		s.listener.Close()
	}
	for c := range s.conns {
		if c.closable(time.Now()) {
			c.Conn.Close()
		}
	}
	return s.closed && len(s.conns) == 0
}

// sendConnectionClose adds "Connection: close" to the answers during a stop.
func (s *Server) sendConnectionClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		stopping := s.stopping
		s.mu.Unlock()
		if stopping {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// trackState records the state of each connection and forgets closed ones.
func (s *Server) trackState(made net.Conn, state http.ConnState) {
	c, tracked := made.(*conn)
	if !tracked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
		c.setState(state)
	}
}

// trackingListener registers each connection with the server as it is accepted.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection and returns it as a conn.
func (a trackingListener) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(accepted)
	a.server.mu.Lock()
	a.server.conns[c] = true
	a.server.mu.Unlock()
	return c, nil
}

// readable reports whether a socket has something to read: a connection to accept,
// bytes, or the end of the stream.
func readable(socket syscall.RawConn) (found bool) {
	err := socket.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		found = err != nil || n > 0
	})
	return err == nil && found
}
