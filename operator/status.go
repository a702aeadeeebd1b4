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

// clearScreen moves the cursor home and clears the terminal (ECMA-48 control sequences).
const clearScreen = "\x1b[H\x1b[2J"

// statusTimeout bounds each of the two rounds of queries for one status view: the statuses of all entries, then the fleet.
const statusTimeout = 2 * time.Second

// statusView is the state of a deployment as reported by its entries.
type statusView struct {
	// AtMs is when the entries were queried, in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Entries holds the status of each entry that responded.
	Entries []entry.Status `json:"entries"`
	// Unresponsive lists the base URLs of the entries that did not respond.
	Unresponsive []string  `json:"silent"`
	Zones        []zoneRow `json:"zones"`
}

func (c *command) status(ctx context.Context) error {
	a := c.args.Status
	for {
		v, err := c.fetchStatus(ctx)
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
			c.reportError(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(a.Every, pollInterval)):
		}
	}
}

// fetchStatus queries all entries concurrently, so that an unresponsive one delays the view by at most statusTimeout.
func (c *command) fetchStatus(ctx context.Context) (statusView, error) {
	v := statusView{AtMs: time.Now().UnixMilli(), Entries: []entry.Status{}, Unresponsive: []string{}, Zones: []zoneRow{}}
	statuses, errs := make([]entry.Status, len(c.client.Entries)), make([]error, len(c.client.Entries))
	statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, base := range c.client.Entries {
		wg.Go(func() { errs[i] = c.client.GetFrom(statusCtx, base, "/v1/status", &statuses[i]) })
	}
	wg.Wait()
	var lastErr error
	for i, err := range errs {
		switch {
		case errdefs.KindOf(err) == errdefs.Unauthorized:
			return v, err
		case err != nil:
			v.Unresponsive, lastErr = append(v.Unresponsive, c.client.Entries[i]), err
		default:
			v.Entries = append(v.Entries, statuses[i])
		}
	}
	if len(v.Entries) == 0 {
		return v, lastErr
	}
	f, err := c.fetchFleetFrom(ctx, errs)
	v.Zones = f.zoneRows()
	return v, err
}

// fetchFleetFrom fetches the fleet from the entries whose status query succeeded, which are those without an error in errs.
func (c *command) fetchFleetFrom(ctx context.Context, errs []error) (fleet, error) {
	cmd := *c
	client := *c.client
	client.Entries = nil
	for i, base := range c.client.Entries {
		if errs[i] == nil {
			client.Entries = append(client.Entries, base)
		}
	}
	cmd.client = &client
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return cmd.fetchFleet(ctx)
}

func (v statusView) table(w io.Writer) {
	fmt.Fprintln(w, "at", formatTime(v.AtMs))
	writeRow(w, "ENTRY", "REGION", "ZONE", "READY", "DRAINING", "REVISION", "LOG FRESH", "CONFIG FRESH", "DECIDER", "EPOCH", "ACTING", "WITNESS", "JOBS", "WORKERS")
	for _, s := range v.Entries {
		writeRow(w, s.Entry, s.Region, s.Zone, s.Ready, s.Draining, s.Revision, s.LogFresh, s.ConfigFresh, orDash(s.Decider), s.Epoch, s.Acting, orDash(s.Witness), s.Jobs, s.Workers)
	}
	for _, s := range v.Unresponsive {
		writeRow(w, s, "no answer")
	}
	fmt.Fprintln(w)
	writeRow(w, "ZONE", "SERVICE", "WORKERS", "TASKS", "ENDPOINTS")
	for _, z := range v.Zones {
		writeRow(w, z.Zone, inOut(z.Out), z.Workers, z.Tasks, z.Endpoints)
	}
}
