// Command bench-requests measures the request path with real processes behind fault proxies and prints one JSON line per
// figure.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

type hopArgs struct {
	Target string `arg:"--target,required" help:"base URL to forward to"`
}

type args struct {
	Seed     uint64   `arg:"--seed" default:"1" help:"seed of arrivals and service times"`
	Runs     int      `arg:"--runs" default:"5" help:"runs of each scenario; the median is printed"`
	Scenario string   `arg:"--scenario" help:"run only this scenario"`
	Hop      *hopArgs `arg:"subcommand:hop" help:"forward requests and do nothing else; used by the scenario added_latency"`
}

// Description is shown by --help.
func (args) Description() string {
	return "Runs entries, side processes and endpoint stand-ins on loopback under an open-loop load, once with the system's\n" +
		"routing and once with each baseline, and prints one JSON line per figure. \"better\" above 1 means better than the\n" +
		"baseline. The machine is shared, so compare figures of one run only."
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if a.Scenario != "" && a.Scenario != addedLatency && !slices.Contains(scenarioNames(), a.Scenario) {
		parser.Fail(fmt.Sprintf("unknown scenario %q; use %s or one of %v", a.Scenario, addedLatency, scenarioNames()))
	}
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "bench-requests:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	if a.Hop != nil {
		return serveHop(a.Hop.Target)
	}
	defer launch.RemoveBuilds()
	ctx := context.Background()
	var all []figure
	if a.Scenario == "" || a.Scenario == addedLatency {
		list, err := measureAddedLatency(ctx, a)
		if err != nil {
			return err
		}
		all = append(all, list...)
	}
	if a.Scenario != addedLatency {
		list, err := measurePolicies(ctx, a)
		if err != nil {
			return err
		}
		all = append(all, list...)
	}
	enc := json.NewEncoder(os.Stdout)
	for _, f := range all {
		if err := enc.Encode(f); err != nil {
			return err
		}
	}
	return nil
}

// figure is one line of output.
type figure struct {
	Scenario string `json:"scenario"`
	Measure  string `json:"measure"`
	Unit     string `json:"unit"`
	// Baseline is the name of the baseline and BaselineValue its median.
	Baseline      string  `json:"baseline"`
	BaselineValue float64 `json:"baseline_value"`
	Value         float64 `json:"value"`
	// Low and High are the minimum and maximum of the runs.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	// Better is above 1 if Value is better than BaselineValue; 0 if its divisor is 0.
	Better float64 `json:"better"`
	Seed   uint64  `json:"seed"`
}

// series holds one value of a measure per run.
type series []float64

func (s series) median() float64 {
	sorted := slices.Sorted(slices.Values(s))
	return sorted[len(sorted)/2]
}

// compare returns the figure that compares the runs of a measure with those of a baseline.
func compare(scenario, measure, unit, baseline string, own, other series, higherIsBetter bool, seed uint64) figure {
	f := figure{
		Scenario: scenario, Measure: measure, Unit: unit, Baseline: baseline, BaselineValue: other.median(),
		Value: own.median(), Low: slices.Min(own), High: slices.Max(own), Seed: seed,
	}
	switch {
	case higherIsBetter && f.BaselineValue > 0:
		f.Better = f.Value / f.BaselineValue
	case !higherIsBetter && f.Value > 0:
		f.Better = f.BaselineValue / f.Value
	}
	return f
}
