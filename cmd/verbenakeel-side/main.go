// Command verbenakeel-side runs the side process of an instance.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/workerclient"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/side"
)

type args struct {
	Settings string `arg:"--settings,required" help:"INI file with the settings of the side process"`
}

func main() {
	var a args
	arg.MustParse(&a)
	daemon.Exit(run(a))
}

func run(a args) error {
	set, err := settings.LoadSide(a.Settings)
	if err != nil {
		return err
	}
	var worker external.Worker
	if set.WorkerURL != "" {
		worker = workerclient.New(set.WorkerURL)
	}
	s, err := side.New(set, worker, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := daemon.Context()
	defer stop()
	daemon.PrintListening("data", s.DataAddress())
	daemon.PrintReady()
	return s.Run(ctx)
}
