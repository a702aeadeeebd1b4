package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/intake"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// Meters are the metrics of an entry.
type Meters struct {
	request   telemetry.Histogram
	store     telemetry.Histogram
	eventWait telemetry.Histogram
	adviser   telemetry.Histogram
	decisions telemetry.Counter
	refused   telemetry.Counter
	intake    *intake.Meters
	// deciding points to the epoch in which the entry is the decider, which is 0 if it is not; nil until it is set.
	deciding atomic.Pointer[atomic.Uint64]
}

// NewMeters returns the metrics of an entry.
func NewMeters(r *telemetry.Registry) (*Meters, error) {
	m := &Meters{}
	var err error
	if m.intake, err = intake.NewMeters(r); err != nil {
		return nil, err
	}
	if m.request, err = r.Histogram(telemetry.FleetRequests); err != nil {
		return nil, err
	}
	if m.store, err = r.Histogram(telemetry.FleetStore); err != nil {
		return nil, err
	}
	if m.eventWait, err = r.Histogram(telemetry.FleetEventWait); err != nil {
		return nil, err
	}
	if m.adviser, err = r.Histogram(telemetry.FleetAdviser); err != nil {
		return nil, err
	}
	if m.decisions, err = r.Counter(telemetry.FleetDecisions); err != nil {
		return nil, err
	}
	if m.refused, err = r.Counter(telemetry.FleetRefused); err != nil {
		return nil, err
	}
	err = r.Gauges([]*telemetry.Desc{telemetry.FleetDeciding}, func(set telemetry.Set) {
		value := 0.0
		if epoch := m.deciding.Load(); epoch != nil && epoch.Load() != 0 {
			value = 1
		}
		set(telemetry.FleetDeciding, value)
	})
	return m, err
}

// countDecision counts a decision.
func (m *Meters) countDecision(ev logevent.Event) { m.decisions.Add(1, strconv.Itoa(ev.Number)) }

// withTiming returns a store that records the duration of its calls.
func (m *Meters) withTiming(s work.Store) work.Store { return &timedStore{s, m} }

type timedStore struct {
	store  work.Store
	meters *Meters
}

func (t *timedStore) record(call string, began time.Time, err error) {
	outcome := "done"
	switch {
	case err == nil:
	case work.NotAppended(err):
		outcome = "refused"
	default:
		outcome = "unknown"
	}
	t.meters.store.Record(time.Since(began), call, outcome)
}

func (t *timedStore) Append(ctx context.Context, a work.Append) (work.Appended, error) {
	began := time.Now()
	got, err := t.store.Append(ctx, a)
	t.record("append", began, err)
	return got, err
}

func (t *timedStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (work.Page, error) {
	began := time.Now()
	got, err := t.store.Read(ctx, topic, from, wait)
	t.record("read", began, err)
	return got, err
}

func (t *timedStore) Newest(ctx context.Context, topic string) (work.Snapshot, error) {
	began := time.Now()
	got, err := t.store.Newest(ctx, topic)
	t.record("newest", began, err)
	return got, err
}
