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

// Options configure a run.
type Options struct {
	// Seed drives arrivals and run times.
	Seed uint64
	// BinDir holds the binaries; if empty they are built.
	BinDir string
	// Only runs one group; empty runs all.
	Only string
	// Window is how long each size is measured.
	Window time.Duration
}

// region and service are those of the stand-ins.
const (
	region  = "midshire"
	service = "fitcheck"
)

// runner is the state of one group.
type runner struct {
	Options
	*set
}

// group measures related lines.
type group struct {
	name string
	run  func(*runner, context.Context) error
}

// groups are in the order of their weight for the budgets of a daemon.
var groups = []group{
	{"idle", (*runner).idle}, {"announce", (*runner).announced}, {"poll", (*runner).polled}, {"held", (*runner).held},
	{"requests", (*runner).requests}, {"kept", (*runner).kept}, {"starts", (*runner).starts},
	{"config", (*runner).config}, {"records", (*runner).records}, {"polls", (*runner).pollCost},
	{"decider", (*runner).decider},
}

// Groups returns the names of the groups.
func Groups() []string {
	var names []string
	for _, g := range groups {
		names = append(names, g.name)
	}
	return names
}

// Run measures and prints one line of JSON per slope.
func Run(ctx context.Context, opts Options, out io.Writer) error {
	defer launch.RemoveBuilds()
	for _, g := range groups {
		if opts.Only != "" && opts.Only != g.name {
			continue
		}
		s := &set{command: fmt.Sprintf("go run ./cmd/slopes --seed %d --only %s", opts.Seed, g.name)}
		if err := g.run(&runner{opts, s}, ctx); err != nil {
			return fmt.Errorf("group %s: %w", g.name, err)
		}
		if err := s.print(out); err != nil {
			return err
		}
	}
	return nil
}

// withDeployment starts separate processes, calls f, and ends them.
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
	// A shorter silence only shortens the wait for the first decider.
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
