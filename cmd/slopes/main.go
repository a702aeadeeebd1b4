// Command slopes measures how the resource usage of each role grows with its load and prints one line of JSON per slope.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/slopes"
)

type args struct {
	Seed   uint64        `arg:"--seed" default:"1" help:"seed of arrivals and run times"`
	Bin    string        `arg:"--bin" help:"directory of the binaries; they are built if it is not given"`
	Only   string        `arg:"--only" help:"measure only this group of slopes"`
	Window time.Duration `arg:"--window" default:"5s" help:"length of the measurement of each size"`
}

// Description is shown by --help.
func (args) Description() string {
	return "Measures memory, CPU time, bytes and records of each role at several small sizes and fits a line to each series.\n" +
		"docs/CAPACITY.md extrapolates the lines to the users' size."
}

// limit is the timeout of a run that hangs.
const limit = 10 * time.Minute

func main() {
	var a args
	parser := arg.MustParse(&a)
	if a.Only != "" && !slices.Contains(slopes.Groups(), a.Only) {
		parser.Fail(fmt.Sprintf("unknown group %q; use one of %v", a.Only, slopes.Groups()))
	}
	ctx, stop := daemon.Context()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	daemon.Exit(slopes.Run(ctx, slopes.Options{Seed: a.Seed, BinDir: a.Bin, Only: a.Only, Window: a.Window}, os.Stdout))
}
