package deploy

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/external/workerclient"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/side"
	"github.com/verbenakeel/verbenakeel/standin"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// embeddedRole is a role that runs in this process.
type embeddedRole struct {
	addresses map[string]string
	cancel    context.CancelFunc
	done      chan error
}

func runEmbedded(addresses map[string]string, run func(context.Context) error) *embeddedRole {
	ctx, cancel := context.WithCancel(context.Background())
	e := &embeddedRole{addresses: addresses, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- run(ctx) }()
	return e
}

func (e *embeddedRole) address(_ context.Context, listener string) (string, error) {
	a, ok := e.addresses[listener]
	if !ok {
		return "", fmt.Errorf("no listener %s", listener)
	}
	return a, nil
}

func (e *embeddedRole) stop() error {
	e.cancel()
	return <-e.done
}

func (e *embeddedRole) process() *launch.Process { return nil }

func embedLog(log *memlog.Log) (roleHandle, error) {
	s, err := standin.NewLogServer("127.0.0.1:0", log)
	if err != nil {
		return nil, err
	}
	return runEmbedded(map[string]string{"http": s.Address()}, func(ctx context.Context) error { return s.Serve(ctx, time.Second) }), nil
}

func embedEntry(path string, out io.Writer) (roleHandle, error) {
	set, err := settings.LoadEntry(path)
	if err != nil {
		return nil, err
	}
	e, err := entry.New(set, entry.LogFromSettings(set), outputOrDiscard(out))
	if err != nil {
		return nil, err
	}
	return runEmbedded(map[string]string{
		"public": e.PublicAddress(), "operator": e.OperatorAddress(), "control": e.ControlAddress(),
	}, e.Run), nil
}

func embedSide(path string, out io.Writer) (roleHandle, error) {
	set, err := settings.LoadSide(path)
	if err != nil {
		return nil, err
	}
	s, err := side.New(set, workerclient.New(set.WorkerURL), outputOrDiscard(out))
	if err != nil {
		return nil, err
	}
	return runEmbedded(map[string]string{"data": s.DataAddress()}, s.Run), nil
}

func outputOrDiscard(out io.Writer) io.Writer {
	if out == nil {
		return io.Discard
	}
	return out
}

func embedEndpoint(id string, serviceTime time.Duration, seed uint64) (roleHandle, error) {
	s, err := standin.NewEndpoint("127.0.0.1:0", standin.EndpointOptions{ID: id, ServiceTime: serviceTime, Seed: seed})
	if err != nil {
		return nil, err
	}
	return runEmbedded(map[string]string{"http": s.Address()}, func(ctx context.Context) error { return s.Serve(ctx, time.Second) }), nil
}

// embedWorker runs a worker with the defaults of `standin worker`; it parses the arguments that tests need.
func embedWorker(id string, args []string) (roleHandle, error) {
	opts := standin.WorkerOptions{ID: id, UsageLag: 2 * time.Second, Capacity: record.Resources{CPUMilli: 16_000, MemoryMB: 60_000}}
	for i := 0; i < len(args); i++ {
		if args[i] == "--fail-everything" {
			opts.FailEverything = true
			continue
		}
		if args[i] == "--accelerators" && i+1 < len(args) {
			n, err := strconv.ParseInt(args[i+1], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("worker argument %s: %w", args[i], err)
			}
			opts.Capacity.Accelerators = n
			i++
			continue
		}
		return nil, fmt.Errorf("worker argument %s is not supported by embedded workers; use separate processes", args[i])
	}
	w := standin.NewWorker(opts)
	s, err := standin.NewWorkerServer("127.0.0.1:0", w)
	if err != nil {
		return nil, err
	}
	return runEmbedded(map[string]string{"http": s.Address()}, func(ctx context.Context) error {
		go w.Run(ctx)
		return s.Serve(ctx, time.Second)
	}), nil
}
