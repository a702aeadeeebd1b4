// Command verbenakeel-fleet runs an entry or a side process on the users' platform.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/entry"
	"github.com/verbenakeel/verbenakeel/fleet/side"
	"github.com/verbenakeel/verbenakeel/fleet/why"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

type roleArgs struct {
	Settings string `arg:"--settings" help:"INI file with the settings; by default the one that the platform names"`
}

type whyArgs struct {
	Job   string   `arg:"positional,required" help:"id of the job"`
	Files []string `arg:"positional" help:"saved logs; standard input by default"`
}

type args struct {
	Why     *whyArgs     `arg:"subcommand:why" help:"show the history of a job from saved logs"`
	Explain *explainArgs `arg:"subcommand:explain" help:"ask the running system where a job would go now, without sending it"`
	Entry   *roleArgs    `arg:"subcommand:entry" help:"run an entry"`
	Side    *roleArgs    `arg:"subcommand:side" help:"run the side process of a worker"`
}

// Description implements arg.Described.
func (args) Description() string { return "Runs a process of verbenakeel on the users' platform." }

const (
	// memoryShare is the fraction of the memory limit at which the garbage collector runs more often.
	memoryShare = 0.6
	// gcPercent limits heap growth between collections to half: peak memory is billed, and heaps are small.
	gcPercent = 50
	// metricsConns bounds the open connections to the metrics listener, metricsTimeout the time for a request and that for its
	// response, metricsIdleTimeout the time without a request, and metricsHeaderBytes a header in bytes. A few collectors
	// scrape it.
	metricsConns       = 16
	metricsTimeout     = 10 * time.Second
	metricsIdleTimeout = 2 * time.Minute
	metricsHeaderBytes = 16 << 10
)

func main() {
	var a args
	p := arg.MustParse(&a)
	switch {
	case a.Entry != nil:
		daemon.Exit(run(a.Entry.Settings, true))
	case a.Side != nil:
		daemon.Exit(run(a.Side.Settings, false))
	case a.Why != nil:
		daemon.Exit(showHistory(a.Why))
	case a.Explain != nil:
		ctx, stop := daemon.Context()
		err := explainPlacement(ctx, a.Explain, os.Stdout)
		stop()
		daemon.Exit(err)
	default:
		p.Fail("name a command: entry, side, why or explain")
	}
}

func run(path string, isEntry bool) error {
	path = platform.SettingsPath(path)
	set, err := settings.LoadFleet(path, isEntry)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(set.MemoryMB) * memoryShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	queue := logevent.NewQueue(os.Stdout, func(n uint64) []byte {
		return logevent.Line(set.Instance, logevent.LinesDropped, logevent.Int("lines", n))
	})
	defer queue.Close()
	log := logevent.New(queue, set.LogLevel, set.Instance)
	registry, err := telemetry.New()
	if err != nil {
		return err
	}
	if err := registry.Gauges([]*telemetry.Desc{telemetry.FleetDropped}, func(observe telemetry.Set) {
		observe(telemetry.FleetDropped, float64(queue.Dropped()))
	}); err != nil {
		return err
	}
	if err := serveMetrics(set.Metrics, registry); err != nil {
		return err
	}
	ctx, stop := daemon.Context()
	defer stop()
	go watchSettings(ctx, path, isEntry, set, log)
	store := platform.NewStore(set.Store)
	if isEntry {
		m, err := entry.NewMeters(registry)
		if err != nil {
			return err
		}
		e, err := entry.New(set, store, log, m)
		if err != nil {
			return err
		}
		return e.Run(ctx)
	}
	m, err := side.NewMeters(registry)
	if err != nil {
		return err
	}
	s, err := side.New(set, store, log, m)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// showHistory prints the history of a job.
func showHistory(a *whyArgs) error {
	logs := []io.Reader{os.Stdin}
	if len(a.Files) > 0 {
		logs = logs[:0]
	}
	for _, name := range a.Files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open the log: %w", errdefs.New(errdefs.Invalid, err.Error(), "name readable files"))
		}
		defer f.Close()
		logs = append(logs, f)
	}
	account, err := why.Explain(a.Job, logs...)
	if err != nil {
		return err
	}
	return account.Write(os.Stdout)
}

// serveMetrics serves metrics if address is set.
func serveMetrics(address string, registry *telemetry.Registry) error {
	if address == "" {
		return nil
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("serve metrics: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", registry.Handler())
	// The listener has bounds of its own, so that a crowd of callers and a scrape do not compete.
	bounds := httpserver.NewIntake(httpserver.IntakeLimits{Conns: metricsConns}, nil)
	server := &http.Server{Handler: mux, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, IdleTimeout: metricsIdleTimeout,
		MaxHeaderBytes: metricsHeaderBytes}
	go func() { _ = server.Serve(bounds.Listener(ln)) }()
	return nil
}

// describeChanges returns the names of the settings that differ.
func describeChanges(a, b settings.Fleet) string {
	var changes []string
	if a.LogLevel != b.LogLevel {
		changes = append(changes, "log_level")
	}
	if a.Bounds != b.Bounds {
		changes = append(changes, "bounds")
	}
	if a.Intake != b.Intake || a.MemoryMB != b.MemoryMB || a.MaxFDs != b.MaxFDs {
		changes = append(changes, "limits")
	}
	if a.Store != b.Store || a.Adviser != b.Adviser {
		changes = append(changes, "services")
	}
	if len(changes) == 0 {
		return "no setting in use has changed"
	}
	return strings.Join(changes, ", ") + " changed; restart the process to apply"
}
