// Command bench compares the scheduling policy with two baselines and prints one JSON line per figure.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/bench"
)

type args struct {
	Seed     uint64 `arg:"--seed" default:"1" help:"seed of the traces"`
	Scenario string `arg:"--scenario" help:"run only this scenario"`
}

// Description is shown by --help.
func (args) Description() string {
	return "Simulates the scheduling policy, its first version and a least-loaded first-come-first-served policy on the same\n" +
		"events and prints one JSON line per figure. \"better\" above 1 means better than the least-loaded policy."
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if a.Scenario != "" && !slices.Contains(bench.Scenarios, a.Scenario) {
		parser.Fail(fmt.Sprintf("unknown scenario %q; use one of %v", a.Scenario, bench.Scenarios))
	}
	enc := json.NewEncoder(os.Stdout)
	for _, name := range bench.Scenarios {
		if a.Scenario != "" && a.Scenario != name {
			continue
		}
		for _, f := range bench.Run(name, a.Seed) {
			if err := enc.Encode(f); err != nil {
				fmt.Fprintln(os.Stderr, "bench: write figures:", err)
				os.Exit(1)
			}
		}
	}
}
