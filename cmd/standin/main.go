// Command standin runs a stand-in for one part of the platform: the log service, a worker or an endpoint. Tests,
// measurements and the demo use it.
package main

import (
	"context"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/standin"
)

type logArgs struct {
	Appends     int           `arg:"--appends-per-second" default:"300" help:"limit on appends per second; 0 for none"`
	KeepRecords int           `arg:"--keep-records" default:"100000" help:"number of records retained per stream; 0 for all"`
	KeepFor     time.Duration `arg:"--keep-for" default:"24h" help:"retention time of records; 0 for no limit"`
}

type workerArgs struct {
	ID             string        `arg:"--id,required" help:"name of the worker"`
	CPUMilli       int64         `arg:"--cpu-milli" default:"16000" help:"CPU capacity in thousandths of a core"`
	MemoryMB       int64         `arg:"--memory-mb" default:"60000" help:"memory in megabytes"`
	Accelerators   int64         `arg:"--accelerators" default:"0" help:"number of accelerators"`
	UsageLag       time.Duration `arg:"--usage-lag" default:"2s" help:"age of usage reports"`
	FailEverything bool          `arg:"--fail-everything" help:"fail every attempt"`
}

type endpointArgs struct {
	ID          string        `arg:"--id,required" help:"name of the endpoint"`
	ServiceTime time.Duration `arg:"--service-time" default:"5ms" help:"mean time to serve a request"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the service times"`
}

type args struct {
	Listen   string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Log      *logArgs      `arg:"subcommand:log" help:"run the platform's log service"`
	Worker   *workerArgs   `arg:"subcommand:worker" help:"run a worker"`
	Endpoint *endpointArgs `arg:"subcommand:endpoint" help:"run an endpoint of a customer"`
}

// server is the interface of all stand-ins.
type server interface {
	Address() string
	Serve(ctx context.Context, grace time.Duration) error
}

func main() {
	var a args
	p := arg.MustParse(&a)
	if p.Subcommand() == nil {
		p.Fail("missing subcommand: use log, worker or endpoint")
	}
	daemon.Exit(run(a))
}

func run(a args) error {
	ctx, stop := daemon.Context()
	defer stop()
	s, err := listen(ctx, a)
	if err != nil {
		return err
	}
	daemon.PrintListening("http", s.Address())
	daemon.PrintReady()
	return s.Serve(ctx, time.Second)
}

func listen(ctx context.Context, a args) (server, error) {
	switch {
	case a.Log != nil:
		return standin.NewLogServer(a.Listen, memlog.New(memlog.Options{
			AppendsPerSecond: a.Log.Appends, KeepRecords: a.Log.KeepRecords, KeepFor: a.Log.KeepFor,
		}))
	case a.Worker != nil:
		w := standin.NewWorker(standin.WorkerOptions{
			ID: a.Worker.ID, UsageLag: a.Worker.UsageLag, FailEverything: a.Worker.FailEverything,
			Capacity: record.Resources{CPUMilli: a.Worker.CPUMilli, MemoryMB: a.Worker.MemoryMB, Accelerators: a.Worker.Accelerators},
		})
		go w.Run(ctx)
		return standin.NewWorkerServer(a.Listen, w)
	default:
		return standin.NewEndpoint(a.Listen, standin.EndpointOptions{
			ID: a.Endpoint.ID, ServiceTime: a.Endpoint.ServiceTime, Seed: a.Endpoint.Seed,
		})
	}
}
