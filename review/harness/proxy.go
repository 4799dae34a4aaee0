package main

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// configurationWatch is in the request line of a call that waits for changes of the configuration.
var configurationWatch = []byte("kv-watch?prefix=op")

// A proxy passes on the connections of one daemon to the store. It can make some of them silent: they stay open and nothing passes
// any more, while new ones work.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	links map[*link]struct{}
}

// A link is one connection through a proxy.
type link struct {
	proxy  *proxy
	client net.Conn
	server net.Conn

	mu sync.Mutex
	// watches reports whether the last call on the connection waits for changes of the configuration.
	watches bool
	// silent reports whether nothing passes any more.
	silent bool
}

// newProxy starts a proxy on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, links: make(map[*link]struct{})}
	go p.run(listener)
	return p, nil
}

func (p *proxy) run(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{proxy: p, client: client, server: server}
		p.mu.Lock()
		p.links[l] = struct{}{}
		p.mu.Unlock()
		go l.run(client, server, true)
		go l.run(server, client, false)
	}
}

// silenceWatches makes the connections silent that wait for changes of the configuration. It returns their number and that of all
// open connections.
func (p *proxy) silenceWatches() (silenced, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		if l.watches && !l.silent {
			l.silent = true
			silenced++
		}
		l.mu.Unlock()
	}
	return silenced, len(p.links)
}

// watching reports whether a connection waits for changes of the configuration.
func (p *proxy) watching() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		watches := l.watches
		l.mu.Unlock()
		if watches {
			return true
		}
	}
	return false
}

// run passes on what one side sends until it closes the connection.
func (l *link) run(from, to net.Conn, isCall bool) {
	defer l.end()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.passes(buffer[:n], isCall) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passes notes what a connection carries and reports whether it may pass.
func (l *link) passes(data []byte, isCall bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isCall {
		l.watches = bytes.Contains(data, configurationWatch)
	}
	return !l.silent
}

// end closes the connection, unless it is silent: then its other side learns nothing.
func (l *link) end() {
	l.mu.Lock()
	silent := l.silent
	l.mu.Unlock()
	l.proxy.mu.Lock()
	delete(l.proxy.links, l)
	l.proxy.mu.Unlock()
	_ = l.server.Close()
	if silent {
		_, _ = io.Copy(io.Discard, l.client)
	}
	_ = l.client.Close()
}
