// Package intake sets up the bounds on what an entry or a side process reads, and reports refusals by them.
package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// logInterval is the least time between two log lines about one reason: a crowd is refused thousands of times per second.
const logInterval = time.Second

// Meters are the metrics of the intake.
type Meters struct {
	refusals telemetry.Counter
	current  atomic.Pointer[httpserver.Intake]
}

// NewMeters returns the metrics of the intake of a process.
func NewMeters(r *telemetry.Registry) (*Meters, error) {
	m := &Meters{}
	var err error
	if m.refusals, err = r.Counter(telemetry.IntakeRefusals); err != nil {
		return nil, err
	}
	err = r.Gauges([]*telemetry.Desc{telemetry.IntakeBytes, telemetry.IntakeConnections}, func(set telemetry.Set) {
		if in := m.current.Load(); in != nil {
			bytes, conns := in.Usage()
			set(telemetry.IntakeBytes, float64(bytes))
			set(telemetry.IntakeConnections, float64(conns))
		}
	})
	return m, err
}

// New returns the intake of a process with the given settings.
func New(set settings.Fleet, log logevent.Logger, m *Meters) *httpserver.Intake {
	l := &refusalLog{log: log, meters: m}
	in := httpserver.NewIntake(Limits(set), l.refused)
	m.current.Store(in)
	return in
}

// Limits returns the bounds that follow from the settings: those set explicitly, and shares of memory and descriptors.
func Limits(set settings.Fleet) httpserver.IntakeLimits {
	limits := httpserver.DefaultIntakeLimits(int64(set.MemoryMB)<<20, httpserver.Descriptors(set.MaxFDs))
	if set.Intake.BudgetKB > 0 {
		limits.Bytes = int64(set.Intake.BudgetKB) << 10
	}
	if set.Intake.ReserveKB > 0 {
		limits.SmallBytes = int64(set.Intake.ReserveKB) << 10
	}
	if set.Intake.Connections > 0 {
		limits.Conns = set.Intake.Connections
	}
	limits.HeaderTimeout, limits.BodyTimeout, limits.MinRate = set.Intake.HeaderTimeout, set.Intake.BodyTimeout, set.Intake.MinRate
	return limits
}

// refusalLog counts refusals and logs them.
type refusalLog struct {
	log    logevent.Logger
	meters *Meters

	mu    sync.Mutex
	tally tally
}

func (l *refusalLog) refused(r httpserver.Reason) {
	l.meters.refusals.Add(1, string(r))
	l.mu.Lock()
	count, waitMs := l.tally.add(r, clock.BootMs())
	l.mu.Unlock()
	l.write(r, count)
	if waitMs > 0 {
		time.AfterFunc(time.Duration(waitMs)*time.Millisecond, func() {
			l.mu.Lock()
			count := l.tally.flush(r, clock.BootMs())
			l.mu.Unlock()
			l.write(r, count)
		})
	}
}

func (l *refusalLog) write(r httpserver.Reason, count int) {
	if count == 0 {
		return
	}
	fields := []logevent.Field{logevent.Str("reason", string(r)), logevent.Int("count", count)}
	if in := l.meters.current.Load(); in != nil {
		bytes, conns := in.Usage()
		fields = append(fields, logevent.Int("bytes", bytes), logevent.Int("connections", conns))
	}
	l.log.Log(logevent.IntakeRefused, fields...)
}

// tally decides when refusals are logged. It is a pure state: the time is passed with each call.
type tally map[httpserver.Reason]*tallied

type tallied struct {
	// count is the number of refusals since the last line, which was written at loggedMs. waiting is true while a flush is
	// due.
	count    int
	loggedMs int64
	waiting  bool
}

// add counts a refusal. It returns the count to log now, or 0, and after how many milliseconds flush is to be called, or 0.
func (t *tally) add(r httpserver.Reason, nowMs int64) (count int, waitMs int64) {
	if *t == nil {
		*t = tally{}
	}
	s := (*t)[r]
	if s == nil {
		s = &tallied{loggedMs: nowMs - logInterval.Milliseconds()}
		(*t)[r] = s
	}
	s.count++
	if s.waiting {
		return 0, 0
	}
	if left := s.loggedMs + logInterval.Milliseconds() - nowMs; left > 0 {
		s.waiting = true
		return 0, left
	}
	return s.log(nowMs), 0
}

// flush returns the count to log after the wait that add asked for.
func (t *tally) flush(r httpserver.Reason, nowMs int64) int {
	s := (*t)[r]
	s.waiting = false
	return s.log(nowMs)
}

func (s *tallied) log(nowMs int64) int {
	n := s.count
	s.count, s.loggedMs = 0, nowMs
	return n
}
