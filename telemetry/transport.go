package telemetry

import (
	"io"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
)

// Transport counts the bytes of message bodies that a client sends and receives.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
	// Bytes counts by message and direction.
	Bytes Counter
}

// MessageOf names the message of a request by its path. Paths that hold ids count as other.
func MessageOf(p string) string {
	if strings.HasPrefix(p, "/twirp/") {
		return path.Base(p)
	}
	return "other"
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	message := MessageOf(req.URL.Path)
	if req.ContentLength > 0 {
		t.Bytes.Add(float64(req.ContentLength), message, "sent")
	}
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, done: func(n int64) { t.Bytes.Add(float64(n), message, "received") }}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base. Without it http.Client.CloseIdleConnections does nothing.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// countedBody counts what was read when it is closed.
type countedBody struct {
	io.ReadCloser
	n    int64
	once atomic.Bool
	done func(int64)
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n += int64(n)
	return n, err
}

func (b *countedBody) Close() error {
	if b.once.CompareAndSwap(false, true) {
		b.done(b.n)
	}
	return b.ReadCloser.Close()
}
