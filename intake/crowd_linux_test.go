package intake

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// crowdSize is the number of connections of a crowd; twice as many as a process may open descriptors in the crowd that
	// only connects.
	crowdSize = 100
	// stay is how long a crowd stays after everything is sent, so that the memory that it takes shows.
	stay = 300 * time.Millisecond
	// sendTimeout bounds one write of a member of a crowd: a process may stop reading.
	sendTimeout = 2 * time.Second
	// overLimit is the size of a body over the limit of the configuration.
	overLimit = 900_000
)

// member is what one connection of a crowd does. It returns once everything is sent or the process closed the connection.
type member func(conn net.Conn, i int)

// play opens the connections of a crowd, waits until every member has sent everything, and closes them after stay.
func play(address string, size int, m member) {
	var sent sync.WaitGroup
	leave := make(chan struct{})
	var gone sync.WaitGroup
	for i := range size {
		sent.Add(1)
		gone.Add(1)
		go func() {
			defer gone.Done()
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				sent.Done()
				return
			}
			defer conn.Close()
			m(conn, i)
			sent.Done()
			<-leave
		}()
	}
	sent.Wait()
	time.Sleep(stay)
	close(leave)
	gone.Wait()
}

// send writes data and reports whether the connection is still open.
func send(conn net.Conn, data []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := conn.Write(data)
	return err == nil
}

// head returns the head of a submission with the given header lines.
func head(i int, lines string) []byte {
	return []byte(fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n", prefix, i+1, host, lines))
}

const chunked = "Transfer-Encoding: chunked\r\n"

func announced(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// largeChunks sends a chunked body of 1 MB but for its end.
func largeChunks(conn net.Conn, i int) {
	const size = 16 << 10
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size)))
	ok := send(conn, head(i, chunked))
	for n := 0; ok && n < 60; n++ {
		ok = send(conn, chunk)
	}
}

// tinyChunks sends a body inside the limits in chunks of one byte, but for its end.
func tinyChunks(conn net.Conn, i int) {
	batch := bytes.Repeat([]byte("1\r\nb\r\n"), 1000)
	ok := send(conn, head(i, chunked))
	for n := 0; ok && n < 200; n++ {
		ok = send(conn, batch)
	}
}

// shortOfEnd announces a body over the limit of the configuration and sends all of it but the last byte.
func shortOfEnd(conn net.Conn, i int) {
	if send(conn, head(i, announced(overLimit))) {
		send(conn, make([]byte, overLimit-1))
	}
}

// farOverLimit sends bodies far over the limit: announced, or in chunks without an end.
func farOverLimit(conn net.Conn, i int) {
	block := make([]byte, 64<<10)
	ok := send(conn, head(i, announced(1<<30)))
	if i%2 == 0 {
		block = []byte(fmt.Sprintf("%x\r\n%s\r\n", len(block), block))
		ok = send(conn, head(i, chunked))
	}
	for n := 0; ok && n < 64; n++ {
		ok = send(conn, block)
	}
}

// endlessHeader sends a header without an end in small pieces.
func endlessHeader(conn net.Conn, i int) {
	ok := send(conn, []byte("GET / HTTP/1.1\r\nHost: a\r\n"))
	for n := 0; ok && n < 2000; n++ {
		ok = send(conn, []byte("X: y\r\n"))
	}
}

// slowBody sends a byte at a time of a body inside the limits.
func slowBody(conn net.Conn, i int) {
	ok := send(conn, head(i, announced(maxBody)))
	for n := 0; ok && n < 40; n++ {
		ok = send(conn, []byte("b"))
		time.Sleep(20 * time.Millisecond)
	}
}

// leave opens a connection and sends nothing.
func leave(net.Conn, int) {}

// smuggledID is the id of a job whose submission is part of the body of a refused request.
const smuggledID = "00000000000000bb"

// pipelined sends requests without reading responses, then one whose body is over the limit and holds a submission.
func pipelined(conn net.Conn, i int) {
	get := []byte(fmt.Sprintf("GET %s%016x HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, i, host))
	body := `{"steps":[{"count":1,"cpu":100,"est_ms":100}]}`
	hidden := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", prefix, smuggledID, host, len(body), body)
	if send(conn, bytes.Repeat(get, 200)) && send(conn, head(i, announced(overLimit))) {
		send(conn, []byte(hidden))
		send(conn, get)
	}
}

// frames announces a message of 4 MB to the peer listener and sends half of it.
func frames(conn net.Conn, _ int) {
	const size = 4 << 20
	if send(conn, binary.BigEndian.AppendUint32(nil, size)) {
		send(conn, make([]byte, size/2))
	}
}

// listeners of the processes.
const (
	public  = "public"
	ready   = "ready"
	control = "control"
	peer    = "peer"
)

func (p *process) address(listener string) string {
	return map[string]string{public: p.public, ready: p.ready, control: p.control, peer: p.peer}[listener]
}

// Guards against a client outside the limits that ends or hangs a process, or makes it use more than its memory or its
// descriptors.
func TestCrowdLeavesProcessIntact(t *testing.T) {
	kinds := []struct {
		name string
		size int
		m    member
	}{
		{"large chunks", crowdSize, largeChunks},
		{"tiny chunks", crowdSize, tinyChunks},
		{"short of the end", crowdSize, shortOfEnd},
		{"far over the limit", crowdSize, farOverLimit},
		{"endless header", crowdSize, endlessHeader},
		{"slow body", crowdSize, slowBody},
		{"opened and left", 2 * descriptors, leave},
		{"pipelined", crowdSize, pipelined},
	}
	peerKinds := kinds[6:7:7]
	peerKinds = append(peerKinds, struct {
		name string
		size int
		m    member
	}{"frames", crowdSize, frames})
	for _, l := range []struct{ role, listener string }{{"entry", public}, {"entry", ready}, {"entry", peer}, {"side", control}, {"side", peer}} {
		ks := kinds
		if l.listener == peer {
			ks = peerKinds
		}
		for _, k := range ks {
			t.Run(l.role+" "+l.listener+" "+k.name, func(t *testing.T) {
				p := start(t, l.role)
				play(p.address(l.listener), k.size, k.m)
				p.check()
			})
		}
	}
}

// Guards against a process that reads what follows a refused request as the next request.
func TestDataAfterRefusalIsNotInterpreted(t *testing.T) {
	p := start(t, "entry")
	play(p.public, crowdSize, pipelined)
	p.check()
	_, stored := p.store.Keys("keyed.jobs")["j"+smuggledID]
	assert.Assert(t, !stored, "a submission inside the body of a refused request was stored")
}
