package intake

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

// Guards against bounds that a client inside the limits meets: a body of the largest size in chunks, spread over the 3 s that
// the client has, while other clients keep connections open from the same address. All of these stay open.
func TestClientsInsideTheLimitsAreServed(t *testing.T) {
	const openConns = 100
	p := start(t, "entry")
	var open []net.Conn
	ask := func(conn net.Conn) {
		t.Helper()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
		_, err := fmt.Fprintf(conn, "GET %s00000000000000aa HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, host)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	for range openConns {
		conn, err := net.Dial("tcp", p.public)
		assert.NilError(t, err)
		defer conn.Close()
		ask(conn)
		open = append(open, conn)
	}
	job := `{"steps":[{"count":1,"cpu":100,"est_ms":100}]}`
	body := job + strings.Repeat(" ", maxBody-len(job))
	conn, err := net.Dial("tcp", p.public)
	assert.NilError(t, err)
	defer conn.Close()
	assert.Assert(t, send(conn, head(1, chunked)))
	const pieces, spread = 30, 2900 * time.Millisecond
	for i := range pieces {
		piece := body[i*len(body)/pieces : (i+1)*len(body)/pieces]
		assert.Assert(t, send(conn, []byte(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))))
		time.Sleep(spread / pieces)
	}
	assert.Assert(t, send(conn, []byte("0\r\n\r\n")))
	assert.NilError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	for _, conn := range open {
		ask(conn)
	}
	p.check()
}

// Guards against a crowd at a side process that makes the connection of the decider give way, so that the worker's lease would
// not be renewed.
func TestConnectionOfDeciderOutlastsCrowd(t *testing.T) {
	p := start(t, "side")
	conn, err := net.Dial("tcp", p.peer)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, link.WriteMessage(conn, link.Hello{Epoch: 2, Entry: "decider", Instance: "n"}))
	// The decider answers reports all the time, since a side process closes a connection without messages for 2.5 s.
	var exchanged atomic.Int64
	ended := make(chan error, 1)
	go func() {
		for {
			var report link.Report
			err := link.ReadMessage(conn, &report)
			if err == nil {
				err = link.WriteMessage(conn, link.Orders{AnsweredMs: report.SentMs})
			}
			if err != nil {
				ended <- err
				return
			}
			exchanged.Add(1)
		}
	}()
	for _, crowd := range []struct {
		address string
		size    int
		m       member
	}{{p.peer, crowdSize, frames}, {p.control, crowdSize, largeChunks}, {p.peer, 2 * descriptors, leave}} {
		play(crowd.address, crowd.size, crowd.m)
		before := exchanged.Load()
		p.waitFor("a report to the decider", answerTimeout, func() error {
			select {
			case err := <-ended:
				t.Fatalf("the connection of the decider ended: %v", err)
			default:
			}
			if exchanged.Load() <= before {
				return errors.New("none came")
			}
			return nil
		})
	}
}
