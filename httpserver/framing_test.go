package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests whose body a proxy delimits differently: each is refused, and what follows is not read as a request.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	hidden := "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct{ name, request string }{
		{"length and coding", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"two lengths", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n"},
		{"other coding", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"two codings", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"identity", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n"},
		{"coding on HTTP/1.0", "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"folded line", "POST /x HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nab"},
		{"chunk size with a bare CR", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r0\r\n\r\n"},
		{"chunk extension that ends in LF", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0;x\n\r\n"},
		{"chunk that ends in LF", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBounded(t, nil)
			conn := dial(t, b.address)
			_, err := io.WriteString(conn, c.request+hidden)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 400)
			until(t, "the end of the connection", func() bool { _, conns := b.intake.Usage(); return conns == 0 })
			assert.Equal(t, b.paths(), "")
		})
	}
}
