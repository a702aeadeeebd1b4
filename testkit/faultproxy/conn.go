package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/testkit/internal/precise"
)

const (
	// readSize is the maximum size of one read from a connection, in bytes.
	readSize = 64 << 10
	// queueLength bounds the delayed chunks of one direction. While the queue is full, the kernel's socket buffer
	// fills and the next read returns a larger chunk, so small writes do not limit throughput.
	queueLength = 512
	// matchBytes is the length of the request prefix that DropReplies matches.
	matchBytes = 1024
)

// conn is one client connection and its connection to the target. Proxy.mu guards target, stalled and isReset.
type conn struct {
	proxy   *Proxy
	client  *net.TCPConn
	target  *net.TCPConn
	stalled Direction
	isReset bool
	done    chan struct{}

	exchange struct {
		sync.Mutex
		request  []byte // prefix of the request in progress
		awaiting bool   // request bytes were forwarded since the last reply bytes
	}
}

// chunk is the data of one read and the time at which to write it.
type chunk struct {
	data []byte
	due  time.Time
}

// reset closes both connections with a TCP reset. The caller holds Proxy.mu.
func (c *conn) reset() {
	if c.isReset {
		return
	}
	c.isReset = true
	close(c.done)
	resetTCP(c.client)
	if c.target != nil {
		resetTCP(c.target)
	}
}

func resetTCP(t *net.TCPConn) {
	_ = t.SetLinger(0)
	_ = t.Close()
}

func (c *conn) run() {
	defer c.proxy.remove(c)
	roundTrip := c.delay(ToTarget) + c.delay(ToClient)
	if !precise.SleepUntil(time.Now().Add(roundTrip), c.done) || !c.waitWhileStalled(ToTarget) || !c.proxy.dial(c) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.forward(ToTarget, c.client, c.target) })
	both.Go(func() { c.forward(ToClient, c.target, c.client) })
	both.Wait()
}

func (c *conn) delay(d Direction) time.Duration {
	return time.Duration(c.proxy.delay[d>>1].Load())
}

// forward copies bytes in one direction until the source closes or fails. It forwards a close after the bytes before it.
func (c *conn) forward(d Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queueLength)
	var writer sync.WaitGroup
	writer.Go(func() { c.write(d, queue, to) })
	c.read(d, from, queue)
	close(queue)
	writer.Wait()
}

func (c *conn) read(d Direction, from *net.TCPConn, queue chan<- chunk) {
	buffer := make([]byte, readSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			c.proxy.bytes.Add(int64(n))
			if !c.track(d, buffer[:n]) {
				c.abort()
				return
			}
			next := chunk{append([]byte(nil), buffer[:n]...), time.Now().Add(c.delay(d))}
			select {
			case queue <- next:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write writes chunks when they are due, and forwards the close of the source when the queue is closed.
func (c *conn) write(d Direction, queue <-chan chunk, to *net.TCPConn) {
	for next := range queue {
		if !precise.SleepUntil(next.due, c.done) || !c.waitWhileStalled(d) {
			return
		}
		if _, err := to.Write(next.data); err != nil {
			c.abort()
			return
		}
	}
	if precise.SleepUntil(time.Now().Add(c.delay(d)), c.done) && c.waitWhileStalled(d) {
		_ = to.CloseWrite()
	}
}

// track updates the state of the exchange and returns false if data is a reply to drop.
func (c *conn) track(d Direction, data []byte) bool {
	c.exchange.Lock()
	defer c.exchange.Unlock()
	if d == ToTarget {
		if !c.exchange.awaiting {
			c.exchange.awaiting, c.exchange.request = true, c.exchange.request[:0]
		}
		remaining := matchBytes - len(c.exchange.request)
		c.exchange.request = append(c.exchange.request, data[:min(remaining, len(data))]...)
		return true
	}
	if !c.exchange.awaiting {
		return true
	}
	c.exchange.awaiting = false
	return !c.proxy.consumeDrop(c.exchange.request)
}

func (c *conn) abort() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.reset()
}

// waitWhileStalled waits until direction d is not stalled. It returns false if the connection was reset meanwhile.
func (c *conn) waitWhileStalled(d Direction) bool {
	for {
		stalled, changed := c.proxy.stalled(c, d)
		if !stalled {
			return true
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
}
