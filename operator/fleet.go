package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/settings"
)

// defaultWaitTimeout bounds --wait. With all regions connected a change is in force everywhere within 10 s.
const defaultWaitTimeout = 30 * time.Second

// sleepUntilPoll sleeps for one poll interval. It returns false if ctx is done.
func sleepUntilPoll(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollInterval):
		return true
	}
}

func (c *command) zoneHandler() func(context.Context) error {
	a := c.args.Zone
	switch {
	case a.Out != nil:
		return func(ctx context.Context) error { return c.changeZone(ctx, a.Out, true) }
	case a.In != nil:
		return func(ctx context.Context) error { return c.changeZone(ctx, a.In, false) }
	case a.List != nil:
		return c.listZones
	}
	return nil
}

// fleet holds the endpoints, workers and zones as returned by an entry.
type fleet struct {
	endpoints []entry.EndpointView
	workers   []entry.WorkerView
	zones     []config.ZoneVersion
}

func (c *command) fetchFleet(ctx context.Context) (fleet, error) {
	var f fleet
	if err := c.client.Get(ctx, "/v1/endpoints", &f.endpoints); err != nil {
		return f, err
	}
	if err := c.client.Get(ctx, "/v1/workers", &f.workers); err != nil {
		return f, err
	}
	return f, c.client.Get(ctx, "/v1/zones", &f.zones)
}

func (f fleet) zone(name string) (config.ZoneVersion, bool) {
	for _, z := range f.zones {
		if z.Zone.Zone == name {
			return z, true
		}
	}
	return config.ZoneVersion{}, false
}

// affectedBy describes the effects of taking a zone out of service: its workers and tasks, and for each of its services
// the endpoints in and outside the zone.
func (f fleet) affectedBy(zone string) []string {
	workers, tasks := 0, 0
	for _, w := range f.workers {
		if w.Zone == zone && !w.Lost {
			workers++
			tasks += w.Tasks
		}
	}
	list := []string{fmt.Sprintf("workers that get no new work: %d; tasks on them that are moved: %d", workers, tasks)}
	here, elsewhere := make(map[string]int), make(map[string]int)
	var services []string
	for _, e := range f.endpoints {
		if !slices.Contains(services, e.Service) {
			services = append(services, e.Service)
		}
		if e.Zone == zone {
			here[e.Service]++
		} else if e.Up && e.State == "up" {
			elsewhere[e.Service]++
		}
	}
	for _, s := range services {
		if here[s] > 0 {
			list = append(list, fmt.Sprintf("endpoints of service %s here: %d; usable ones in other zones: %d", s, here[s], elsewhere[s]))
		}
	}
	return list
}

func (f fleet) hasZone(name string) bool {
	if _, ok := f.zone(name); ok {
		return true
	}
	for _, w := range f.workers {
		if w.Zone == name {
			return true
		}
	}
	for _, e := range f.endpoints {
		if e.Zone == name {
			return true
		}
	}
	return false
}

func (c *command) changeZone(ctx context.Context, a *ZoneChangeArgs, out bool) error {
	f, err := c.fetchFleet(ctx)
	if err != nil {
		return err
	}
	if !f.hasZone(a.Zone) {
		return errdefs.New(errdefs.Invalid, fmt.Sprintf("no worker or endpoint is in zone %q", a.Zone), "list zones with `verbenakeel zone list`")
	}
	current, _ := f.zone(a.Zone)
	if current.Zone.Out == out {
		return c.print(current, func(w io.Writer) {
			fmt.Fprintf(w, "nothing to do: zone %s is %s of service already (revision %d)\n", a.Zone, inOut(out), current.Revision)
		})
	}
	if out {
		if err := c.confirm("taking zone "+a.Zone+" out of service", f.affectedBy(a.Zone)); err != nil {
			return err
		}
	}
	change := record.ConfigChange{Base: baseRevision(a.Base, current.Revision), Zone: &record.ZoneChange{Zone: a.Zone, Out: out, Reason: a.Reason}}
	return c.submitChange(ctx, change, a.Wait)
}

func inOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// zoneRow is a row of the table of zones.
type zoneRow struct {
	Zone      string `json:"zone"`
	Out       bool   `json:"out"`
	Revision  uint64 `json:"revision"`
	Reason    string `json:"reason,omitempty"`
	Workers   int    `json:"workers"`
	Tasks     int    `json:"tasks"`
	Endpoints int    `json:"endpoints"`
}

func (f fleet) zoneRows() []zoneRow {
	rows := []zoneRow{}
	index := make(map[string]int)
	get := func(zone string) *zoneRow {
		i, ok := index[zone]
		if !ok {
			i = len(rows)
			index[zone] = i
			rows = append(rows, zoneRow{Zone: zone})
		}
		return &rows[i]
	}
	for _, z := range f.zones {
		r := get(z.Zone.Zone)
		r.Out, r.Revision, r.Reason = z.Zone.Out, z.Revision, z.Zone.Reason
	}
	for _, w := range f.workers {
		r := get(w.Zone)
		r.Workers++
		r.Tasks += w.Tasks
	}
	for _, e := range f.endpoints {
		get(e.Zone).Endpoints++
	}
	return rows
}

func (c *command) listZones(ctx context.Context) error {
	f, err := c.fetchFleet(ctx)
	if err != nil {
		return err
	}
	rows := f.zoneRows()
	return c.print(rows, func(w io.Writer) {
		writeRow(w, "ZONE", "SERVICE", "REVISION", "WORKERS", "TASKS", "ENDPOINTS", "REASON")
		for _, r := range rows {
			writeRow(w, r.Zone, inOut(r.Out), r.Revision, r.Workers, r.Tasks, r.Endpoints, r.Reason)
		}
	})
}

func (c *command) listWorkers(ctx context.Context) error {
	var list []entry.WorkerView
	if err := c.client.Get(ctx, "/v1/workers", &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		writeRow(w, "WORKER", "ZONE", "RACK", "LOST", "TASKS", "CORES", "MEMORY MB", "ACCELERATORS")
		for _, v := range list {
			writeRow(w, v.ID, v.Zone, v.Rack, v.Lost, v.Tasks, usageText(v.Committed.CPUMilli, v.Capacity.CPUMilli, 1000),
				usageText(v.Committed.MemoryMB, v.Capacity.MemoryMB, 1), usageText(v.Committed.Accelerators, v.Capacity.Accelerators, 1))
		}
	})
}

func usageText(committed, capacity, unit int64) string {
	return fmt.Sprintf("%.4g/%.4g", float64(committed)/float64(unit), float64(capacity)/float64(unit))
}

func (c *command) wait(ctx context.Context) error {
	return c.waitInForce(ctx, c.args.Wait.Revision, c.args.Wait.Timeout)
}

// waitInForce polls all entries of the client until none reports a process that enforces an older revision. An entry that
// does not respond counts as behind, because its region may be partitioned.
func (c *command) waitInForce(ctx context.Context, revision uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		behind := make(map[string]bool)
		for _, base := range c.client.Entries {
			var r entry.InForce
			err := c.client.GetFrom(ctx, base, fmt.Sprintf("/v1/inforce?revision=%d", revision), &r)
			if err != nil {
				behind[base+" (no answer)"] = true
			}
			for _, id := range r.Behind {
				behind[id] = true
			}
			for _, id := range r.Unresponsive {
				behind[id+" (silent)"] = true
			}
			if err == nil && !r.Everyone && len(r.Behind)+len(r.Unresponsive) == 0 {
				behind[base+" (not everywhere)"] = true
			}
		}
		if len(behind) == 0 {
			return c.print(map[string]any{"revision": revision, "everyone": true}, func(w io.Writer) {
				fmt.Fprintf(w, "revision %d is in force everywhere\n", revision)
			})
		}
		if !sleepUntilPoll(ctx) {
			return errdefs.New(errdefs.Unavailable, fmt.Sprintf("revision %d is not in force everywhere after %s; behind: %s", revision, timeout, strings.Join(sortedKeys(behind), ", ")),
				"check these processes, wait again, or remove decommissioned entries from --entry")
		}
	}
}

func (c *command) checkSettings(context.Context) error {
	a := c.args.Settings.Check
	data, err := os.ReadFile(a.File)
	if err != nil {
		return errdefs.New(errdefs.Invalid, err.Error(), "name a readable INI file")
	}
	var problems []settings.Problem
	switch a.Role {
	case "entry":
		_, problems = settings.CheckEntry(data)
	case "side":
		_, problems = settings.CheckSide(data)
	default:
		return errdefs.Field("--role", fmt.Sprintf("%q is not a role", a.Role), "use entry or side")
	}
	if err := c.print(map[string]any{"file": a.File, "problems": append([]settings.Problem{}, problems...)}, func(w io.Writer) {
		for _, p := range problems {
			fmt.Fprintf(w, "%s: %s\n", a.File, p)
		}
		if len(problems) == 0 {
			fmt.Fprintf(w, "%s: ok\n", a.File)
		}
	}); err != nil || len(problems) == 0 {
		return err
	}
	return errdefs.New(errdefs.Invalid, fmt.Sprintf("%s has %d problems", a.File, len(problems)), "correct the listed lines; docs/settings.md lists every key")
}
