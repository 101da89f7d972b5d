package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy is the way to one server. Connections over it may go silent.
type Proxy struct {
	address string
	target  string
	mutex   sync.Mutex
	pairs   map[*pair]bool
}

// pair is a connection of a node to the proxy, and the proxy's own to the server.
type pair struct {
	node, server net.Conn
	mutex        sync.Mutex
	silent       bool
}

// NewProxy opens a proxy at an address.
func NewProxy(address, target string) *Proxy {
	listener, err := net.Listen("tcp4", address)
	check(err)
	p := &Proxy{address: listener.Addr().String(), target: target, pairs: make(map[*pair]bool)}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(accepted)
		}
	}()
	return p
}

func (p *Proxy) carry(node net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = node.Close()
		return
	}
	both := &pair{node: node, server: server}
	p.mutex.Lock()
	p.pairs[both] = true
	p.mutex.Unlock()
	var copying sync.WaitGroup
	for _, way := range [][2]net.Conn{{node, server}, {server, node}} {
		copying.Go(func() { both.copy(way[0], way[1]) })
	}
	copying.Wait()
	p.mutex.Lock()
	delete(p.pairs, both)
	p.mutex.Unlock()
}

func (b *pair) isSilent() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.silent
}

// copy passes bytes on until one side ends, and then closes both. Once the connection is silent it drops what comes and closes nothing.
func (b *pair) copy(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if b.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = io.EOF
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// Silence has all connections that are open now go silent for good: nothing passes any more, and no node gets a reset. The server's own time-out
// ends its side a second later, so that it drops what it ran. Connections that are opened later work.
func (p *Proxy) Silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for b := range p.pairs {
		b.mutex.Lock()
		b.silent = true
		b.mutex.Unlock()
		time.AfterFunc(time.Second, func() { _ = b.server.Close() })
	}
	return len(p.pairs)
}
