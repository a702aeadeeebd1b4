package operator

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

func (c *command) endpointHandler() func(context.Context) error {
	a := c.args.Endpoint
	switch {
	case a.List != nil:
		return c.listEndpoints
	case a.Shutdown != nil:
		return c.shutdown
	case a.Cancel != nil:
		return c.cancelShutdown
	case a.Watch != nil:
		return c.watchEndpoint
	}
	return nil
}

func (c *command) fetchEndpoints(ctx context.Context) ([]entry.EndpointView, error) {
	var list []entry.EndpointView
	err := c.client.Get(ctx, "/v1/endpoints", &list)
	return list, err
}

func (c *command) listEndpoints(ctx context.Context) error {
	list, err := c.fetchEndpoints(ctx)
	if err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) { endpointTable(w, list) })
}

func endpointTable(w io.Writer, list []entry.EndpointView) {
	writeRow(w, "ENDPOINT", "SERVICE", "ZONE", "STATE", "UP", "DRAINED", "SLOTS FREE", "QUEUE", "REVISION", "ADDRESS")
	for _, e := range list {
		writeRow(w, e.ID, e.Service, e.Zone, e.State, e.Up, e.Drained, e.SlotsFree, e.Queue, e.Revision, e.Address)
	}
}

// shutdownOrder returns the shutdown order in force for an endpoint; its revision is 0 if there is none.
func (c *command) shutdownOrder(ctx context.Context, endpoint string) (config.ShutdownVersion, error) {
	var list []config.ShutdownVersion
	if err := c.client.Get(ctx, "/v1/shutdowns", &list); err != nil {
		return config.ShutdownVersion{}, err
	}
	for _, v := range list {
		if v.Shutdown.Endpoint == endpoint {
			return v, nil
		}
	}
	return config.ShutdownVersion{}, nil
}

func (c *command) findEndpoint(ctx context.Context, id string) (entry.EndpointView, []entry.EndpointView, error) {
	list, err := c.fetchEndpoints(ctx)
	if err != nil {
		return entry.EndpointView{}, nil, err
	}
	for _, e := range list {
		if e.ID == id {
			return e, list, nil
		}
	}
	return entry.EndpointView{}, list, errdefs.New(errdefs.NotFound, fmt.Sprintf("endpoint %q not found", id),
		"list endpoints with `verbenakeel endpoint list`; a new one may take a second to appear")
}

func (c *command) shutdown(ctx context.Context) error {
	a := c.args.Endpoint.Shutdown
	if a.Limit < 0 {
		return errdefs.Field("--limit", "is negative", "leave it out for no limit")
	}
	e, all, err := c.findEndpoint(ctx, a.Endpoint)
	if err != nil {
		return err
	}
	order, err := c.shutdownOrder(ctx, a.Endpoint)
	if err != nil {
		return err
	}
	others := 0
	for _, o := range all {
		if o.Service == e.Service && o.ID != e.ID && o.Up && o.State == "up" {
			others++
		}
	}
	affects := []string{
		fmt.Sprintf("endpoint %s of service %s in zone %s gets no new requests; other usable endpoints of the service: %d", e.ID, e.Service, e.Zone, others),
	}
	if a.Limit > 0 {
		affects = append(affects, fmt.Sprintf("requests in progress for longer than %s are aborted", a.Limit))
	}
	if err := c.confirm("shutting down "+e.ID, affects); err != nil {
		return err
	}
	return c.submitChange(ctx, record.ConfigChange{Base: baseRevision(a.Base, order.Revision), Shutdown: &record.ShutdownChange{
		Endpoint: a.Endpoint, Drain: true, LimitMs: a.Limit.Milliseconds(),
	}}, false)
}

func (c *command) cancelShutdown(ctx context.Context) error {
	a := c.args.Endpoint.Cancel
	order, err := c.shutdownOrder(ctx, a.Endpoint)
	if err != nil {
		return err
	}
	if !order.Shutdown.Drain {
		return errdefs.New(errdefs.NotFound, "no shutdown of "+a.Endpoint+" is ordered", "list endpoints with `verbenakeel endpoint list`")
	}
	return c.submitChange(ctx, record.ConfigChange{Base: baseRevision(a.Base, order.Revision), Shutdown: &record.ShutdownChange{Endpoint: a.Endpoint}}, false)
}

// watchEndpoint prints an endpoint each time its state changes, until it has drained or the timeout expires.
func (c *command) watchEndpoint(ctx context.Context) error {
	a := c.args.Endpoint.Watch
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	printed := entry.EndpointView{}
	for {
		e, _, err := c.findEndpoint(ctx, a.Endpoint)
		if err == nil && e != printed {
			printed = e
			if err := c.print(e, func(w io.Writer) {
				fmt.Fprintf(w, "%s %s: %s, up %t, drained %t, %d slots free, queue %d\n", time.Now().UTC().Format(time.RFC3339), e.ID, e.State, e.Up, e.Drained, e.SlotsFree, e.Queue)
			}); err != nil {
				return err
			}
		}
		if err == nil && e.Drained {
			return nil
		}
		if err != nil && errdefs.KindOf(err) == errdefs.NotFound && printed.ID == "" {
			return err
		}
		if !sleepUntilPoll(ctx) {
			return errdefs.New(errdefs.Unavailable, a.Endpoint+" has not drained within "+a.Timeout.String(),
				"requests in progress run to completion; repeat the shutdown with --limit to abort them")
		}
	}
}

func sortedKeys(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for s := range set {
		list = append(list, s)
	}
	sort.Strings(list)
	return list
}
