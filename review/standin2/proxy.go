package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands between a worker and its side process. While the path is cut it holds the bytes back, as a partition does:
// what was sent before its sender ended still arrives once the path is whole again, by the next retransmission.
type proxy struct {
	ln     net.Listener
	target string

	mu  sync.Mutex
	cut chan struct{}
	// lateBytes is a text in the first bytes of a connection whose retransmission comes only lateBy after the end of the cut.
	lateBytes []byte
	lateBy    time.Duration
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) close() { _ = p.ln.Close() }

// setCut cuts the path or makes it whole.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && p.cut == nil:
		p.cut = make(chan struct{})
	case !cut && p.cut != nil:
		close(p.cut)
		p.cut = nil
	}
}

// await waits until the path is whole, and reports whether it was cut.
func (p *proxy) await() bool {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut == nil {
		return false
	}
	<-cut
	return true
}

func (p *proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	buf := make([]byte, 8<<10)
	n, err := client.Read(buf)
	if n == 0 || err != nil {
		return
	}
	if p.await() && len(p.lateBytes) > 0 && bytes.Contains(buf[:n], p.lateBytes) {
		time.Sleep(p.lateBy)
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	if _, err := server.Write(buf[:n]); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(client, server)
}
