// Command demo runs both users' deployments at today's sizes on this machine and checks their invariants.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/demo"
)

type args struct {
	Processes bool   `arg:"--processes" help:"run every role in a separate process"`
	Bin       string `arg:"--bin" help:"directory of the binaries; they are built if it is not given"`
	Seed      uint64 `arg:"--seed" default:"1" help:"seed of arrivals and service times"`
	Verbose   bool   `arg:"--verbose" help:"print the log lines of all roles"`
}

// limit is the timeout of a run that hangs.
const limit = 58 * time.Second

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := daemon.Context()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begin := time.Now()
	err := demo.Run(ctx, demo.Options{Processes: a.Processes, BinDir: a.Bin, Seed: a.Seed, Verbose: a.Verbose}, os.Stdout)
	fmt.Printf("\nthe demo took %.1f s\n", time.Since(begin).Seconds())
	daemon.Exit(err)
}
