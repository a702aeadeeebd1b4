package operator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/errdefs"
)

// clearScreen moves a terminal's cursor home and clears it (ECMA-48).
const clearScreen = "\x1b[H\x1b[2J"

// statusTimeout bounds the wait for the entries' answers to one view.
const statusTimeout = 2 * time.Second

// statusView is the state of a deployment as its entries tell it.
type statusView struct {
	// AtMs is when the entries were asked, in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Entries hold one status for each entry that answered.
	Entries []entry.Status `json:"entries"`
	// Silent lists the entries that did not answer.
	Silent []string  `json:"silent"`
	Zones  []zoneRow `json:"zones"`
}

func (c *command) status(ctx context.Context) error {
	a := c.args.Status
	for {
		v, err := c.askStatus(ctx)
		if a.Watch && ctx.Err() != nil {
			return nil
		}
		if err != nil && (!a.Watch || errdefs.KindOf(err) == errdefs.Unauthorized) {
			return err
		}
		if a.Watch && c.Terminal && !c.args.JSON {
			fmt.Fprint(c.Out, clearScreen)
		}
		if err := c.print(v, v.table); err != nil {
			return err
		}
		if !a.Watch {
			return nil
		}
		if err != nil {
			c.fail(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(a.Every, pollEvery)):
		}
	}
}

// askStatus asks all entries at once, so that one that does not answer delays the view by no more than statusTimeout.
func (c *command) askStatus(ctx context.Context) (statusView, error) {
	v := statusView{AtMs: time.Now().UnixMilli(), Entries: []entry.Status{}, Silent: []string{}, Zones: []zoneRow{}}
	answers, errs := make([]entry.Status, len(c.client.Entries)), make([]error, len(c.client.Entries))
	limited, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for i, base := range c.client.Entries {
		asked.Go(func() { errs[i] = c.client.GetFrom(limited, base, "/v1/status", &answers[i]) })
	}
	asked.Wait()
	var last error
	for i, err := range errs {
		switch {
		case errdefs.KindOf(err) == errdefs.Unauthorized:
			return v, err
		case err != nil:
			v.Silent, last = append(v.Silent, c.client.Entries[i]), err
		default:
			v.Entries = append(v.Entries, answers[i])
		}
	}
	if len(v.Entries) == 0 {
		return v, last
	}
	f, err := c.fleetFrom(ctx, errs)
	v.Zones = f.rows()
	return v, err
}

// fleetFrom asks the entries that just answered for the fleet.
func (c *command) fleetFrom(ctx context.Context, errs []error) (fleet, error) {
	answering := *c
	client := *c.client
	client.Entries = nil
	for i, base := range c.client.Entries {
		if errs[i] == nil {
			client.Entries = append(client.Entries, base)
		}
	}
	answering.client = &client
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return answering.fleet(ctx)
}

func (v statusView) table(w io.Writer) {
	fmt.Fprintln(w, "at", timeText(v.AtMs))
	row(w, "ENTRY", "REGION", "ZONE", "READY", "DRAINING", "REVISION", "LOG FRESH", "CONFIG FRESH", "DECIDER", "EPOCH", "ACTING", "WITNESS", "JOBS", "WORKERS")
	for _, s := range v.Entries {
		row(w, s.Entry, s.Region, s.Zone, s.Ready, s.Draining, s.Revision, s.LogFresh, s.ConfigFresh, orDash(s.Decider), s.Epoch, s.Acting, orDash(s.Witness), s.Jobs, s.Workers)
	}
	for _, s := range v.Silent {
		row(w, s, "no answer")
	}
	fmt.Fprintln(w)
	row(w, "ZONE", "SERVICE", "WORKERS", "TASKS", "ENDPOINTS")
	for _, z := range v.Zones {
		row(w, z.Zone, inOut(z.Out), z.Workers, z.Tasks, z.Endpoints)
	}
}
