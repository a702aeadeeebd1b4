package side

import (
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/intake"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// Meters are the metrics of a side process.
type Meters struct {
	answerAge       telemetry.Histogram
	unansweredCalls telemetry.Counter
	otherLifeCalls  telemetry.Counter
	intake          *intake.Meters
}

// NewMeters returns the metrics of a side process.
func NewMeters(r *telemetry.Registry) (*Meters, error) {
	lease, err := r.Histogram(telemetry.FleetDeciderAge)
	if err != nil {
		return nil, err
	}
	lost, err := r.Counter(telemetry.FleetUnanswered)
	if err != nil {
		return nil, err
	}
	other, err := r.Counter(telemetry.FleetOtherLife)
	if err != nil {
		return nil, err
	}
	in, err := intake.NewMeters(r)
	if err != nil {
		return nil, err
	}
	return &Meters{lease, lost, other, in}, nil
}

// recordAnswerAge records the age of the report that a decider answered.
func (m *Meters) recordAnswerAge(ageMs int64) {
	m.answerAge.Record(time.Duration(ageMs) * time.Millisecond)
}

// unanswered counts a call to the worker without an answer.
func (m *Meters) unanswered(call string) { m.unansweredCalls.Add(1, call) }

// otherLife counts a call that another life of the worker answered.
func (m *Meters) otherLife(call string) { m.otherLifeCalls.Add(1, call) }
