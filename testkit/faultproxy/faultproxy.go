// Package faultproxy provides a TCP proxy that injects network faults between the processes of a test.
package faultproxy

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a set of directions in which bytes flow; combine directions with |.
type Direction int

// Directions.
const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = 1 << iota
	// ToClient is the direction from the target to the client.
	ToClient
	// Both is both directions.
	Both = ToTarget | ToClient
)

// dialTimeout bounds the dial to the target, which is on loopback.
const dialTimeout = 5 * time.Second

// Stats are counters since the start of the proxy.
type Stats struct {
	// Accepted is the number of client connections accepted and connected to the target.
	Accepted int
	// Refused is the number of client connections reset because of Cut or because the target did not accept them.
	Refused int
	// RepliesDropped is the number of exchanges that lost their reply.
	RepliesDropped int
	// Open is the number of connections that are open now, including stalled ones.
	Open int
	// Bytes is the number of bytes received from clients and targets.
	Bytes int64
}

// Proxy forwards TCP connections to a target. All methods are safe for concurrent use.
type Proxy struct {
	listener net.Listener
	delay    [2]atomic.Int64
	bytes    atomic.Int64
	running  sync.WaitGroup

	mu           sync.Mutex
	target       string
	conns        map[*conn]struct{}
	cut          bool
	closed       bool
	stalledAll   Direction
	stallChanged chan struct{} // closed and replaced at each change of stalledAll
	drops        int
	dropMatch    []byte
	stats        Stats
}

// New starts a proxy to the target on a loopback port that the kernel chooses.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for fault proxy: %w", err)
	}
	p := &Proxy{listener: listener, target: target, conns: map[*conn]struct{}{}, stallChanged: make(chan struct{})}
	p.running.Go(p.accept)
	return p, nil
}

// Address returns the IP address and port that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget changes the target of new connections. Open connections keep their target.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// SetDelay sets the one-way delay of bytes that the proxy receives from now on. A new connection reaches the target
// after one round trip, like a TCP handshake. Delay does not limit throughput.
func (p *Proxy) SetDelay(d Direction, delay time.Duration) {
	for i := range p.delay {
		if d&(1<<i) != 0 {
			p.delay[i].Store(int64(delay))
		}
	}
}

// Cut resets all open connections and, until Restore, every new one. New connections are accepted and reset immediately
// rather than refused, because another process could bind the port of a closed listener.
func (p *Proxy) Cut() {
	p.mu.Lock()
	p.cut = true
	p.mu.Unlock()
	p.CloseConnections()
}

// CloseConnections resets all open connections. New connections are forwarded.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// StallOpen stalls the given directions of all connections that are open now, permanently. The connections stay open
// and forward neither bytes nor closes. New connections work. Bytes being written during the call may still pass.
func (p *Proxy) StallOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.stalled |= d
	}
}

// StallAll stalls the given directions of all connections, including new ones, until it is called with other
// directions or Restore is called. Bytes held meanwhile are then delivered, as after a partition. StallAll(0) ends
// the stall.
func (p *Proxy) StallAll(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledAll = d
	close(p.stallChanged)
	p.stallChanged = make(chan struct{})
}

// DropReplies drops the replies of the next n exchanges: the request is forwarded and takes effect, and when the reply
// arrives it is dropped and the connection is reset. It applies to requests whose first matchBytes bytes contain match,
// or to all requests if match is empty, and also to exchanges already waiting for their reply. It replaces an earlier
// call.
func (p *Proxy) DropReplies(n int, match string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drops, p.dropMatch = n, []byte(match)
}

// Restore ends Cut, DropReplies, delays and the stall of all connections. Permanently stalled connections stay stalled.
func (p *Proxy) Restore() {
	p.SetDelay(Both, 0)
	p.StallAll(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.drops = false, 0
}

// Stats returns the counters.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Open = len(p.conns)
	s.Bytes = p.bytes.Load()
	return s
}

// Close stops the proxy, resets all connections and waits for its goroutines.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	err := p.listener.Close()
	p.Cut()
	p.running.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example too many open files
			time.Sleep(time.Millisecond)
			continue
		}
		c := &conn{proxy: p, client: client.(*net.TCPConn), done: make(chan struct{})}
		if p.add(c) {
			p.running.Go(c.run)
		}
	}
}

// add registers the connection, or resets it and returns false if the proxy is cut or closed.
func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut || p.closed {
		p.stats.Refused++
		c.reset()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.reset()
	delete(p.conns, c)
}

// dial connects c to the target. It returns false if the target does not accept or c was reset meanwhile.
func (p *Proxy) dial(c *conn) bool {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	up, err := net.DialTimeout("tcp", target, dialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.stats.Refused++
		return false
	}
	c.target = up.(*net.TCPConn)
	if c.isReset {
		resetTCP(c.target)
		return false
	}
	p.stats.Accepted++
	return true
}

// consumeDrop reports whether to drop the reply to the request, and counts the drop.
func (p *Proxy) consumeDrop(request []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drops == 0 || !bytes.Contains(request, p.dropMatch) {
		return false
	}
	p.drops--
	p.stats.RepliesDropped++
	return true
}

// stalled reports whether the direction of c is stalled now, and returns a channel that is closed when that may change.
func (p *Proxy) stalled(c *conn, d Direction) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return (p.stalledAll|c.stalled)&d != 0, p.stallChanged
}
