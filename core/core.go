// Package core combines the deterministic reducers of an entry into one state machine: every event of an entry goes
// through Step, which returns the effects to carry out.
package core

import (
	"time"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/core/route"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// State is the input of all decisions of an entry.
type State struct {
	Config    *config.State
	Region    *tasks.State
	Claims    *claims.State
	Members   *members.State
	Route     *route.State
	Authority *authority.State
	Decider   *decider.State
}

// Options configure a State.
type Options struct {
	Self        string
	Incarnation uint64
	Zone        string
	Heartbeat   time.Duration
	Routing     route.Policy
	Authority   authority.Config
	Decider     decider.Config
	Scheduler   scheduler.Config
}

// New returns the state of an entry before its first event.
func New(o Options) *State {
	s := &State{
		Config: config.New(), Region: tasks.New(), Claims: claims.New(), Members: members.New(o.Heartbeat),
		Route: route.New(o.Zone, o.Routing), Authority: authority.New(o.Authority, o.Self, o.Incarnation),
	}
	s.Decider = decider.New(o.Decider, o.Scheduler, s.Authority, s.Region, s.Config)
	return s
}

// Stream names a stream whose records an entry applies.
type Stream int

// Streams.
const (
	ConfigStream Stream = iota
	RegionStream
	ClaimStream
)

// Event is an input of Step.
type Event interface{ coreEvent() }

// Folded carries the record at an offset of a stream, which is to be applied.
type Folded struct {
	Stream Stream
	Offset uint64
	Record *record.Record
}

// CaughtUp reports that a read sent at SentAt returned no further records.
type CaughtUp struct {
	Stream Stream
	SentAt time.Duration
}

// AnnouncementReceived carries an announcement of an endpoint.
type AnnouncementReceived struct{ Announcement members.Announcement }

// Ticked is the periodic event. Rank orders the entries of the region; Candidate is the entry to propose as witness.
type Ticked struct {
	Rank      int
	Candidate *record.DeciderClaim
}

// PollArrived carries a worker's poll on arrival. Its answer may be withheld until there is something to report.
type PollArrived struct{ Poll decider.Poll }

// AnswerRequested carries a worker's poll that is answered now.
type AnswerRequested struct{ Poll decider.Poll }

// BatchResolved reports that the batch in flight was applied or, if Dropped, that it can never take effect.
type BatchResolved struct{ Dropped bool }

// PromiseReceived carries the promise of the witness for an epoch.
type PromiseReceived struct {
	Epoch       uint64
	Witness     string
	Incarnation uint64
	SentAt      time.Duration
}

// ShuttingDown reports that this entry shuts down and no longer acts as decider.
type ShuttingDown struct{}

// ReleaseReceived reports that the witness of an older epoch released it.
type ReleaseReceived struct{ Epoch uint64 }

// ZoneHoldRequested requests a hold: a time-limited stop of starts in a zone.
type ZoneHoldRequested struct {
	Zone     string
	Duration time.Duration
	// Relayed is true for a hold that was requested at another entry.
	Relayed bool
	// Revision is the configuration that the requesting entry had applied; nil if it is not known. The hold is dropped if a
	// later change that is applied here has brought the zone back into service.
	Revision *uint64
}

// IncarnationRaised reports that other entries know this run of the process by a higher incarnation from now on.
type IncarnationRaised struct{ Incarnation uint64 }

// EndpointRequested requests an endpoint for a try of a request.
type EndpointRequested struct {
	Service   string
	Exclude   map[string]bool
	AvoidZone string
	Seed      uint64
	Kind      TryKind
}

// TryKind is the reason for a try.
type TryKind int

// Kinds of tries.
const (
	// FirstTry is the first try of a request.
	FirstTry TryKind = iota
	// RetryTry follows a failed try.
	RetryTry
	// HedgeTry runs in parallel to a slow try.
	HedgeTry
	// ResendTry follows a try whose connection stopped responding. It uses no retry budget, since the side process did
	// not run the request.
	ResendTry
)

// LoadReported carries the load that a side process reported with an answer.
type LoadReported struct {
	Endpoint    string
	Free, Queue int
}

// TryEnded carries the outcome of a try.
type TryEnded struct {
	Endpoint string
	Outcome  route.Outcome
	Took     time.Duration
}

func (Folded) coreEvent()               {}
func (CaughtUp) coreEvent()             {}
func (AnnouncementReceived) coreEvent() {}
func (Ticked) coreEvent()               {}
func (PollArrived) coreEvent()          {}
func (AnswerRequested) coreEvent()      {}
func (BatchResolved) coreEvent()        {}
func (PromiseReceived) coreEvent()      {}
func (ReleaseReceived) coreEvent()      {}
func (ShuttingDown) coreEvent()         {}
func (ZoneHoldRequested) coreEvent()    {}
func (IncarnationRaised) coreEvent()    {}
func (EndpointRequested) coreEvent()    {}
func (TryEnded) coreEvent()             {}
func (LoadReported) coreEvent()         {}

// Effect is an output of Step: an action to carry out or a result to deliver.
type Effect interface{ coreEffect() }

// AuthorityEffect carries an effect of the authority.
type AuthorityEffect struct{ Effect authority.Effect }

// Append requests that a batch be appended to the log.
type Append struct{ Batch *record.Batch }

// ConfigResult carries the outcome of a configuration change.
type ConfigResult struct{ Outcome config.Outcome }

// ClaimResult carries the verdict on a claim.
type ClaimResult struct{ Verdict claims.Verdict }

// RegionChanged carries one change that a record made to the region's state.
type RegionChanged struct{ Effect tasks.Effect }

// NotifyPolls requests that withheld polls be answered if there is news: those of the named workers, or of all if All.
type NotifyPolls struct {
	Workers []string
	All     bool
}

// Withhold reports that the answer to a poll may be withheld until there is news. Poll is the poll with its digest
// replaced by the list of attempts.
type Withhold struct{ Poll decider.Poll }

// Answered carries the answer to a poll.
type Answered struct {
	Answer decider.Answer
	Err    error
}

// AnnouncementResult carries the result of an announcement.
type AnnouncementResult struct {
	Verdict      members.Verdict
	SupersededBy uint64
}

// HoldBegan reports that starts in a zone are now held and were not before.
type HoldBegan struct{ Zone string }

// HoldDropped reports that a requested hold belongs to an order that has ended.
type HoldDropped struct{ Zone string }

// Routed names the endpoint for a try; nil if there is none.
type Routed struct {
	// Endpoint is a copy taken when it was chosen.
	Endpoint *members.Endpoint
	// HedgeAfter is how long the try may take before a hedge is worth its cost.
	HedgeAfter time.Duration
}

// AlertRaised carries an alert for the operators.
type AlertRaised struct{ Alert scheduler.Alert }

func (AuthorityEffect) coreEffect()    {}
func (Append) coreEffect()             {}
func (ConfigResult) coreEffect()       {}
func (ClaimResult) coreEffect()        {}
func (RegionChanged) coreEffect()      {}
func (NotifyPolls) coreEffect()        {}
func (Withhold) coreEffect()           {}
func (Answered) coreEffect()           {}
func (AnnouncementResult) coreEffect() {}
func (HoldBegan) coreEffect()          {}
func (HoldDropped) coreEffect()        {}
func (Routed) coreEffect()             {}
func (AlertRaised) coreEffect()        {}
