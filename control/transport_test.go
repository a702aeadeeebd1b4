package control

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against headers that no receiver reads, which outweigh most messages, and against the loss of one that is needed.
func TestTransportSendsFewHeaders(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	got := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var lines []string
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
			name, _, _ := strings.Cut(line, ":")
			lines = append(lines, strings.TrimSpace(name))
		}
		got <- strings.Join(lines, ",")
	}()
	c := NewEntryProtobufClient("http://"+ln.Addr().String(), &http.Client{Transport: NewTransport(&http.Transport{})})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = c.Sync(ctx, &SyncRequest{Sequence: 1}) }()
	assert.Equal(t, <-got, "POST /twirp/verbenakeel.control.Entry/Sync HTTP/1.1,Host,Content-Length,Content-Type")
}
