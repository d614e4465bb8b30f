// Package listener serves HTTP on an address and stops without cutting a
// request that a peer has sent.
//
// The library's own stop closes connections whose requests it has not read yet:
// those in the accept queue, and idle ones on which the next request is just
// arriving. On a VM whose processor is busy such a request can be old already.
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
	// lookEvery is how often a stop looks for connections that can be closed.
	lookEvery = 5 * time.Millisecond
	// firstRequestWithin is how long a new connection may wait for its first
	// request during a stop. Peers send it within a round trip.
	firstRequestWithin = 500 * time.Millisecond
)

// Server is an HTTP server on one address.
type Server struct {
	HTTP *http.Server

	listener net.Listener // what the HTTP server accepts from
	socket   syscall.RawConn
	mu       sync.Mutex
	conns    map[*conn]bool
	stopping bool
	closed   bool // no new connections
}

// Listen opens an address. limit wraps the listener, nil to leave it as it is.
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
	server.ConnState = s.follow
	server.Handler = s.closing(server.Handler)
	return s, nil
}

// Serve answers until the server is stopped or closed.
func (s *Server) Serve() error {
	err := s.HTTP.Serve(accepting{Listener: s.listener, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends the server and all its connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.HTTP.Close()
}

// CloseAfterAnswers tells peers from now on that a connection takes no request
// after the one that is answered. Idle connections stay open, as the next
// request may be on its way.
func (s *Server) CloseAfterAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Stop takes in the connections that have been made, then no more, answers the
// requests that have arrived and ends with the last connection. It fails where
// requests still run at the end of the context.
func (s *Server) Stop(ctx context.Context) error {
	s.CloseAfterAnswers()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for !s.finish() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// finish closes what nothing waits on, and tells whether nothing is left.
func (s *Server) finish() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && !readable(s.socket) {
		s.closed = true
		s.listener.Close()
	}
	for c := range s.conns {
		if c.unused(time.Now()) {
			c.Conn.Close()
		}
	}
	return s.closed && len(s.conns) == 0
}

// closing tells peers during a stop that their connection takes no further
// request.
func (s *Server) closing(handler http.Handler) http.Handler {
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

// follow keeps the state of each connection.
func (s *Server) follow(made net.Conn, state http.ConnState) {
	c, ours := made.(*conn)
	if !ours {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
		c.to(state)
	}
}

// accepting hands connections to the HTTP server that are followed from the
// moment they are taken in.
type accepting struct {
	net.Listener
	server *Server
}

// Accept waits for a connection.
func (a accepting) Accept() (net.Conn, error) {
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

// readable tells whether a socket has something to take in: a connection, bytes
// or its end.
func readable(socket syscall.RawConn) (found bool) {
	err := socket.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		found = err != nil || n > 0
	})
	return err == nil && found
}
