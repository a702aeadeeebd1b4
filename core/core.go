// Package core joins the pure reducers of an entry into one: every event of an entry goes through Step, and what is to
// be done about it comes back as effects.
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

// State is everything that an entry decides by.
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

// New returns the state of an entry that knows nothing yet.
func New(o Options) *State {
	s := &State{
		Config: config.New(), Region: tasks.New(), Claims: claims.New(), Members: members.New(o.Heartbeat),
		Route: route.New(o.Zone, o.Routing), Authority: authority.New(o.Authority, o.Self, o.Incarnation),
	}
	s.Decider = decider.New(o.Decider, o.Scheduler, s.Authority, s.Region, s.Config)
	return s
}

// Stream names a stream that an entry folds.
type Stream int

// Streams.
const (
	ConfigStream Stream = iota
	RegionStream
	ClaimStream
)

// Event is something that happened.
type Event interface{ coreEvent() }

// Folded gives the record at an offset of a stream.
type Folded struct {
	Stream Stream
	Offset uint64
	Record *record.Record
}

// CaughtUp tells that a read sent at SentAt showed no further records.
type CaughtUp struct {
	Stream Stream
	SentAt time.Duration
}

// Announced gives an announcement of an endpoint.
type Announced struct{ Announcement members.Announcement }

// Ticked tells that time has passed. Rank orders the entries of the region; Candidate is the one to name as witness.
type Ticked struct {
	Rank      int
	Candidate *record.DeciderClaim
}

// PollArrived gives a worker's poll whose answer may be withheld.
type PollArrived struct{ Poll decider.Poll }

// Polled gives a worker's poll.
type Polled struct{ Poll decider.Poll }

// BatchSettled tells that the batch in flight was folded or, if Dropped, that it certainly never takes effect.
type BatchSettled struct{ Dropped bool }

// PromiseReceived tells that the witness promised an epoch.
type PromiseReceived struct {
	Epoch       uint64
	Witness     string
	Incarnation uint64
	SentAt      time.Duration
}

// Leaving tells that this entry shuts down and acts as decider no more.
type Leaving struct{}

// ReleaseReceived tells that the old witness released an epoch.
type ReleaseReceived struct{ Epoch uint64 }

// ZoneHeld asks to hold starts in a zone.
type ZoneHeld struct {
	Zone     string
	Duration time.Duration
	// Relayed is true for a hold that another entry was asked for.
	Relayed bool
}

// IncarnationRaised tells that this run goes by a higher incarnation among entries from now on.
type IncarnationRaised struct{ Incarnation uint64 }

// TryWanted asks for an endpoint for a request.
type TryWanted struct {
	Service   string
	Exclude   map[string]bool
	AvoidZone string
	Seed      uint64
	Kind      TryKind
}

// TryKind says why an endpoint is wanted.
type TryKind int

// Kinds of tries.
const (
	// FirstTry is the first one of a request.
	FirstTry TryKind = iota
	// RetryTry follows one that failed.
	RetryTry
	// HedgeTry runs beside one that is slow.
	HedgeTry
	// ResendTry follows one whose connection went silent. It uses no budget, since the side process did not work on it.
	ResendTry
)

// LoadReported gives the load that a side process reported with an answer.
type LoadReported struct {
	Endpoint    string
	Free, Queue int
}

// TryEnded tells how a try ended.
type TryEnded struct {
	Endpoint string
	Outcome  route.Outcome
	Took     time.Duration
}

func (Folded) coreEvent()            {}
func (CaughtUp) coreEvent()          {}
func (Announced) coreEvent()         {}
func (Ticked) coreEvent()            {}
func (PollArrived) coreEvent()       {}
func (Polled) coreEvent()            {}
func (BatchSettled) coreEvent()      {}
func (PromiseReceived) coreEvent()   {}
func (ReleaseReceived) coreEvent()   {}
func (Leaving) coreEvent()           {}
func (ZoneHeld) coreEvent()          {}
func (IncarnationRaised) coreEvent() {}
func (TryWanted) coreEvent()         {}
func (TryEnded) coreEvent()          {}
func (LoadReported) coreEvent()      {}

// Effect is something to be done or told.
type Effect interface{ coreEffect() }

// Do carries an effect of the authority.
type Do struct{ Effect authority.Effect }

// Append asks to append a batch.
type Append struct{ Batch *record.Batch }

// ConfigDecided tells the outcome of a change of configuration.
type ConfigDecided struct{ Outcome config.Outcome }

// ClaimDecided tells the verdict on a claim.
type ClaimDecided struct{ Verdict claims.Verdict }

// RegionChanged tells what a record changed in the region.
type RegionChanged struct{ Effect tasks.Effect }

// Wake tells that polls of the named workers may have something to answer, or those of all workers if All.
type Wake struct {
	Workers []string
	All     bool
}

// Withhold tells that the answer to a poll may wait for news. Poll is the poll with the list that its digest stands for.
type Withhold struct{ Poll decider.Poll }

// Answered answers a poll.
type Answered struct {
	Answer decider.Answer
	Err    error
}

// AnnounceTaken tells what became of an announcement.
type AnnounceTaken struct {
	Verdict      members.Verdict
	SupersededBy uint64
}

// HoldBegan tells that starts in a zone are held that were not before.
type HoldBegan struct{ Zone string }

// Routed names the endpoint for a try; nil if there is none.
type Routed struct {
	// Endpoint is a copy as of the choice.
	Endpoint *members.Endpoint
	// HedgeAfter is how long the try may take before a hedge is worth its cost.
	HedgeAfter time.Duration
}

// Alerted tells operators of something.
type Alerted struct{ Alert scheduler.Alert }

func (Do) coreEffect()            {}
func (Append) coreEffect()        {}
func (ConfigDecided) coreEffect() {}
func (ClaimDecided) coreEffect()  {}
func (RegionChanged) coreEffect() {}
func (Wake) coreEffect()          {}
func (Withhold) coreEffect()      {}
func (Answered) coreEffect()      {}
func (AnnounceTaken) coreEffect() {}
func (HoldBegan) coreEffect()     {}
func (Routed) coreEffect()        {}
func (Alerted) coreEffect()       {}
