package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/errdefs"
)

// clearScreen moves a terminal's cursor home and clears it (ECMA-48).
const clearScreen = "\x1b[H\x1b[2J"

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
		if err != nil && !a.Watch {
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
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(a.Every, pollEvery)):
		}
	}
}

func (c *command) askStatus(ctx context.Context) (statusView, error) {
	v := statusView{AtMs: time.Now().UnixMilli(), Entries: []entry.Status{}, Silent: []string{}, Zones: []zoneRow{}}
	var last error
	for _, base := range c.client.Entries {
		var s entry.Status
		if err := c.client.GetFrom(ctx, base, "/v1/status", &s); err != nil {
			if errdefs.KindOf(err) == errdefs.Unauthorized {
				return v, err
			}
			v.Silent, last = append(v.Silent, base), err
			continue
		}
		v.Entries = append(v.Entries, s)
	}
	if len(v.Entries) == 0 {
		return v, last
	}
	f, err := c.fleet(ctx)
	v.Zones = f.rows()
	return v, err
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
