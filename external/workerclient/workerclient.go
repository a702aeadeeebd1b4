// Package workerclient is an HTTP client of the platform's worker.
package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
)

// maxReply bounds a reply of the worker, in bytes.
const maxReply = 8 << 20

// Client is an external.Worker over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ external.Worker = (*Client)(nil)

// New returns a client of the worker at the base URL.
func New(base string) *Client {
	return &Client{base, &http.Client{Timeout: 5 * time.Second}}
}

// AttemptRequest is the body of a request about one attempt.
type AttemptRequest struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Reason     string `json:"reason,omitempty"`
	ShareMilli int64  `json:"share_milli,omitempty"`
}

// RenewRequest is the body of a request to renew leases.
type RenewRequest struct {
	Epoch  uint64           `json:"epoch"`
	Leases []external.Lease `json:"leases"`
}

// Status implements external.Worker.
func (c *Client) Status(ctx context.Context) (external.WorkerStatus, error) {
	var s external.WorkerStatus
	err := c.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// Start implements external.Worker.
func (c *Client) Start(ctx context.Context, spec external.TaskSpec) error {
	return c.call(ctx, http.MethodPost, "/start", spec, nil)
}

// Renew implements external.Worker.
func (c *Client) Renew(ctx context.Context, epoch uint64, leases []external.Lease) error {
	return c.call(ctx, http.MethodPost, "/renew", RenewRequest{Epoch: epoch, Leases: leases}, nil)
}

// Checkpoint implements external.Worker.
func (c *Client) Checkpoint(ctx context.Context, task string, attempt uint32, reason string) error {
	return c.call(ctx, http.MethodPost, "/checkpoint", AttemptRequest{Task: task, Attempt: attempt, Reason: reason}, nil)
}

// Stop implements external.Worker.
func (c *Client) Stop(ctx context.Context, task string, attempt uint32, reason string) error {
	return c.call(ctx, http.MethodPost, "/stop", AttemptRequest{Task: task, Attempt: attempt, Reason: reason}, nil)
}

// Throttle implements external.Worker.
func (c *Client) Throttle(ctx context.Context, task string, attempt uint32, shareMilli int64) error {
	return c.call(ctx, http.MethodPost, "/throttle", AttemptRequest{Task: task, Attempt: attempt, ShareMilli: shareMilli}, nil)
}

// Forget implements external.Worker.
func (c *Client) Forget(ctx context.Context, task string, attempt uint32) error {
	return c.call(ctx, http.MethodPost, "/forget", AttemptRequest{Task: task, Attempt: attempt}, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode worker request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("worker request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("worker %s: %w: %w", path, errdefs.New(errdefs.Unavailable, "the worker does not answer", "check the worker's URL in the settings"), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return fmt.Errorf("worker %s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("worker %s: %w", path, errdefs.New(errdefs.Refused, string(data), "read the worker's reason"))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode worker reply: %w", err)
	}
	return nil
}
