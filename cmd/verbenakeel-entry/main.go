// Command verbenakeel-entry runs an entry.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/settings"
)

type args struct {
	Settings string `arg:"--settings,required" help:"INI file with the settings of the entry"`
}

func main() {
	var a args
	arg.MustParse(&a)
	daemon.Exit(run(a))
}

func run(a args) error {
	set, err := settings.LoadEntry(a.Settings)
	if err != nil {
		return err
	}
	e, err := entry.New(set, entry.LogFromSettings(set), os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := daemon.Context()
	defer stop()
	daemon.PrintListening("public", e.PublicAddress())
	daemon.PrintListening("operator", e.OperatorAddress())
	daemon.PrintListening("control", e.ControlAddress())
	daemon.PrintReady()
	return e.Run(ctx)
}
