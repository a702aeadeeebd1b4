package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/entry"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/platform"
)

type explainArgs struct {
	File       string `arg:"positional" help:"JSON body of a submission, - for standard input; without it the flags describe one step"`
	Entry      string `arg:"--entry,required" help:"peer address of any entry (host:port)"`
	Queue      string `arg:"--queue,required" help:"name of the queue"`
	ID         string `arg:"--id" help:"id of the job, 16 hexadecimal digits; by default a random one"`
	Tasks      int    `arg:"--tasks" default:"1" help:"number of tasks"`
	CPU        int64  `arg:"--cpu" help:"CPU of a task in thousandths of a core"`
	MemMB      int64  `arg:"--mem-mb" help:"memory of a task in MB"`
	GPU        int64  `arg:"--gpu" help:"accelerators of a task"`
	EstMs      int64  `arg:"--est-ms" help:"declared duration of a task in ms"`
	BestEffort bool   `arg:"--best-effort" help:"the tasks use what CPU others leave"`
	Image      string `arg:"--image" help:"program that the tasks run"`
	Requires   string `arg:"--requires" help:"label that a worker must have"`
	Rack       string `arg:"--rack" help:"preferred rack"`
	Workers    bool   `arg:"--workers" help:"list each worker with what rules it out"`
	JSON       bool   `arg:"--json" help:"write JSON"`
}

// maxJobFile bounds the body of a submission that is read, in bytes. Entries accept 262,144 by default.
const maxJobFile = 1 << 20

// explainPlacement asks an entry where a job would go now and prints the answer.
func explainPlacement(ctx context.Context, a *explainArgs, out io.Writer) error {
	job, err := jobOf(a)
	if err != nil {
		return err
	}
	x, err := entry.AskExplanation(ctx, a.Entry, &link.ExplainCall{Job: *job, Queue: a.Queue, Workers: a.Workers})
	if err != nil {
		return fmt.Errorf("explain the placement: %w", err)
	}
	if !a.JSON {
		return x.WriteText(out)
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(x)
}

// jobOf returns the job of a file or of the flags.
func jobOf(a *explainArgs) (*work.Job, error) {
	id := a.ID
	if id == "" {
		var random [8]byte
		_, _ = rand.Read(random[:])
		id = hex.EncodeToString(random[:])
	}
	if !work.ValidID(id) {
		return nil, errdefs.Field("id", id, "give 16 hexadecimal digits")
	}
	if a.File == "" {
		job := &work.Job{ID: id, Steps: []work.Step{{Count: a.Tasks, CPU: a.CPU, MemMB: a.MemMB, GPU: a.GPU, EstMs: a.EstMs, BestEffort: a.BestEffort,
			Image: a.Image, Requires: a.Requires, Rack: a.Rack}}}
		return job, work.Check(job)
	}
	in := os.Stdin
	if a.File != "-" {
		f, err := os.Open(a.File)
		if err != nil {
			return nil, fmt.Errorf("open the job: %w", errdefs.New(errdefs.Invalid, err.Error(), "name a readable file"))
		}
		defer f.Close()
		in = f
	}
	body, err := io.ReadAll(io.LimitReader(in, maxJobFile))
	if err != nil {
		return nil, fmt.Errorf("read the job: %w", errdefs.New(errdefs.Invalid, err.Error(), "name a readable file"))
	}
	return platform.DecodeJob(id, body)
}
