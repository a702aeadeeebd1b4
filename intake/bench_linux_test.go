package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkOrdinaryRequest measures an ordinary request to an entry, a repeated submission that it answers from memory, and
// reports its resident memory: after the requests, and with 60 open connections that each sent a body of 200 KB once.
func BenchmarkOrdinaryRequest(b *testing.B) {
	const idleConns = 60
	p := start(b, "entry")
	job := `{"steps":[{"count":1,"cpu":100,"est_ms":100}]}`
	ask := func(conn net.Conn, r *bufio.Reader, body string) {
		_, err := fmt.Fprintf(conn, "POST %s00000000000000aa HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", prefix, host, len(body), body)
		assert.NilError(b, err)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.Equal(b, resp.StatusCode, http.StatusOK)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.public)
		assert.NilError(b, err)
		b.Cleanup(func() { conn.Close() })
		return conn
	}
	resident := func() float64 {
		p.maxResidentKB.Store(0)
		p.sample()
		return float64(p.maxResidentKB.Load())
	}
	conn := dial()
	r := bufio.NewReader(conn)
	for b.Loop() {
		ask(conn, r, job)
	}
	b.ReportMetric(resident(), "KB-after")
	for range idleConns {
		c := dial()
		ask(c, bufio.NewReader(c), job+strings.Repeat(" ", 200_000))
	}
	b.ReportMetric(resident(), "KB-idle-conns")
}
