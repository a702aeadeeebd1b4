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
	daemon.Listening("public", e.PublicAddress())
	daemon.Listening("operator", e.OperatorAddress())
	daemon.Listening("control", e.ControlAddress())
	daemon.Ready()
	return e.Run(ctx)
}
