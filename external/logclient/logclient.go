// Package logclient is an HTTP client of the platform's log service.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/verbenakeel/verbenakeel/external"
)

// maxReply bounds one reply of the log, in bytes.
const maxReply = 64 << 20

// Client is an external.Log over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ external.Log = (*Client)(nil)

// New returns a client of the log at the base URL.
func New(base string) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Client{base, &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: 5 * time.Second,
	}}}
}

// AppendReply is the reply to an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Page is the reply to a read.
type Page struct {
	Offsets []uint64 `json:"offsets"`
	Records [][]byte `json:"records"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
}

// Append implements external.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, ""), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, external.ErrNotAppended, err)
	}
	// Without GetBody the transport does not retry the POST after the connection broke.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, appendError(err), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || rejected(resp.StatusCode):
		return 0, fmt.Errorf("append to %s: %w: %s", stream, external.ErrNotAppended, body)
	case err != nil || resp.StatusCode != http.StatusOK:
		return 0, fmt.Errorf("append to %s: %w", stream, external.ErrOutcomeUnknown)
	}
	var a AppendReply
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, external.ErrOutcomeUnknown, err)
	}
	return a.Offset, nil
}

// rejected reports whether the status means that the request had no effect. A request that timed out may have had one.
func rejected(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// appendError returns ErrNotAppended if the request never left this process, and ErrOutcomeUnknown otherwise.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return external.ErrNotAppended
	}
	return external.ErrOutcomeUnknown
}

// Read implements external.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (external.Page, error) {
	query := fmt.Sprintf("?from=%d&max=%d&wait_ms=%d", from, max, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return external.Page{}, fmt.Errorf("read %s: %w: %w", stream, external.ErrLogDown, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return external.Page{}, fmt.Errorf("read %s: %w: %w", stream, external.ErrLogDown, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil || (resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone) {
		return external.Page{}, fmt.Errorf("read %s: %w: status %d", stream, external.ErrLogDown, resp.StatusCode)
	}
	return decodePage(stream, from, resp.StatusCode, body)
}

func decodePage(stream string, from uint64, status int, body []byte) (external.Page, error) {
	var p Page
	if err := json.Unmarshal(body, &p); err != nil || len(p.Offsets) != len(p.Records) {
		return external.Page{}, fmt.Errorf("read %s: %w: the reply is malformed", stream, external.ErrLogDown)
	}
	page := external.Page{First: p.First, Next: p.Next}
	for i, offset := range p.Offsets {
		page.Entries = append(page.Entries, external.Entry{Offset: offset, Data: p.Records[i]})
	}
	if status == http.StatusGone {
		return page, fmt.Errorf("read %s from %d: %w", stream, from, external.ErrOffsetExpired)
	}
	return page, nil
}

func (c *Client) url(stream, query string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records" + query
}
