// Package operator holds the commands of the operators' command line and its HTTP client.
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
	// callTimeout bounds one call; an entry waits at most 5 s for the log.
	callTimeout = 8 * time.Second
	// outcomeTimeout bounds how long the outcome of a change is asked for before it is reported as unknown.
	outcomeTimeout = 10 * time.Second
	// maxAnswer bounds an answer in bytes; an audit trail of 10,000 changes fits.
	maxAnswer = 64 << 20
	pollEvery = 200 * time.Millisecond
)

// Client calls the operators' interface of entries.
type Client struct {
	// Entries are base URLs, tried in turn.
	Entries []string
	// Token is the operators' token; empty for none.
	Token string
	// Operator names who acts, for the audit trail.
	Operator string
	// HTTP sends the requests.
	HTTP *http.Client
}

// answer is a whole answer of an entry.
type answer struct {
	status int
	body   []byte
}

// send sends one request to one entry. The second result is true if the request certainly never left this process.
func (c *Client) send(ctx context.Context, base, method, path string, body []byte) (answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, true, errdefs.Field("--entry", fmt.Sprintf("%q is not a URL", base), "write for example http://10.0.0.5:7201")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	req.Header.Set("X-Operator", c.Operator)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		var op *net.OpError
		return answer{}, errors.As(err, &op) && op.Op == "dial", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, false, err
	}
	return answer{resp.StatusCode, data}, false, nil
}

// Get asks the entries in turn until one answers, and decodes its answer.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	var last error
	for _, base := range c.Entries {
		a, _, err := c.send(ctx, base, http.MethodGet, path, nil)
		if err != nil {
			last = unavailable(base, err)
			continue
		}
		if a.status == http.StatusServiceUnavailable {
			last = problem(a)
			continue
		}
		return decode(base, a, out)
	}
	return last
}

// GetFrom asks one entry.
func (c *Client) GetFrom(ctx context.Context, base, path string, out any) error {
	a, _, err := c.send(ctx, base, http.MethodGet, path, nil)
	if err != nil {
		return unavailable(base, err)
	}
	return decode(base, a, out)
}

func decode(base string, a answer, out any) error {
	if a.status/100 != 2 {
		return problem(a)
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return errdefs.New(errdefs.Incompatible, fmt.Sprintf("the answer of %s cannot be read: %v", base, err),
			"check that the address is an operator listener and that its version fits")
	}
	return nil
}

func unavailable(base string, err error) error {
	return errdefs.New(errdefs.Unavailable, fmt.Sprintf("%s does not answer: %v", base, err),
		"check the address, or name further entries with --entry or VERBENAKEEL_ENTRIES")
}

// problem returns the typed error of an answer.
func problem(a answer) error {
	var p httpserver.Problem
	if err := json.Unmarshal(a.body, &p); err != nil || p.Error.Kind == "" {
		return errdefs.New(errdefs.Incompatible, fmt.Sprintf("status %d without a reason: %.200s", a.status, a.body),
			"check that the address is an operator listener")
	}
	return &errdefs.Error{Kind: errdefs.Kind(p.Error.Kind), Field: p.Error.Field, Message: p.Error.Message, Remedy: p.Error.Remedy}
}

// act sends a request that changes something. It goes to another entry only if no earlier one can have received it or
// the earlier one said that it was not carried out. The last result is false if the outcome is unknown.
func (c *Client) act(ctx context.Context, method, path string, body []byte) (answer, error, bool) {
	var last error
	for _, base := range c.Entries {
		a, unsent, err := c.send(ctx, base, method, path, body)
		switch {
		case err != nil && unsent:
			last = unavailable(base, err)
		case err != nil:
			return answer{}, errdefs.New(errdefs.Unknown, fmt.Sprintf("%s gave no whole answer: %v", base, err), "ask for the outcome"), false
		case a.status == http.StatusServiceUnavailable && notRun(a):
			last = problem(a)
		case unknown(a):
			return a, problem(a), false
		default:
			return a, nil, true
		}
	}
	return answer{}, last, true
}

func notRun(a answer) bool {
	var p httpserver.Problem
	return json.Unmarshal(a.body, &p) == nil && p.NotRun
}

func unknown(a answer) bool {
	var p httpserver.Problem
	return a.status >= 500 && (json.Unmarshal(a.body, &p) != nil || !p.NotRun)
}

// Change sends a change of configuration under its id and returns its outcome. If no answer tells it, the entries are
// asked for it by the id; the change is never sent again.
func (c *Client) Change(ctx context.Context, change record.ConfigChange) (config.Outcome, error) {
	var out config.Outcome
	body, err := json.Marshal(change)
	if err != nil {
		return out, fmt.Errorf("encode change: %w", err)
	}
	a, err, known := c.act(ctx, http.MethodPost, "/v1/config", body)
	if known && err != nil {
		return out, err
	}
	if !known {
		return c.awaitOutcome(ctx, change.ID, err)
	}
	return outcomeOf(a)
}

// outcomeOf reads the outcome of a change. An accepted, conflicting or rejected change is an outcome and no error.
func outcomeOf(a answer) (config.Outcome, error) {
	var out config.Outcome
	if err := json.Unmarshal(a.body, &out); err == nil && out.Status != "" {
		return out, nil
	}
	return out, problem(a)
}

// awaitOutcome asks all entries for the outcome of a change until one knows it.
func (c *Client) awaitOutcome(ctx context.Context, id string, cause error) (config.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		for _, base := range c.Entries {
			a, _, err := c.send(ctx, base, http.MethodGet, "/v1/config/changes/"+url.PathEscape(id), nil)
			if err == nil && a.status != http.StatusNotFound {
				if out, err := outcomeOf(a); err == nil {
					return out, nil
				}
			}
		}
		select {
		case <-ctx.Done():
			return config.Outcome{}, errdefs.New(errdefs.Unknown, fmt.Sprintf("the outcome of change %s is not known: %v", id, cause),
				"run `verbenakeel change "+id+"` until it tells; do not make the change again before")
		case <-time.After(pollEvery):
		}
	}
}

// baseURLs completes addresses to base URLs.
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
