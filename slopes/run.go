package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// Options configure Run.
type Options struct {
	// Seed is the seed of arrivals and run times.
	Seed uint64
	// BinDir is the directory of the binaries; if empty they are built.
	BinDir string
	// Only is the name of the only group to run; if empty all groups run.
	Only string
	// Window is the length of the measurement of each size.
	Window time.Duration
}

// region and service are the names that the deployments use.
const (
	region  = "midshire"
	service = "fitcheck"
)

// runner measures one group and collects its slopes.
type runner struct {
	Options
	*slopeSet
}

// group is a named set of related measurements.
type group struct {
	name string
	run  func(*runner, context.Context) error
}

// groups is ordered by importance for the resource budgets of the daemons.
var groups = []group{
	{"idle", (*runner).measureIdle}, {"announce", (*runner).measureAnnounce}, {"poll", (*runner).measurePolls}, {"held", (*runner).measureHeldTasks},
	{"requests", (*runner).measureRequests}, {"kept", (*runner).measureKeptState}, {"starts", (*runner).measureStarts},
	{"config", (*runner).measureConfig}, {"records", (*runner).measureRecords}, {"polls", (*runner).measurePollCost},
	{"decider", (*runner).measureDecider},
}

// Groups returns the names of the groups.
func Groups() []string {
	var names []string
	for _, g := range groups {
		names = append(names, g.name)
	}
	return names
}

// Run measures the selected groups and prints one line of JSON per slope.
func Run(ctx context.Context, opts Options, out io.Writer) error {
	defer launch.RemoveBuilds()
	for _, g := range groups {
		if opts.Only != "" && opts.Only != g.name {
			continue
		}
		s := &slopeSet{command: fmt.Sprintf("go run ./cmd/slopes --seed %d --only %s", opts.Seed, g.name)}
		if err := g.run(&runner{opts, s}, ctx); err != nil {
			return fmt.Errorf("group %s: %w", g.name, err)
		}
		if err := s.print(out); err != nil {
			return err
		}
	}
	return nil
}

// withDeployment starts a deployment of separate processes, calls f and stops them.
func (r *runner) withDeployment(ctx context.Context, change func(*deploy.Options), f func(*deploy.Deployment) error) error {
	dir, err := os.MkdirTemp("", "verbenakeel-slopes-")
	if err != nil {
		return fmt.Errorf("make settings directory: %w", err)
	}
	defer os.RemoveAll(dir)
	g := new(launch.Group)
	defer g.Close()
	opts := deploy.Options{
		Dir: dir, Region: region, Zones: []string{"midshire-a", "midshire-b", "midshire-c"}, Entries: 1,
		ServiceTime: 5 * time.Millisecond, Group: g, BinDir: r.BinDir, Output: io.Discard,
	}
	// A shorter decider timeout only shortens the wait for the first decider.
	opts.EntrySettings = []deploy.Setting{{Key: "times.decider_silence", Value: "500ms"}}
	change(&opts)
	d, err := deploy.Start(ctx, opts)
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	return f(d)
}
