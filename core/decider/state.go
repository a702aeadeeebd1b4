package decider

import (
	"time"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// contact is what the decider knows of a worker beyond the folded state.
type contact struct {
	// heard is when the worker last polled.
	heard time.Duration
	// leaseEnds and serviceEnds are when the leases of a silent worker have certainly ended.
	leaseEnds   time.Duration
	serviceEnds time.Duration
	// permitEnds is when the newest permit given to the worker has certainly ended.
	permitEnds time.Duration
	// overAt is the sequence of the first poll that was answered after permitEnds, 0 if none was.
	overAt uint64
	// held is the newest attempt of each task that the worker was seen to hold.
	held map[string]uint32
	// incarnation and sequence name the newest poll taken.
	incarnation, sequence uint64
	// fenced is true once the worker was seen to refuse older deciders; from then on their authority no longer counts.
	fenced bool
	// down is true when the policy was told that the worker is silent.
	down bool
	// throttles holds throttles to pass on.
	throttles map[string]scheduler.ThrottleTask
	// known is what polls may leave out.
	known known
}

// State is the decider of one region at one entry. It is inactive unless the entry holds the newest epoch.
type State struct {
	cfg       Config
	policyCfg scheduler.Config
	auth      *authority.State
	region    *tasks.State
	conf      *config.State

	policy    *scheduler.State
	activated time.Duration
	contacts  map[string]*contact
	ends      map[string]record.End
	joins     map[string]record.WorkerChange
	inFlight  bool
	lastBatch time.Duration
	confRead  time.Duration
	// holds and ownHolds are when holds of zones end: of all, and of those that this entry was asked for itself.
	holds, ownHolds map[string]time.Duration
	alerts          []scheduler.Alert
	// answering is true while this entry has authority, answeringSince when it got it last.
	answering      bool
	answeringSince time.Duration
	// early holds new tasks whose customer is not in the configuration that was read so far.
	early []earlyTask
}

// earlyTask is a new task that the policy is told of once the configuration was read after it.
type earlyTask struct {
	task string
	at   time.Duration
}

// New returns an inactive decider over the folded states.
func New(cfg Config, policy scheduler.Config, auth *authority.State, region *tasks.State, conf *config.State) *State {
	return &State{
		cfg: cfg, policyCfg: policy, auth: auth, region: region, conf: conf, holds: make(map[string]time.Duration),
		ownHolds: make(map[string]time.Duration),
	}
}

// Rebind replaces the folded states after a snapshot was restored. A decider that still holds the newest epoch starts
// anew from them.
func (s *State) Rebind(now clock.Now, region *tasks.State, conf *config.State) {
	s.region, s.conf = region, conf
	s.deactivate()
	if s.auth.Holds() {
		s.activate(now)
	}
}

// Active reports whether the entry decides, apart from the freshness of its evidence.
func (s *State) Active() bool { return s.policy != nil }

// ConfigRead notes that a read of the configuration sent at sentAt showed that all records were folded.
func (s *State) ConfigRead(sentAt time.Duration) { s.confRead = max(s.confRead, sentAt) }

// Hold stops starts in a zone until the duration has passed. It never shortens a hold. A relayed one was told by an entry
// that was asked for it. Holds reports whether the zone was not held before.
func (s *State) Hold(now clock.Now, zone string, d time.Duration, relayed bool) bool {
	until := now.Mono + min(d, s.cfg.MaxHold)
	fresh := now.Mono >= s.holds[zone] && until > now.Mono
	s.holds[zone] = max(s.holds[zone], until)
	if !relayed {
		s.ownHolds[zone] = max(s.ownHolds[zone], until)
	}
	return fresh
}

// OwnHolds returns how long the holds last that this entry was asked for itself. Only these are passed on: each entry
// that passed a hold back and forth would extend it by the time on the way.
func (s *State) OwnHolds(now clock.Now) map[string]time.Duration {
	list := make(map[string]time.Duration)
	for zone, until := range s.ownHolds {
		if now.Mono < until {
			list[zone] = until - now.Mono
		} else {
			delete(s.ownHolds, zone)
		}
	}
	return list
}

// mayStart reports whether a permit may be given for the zone.
func (s *State) mayStart(now clock.Now, zone string) bool {
	if !rule.On(rule.Permit) {
		return true
	}
	fresh := s.confRead > 0 && now.Mono < s.confRead+s.cfg.ConfigFreshness
	return fresh && !s.conf.ZoneOut(zone) && now.Mono >= s.holds[zone]
}

// closed reports whether no permit is given for the zone until a record brings it back.
func (s *State) closed(zone string) bool { return s.conf.ZoneOut(zone) && rule.On(rule.Permit) }

// ConfigChanged passes accepted changes to the policy. A record that brings a zone back ends holds of it: they were sent for
// an order that came before.
func (s *State) ConfigChanged(now clock.Now, outcomes []config.Outcome) {
	for _, o := range outcomes {
		if z := o.Change.Zone; z != nil && !z.Out && o.Status == config.Accepted {
			delete(s.holds, z.Zone)
			delete(s.ownHolds, z.Zone)
		}
	}
	if s.policy == nil {
		return
	}
	for _, o := range outcomes {
		if o.Status != config.Accepted {
			continue
		}
		if o.Change.Contract != nil {
			s.policy.Apply(now.WallMs, scheduler.ContractChanged{Contract: *o.Change.Contract})
		}
		if o.Change.Zone != nil {
			s.policy.Apply(now.WallMs, scheduler.ZoneChanged{Zone: o.Change.Zone.Zone, Out: o.Change.Zone.Out})
		}
	}
}

// Folded passes what a record changed to the policy, and starts or ends the decider's work.
func (s *State) Folded(now clock.Now, effects []tasks.Effect) {
	for _, e := range effects {
		if c, ok := e.(tasks.EpochChanged); ok {
			s.epochChanged(now, c)
			continue
		}
		if s.policy != nil {
			s.tell(now, e)
		}
	}
}

func (s *State) epochChanged(now clock.Now, c tasks.EpochChanged) {
	epoch, _ := s.auth.Epoch()
	if epoch == c.Epoch && s.auth.Holds() {
		s.activate(now)
		return
	}
	s.deactivate()
}

func (s *State) deactivate() {
	s.policy = nil
	s.contacts, s.ends, s.joins, s.early = nil, nil, nil, nil
}

// activate builds the policy from the folded state. All workers count as silent until they poll.
func (s *State) activate(now clock.Now) {
	s.activated, s.lastBatch = now.Mono, now.Mono
	s.contacts = make(map[string]*contact)
	s.ends = make(map[string]record.End)
	s.joins = make(map[string]record.WorkerChange)
	s.policy = scheduler.New(s.policyCfg)
	if len(s.region.Learned) > 0 {
		if err := s.policy.ImportLearned(s.region.Learned); err != nil {
			s.alerts = append(s.alerts, scheduler.Alert{Code: "learned_dropped", Message: err.Error()})
		}
	}
	for _, customer := range s.conf.Customers() {
		s.policy.Apply(now.WallMs, scheduler.ContractChanged{Contract: s.conf.Contracts[customer].Contract})
	}
	for _, z := range s.conf.ZoneNames() {
		s.policy.Apply(now.WallMs, scheduler.ZoneChanged{Zone: z, Out: s.conf.ZoneOut(z)})
	}
	for _, id := range s.region.WorkerIDs() {
		w := s.region.Workers[id]
		if !w.Lost {
			s.policy.Apply(now.WallMs, scheduler.WorkerUp{ID: id, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
		}
	}
	for _, id := range s.region.JobIDs() {
		s.loadJob(now, s.region.Jobs[id])
	}
	for _, id := range s.region.WorkerIDs() {
		if !s.region.Workers[id].Lost {
			s.policy.Apply(now.WallMs, scheduler.WorkerDown{ID: id})
			s.contact(now, id).down = true
		}
	}
}

func (s *State) loadJob(now clock.Now, job *tasks.Job) {
	if job.State != tasks.JobOpen {
		return
	}
	for _, id := range job.Tasks {
		t := s.region.Tasks[id]
		if t.State.Ended() {
			continue
		}
		s.queue(now, job, t)
		if t.State.Placed() {
			s.policy.Apply(now.WallMs, scheduler.TaskStarted{Start: record.Start{
				Task: t.ID, Attempt: t.Attempt, Worker: t.Worker, Size: t.Size,
			}})
		}
	}
}

// queue tells the policy of a task that waits. A task whose customer is unknown waits here until the configuration was
// read later than the task's record: the policy refuses jobs of unknown customers for good.
func (s *State) queue(now clock.Now, job *tasks.Job, t *tasks.Task) {
	if s.conf.Contracts[job.Spec.Customer] == nil && s.confRead <= now.Mono {
		s.early = append(s.early, earlyTask{t.ID, now.Mono})
		return
	}
	s.tellQueued(now, job, t)
}

// takeEarly tells the policy of tasks that waited for the configuration.
func (s *State) takeEarly(now clock.Now) {
	for len(s.early) > 0 && s.early[0].at < s.confRead {
		t := s.region.Tasks[s.early[0].task]
		s.early = s.early[1:]
		if t == nil || t.State.Ended() {
			continue
		}
		s.tellQueued(now, s.region.Jobs[t.Job], t)
		if t.State.Placed() {
			s.policy.Apply(now.WallMs, scheduler.TaskStarted{Start: record.Start{
				Task: t.ID, Attempt: t.Attempt, Worker: t.Worker, Size: t.Size,
			}})
		}
	}
}

func (s *State) tellQueued(now clock.Now, job *tasks.Job, t *tasks.Task) {
	next := t.Attempt + 1
	if t.State.Placed() {
		next = t.Attempt
	}
	s.policy.Apply(now.WallMs, scheduler.TaskQueued{
		Job: job.Spec, Task: t.ID, NextAttempt: next, CheckpointMs: t.CheckpointMs,
	})
}

func (s *State) tell(now clock.Now, e tasks.Effect) {
	switch e := e.(type) {
	case tasks.WorkerChanged:
		s.workerChanged(now, e.Worker)
	case tasks.TaskQueued:
		s.queue(now, e.Job, e.Task)
	case tasks.TaskPlaced:
		s.policy.Apply(now.WallMs, scheduler.TaskStarted{Start: e.Start})
	case tasks.AttemptEnded:
		delete(s.ends, e.End.Task)
		if c := s.contacts[e.Worker]; c != nil {
			delete(c.held, e.End.Task)
			delete(c.throttles, e.End.Task)
		}
		s.policy.Apply(now.WallMs, scheduler.TaskEnded{End: e.End})
	case tasks.JobCancelling:
		s.policy.Apply(now.WallMs, scheduler.JobCancelled{Job: e.Job.Spec.ID})
	case tasks.JobEnded:
		s.policy.Apply(now.WallMs, scheduler.JobDone{Job: e.Job.Spec.ID})
	}
}

func (s *State) workerChanged(now clock.Now, w *tasks.Worker) {
	delete(s.joins, w.ID)
	if w.Lost {
		s.policy.Apply(now.WallMs, scheduler.WorkerGone{ID: w.ID})
		delete(s.contacts, w.ID)
		return
	}
	s.policy.Apply(now.WallMs, scheduler.WorkerUp{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
	if c := s.contact(now, w.ID); c.down {
		s.policy.Apply(now.WallMs, scheduler.WorkerDown{ID: w.ID})
	}
}

// contact returns the contact of a worker. One that has not polled yet counts from the end of the older deciders'
// authority, because they may have renewed its leases until then.
func (s *State) contact(now clock.Now, id string) *contact {
	c := s.contacts[id]
	if c != nil {
		return c
	}
	from := max(now.Mono, s.auth.PresumeFrom())
	c = &contact{
		heard: now.Mono, leaseEnds: from + clock.WithMargin(s.cfg.TaskLease),
		serviceEnds: from + clock.WithMargin(s.cfg.ServiceLease), permitEnds: from + clock.WithMargin(s.cfg.PermitTTL),
		held: make(map[string]uint32), throttles: make(map[string]scheduler.ThrottleTask),
	}
	s.contacts[id] = c
	return c
}

// Alerts returns the alerts since the last call.
func (s *State) Alerts() []scheduler.Alert {
	out := s.alerts
	s.alerts = nil
	return out
}

// WaitReason says why a job waits.
func (s *State) WaitReason(job string) string {
	if s.policy == nil {
		return "this entry is not the decider"
	}
	return s.policy.WaitReason(job)
}

// ExplainPlacement returns the chain of causes of the newest decision on a task.
func (s *State) ExplainPlacement(task string) []string {
	if s.policy == nil {
		return nil
	}
	return s.policy.ExplainPlacement(task)
}

// Learned returns the policy's digest for a snapshot.
func (s *State) Learned() ([]byte, error) {
	if s.policy == nil {
		return s.region.Learned, nil
	}
	return s.policy.ExportLearned()
}

func isService(job *tasks.Job) bool {
	return job.Spec.Kind == record.ServiceJob
}

func leaving(t *tasks.Task) bool {
	return t.State == lifecycle.TaskEvicting || t.State == lifecycle.TaskStopping
}
