package control

import "net/http"

// Transport sends messages without headers that their receivers do not read: 107 bytes of each request.
type Transport struct {
	// Base sends the requests.
	Base *http.Transport
}

// NewTransport returns a transport over base, which no longer asks for compression: most messages are shorter than the
// header that asks for it.
func NewTransport(base *http.Transport) *Transport {
	base.DisableCompression = true
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	lean := req.Clone(req.Context())
	lean.Header.Del("Accept")
	lean.Header.Del("Twirp-Version")
	// An empty value keeps the client from sending its own.
	lean.Header.Set("User-Agent", "")
	return t.Base.RoundTrip(lean)
}

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
