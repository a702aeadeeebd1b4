// Package logevent defines the numbered log events and writes them. The catalogue in docs/log-events.md explains each event.
package logevent

import (
	"bytes"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Event is a numbered log event.
type Event struct {
	// Number identifies the event and does not change between releases.
	Number int
	// Level is the level at which the event is logged.
	Level zerolog.Level
	// Text is the log message.
	Text string
}

// events lists all events in the order of their definition.
var events []Event

// All returns all events.
func All() []Event { return events }

func define(number int, level zerolog.Level, text string) Event {
	e := Event{number, level, text}
	events = append(events, e)
	return e
}

// Events.
var (
	Started                = define(100, zerolog.InfoLevel, "process started")
	Stopping               = define(101, zerolog.InfoLevel, "graceful shutdown started")
	Stopped                = define(102, zerolog.InfoLevel, "process stopped")
	InsecureControl        = define(103, zerolog.WarnLevel, "connections between processes are not encrypted or authenticated")
	LogReadFailed          = define(200, zerolog.WarnLevel, "reading the platform's log failed")
	LogRecovered           = define(201, zerolog.InfoLevel, "the platform's log answers again")
	SnapshotRestored       = define(202, zerolog.InfoLevel, "state restored from a snapshot")
	SnapshotWritten        = define(203, zerolog.InfoLevel, "snapshot written")
	SchemaTooNew           = define(204, zerolog.ErrorLevel, "a record has a newer schema than this program reads")
	SnapshotFailed         = define(205, zerolog.ErrorLevel, "writing a snapshot failed")
	WriterSuperseded       = define(206, zerolog.ErrorLevel, "another incarnation of this process writes to the log; this one stops")
	PeerRestored           = define(207, zerolog.WarnLevel, "state restored from a peer while the log is unavailable")
	ForeignEntry           = define(208, zerolog.WarnLevel, "an entry of the log is not a record and was skipped")
	ConfigAccepted         = define(300, zerolog.InfoLevel, "configuration change accepted")
	ConfigRefused          = define(301, zerolog.WarnLevel, "configuration change refused")
	ZoneHeld               = define(302, zerolog.WarnLevel, "starts in an availability zone are on hold")
	DeciderChanged         = define(400, zerolog.InfoLevel, "decider changed")
	DeciderActive          = define(401, zerolog.InfoLevel, "this entry is the decider")
	WitnessReleased        = define(402, zerolog.InfoLevel, "the old witness released its epoch")
	DecisionVoid           = define(403, zerolog.WarnLevel, "a recorded decision is void")
	Alert                  = define(404, zerolog.WarnLevel, "alert for operators")
	DeciderResigned        = define(405, zerolog.InfoLevel, "this entry shuts down and ended its epoch as decider")
	TaskStartFailed        = define(500, zerolog.WarnLevel, "the worker refused a start")
	WorkerFailed           = define(501, zerolog.WarnLevel, "the worker does not answer")
	ReplyIgnored           = define(502, zerolog.WarnLevel, "a reply of a decider was ignored")
	SyncFailed             = define(503, zerolog.WarnLevel, "no decider answered")
	EndpointDown           = define(600, zerolog.WarnLevel, "the endpoint does not answer")
	EndpointUp             = define(601, zerolog.InfoLevel, "the endpoint answers")
	DrainStarted           = define(602, zerolog.InfoLevel, "graceful shutdown of the endpoint started")
	DrainCancelled         = define(603, zerolog.InfoLevel, "graceful shutdown of the endpoint cancelled")
	Drained                = define(604, zerolog.InfoLevel, "graceful shutdown of the endpoint finished")
	Superseded             = define(605, zerolog.WarnLevel, "a higher incarnation of this process is known")
	AnnounceFailed         = define(606, zerolog.WarnLevel, "an entry did not accept the announcement")
	DrainLimitReached      = define(607, zerolog.WarnLevel, "requests in progress were aborted at the time limit of the shutdown order")
	AnnounceRestored       = define(608, zerolog.InfoLevel, "an entry accepts announcements again")
	RequestNotWritten      = define(700, zerolog.WarnLevel, "the answer of a request could not be recorded")
	ConnectionUnresponsive = define(701, zerolog.WarnLevel, "an open connection to a side process stopped responding")
	SideUnresponsive       = define(702, zerolog.WarnLevel, "a side process does not answer pings")
	ForeignAnswer          = define(703, zerolog.ErrorLevel, "an answer of another request was dropped")
	RequestEnded           = define(704, zerolog.DebugLevel, "a caller's request ended")
	RequestServed          = define(705, zerolog.DebugLevel, "the endpoint served a request")
	KeysReloaded           = define(104, zerolog.InfoLevel, "certificate, key and authorities reloaded")
	KeysUnreadable         = define(105, zerolog.ErrorLevel, "certificate, key or authorities cannot be read; the old ones stay in use")
	LinesDropped           = define(107, zerolog.WarnLevel, "log lines were dropped because their reader was too slow")
	SettingsReloaded       = define(108, zerolog.InfoLevel, "settings reloaded")
	SettingsInvalid        = define(109, zerolog.ErrorLevel, "changed settings are invalid; the old ones stay in use")
	StoreUnavailable       = define(800, zerolog.WarnLevel, "the store does not answer")
	StoreRecovered         = define(801, zerolog.InfoLevel, "the store answers again")
	RecordsExpired         = define(802, zerolog.WarnLevel, "records had expired; the newest of each key were read")
	RecordUnreadable       = define(803, zerolog.WarnLevel, "a record of the store cannot be read and was skipped")
	ConfigInForce          = define(810, zerolog.InfoLevel, "configuration in force")
	ZoneTakenOut           = define(811, zerolog.InfoLevel, "availability zone taken out of service or brought back")
	WaveIgnored            = define(812, zerolog.ErrorLevel, "a maintenance wave was requested, which this release does not execute")
	BecameDecider          = define(820, zerolog.InfoLevel, "this entry became the decider")
	DeciderRoleLost        = define(821, zerolog.InfoLevel, "this entry is no longer the decider")
	ClaimFailed            = define(822, zerolog.WarnLevel, "claiming the decider role failed")
	OtherDecider           = define(823, zerolog.InfoLevel, "another entry is the decider")
	SideLinked             = define(824, zerolog.InfoLevel, "connection to a side process opened")
	SideUnlinked           = define(825, zerolog.WarnLevel, "connection to a side process ended")
	DeciderPanicked        = define(827, zerolog.ErrorLevel, "the decider failed unexpectedly and gave up its role")
	BridgeOpened           = define(826, zerolog.WarnLevel, "a side process is reached through another entry")
	JobAccepted            = define(830, zerolog.InfoLevel, "job accepted")
	JobRefused             = define(831, zerolog.InfoLevel, "job refused; it does not run")
	JobUnknown             = define(832, zerolog.WarnLevel, "it is unknown whether the job was stored")
	JobCancelled           = define(833, zerolog.InfoLevel, "cancellation of a job requested")
	JobNotAdmitted         = define(834, zerolog.InfoLevel, "job refused because too much work waits; it does not run")
	BacklogChanged         = define(835, zerolog.InfoLevel, "new work has begun or ceased to wait")
	JobLoaded              = define(840, zerolog.InfoLevel, "the decider loaded a job")
	JobFinished            = define(841, zerolog.InfoLevel, "a job finished")
	TaskStart              = define(842, zerolog.InfoLevel, "start of a task decided")
	TaskStop               = define(843, zerolog.InfoLevel, "stop of a run decided")
	TaskEnd                = define(844, zerolog.InfoLevel, "end of a run recorded")
	TaskRequeued           = define(845, zerolog.WarnLevel, "a run was lost; its task was requeued")
	TaskRefused            = define(846, zerolog.WarnLevel, "a worker refused a run")
	WorkerUp               = define(847, zerolog.InfoLevel, "a worker has started")
	WorkerDown             = define(848, zerolog.WarnLevel, "a worker is draining, shutting down or unreachable")
	WorkerQuarantined      = define(849, zerolog.WarnLevel, "a worker was quarantined and gets no new tasks for a while")
	CPUShareChanged        = define(850, zerolog.InfoLevel, "CPU share of best-effort work changed")
	AdviserUnavailable     = define(851, zerolog.WarnLevel, "the adviser does not answer")
	FleetState             = define(852, zerolog.InfoLevel, "state of the fleet")
	OrderState             = define(853, zerolog.InfoLevel, "order of jobs and learned durations")
	OccurrencesSuspended   = define(854, zerolog.InfoLevel, "occurrences of a job wait and were suspended")
	QuarantineLifted       = define(855, zerolog.InfoLevel, "the quarantine of a worker was lifted")
	WorkerRegistered       = define(860, zerolog.InfoLevel, "the worker of this instance registered")
	WorkerDraining         = define(861, zerolog.InfoLevel, "the worker of this instance drains or deregistered")
	WorkerUnresponsive     = define(862, zerolog.WarnLevel, "the worker of this instance does not answer")
	WorkerRecovered        = define(863, zerolog.InfoLevel, "the worker of this instance answers again")
	HeartbeatRefused       = define(864, zerolog.WarnLevel, "a heartbeat was rejected")
	DeciderLinked          = define(865, zerolog.InfoLevel, "a decider connected")
	DeciderUnlinked        = define(866, zerolog.WarnLevel, "the connection of the decider ended")
	StartAnswered          = define(867, zerolog.InfoLevel, "the worker answered a start")
	StartUnanswered        = define(868, zerolog.WarnLevel, "the worker did not answer a start")
	RowsUnreadable         = define(869, zerolog.WarnLevel, "rows of the worker's list cannot be read and were skipped")
	IntakeRefused          = define(870, zerolog.WarnLevel, "requests or connections were refused by the bounds on intake")
	LeaseBoundChanged      = define(871, zerolog.InfoLevel, "the bound on leases set by calls to an earlier life changed")
	OtherLifeAnswered      = define(872, zerolog.WarnLevel, "another life of the worker answered a call")
	EarlierStartsEnded     = define(876, zerolog.InfoLevel, "runs whose start was sent to an earlier life of the worker are ended")
	HandlerPanicked        = define(804, zerolog.ErrorLevel, "the handler of a request failed unexpectedly")
	RecordPanicked         = define(805, zerolog.ErrorLevel, "handling a record failed unexpectedly; it was skipped")
	ConnectionPanicked     = define(806, zerolog.ErrorLevel, "handling a connection failed unexpectedly; it was closed")
	InstanceRefused        = define(106, zerolog.WarnLevel, "a message was refused because the certificate names another instance")
)

// Logger writes numbered events.
type Logger struct {
	z zerolog.Logger
}

// New returns a logger that writes events of at least the level to w as JSON lines with the process's id.
func New(w io.Writer, level, id string) Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return Logger{zerolog.New(w).Level(l).With().Timestamp().Str("process", id).Logger()}
}

// Line returns the line of an event, for log writers that report their own events.
func Line(id string, e Event, fields ...Field) []byte {
	var b bytes.Buffer
	New(&b, "debug", id).Log(e, fields...)
	return b.Bytes()
}

// Nop returns a logger that discards all events.
func Nop() Logger { return Logger{zerolog.Nop()} }

// Enabled reports whether the event would be written.
func (l Logger) Enabled(e Event) bool { return l.z.GetLevel() <= e.Level }

// Log writes one line with the event's number, text and fields if the logger's level includes the event.
func (l Logger) Log(e Event, fields ...Field) {
	if !l.Enabled(e) {
		return
	}
	line := l.z.WithLevel(e.Level).Int("event", e.Number)
	for _, f := range fields {
		line = f(line)
	}
	line.Msg(e.Text)
}

// Recover logs a panic of the calling function as the event, with its reason and stack, and ends it. It has no effect without
// a panic. It has to be deferred directly.
func (l Logger) Recover(e Event, fields ...Field) {
	if v := recover(); v != nil {
		l.LogPanic(e, v, fields...)
	}
}

// LogPanic logs a recovered panic with the stack of the calling goroutine.
func (l Logger) LogPanic(e Event, v any, fields ...Field) {
	l.Log(e, append(fields, Str("reason", fmt.Sprint(v)), Str("stack", string(debug.Stack())))...)
}

// Field adds a field to a log line.
type Field func(*zerolog.Event) *zerolog.Event

// Str returns a field with a string.
func Str(key, value string) Field {
	return func(e *zerolog.Event) *zerolog.Event { return e.Str(key, value) }
}

// Int returns a field with a number.
func Int[N ~int | ~int64 | ~uint64 | ~uint32](key string, value N) Field {
	return func(e *zerolog.Event) *zerolog.Event { return e.Int64(key, int64(value)) }
}

// Err returns the field error.
func Err(err error) Field {
	return func(e *zerolog.Event) *zerolog.Event { return e.Err(err) }
}
