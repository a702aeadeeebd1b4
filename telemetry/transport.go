package telemetry

import (
	"io"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
)

// Transport is an http.RoundTripper that counts the bytes of the bodies that a client sends and receives.
type Transport struct {
	// Base executes the requests.
	Base http.RoundTripper
	// Bytes is the counter of bytes, by message and direction.
	Bytes Counter
}

// MessageOf returns the value of the label message for a request path. It is other for paths outside /twirp/, because
// they contain ids.
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
	resp.Body = &countedBody{ReadCloser: resp.Body, onClose: func(n int64) { t.Bytes.Add(float64(n), message, "received") }}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base. Without this method http.Client.CloseIdleConnections has no
// effect.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// countedBody is a response body that reports the number of bytes read when it is closed.
type countedBody struct {
	io.ReadCloser
	bytesRead int64
	reported  atomic.Bool
	onClose   func(int64)
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytesRead += int64(n)
	return n, err
}

func (b *countedBody) Close() error {
	if b.reported.CompareAndSwap(false, true) {
		b.onClose(b.bytesRead)
	}
	return b.ReadCloser.Close()
}
