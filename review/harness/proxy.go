//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is a link between two machines. While it is cut, it carries no bytes, as a
// silent partition: what is sent meanwhile waits, and is delivered when the link is
// whole again, unless its sender has reset the connection.
type proxy struct {
	listener net.Listener
	to       string
	bytes    atomic.Int64  // from the dialling side
	delay    time.Duration // one way; set before the first connection

	mu    sync.Mutex
	cut   bool
	whole *sync.Cond
}

func newProxy(w *world, to string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{listener: listener, to: to}
	p.whole = sync.NewCond(&p.mu)
	go p.accept()
	w.atEnd(func() {
		listener.Close()
		p.set(false)
	})
	return p
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// set cuts the link or makes it whole.
func (p *proxy) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.whole.Broadcast()
}

func (p *proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.whole.Wait()
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(client)
	}
}

func (p *proxy) carry(client net.Conn) {
	p.wait()
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pass(server, client, &p.bytes) })
	both.Go(func() { p.pass(client, server, nil) })
	both.Wait()
	client.Close()
	server.Close()
}

// part is a piece of a stream, and when it reaches the other side.
type part struct {
	data []byte
	err  error
	due  time.Time
}

// pass carries bytes and then the end of the stream.
func (p *proxy) pass(to, from net.Conn, counted *atomic.Int64) {
	if p.delay > 0 {
		p.passLate(to, from, counted)
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if counted != nil {
				counted.Add(int64(n))
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// passLate is pass with a delay.
func (p *proxy) passLate(to, from net.Conn, counted *atomic.Int64) {
	parts := make(chan part, 1<<12)
	go func() {
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			parts <- part{data: buffer[:n], err: err, due: time.Now().Add(p.delay)}
			if err != nil {
				return
			}
		}
	}()
	for one := range parts {
		time.Sleep(time.Until(one.due))
		p.wait()
		if counted != nil {
			counted.Add(int64(len(one.data)))
		}
		if _, err := to.Write(one.data); err != nil {
			from.Close()
			return
		}
		if one.err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if one.err != nil {
			to.Close()
			return
		}
	}
}
