// Package demo runs both users' deployments at today's sizes through the events of a day in short time: requests, jobs, an
// availability zone taken out of service and back, and a graceful shutdown. It prints a report and checks the invariants.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// Options configure Run.
type Options struct {
	// Processes runs every role in a separate process.
	Processes bool
	// BinDir is the directory of the binaries; if empty they are built.
	BinDir string
	// Seed is the seed of arrivals and service times.
	Seed uint64
	// Verbose prints the log lines of all roles.
	Verbose bool
}

// user describes the deployment of one user.
type user struct {
	customer string
	region   string
	zones    []string
	service  string
	readPath string
	oncePath string
	token    string
}

var users = []user{
	{"hartwell", "midshire", []string{"midshire-a", "midshire-b", "midshire-c"}, "fitcheck", "/seats", "/clearance", "hartwell-demo"},
	{"nilewater", "eg-delta", []string{"delta-a", "delta-b", "delta-c"}, "puddle-line", "/reports", "/dispatch", "nilewater-demo"},
}

// Sizes and times of a deployment. The times of operator actions count from the start of the load.
const (
	instances         = 10
	entries           = 3
	serviceTime       = 8 * time.Millisecond
	zoneDelay         = 1500 * time.Microsecond
	clientDelay       = 3 * time.Millisecond
	loadTime          = 20 * time.Second
	requestsPerSecond = 150
	zoneOutAt         = 5 * time.Second
	zoneBackAt        = 11 * time.Second
	shutdownAt        = 14 * time.Second
	jobTimeout        = 30 * time.Second
)

// Run runs both deployments concurrently and writes a report. It returns an error if a deployment failed or an invariant
// was violated.
func Run(ctx context.Context, opts Options, out io.Writer) error {
	reports := make([]*report, len(users))
	errs := make([]error, len(users))
	var wg sync.WaitGroup
	for i, u := range users {
		wg.Go(func() { reports[i], errs[i] = runUser(ctx, opts, u) })
	}
	wg.Wait()
	broken := 0
	for i := range users {
		if errs[i] != nil {
			if reports[i] != nil {
				reports[i].printTimeline(out)
			}
			return fmt.Errorf("deployment %s: %w", users[i].customer, errs[i])
		}
		reports[i].print(out)
		broken += len(reports[i].violations)
	}
	if broken > 0 {
		return fmt.Errorf("%d invariant violations; see the report above", broken)
	}
	return nil
}

func runUser(ctx context.Context, opts Options, u user) (*report, error) {
	dir, err := os.MkdirTemp("", "verbenakeel-demo-")
	if err != nil {
		return nil, fmt.Errorf("make settings directory: %w", err)
	}
	defer os.RemoveAll(dir)
	deployOptions := deploy.Options{
		Dir: dir, Region: u.region, Zones: u.zones, Entries: entries, Instances: instances, Service: u.service,
		ServiceTime: serviceTime, ZoneDelay: zoneDelay, ClientDelay: clientDelay,
		Log: memlog.Options{AppendsPerSecond: 300, KeepRecords: 100_000, KeepFor: time.Hour}, BinDir: opts.BinDir,
		EntrySettings: []deploy.Setting{{Key: "process.log_level", Value: "warn"}},
		SideSettings:  []deploy.Setting{{Key: "process.log_level", Value: "warn"}},
	}
	if opts.Verbose {
		deployOptions.Output = os.Stderr
	}
	if opts.Processes {
		deployOptions.Group = new(launch.Group)
		defer deployOptions.Group.Close()
	}
	r := &report{user: u, origin: time.Now(), history: new(history.Recorder)}
	d, err := deploy.Start(ctx, deployOptions)
	defer func() { d.Close() }()
	if err != nil {
		return nil, err
	}
	s := &scenario{user: u, deployment: d, report: r, seed: opts.Seed}
	if err := s.run(ctx); err != nil {
		return r, err
	}
	r.violations = history.Check(r.history.Events())
	return r, nil
}

// contract returns the user's contract. Its service may use every instance and its jobs the remaining capacity.
func (u user) contract() record.Contract {
	sum := sha256.Sum256([]byte(u.token))
	return record.Contract{
		Customer: u.customer, Priority: record.Critical,
		Guaranteed: record.Resources{CPUMilli: 64_000, MemoryMB: 240_000},
		Burst:      record.Resources{CPUMilli: 160_000, MemoryMB: 600_000}, RequestsPerSecond: 2000, RequestBurst: 500,
		Concurrency: 400, MaxTasks: 200, MaxQueued: 1000,
		Services: []record.Service{{
			Name: u.service, DeadlineMs: 2000, Public: true, Once: []record.OnceRule{{Method: "POST", Prefix: u.oncePath}},
		}},
		TokenSHA256: []string{hex.EncodeToString(sum[:])},
	}
}
