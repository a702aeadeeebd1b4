// Package logevent defines the numbered log events. The catalogue in docs/log-events.md explains each of them.
package logevent

import (
	"io"

	"github.com/rs/zerolog"
)

// Event is a numbered log event.
type Event struct {
	// Number is stable over releases.
	Number int
	// Level is the level it is logged at.
	Level zerolog.Level
	// Text says what happened.
	Text string
}

// Events.
var (
	Started           = Event{100, zerolog.InfoLevel, "process started"}
	Stopping          = Event{101, zerolog.InfoLevel, "graceful shutdown started"}
	Stopped           = Event{102, zerolog.InfoLevel, "process stopped"}
	InsecureControl   = Event{103, zerolog.WarnLevel, "connections between processes are not encrypted or authenticated"}
	LogReadFailed     = Event{200, zerolog.WarnLevel, "reading the platform's log failed"}
	LogRecovered      = Event{201, zerolog.InfoLevel, "the platform's log answers again"}
	SnapshotRestored  = Event{202, zerolog.InfoLevel, "state restored from a snapshot"}
	SnapshotWritten   = Event{203, zerolog.InfoLevel, "snapshot written"}
	SchemaTooNew      = Event{204, zerolog.ErrorLevel, "a record has a newer schema than this program reads"}
	SnapshotFailed    = Event{205, zerolog.ErrorLevel, "writing a snapshot failed"}
	WriterSuperseded  = Event{206, zerolog.ErrorLevel, "another run of this process writes to the log; this one stops"}
	PeerRestored      = Event{207, zerolog.WarnLevel, "state taken from a peer while the log is down"}
	ConfigAccepted    = Event{300, zerolog.InfoLevel, "configuration change accepted"}
	ConfigRefused     = Event{301, zerolog.WarnLevel, "configuration change refused"}
	ZoneHeld          = Event{302, zerolog.WarnLevel, "starts in an availability zone are held"}
	DeciderChanged    = Event{400, zerolog.InfoLevel, "decider changed"}
	DeciderActive     = Event{401, zerolog.InfoLevel, "this entry is the decider"}
	WitnessReleased   = Event{402, zerolog.InfoLevel, "the old witness released its epoch"}
	DecisionVoid      = Event{403, zerolog.WarnLevel, "a recorded decision is void"}
	Alert             = Event{404, zerolog.WarnLevel, "alert for operators"}
	DeciderResigned   = Event{405, zerolog.InfoLevel, "this entry shuts down and ended its epoch as decider"}
	TaskStartFailed   = Event{500, zerolog.WarnLevel, "the worker refused a start"}
	WorkerFailed      = Event{501, zerolog.WarnLevel, "the worker does not answer"}
	ReplyIgnored      = Event{502, zerolog.WarnLevel, "a reply of a decider was ignored"}
	SyncFailed        = Event{503, zerolog.WarnLevel, "no decider answered"}
	EndpointDown      = Event{600, zerolog.WarnLevel, "the endpoint does not answer"}
	EndpointUp        = Event{601, zerolog.InfoLevel, "the endpoint answers"}
	DrainStarted      = Event{602, zerolog.InfoLevel, "graceful shutdown of the endpoint started"}
	DrainCancelled    = Event{603, zerolog.InfoLevel, "graceful shutdown of the endpoint cancelled"}
	Drained           = Event{604, zerolog.InfoLevel, "graceful shutdown of the endpoint finished"}
	Superseded        = Event{605, zerolog.WarnLevel, "a higher incarnation of this process is known"}
	AnnounceFailed    = Event{606, zerolog.WarnLevel, "an entry did not take the announcement"}
	DrainCut          = Event{607, zerolog.WarnLevel, "requests in progress were cut off by the limit of the shutdown order"}
	AnnounceRestored  = Event{608, zerolog.InfoLevel, "an entry takes announcements again"}
	RequestNotWritten = Event{700, zerolog.WarnLevel, "the answer of a request could not be recorded"}
	ConnectionSilent  = Event{701, zerolog.WarnLevel, "an open connection to a side process went silent"}
	SideSilent        = Event{702, zerolog.WarnLevel, "a side process does not answer pings"}
	ForeignAnswer     = Event{703, zerolog.ErrorLevel, "an answer of another request was dropped"}
)

// Logger writes numbered events.
type Logger struct {
	z zerolog.Logger
}

// New returns a logger that writes JSON lines of at least the level to w, with the process's id.
func New(w io.Writer, level, id string) Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return Logger{zerolog.New(w).Level(l).With().Timestamp().Str("process", id).Logger()}
}

// Nop returns a logger that writes nothing.
func Nop() Logger { return Logger{zerolog.Nop()} }

// Log starts a line for the event. Call Msg or Send on the result through End.
func (l Logger) Log(e Event, fields ...Field) {
	line := l.z.WithLevel(e.Level)
	if l.z.GetLevel() > e.Level {
		return
	}
	line = line.Int("event", e.Number)
	for _, f := range fields {
		line = f(line)
	}
	line.Msg(e.Text)
}

// Field adds a field to a line.
type Field func(*zerolog.Event) *zerolog.Event

// Str adds a string.
func Str(key, value string) Field {
	return func(e *zerolog.Event) *zerolog.Event { return e.Str(key, value) }
}

// Int adds a number.
func Int[N ~int | ~int64 | ~uint64 | ~uint32](key string, value N) Field {
	return func(e *zerolog.Event) *zerolog.Event { return e.Int64(key, int64(value)) }
}

// Err adds an error.
func Err(err error) Field {
	return func(e *zerolog.Event) *zerolog.Event { return e.Err(err) }
}
