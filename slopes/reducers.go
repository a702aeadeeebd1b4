package slopes

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
)

// measureConfig measures applying config changes and encoding a config snapshot against the number of contracts.
func (r *runner) measureConfig(context.Context) error {
	const changes = 2000
	for _, n := range []int{200, 1000, 4000} {
		s, w := config.New(), new(recordWriter)
		offset := uint64(0)
		for _, rec := range contractRecords(w, n) {
			offset++
			s.Fold(offset, rec)
		}
		var list []*record.Record
		for i := range changes {
			zone := record.ZoneChange{Zone: fmt.Sprintf("zone-%d", i), Reason: "measurement"}
			list = append(list, w.stamp(record.Record{Config: []record.ConfigChange{{ID: fmt.Sprintf("zone-%d", i), Zone: &zone}}}))
		}
		us := cpuMicros(func() {
			for _, rec := range list {
				offset++
				s.Fold(offset, rec)
			}
		})
		if len(s.Zones) != changes {
			return fmt.Errorf("%d of %d changes were accepted", len(s.Zones), changes)
		}
		r.add("config.fold", "contracts", "us per change", float64(n), us/changes)
		data, err := snapshot(s)
		if err != nil {
			return err
		}
		r.add("config.snapshot", "contracts", "KB", float64(n), float64(len(data))/1000)
	}
	return nil
}

// snapshot encodes a state as entries encode their snapshots.
func snapshot(v any) ([]byte, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(v)
}

// measureRecords measures applying the region's records, and encoding and restoring its snapshots.
func (r *runner) measureRecords(context.Context) error {
	for _, c := range []struct {
		name, unit string
		sizes      [][2]int // jobs, tasks per job
	}{
		{"job", "ended jobs of one task", [][2]int{{2000, 1}, {5000, 1}, {10_000, 1}, {20_000, 1}}},
		{"task", "tasks of 1000 ended jobs", [][2]int{{1000, 1}, {1000, 5}, {1000, 10}, {1000, 20}}},
	} {
		for _, size := range c.sizes {
			if err := r.measureRecordSize(c.name, c.unit, size[0], size[1]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) measureRecordSize(name, unit string, jobs, perJob int) error {
	var encoded [][]byte
	for _, rec := range jobRecords(new(recordWriter), jobs, perJob) {
		data, err := record.Encode(rec)
		if err != nil {
			return err
		}
		encoded = append(encoded, data)
	}
	s := tasks.New()
	var failed error
	apply := cpuMicros(func() {
		for i, data := range encoded {
			rec, err := record.Decode(data)
			if err != nil {
				failed = err
			}
			s.Fold(uint64(i+1), rec)
		}
	})
	if failed != nil {
		return failed
	}
	if len(s.Jobs) != jobs || len(s.EndedJobs) != jobs {
		return fmt.Errorf("%d of %d jobs ended", len(s.EndedJobs), jobs)
	}
	var data []byte
	encode := cpuMicros(func() { data, failed = snapshot(s) })
	if failed != nil {
		return failed
	}
	decode := cpuMicros(func() {
		n := tasks.New()
		failed = cbor.Unmarshal(data, n)
		n.Reindex()
	})
	x, mb := float64(jobs*perJob), float64(len(data))/1e6
	r.add("region."+name+".snapshot", unit, "MB", x, mb)
	r.add("region."+name+".fold", unit, "ms to decode and fold the records", x, apply/1000)
	r.add("region."+name+".encode", unit, "ms per snapshot", x, encode/1000)
	r.add("region."+name+".restore", "MB of snapshot", "ms to decode", mb, decode/1000)
	return failed
}
