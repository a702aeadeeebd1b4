// Package operator implements the operators' command line and its HTTP client.
package operator

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
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/record"
)

// Limits of the client.
const (
	// callTimeout bounds one HTTP call. It exceeds the 5 s that an entry waits for the log.
	callTimeout = 8 * time.Second
	// outcomeTimeout bounds how long the client polls for the outcome of a change before it reports it as unknown.
	outcomeTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of a response; an audit trail of 10,000 changes fits.
	maxResponseBytes = 64 << 20
	// pollInterval is the time between two polls of an entry.
	pollInterval = 200 * time.Millisecond
)

// Client calls the operator API of entries.
type Client struct {
	// Entries holds the base URLs of entries, tried in order.
	Entries []string
	// Token is the bearer token; empty for none.
	Token string
	// Operator is the name recorded in the audit trail.
	Operator string
	// HTTP sends the requests.
	HTTP *http.Client
}

// response is a completely received HTTP response of an entry.
type response struct {
	status int
	body   []byte
}

// send sends one request to one entry. The second result is true only if the request was certainly not sent, because the
// URL was invalid or the dial failed.
func (c *Client) send(ctx context.Context, base, method, path string, body []byte) (response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, true, errdefs.Field("--entry", fmt.Sprintf("%q is not a URL", base), "use a URL such as http://10.0.0.5:7201")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	req.Header.Set("X-Operator", c.Operator)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		var op *net.OpError
		return response{}, errors.As(err, &op) && op.Op == "dial", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, false, err
	}
	return response{resp.StatusCode, data}, false, nil
}

// Get sends a GET request to the entries in order until one responds, and decodes the response into out. An entry that
// responds with status 503 is skipped.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	var lastErr error
	for _, base := range c.Entries {
		resp, _, err := c.send(ctx, base, http.MethodGet, path, nil)
		if err != nil {
			lastErr = unavailableError(base, err)
			continue
		}
		if resp.status == http.StatusServiceUnavailable {
			lastErr = responseError(resp)
			continue
		}
		return decodeResponse(base, resp, out)
	}
	return lastErr
}

// GetFrom sends a GET request to the entry at base and decodes the response into out.
func (c *Client) GetFrom(ctx context.Context, base, path string, out any) error {
	resp, _, err := c.send(ctx, base, http.MethodGet, path, nil)
	if err != nil {
		return unavailableError(base, err)
	}
	return decodeResponse(base, resp, out)
}

func decodeResponse(base string, resp response, out any) error {
	if resp.status/100 != 2 {
		return responseError(resp)
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return errdefs.New(errdefs.Incompatible, fmt.Sprintf("cannot decode the response of %s: %v", base, err),
			"check that the address is an operator listener and that its version is compatible")
	}
	return nil
}

func unavailableError(base string, err error) error {
	return errdefs.New(errdefs.Unavailable, fmt.Sprintf("%s does not respond: %v", base, err),
		"check the address, or add entries with --entry or VERBENAKEEL_ENTRIES")
}

// responseError returns the typed error in the body of a response.
func responseError(resp response) error {
	var p httpserver.Problem
	if err := json.Unmarshal(resp.body, &p); err != nil || p.Error.Kind == "" {
		return errdefs.New(errdefs.Incompatible, fmt.Sprintf("status %d without an error body: %.200s", resp.status, resp.body),
			"check that the address is an operator listener")
	}
	return &errdefs.Error{Kind: errdefs.Kind(p.Error.Kind), Field: p.Error.Field, Message: p.Error.Message, Remedy: p.Error.Remedy}
}

// sendAtMostOnce sends a request that changes state. It tries the next entry only if the previous one cannot have received
// the request or responded that it did not execute it. The last result is false if the outcome is unknown.
func (c *Client) sendAtMostOnce(ctx context.Context, method, path string, body []byte) (response, error, bool) {
	var lastErr error
	for _, base := range c.Entries {
		resp, unsent, err := c.send(ctx, base, method, path, body)
		switch {
		case err != nil && unsent:
			lastErr = unavailableError(base, err)
		case err != nil:
			return response{}, errdefs.New(errdefs.Unknown, fmt.Sprintf("no complete response from %s: %v", base, err), "query the outcome"), false
		case resp.status == http.StatusServiceUnavailable && notExecuted(resp):
			lastErr = responseError(resp)
		case outcomeUnknown(resp):
			return resp, responseError(resp), false
		default:
			return resp, nil, true
		}
	}
	return response{}, lastErr, true
}

func notExecuted(resp response) bool {
	var p httpserver.Problem
	return json.Unmarshal(resp.body, &p) == nil && p.NotRun
}

func outcomeUnknown(resp response) bool {
	var p httpserver.Problem
	return resp.status >= 500 && (json.Unmarshal(resp.body, &p) != nil || !p.NotRun)
}

// Change sends a configuration change under its id and returns its outcome. If the response is lost, it polls the entries
// for the outcome by the id; it does not send the change again.
func (c *Client) Change(ctx context.Context, change record.ConfigChange) (config.Outcome, error) {
	var out config.Outcome
	body, err := json.Marshal(change)
	if err != nil {
		return out, fmt.Errorf("encode change: %w", err)
	}
	resp, err, known := c.sendAtMostOnce(ctx, http.MethodPost, "/v1/config", body)
	if known && err != nil {
		return out, err
	}
	if !known {
		return c.awaitOutcome(ctx, change.ID, err)
	}
	return decodeOutcome(resp)
}

// decodeOutcome decodes the outcome of a change. Acceptance, conflict and rejection are outcomes, not errors.
func decodeOutcome(resp response) (config.Outcome, error) {
	var out config.Outcome
	if err := json.Unmarshal(resp.body, &out); err == nil && out.Status != "" {
		return out, nil
	}
	return out, responseError(resp)
}

// awaitOutcome polls all entries until one returns the outcome of a change.
func (c *Client) awaitOutcome(ctx context.Context, id string, cause error) (config.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		for _, base := range c.Entries {
			resp, _, err := c.send(ctx, base, http.MethodGet, "/v1/config/changes/"+url.PathEscape(id), nil)
			if err == nil && resp.status != http.StatusNotFound {
				if out, err := decodeOutcome(resp); err == nil {
					return out, nil
				}
			}
		}
		select {
		case <-ctx.Done():
			return config.Outcome{}, errdefs.New(errdefs.Unknown, fmt.Sprintf("the outcome of change %s is unknown: %v", id, cause),
				"run `verbenakeel change "+id+"` until it prints the outcome; do not repeat the change before that")
		case <-time.After(pollInterval):
		}
	}
}

// baseURLs splits comma-separated addresses and prepends scheme to those without one.
func baseURLs(entries []string, scheme string) []string {
	var list []string
	for _, e := range entries {
		for _, a := range strings.Split(e, ",") {
			a = strings.TrimSuffix(strings.TrimSpace(a), "/")
			if a == "" {
				continue
			}
			if !strings.Contains(a, "://") {
				a = scheme + "://" + a
			}
			list = append(list, a)
		}
	}
	return list
}
