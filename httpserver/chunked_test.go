package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// decodeAll decodes a chunked body that arrives in pieces of the given size.
func decodeAll(in []byte, piece, limit int) (data []byte, done bool, err error) {
	var d chunkDecoder
	for len(in) > 0 && d.state != chunkDone {
		n, part, err := d.decode(in[:min(piece, len(in))], limit)
		if err != nil {
			return data, false, err
		}
		data = append(data, part...)
		in = in[n:]
	}
	return data, d.state == chunkDone, nil
}

// standardDecode decodes a chunked body with the standard library.
func standardDecode(in []byte) ([]byte, error) {
	head := strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(head, bytes.NewReader(in))))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(req.Body)
}

// Guards against chunked bodies whose decoding depends on how they arrive, and against ones that the standard library decodes
// to other data.
func FuzzChunkDecoder(f *testing.F) {
	for _, s := range []string{"5\r\nhello\r\n0\r\n\r\n", "1\nb\n0\n\n", "a;x=y\r\n0123456789\r\n0\r\nT: v\r\n\r\n", "\r\n", "5\r\nhelloX", "0\r\n\r\nGET /"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		const limit = 1 << 16
		whole, done, err := decodeAll(in, len(in)+1, limit)
		single, doneSingle, errSingle := decodeAll(in, 1, limit)
		assert.Assert(t, bytes.Equal(whole, single))
		assert.Equal(t, done, doneSingle)
		assert.Equal(t, err, errSingle)
		if want, errWant := standardDecode(in); errWant == nil && done {
			assert.Assert(t, bytes.Equal(whole, want), "%q instead of %q", whole, want)
		}
	})
}

// Guards against a line before a chunk, or a trailer, without an end.
func TestEndlessFramingIsRefused(t *testing.T) {
	for _, s := range []string{"1;" + strings.Repeat("x", maxChunkLine), strings.Repeat("0", maxChunkLine+1), "0\r\n" + strings.Repeat("T: v\r\n", maxTrailer)} {
		_, done, err := decodeAll([]byte(s), 100, 1<<16)
		assert.Assert(t, !done)
		assert.ErrorIs(t, err, errChunk)
	}
}
