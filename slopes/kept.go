package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// objectsPerRecord is the number of objects per record in generated streams.
const objectsPerRecord = 100

// answerBytes is the body size of the stored answers.
const answerBytes = 512

// recordWriter stamps records with the identity and sequence numbers of one writer.
type recordWriter struct{ seq uint64 }

func (w *recordWriter) stamp(r record.Record) *record.Record {
	w.seq++
	r.Writer, r.Incarnation, r.Seq, r.AtMs = "slopes", 1, w.seq, time.Now().UnixMilli()
	return &r
}

// claimRecords returns the claims and answers of n at-most-once requests.
func claimRecords(w *recordWriter, n int) []*record.Record {
	var list []*record.Record
	for i := 0; i < n; i += objectsPerRecord {
		var asked, answers record.Record
		for k := i; k < min(n, i+objectsPerRecord); k++ {
			key := fmt.Sprintf("booking-%08d", k)
			asked.RequestClaims = append(asked.RequestClaims, record.RequestClaim{Customer: customer, Key: key, Nonce: uint64(k), Digest: uint64(k)})
			answers.RequestAnswers = append(answers.RequestAnswers, record.RequestAnswer{
				Customer: customer, Key: key, Nonce: uint64(k), Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes),
			})
		}
		list = append(list, w.stamp(asked), w.stamp(answers))
	}
	return list
}

// expiredRecords returns the records of n requests whose answers have expired while their keys are still kept.
func expiredRecords(w *recordWriter, n int) []*record.Record {
	list := claimRecords(w, n)
	expiry := w.stamp(record.Record{})
	expiry.AtMs += 2 * claims.AnswerRetention.Milliseconds()
	return append(list, expiry)
}

// contractRecords returns the records of n contracts, each of a customer without work.
func contractRecords(w *recordWriter, n int) []*record.Record {
	var list []*record.Record
	for i := 0; i < n; i += objectsPerRecord {
		var rec record.Record
		for k := i; k < min(n, i+objectsPerRecord); k++ {
			c := contract(fmt.Sprintf("customer-%05d", k), fmt.Sprintf("service-%05d", k))
			rec.Config = append(rec.Config, record.ConfigChange{ID: fmt.Sprintf("change-%05d", k), Operator: "slopes", Contract: &c})
		}
		list = append(list, w.stamp(rec))
	}
	return list
}

// jobRecords returns the records of finished jobs: a decider claim at offset 1, a worker, and for each record of submissions
// one batch with the starts and one with the ends.
func jobRecords(w *recordWriter, jobs, tasksPerJob int) []*record.Record {
	const workerID = "instance-01"
	big := record.Resources{CPUMilli: 1 << 30, MemoryMB: 1 << 30}
	list := []*record.Record{
		w.stamp(record.Record{DeciderClaim: &record.DeciderClaim{Address: "127.0.0.1:1", Zone: "midshire-a"}}),
		w.stamp(record.Record{Batch: &record.Batch{Epoch: 1, Workers: []record.WorkerChange{{ID: workerID, Zone: "midshire-a", Rack: "r1", Capacity: big}}}}),
	}
	for i := 0; i < jobs; i += objectsPerRecord {
		var submits record.Record
		starts, ends := &record.Batch{Epoch: 1}, &record.Batch{Epoch: 1}
		for k := i; k < min(jobs, i+objectsPerRecord); k++ {
			job := batchJob(customer, fmt.Sprintf("plan-%06d", k), tasksPerJob)
			submits.Submits = append(submits.Submits, job)
			for t := range tasksPerJob {
				id := fmt.Sprintf("%s#%d", job.ID, t)
				starts.Starts = append(starts.Starts, record.Start{
					Task: id, Attempt: 1, Worker: workerID, Size: job.Size, Cause: "fair share; waited 100 ms; best of the workers with room",
				})
				ends.Ends = append(ends.Ends, record.End{Task: id, Attempt: 1, Outcome: record.Finished, RanMs: 60_000})
			}
		}
		list = append(list, w.stamp(submits), w.stamp(record.Record{Batch: starts}), w.stamp(record.Record{Batch: ends}))
	}
	return list
}

func batchJob(customer, name string, tasks int) record.Job {
	return record.Job{
		ID: customer + "/" + name, Customer: customer, Kind: record.BatchJob, Class: "plan", Tasks: tasks, RunMs: 60_000,
		Size: record.Resources{CPUMilli: 500, MemoryMB: 500}, Checkpoint: true, Command: "plan --night", SubmittedMs: time.Now().UnixMilli(),
	}
}

// KeptRecords returns, by stream, the records of a region with the given numbers of ended jobs, answered requests and
// contracts.
func KeptRecords(jobs, tasksPerJob, claims, contracts int) map[string][]*record.Record {
	return map[string][]*record.Record{
		streams[0]: contractRecords(new(recordWriter), contracts),
		streams[1]: jobRecords(new(recordWriter), jobs, tasksPerJob),
		streams[2]: claimRecords(new(recordWriter), claims),
	}
}

// measureKeptState measures the memory and the recovery time of an entry against the size of the state that it retains.
func (r *runner) measureKeptState(ctx context.Context) error {
	for _, c := range []struct {
		name, unit, stream string
		sizes              []int
		records            func(*recordWriter, int) []*record.Record
	}{
		{"claim", "kept claims", streams[2], []int{0, 20_000, 40_000, 80_000}, claimRecords},
		{"key", "claims whose answers have expired", streams[2], []int{0, 20_000, 40_000, 80_000}, expiredRecords},
		{"contract", "contracts", streams[0], []int{0, 2000, 4000, 8000}, contractRecords},
		{"job", "ended jobs of one task", streams[1], []int{0, 5000, 10_000, 20_000},
			func(w *recordWriter, n int) []*record.Record { return jobRecords(w, n, 1) }},
		{"task", "tasks of 1000 ended jobs", streams[1], []int{1000, 10_000, 20_000, 40_000},
			func(w *recordWriter, n int) []*record.Record { return jobRecords(w, 1000, n/1000) }},
	} {
		for _, n := range c.sizes {
			if err := r.measureKeptSize(ctx, c.name, c.unit, c.stream, n, c.records(new(recordWriter), n)); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureKeptSize fills a log stream, starts an entry on it and measures the entry. The long decider timeout keeps the entry
// from becoming decider during the measurement.
func (r *runner) measureKeptSize(ctx context.Context, name, unit, stream string, n int, records []*record.Record) error {
	return r.withDeployment(ctx, func(o *deploy.Options) {
		o.EntrySettings = []deploy.Setting{{Key: "times.decider_silence", Value: "1m"}}
	}, func(d *deploy.Deployment) error {
		e := d.Entries[0]
		if err := e.Process().Kill(); err != nil {
			return err
		}
		log := logclient.New(d.LogNode.URL("http"))
		for _, rec := range records {
			data, err := record.Encode(rec)
			if err != nil {
				return err
			}
			if _, err := log.Append(ctx, stream, data); err != nil {
				return err
			}
		}
		begin := time.Now()
		if err := e.Start(ctx); err != nil {
			return err
		}
		if err := d.WaitHealthy(ctx, e); err != nil {
			return err
		}
		took := time.Since(begin)
		time.Sleep(warmUp / 2)
		rss, err := rssMB(e)
		if err != nil {
			return err
		}
		r.add("entry."+name+".rss", unit, "MB", float64(n), rss)
		r.add("entry."+name+".recovery", unit, "ms from start to healthy", float64(n), float64(took.Milliseconds()))
		return nil
	})
}
